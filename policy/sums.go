package policy

import (
	"container/heap"
	"math"
)

// Sums over all servers, kept up by difference so that no decision walks the list to know them. What time alone
// changes stands in queues by the moment at which it does. No decisions here.

// fixed is a figure in units of 2^-40. Sums of such are exact: what is added and taken off again leaves nothing.
type fixed int64

const fixedUnit = 1 << 40

func toFixed(v float64) fixed  { return fixed(math.Round(v * fixedUnit)) }
func (f fixed) float() float64 { return float64(f) / fixedUnit }

// timeline is a heap of servers by a moment each.
type timeline []timelineEntry

type timelineEntry struct {
	at     Time
	server *server
}

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push is for the heap alone.
func (t *timeline) Push(entry any) { *t = append(*t, entry.(timelineEntry)) }

// Pop is for the heap alone.
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timelineEntry{}
	*t = old[:len(old)-1]
	return last
}

func (t *timeline) add(at Time, s *server) { heap.Push(t, timelineEntry{at, s}) }

func (t *timeline) next() *server { return heap.Pop(t).(timelineEntry).server }

// counted is what a server adds to the sums.
type counted struct {
	place    *place // under which it counts,
	kind     string // and kind
	warm     bool
	warming  bool // it is queued until it is warm
	ejected  bool
	slot     int  // its index among the ejected
	avoided  bool // it drains or is ejected
	faults   fixed
	doubt    fixed
	doubted  bool // its evidence is recent enough to count
	expiring bool // it is queued until that is too old
}

// evidence sums what servers say of their place.
type evidence struct {
	sum     fixed
	servers int
}

// count adds a server that has come into the order.
func (b *Balancer) count(s *server) {
	s.counted.place, s.counted.kind = s.place, s.Kind
	s.counted.faults = toFixed(s.faults)
	b.faults += s.counted.faults
	b.countWarm(s)
	b.countDoubt(s)
	b.countEjected(s)
}

// uncount takes off a server that has left the order.
func (b *Balancer) uncount(s *server) {
	b.faults -= s.counted.faults
	if s.counted.warm {
		s.counted.warm = false
		*b.warmOf(s.counted.place)--
	}
	b.uncountDoubt(s)
	b.countEjected(s)
}

// resetCounts empties all sums, and what servers add to them.
func (b *Balancer) resetCounts(changed []*server) {
	for s := range b.all {
		s.segment, s.counted = nil, counted{}
	}
	for _, s := range changed {
		s.segment, s.counted = nil, counted{}
	}
	for _, s := range b.servers {
		s.counted = counted{}
	}
	for _, p := range b.places {
		p.warm, p.doubts, p.doubtsByKind = 0, 0, nil
	}
	b.faults, b.avoided, b.ejectedServers = 0, 0, nil
	b.warmUnjudged, b.warming, b.expiring = [2]int{}, nil, nil
}

// warmOf is the count of warm servers that those of a place belong to: its own, or one of all that aren't judged.
func (b *Balancer) warmOf(p *place) *int {
	switch {
	case p == nil:
		return &b.warmUnjudged[0]
	case p.judged:
		return &p.warm
	case p.cost == 0:
		return &b.warmUnjudged[1]
	}
	return &b.warmUnjudged[0]
}

// countWarm counts a server of the order once it is warm.
func (b *Balancer) countWarm(s *server) {
	switch {
	case s.segment == nil || s.counted.warm:
	case b.ramp(s) >= 1:
		s.counted.warm = true
		*b.warmOf(s.counted.place)++
	case !s.counted.warming:
		s.counted.warming = true
		b.warming.add(s.OnlineSince+b.set.Rules.ColdFor, s)
	}
}

// settleWarm counts those that have become warm by now.
func (b *Balancer) settleWarm() {
	for len(b.warming) > 0 && b.warming[0].at <= b.now {
		s := b.warming.next()
		s.counted.warming = false
		b.countWarm(s)
	}
}

// warmServers counts the warm servers of the order.
func (b *Balancer) warmServers() int {
	b.settleWarm()
	n := b.warmUnjudged[0] + b.warmUnjudged[1]
	for _, p := range b.places {
		n += p.warm
	}
	return n
}

