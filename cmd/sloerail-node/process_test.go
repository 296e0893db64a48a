package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// The tests of this file run the node in a process of its own. The descriptor limit of the process is the one in the
// node's configuration.

// socketLimitVariable is the name of an environment variable. If it is set, the test program runs as a node whose
// descriptor limit is the variable's value.
const socketLimitVariable = "WAYHOLD_TEST_SOCKETS"

func TestMain(m *testing.M) {
	text := os.Getenv(socketLimitVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, socketLimitVariable, err)
		os.Exit(2)
	}
	main()
}

// logBuffer collects the log of a process. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// process runs a node at a fixed address. It can be started again after a kill.
type process struct {
	t       *testing.T
	addr    string
	sockets int
	env     []string
	log     logBuffer
	running *exec.Cmd
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, l)
	return l.Addr().String()
}

func newProcess(t *testing.T, discovery, server string, sockets int) *process {
	t.Helper()
	p := &process{t: t, addr: freeAddress(t), sockets: sockets}
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
		"limits":{"cores":0.25,"memory_mb":64,"sockets":%d},
		"known":{"revision":7,"complete":true,"members":[
			{"id":"s0","host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":"up","size":1,"up_since_ms":0}]},
		"settings":{"position":0,"groupSize":2,"zone":"a","registryMode":"subscribe",
			"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"}],
			"tenants":[{"name":"t","quotaRps":1000}],
			"limits":{"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"maxOpen":1000,"retryAfter":true},
			"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}}`,
		p.addr, discovery, sockets, server)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+dir, socketLimitVariable+"="+strconv.Itoa(sockets))
	t.Cleanup(p.kill)
	return p
}

// start starts the node and returns how long it took to become ready.
func (p *process) start() time.Duration {
	p.t.Helper()
	p.running = exec.Command(os.Args[0])
	p.running.Env, p.running.Stderr = p.env, &p.log
	started := time.Now()
	if err := p.running.Start(); err != nil {
		p.t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(started) < testTimeout {
		status, err := p.get(client, "/health/ready", "")
		if err == nil && status == http.StatusOK {
			return time.Since(started)
		}
		time.Sleep(5 * time.Millisecond) // poll interval
	}
	p.t.Fatalf("node did not become ready; log:\n%s", &p.log)
	return 0
}

func (p *process) kill() {
	if p.running != nil {
		_ = p.running.Process.Kill()
		_ = p.running.Wait()
		p.running = nil
	}
}

// get sends a request and returns the status of the response.
func (p *process) get(client *http.Client, path, id string) (status int, err error) {
	req, err := http.NewRequestWithContext(p.t.Context(), http.MethodGet, "http://"+p.addr+path, nil)
	if err != nil {
		return 0, err
	}
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": "read", "X-Tenant": "t", "X-Deadline-Ms": "8000"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }() // the body is read to its end
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendRequests sends requests over one connection until ctx ends, and signals each 200 response on served if a
// receiver waits.
func (p *process) sendRequests(ctx context.Context, served chan<- struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		status, err := p.get(client, "/api", fmt.Sprint("r", n))
		if err == nil && status == http.StatusOK {
			select {
			case served <- struct{}{}:
			default: // no receiver
			}
		}
		time.Sleep(10 * time.Millisecond) // between requests
	}
}

// openIdleConnections keeps n connections to addr open until the test ends, and replaces those that are closed. Half of
// them send an incomplete request, the others nothing.
func openIdleConnections(t *testing.T, addr string, n int) {
	t.Helper()
	done := make(chan struct{})
	var connections sync.WaitGroup
	t.Cleanup(connections.Wait)
	t.Cleanup(func() { close(done) })
	for i := range n {
		connections.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", addr, testTimeout)
				if err == nil {
					if i%2 == 0 {
						_, _ = io.WriteString(c, "GET /api HTTP/1.1\r\nHost: a\r\n")
					}
					closed := make(chan struct{})
					go func() { _, _ = io.Copy(io.Discard, c); close(closed) }()
					select {
					case <-closed:
					case <-done:
					}
					_ = c.Close() // the node may have closed it
				}
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
}

// While the list service is down, idle clients use up the descriptors that are available to clients. The node keeps a
// descriptor for calling the list service when it is back, and descriptors for connections to servers.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close") // so that each request needs a new descriptor
	}))
	t.Cleanup(server.Close)
	served := make(chan struct{})
	discovery := freeAddress(t)
	const sockets = 128
	p := newProcess(t, discovery, server.Listener.Addr().String(), sockets)
	p.start()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go p.sendRequests(ctx, served)
	await(t, "a request to be served", served)
	openIdleConnections(t, p.addr, 3*sockets)
	for began := time.Now(); strings.Count(p.log.String(), "watch failed") < 3; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatalf("fewer than 3 failed calls to the list service; log:\n%s", &p.log)
		}
	}
	maxOpen := 0
	for began := time.Now(); maxOpen < sockets/2 && time.Since(began) < testTimeout; time.Sleep(10 * time.Millisecond) {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.running.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		maxOpen = max(maxOpen, len(open))
	}
	if maxOpen < sockets/2 {
		t.Errorf("descriptors held by the node: got at most %d, want at least half of its limit; otherwise the test shows nothing", maxOpen)
	}
	called := make(chan struct{}, 1000)
	l, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	registry := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	}))
	nodetest.Close(t, registry.Listener)
	registry.Listener = l
	registry.Start()
	t.Cleanup(registry.Close)
	await(t, "a call to the list service after its return", called)
	for range 3 {
		await(t, "a request to be served", served)
	}
	if text := p.log.String(); strings.Contains(text, "too many open files") || strings.Contains(text, "no descriptor") {
		t.Errorf("node ran out of descriptors; log:\n%s", text)
	}
}

// A process becomes ready within readyTimeout, whatever the list service does. It is started ten times, and killed after
// each start. One start in ten may take longer.
func TestRestartedProcessIsReady(t *testing.T) {
	const starts, readyTimeout = 10, 10 * time.Second
	handlers := map[string]http.HandlerFunc{
		"silent":        func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"returns 503":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"half response": writeTruncatedResponse,
		"refusing":      nil,
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := freeAddress(t)
			if handler != nil {
				s := httptest.NewServer(handler)
				t.Cleanup(s.Close)
				t.Cleanup(s.CloseClientConnections)
				discovery = s.Listener.Addr().String()
			}
			p := newProcess(t, discovery, "127.0.0.1:9", 64)
			late := 0
			for range starts {
				if took := p.start(); took > readyTimeout {
					late++
				}
				p.kill()
			}
			if late > starts/10 {
				t.Errorf("%d of %d starts took longer than %v until the process was ready, want at most one in ten", late, starts, readyTimeout)
			}
		})
	}
}

func writeTruncatedResponse(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, `{"revision":8,"compl`)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}
