package policy

// Overcommit is the number of attempts in flight as a multiple of a server's limit, or of a node's window. If
// no server has capacity, the least overcommitted one is used, up to a bound that depends on the priority of
// the class.

const (
	// maxLearnedOvercommit bounds the overcommit for the highest priority if limits are learned from responses.
	maxLearnedOvercommit = 2.0
	// maxReportedOvercommit is that bound if limits are based on load reports. These limits are closer to the
	// capacity of the servers.
	maxReportedOvercommit = 1.5
	// minOvercommit is the bound for a priority weight of 0 while the highest priority isn't short of capacity.
	minOvercommit = 0.8
)

// maxOvercommit returns the bound of the overcommit for a class. The lower the priority weight of the class,
// the sooner its requests are given up when capacity is short. Beyond the bound, responses would only be
// late.
func (b *Balancer) maxOvercommit(c *class) float64 {
	highest := maxLearnedOvercommit
	if b.usesLoadReports() {
		highest = maxReportedOvercommit
	}
	if b.loadShedder.maxPriorityWeight <= 0 { // the settings state no priorities
		return highest
	}
	lowest := max(0, minOvercommit-shortageFactor*b.loadShedder.highPriorityShortage)
	return lowest + (highest-lowest)*c.PriorityWeight/b.loadShedder.maxPriorityWeight
}

// serverOvercommit returns the overcommit of a server with one more attempt. With load reports, a limit under
// one is spread over time: while no attempt is in flight, the overcommit falls with the time since the last
// attempt was sent.
func (b *Balancer) serverOvercommit(s *server) float64 {
	limit := b.effectiveLimit(s)
	if limit < 1 && s.totalInFlight() == 0 && b.usesLoadReports() {
		return s.meanLatency / limit / (s.meanLatency + (b.now - s.lastSentAt).Seconds())
	}
	return float64(s.totalInFlight()+1) / limit
}
