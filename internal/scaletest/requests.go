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
	meanServiceTime = 50 * time.Millisecond // of a server: from half of it to one and a half
	reportUtil      = 0.5                   // of a server's cores are busy, as it reports
	reportRate      = 100.0                 // requests a second that it takes, as it reports

	timingSpan    = 400 * time.Millisecond // that steps are timed for
	minTimedSteps = 200                    // timed in any case
	maxTimedSteps = 50_000                 // timed at most
	stepsPerCheck = 16                     // between checks of whether the run was cancelled

	maxStepTime       = time.Minute // that a histogram holds
	significantDigits = 3
)

// newHistogram holds times in nanoseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxStepTime.Nanoseconds(), significantDigits)
}

// requests are the load of a hollow node, at a steady rate on the node's clock. An attempt succeeds after the time that its
// server would have taken, so that as many are in flight as at a node that serves.
type requests struct {
	node     *node.Hollow
	rng      *rand.Rand
	interval time.Duration
	depth    int // in flight
	tenants  int
	classes  []emulator.Class

	requestCount, rejectedCount int
	inFlight                    []policy.Outcome // oldest first
}

func newRequests(n *node.Hollow, fixed FixedSizes, rng *rand.Rand) *requests {
	return &requests{node: n, rng: rng, interval: time.Duration(float64(time.Second) / fixed.Requests),
		depth: max(1, int(fixed.Requests*meanServiceTime.Seconds())), tenants: fixed.Tenants, classes: emulator.Classes()}
}

// next is one request's decision, and an earlier one's outcome.
func (r *requests) next() { r.sendRequest(tenantName(r.rng.IntN(r.tenants))) }

func (r *requests) sendRequest(tenant string) {
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
	if len(r.inFlight) > r.depth {
		r.node.End(r.inFlight[0])
		r.inFlight = r.inFlight[1:]
	}
}

// finish ends what is in flight.
func (r *requests) finish() {
	for _, o := range r.inFlight {
		r.node.End(o)
	}
	r.inFlight = nil
}

// timing is the cost of so many steps.
type timing struct {
	steps int
	cpu   time.Duration           // of them all, the collector's included
	each  *hdrhistogram.Histogram // in elapsed time
}

func (t timing) cpuEach() float64 { return float64(t.cpu) / float64(t.steps) }

// perSecond is how many steps a core takes in a second.
func (t timing) perSecond() float64 { return float64(t.steps) / t.cpu.Seconds() }

// timeSteps times a step until there are enough of them.
func timeSteps(ctx context.Context, minSteps int, step func() error) (t timing, err error) {
	t.each = newHistogram()
	cpu, began := ownCPU(), time.Now()
	defer func() { t.cpu = ownCPU() - cpu }()
	for at := began; t.steps < minSteps || at.Sub(began) < timingSpan && t.steps < maxTimedSteps; {
		if t.steps%stepsPerCheck == 0 && ctx.Err() != nil {
			return t, ctx.Err()
		}
		if err := step(); err != nil {
			return t, err
		}
		now := time.Now()
		if err := t.each.RecordValue(now.Sub(at).Nanoseconds()); err != nil {
			return t, fmt.Errorf("a step took %v: %w", now.Sub(at), err)
		}
		at = now
		t.steps++
	}
	return t, nil
}
