package policy

import (
	"math/rand/v2"
)

const (
	// maxShedProbability bounds the fraction of a class that is shed. The remaining requests show when there is
	// capacity again.
	maxShedProbability = 0.9
	// shortageGain is the weight of one request of the highest priority in highPriorityShortage, which thus
	// averages over about twenty of these requests.
	shortageGain = 0.05
	// shortageFactor multiplies highPriorityShortage in the probability of shedding, and in the reduction of
	// the lowest priority's overcommit (maxOvercommit).
	shortageFactor = 4.0
)

// loadShedder sheds requests of low priority while the highest priority finds no capacity.
type loadShedder struct {
	maxPriorityWeight    float64 // highest priority weight of any class; 0 if the settings state none
	highPriorityShortage float64 // fraction of recent requests with maxPriorityWeight that found no server
}

// configure sets the highest priority weight of the classes. The shortage is kept.
func (l *loadShedder) configure(classes []Class) {
	l.maxPriorityWeight = 0
	for _, c := range classes {
		l.maxPriorityWeight = max(l.maxPriorityWeight, c.PriorityWeight)
	}
}

// isHighestPriority reports whether no class has a higher priority weight.
func (l *loadShedder) isHighestPriority(weight float64) bool { return weight >= l.maxPriorityWeight }

// recordDispatch updates the shortage with the first dispatch of a request, if the request has the highest
// priority.
func (l *loadShedder) recordDispatch(weight float64, foundServer bool) {
	if l.isHighestPriority(weight) {
		updateRatio(&l.highPriorityShortage, shortageGain, !foundServer)
	}
}

// shouldShed decides at random whether to shed a request. The probability rises with the shortage and falls
// with the priority weight. Requests of the highest priority are never shed.
func (l *loadShedder) shouldShed(rng *rand.Rand, weight float64) bool {
	if l.highPriorityShortage == 0 || l.isHighestPriority(weight) {
		return false
	}
	return rng.Float64() < min(maxShedProbability,
		shortageFactor*l.highPriorityShortage*(1-weight/l.maxPriorityWeight))
}

// shouldShed decides at random whether to shed a request of a class. If limits are based on load reports,
// none is shed at random, because the overcommit bounds of the classes reject low priorities first.
func (b *Balancer) shouldShed(c *class) bool {
	return !b.usesLoadReports() && b.loadShedder.shouldShed(b.rng, c.PriorityWeight)
}
