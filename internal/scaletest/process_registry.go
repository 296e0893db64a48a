package scaletest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloerail/internal/registry"
	"sloerail/internal/testcluster"
)

const (
	registryWriters  = 32 // half of the commands that a replica accepts at the same time
	watchedInstances = 2000
	watchedChanges   = 20
	instanceWatchers = 50
	maxRenewals      = 1000             // renewals that are timed
	instanceLease    = 10 * time.Minute // longer than a run, so that no lease expires
	watchTimeout     = 30 * time.Second
	maxNotifyTime    = time.Minute
)

// measuredRegistry is a registry of real replicas. Either the registry is measured, or a node that watches it.
type measuredRegistry struct {
	*testcluster.Registry
	leader string
}

func startRegistry(ctx context.Context, cluster *testcluster.Cluster, replicas int) (*measuredRegistry, error) {
	reg, err := cluster.NewRegistry(replicas)
	if err != nil {
		return nil, err
	}
	for _, name := range reg.Names {
		if err := reg.Start(name); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	leader, err := reg.AwaitLeader(ctx)
	if err != nil {
		return nil, err
	}
	return &measuredRegistry{reg, leader}, nil
}

func (reg *measuredRegistry) pids() (all []int) {
	for _, name := range reg.Names {
		all = append(all, reg.Process(name).PID())
	}
	return all
}

// instance returns the registration of a server. startTimeMs distinguishes one registration of a server from the next.
func instance(i, startTimeMs int) map[string]any {
	return map[string]any{"host_port": fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), "locality": serverZone(i),
		"flavor": serverService(i), "cell": i / 100, "lease_ms": instanceLease.Milliseconds(), "up_since_ms": startTimeMs}
}

// writeAll makes one write for each of n instances, shared among all writers, and returns the number of writes a second.
func (reg *measuredRegistry) writeAll(ctx context.Context, n int, write func(c *registry.Client, i int) error) (rate float64, err error) {
	errs := make([]error, registryWriters)
	var wg sync.WaitGroup
	began := time.Now()
	for w := range registryWriters {
		wg.Go(func() {
			c := registry.NewClient([]string{reg.Address(reg.leader)})
			for i := w; i < n && errs[w] == nil && ctx.Err() == nil; i += registryWriters {
				errs[w] = write(c, i)
			}
		})
	}
	wg.Wait()
	return float64(n) / time.Since(began).Seconds(), errors.Join(errors.Join(errs...), ctx.Err())
}

// putWithRetry repeats a write while the registry responds 503: replicas that get too little CPU time may have no leader for
// seconds.
func putWithRetry(ctx context.Context, c *registry.Client, path string, body any) error {
	for {
		err := c.Do(ctx, http.MethodPut, path, body, nil, 0)
		var refused registry.StatusError
		if ctx.Err() != nil || !errors.As(err, &refused) || refused.StatusCode != http.StatusServiceUnavailable {
			return err
		}
	}
}

func (reg *measuredRegistry) registerAll(ctx context.Context, n int) (rate float64, err error) {
	return reg.writeAll(ctx, n, func(c *registry.Client, i int) error {
		return putWithRetry(ctx, c, "/registry/instances/"+serverName(i), instance(i, 1))
	})
}

func (reg *measuredRegistry) renewAll(ctx context.Context, n int) (rate float64, err error) {
	return reg.writeAll(ctx, n, func(c *registry.Client, i int) error {
		return putWithRetry(ctx, c, "/registry/instances/"+serverName(i)+"/lease", nil)
	})
}

// measureRealInstances measures a registry with size instances and instanceWatchers watchers.
func measureRealInstances(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	reg, err := startRegistry(ctx, cluster, spec.Replicas)
	if err != nil {
		return err
	}
	rate, err := reg.registerAll(ctx, size)
	if err != nil {
		return err
	}
	rec.Record(RegisterRate, rate)
	before, err := totalCPU(reg.pids()...)
	if err != nil {
		return err
	}
	renewals := min(size, maxRenewals)
	if rate, err = reg.renewAll(ctx, renewals); err != nil {
		return err
	}
	after, err := totalCPU(reg.pids()...)
	if err != nil {
		return err
	}
	rec.Record(RenewRate, rate)
	rec.Record(RenewCPU, float64(after-before)/float64(renewals))
	if err := measureListSize(ctx, reg, rec); err != nil {
		return err
	}
	if err := reg.measureNotification(ctx, instanceWatchers, rec); err != nil {
		return err
	}
	return reg.recordIdle(ctx, spec, rec)
}

// measureListSize records the size of the whole list in the registry's response to a node.
func measureListSize(ctx context.Context, reg *measuredRegistry, rec *Recorder) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reg.Address(reg.leader)+"/registry/instances", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	rec.Record(ListBytes, float64(n))
	return err
}

