package policy

const (
	maxOvercommitLearned  = 2.0 // times its limit, the least busy is filled by the dearest class,
	maxOvercommitReported = 1.5 // or this where reports make it: own answers tell too little of room,
	minOvercommit         = 0.8 // and down to this by one that is worth next to nothing
)

// maxOvercommit is how many times its limit the least busy server is filled for a class. Without room for
// all, what is worth less is given up first; beyond the most, answers would only be late.
func (b *Balancer) maxOvercommit(c *class) float64 {
	most := maxOvercommitLearned
	if b.usesLoadReports() {
		most = maxOvercommitReported
	}
	if b.loadShedder.maxPriorityWeight <= 0 { // the site states no worth
		return most
	}
	least := max(0, minOvercommit-shortageFactor*b.loadShedder.highPriorityShortage)
	return least + (most-least)*c.PriorityWeight/b.loadShedder.maxPriorityWeight
}

// serverOvercommit sets attempts in flight against what s was seen to take, lest one that others fill look
// idle. A threshold under one is kept in time, and so is crowding then.
func (b *Balancer) serverOvercommit(s *server) float64 {
	limit := b.effectiveLimit(s)
	if limit < 1 && s.totalInFlight() == 0 && b.usesLoadReports() {
		return s.meanLatency / limit / (s.meanLatency + (b.now - s.lastSentAt).Seconds())
	}
	return float64(s.totalInFlight()+1) / limit
}
