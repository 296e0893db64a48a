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
	meanServiceTime = 50 * time.Millisecond // that a server takes in the mean; spread by half
	reportUtil      = 0.5                   // of a server's cores are busy, as it reports
	reportRate      = 100.0                 // requests a second that it takes, as it reports

	timingSpan    = 400 * time.Millisecond // that steps are timed for,
	minTimedSteps = 200                    // unless they are fewer then,
	maxTimedSteps = 50_000                 // or already more
	stepsPerCheck = 16                     // steps between looks at whether the run was called off

	maxStepTime       = time.Minute // that a histogram holds
	significantDigits = 3
)

// newHistogram holds times in nanoseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxStepTime.Nanoseconds(), significantDigits)
}

// requests are those that come to a hollow node, at a steady rate on the node's clock. An attempt ends well when its
// server would have answered, so that as many are in flight as at a node that serves.
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

func newRequests(n *node.Hollow, held FixedSizes, rng *rand.Rand) *requests {
	return &requests{node: n, rng: rng, interval: time.Duration(float64(time.Second) / held.Requests),
		depth: max(1, int(held.Requests*meanServiceTime.Seconds())), tenants: held.Tenants, classes: emulator.Classes()}
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
	took := meanServiceTime/2 + time.Duration(r.rng.Int64N(int64(meanServiceTime)))
	r.inFlight = append(r.inFlight, policy.Outcome{ID: id, Server: server, Code: policy.OK, Latency: took,
		LoadReport: []float64{float64(took.Milliseconds()), reportUtil, reportRate}})
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

// timing is what so many steps took.
type timing struct {
	steps int
	cpu   time.Duration           // of them all, the collector's included
	each  *hdrhistogram.Histogram // in elapsed time
}

func (t timing) cpuEach() float64 { return float64(t.cpu) / float64(t.steps) }

// perSecond is how many steps a core takes in a second.
func (t timing) perSecond() float64 { return float64(t.steps) / t.cpu.Seconds() }

// timeSteps times a step until there are enough of them.
func timeSteps(ctx context.Context, least int, step func() error) (t timing, err error) {
	t.each = newHistogram()
	cpu, began := ownCPU(), time.Now()
	defer func() { t.cpu = ownCPU() - cpu }()
	for at := began; t.steps < least || at.Sub(began) < timingSpan && t.steps < maxTimedSteps; {
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
