package policy

// onHandedOver hands the budgets that this process shares with another process of this node over to that
// process, or takes them back. They are the refills and half of the tokens of each bucket, the retries, and
// the requests to servers that are warming up. If the successor never served, this process continues as
// before when it takes the budgets back. If the successor served, its use of the budgets is unknown: warm-up
// budgets are emptied, and nothing is retried until the successor's retries have left the window of the retry
// budget.
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

// InFlight returns the number of attempts that this process has in flight, by server ID.
func (b *Balancer) InFlight() map[string]int {
	inFlight := make(map[string]int)
	for id, s := range b.servers {
		if s.inFlight > 0 {
			inFlight[id] = s.inFlight
		}
	}
	return inFlight
}

// SetSiblingInFlight sets the number of attempts that the node's other process has in flight, by server ID.
// Limits hold for both processes together. Otherwise a server would be filled twice during a hot restart.
func (b *Balancer) SetSiblingInFlight(inFlight map[string]int) {
	b.window.siblingInFlight = 0
	for id, s := range b.servers {
		if s.siblingInFlight = max(0, inFlight[id]); !b.isLimitedByWarmup(s) {
			b.window.siblingInFlight += s.siblingInFlight
		}
	}
}
