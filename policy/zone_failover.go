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
	baseFailureRatio, excessFailureRatio   = 0.05, 0.3 // part of ill answers that any place may have, and the trouble sought
	maxServerEvidence, maxContraryEvidence = 4.0, 1.0  // evidence, in nats, that a server gives against its place, and for it
	// evidenceTTL is how long a server's evidence holds that isn't heard of.
	evidenceTTL          = 10 * time.Second
	evacuateEvidence     = 8.0                  // evidence at which a place is left: that of two servers at least;
	suspectEvidence      = evacuateEvidence / 2 // at which a part of the requests looks how other places are
	exploreFraction      = 0.5                  // that part
	minComparedResponses = 4.0                  // answers from which on a part of them is taken at its word
	priorResponses       = 12.0                 // answers that what is sought counts for beside a place's own few
	betterZoneEvidence   = 7.0                  // evidence that other places are better: only then is one left
	responseDecayTime    = 10 * time.Second     // in which answers of a place are forgotten
	slowResponseFactor   = 3.0                  // times the usual time of its class and kind, an answer is ill
	typicalLoadGain      = 0.005                // weight of one answer in that; the first ones count plainly
	minTypicalSamples    = 10                   // answers that tell what is usual
	zoneProbeInterval    = 100 * time.Millisecond
	zoneProbesNeeded     = 12          // tries in a row, and requests come back,
	initialRecoveryShare = 0.05        // to this share at first,
	failureShareFactor   = 0.8         // of which an ill answer leaves so much
	recoveryForgetTime   = time.Minute // at its whole share, and a place's returns are forgotten

	baseEvacuationTime, maxEvacuationTime = 2 * time.Second, time.Minute      // left alone, four times as long after each return
	baseGrowthTime, maxGrowthTime         = 2 * time.Second, 16 * time.Second // that failed; a share grows e-fold in this, doubled
	maxRetainTime                         = 5 * time.Second                   // or half of the grace for drains, if one is stated
)

// recordEvidence takes the answer to an attempt, or the want of one, as evidence on the place of its server: 0 for a
// good one, 1 for an ill one, 2 where no connection came up, which next to never happens by chance.
func (b *Balancer) recordEvidence(a *attempt, ill float64) {
	s, p := a.server, a.server.zone
	if p == nil || b.zonesDegraded && a.sentAt < b.compareFrom { // of before the look at all places alike
		return
	}
	usual := baseFailureRatio
	if b.zonesDegraded {
		_, part := b.compareWithOtherZones(p)
		usual = min(1-excessFailureRatio-baseFailureRatio, max(baseFailureRatio, part))
		p.record(ill > 0)
	}
	if b.now-s.zoneEvidenceAt > evidenceTTL {
		s.zoneEvidence = 0
	}
	step := ill * math.Log((usual+excessFailureRatio)/usual)
	if ill == 0 {
		step = math.Log((1 - usual - excessFailureRatio) / (1 - usual))
	}
	b.setEvidence(s, max(-maxContraryEvidence, min(maxServerEvidence, s.zoneEvidence+step)))
	if p.evacuated() {
		b.recordZoneProbe(p, ill > 0)
	} else if ill > 0 || p.trafficShare < 1 {
		b.weighEvidence(p, ill > 0)
	}
}

// failureLevel tells how far an outcome is one of an ill place.
func (b *Balancer) failureLevel(s *server, c *class, code Code, latency float64) float64 {
	if code == ConnectFailed {
		return 2
	} else if code != OK {
		return 1
	}
	u := c.typicalLoad(s.Kind)
	limit, ill := slowResponseFactor*u.latency, 0.0
	if u.samples >= minTypicalSamples && latency > limit { // a world that became slow becomes the usual one, and not at once
		ill, latency = 1, limit
	}
	u.samples++
	u.latency += max(typicalLoadGain, 1/u.samples) * (latency - u.latency)
	return ill
}

