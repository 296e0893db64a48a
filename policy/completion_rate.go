package policy

import (
	"math"
	"time"
)

const (
	// completionRateTime is the time constant of the completion rate: long enough for some responses at a node
	// with little traffic.
	completionRateTime = 3 * time.Second
	// peakRateDecayTime is the time constant with which the peak rate of a server is forgotten.
	peakRateDecayTime = time.Minute
)

// completionRate measures how many OK responses a second come from servers that have warmed up, and the
// peak of that for one of them. Without load reports, the peak is what one server is known to be able to
// serve.
type completionRate struct {
	rate   float64 // responses a second, decayed as of at
	rateAt Time
	peak   float64 // responses a second of one server, decayed as of peakAt
	peakAt Time
}

// record counts a response.
func (c *completionRate) record(now Time, servers int) {
	c.rate, c.rateAt = c.current(now)+1/completionRateTime.Seconds(), now
	c.serverPeak(now, servers)
}

// current is how many responses a second came lately.
func (c *completionRate) current(now Time) float64 {
	return c.rate * math.Exp(-(now-c.rateAt).Seconds()/completionRateTime.Seconds())
}

// serverPeak is the most responses a second that lately came from one server. The peak counts because the
// present rate falls while servers fail, which would starve those that come back of requests.
func (c *completionRate) serverPeak(now Time, servers int) float64 {
	currentRate := c.current(now) / max(1, float64(servers))
	c.peak = max(currentRate, c.peak*math.Exp(-(now-c.peakAt).Seconds()/peakRateDecayTime.Seconds()))
	c.peakAt = now
	return c.peak
}