// warmWeight counts the warm servers of places that aren't left, by how many even parts of each this node has.
func (b *Balancer) warmWeight() float64 {
	b.settleWarm()
	far, near := b.warmUnjudged[0], b.warmUnjudged[1]
	for _, p := range b.places {
		switch {
		case p.left():
		case p.cost == 0:
			near += p.warm
		default:
			far += p.warm
		}
	}
	if near == 0 {
		return float64(far)
	}
	return float64(near)*b.partsNear() + float64(far)
}

// trackFaults follows the broken connections of s, and returns the sum of those parts over the other servers.
func (b *Balancer) trackFaults(s *server, fault bool) (others float64) {
	track(&s.faults, faultGain, fault)
	now := toFixed(s.faults)
	if s.segment != nil {
		b.faults += now - s.counted.faults
		s.counted.faults = now
	}
	return (b.faults - now).float()
}

// recordDoubt takes over what s says of its place now.
func (b *Balancer) recordDoubt(s *server, doubt float64) {
	s.doubt, s.judged = doubt, b.now
	b.countDoubt(s)
}

// clearDoubts drops what the servers of p say against it.
func (b *Balancer) clearDoubts(p *place) {
	for s := range b.all {
		if s.place != p {
			continue
		}
		s.doubt = min(s.doubt, 0)
		if s.counted.doubted {
			b.countDoubt(s)
		}
	}
}

// countDoubt counts what a server says of its place while that is recent.
func (b *Balancer) countDoubt(s *server) {
	b.uncountDoubt(s)
	p := s.counted.place
	if s.segment == nil || p == nil || b.now-s.judged > doubtSpan {
		return
	}
	s.counted.doubted, s.counted.doubt = true, toFixed(s.doubt)
	p.doubts += s.counted.doubt
	if p.doubtsByKind == nil {
		p.doubtsByKind = make(map[string]*evidence)
	}
	of := p.doubtsByKind[s.counted.kind]
	if of == nil {
		of = new(evidence)
		p.doubtsByKind[s.counted.kind] = of
	}
	of.sum += s.counted.doubt
	of.servers++
	if !s.counted.expiring {
		s.counted.expiring = true
		b.expiring.add(s.judged, s)
	}
}

func (b *Balancer) uncountDoubt(s *server) {
	if !s.counted.doubted {
		return
	}
	s.counted.doubted = false
	p := s.counted.place
	p.doubts -= s.counted.doubt
	of := p.doubtsByKind[s.counted.kind]
	of.sum -= s.counted.doubt
	if of.servers--; of.servers == 0 {
		delete(p.doubtsByKind, s.counted.kind)
	}
}

// expireDoubts takes off what was said too long ago.
func (b *Balancer) expireDoubts() {
	for len(b.expiring) > 0 && b.now-b.expiring[0].at > doubtSpan {
		s := b.expiring.next()
		s.counted.expiring = false
		if s.counted.doubted {
			b.countDoubt(s)
		}
	}
}

// countEjected follows whether a server is ejected.
func (b *Balancer) countEjected(s *server) {
	switch ejected := s.segment != nil && s.health.out; {
	case ejected && !s.counted.ejected:
		s.counted.ejected, s.counted.slot = true, len(b.ejectedServers)
		b.ejectedServers = append(b.ejectedServers, s)
		b.countInPools(s, 1)
	case !ejected && s.counted.ejected:
		s.counted.ejected = false
		last := b.ejectedServers[len(b.ejectedServers)-1]
		b.ejectedServers[s.counted.slot], last.counted.slot = last, s.counted.slot
		b.ejectedServers = b.ejectedServers[:len(b.ejectedServers)-1]
		b.countInPools(s, -1)
	}
	b.countAvoided(s)
}

// countInPools moves the count of the ejected servers in the pools that s is in.
func (b *Balancer) countInPools(s *server, by int) {
	if s.segment == nil { // it has been taken out of them, and off their counts
		return
	}
	b.ejected += by
	for _, c := range b.ranked {
		if c.bound() && c.permits(s) {
			c.open.ejected += by
		}
	}
}

// countAvoided follows whether a listed server gets no work.
func (b *Balancer) countAvoided(s *server) {
	avoided := b.servers[s.Server] == s && (s.health.out || s.Availability != Running)
	switch {
	case avoided && !s.counted.avoided:
		b.avoided++
	case !avoided && s.counted.avoided:
		b.avoided--
	}
	s.counted.avoided = avoided
}
