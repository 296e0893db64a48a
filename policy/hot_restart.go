package policy

// onHandedOver hands this node's budgets over to the successor, the process that replaces this one in a hot
// restart. The budgets are the refills and half of the tokens of each bucket, the retries, and the requests
// to servers that are warming up. If the successor has ended (e.Active is false), onHandedOver takes the
// budgets back, except for the tokens. If the successor never served, this process then continues as before.
// If the successor served, its use of the budgets is unknown: warm-up budgets are emptied, and nothing is
// retried until the successor's retries have left the window of the retry budget.
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

// InFlight returns the number of attempts that this process has in flight, by server ID. It leaves out
// servers without any, and servers that are no longer listed.
func (b *Balancer) InFlight() map[string]int {
	inFlight := make(map[string]int)
	for id, s := range b.servers {
		if s.inFlight > 0 {
			inFlight[id] = s.inFlight
		}
	}
	return inFlight
}

// SetSiblingInFlight sets the number of attempts that the node's other process has in flight during a hot
// restart, by server ID. Limits hold for both processes together. Otherwise a server would be filled twice.
func (b *Balancer) SetSiblingInFlight(inFlight map[string]int) {
	b.window.siblingInFlight = 0
	for id, s := range b.servers {
		if s.siblingInFlight = max(0, inFlight[id]); !b.isLimitedByWarmup(s) {
			b.window.siblingInFlight += s.siblingInFlight
		}
	}
}
