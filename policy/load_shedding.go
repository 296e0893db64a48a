package policy

import (
	"math/rand/v2"
)

const (
	// maxShedProbability bounds the part of a class that is shed: some requests go on, so that capacity that
	// comes back is seen.
	maxShedProbability = 0.9
	// shortageGain is the weight of one request of the highest priority in the shortage, which so averages
	// over some twenty of them.
	shortageGain = 0.05
	// shortageFactor is how many times the shortage goes into the probability of shedding, and comes off the
	// overcommit that the lowest priority is allowed.
	shortageFactor = 4.0
)

// loadShedder sheds requests of low priority while the highest priority finds no capacity.
type loadShedder struct {
	maxPriorityWeight    float64 // highest priority weight of a class; 0 where none is stated
	highPriorityShortage float64 // part of recent requests of that weight that found no server
}

// configure takes over the highest priority weight of the classes. The shortage stays.
func (l *loadShedder) configure(classes []Class) {
	l.maxPriorityWeight = 0
	for _, c := range classes {
		l.maxPriorityWeight = max(l.maxPriorityWeight, c.PriorityWeight)
	}
}

// isHighestPriority reports whether no class has a greater weight.
func (l *loadShedder) isHighestPriority(weight float64) bool { return weight >= l.maxPriorityWeight }

// recordDispatch follows the shortage by the first dispatch of a request.
func (l *loadShedder) recordDispatch(weight float64, foundServer bool) {
	if l.isHighestPriority(weight) {
		updateRatio(&l.highPriorityShortage, shortageGain, !foundServer)
	}
}

// shouldShed draws whether to shed a request: likelier the greater the shortage and the lower its priority.
func (l *loadShedder) shouldShed(rng *rand.Rand, weight float64) bool {
	if l.highPriorityShortage == 0 || l.isHighestPriority(weight) {
		return false
	}
	return rng.Float64() < min(maxShedProbability,
		shortageFactor*l.highPriorityShortage*(1-weight/l.maxPriorityWeight))
}

// shouldShed draws whether to shed a request of a class. Where servers report their load, the overcommit
// limits of the classes do that.
func (b *Balancer) shouldShed(c *class) bool {
	return !b.usesLoadReports() && b.loadShedder.shouldShed(b.rng, c.PriorityWeight)
}
