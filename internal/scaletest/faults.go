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

// Fault is a fault of the registry, once in each point.
type Fault string

// The faults. The zero value is none.
const (
	LeaderKilled Fault = "leader-killed" // and not started again
	ReplicasDown Fault = "replicas-away" // all are killed, and started again after the scenario's outage
)

var faults = []Fault{LeaderKilled, ReplicasDown}

const (
	sampleInterval = time.Second      // the windows by which traffic is compared
	leaderTimeout  = 30 * time.Second // after a fault's end, or the point has failed
	maxReplicas    = 7
	instancesList  = "/registry/instances"
)

// Measures of a fault.
var (
	ReturnCalls    = Measure{"calls at the return, over the mean", Times} // the busiest second, of all nodes
	ReturnBytes    = Measure{"bytes at the return, over the mean", Times} // received, the same
	LeaderAgain    = Measure{"leader again", Milliseconds}                // from the leader's end, or the replicas' start
	ServersRemoved = Measure{"servers removed", Count}                    // from the list, by the fault
)

// recordFault records the traffic of the nodes after a fault of the registry over that before it, for the scenario's span
// each. Changes are made throughout, except while all replicas are down.
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
	w.record.Record(ReturnCalls, overMean(after, steady, func(t node.Traffic) uint64 { return t.Calls }))
	w.record.Record(ReturnBytes, overMean(after, steady, func(t node.Traffic) uint64 { return t.Received }))
	var list registry.EndpointList
	if err := w.clients[0].Do(ctx, http.MethodGet, instancesList, nil, &list, 0); err != nil {
		return err
	}
	w.record.Record(ServersRemoved, float64(len(w.entries)-len(list.Endpoints)))
	return nil
}

// injectFault lets the fault happen, and returns the traffic from its end on.
func (w *watchedRegistry) injectFault(ctx context.Context, tracker *changeTracker, nodes []*node.Hollow) (samples []node.Traffic, err error) {
	leader, err := w.service.AwaitLeader(ctx)
	if err != nil {
		return nil, err
	}
	if w.scenario.Fault == LeaderKilled {
		w.service.Process(leader).Kill()
		sampling := w.startSampling(nodes)
		err = w.changeWithoutLeader(ctx, tracker)
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

// changeWithoutLeader makes changes from the leader's end on; they are delayed until there is another leader.
func (w *watchedRegistry) changeWithoutLeader(ctx context.Context, tracker *changeTracker) error {
	began := time.Now()
	var waiting sync.WaitGroup
	var noLeader error
	waiting.Go(func() { noLeader = w.awaitLeader(ctx, began) })
	err := w.writeChanges(ctx, w.scenario.Span.Duration, tracker.changeDue)
	waiting.Wait()
	return cmp.Or(err, noLeader)
}

// awaitLeader waits for a leader, and records how long that took.
func (w *watchedRegistry) awaitLeader(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if _, err := w.service.AwaitLeader(ctx); err != nil {
		return err
	}
	w.record.Record(LeaderAgain, float64(time.Since(began).Milliseconds()))
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

// sampling records the traffic of all nodes window by window, until stop.
type sampling struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	samples []node.Traffic // of each window
}

func (w *watchedRegistry) startSampling(nodes []*node.Hollow) *sampling {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sampling{cancel: cancel}
	last := trafficOf(nodes)
	s.running.Go(func() {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				now := trafficOf(nodes)
				s.samples = append(s.samples, now.Since(last))
				last = now
			case <-ctx.Done():
				return
			}
		}
	})
	return s
}

// stop ends the sampling and returns the complete windows.
func (s *sampling) stop() []node.Traffic {
	s.cancel()
	s.running.Wait()
	return s.samples
}

// trafficOf sums up the traffic of nodes.
func trafficOf(nodes []*node.Hollow) (sum node.Traffic) {
	for _, n := range nodes {
		sum = sum.Plus(n.Traffic())
	}
	return sum
}

// overMean is the busiest of some windows over the mean of others; 0 where there are none.
func overMean(windows, mean []node.Traffic, of func(node.Traffic) uint64) float64 {
	var highest, sum uint64
	for _, t := range windows {
		highest = max(highest, of(t))
	}
	for _, t := range mean {
		sum += of(t)
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) / (float64(sum) / float64(len(mean)))
}
