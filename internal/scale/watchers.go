package scale

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sloerail/internal/node"
	"sloerail/internal/registry"
	"sloerail/internal/rig"
	"sloerail/policy"
)

const (
	writers       = 32               // that register servers at a time
	lease         = 10 * time.Minute // of each server: longer than a point takes
	settleFor     = time.Second      // after all nodes have the list, before anything is measured
	overheadFor   = time.Second      // of changes with no node, whose processor time is the measuring's own
	latestChange  = 5 * time.Second  // after the last change, until what isn't in force counts as missed
	replicaName   = "r0"
	instancesPath = "/registry/instances/"
)

// measureWatchers measures one replica of the list service, a process of its own, and hollow nodes in this process that
// watch it while its list changes.
func measureWatchers(ctx context.Context, p *point) error {
	w, err := p.newWatched(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	tracker := newChangeTracker(p.held.Nodes)
	overhead, err := w.overhead(ctx)
	if err != nil {
		return err
	}
	before := heapInUse()
	nodes, stop, err := w.startNodes(ctx, tracker)
	if err != nil {
		return err
	}
	defer stop()
	if err := tracker.awaitLists(ctx); err != nil {
		return err
	}
	if err := pause(ctx, settleFor); err != nil {
		return err
	}
	p.record.Record(Heap, (heapInUse()-before)/float64(len(nodes)))
	if err := w.recordSpan(ctx, tracker, nodes, overhead); err != nil {
		return err
	}
	return w.recordInForce(ctx, tracker)
}

// watched is a list service under change.
type watched struct {
	*point
	rig     *rig.Rig
	service *rig.Registry
	client  *registry.Client
	entries []registry.Entry
	changes int // made so far
}

// newWatched starts a replica and registers the servers.
func (p *point) newWatched(ctx context.Context) (*watched, error) {
	r, err := rig.New(p.dir, p.scenario.Seed)
	if err != nil {
		return nil, err
	}
	w := &watched{point: p, rig: r, entries: p.fleet.servers()}
	if err := w.startService(ctx); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *watched) close() { w.rig.Close() }

func (w *watched) startService(ctx context.Context) (err error) {
	if w.service, err = w.rig.NewRegistry(1); err != nil {
		return err
	}
	if err := w.service.Start(replicaName); err != nil {
		return err
	}
	if _, err := w.service.AwaitLeader(ctx); err != nil {
		return err
	}
	w.client = registry.NewClient(w.service.Addresses())
	return w.registerAll(ctx)
}

// registerAll registers all servers, several at a time.
func (w *watched) registerAll(ctx context.Context) error {
	var all sync.WaitGroup
	failed := make([]error, writers)
	for i := range writers {
		all.Go(func() {
			client := registry.NewClient(w.service.Addresses())
			for at := i; at < len(w.entries) && failed[i] == nil; at += writers {
				failed[i] = register(ctx, client, w.entries[at])
			}
		})
	}
	all.Wait()
	return errors.Join(failed...)
}

// registration is what the list service takes of an instance.
type registration struct {
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	LeaseMs  int64   `json:"lease_ms"`
}

func register(ctx context.Context, client *registry.Client, e registry.Entry) error {
	body := registration{HostPort: e.HostPort, Locality: e.Locality, Flavor: e.Flavor, Cell: e.Cell, Phase: e.Phase,
		Size: e.Size, LeaseMs: lease.Milliseconds()}
	return client.Do(ctx, http.MethodPut, instancesPath+e.ID, body, nil, 0)
}

// change changes the next server in turn. Its cell tells the change's number.
func (w *watched) change(ctx context.Context) error {
	e := w.entries[w.changes%len(w.entries)]
	e.Cell = changeCell(w.changes)
	w.changes++
	return register(ctx, w.client, e)
}

// changeFor changes the list for a while, at the held rate. before is told of each change's number.
func (w *watched) changeFor(ctx context.Context, span time.Duration, before func(change int)) error {
	every := time.Duration(float64(time.Minute) / w.held.Changes)
	began := time.Now()
	for n := 0; time.Duration(n)*every < span; n++ {
		if err := pause(ctx, time.Until(began.Add(time.Duration(n)*every))); err != nil {
			return err
		}
		before(w.changes)
		if err := w.change(ctx); err != nil {
			return err
		}
	}
	return pause(ctx, time.Until(began.Add(span)))
}

// overhead is the processor time a second that changing the list takes of this process.
func (w *watched) overhead(ctx context.Context) (float64, error) {
	cpu, began := ownCPU(), time.Now()
	if err := w.changeFor(ctx, overheadFor, func(int) {}); err != nil {
		return 0, err
	}
	return (ownCPU() - cpu).Seconds() / time.Since(began).Seconds(), nil
}

// startNodes starts the hollow nodes; stop ends them.
func (w *watched) startNodes(ctx context.Context, tracker *changeTracker) (nodes []*node.Hollow, stop func(), err error) {
	for i := range w.held.Nodes {
		path, _, err := w.fleet.configuration(i, w.service.Listen(replicaName))
		if err != nil {
			return nil, nil, err
		}
		config, err := load(path)
		if err != nil {
			return nil, nil, err
		}
		hollow, err := node.NewHollow(config, func(l policy.MemberList) { tracker.take(i, l) })
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, hollow)
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, hollow := range nodes {
		running.Go(func() {
			if err := hollow.Run(ctx); err != nil {
				tracker.fail(err)
			}
		})
	}
	return nodes, func() {
		cancel()
		running.Wait()
	}, nil
}

// spent is what was used up to a time.
type spent struct {
	at           time.Time
	own, replica time.Duration // processor time
	traffic      node.Traffic  // of all nodes
}

func (w *watched) usage(nodes []*node.Hollow) (u spent, err error) {
	for _, n := range nodes {
		t := n.Traffic()
		u.traffic.Sent, u.traffic.Received = u.traffic.Sent+t.Sent, u.traffic.Received+t.Received
		u.traffic.Calls, u.traffic.Answers = u.traffic.Calls+t.Calls, u.traffic.Answers+t.Answers
	}
	u.at, u.own = time.Now(), ownCPU()
	u.replica, err = cpuOf(w.service.Process(replicaName).PID())
	return u, err
}

// recordSpan changes the list for the scenario's span, and records what that took.
func (w *watched) recordSpan(ctx context.Context, tracker *changeTracker, nodes []*node.Hollow, overhead float64) error {
	before, err := w.usage(nodes)
	if err != nil {
		return err
	}
	tracker.begin(w.changes)
	if err := w.changeFor(ctx, w.scenario.Span.Duration, tracker.made); err != nil {
		return err
	}
	after, err := w.usage(nodes)
	if err != nil {
		return err
	}
	span, n := after.at.Sub(before.at).Seconds(), float64(len(nodes))
	each := func(after, before uint64) float64 { return float64(after-before) / span / n }
	own := (after.own-before.own).Seconds()/span - overhead
	w.record.Record(ControlCPU, 100*max(0, own)/n)
	w.record.Record(RegistryCPU, 100*(after.replica-before.replica).Seconds()/span)
	w.record.Record(ReceivedBytes, each(after.traffic.Received, before.traffic.Received))
	w.record.Record(SentBytes, each(after.traffic.Sent, before.traffic.Sent))
	w.record.Record(ReceivedReads, each(after.traffic.Answers, before.traffic.Answers))
	w.record.Record(SentWrites, each(after.traffic.Calls, before.traffic.Calls))
	resident, err := residentOf(w.service.Process(replicaName).PID())
	if err != nil {
		return err
	}
	w.record.Record(RegistryResident, float64(resident))
	own, err = ownResident()
	w.record.Record(Resident, own)
	return err
}

// recordInForce waits until the changes are in force at all nodes, or have had the time for it.
func (w *watched) recordInForce(ctx context.Context, tracker *changeTracker) error {
	late, cancel := context.WithTimeout(ctx, latestChange)
	defer cancel()
	// Its error says that some are not in force, and those are counted below.
	_ = rig.Await(late, "the changes", func() bool { return tracker.missed() == 0 })
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := tracker.failure(); err != nil {
		return fmt.Errorf("a hollow node: %w", err)
	}
	times := tracker.times()
	const perMs = float64(time.Millisecond)
	w.record.Record(InForceP50, float64(times.ValueAtQuantile(50))/perMs)
	w.record.Record(InForceP99, float64(times.ValueAtQuantile(99))/perMs)
	w.record.Record(InForceLast, float64(times.Max())/perMs)
	w.record.Record(ChangesMissed, float64(tracker.missed()))
	return nil
}

// pause waits, unless ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
