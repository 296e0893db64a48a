package scaletest

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"sloerail/internal/node"
	"sloerail/internal/registry"
)

// Fault is a fault of the registry that is injected once in each point.
type Fault string

// The faults. The zero value injects none.
const (
	LeaderKilled Fault = "leader-killed" // the leader is killed and not restarted
	ReplicasDown Fault = "replicas-away" // all replicas are killed, and restarted after Scenario.Outage
)

var faults = []Fault{LeaderKilled, ReplicasDown}

const (
	sampleInterval   = time.Second      // window over which traffic is summed
	leaderTimeout    = 30 * time.Second // a point fails if the leader election takes longer
	maxReplicas      = 7
	instanceListPath = "/registry/instances"
)

// Measures of a fault. The mean that a peak is divided by is the mean before the fault.
var (
	PeakCallsAfterFault = Measure{"calls at the return, over the mean", Times} // of all nodes, in the busiest second after the fault
	PeakBytesAfterFault = Measure{"bytes at the return, over the mean", Times} // received by all nodes, in the busiest second after it
	LeaderElectionTime  = Measure{"leader again", Milliseconds}                // since the kill of the leader, or the replicas' restart
	ServersRemoved      = Measure{"servers removed", Count}                    // missing from the list after the fault
)

// recordFault records the peak traffic of the nodes after a fault of the registry, relative to the mean before it. It
// changes the list for the scenario's span before the fault, and again for the span after it.
func (w *watchedRegistry) recordFault(ctx context.Context, tracker *changeTracker, nodes []*node.Hollow) error {
	w.startCounting(tracker)
	before := w.startSampling(nodes)
	err := w.writeChanges(ctx, w.scenario.Span.Duration, tracker.changeDue)
	steady := before.stop()
	if err != nil {
		return err
	}
	after, err := w.injectFault(ctx, tracker, nodes)
	if err != nil {
		return err
	}
	w.record.Record(PeakCallsAfterFault, peakOverMean(after, steady, func(t node.Traffic) uint64 { return t.Calls }))
	w.record.Record(PeakBytesAfterFault, peakOverMean(after, steady, func(t node.Traffic) uint64 { return t.Received }))
	var list registry.EndpointList
	if err := w.clients[0].Do(ctx, http.MethodGet, instanceListPath, nil, &list, 0); err != nil {
		return err
	}
	w.record.Record(ServersRemoved, float64(len(w.entries)-len(list.Endpoints)))
	return nil
}

// injectFault injects the scenario's fault. It returns the traffic since the leader was killed, or since the replicas were
// restarted.
func (w *watchedRegistry) injectFault(ctx context.Context, tracker *changeTracker, nodes []*node.Hollow) (
	samples []node.Traffic, err error) {
	leader, err := w.service.AwaitLeader(ctx)
	if err != nil {
		return nil, err
	}
	if w.scenario.Fault == LeaderKilled {
		w.service.Process(leader).Kill()
		sampling := w.startSampling(nodes)
		err = w.writeChangesDuringElection(ctx, tracker)
		return sampling.stop(), err
	}
	for _, name := range w.service.Names {
		w.service.Process(name).Kill()
	}
	if err := sleep(ctx, w.scenario.Outage.Duration); err != nil {
		return nil, err
	}
	sampling, began := w.startSampling(nodes), time.Now()
	if err = w.startReplicas(); err == nil {
		err = w.awaitLeader(ctx, began)
	}
	if err == nil {
		err = w.writeChanges(ctx, w.scenario.Span.Duration, tracker.changeDue)
	}
	return sampling.stop(), err
}

// writeChangesDuringElection writes changes for the scenario's span after the leader was killed, and records how long the
// election of a new leader takes. Until then, writes are delayed.
func (w *watchedRegistry) writeChangesDuringElection(ctx context.Context, tracker *changeTracker) error {
	began := time.Now()
	var wg sync.WaitGroup
	var leaderErr error
	wg.Go(func() { leaderErr = w.awaitLeader(ctx, began) })
	err := w.writeChanges(ctx, w.scenario.Span.Duration, tracker.changeDue)
	wg.Wait()
	return cmp.Or(err, leaderErr)
}

// awaitLeader waits for a leader, and records the time since began.
func (w *watchedRegistry) awaitLeader(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if _, err := w.service.AwaitLeader(ctx); err != nil {
		return err
	}
	w.record.Record(LeaderElectionTime, float64(time.Since(began).Milliseconds()))
	return nil
}

// startReplicas starts all replicas of the registry.
func (w *watchedRegistry) startReplicas() error {
	for _, name := range w.service.Names {
		if err := w.service.Start(name); err != nil {
			return err
		}
	}
	return nil
}

// sampling records the traffic of all nodes in each sampleInterval until stop is called.
type sampling struct {
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	samples []node.Traffic // one for each complete window
}

func (w *watchedRegistry) startSampling(nodes []*node.Hollow) *sampling {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sampling{cancel: cancel}
	last := totalTraffic(nodes)
	s.wg.Go(func() {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				now := totalTraffic(nodes)
				s.samples = append(s.samples, now.Since(last))
				last = now
			case <-ctx.Done():
				return
			}
		}
	})
	return s
}

// stop ends the sampling and returns the traffic of the complete windows.
func (s *sampling) stop() []node.Traffic {
	s.cancel()
	s.wg.Wait()
	return s.samples
}

// totalTraffic returns the sum of the nodes' traffic.
func totalTraffic(nodes []*node.Hollow) (sum node.Traffic) {
	for _, n := range nodes {
		sum = sum.Add(n.Traffic())
	}
	return sum
}

// peakOverMean returns the largest value of windows divided by the mean value of baseline, or 0 if the baseline is empty or
// all 0.
func peakOverMean(windows, baseline []node.Traffic, value func(node.Traffic) uint64) float64 {
	var highest, sum uint64
	for _, t := range windows {
		highest = max(highest, value(t))
	}
	for _, t := range baseline {
		sum += value(t)
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) / (float64(sum) / float64(len(baseline)))
}
