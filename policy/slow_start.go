package policy

import "time"

const (
	// warmupTargetFraction is the fraction of the overload bound that all nodes together send to a server that
	// is warming up. If limits are based on load reports, the bound is the server's current capacity; otherwise,
	// it is the current capacity times OverloadMultiple-1. The rest of the bound absorbs requests that arrive
	// together by chance, expensive requests, and differences between servers.
	warmupTargetFraction = 0.7
	// minOverloadMargin is the minimum of the multiplier OverloadMultiple-1.
	minOverloadMargin = 0.5
	// Warm-up budgets assume that a warmed-up server can serve at least minWarmupRate requests per second, while
	// the capacity of other servers is unknown and also if it is lower.
	minWarmupRate = 1.0
	// warmupBurstDivisor determines the maximum burst: the number of requests that the budget allows within the
	// overload duration is divided by it. The maximum is at least one request.
	warmupBurstDivisor = 4
	// maxWarmingUpScanned is the maximum number of servers that pickWarmingUp examines. It bounds the cost of
	// choosing a server while many servers start together.
	maxWarmingUpScanned = 16
	// maxShortageForSlowStart is a threshold for the fraction of requests of the highest-priority class that
	// find no server. Below it, pickWarmingUp picks no server for requests of this class.
	maxShortageForSlowStart = 0.05
)

// slowStart limits the requests to servers that warm up after their start. It holds the counts of servers
// that have warmed up and the queue of servers that are warming up.
type slowStart struct {
	minCapacity float64       // fraction of its capacity that a server has when it starts
	duration    time.Duration // from a server's start until it has its full capacity

	warmedUp            int               // servers in service that have warmed up
	warmedUpUnmonitored serversByDistance // servers of warmedUp whose zones aren't monitored
	// servers that are warming up, by the time when they finish; servers that left service stay until then
	queue serverQueue
}

// serversByDistance counts the servers in zones without a crossing cost (near) and the others (far). Without
// a topology, all servers count as far.
type serversByDistance struct{ near, far int }

// warmupContribution is the part of slowStart's counts and queue that comes from one server.
type warmupContribution struct {
	zone     *zoneHealth // zone that counts the server
	warmedUp bool        // whether the server is counted as warmed up
	queued   bool        // whether the server is in the queue
}

// warmupBudget is a token bucket of requests, which may hold fractions of a request. It fills at the rate at
// which this node may send to a server that is warming up.
type warmupBudget struct {
	tokens     float64
	refilledAt Time
}

// refill adds the tokens for the time since the last refill, up to maxTokens, and reports whether a request
// may be sent. The rate is in requests per second.
func (w *warmupBudget) refill(now Time, rate, maxTokens float64) bool {
	w.tokens, w.refilledAt = min(maxTokens, w.tokens+rate*(now-w.refilledAt).Seconds()), now
	return w.tokens >= 1
}

// configure applies the rules.
func (w *slowStart) configure(rules *Rules) {
	w.minCapacity, w.duration = rules.SlowStartMinCapacity, rules.SlowStartDuration
}

// warmFraction returns a lower bound, computed from the server's age, for the fraction of its full capacity
// that it has. The bound is 1 once the server has warmed up, and if its start time is unknown.
func (w *slowStart) warmFraction(s *server, now Time) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= w.duration {
		return 1
	}
	return w.minCapacity + (1-w.minCapacity)*max(0, age.Seconds())/w.duration.Seconds()
}

// reset clears the counts and the queue.
func (w *slowStart) reset(zones []*zoneHealth) {
	w.warmedUp, w.warmedUpUnmonitored, w.queue = 0, serversByDistance{}, nil
	for _, z := range zones {
		z.warmedUp = 0
	}
}

// add counts or queues a server that enters service.
func (w *slowStart) add(s *server, now Time) {
	s.contribution.warmup.zone = s.zone
	w.count(s, now)
}

// remove stops counting a server that has left service. If it is queued, promote ignores its entry later.
func (w *slowStart) remove(s *server) {
	if s.contribution.warmup.warmedUp {
		s.contribution.warmup.warmedUp = false
		w.addWarmedUp(s.contribution.warmup.zone, -1)
	}
}

// count counts a server in service if it has warmed up, and queues it if it hasn't.
func (w *slowStart) count(s *server, now Time) {
	c := &s.contribution.warmup
	switch {
	case s.segment == nil || c.warmedUp:
	case w.warmFraction(s, now) >= 1:
		c.warmedUp = true
		w.addWarmedUp(c.zone, 1)
	case !c.queued:
		c.queued = true
		w.queue.add(s.StartedAt+w.duration, s)
	}
}

// addWarmedUp adds change to the number of warmed-up servers and to the count for the zone: its own if the
// zone is monitored, otherwise the count of near or far servers.
func (w *slowStart) addWarmedUp(zone *zoneHealth, change int) {
	w.warmedUp += change
	switch {
	case zone != nil && zone.monitored:
		zone.warmedUp += change
	case zone != nil && zone.crossingCost == 0:
		w.warmedUpUnmonitored.near += change
	default:
		w.warmedUpUnmonitored.far += change
	}
}

