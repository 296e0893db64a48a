package policy

import "time"

const (
	// initialFleetLimit is how many attempts all nodes together may have in flight at a server at first, if
	// limits are learned from responses.
	initialFleetLimit = 10.0
	// minLimitFraction is the fraction of its initial value below which a learned limit doesn't fall.
	minLimitFraction = 0.25
	// limitIncrease is by how many attempts a good response at the limit raises it. Together with
	// slowResponseDecrease, it makes the limit settle where a sixth of the responses are slow.
	limitIncrease = 0.05
	// slowResponseDecrease is by how many attempts a slow response lowers the limit.
	slowResponseDecrease = 0.25
	// failureDecrease is by how many attempts a failure lowers a learned limit. If limits are based on load
	// reports, it is the fraction by which a failure lowers the limit.
	failureDecrease = 0.3
	// slowObjectiveFraction is the fraction of the latency objective from which a response counts as slow. Its
	// request has then waited at the server for about as long as it was served.
	slowObjectiveFraction = 0.4
)

// initialLimit returns the concurrencyLimit of a server without measurements. If limits are based on load
// reports, it is 1, the whole fair limit.
func (b *Balancer) initialLimit() float64 {
	if b.usesLoadReports() {
		return 1
	}
	return max(1, initialFleetLimit/float64(b.settings.NodeCount))
}

// effectiveLimit returns how many attempts this node may have in flight at a server while other servers have
// capacity.
func (b *Balancer) effectiveLimit(s *server) float64 {
	if b.usesLoadReports() {
		return b.fairLimit(s)
	}
	return s.concurrencyLimit
}

// hasCapacity reports whether a server is under its limit, and not busy with a timed-out attempt.
func (b *Balancer) hasCapacity(s *server) bool {
	return b.now >= s.busyUntil && s.isUnderLimit(b.effectiveLimit(s), b.now)
}

// isUnderLimit reports whether a limit permits another attempt. A limit under one is spread over time: after
// each attempt, a pause keeps the mean number in flight at the limit.
func (s *server) isUnderLimit(limit float64, now Time) bool {
	if limit >= 1 {
		return float64(s.totalInFlight()) < limit
	}
	return s.totalInFlight() == 0 && now-s.lastSentAt >= seconds(s.meanLatency*(1/limit-1))
}

// updateConcurrencyLimit adjusts a server's limit, and the ratios of the rate multiplier, to one outcome.
// failureWeight is how much of a failure, 0 to 1, is attributed to the server.
func (b *Balancer) updateConcurrencyLimit(s *server, c *class, code Code, latency time.Duration,
	failureWeight float64) {
	step := 0.0
	switch {
	case code != OK:
		step = -failureDecrease * failureWeight
	case latency > seconds(slowObjectiveFraction*c.LatencyObjective.Seconds()):
		step = -slowResponseDecrease
	case float64(s.totalInFlight()+1) >= b.effectiveLimit(s): // a good response at the limit
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

// moveLimit moves a learned limit by a step, but not below lowest. If the limit is under one, the step is
// multiplied by the limit. So a limit of any size settles at the same fraction of slow responses.
func (s *server) moveLimit(step, lowest float64) {
	s.limitObserved = s.limitObserved || step < 0
	s.concurrencyLimit = max(lowest, s.concurrencyLimit+step*min(1, s.concurrencyLimit))
}

// scaleLimitByFailure lowers the limit after a failure, because load reports don't show failures. After a
// timeout, the server also counts as busy for as long as the attempt took. An OK outcome changes nothing.
func (s *server) scaleLimitByFailure(code Code, latency time.Duration, failureWeight float64, now Time) {
	switch code {
	case OK:
		return
	case TimedOut: // the server likely still works on it, though this node no longer counts it as in flight
		s.busyUntil = now + latency
	}
	s.limitObserved = true
	s.concurrencyLimit = max(minLimitScale, s.concurrencyLimit*(1-failureDecrease*failureWeight))
}
