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
	registryWriters  = 32 // half of the commands that a replica takes at a time
	watchedInstances = 2000
	watchedChanges   = 20
	fewWatchers      = 50
	maxRenewals      = 1000             // that are timed
	instanceLease    = 10 * time.Minute // none runs out during a run
	watchTimeout     = 30 * time.Second
	maxNotifyTime    = time.Minute
)

// registryRun is a list service of real replicas under measurement.
type registryRun struct {
	*testcluster.Registry
	leader string
}

func startRegistry(ctx context.Context, r *testcluster.Cluster, replicas int) (*registryRun, error) {
	g, err := r.NewRegistry(replicas)
	if err != nil {
		return nil, err
	}
	for _, name := range g.Names {
		if err := g.Start(name); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	leader, err := g.AwaitLeader(ctx)
	if err != nil {
		return nil, err
	}
	return &registryRun{g, leader}, nil
}

func (g *registryRun) pids() (all []int) {
	for _, name := range g.Names {
		all = append(all, g.Process(name).PID())
	}
	return all
}

// instance is the registration of a server; startTimeMs tells one registration from another.
func instance(i, startTimeMs int) map[string]any {
	return map[string]any{"host_port": fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), "locality": zoneOf(i),
		"flavor": serviceOf(i), "cell": i / 100, "lease_ms": instanceLease.Milliseconds(), "up_since_ms": startTimeMs}
}

// writeAll has all writers together make one write for each of n instances, and returns their rate.
func (g *registryRun) writeAll(ctx context.Context, n int, write func(c *registry.Client, i int) error) (rate float64, err error) {
	errs := make([]error, registryWriters)
	var all sync.WaitGroup
	began := time.Now()
	for w := range registryWriters {
		all.Go(func() {
			c := registry.NewClient([]string{g.Address(g.leader)})
			for i := w; i < n && errs[w] == nil && ctx.Err() == nil; i += registryWriters {
				errs[w] = write(c, i)
			}
		})
	}
	all.Wait()
	return float64(n) / time.Since(began).Seconds(), errors.Join(errors.Join(errs...), ctx.Err())
}

// put makes one write until it is taken: replicas that are short of the processor may have no leader for seconds.
func put(ctx context.Context, c *registry.Client, path string, body any) error {
	for {
		err := c.Do(ctx, http.MethodPut, path, body, nil, 0)
		var refused registry.StatusError
		if ctx.Err() != nil || !errors.As(err, &refused) || refused.StatusCode != http.StatusServiceUnavailable {
			return err
		}
	}
}

func (g *registryRun) registerAll(ctx context.Context, n int) (rate float64, err error) {
	return g.writeAll(ctx, n, func(c *registry.Client, i int) error {
		return put(ctx, c, "/registry/instances/"+serverName(i), instance(i, 1))
	})
}

func (g *registryRun) renewAll(ctx context.Context, n int) (rate float64, err error) {
	return g.writeAll(ctx, n, func(c *registry.Client, i int) error {
		return put(ctx, c, "/registry/instances/"+serverName(i)+"/lease", nil)
	})
}

// measureRealInstances measures the list service with so many instances and a few watchers.
func measureRealInstances(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	g, err := startRegistry(ctx, r, spec.Replicas)
	if err != nil {
		return err
	}
	rate, err := g.registerAll(ctx, size)
	if err != nil {
		return err
	}
	rec.Record(RegisterRate, rate)
	before, err := cpuOfAll(g.pids()...)
	if err != nil {
		return err
	}
	renewals := min(size, maxRenewals)
	if rate, err = g.renewAll(ctx, renewals); err != nil {
		return err
	}
	after, err := cpuOfAll(g.pids()...)
	if err != nil {
		return err
	}
	rec.Record(RenewRate, rate)
	rec.Record(RenewCPU, float64(after-before)/float64(renewals))
	if err := measureListSize(ctx, g, rec); err != nil {
		return err
	}
	if err := g.measureNotification(ctx, fewWatchers, rec); err != nil {
		return err
	}
	return g.recordIdle(ctx, spec, rec)
}

