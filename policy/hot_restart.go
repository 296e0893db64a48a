package policy

// onHandedOver hands over to another process of this node what both together may use only once: refills and
// half of the tokens of each bucket, retries, and requests to servers that are warming up. If the node is
// taken back from a process that never served, all is as before. What one that served has used isn't known,
// so then nothing is retried until that has left the window of the retry budget.
func (b *Balancer) onHandedOver(e HandedOver) {
	b.handedOver = e.Active
	b.rateLimiter.handOver(e.Active)
	if e.Active || !e.SuccessorServed {
		return
	}
	for _, s := range b.servers {
		s.warmupBudget.tokens = 0
	}
	b.retryBudget.exhaust(b.now)
}

// InFlight returns how many attempts this process has in flight, by server.
func (b *Balancer) InFlight() map[string]int {
	inFlight := make(map[string]int)
	for id, s := range b.servers {
		if s.inFlight > 0 {
			inFlight[id] = s.inFlight
		}
	}
	return inFlight
}

// SetSiblingInFlight takes over how many attempts the node's other process has in flight, by server. The
// limits hold for both together, or a server would be filled twice while one process replaces the other.
func (b *Balancer) SetSiblingInFlight(inFlight map[string]int) {
	b.window.siblingInFlight = 0
	for id, s := range b.servers {
		if s.siblingInFlight = max(0, inFlight[id]); !b.isLimitedByWarmup(s) {
			b.window.siblingInFlight += s.siblingInFlight
		}
	}
}
