package scaletest

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloerail/internal/testcluster"
)

const (
	requestServers = 8  // listeners that stand for all servers
	requestWorkers = 32 // clients of each of the two ways
	warmRequests   = 200
	maxRequestTime = 10 * time.Second
	histogramDigit = 3
	answerBody     = "0123456789012345678901234567890123456789012345678901234567890123"
)

// startServers starts the servers of requests; they respond at once.
func startServers(r *testcluster.Cluster) (addresses []string, end func(), err error) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("X-Load", "latency_ms=1.0,util=0.02,qps=30")
		_, _ = io.WriteString(w, answerBody)
	})}
	host := r.NewAddress()
	for i := range requestServers {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, 9000+i))
		if err != nil {
			_ = server.Close()
			return nil, nil, err
		}
		addresses = append(addresses, ln.Addr().String())
		go func() { _ = server.Serve(ln) }()
	}
	return addresses, func() { _ = server.Close() }, nil
}

// route is how clients reach servers: straight or through a node.
type route struct {
	address   func(i int) string
	client    *http.Client
	latencies *hdrhistogram.Histogram
	failed    atomic.Int64
	mu        sync.Mutex // of took
	firstErr  error
}

func newRoute(address func(i int) string) *route {
	return &route{address: address, latencies: hdrhistogram.New(1, maxRequestTime.Nanoseconds(), histogramDigit),
		client: &http.Client{Timeout: maxRequestTime, Transport: &http.Transport{MaxIdleConnsPerHost: requestWorkers,
			DisableCompression: true}}}
}

// sendRequest sends one request and notes how long its answer took.
func (w *route) sendRequest(ctx context.Context, i, routes int) {
	began := time.Now()
	err := w.exchange(ctx, i, routes)
	took := time.Since(began)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed.Add(1)
		if w.firstErr == nil {
			w.firstErr = err
		}
		return
	}
	_ = w.latencies.RecordValue(min(took.Nanoseconds(), maxRequestTime.Nanoseconds()))
}

func (w *route) exchange(ctx context.Context, i, routes int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address(i)+"/", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Request-Id", fmt.Sprint("request-", i))
	req.Header.Set("X-Class", routeName(i%routes))
	req.Header.Set("X-Tenant", tenantName(i%manyTenants))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(nodeDeadline.Milliseconds()))
	resp, err := w.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}

func (w *route) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.latencies.Reset()
	w.failed.Store(0)
	w.firstErr = nil
}

// measureRealRequests measures what a node that knows so many servers adds to a request: the same clients ask the same
// servers straight and through the node, one request after the other in turns, so that whatever else the machine
// does is in both.
func measureRealRequests(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	addresses, end, err := startServers(r)
	if err != nil {
		return err
	}
	defer end()
	at := func(i int) string { return addresses[i%len(addresses)] }
	list, err := startList(r, size, at)
	if err != nil {
		return err
	}
	defer list.close()
	n, err := startNode(ctx, r, list, nodeSettings(spec, serviceCount(size), manyTenants), rec)
	if err != nil {
		return err
	}
	if err := sleep(ctx, min(startupDelay, spec.Window)); err != nil {
		return err
	}
	direct, through := newRoute(at), newRoute(func(int) string { return n.Listen })
	sendAlternately(ctx, spec, warmRequests, direct, through)
	direct.reset()
	through.reset()
	count := max(1, int(spec.Requests*spec.Window.Seconds()))
	before, err := usageOf(n.Process().PID())
	if err != nil {
		return err
	}
	sendAlternately(ctx, spec, count, direct, through)
	after, err := usageOf(n.Process().PID())
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if direct.failed.Load() > 0 {
		return fmt.Errorf("%d of %d requests without a node failed: %w", direct.failed.Load(), count, direct.firstErr)
	}
	if through.failed.Load() > 0 {
		slog.Warn("scale: requests through the node failed", "count", through.failed.Load(), "first", through.firstErr)
	}
	rec.Record(RequestCPU, float64(after.cpu-before.cpu)/float64(count))
	rec.Record(RequestsSent, float64(count))
	rec.Record(RequestsFailed, float64(through.failed.Load()))
	recordTimes(rec, direct, through)
	return nil
}

// recordTimes notes the percentiles of both ways, and their differences.
func recordTimes(rec *Recorder, direct, through *route) {
	for _, m := range []struct {
		quantile               float64
		direct, through, added Measure
	}{{50, DirectP50, ThroughP50, AddedP50}, {99, DirectP99, ThroughP99, AddedP99}} {
		without, with := direct.latencies.ValueAtQuantile(m.quantile), through.latencies.ValueAtQuantile(m.quantile)
		rec.Record(m.direct, float64(without))
		rec.Record(m.through, float64(with))
		rec.Record(m.added, float64(with-without))
	}
}

// sendAlternately sends so many requests each way, at the rate of the spec each.
func sendAlternately(ctx context.Context, spec ProcessSpec, count int, ways ...*route) {
	var all sync.WaitGroup
	slots := make(chan struct{}, len(ways)*requestWorkers)
	tick := time.NewTicker(time.Duration(float64(time.Second) / spec.Requests / float64(len(ways))))
	defer tick.Stop()
	for i := range count * len(ways) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			all.Wait()
			return
		}
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			ways[i%len(ways)].sendRequest(ctx, i/len(ways), spec.Routes)
		})
	}
	all.Wait()
}
