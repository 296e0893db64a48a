package policy

import "time"

const (
	// initialFleetLimit is how many attempts all nodes together first have in flight at a server, where limits
	// are learned from responses.
	initialFleetLimit = 10.0
	// minLimitFraction is the part of its initial value below which no learned limit falls.
	minLimitFraction = 0.25
	// limitIncrease is by how many attempts a good response at the limit raises it. Against
	// slowResponseDecrease, the limit settles where a sixth of the responses are slow.
	limitIncrease = 0.05
	// slowResponseDecrease is by how many attempts a slow response lowers the limit.
	slowResponseDecrease = 0.25
	// failureDecrease is by how many attempts a failure lowers a learned limit; where limits rest on load
	// reports, the part of it that a failure takes off.
	failureDecrease = 0.3
	// slowObjectiveFraction is the part of the latency objective from which a response counts as slow: it waited
	// about as long as it ran.
	slowObjectiveFraction = 0.4
)

// initialLimit is the limit of a server that nothing is known of. Where limits rest on load reports, it is
// the part of the fair limit that counts.
func (b *Balancer) initialLimit() float64 {
	if b.usesLoadReports() {
		return 1
	}
	return max(1, initialFleetLimit/float64(b.settings.NodeCount))
}

// effectiveLimit is how many attempts this node has in flight at a server while there is capacity elsewhere.
func (b *Balancer) effectiveLimit(s *server) float64 {
	if b.usesLoadReports() {
		return b.fairLimit(s)
	}
	return s.concurrencyLimit
}

// hasCapacity reports whether a server is under its limit.
func (b *Balancer) hasCapacity(s *server) bool {
	return b.now >= s.busyUntil && s.isUnderLimit(b.effectiveLimit(s), b.now)
}

// isUnderLimit reports whether a limit allows another attempt. A limit under one is spread over time:
// an attempt is followed by a pause that makes the mean in flight that of the limit.
func (s *server) isUnderLimit(limit float64, now Time) bool {
	if limit >= 1 {
		return float64(s.totalInFlight()) < limit
	}
	return s.totalInFlight() == 0 && now-s.lastSentAt >= seconds(s.meanLatency*(1/limit-1))
}

// updateConcurrencyLimit learns from one outcome. failureWeight is how far a failure is the server's own.
func (b *Balancer) updateConcurrencyLimit(s *server, c *class, code Code, latency time.Duration,
	failureWeight float64) {
	step := 0.0
	switch {
	case code != OK:
		step = -failureDecrease * failureWeight
	case latency > seconds(slowObjectiveFraction*c.LatencyObjective.Seconds()):
		step = -slowResponseDecrease
	case float64(s.totalInFlight()+1) >= b.effectiveLimit(s): // a good response, and the limit was reached
		step = limitIncrease
	}
	b.rateMultiplier.recordResponse(step < 0)
	if b.usesLoadReports() {
		s.scaleLimitByFailure(code, latency, failureWeight, b.now)
		return
	}
	b.rateMultiplier.recordLoss(code == TimedOut || code == Overloaded)
	s.moveLimit(step, minLimitFraction*b.initialLimit())
}

// moveLimit moves a learned limit. Steps shrink with a limit under one, so that the same part of the
// responses is slow where it settles, at any limit.
func (s *server) moveLimit(step, lowest float64) {
	s.limitReached = s.limitReached || step < 0
	s.concurrencyLimit = max(lowest, s.concurrencyLimit+step*min(1, s.concurrencyLimit))
}

// scaleLimitByFailure accounts for failures, which load reports don't show.
func (s *server) scaleLimitByFailure(code Code, latency time.Duration, failureWeight float64, now Time) {
	switch code {
	case OK:
		return
	case TimedOut: // the server likely still works on it, though it isn't in flight for this node any more
		s.busyUntil = now + latency
	}
	s.limitReached = true
	s.concurrencyLimit = max(minLimitScale, s.concurrencyLimit*(1-failureDecrease*failureWeight))
}
