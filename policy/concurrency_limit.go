package policy

import (
	"time"
)

const (
	initialFleetLimit    = 10.0 // attempts first trusted to a server by all nodes
	minLimitFraction     = 0.25 // part of its start below which no threshold falls
	limitIncrease        = 0.05 // attempts a good answer adds; against slowCut, a sixth may be slow
	slowResponseDecrease = 0.25 // attempts a slow answer takes off
	failureDecrease      = 0.3  // attempts a full answer or a failure takes off
)

// initialLimit is what each server is first trusted with by this node: a part of its fair one by reports.
func (b *Balancer) initialLimit() float64 {
	if b.usesLoadReports() {
		return 1
	}
	return max(1, initialFleetLimit/float64(b.settings.NodeCount))
}

// effectiveLimit is how many attempts this node holds at s while there is room elsewhere.
func (b *Balancer) effectiveLimit(s *server) float64 {
	if b.usesLoadReports() {
		return b.fairLimit(s)
	}
	return s.concurrencyLimit
}

// hasCapacity tells whether a server is under its threshold. A threshold under one is kept in time.
func (b *Balancer) hasCapacity(s *server) bool {
	if b.now < s.busyUntil {
		return false
	}
	limit := b.effectiveLimit(s)
	if limit >= 1 {
		return float64(s.totalInFlight()) < limit
	}
	return s.totalInFlight() == 0 && b.now-s.lastSentAt >= seconds(s.meanLatency*(1/limit-1))
}

// updateConcurrencyLimit moves the threshold of s by one outcome. Steps shrink with a threshold under one, so
// that it settles where thresholdGrow/(thresholdGrow+slowCut) of the answers are slow, at any size.
func (b *Balancer) updateConcurrencyLimit(s *server, c *class, code Code, latency time.Duration,
	blame float64) {
	step := 0.0
	switch {
	case code != OK:
		step = -failureDecrease * blame
	case latency > seconds(slowObjectiveFraction*c.LatencyObjective.Seconds()):
		step = -slowResponseDecrease
	case float64(s.totalInFlight()+1) >= b.effectiveLimit(s): // answered well, and the threshold was felt
		step = limitIncrease
	}
	b.rateMultiplier.recordResponse(step < 0)
	if b.usesLoadReports() {
		b.penalizeFailure(s, code, latency, blame)
		return
	}
	b.rateMultiplier.recordLoss(code == TimedOut || code == Overloaded)
	s.limitReached = s.limitReached || step < 0
	s.concurrencyLimit = max(minLimitFraction*b.initialLimit(), s.concurrencyLimit+step*min(1,
		s.concurrencyLimit))
}

// penalizeFailure learns from an outcome what reports don't tell.
func (b *Balancer) penalizeFailure(s *server, code Code, latency time.Duration, blame float64) {
	switch code {
	case OK:
		return
	case TimedOut: // it still waits or runs there, though it is not in flight for this node any more
		s.busyUntil = b.now + latency
	}
	s.limitReached, s.concurrencyLimit = true, max(minLimitScale, s.concurrencyLimit*(1-failureDecrease*blame))
}
