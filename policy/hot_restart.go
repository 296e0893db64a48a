package policy

// onHandedOver leaves to the process that takes over what both may spend only once: refills and half of the
// tokens of each bucket, further attempts, and all that goes to cold servers. Taken back from one that
// never served, it is as before; what one that served has spent is not known, so nothing is repeated while
// that may count.
func (b *Balancer) onHandedOver(e HandedOver) {
	b.handedOver = e.Active
	for _, k := range b.buckets {
		if e.Active {
			k.tokens -= k.tokens / 2
		}
	}
	for _, s := range b.servers {
		if !e.Active && e.SuccessorServed {
			s.warmupBudget.tokens = 0
		}
	}
	if !e.Active && e.SuccessorServed {
		for range int(b.retryBudget.MinRetries + b.retryBudget.RetryRatio*float64(len(b.acceptedAt))) {
			b.retriesAt = append(b.retriesAt, b.now)
		}
	}
}

// InFlight tells how many attempts this process has out at each server.
func (b *Balancer) InFlight() map[string]int {
	all := make(map[string]int)
	for id, s := range b.servers {
		if s.inFlight > 0 {
			all[id] = s.inFlight
		}
	}
	return all
}

// SetSiblingInFlight takes over how many attempts the node's other process has out at each server: thresholds
// hold for both together, or a server would be filled twice while one process replaces the other.
func (b *Balancer) SetSiblingInFlight(out map[string]int) {
	b.window.siblingInFlight = 0
	for id, s := range b.servers {
		if s.siblingInFlight = max(0, out[id]); !b.isLimitedByWarmup(s) {
			b.window.siblingInFlight += s.siblingInFlight
		}
	}
}
