package policy

import (
	"math"
	"time"
)

const (
	// targetUtilization is the busy part of the servers' cores that all nodes together aim at.
	targetUtilization = 0.8
	// windowTimeConstant is the time in which the window follows a deviation of 1 from the target e-fold.
	// Reports are a second or two old, so a faster window would oscillate.
	windowTimeConstant = 3 * time.Second
	// windowDecreaseFactor is how many times as fast the window shrinks as it grows.
	windowDecreaseFactor = 3.0
	// utilizationGain is the weight of one report in the mean utilization: a single one is far off either way.
	utilizationGain = 0.1
	// initialWindowScale and minWindowScale are the first and the least scale of the window, in multiples of
	// initialReportedLimit for each server.
	initialWindowScale = 1.0
	minWindowScale     = 0.2
	// initialReportedLimit is how many attempts all nodes together first have in flight at a server, where
	// limits rest on load reports.
	initialReportedLimit = 6.0
	// fairLimitSpread is how many times its even part of the window a node may have in flight at one server, so
	// that it packs its load on few servers and gets reports of each often.
	fairLimitSpread = 1.25
	// minFairLimit is how many attempts a node may have in flight at a typical server however many nodes there
	// are.
	minFairLimit = 0.7
)

// concurrencyWindow bounds the attempts that this node has in flight in all, where limits rest on load
// reports. It follows the utilization of the servers, and grows only while the node needs more.
type concurrencyWindow struct {
	scale           float64 // of the window, against that of initialReportedLimit
	utilization     float64 // mean of the reports of warmed-up servers
	reportedAt      Time    // of the newest of those reports; 0 before the first
	capacityWanted  bool    // a choice found no server with capacity since then
	inFlight        int     // attempts of this process in flight, but those that a warm-up budget paces
	siblingInFlight int     // and those of the node's other process
}

// size is the window in attempts: the node's part of what all nodes may have in flight at the warmed-up
// servers.
func (w *concurrencyWindow) size(warmedUpWeight float64, nodeCount int) float64 {
	return max(1, w.scale*initialReportedLimit*warmedUpWeight/float64(nodeCount))
}

// observe moves the window by the utilization that a warmed-up server reports.
func (w *concurrencyWindow) observe(utilization float64, now Time, nodeCount int) {
	if w.reportedAt == 0 {
		w.utilization = utilization
	}
	w.utilization += utilizationGain * (utilization - w.utilization)
	headroom, elapsed := targetUtilization-w.utilization, min(now-w.reportedAt, time.Second)
	if headroom < 0 {
		headroom *= windowDecreaseFactor
	}
	if headroom < 0 || w.capacityWanted {
		factor := math.Exp(headroom * elapsed.Seconds() / windowTimeConstant.Seconds())
		w.scale = min(float64(nodeCount), max(minWindowScale, w.scale*factor))
	}
	w.capacityWanted, w.reportedAt = false, now
}

// concurrencyWindow is how many attempts this node may have in flight.
func (b *Balancer) concurrencyWindow() float64 {
	return b.window.size(b.warmedUpWeight(), b.settings.NodeCount)
}

// windowOvercommit is how many times its window this node has in flight; 0 where there is no window.
func (b *Balancer) windowOvercommit() float64 {
	if !b.usesLoadReports() {
		return 0
	}
	return float64(b.window.inFlight+b.window.siblingInFlight) / b.concurrencyWindow()
}

// fairLimit is how many attempts this node may have in flight at a server: its part of the window, by what
// the server can serve.
func (b *Balancer) fairLimit(s *server) float64 {
	relativeCapacity := b.warmFraction(s)
	if b.loads.typicalLoad.samples > 0 {
		relativeCapacity = b.loads.serviceRate(s, relativeCapacity) / b.loads.typicalLoad.rate
	}
	weight := b.warmedUpWeight()
	evenShare := fairLimitSpread * b.window.size(weight, b.settings.NodeCount) / max(1, weight) * b.share.of(s)
	return s.concurrencyLimit * relativeCapacity * max(minFairLimit, evenShare)
}

// warmedUpWeight counts the warmed-up servers in service by this node's share of each, but those of evacuated
// zones.
func (b *Balancer) warmedUpWeight() float64 {
	servers := b.slowStart.outsideEvacuated(b.zones.all, b.now)
	if servers.near == 0 {
		return float64(servers.far)
	}
	return float64(servers.near)*b.share.ofNearby() + float64(servers.far)
}
