package scaletest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloerail/internal/emulator"
	"sloerail/internal/node"
	"sloerail/policy"
)

const (
	meanServiceTime = 50 * time.Millisecond // service times of servers are 0.5 to 1.5 times this
	reportUtil      = 0.5                   // share of a server's cores that it reports as busy
	reportRate      = 100.0                 // requests a second that a server reports

	timingSpan    = 400 * time.Millisecond // minimum time over which steps (decisions or list changes) are timed
	minTimedSteps = 200                    // even if they take more than timingSpan
	maxTimedSteps = 50_000                 // even if they take less than timingSpan
	stepsPerCheck = 16                     // steps between checks for cancellation

	maxStepTime       = time.Minute // largest value of a histogram
	significantDigits = 3
)

// newHistogram returns a histogram of times in nanoseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxStepTime.Nanoseconds(), significantDigits)
}

// requestLoad sends requests to a hollow node (a node's code in this process, without sockets for requests) at a steady rate
// on the node's clock. Each attempt succeeds and stays in flight for about the mean service time, so about as many attempts
// are in flight as at a node that serves real requests.
type requestLoad struct {
	node        *node.Hollow
	rng         *rand.Rand
	interval    time.Duration
	maxInFlight int // limit of attempts in flight
	tenants     int
	classes     []emulator.Class

	requestCount, rejectedCount int
	inFlight                    []policy.Outcome // oldest first
}

func newRequestLoad(n *node.Hollow, fixed FixedSizes, rng *rand.Rand) *requestLoad {
	return &requestLoad{node: n, rng: rng, interval: time.Duration(float64(time.Second) / fixed.Requests),
		maxInFlight: max(1, int(fixed.Requests*meanServiceTime.Seconds())), tenants: fixed.Tenants, classes: emulator.Classes()}
}

// sendNext sends a request of a random tenant. If more than maxInFlight attempts are then in flight, it
// ends the oldest one.
func (r *requestLoad) sendNext() { r.sendRequest(tenantName(r.rng.IntN(r.tenants))) }

func (r *requestLoad) sendRequest(tenant string) {
	r.node.Advance(r.interval)
	class := r.classes[r.rng.IntN(len(r.classes))]
	r.requestCount++
	id := strconv.Itoa(r.requestCount)
	server, sent := r.node.Decide(policy.Request{ID: id, Class: class.Name, Tenant: tenant, Timeout: class.Deadline})
	if !sent {
		r.rejectedCount++
		return
	}
	latency := meanServiceTime/2 + time.Duration(r.rng.Int64N(int64(meanServiceTime)))
	r.inFlight = append(r.inFlight, policy.Outcome{ID: id, Server: server, Code: policy.OK, Latency: latency,
		LoadReport: []float64{float64(latency.Milliseconds()), reportUtil, reportRate}})
	if len(r.inFlight) > r.maxInFlight {
		r.node.ReportOutcome(r.inFlight[0])
		r.inFlight = r.inFlight[1:]
	}
}

// finish ends all attempts in flight.
func (r *requestLoad) finish() {
	for _, o := range r.inFlight {
		r.node.ReportOutcome(o)
	}
	r.inFlight = nil
}

// timing is the cost of a number of steps.
type timing struct {
	steps     int
	cpu       time.Duration           // of all steps, with garbage collection
	histogram *hdrhistogram.Histogram // elapsed time of each step in nanoseconds
}

func (t timing) cpuPerStep() float64 { return float64(t.cpu) / float64(t.steps) }

// stepsPerCPUSecond returns the number of steps for each second of CPU time.
func (t timing) stepsPerCPUSecond() float64 { return float64(t.steps) / t.cpu.Seconds() }

// timeSteps repeats a step at least minSteps times, and then until timingSpan is over or maxTimedSteps are done.
func timeSteps(ctx context.Context, minSteps int, step func() error) (t timing, err error) {
	t.histogram = newHistogram()
	cpu, began := ownCPU(), time.Now()
	defer func() { t.cpu = ownCPU() - cpu }()
	for last := began; t.steps < minSteps || last.Sub(began) < timingSpan && t.steps < maxTimedSteps; {
		if t.steps%stepsPerCheck == 0 && ctx.Err() != nil {
			return t, ctx.Err()
		}
		if err := step(); err != nil {
			return t, err
		}
		now := time.Now()
		if err := t.histogram.RecordValue(now.Sub(last).Nanoseconds()); err != nil {
			return t, fmt.Errorf("recording a step of %v: %w", now.Sub(last), err)
		}
		last = now
		t.steps++
	}
	return t, nil
}
