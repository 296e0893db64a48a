package policy

import (
	"math"
	"time"
)

const (
	// maxLatencyFraction is the fraction of a request's remaining useful time that a server's usual latency may
	// take.
	maxLatencyFraction = 0.5
	// reportDecayTime is the time constant with which a reported latency decays to the latency of the server's
	// kind.
	reportDecayTime = 5 * time.Second
)

// pickServer chooses a server for a request: one that is warming up (pickWarmingUp), else the first usable
// server in packing order that has capacity while the node's window has room, else the least overcommitted
// usable server. For the second choice, a server limited by a warm-up budget needs no room in the window.
// pickServer returns nil if no server is usable, or if the overcommit of the least overcommitted server or of
// the window exceeds the bound of the class. hasCapacity tells whether a server with capacity was found. It
// is also true if the limit of the least overcommitted server is still the initial guess.
func (b *Balancer) pickServer(r *request) (picked *server, hasCapacity bool) {
	windowOvercommit, maxOvercommit := b.windowOvercommit(), b.maxOvercommit(r.class)
	b.chooseZones(r)
	if s := b.pickWarmingUp(r); s != nil {
		return s, true
	}
	var fallback *server
	for s := range r.class.eligible.all {
		if !b.isUsable(r, s) {
			continue
		}
		if (windowOvercommit < min(1, maxOvercommit) || b.isLimitedByWarmup(s)) && b.hasCapacity(s) {
			return s, true
		}
		if fallback == nil || b.isLessOvercommitted(s, fallback) {
			fallback = s
		}
	}
	b.window.capacityWanted = true
	if fallback != nil && max(windowOvercommit, b.serverOvercommit(fallback)) > maxOvercommit {
		return nil, !fallback.limitObserved
	}
	return fallback, fallback != nil && !fallback.limitObserved
}

// isLessOvercommitted reports whether to prefer a server to an earlier one in the walk. Crossing to a zone at
// a higher cost is worth it only once the nearer server is at its limit.
func (b *Balancer) isLessOvercommitted(s, earlier *server) bool {
	return b.serverOvercommit(s) < b.serverOvercommit(earlier) &&
		(!isNearer(earlier, s) || b.serverOvercommit(earlier) >= 1)
}

// isUsable reports whether a request may be sent to a server now, apart from the server's concurrency limit.
func (b *Balancer) isUsable(r *request, s *server) bool {
	return !s.outlier.ejected && !s.zone.isClosed() && r.mayRunOn(s, b.now) && b.respondsInTime(r, s) &&
		b.refillWarmupBudget(s)
}

// respondsInTime reports whether a server is likely to respond to a request while the response is useful.
// Servers that are warming up or overloaded take several times as long as others. The older a load report,
// the less its latency counts. If limits aren't based on load reports, or there are none from servers of the
// same kind, respondsInTime is true.
func (b *Balancer) respondsInTime(r *request, s *server) bool {
	kind := b.loads.byKind[s.Kind]
	if kind == nil || !b.usesLoadReports() {
		return true
	}
	latency := kind.latency / b.warmFraction(s)
	if s.reportedAt > 0 {
		age := b.now - s.reportedAt
		latency += (s.reportedLatency - latency) * math.Exp(-age.Seconds()/reportDecayTime.Seconds())
	}
	return latency <= maxLatencyFraction*(r.usefulUntil-b.now).Seconds()
}

// mayRunOn reports whether a request may be sent to a server: the class permits the server, the request
// hasn't been sent to it before, and retry safety permits it. A request that may have run is sent again only
// where a duplicate does no harm. If it is idempotent, that is anywhere. If it is keyed, that is at the
// servers of the dedup scope, while they still remember the request.
func (r *request) mayRunOn(s *server, now Time) bool {
	if !r.class.permits(s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if r.mayHaveRun == nil || r.class.RetrySafety == Idempotent {
		return true
	}
	if r.class.RetrySafety != IdempotencyKeyed || now >= r.mayHaveRun.sentAt+r.class.DedupWindow {
		return false
	}
	switch r.class.DedupScope {
	case DedupEverywhere:
		return true
	case DedupPerZone:
		return s.Zone == r.mayHaveRun.server.Zone
	}
	return s.Cell == r.mayHaveRun.server.Cell
}

// isNearer reports whether crossing to s costs less than crossing to other. Without a topology, it is false.
func isNearer(s, other *server) bool {
	return s.zone != nil && s.zone.crossingCost < other.zone.crossingCost
}
