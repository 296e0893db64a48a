package scaletest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node"
	"sloerail/internal/registry"
	"sloerail/internal/testcluster"
	"sloerail/policy"
)

const (
	writerCount     = 8                // that register and change servers concurrently
	leaseTTL        = 10 * time.Minute // of each server: longer than a point
	registerTimeout = time.Minute      // all servers
	warmUpDelay     = time.Second      // after all nodes have the list, before anything is measured
	overheadSpan    = time.Second      // of changes without nodes, to measure the CPU time of the writers alone
	inForceTimeout  = 30 * time.Second // after the last change, until those not in force count as missed
	replicaName     = "r0"
	instancesPath   = "/registry/instances/"
)

// measureWatchers measures one replica of the list service, a process of its own, and hollow nodes in this process that
// watch it while its list changes.
func measureWatchers(ctx context.Context, p *point) error {
	w, err := p.newWatched(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	tracker := newChangeTracker(p.fixed.Nodes, p.fixed.Servers)
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
	if err := sleep(ctx, warmUpDelay); err != nil {
		return err
	}
	p.record.Record(Heap, (heapInUse()-before)/float64(len(nodes)))
	if w.scenario.Fault != "" {
		err = w.recordFault(ctx, tracker, nodes)
	} else {
		err = w.recordSpan(ctx, tracker, nodes, overhead)
	}
	if err != nil {
		return err
	}
	return w.recordInForce(ctx, tracker)
}

// watchedRegistry is a list service under change.
type watchedRegistry struct {
	*point
	cluster *testcluster.Cluster
	service *testcluster.Registry
	clients []*registry.Client // of the writers
	entries []registry.Endpoint
	changes int          // made so far
	refused atomic.Int64 // changes that the registry has rejected
}

// newWatched starts a replica and registers the servers.
func (p *point) newWatched(ctx context.Context) (*watchedRegistry, error) {
	r, err := testcluster.New(p.dir, p.scenario.Seed)
	if err != nil {
		return nil, err
	}
	w := &watchedRegistry{point: p, cluster: r, entries: p.fleet.servers()}
	if err := w.startService(ctx); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *watchedRegistry) close() { w.cluster.Close() }

func (w *watchedRegistry) startService(ctx context.Context) (err error) {
	if w.service, err = w.cluster.NewRegistry(max(1, w.scenario.Replicas)); err != nil {
		return err
	}
	if err := w.startReplicas(); err != nil {
		return err
	}
	if _, err := w.service.AwaitLeader(ctx); err != nil {
		return err
	}
	for range writerCount {
		w.clients = append(w.clients, registry.NewClient(w.service.Addresses()))
	}
	return w.registerAll(ctx)
}

// registerWithRetries registers a server, again and again while the service has no room or no leader.
func registerWithRetries(ctx context.Context, client *registry.Client, e registry.Endpoint) error {
	for {
		if err := register(ctx, client, e); !isOverloaded(err) || ctx.Err() != nil {
			return err
		}
	}
}

// registerAll registers all servers, several at a time.
func (w *watchedRegistry) registerAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var all sync.WaitGroup
	failed := make([]error, len(w.clients))
	for i, client := range w.clients {
		all.Go(func() {
			for at := i; at < len(w.entries) && failed[i] == nil; at += len(w.clients) {
				failed[i] = registerWithRetries(ctx, client, w.entries[at])
			}
		})
	}
	all.Wait()
	if err := cmp.Or(failed...); err != nil {
		return fmt.Errorf("registering the servers: %w", err)
	}
	return nil
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

func register(ctx context.Context, client *registry.Client, e registry.Endpoint) error {
	body := registration{HostPort: e.Address, Locality: e.Zone, Flavor: e.Kind, Cell: e.Cell, Phase: e.Phase,
		Size: e.Size, LeaseMs: leaseTTL.Milliseconds()}
	return client.Do(ctx, http.MethodPut, instancesPath+e.ID, body, nil, 0)
}

// writeChange changes a server, and marks the change in the server's cell.
func (w *watchedRegistry) writeChange(ctx context.Context, client *registry.Client, number int) error {
	e := w.entries[number%len(w.entries)]
	e.Cell = changeCell(number)
	return register(ctx, client, e)
}

// writeChanges changes the list for a span, at the fixed rate. before is called for each change when it is due, so that the
// time that a change waits for earlier ones counts.
func (w *watchedRegistry) writeChanges(ctx context.Context, span time.Duration, before func(due time.Time)) error {
	every := time.Duration(float64(time.Minute) / w.fixed.Changes)
	began, first := time.Now(), w.changes
	due := make(chan int, int(max(0, span)/every)+1) // all of the span, so that nobody waits for the writers
	var all sync.WaitGroup
	failed := make([]error, len(w.clients))
	for i, client := range w.clients {
		all.Go(func() {
			for number := range due {
				err := w.writeChange(ctx, client, number)
				if isOverloaded(err) {
					w.refused.Add(1)
					continue
				}
				failed[i] = cmp.Or(failed[i], err)
			}
		})
	}
	err := w.schedule(ctx, began, span, every, func(at time.Time) {
		before(at)
		due <- w.changes
		w.changes++
	})
	close(due)
	all.Wait()
	if err := cmp.Or(failed...); err != nil {
		return fmt.Errorf("change %d to %d: %w", first, w.changes-1, err)
	}
	return err
}

// isOverloaded tells whether the registry rejected a change, and its retries, because it has no capacity.
func isOverloaded(err error) bool {
	var refused registry.StatusError
	return errors.As(err, &refused) && refused.StatusCode == http.StatusServiceUnavailable
}

// schedule calls do at a steady pace, until the span is over.
func (w *watchedRegistry) schedule(ctx context.Context, began time.Time, span, every time.Duration, do func(due time.Time)) error {
	for at := time.Duration(0); at < span; at += every {
		due := began.Add(at)
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		do(due)
	}
	return sleep(ctx, time.Until(began.Add(span)))
}

// overhead is the processor time a second that changing the list takes of this process.
func (w *watchedRegistry) overhead(ctx context.Context) (float64, error) {
	cpu, began := ownCPU(), time.Now()
	if err := w.writeChanges(ctx, overheadSpan, func(time.Time) {}); err != nil {
		return 0, err
	}
	return (ownCPU() - cpu).Seconds() / time.Since(began).Seconds(), nil
}

// startNodes starts the hollow nodes; stop ends them.
func (w *watchedRegistry) startNodes(ctx context.Context, tracker *changeTracker) (nodes []*node.Hollow, stop func(), err error) {
	for i := range w.fixed.Nodes {
		path, _, err := w.fleet.configuration(i, strings.Join(w.service.Addresses(), ","))
		if err != nil {
			return nil, nil, err
		}
		config, err := load(path)
		if err != nil {
			return nil, nil, err
		}
		hollow, err := node.NewHollow(config, func(l policy.EndpointList) { tracker.listReceived(i, l) })
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

// resourceUsage is what was used up to a time.
type resourceUsage struct {
	at      time.Time
	own     time.Duration // processor time
	replica usage
	traffic node.Traffic // of all nodes
}

func (w *watchedRegistry) usage(nodes []*node.Hollow) (u resourceUsage, err error) {
	u.traffic = trafficOf(nodes)
	u.at, u.own = time.Now(), ownCPU()
	u.replica, err = usageOf(w.service.Process(replicaName).PID())
	return u, err
}

// startCounting has the tracker count the changes from now on.
func (w *watchedRegistry) startCounting(tracker *changeTracker) {
	tracker.begin(w.changes)
	w.refused.Store(0)
}

// recordSpan changes the list for the scenario's span, and records what that took.
func (w *watchedRegistry) recordSpan(ctx context.Context, tracker *changeTracker, nodes []*node.Hollow, overhead float64) error {
	before, err := w.usage(nodes)
	if err != nil {
		return err
	}
	first := w.changes
	w.startCounting(tracker)
	if err := w.writeChanges(ctx, w.scenario.Span.Duration, tracker.changeDue); err != nil {
		return err
	}
	after, err := w.usage(nodes)
	if err != nil {
		return err
	}
	span := after.at.Sub(before.at).Seconds()
	refused := w.refused.Load()
	w.record.Record(ChangeRate, (float64(w.changes-first)-float64(refused))/span)
	w.record.Record(ChangesRefused, float64(refused))
	own := (after.own-before.own).Seconds()/span - overhead
	w.record.Record(ControlCPU, 100*max(0, own)/float64(len(nodes)))
	w.record.Record(RegistryCPU, 100*(after.replica.cpu-before.replica.cpu).Seconds()/span)
	w.record.Record(RegistryResident, after.replica.resident)
	w.recordTraffic(after.traffic.Since(before.traffic), span*float64(len(nodes)))
	resident, err := ownResident()
	w.record.Record(Resident, resident)
	return err
}

// recordTraffic records what passed over so many seconds of one node.
func (w *watchedRegistry) recordTraffic(passed node.Traffic, seconds float64) {
	for _, v := range []struct {
		measure Measure
		count   uint64
	}{
		{ReceivedBytes, passed.Received}, {SentBytes, passed.Sent},
		{ReceivedReads, passed.Answers}, {SentWrites, passed.Calls},
	} {
		w.record.Record(v.measure, float64(v.count)/seconds)
	}
}

// recordInForce waits until the changes are in force at all nodes, or have had the time for it.
func (w *watchedRegistry) recordInForce(ctx context.Context, tracker *changeTracker) error {
	late, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	// Its error says that some are not in force, and those are counted below.
	_ = testcluster.Await(late, "the changes", func() bool { return tracker.missed(int(w.refused.Load())) == 0 })
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
	w.record.Record(ChangesMissed, float64(tracker.missed(int(w.refused.Load()))))
	return nil
}
