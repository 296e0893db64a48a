package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/nodetest"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

func TestMain(m *testing.M) {
	if os.Getenv(benchPeersEnv) != "" {
		if err := runBenchPeers(os.Stdin, os.Stdout); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "bench peers:", err)
			os.Exit(1)
		}
		return
	}
	var lines logBuffer
	slog.SetDefault(slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug})))
	status := m.Run()
	if status != 0 {
		lines.dump(os.Stderr)
	}
	os.Exit(status)
}

// logBuffer buffers the newest log lines. TestMain writes them out if a test fails.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

const maxLogLines = 2000

func (k *logBuffer) Write(p []byte) (int, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.lines) == maxLogLines {
		k.lines = append(k.lines[:0], k.lines[maxLogLines/2:]...)
	}
	k.lines = append(k.lines, string(p))
	return len(p), nil
}

func (k *logBuffer) dump(w io.Writer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, line := range k.lines {
		_, _ = io.WriteString(w, line)
	}
}

func testConfig(t testing.TB, known string) config.Config {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, known, nodetest.Settings)
	c, err := config.Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	c.Dial = nodetest.Dialer(t)
	return c
}

func testExchange(method, id string, body string) *downstream.Exchange {
	x := &downstream.Exchange{Request: policy.Request{ID: id, Class: "read", Tenant: "t"},
		Forwarded:  upstream.Request{ID: id, Method: method, Path: "/api?q=a%20b", Host: "origin.svc", Body: []byte(body)},
		ReceivedAt: timeOrigin, Timeout: nodetest.Timeout, Reply: make(chan downstream.Response, 1)}
	if method == http.MethodPost {
		x.Forwarded.IdempotencyKey = "k-" + id
	}
	return x
}

// startNode runs a whole node until the test ends. It returns the node's address, and a function that stops the node as
// SIGTERM does and returns Run's error.
func startNode(t testing.TB, c config.Config) (addr string, stop func() error) {
	t.Helper()
	return startNodeAt(t, c, Listeners{Clients: nodetest.Listener(t)}, nil)
}

// testDescriptors returns n descriptors for connections.
func testDescriptors(n int) *upstream.Descriptors {
	d := new(upstream.Descriptors)
	d.SetTotal(n)
	return d
}

// reuseDelay is longer than the 10 ms after a response during which the connection to the server is not reused
// (minReuseDelay in package upstream).
const reuseDelay = 20 * time.Millisecond

// dialWith makes the loop dial new server connections with the given function.
func (l *loop) dialWith(t *testing.T, dial config.DialFunc) {
	t.Helper()
	c := testConfig(t, nodetest.KnownList())
	c.Dial = dial
	l.up.Configure(transportConfig(c))
}

// serveAt makes s accept clients until the test ends, and returns its address.
func serveAt(t *testing.T, s *server) (addr string) {
	t.Helper()
	return serveListener(t, s, nodetest.Listener(t))
}

// serveListener makes s accept clients from ln until the test ends, and returns the address of ln.
func serveListener(t *testing.T, s *server, ln net.Listener) (addr string) {
	t.Helper()
	s.loop.up.Descriptors().SetTotal(config.MinSockets)
	acceptErr := make(chan error, 1)
	go func() { acceptErr <- s.Accept(ln) }()
	t.Cleanup(func() {
		nodetest.CloseIgnoringClosed(t, ln)
		if err := nodetest.Receive(t, "Accept to return after its listener was closed", acceptErr); err != nil {
			t.Error(err)
		}
		s.Shutdown(time.Now())
	})
	return ln.Addr().String()
}

// startNodeAt is startNode with the given listeners and configuration changes.
func startNodeAt(
	t testing.TB, c config.Config, listeners Listeners, changes <-chan Change,
) (addr string, stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- Run(ctx, c, listeners, changes) }()
	stopped := false
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		select {
		case err := <-runErr:
			return err
		case <-time.After(nodetest.Timeout):
			return fmt.Errorf("Run did not return within %v after its context was cancelled; all goroutines:\n%s", nodetest.Timeout,
				allStacks())
		}
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
	addr = listeners.Clients.Addr().String()
	nodetest.Await(t, "the node to be ready", func() bool {
		resp, err := oneRequestClient(t).Get("http://" + addr + downstream.ReadyPath)
		if err != nil {
			return false
		}
		nodetest.CloseIgnoringClosed(t, resp.Body)
		return resp.StatusCode == http.StatusOK
	})
	return addr, stop
}

// maxStackBytes bounds the stacks of all goroutines in the log of a failing test.
const maxStackBytes = 4 << 20

// allStacks returns the stacks of all goroutines.
func allStacks() []byte {
	stacks := make([]byte, maxStackBytes)
	return stacks[:runtime.Stack(stacks, true)]
}

// clientRequest returns a request as clients send it. headers are pairs of names and values; an empty value removes the
// header.
func clientRequest(t *testing.T, addr, method, class, id, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+"/api/x?q=a%20b", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "origin.svc"
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "t", "X-Deadline-Ms": "8000"} {
		req.Header.Set(k, v)
	}
	if class == "undo" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req
}

// oneRequestClient returns a client that opens a connection for each request.
func oneRequestClient(t testing.TB) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: nodetest.Dialer(t)}}
}

// keepAliveClient returns a client that keeps a single connection per host.
func keepAliveClient(t testing.TB) *http.Client {
	c := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DialContext: nodetest.Dialer(t)}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// do sends a request on a new connection and returns the response and its body.
func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := oneRequestClient(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.CloseIgnoringClosed(t, resp.Body)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// testLimits returns the memory limits of a node that has plenty.
func testLimits() *memoryLimits {
	return newMemoryLimits(config.Config{MemoryMB: 192}, new(atomic.Int64))
}