// compareWithOtherZones is what the other places answered since places are compared, but for suspect ones: the evidence
// that they are better than p, and their part of ill answers.
func (b *Balancer) compareWithOtherZones(p *zoneHealth) (evidence, part float64) {
	own := max(baseFailureRatio+excessFailureRatio, (p.failures+priorResponses*(baseFailureRatio+excessFailureRatio))/(p.total+priorResponses))
	ill, heard := 0.0, 0.0
	for _, o := range b.zones {
		if o.decay(b.now); o != p && o.trafficShare == 1 {
			ill, heard = ill+o.failures, heard+o.total
		}
	}
	return (heard-ill)*math.Log((1-baseFailureRatio)/(1-own)) - ill*math.Log(own/baseFailureRatio), ill / max(minComparedResponses, heard)
}

// weighEvidence sums what the servers of p say of it. What is left of that without any one kind has to speak against
// the place too, where it has several.
func (b *Balancer) weighEvidence(p *zoneHealth, ill bool) {
	b.expireEvidence()
	sum, kinds := p.evidence.float(), p.evidenceByKind
	for _, of := range kinds {
		if len(kinds) > 1 && p.evidence <= of.sum {
			sum = 0
		}
	}
	b.growTrafficShare(p)
	better, _ := b.compareWithOtherZones(p)
	switch {
	case sum >= evacuateEvidence && better >= betterZoneEvidence, p.recovering && sum >= suspectEvidence:
		b.evacuate(p, sum)
	case p.recovering && ill:
		p.trafficShare = max(initialRecoveryShare, failureShareFactor*p.trafficShare)
	case p.recovering:
	case sum >= suspectEvidence && len(b.zones) > 1:
		if !b.zonesDegraded { // from now on places are compared, by the answers to what is sent from now on
			b.compareFrom = b.now
			for _, o := range b.zones {
				o.responseCounts = responseCounts{decayedAt: b.now}
			}
		}
		p.trafficShare, b.zonesDegraded = 1-exploreFraction, true
	default:
		p.trafficShare = 1
	}
}

// evacuate sends no more to p than tries, from a moment that nodes spread.
func (b *Balancer) evacuate(p *zoneHealth, sum float64) {
	if !p.recovering && b.now-p.fullShareSince > recoveryForgetTime {
		p.evacuations = 0
	}
	p.trafficShare, p.recovering, p.probeSuccesses, b.zonesDegraded = 0, false, 0, true
	p.evacuatedUntil = b.now + b.evacuationTime(p)
	p.evacuations++
	better, part := b.compareWithOtherZones(p)
	p.evacuationReason = fmt.Sprintf("evidence %.1f, %.0f of %.0f answers ill, %.0f%% elsewhere (evidence %.1f)",
		sum, p.failures, p.total, 100*part, better)
	b.logf("place %s is left: %s; tried again in %v, leaving %d", p.name, p.evacuationReason, p.evacuatedUntil-b.now, p.evacuations)
}

// evacuationTime is how long p is left alone, spread among nodes.
func (b *Balancer) evacuationTime(p *zoneHealth) time.Duration {
	span := min(maxEvacuationTime.Seconds(), baseEvacuationTime.Seconds()*math.Pow(4, float64(p.evacuations)))
	return seconds(span * (0.8 + 0.4*b.rng.Float64()))
}

// pickZoneProbe returns a server of a place that is due to be tried again, if r may try it: it is of a class that may
// be repeated as freely as any that the server takes.
func (b *Balancer) pickZoneProbe(r *request) *server {
	if !b.zonesDegraded || len(r.attempts) > 0 {
		return nil
	}
	for _, p := range b.zones {
		if !p.evacuated() || b.now < max(p.evacuatedUntil, p.lastProbeAt+zoneProbeInterval) {
			continue
		}
		var next *server
		for s := range r.class.eligible.all {
			if s.zone == p && r.class.RetrySafety >= s.retrySafety && s.totalInFlight() == 0 && !s.outlier.probationInFlight &&
				b.hasWarmupBudget(s) && (next == nil || s.lastSentAt < next.lastSentAt) {
				next = s
			}
		}
		if next != nil {
			p.lastProbeAt, next.outlier.probationInFlight = b.now, next.outlier.ejected
			return next
		}
	}
	return nil
}