// measureListSize notes how large the list is as a node is given it.
func measureListSize(ctx context.Context, g *registryRun, rec *Recorder) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Address(g.leader)+"/registry/instances", nil)
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

// measureRealWatchers measures the list service with a common number of instances and so many watchers.
func measureRealWatchers(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	g, err := startRegistry(ctx, r, spec.Replicas)
	if err != nil {
		return err
	}
	if _, err := g.registerAll(ctx, watchedInstances); err != nil {
		return err
	}
	if err := g.measureNotification(ctx, size, rec); err != nil {
		return err
	}
	return g.recordIdle(ctx, spec, rec)
}

// recordIdle watches replicas that have nothing to do but to hold watches.
func (g *registryRun) recordIdle(ctx context.Context, spec ProcessSpec, rec *Recorder) error {
	began := time.Now()
	before, err := cpuOfAll(g.pids()...)
	if err != nil {
		return err
	}
	if err := sleep(ctx, spec.Window); err != nil {
		return err
	}
	after, err := cpuOfAll(g.pids()...)
	if err != nil {
		return err
	}
	rec.Record(RegistryCPU, 100*(after-before).Seconds()/time.Since(began).Seconds()/float64(len(g.Names)))
	u, err := usageOf(g.Process(g.leader).PID())
	if err != nil {
		return err
	}
	rec.Record(LeaderResident, u.resident)
	rec.Record(PeakResident, u.peak)
	return nil
}

// watchers are callers of the list service that follow one instance.
type watchers struct {
	mu          sync.Mutex
	sent        time.Time // the last write,
	startTimeMs int64     // its mark,
	notified    int       // how many watchers were notified of it
	readyCount  int
	delays      *hdrhistogram.Histogram
}

// measureNotification makes changes under so many watchers, and records when each was notified.
func (g *registryRun) measureNotification(ctx context.Context, n int, rec *Recorder) error {
	under, stop := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	w := &watchers{delays: hdrhistogram.New(1, maxNotifyTime.Microseconds(), histogramDigit)}
	for i := range n {
		all.Go(func() { w.follow(under, registry.NewClient([]string{g.Address(g.Names[i%len(g.Names)])})) })
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	count := func(of *int, want int) func() bool {
		return func() bool { w.mu.Lock(); defer w.mu.Unlock(); return *of >= want }
	}
	if err := testcluster.Await(ctx, "all watchers", count(&w.readyCount, n)); err != nil {
		return err
	}
	c := registry.NewClient([]string{g.Address(g.leader)})
	before, err := cpuOfAll(g.pids()...)
	if err != nil {
		return err
	}
	for change := range watchedChanges {
		w.begin(int64(change + 100))
		if err := put(ctx, c, "/registry/instances/"+serverName(0), instance(0, change+100)); err != nil {
			return err
		}
		if err := testcluster.Await(ctx, "all to be told", count(&w.notified, n)); err != nil {
			return err
		}
	}
	after, err := cpuOfAll(g.pids()...)
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

func (w *watchers) begin(mark int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent, w.startTimeMs, w.notified = time.Now(), mark, 0
}

// follow watches the list until ctx ends.
func (w *watchers) follow(ctx context.Context, c *registry.Client) {
	at := int64(-1)
	for first := true; ctx.Err() == nil; {
		var l registry.EndpointList
		path := fmt.Sprintf("/registry/instances?index=%d&wait=%d", at, watchTimeout.Milliseconds())
		if c.Watch(ctx, path, watchTimeout, &l) != nil {
			continue
		}
		at = l.Revision
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
		if e.StartTimeMs == w.startTimeMs {
			w.notified++
			_ = w.delays.RecordValue(time.Since(w.sent).Microseconds())
		}
	}
}