// promote counts the queued servers that have warmed up by now.
func (w *slowStart) promote(now Time) {
	for len(w.queue) > 0 && w.queue[0].dueAt <= now {
		s := w.queue.next()
		s.contribution.warmup.queued = false
		w.count(s, now)
	}
}

// outsideEvacuated returns the number of warmed-up servers in service whose zones aren't evacuated.
func (w *slowStart) outsideEvacuated(zones []*zoneHealth, now Time) serversByDistance {
	w.promote(now)
	servers := w.warmedUpUnmonitored
	for _, z := range zones {
		switch {
		case z.isEvacuated():
		case z.crossingCost == 0:
			servers.near += z.warmedUp
		default:
			servers.far += z.warmedUp
		}
	}
	return servers
}

// warmedUpServers returns the number of servers in service that have warmed up by now.
func (w *slowStart) warmedUpServers(now Time) int {
	w.promote(now)
	return w.warmedUp
}

// warmFraction returns the lower bound from slowStart.warmFraction for the current time.
func (b *Balancer) warmFraction(s *server) float64 { return b.slowStart.warmFraction(s, b.now) }

// serverPeakRate returns the recent peak rate, in requests per second, at which one warmed-up server
// completed requests of this node.
func (b *Balancer) serverPeakRate() float64 {
	return b.completions.serverPeak(b.now, b.slowStart.warmedUpServers(b.now))
}

// isLimitedByWarmup reports whether the warm-up budget, and not the concurrency window, limits what is sent
// to the server. This is so for servers that are warming up, if limits are based on load reports.
func (b *Balancer) isLimitedByWarmup(s *server) bool {
	return b.usesLoadReports() && b.warmFraction(s) < 1
}

// refillWarmupBudget refills the budget of a server that is warming up, and reports whether the budget
// permits a request. A server that has warmed up has no such limit. During a hot restart, a process that has
// handed over sends nothing to servers that are warming up.
//
// The budget is based on this node's part of the capacity of a warmed-up server. This part is the peak rate
// at which one warmed-up server completes this node's requests. Over all nodes, these rates add up to about
// what the server can serve. If load reports are known for the server's kind, the service rate of the kind,
// divided by the number of nodes, is taken instead. A server that is warming up gets its warm fraction of
// that rate, or more if its own reports show more. This is multiplied by warmupTargetFraction, and by
// OverloadMultiple-1 (at least minOverloadMargin) or, if limits are based on load reports, by the server's
// concurrencyLimit.
func (b *Balancer) refillWarmupBudget(s *server) bool {
	fraction := b.warmFraction(s)
	if fraction >= 1 || b.handedOver {
		return fraction >= 1
	}
	rules, nodes := &b.settings.Rules, float64(b.settings.NodeCount)
	perServerRate := b.serverPeakRate()
	if kind := b.loads.byKind[s.Kind]; kind != nil {
		perServerRate = kind.rate / nodes
		fraction = max(fraction, min(1, targetUtilization*s.reportedRate/kind.rate))
	}
	perServerRate = max(perServerRate, minWarmupRate/nodes)
	rate := warmupTargetFraction * max(minOverloadMargin, rules.OverloadMultiple-1) * fraction * perServerRate
	if b.usesLoadReports() {
		// concurrencyLimit is a fraction here, below 1 while the server is overloaded or slow
		rate = warmupTargetFraction * fraction * perServerRate * s.concurrencyLimit
	}
	maxTokens := max(1, rate*rules.OverloadDuration.Seconds()/warmupBurstDivisor)
	return s.warmupBudget.refill(b.now, rate, maxTokens)
}

// pickWarmingUp returns a server of the nearest segment that is warming up and may get a request now, or nil.
// Of several it returns the one with the most tokens. Without this choice, servers with capacity that come
// earlier in packing order would take its share of the requests, and it would be missing when they fail. The
// result is nil for a retry, for a request of the highest-priority class unless that class is short of
// capacity, and if limits are based on load reports.
func (b *Balancer) pickWarmingUp(r *request) (best *server) {
	avoidsWarmingUp := b.loadShedder.isHighestPriority(r.class.PriorityWeight) &&
		b.loadShedder.highPriorityShortage < maxShortageForSlowStart
	b.slowStart.promote(b.now)
	if b.usesLoadReports() || avoidsWarmingUp || len(r.attempts) > 0 {
		return nil
	}
	queue := b.slowStart.queue
	for _, entry := range queue[:min(len(queue), maxWarmingUpScanned)] {
		s := entry.server
		if s.segment != nil && s.segment == b.packing.pool.segments[0] && b.isUsable(r, s) && b.hasCapacity(s) &&
			(best == nil || s.warmupBudget.tokens > best.warmupBudget.tokens) {
			best = s
		}
	}
	return best
}
