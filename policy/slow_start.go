package policy

import (
	"math"
	"time"
)

const (
	// of the multiple beyond one: that one is left to chance, heavy work and unequal servers
	warmupMargin = 0.7
	// requests a second by all nodes to a cold server when nothing is known yet
	minWarmupRate       = 1.0
	maxWarmingUpScanned = 16 // cold servers that a choice looks at before its walk
	// part of the dearest without room up to which they keep to warm servers
	maxShortageForSlowStart = 0.05
	peakRateDecayTime       = time.Minute     // in which it is forgotten what a warm server carried at most
	completionRateTime      = 3 * time.Second // memory of the rate of answers: holds a few at a quiet node
)

// warmupBudget is a token bucket in fractions, which fills as fast as this node may send.
type warmupBudget struct {
	tokens     float64
	refilledAt Time
}

// warmFraction is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) warmFraction(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.Rules.SlowStartDuration {
		return 1
	}
	share := b.settings.Rules.SlowStartMinCapacity
	return share + (1-share)*max(0, age.Seconds())/b.settings.Rules.SlowStartDuration.Seconds()
}

// paceBoundByWarmup tells whether s is cold: the pace that its age allows bounds what it gets, and the window
// doesn't.
func (b *Balancer) paceBoundByWarmup(s *server) bool {
	return b.usesLoadReports() && b.warmFraction(s) < 1
}

// hasWarmupBudget guards the fourth rule. What a warm server carries for this node, summed over the nodes, is
// what one can take; a cold one may get its present part of that, and no more. Where load is reported, what
// warm ones of its kind can serve stands in for that.
func (b *Balancer) hasWarmupBudget(s *server) bool {
	part := b.warmFraction(s)
	if part >= 1 || b.handedOver {
		return part >= 1
	}
	mean := b.peakRate()
	if k := b.loadByKind[s.Kind]; k != nil {
		mean = k.rate / float64(b.settings.NodeCount)
		part = max(part, min(1, targetUtilization*s.reportedRate/k.rate))
	}
	mean = max(mean, minWarmupRate/float64(b.settings.NodeCount))
	rate := warmupMargin * max(0.5, b.settings.Rules.OverloadMultiple-1) * part * mean
	if b.usesLoadReports() {
		rate = warmupMargin * part * mean * s.concurrencyLimit // eased where it is too busy or slow
	}
	k := &s.warmupBudget
	most := max(1, rate*b.settings.Rules.OverloadDuration.Seconds()/4)
	k.tokens, k.refilledAt = min(most, k.tokens+rate*(b.now-k.refilledAt).Seconds()), b.now
	return k.tokens >= 1
}

// pickWarmingUp returns a cold server of the nearest that may get a request now: the walk meets those behind
// servers with room too seldom for them to use their part, and they are missed when others fail. The dearest
// class goes there once it is short of room, and no further attempt does. Only a few cold ones are looked at.
func (b *Balancer) pickWarmingUp(r *request) (best *server) {
	dearest := b.loadShedder.isHighestPriority(r.class.PriorityWeight) &&
		b.loadShedder.highPriorityShortage < maxShortageForSlowStart
	if b.promoteWarm(); b.usesLoadReports() || dearest || len(r.attempts) > 0 {
		return nil
	}
	for _, e := range b.warmupQueue[:min(len(b.warmupQueue), maxWarmingUpScanned)] {
		if s := e.server; s.segment != nil && s.segment == b.segments[0] && b.isUsable(r, s) && b.hasCapacity(s) &&
			(best == nil || s.warmupBudget.tokens > best.warmupBudget.tokens) {
			best = s
		}
	}
	return best
}

// peakRate is how many requests a second a warm server was seen to answer for this node, at most of late.
// What is answered now falls with the servers that fail, and those that return would be kept cold by that.
func (b *Balancer) peakRate() float64 {
	now := b.currentCompletionRate() / max(1, float64(b.warmServers()))
	b.peakServerRate = max(now,
		b.peakServerRate*math.Exp(-(b.now-b.peakServerRateAt).Seconds()/peakRateDecayTime.Seconds()))
	b.peakServerRateAt = b.now
	return b.peakServerRate
}

// currentCompletionRate is how many answers a second came lately.
func (b *Balancer) currentCompletionRate() float64 {
	return b.completionRate * math.Exp(-(b.now-b.completionRateAt).Seconds()/completionRateTime.Seconds())
}