// recordZoneProbe follows the tries of a place that was left.
func (b *Balancer) recordZoneProbe(p *zoneHealth, ill bool) {
	if p.probeSuccesses++; ill {
		p.probeSuccesses, p.evacuatedUntil = 0, max(p.evacuatedUntil, b.now+b.evacuationTime(p)/2)
	} else if p.probeSuccesses >= zoneProbesNeeded && b.now >= p.evacuatedUntil {
		b.startRecovery(p)
	}
}

// startRecovery begins with a small share of p.
func (b *Balancer) startRecovery(p *zoneHealth) {
	p.evacuatedUntil, p.trafficShare, p.recovering, p.shareUpdatedAt, b.zonesDegraded = 0, initialRecoveryShare, true, b.now, true
	p.growthTime = min(maxGrowthTime, baseGrowthTime<<min(max(0, p.evacuations-1), 8))
	b.clearEvidence(p)
	b.logf("place %s is well again: its share grows e-fold in %v", p.name, p.growthTime)
}

// growTrafficShare follows the law of a return: share = shareFirst * exp(t / growth), less what ill answers took.
func (b *Balancer) growTrafficShare(p *zoneHealth) {
	if !p.recovering {
		return
	}
	p.trafficShare = min(1, p.trafficShare*math.Exp((b.now-p.shareUpdatedAt).Seconds()/p.growthTime.Seconds()))
	if p.shareUpdatedAt = b.now; p.trafficShare >= 1 {
		p.recovering, p.fullShareSince = false, b.now
		b.logf("place %s has its whole share again", p.name)
	}
}

// chooseZones draws which places r may go to now. A class whose places are all left has none better.
func (b *Balancer) chooseZones(r *request) {
	if !b.zonesDegraded {
		return
	}
	b.zonesDegraded = false
	for _, p := range b.zones {
		b.growTrafficShare(p)
		p.closed = p.trafficShare < 1 && (len(r.attempts) > 0 || b.rng.Float64() >= p.trafficShare)
		b.zonesDegraded = b.zonesDegraded || p.trafficShare < 1
	}
	if !r.class.eligible.contains(func(s *server) bool { return !s.zone.closed }) {
		for _, p := range b.zones {
			p.closed = false
		}
	}
}

// fairParts is how many even parts of s this node has: those near a server fill it between them, and all nodes
// may cross to it beside, each by one.
func (b *Balancer) fairParts(s *server) float64 {
	if s.zone != nil && s.zone.crossingCost == 0 {
		return b.nearbyParts()
	}
	return 1
}

func (b *Balancer) nearbyParts() float64 { return float64(b.settings.NodeCount) / b.nearbyNodes }

// countNearbyNodes works out how many nodes fill the servers near this one: as membership has it, or an even part.
func (b *Balancer) countNearbyNodes() {
	nodes := float64(b.settings.NodeCount)
	if b.nearbyNodes = min(nodes, float64(b.fleetSize.reachableInZone)); b.nearbyNodes == 0 {
		b.nearbyNodes = max(1, nodes/float64(max(1, len(b.zones))))
	}
}

// retainMissing keeps servers that a list takes away in a mass, a zone's larger part at once, though nobody drained
// them: that is more often the list's fault than theirs. They are let go unless it names them again, well
// within the grace of the third rule. A place that comes back so does by its small share first.
func (b *Balancer) retainMissing(gone []*server) {
	leaving := make(map[string]int)
	for _, s := range gone {
		if s.Availability == Running {
			leaving[s.Zone]++
		}
	}
	for _, s := range gone {
		if !b.settings.RetainMissing || b.serversByZone[s.Zone] >= 2*leaving[s.Zone] || s.Availability != Running {
			b.dropServer(s)
		} else if s.missingSince == 0 {
			s.missingSince = b.now
			b.emit(Action{Kind: SetTimer, Wait: b.retainFor, Token: retainTimerToken})
		}
	}
}

// releaseRetained drops the servers that the list has taken away for as long as it is eased.
func (b *Balancer) releaseRetained() {
	for _, s := range b.servers {
		if s.missingSince > 0 && b.now-s.missingSince >= b.retainFor {
			b.dropServer(s)
			if s.zone != nil {
				s.zone.serversVanished = true
			}
		}
	}
	b.refreshOrder()
}
