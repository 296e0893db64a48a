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
	writerCount        = 8                // clients that register and change servers concurrently
	leaseTTL           = 10 * time.Minute // lease of each server, longer than a point
	registerTimeout    = time.Minute      // to register all servers
	warmUpDelay        = time.Second      // between the complete list at all nodes and the first measurement
	overheadSpan       = time.Second      // how long writerOverhead changes the list
	inForceTimeout     = 30 * time.Second // after the last change; changes not in force by then count as missed
	replicaName        = "r0"
	instancePathPrefix = "/registry/instances/"
)

// measureWatchers measures a registry, whose replicas are processes of their own, while its list changes, and the hollow
// nodes that watch it. A hollow node is a node's code in this process, without sockets for requests.
func measureWatchers(ctx context.Context, p *point) error {
	w, err := p.newWatched(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	tracker := newChangeTracker(p.fixed.Nodes, p.fixed.Servers)
	writerOverhead, err := w.writerOverhead(ctx)
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
		err = w.recordSpan(ctx, tracker, nodes, writerOverhead)
	}
	if err != nil {
		return err
	}
	return w.recordInForce(ctx, tracker)
}

// watchedRegistry is a registry that nodes watch while its list changes.
type watchedRegistry struct {
	*point
	cluster *testcluster.Cluster
	service *testcluster.Registry
	clients []*registry.Client // of the writers
	entries []registry.Endpoint
	changes int          // number of changes so far
	refused atomic.Int64 // changes that the registry has refused
}

// newWatched starts the registry's replicas and registers the servers.
func (p *point) newWatched(ctx context.Context) (*watchedRegistry, error) {
	c, err := testcluster.New(p.dir, p.scenario.Seed)
	if err != nil {
		return nil, err
	}
	w := &watchedRegistry{point: p, cluster: c, entries: p.fleet.servers()}
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

// registerWithRetries registers a server, and retries while the registry is overloaded or has no leader.
func registerWithRetries(ctx context.Context, client *registry.Client, e registry.Endpoint) error {
	for {
		if err := register(ctx, client, e); !isOverloaded(err) || ctx.Err() != nil {
			return err
		}
	}
}

// registerAll registers all servers, one at a time from each writer.
func (w *watchedRegistry) registerAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(w.clients))
	for i, client := range w.clients {
		wg.Go(func() {
			for at := i; at < len(w.entries) && errs[i] == nil; at += len(w.clients) {
				errs[i] = registerWithRetries(ctx, client, w.entries[at])
			}
		})
	}
	wg.Wait()
	if err := cmp.Or(errs...); err != nil {
		return fmt.Errorf("registering servers: %w", err)
	}
	return nil
}

// registration is the request body that registers an instance.
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
	return client.Do(ctx, http.MethodPut, instancePathPrefix+e.ID, body, nil, 0)
}

// writeChange changes a server's cell to the one that encodes the change's number.
func (w *watchedRegistry) writeChange(ctx context.Context, client *registry.Client, number int) error {
	e := w.entries[number%len(w.entries)]
	e.Cell = changeCell(number)
	return register(ctx, client, e)
}

// writeChanges changes the list for a span, at the scenario's rate. It calls onDue when a change is due, even if the
// writers are still busy with earlier changes. So the time that a change waits for a writer counts as part of its
// delay.
func (w *watchedRegistry) writeChanges(ctx context.Context, span time.Duration, onDue func(due time.Time)) error {
	interval := time.Duration(float64(time.Minute) / w.fixed.Changes)
	began, first := time.Now(), w.changes
	due := make(chan int, int(max(0, span)/interval)+1) // holds all changes of the span, so that scheduling never waits for writers
	var wg sync.WaitGroup
	errs := make([]error, len(w.clients))
	for i, client := range w.clients {
		wg.Go(func() {
			for number := range due {
				err := w.writeChange(ctx, client, number)
				if isOverloaded(err) {
					w.refused.Add(1)
					continue
				}
				errs[i] = cmp.Or(errs[i], err)
			}
		})
	}
	err := w.schedule(ctx, began, span, interval, func(at time.Time) {
		onDue(at)
		due <- w.changes
		w.changes++
	})
	close(due)
	wg.Wait()
	if err := cmp.Or(errs...); err != nil {
		return fmt.Errorf("changes %d to %d: %w", first, w.changes-1, err)
	}
	return err
}

// isOverloaded reports whether the registry refused a change and its retries with status 503, because it is overloaded or
// has no leader.
func isOverloaded(err error) bool {
	var refused registry.StatusError
	return errors.As(err, &refused) && refused.StatusCode == http.StatusServiceUnavailable
}

