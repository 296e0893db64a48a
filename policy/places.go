package policy

import (
	"fmt"
	"math"
	"time"
)

// Places: the zones that servers are in, judged by all their servers together, left and come back to. Where
// the settings name no places none of this acts, and zones are as the platform has them.
//
// Each server gives evidence for or against its zone, a likelihood ratio of ill answers against what other
// places give at the same time; bounded, so that neither one server nor one kind of them convicts a place.
// docs/zones.md has the ways not taken.

const (
	illBase, illMore  = 0.05, 0.3 // part of ill answers that any place may have, and the trouble sought
	illMost, wellMost = 4.0, 1.0  // evidence, in nats, that a server gives against its place, and for it
	// doubtSpan is how long a server's evidence holds that isn't heard of.
	doubtSpan  = 10 * time.Second
	leaveAt    = 8.0              // evidence at which a place is left: that of two servers at least;
	suspectAt  = leaveAt / 2      // at which a part of the requests looks how other places are
	lookPart   = 0.5              // that part
	lookLeast  = 4.0              // answers from which on a part of them is taken at its word
	ownPrior   = 12.0             // answers that what is sought counts for beside a place's own few
	lookAt     = 7.0              // evidence that other places are better: only then is one left
	heardSpan  = 10 * time.Second // in which answers of a place are forgotten
	slowTimes  = 3.0              // times the usual time of its class and kind, an answer is ill
	usualGain  = 0.005            // weight of one answer in that; the first ones count plainly
	usualLeast = 10               // answers that tell what is usual
	scoutEvery = 100 * time.Millisecond
	scoutsGood = 12          // tries in a row, and requests come back,
	shareFirst = 0.05        // to this share at first,
	growIll    = 0.8         // of which an ill answer leaves so much
	calmSpan   = time.Minute // at its whole share, and a place's returns are forgotten

	awayFirst, awayMost = 2 * time.Second, time.Minute      // left alone, four times as long after each return
	growFirst, growMost = 2 * time.Second, 16 * time.Second // that failed; a share grows e-fold in this, doubled
	easeMost            = 5 * time.Second                   // or half of the grace for drains, if one is stated
)

// witness takes the answer to an attempt, or the want of one, as evidence on the place of its server: 0 for a
// good one, 1 for an ill one, 2 where no connection came up, which next to never happens by chance.
func (b *Balancer) witness(a *attempt, ill float64) {
	s, p := a.server, a.server.place
	if p == nil || b.troubled && a.sent < b.lookFrom { // of before the look at all places alike
		return
	}
	usual := illBase
	if b.troubled {
		_, part := b.elsewhere(p)
		usual = min(1-illMore-illBase, max(illBase, part))
		p.add(ill > 0)
	}
	if b.now-s.judged > doubtSpan {
		s.doubt = 0
	}
	step := ill * math.Log((usual+illMore)/usual)
	if ill == 0 {
		step = math.Log((1 - usual - illMore) / (1 - usual))
	}
	b.recordDoubt(s, max(-wellMost, min(illMost, s.doubt+step)))
	if p.left() {
		b.scouted(p, ill > 0)
	} else if ill > 0 || p.share < 1 {
		b.weigh(p, ill > 0)
	}
}

// ill tells how far an outcome is one of an ill place.
func (b *Balancer) ill(s *server, c *class, code Code, latency float64) float64 {
	if code == ConnectFailed {
		return 2
	} else if code != OK {
		return 1
	}
	u := c.usually(s.Kind)
	limit, ill := slowTimes*u.latency, 0.0
	if u.n >= usualLeast && latency > limit { // a world that became slow becomes the usual one, and not at once
		ill, latency = 1, limit
	}
	u.n++
	u.latency += max(usualGain, 1/u.n) * (latency - u.latency)
	return ill
}

// elsewhere is what the other places answered since places are compared, but for suspect ones: the evidence
// that they are better than p, and their part of ill answers.
func (b *Balancer) elsewhere(p *place) (evidence, part float64) {
	own := max(illBase+illMore, (p.ill+ownPrior*(illBase+illMore))/(p.heard+ownPrior))
	ill, heard := 0.0, 0.0
	for _, o := range b.places {
		if o.fade(b.now); o != p && o.share == 1 {
			ill, heard = ill+o.ill, heard+o.heard
		}
	}
	return (heard-ill)*math.Log((1-illBase)/(1-own)) - ill*math.Log(own/illBase), ill / max(lookLeast, heard)
}

// weigh sums what the servers of p say of it. What is left of that without any one kind has to speak against
// the place too, where it has several.
func (b *Balancer) weigh(p *place, ill bool) {
	b.expireDoubts()
	sum, kinds := p.doubts.float(), p.doubtsByKind
	for _, of := range kinds {
		if len(kinds) > 1 && p.doubts <= of.sum {
			sum = 0
		}
	}
	b.grow(p)
	better, _ := b.elsewhere(p)
	switch {
	case sum >= leaveAt && better >= lookAt, p.returning && sum >= suspectAt:
		b.leave(p, sum)
	case p.returning && ill:
		p.share = max(shareFirst, growIll*p.share)
	case p.returning:
	case sum >= suspectAt && len(b.places) > 1:
		if !b.troubled { // from now on places are compared, by the answers to what is sent from now on
			b.lookFrom = b.now
			for _, o := range b.places {
				o.answers = answers{at: b.now}
			}
		}
		p.share, b.troubled = 1-lookPart, true
	default:
		p.share = 1
	}
}