// measureRealWatchers measures a registry with watchedInstances instances and size watchers.
func measureRealWatchers(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	reg, err := startRegistry(ctx, cluster, spec.Replicas)
	if err != nil {
		return err
	}
	if _, err := reg.registerAll(ctx, watchedInstances); err != nil {
		return err
	}
	if err := reg.measureNotification(ctx, size, rec); err != nil {
		return err
	}
	return reg.recordIdle(ctx, spec, rec)
}

// recordIdle records the CPU time and the memory of the replicas while nothing is written. Its callers have stopped the
// watchers before.
func (reg *measuredRegistry) recordIdle(ctx context.Context, spec ProcessSpec, rec *Recorder) error {
	began := time.Now()
	before, err := totalCPU(reg.pids()...)
	if err != nil {
		return err
	}
	if err := sleep(ctx, spec.Window); err != nil {
		return err
	}
	after, err := totalCPU(reg.pids()...)
	if err != nil {
		return err
	}
	rec.Record(RegistryCPU, 100*(after-before).Seconds()/time.Since(began).Seconds()/float64(len(reg.Names)))
	u, err := processUsage(reg.Process(reg.leader).PID())
	if err != nil {
		return err
	}
	rec.Record(LeaderResident, u.resident)
	rec.Record(PeakResident, u.peak)
	return nil
}

// watchers is the state of the clients that watch the registry, with the delays until they were notified of each write.
type watchers struct {
	mu              sync.Mutex
	writtenAt       time.Time               // when the last write began
	wantStartTimeMs int64                   // up_since_ms of the instance in the last write
	notified        int                     // watchers that were notified of the last write
	readyCount      int                     // watchers that have the whole list
	delays          *hdrhistogram.Histogram // in microseconds
}

// measureNotification makes watchedChanges changes while n clients watch the list. It records the delays until the
// watchers were notified, and the CPU time of the replicas.
func (reg *measuredRegistry) measureNotification(ctx context.Context, n int, rec *Recorder) error {
	watchCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	w := &watchers{delays: hdrhistogram.New(1, maxNotifyTime.Microseconds(), latencyDigits)}
	for i := range n {
		wg.Go(func() { w.watch(watchCtx, registry.NewClient([]string{reg.Address(reg.Names[i%len(reg.Names)])})) })
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	atLeast := func(count *int, want int) func() bool {
		return func() bool { w.mu.Lock(); defer w.mu.Unlock(); return *count >= want }
	}
	if err := testcluster.Await(ctx, "the whole list at all watchers", atLeast(&w.readyCount, n)); err != nil {
		return err
	}
	c := registry.NewClient([]string{reg.Address(reg.leader)})
	before, err := totalCPU(reg.pids()...)
	if err != nil {
		return err
	}
	for change := range watchedChanges {
		w.expect(int64(change + 100))
		if err := putWithRetry(ctx, c, "/registry/instances/"+serverName(0), instance(0, change+100)); err != nil {
			return err
		}
		if err := testcluster.Await(ctx, "notification of all watchers", atLeast(&w.notified, n)); err != nil {
			return err
		}
	}
	after, err := totalCPU(reg.pids()...)
	if err != nil {
		return err
	}
	rec.Record(WatcherCPU, float64(after-before)/float64(n*watchedChanges))
	w.mu.Lock()
	defer w.mu.Unlock()
	for m, quantile := range map[Measure]float64{WatcherNotifiedP50: 50, WatcherNotifiedP99: 99, WatcherNotifiedLast: 100} {
		rec.Record(m, float64(w.delays.ValueAtQuantile(quantile))/1000)
	}
	return nil
}

func (w *watchers) expect(startTimeMs int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writtenAt, w.wantStartTimeMs, w.notified = time.Now(), startTimeMs, 0
}

// watch watches the list until ctx ends.
func (w *watchers) watch(ctx context.Context, c *registry.Client) {
	revision := int64(-1)
	for first := true; ctx.Err() == nil; {
		var l registry.EndpointList
		path := fmt.Sprintf("/registry/instances?index=%d&wait=%d", revision, watchTimeout.Milliseconds())
		if c.Watch(ctx, path, watchTimeout, &l) != nil {
			continue
		}
		revision = l.Revision
		w.record(l, first)
		first = false
	}
}

func (w *watchers) record(l registry.EndpointList, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if first {
		w.readyCount++
		return
	}
	for _, e := range l.Endpoints {
		if e.StartTimeMs == w.wantStartTimeMs {
			w.notified++
			_ = w.delays.RecordValue(time.Since(w.writtenAt).Microseconds())
		}
	}
}
