package policy

const (
	// rateIncreaseStep and rateDecreaseStep are the part by which one choice of a server moves the
	// multiplier. As they are equal, it is steady where every second choice finds no capacity.
	rateIncreaseStep, rateDecreaseStep = 0.02, 0.02
	// minRateMultiplier bounds the multiplier from below: lower, traffic within its quota would be rejected
	// for faults that fewer requests don't cure.
	minRateMultiplier = 0.3
	// cautiousRateMultiplier is the value beyond which the multiplier rises only while few responses are
	// bad: the other nodes may need the capacity.
	cautiousRateMultiplier = 1.5
	// maxRateMultiplier bounds the multiplier from above: at three times its quotas a node admits nearly all
	// that there is capacity for.
	maxRateMultiplier = 3.0
	// maxBadRatio is the part of bad (or lost) responses beyond which they count as many.
	maxBadRatio = 0.06
	// badRatioGain and lostRatioGain are the weight of one response in the two ratios: they average over
	// some 100 and some 20 responses.
	badRatioGain, lostRatioGain = 0.01, 0.05
)

// rateMultiplier scales the refill rates of all buckets alike, by whether choices of a server find capacity.
// Without it a fleet of servers that became slow would shed no load, and a node that sees more than its even
// part of a quota would reject traffic within that quota.
type rateMultiplier struct {
	value          float64
	bucketRejected bool    // a bucket rejected a request since the last choice of a server
	badRatio       float64 // part of recent responses that were slow or failed
	lostRatio      float64 // part of recent attempts that timed out or met a full server
}

// rateConditions says how the fleet that a node belongs to bounds its multiplier.
type rateConditions struct {
	hasMembership     bool // nodes agree on how many divide the quotas, so no node may go beyond its part
	usesLoadReports   bool // low priorities give way by their overcommit limits, not all by their rates
	minLimitsOverload bool // the minimum limits of all nodes together are more than a server should bear
}

// maximum is the highest value of the multiplier.
func (c rateConditions) maximum() float64 {
	if c.hasMembership {
		return 1
	}
	return maxRateMultiplier
}

// adjust moves the multiplier after a choice of a server, by whether it found capacity. It rises only if a
// bucket rejected something meanwhile: else its value has no effect that could be judged.
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

// recordResponse follows the part of bad responses.
func (m *rateMultiplier) recordResponse(bad bool) { updateRatio(&m.badRatio, badRatioGain, bad) }

// recordLoss follows the part of lost attempts.
func (m *rateMultiplier) recordLoss(lost bool) { updateRatio(&m.lostRatio, lostRatioGain, lost) }

// rateConditions are those of this node now.
func (b *Balancer) rateConditions() rateConditions {
	return rateConditions{
		hasMembership:     b.fleetSize.hasMembership,
		usesLoadReports:   b.usesLoadReports(),
		minLimitsOverload: minLimitFraction*float64(b.settings.NodeCount) > initialFleetLimit,
	}
}

// adjustRateMultiplier moves the rate multiplier after a choice of a server.
func (b *Balancer) adjustRateMultiplier(foundCapacity bool) {
	b.rateMultiplier.adjust(foundCapacity, b.rateConditions())
}