// schedule calls do at a fixed interval until the span is over.
func (w *watchedRegistry) schedule(ctx context.Context, began time.Time, span, interval time.Duration, do func(due time.Time)) error {
	for at := time.Duration(0); at < span; at += interval {
		due := began.Add(at)
		if err := sleep(ctx, time.Until(due)); err != nil {
			return err
		}
		do(due)
	}
	return sleep(ctx, time.Until(began.Add(span)))
}

// writerOverhead returns the CPU time that this process needs to change the list, in CPU seconds per second. It measures
// this before nodes run in the process.
func (w *watchedRegistry) writerOverhead(ctx context.Context) (float64, error) {
	cpu, began := ownCPU(), time.Now()
	if err := w.writeChanges(ctx, overheadSpan, func(time.Time) {}); err != nil {
		return 0, err
	}
	return (ownCPU() - cpu).Seconds() / time.Since(began).Seconds(), nil
}

// startNodes starts the hollow nodes. stop ends them and waits until they have ended.
func (w *watchedRegistry) startNodes(ctx context.Context, tracker *changeTracker) (nodes []*node.Hollow, stop func(), err error) {
	for i := range w.fixed.Nodes {
		path, _, err := w.fleet.writeConfig(i, strings.Join(w.service.Addresses(), ","))
		if err != nil {
			return nil, nil, err
		}
		nodeConfig, err := loadConfig(path)
		if err != nil {
			return nil, nil, err
		}
		hollow, err := node.NewHollow(nodeConfig, func(l policy.EndpointList) { tracker.listReceived(i, l) })
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, hollow)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, hollow := range nodes {
		wg.Go(func() {
			if err := hollow.Run(ctx); err != nil {
				tracker.fail(err)
			}
		})
	}
	return nodes, func() {
		cancel()
		wg.Wait()
	}, nil
}

// resourceUsage holds the resources that were used up to a time.
type resourceUsage struct {
	at      time.Time
	own     time.Duration // CPU time of this process
	replica usage         // of the replica replicaName
	traffic node.Traffic  // of all nodes
}

func (w *watchedRegistry) usage(nodes []*node.Hollow) (u resourceUsage, err error) {
	u.traffic = totalTraffic(nodes)
	u.at, u.own = time.Now(), ownCPU()
	u.replica, err = processUsage(w.service.Process(replicaName).PID())
	return u, err
}

// startCounting makes the tracker count the changes from now on, and resets the number of refused changes.
func (w *watchedRegistry) startCounting(tracker *changeTracker) {
	tracker.begin(w.changes)
	w.refused.Store(0)
}

// recordSpan changes the list for the scenario's span, and records the resources that this used.
func (w *watchedRegistry) recordSpan(ctx context.Context, tracker *changeTracker, nodes []*node.Hollow, writerOverhead float64) error {
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
	own := (after.own-before.own).Seconds()/span - writerOverhead
	w.record.Record(ControlCPU, 100*max(0, own)/float64(len(nodes)))
	w.record.Record(RegistryCPU, 100*(after.replica.cpu-before.replica.cpu).Seconds()/span)
	w.record.Record(RegistryResident, after.replica.resident)
	w.recordTraffic(after.traffic.Since(before.traffic), span*float64(len(nodes)))
	resident, err := ownResident()
	w.record.Record(Resident, resident)
	return err
}

// recordTraffic records traffic as rates. seconds is the measured time summed over the nodes.
func (w *watchedRegistry) recordTraffic(delta node.Traffic, seconds float64) {
	for _, v := range []struct {
		measure Measure
		count   uint64
	}{
		{ReceivedBytes, delta.Received}, {SentBytes, delta.Sent},
		{ReceivedMessages, delta.Responses}, {SentMessages, delta.Calls},
	} {
		w.record.Record(v.measure, float64(v.count)/seconds)
	}
}

// recordInForce waits until all changes are in force at all nodes or inForceTimeout is over, and records the delays and the
// missed changes.
func (w *watchedRegistry) recordInForce(ctx context.Context, tracker *changeTracker) error {
	waitCtx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	// An error means that some changes are not in force. Those are counted as missed below.
	_ = testcluster.Await(waitCtx, "all changes in force at all nodes",
		func() bool { return tracker.missed(int(w.refused.Load())) == 0 })
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := tracker.failure(); err != nil {
		return fmt.Errorf("hollow node: %w", err)
	}
	delays := tracker.delays()
	const perMs = float64(time.Millisecond)
	w.record.Record(InForceP50, float64(delays.ValueAtQuantile(50))/perMs)
	w.record.Record(InForceP99, float64(delays.ValueAtQuantile(99))/perMs)
	w.record.Record(InForceLast, float64(delays.Max())/perMs)
	w.record.Record(ChangesMissed, float64(tracker.missed(int(w.refused.Load()))))
	return nil
}
