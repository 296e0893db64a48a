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
	requestServers = 8  // listeners; the servers in the list share their addresses
	requestWorkers = 32 // limit of concurrent requests, times the number of paths
	warmUpRequests = 200
	maxRequestTime = 10 * time.Second
	latencyDigits  = 3
	responseBody   = "0123456789012345678901234567890123456789012345678901234567890123"
)

// startServers starts servers that respond without delay.
func startServers(cluster *testcluster.Cluster) (addresses []string, stop func(), err error) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("X-Load", "latency_ms=1.0,util=0.02,qps=30")
		_, _ = io.WriteString(w, responseBody)
	})}
	host := cluster.NewAddress()
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

// requestPath is one of the two paths to the servers, direct or through a node, with the latencies measured on it.
type requestPath struct {
	address   func(i int) string
	client    *http.Client
	latencies *hdrhistogram.Histogram
	failed    atomic.Int64
	mu        sync.Mutex // guards latencies and firstErr
	firstErr  error
}

func newRequestPath(address func(i int) string) *requestPath {
	return &requestPath{address: address, latencies: hdrhistogram.New(1, maxRequestTime.Nanoseconds(), latencyDigits),
		client: &http.Client{Timeout: maxRequestTime, Transport: &http.Transport{MaxIdleConnsPerHost: requestWorkers,
			DisableCompression: true}}}
}

// sendRequest sends the i-th request, and records its latency or its error.
func (p *requestPath) sendRequest(ctx context.Context, i, routes int) {
	began := time.Now()
	err := p.roundTrip(ctx, i, routes)
	took := time.Since(began)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed.Add(1)
		if p.firstErr == nil {
			p.firstErr = err
		}
		return
	}
	_ = p.latencies.RecordValue(min(took.Nanoseconds(), maxRequestTime.Nanoseconds()))
}

func (p *requestPath) roundTrip(ctx context.Context, i, routes int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address(i)+"/", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Request-Id", fmt.Sprint("request-", i))
	req.Header.Set("X-Class", routeName(i%routes))
	req.Header.Set("X-Tenant", tenantName(i%manyTenants))
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(nodeDeadline.Milliseconds()))
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("response status %s, want 200 OK", resp.Status)
	}
	return nil
}

func (p *requestPath) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latencies.Reset()
	p.failed.Store(0)
	p.firstErr = nil
}

// measureRealRequests measures the latency that a node with a list of size servers adds to a request. Requests to the same
// servers alternate between the direct path and the path through the node, so that other load of the machine affects both.
func measureRealRequests(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	addresses, stop, err := startServers(cluster)
	if err != nil {
		return err
	}
	defer stop()
	address := func(i int) string { return addresses[i%len(addresses)] }
	list, err := startListService(cluster, size, address)
	if err != nil {
		return err
	}
	defer list.close()
	n, err := startNode(ctx, cluster, list, nodeSettings(spec, serviceCount(size), manyTenants), rec)
	if err != nil {
		return err
	}
	if err := sleep(ctx, min(startupDelay, spec.Window)); err != nil {
		return err
	}
	direct, through := newRequestPath(address), newRequestPath(func(int) string { return n.Listen })
	sendAlternately(ctx, spec, warmUpRequests, direct, through)
	direct.reset()
	through.reset()
	count := max(1, int(spec.Requests*spec.Window.Seconds()))
	before, err := processUsage(n.Process().PID())
	if err != nil {
		return err
	}
	sendAlternately(ctx, spec, count, direct, through)
	after, err := processUsage(n.Process().PID())
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if direct.failed.Load() > 0 {
		return fmt.Errorf("%d of %d direct requests failed: %w", direct.failed.Load(), count, direct.firstErr)
	}
	if through.failed.Load() > 0 {
		slog.Warn("scale: requests through the node failed", "count", through.failed.Load(), "first", through.firstErr)
	}
	rec.Record(RequestCPU, float64(after.cpu-before.cpu)/float64(count))
	rec.Record(RequestsSent, float64(count))
	rec.Record(RequestsFailed, float64(through.failed.Load()))
	recordLatencies(rec, direct, through)
	return nil
}

// recordLatencies records the percentiles of both paths, and how much longer they are through the node.
func recordLatencies(rec *Recorder, direct, through *requestPath) {
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

// sendAlternately sends count requests on each path. It alternates between the paths, and each path gets the rate of the
// spec, or less while as many requests as allowed are in flight.
func sendAlternately(ctx context.Context, spec ProcessSpec, count int, paths ...*requestPath) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, len(paths)*requestWorkers)
	tick := time.NewTicker(time.Duration(float64(time.Second) / spec.Requests / float64(len(paths))))
	defer tick.Stop()
	for i := range count * len(paths) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			wg.Wait()
			return
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			paths[i%len(paths)].sendRequest(ctx, i/len(paths), spec.Routes)
		})
	}
	wg.Wait()
}
