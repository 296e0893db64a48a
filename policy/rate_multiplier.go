package policy

const (
	// rateIncreaseStep and rateDecreaseStep are the fractions by which one server selection moves the
	// multiplier. As they are equal, the multiplier stays about the same while buckets reject requests and every
	// second selection finds no capacity.
	rateIncreaseStep, rateDecreaseStep = 0.02, 0.02
	// minRateMultiplier is the lower bound of the multiplier; if limits are based on load reports, the bound
	// is 1. If the multiplier fell further, traffic within its quota would be rejected because of faults that
	// fewer requests don't cure.
	minRateMultiplier = 0.3
	// cautiousRateMultiplier is the value above which the multiplier rises only while few responses are slow or
	// failed, and falls while many are, since the other nodes may need the capacity.
	cautiousRateMultiplier = 1.5
	// maxRateMultiplier is the upper bound of the multiplier: at three times its quotas, a node admits nearly
	// everything that there is capacity for.
	maxRateMultiplier = 3.0
	// maxBadRatio is the threshold for both badRatio and lostRatio.
	maxBadRatio = 0.06
	// badRatioGain and lostRatioGain are the weights of one response in badRatio and lostRatio, which average
	// over about 100 and about 20 responses.
	badRatioGain, lostRatioGain = 0.01, 0.05
)

// rateMultiplier scales the refill rates of all buckets, depending on whether server selections find
// capacity. Without it, a fleet whose servers became slow would shed no load, and a node that receives more
// than its even share of a quota's traffic would reject traffic within that quota.
type rateMultiplier struct {
	value          float64
	bucketRejected bool    // a bucket rejected a request since the last server selection
	badRatio       float64 // fraction of recent responses that were slow or failed
	lostRatio      float64 // fraction of recent attempts that ended with TimedOut or Overloaded
}

// rateConditions holds the conditions in the fleet that bound a node's multiplier.
type rateConditions struct {
	// hasMembership is true if membership tells the nodes how many of them share the quotas. No node may then
	// exceed its share.
	hasMembership bool
	// usesLoadReports is true if the servers' concurrency limits are based on load reports. When capacity is
	// short, the overcommit bounds (overcommit.go) then reject low priorities first, while lower refill rates
	// would reject all priorities alike.
	usesLoadReports bool
	// minLimitsOverload is true if the minimum limits of all nodes for a server add up to more attempts than the
	// server should get.
	minLimitsOverload bool
}

// maximum returns the upper bound of the multiplier.
func (c rateConditions) maximum() float64 {
	if c.hasMembership {
		return 1
	}
	return maxRateMultiplier
}

// adjust moves the multiplier after a server selection, depending on whether it found capacity. The
// multiplier rises only if a bucket rejected a request since the last selection. Otherwise a higher one would
// have admitted no more requests.
func (m *rateMultiplier) adjust(foundCapacity bool, conditions rateConditions) {
	manyLost := m.lostRatio > maxBadRatio && !conditions.usesLoadReports && conditions.minLimitsOverload
	switch {
	case !foundCapacity && conditions.usesLoadReports:
		m.value = max(1, m.value*(1-rateDecreaseStep))
	case !foundCapacity || manyLost:
		m.value = max(minRateMultiplier, m.value*(1-rateDecreaseStep))
	case m.value > cautiousRateMultiplier && m.badRatio > maxBadRatio:
		m.value *= 1 - rateDecreaseStep
	case m.bucketRejected && (m.value < cautiousRateMultiplier || m.badRatio < maxBadRatio):
		m.value = min(conditions.maximum(), m.value*(1+rateIncreaseStep))
	}
	m.bucketRejected = false
}

// recordRejection records that a bucket rejected a request.
func (m *rateMultiplier) recordRejection() { m.bucketRejected = true }

// recordResponse updates the fraction of bad responses.
func (m *rateMultiplier) recordResponse(bad bool) { updateRatio(&m.badRatio, badRatioGain, bad) }

// recordLoss updates the fraction of lost attempts (lostRatio).
func (m *rateMultiplier) recordLoss(lost bool) { updateRatio(&m.lostRatio, lostRatioGain, lost) }

// rateConditions returns the current conditions of this node.
func (b *Balancer) rateConditions() rateConditions {
	return rateConditions{
		hasMembership:     b.fleetSize.hasMembership,
		usesLoadReports:   b.usesLoadReports(),
		minLimitsOverload: minLimitFraction*float64(b.settings.NodeCount) > initialFleetLimit,
	}
}

// adjustRateMultiplier moves the rate multiplier after a server selection.
func (b *Balancer) adjustRateMultiplier(foundCapacity bool) {
	b.rateMultiplier.adjust(foundCapacity, b.rateConditions())
}
