package policy

import "time"

const (
	// warmupMargin is the part of the overload bound that all nodes together aim at. The rest absorbs requests
	// that arrive together by chance, heavy requests, and differences between servers.
	warmupMargin = 0.7
	// minOverloadMargin is the least part of a server's present capacity that the overload bound counts for.
	minOverloadMargin = 0.5
	// minWarmupRate is what all nodes together send a server that is warming up while nothing is known of the
	// capacity of others, in requests a second.
	minWarmupRate = 1.0
	// warmupBurstDivisor bounds a burst: that part of what the budget allows within the overload duration.
	warmupBurstDivisor = 4
	// maxWarmingUpScanned bounds how many servers that are warming up a choice looks at before its walk, and so
	// the cost of a choice while many start together.
	maxWarmingUpScanned = 16
	// maxShortageForSlowStart is the shortage of the highest-priority class up to which its requests avoid
	// servers that are warming up.
	maxShortageForSlowStart = 0.05
)

// slowStart bounds what servers get while they warm up after their start. It owns the counts of the servers
// that have warmed up and the queue of those that haven't.
type slowStart struct {
	minCapacity float64       // part of its capacity that a server has when it starts
	duration    time.Duration // in which it reaches its whole capacity

	warmedUp            int               // servers in service that have warmed up
	warmedUpUnmonitored serversByDistance // those of them in zones that aren't monitored
	queue               serverQueue       // the other servers in service, by when they will have warmed up
}

// serversByDistance counts servers by whether crossing to them costs nothing.
type serversByDistance struct{ near, far int }

// warmupContribution is what a server in service adds to the counts of slowStart.
type warmupContribution struct {
	zone     *zoneHealth // under which it counts
	warmedUp bool
	queued   bool
}

// warmupBudget is a token bucket in fractions of a request. It fills at the rate at which this node may
// send to a server that is warming up.
type warmupBudget struct {
	tokens     float64
	refilledAt Time
}

// refill adds the tokens of the time since the last refill, up to maxTokens, and reports whether a request
// may be sent. The rate is in requests a second.
func (w *warmupBudget) refill(now Time, rate, maxTokens float64) bool {
	w.tokens, w.refilledAt = min(maxTokens, w.tokens+rate*(now-w.refilledAt).Seconds()), now
	return w.tokens >= 1
}

// configure sets the figures of the site's rules.
func (w *slowStart) configure(rules *Rules) {
	w.minCapacity, w.duration = rules.SlowStartMinCapacity, rules.SlowStartDuration
}

// warmFraction is the part of its capacity that a server has reached at least; 1 once it has warmed up.
func (w *slowStart) warmFraction(s *server, now Time) float64 {
	age := now - s.StartedAt
	if s.StartedAt <= 0 || age >= w.duration {
		return 1
	}
	return w.minCapacity + (1-w.minCapacity)*max(0, age.Seconds())/w.duration.Seconds()
}

// reset empties the counts of servers.
func (w *slowStart) reset(zones []*zoneHealth) {
	w.warmedUp, w.warmedUpUnmonitored, w.queue = 0, serversByDistance{}, nil
	for _, z := range zones {
		z.warmedUp = 0
	}
}

// add counts a server that has come into service.
func (w *slowStart) add(s *server, now Time) {
	s.contribution.warmup.zone = s.zone
	w.count(s, now)
}

// remove takes a server off the counts that has left service. Its entry in the queue is ignored later.
func (w *slowStart) remove(s *server) {
	if s.contribution.warmup.warmedUp {
		s.contribution.warmup.warmedUp = false
		w.addWarmedUp(s.contribution.warmup.zone, -1)
	}
}

// count counts a server in service if it has warmed up, and queues it otherwise.
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

// addWarmedUp changes the counts that a server of a zone belongs to.
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

// outsideEvacuated counts the warmed-up servers in service whose zones aren't evacuated.
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

// warmedUpServers counts the servers in service that have warmed up by now.
func (w *slowStart) warmedUpServers(now Time) int {
	w.promote(now)
	return w.warmedUp
}

// warmFraction is the part of its capacity that a server has reached by now.
func (b *Balancer) warmFraction(s *server) float64 { return b.slowStart.warmFraction(s, b.now) }

// serverPeakRate is the most requests a second that one warmed-up server lately completed for this node.
func (b *Balancer) serverPeakRate() float64 {
	return b.completions.serverPeak(b.now, b.slowStart.warmedUpServers(b.now))
}

// isLimitedByWarmup reports whether the warm-up budget alone paces what a server gets, and not the node's
// window.
func (b *Balancer) isLimitedByWarmup(s *server) bool {
	return b.usesLoadReports() && b.warmFraction(s) < 1
}

// refillWarmupBudget refills the budget of a server that is warming up, and reports whether the server may
// get a request as far as its warm-up goes; always once it has warmed up. What a warmed-up server completes
// for this node is, summed over the nodes, what one can take; a server that is warming up gets the part of
// that which it has reached, below the multiple at which the site's rules say that it becomes overloaded.
// Where load is reported, the service rate of its kind counts instead.
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
	rate := warmupMargin * max(minOverloadMargin, rules.OverloadMultiple-1) * fraction * perServerRate
	if b.usesLoadReports() {
		rate = warmupMargin * fraction * perServerRate * s.concurrencyLimit // less while it is overloaded or slow
	}
	maxTokens := max(1, rate*rules.OverloadDuration.Seconds()/warmupBurstDivisor)
	return s.warmupBudget.refill(b.now, rate, maxTokens)
}

// pickWarmingUp returns a server of the nearest segment that is warming up and may get a request now, or
// nil. Without this, servers with capacity that stand earlier in the walk would take its part, and it would
// be missed when they fail. Retries and, unless it is short of capacity, the highest-priority class keep to
// servers that have warmed up.
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