// leave sends no more to p than tries, from a moment that nodes spread.
func (b *Balancer) leave(p *place, sum float64) {
	if !p.returning && b.now-p.whole > calmSpan {
		p.times = 0
	}
	p.share, p.returning, p.scouts, b.troubled = 0, false, 0, true
	p.until = b.now + b.away(p)
	p.times++
	better, part := b.elsewhere(p)
	p.why = fmt.Sprintf("evidence %.1f, %.0f of %.0f answers ill, %.0f%% elsewhere (evidence %.1f)",
		sum, p.ill, p.heard, 100*part, better)
	b.tell("place %s is left: %s; tried again in %v, leaving %d", p.zone, p.why, p.until-b.now, p.times)
}

// away is how long p is left alone, spread among nodes.
func (b *Balancer) away(p *place) time.Duration {
	span := min(awayMost.Seconds(), awayFirst.Seconds()*math.Pow(4, float64(p.times)))
	return seconds(span * (0.8 + 0.4*b.rng.Float64()))
}

// scout returns a server of a place that is due to be tried again, if r may try it: it is of a class that may
// be repeated as freely as any that the server takes.
func (b *Balancer) scout(r *request) *server {
	if !b.troubled || len(r.attempts) > 0 {
		return nil
	}
	for _, p := range b.places {
		if !p.left() || b.now < max(p.until, p.scouted+scoutEvery) {
			continue
		}
		var next *server
		for s := range r.class.open.all {
			if s.place == p && r.class.Repeat >= s.safest && s.out() == 0 && !s.health.trialOut &&
				b.coldRoom(s) && (next == nil || s.lastSend < next.lastSend) {
				next = s
			}
		}
		if next != nil {
			p.scouted, next.health.trialOut = b.now, next.health.out
			return next
		}
	}
	return nil
}

// scouted follows the tries of a place that was left.
func (b *Balancer) scouted(p *place, ill bool) {
	if p.scouts++; ill {
		p.scouts, p.until = 0, max(p.until, b.now+b.away(p)/2)
	} else if p.scouts >= scoutsGood && b.now >= p.until {
		b.comeBack(p)
	}
}

// comeBack begins with a small share of p.
func (b *Balancer) comeBack(p *place) {
	p.until, p.share, p.returning, p.grown, b.troubled = 0, shareFirst, true, b.now, true
	p.growth = min(growMost, growFirst<<min(max(0, p.times-1), 8))
	b.clearDoubts(p)
	b.tell("place %s is well again: its share grows e-fold in %v", p.zone, p.growth)
}

// grow follows the law of a return: share = shareFirst * exp(t / growth), less what ill answers took.
func (b *Balancer) grow(p *place) {
	if !p.returning {
		return
	}
	p.share = min(1, p.share*math.Exp((b.now-p.grown).Seconds()/p.growth.Seconds()))
	if p.grown = b.now; p.share >= 1 {
		p.returning, p.whole = false, b.now
		b.tell("place %s has its whole share again", p.zone)
	}
}

// choosePlaces draws which places r may go to now. A class whose places are all left has none better.
func (b *Balancer) choosePlaces(r *request) {
	if !b.troubled {
		return
	}
	b.troubled = false
	for _, p := range b.places {
		b.grow(p)
		p.shut = p.share < 1 && (len(r.attempts) > 0 || b.rng.Float64() >= p.share)
		b.troubled = b.troubled || p.share < 1
	}
	if !r.class.open.contains(func(s *server) bool { return !s.place.shut }) {
		for _, p := range b.places {
			p.shut = false
		}
	}
}

// parts is how many even parts of s this node has: those near a server fill it between them, and all nodes
// may cross to it beside, each by one.
func (b *Balancer) parts(s *server) float64 {
	if s.place != nil && s.place.cost == 0 {
		return b.partsNear()
	}
	return 1
}

func (b *Balancer) partsNear() float64 { return float64(b.set.Nodes) / b.near }

// countNear works out how many nodes fill the servers near this one: as membership has it, or an even part.
func (b *Balancer) countNear() {
	nodes := float64(b.set.Nodes)
	if b.near = min(nodes, float64(b.fleet.near)); b.near == 0 {
		b.near = max(1, nodes/float64(max(1, len(b.places))))
	}
}

// ease keeps servers that a list takes away in a mass, a zone's larger part at once, though nobody drained
// them: that is more often the list's fault than theirs. They are let go unless it names them again, well
// within the grace of the third rule. A place that comes back so does by its small share first.
func (b *Balancer) ease(gone []*server) {
	leaving := make(map[string]int)
	for _, s := range gone {
		if s.Availability == Running {
			leaving[s.Zone]++
		}
	}
	for _, s := range gone {
		if !b.set.EaseLists || b.zones[s.Zone] >= 2*leaving[s.Zone] || s.Availability != Running {
			b.drop(s)
		} else if s.gone == 0 {
			s.gone = b.now
			b.emit(Action{Kind: SetTimer, Wait: b.easeFor, Token: easeToken})
		}
	}
}

// letGo drops the servers that the list has taken away for as long as it is eased.
func (b *Balancer) letGo() {
	for _, s := range b.servers {
		if s.gone > 0 && b.now-s.gone >= b.easeFor {
			b.drop(s)
			if s.place != nil {
				s.place.vanished = true
			}
		}
	}
	b.reorder()
}
