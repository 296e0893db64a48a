package policy

import (
	"math"
	"time"
)

const (
	// targetUtilization is the fraction of the servers' cores that all nodes together try to keep busy.
	targetUtilization = 0.8
	// windowTimeConstant is the time in which the window would grow e-fold if the mean utilization were 1
	// below targetUtilization. Reports are a second or two old, so a faster window would oscillate.
	windowTimeConstant = 3 * time.Second
	// windowDecreaseFactor is how many times faster the window shrinks than it grows.
	windowDecreaseFactor = 3.0
	// utilizationGain is the weight of one report in the mean utilization. Single reports are often far from the
	// mean, in both directions.
	utilizationGain = 0.1
	// initialWindowScale and minWindowScale are the initial and the minimum scale of the window, in multiples of
	// initialReportedLimit per server.
	initialWindowScale = 1.0
	minWindowScale     = 0.2
	// initialReportedLimit is how many attempts all nodes together may have in flight at a server at first, if
	// limits are based on load reports.
	initialReportedLimit = 6.0
	// fairLimitSpread is the multiple of a server's even share of the window that a node may have in flight at
	// the server. As it is above 1, the node packs its load on fewer servers, and gets reports from each more
	// often.
	fairLimitSpread = 1.25
	// minFairLimit is the lower bound of a node's limit for a typical server, in attempts in flight, however
	// many nodes there are.
	minFairLimit = 0.7
)

// concurrencyWindow bounds the attempts that this node has in flight at all servers together, if limits are
// based on load reports. It follows the utilization of the servers, and grows only while the node needs more.
type concurrencyWindow struct {
	scale           float64 // multiple of the window that initialReportedLimit gives
	utilization     float64 // mean of the reports of warmed-up servers
	reportedAt      Time    // time of the newest of those reports; 0 before the first
	capacityWanted  bool    // since reportedAt, a server selection found no capacity
	inFlight        int     // attempts of this process in flight, without those limited by a warm-up budget
	siblingInFlight int     // the same number for the node's other process
}

// size returns the window in attempts. It is the node's share of what all nodes together may have in flight
// at the warmed-up servers, but at least 1.
func (w *concurrencyWindow) size(warmedUpWeight float64, nodeCount int) float64 {
	return max(1, w.scale*initialReportedLimit*warmedUpWeight/float64(nodeCount))
}

// observe adjusts the window to the utilization that a warmed-up server reports.
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

// concurrencyWindow returns the size of the window: how many attempts this node may have in flight before it
// is overcommitted, without those limited by a warm-up budget.
func (b *Balancer) concurrencyWindow() float64 {
	return b.window.size(b.warmedUpWeight(), b.settings.NodeCount)
}

// windowOvercommit returns the attempts in flight as a multiple of the window. It returns 0 if limits aren't
// based on load reports, because there is no window then.
func (b *Balancer) windowOvercommit() float64 {
	if !b.usesLoadReports() {
		return 0
	}
	return float64(b.window.inFlight+b.window.siblingInFlight) / b.concurrencyWindow()
}

// fairLimit returns how many attempts this node may have in flight at a server. It is fairLimitSpread
// times the server's even share of the window, but at least minFairLimit, multiplied by the server's relative
// capacity and by its concurrencyLimit, which is a fraction here.
func (b *Balancer) fairLimit(s *server) float64 {
	relativeCapacity := b.warmFraction(s)
	if b.loads.typicalLoad.samples > 0 {
		relativeCapacity = b.loads.serviceRate(s, relativeCapacity) / b.loads.typicalLoad.rate
	}
	weight := b.warmedUpWeight()
	evenShare := fairLimitSpread * b.window.size(weight, b.settings.NodeCount) / max(1, weight) * b.share.of(s)
	return s.concurrencyLimit * relativeCapacity * max(minFairLimit, evenShare)
}

// warmedUpWeight returns the number of warmed-up servers in service, without those of evacuated zones, each
// weighted by this node's share of it.
func (b *Balancer) warmedUpWeight() float64 {
	servers := b.slowStart.outsideEvacuated(b.zones.all, b.now)
	if servers.near == 0 {
		return float64(servers.far)
	}
	return float64(servers.near)*b.share.ofNearby() + float64(servers.far)
}
