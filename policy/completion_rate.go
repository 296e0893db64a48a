package policy

import (
	"math"
	"time"
)

const (
	// completionRateTime is the time constant of the completion rate: long enough to cover several responses at
	// a node with little traffic.
	completionRateTime = 3 * time.Second
	// peakRateDecayTime is the time constant with which the peak rate of a server decays.
	peakRateDecayTime = time.Minute
)

// completionRate measures the rate of OK responses from warmed-up servers, and the peak of this rate per
// server. Without load reports, the peak is this node's part of what one server is known to be able to serve.
type completionRate struct {
	rate   float64 // responses per second, decayed until rateAt
	rateAt Time
	peak   float64 // responses per second from one server, decayed until peakAt
	peakAt Time
}

// record counts a response. The argument servers is the current number of warmed-up servers.
func (c *completionRate) record(now Time, servers int) {
	c.rate, c.rateAt = c.current(now)+1/completionRateTime.Seconds(), now
	c.serverPeak(now, servers)
}

// current returns the recent number of responses per second.
func (c *completionRate) current(now Time) float64 {
	return c.rate * math.Exp(-(now-c.rateAt).Seconds()/completionRateTime.Seconds())
}

// serverPeak returns the highest recent number of responses per second from one server. The peak is
// used because the current rate falls while servers fail, and servers that return would get too few requests.
func (c *completionRate) serverPeak(now Time, servers int) float64 {
	currentRate := c.current(now) / max(1, float64(servers))
	c.peak = max(currentRate, c.peak*math.Exp(-(now-c.peakAt).Seconds()/peakRateDecayTime.Seconds()))
	c.peakAt = now
	return c.peak
}
