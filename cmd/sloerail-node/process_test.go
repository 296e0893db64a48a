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

// The tests of this file run the node as a process of its own, under the limit on descriptors that its configuration
// names.

// limitedTo names the variable by which the test program runs as a node of so many descriptors.
const limitedTo = "WAYHOLD_TEST_SOCKETS"

func TestMain(m *testing.M) {
	text := os.Getenv(limitedTo)
	if text == "" {
		os.Exit(m.Run())
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, limitedTo, err)
		os.Exit(2)
	}
	main()
}

// logBuffer takes in what a process writes.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// process is a node at an address, started any number of times.
type process struct {
	t       *testing.T
	addr    string
	sockets int
	env     []string
	log     logBuffer
	running *exec.Cmd
}

// freeAddress is one at which nobody listens.
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
	scratch := t.TempDir()
	path := filepath.Join(scratch, "config.json")
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
	p.env = append(os.Environ(), "ROUTER_CONFIG="+path, "TMPDIR="+scratch, limitedTo+"="+strconv.Itoa(sockets))
	t.Cleanup(p.kill)
	return p
}

// start runs the node, and returns how long it took to be ready.
func (p *process) start() time.Duration {
	p.t.Helper()
	p.running = exec.Command(os.Args[0])
	p.running.Env, p.running.Stderr = p.env, &p.log
	began := time.Now()
	if err := p.running.Start(); err != nil {
		p.t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(began) < long {
		status, err := p.get(client, "/health/ready", "")
		if err == nil && status == http.StatusOK {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond) // between looks
	}
	p.t.Fatalf("the node never became ready: %s", &p.log)
	return 0
}

func (p *process) kill() {
	if p.running != nil {
		_ = p.running.Process.Kill()
		_ = p.running.Wait()
		p.running = nil
	}
}

// get sends a request and returns the status of its answer.
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
	defer func() { _ = resp.Body.Close() }() // it is read whole
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// keepAsking sends request after request over a connection that it keeps, and tells of those that are served.
func (p *process) keepAsking(ctx context.Context, served chan<- struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		status, err := p.get(client, "/api", fmt.Sprint("r", n))
		if err == nil && status == http.StatusOK {
			select {
			case served <- struct{}{}:
			default: // nobody waits for it
			}
		}
		time.Sleep(10 * time.Millisecond) // between requests
	}
}

// crowd keeps n connections at addr that say nothing whole, in place of those that are closed, until the test ends.
func crowd(t *testing.T, addr string, n int) {
	t.Helper()
	ended := make(chan struct{})
	var all sync.WaitGroup
	t.Cleanup(all.Wait)
	t.Cleanup(func() { close(ended) })
	for i := range n {
		all.Go(func() {
			for {
				c, err := net.DialTimeout("tcp", addr, long)
				if err == nil {
					if i%2 == 0 {
						_, _ = io.WriteString(c, "GET /api HTTP/1.1\r\nHost: a\r\n")
					}
					stop := make(chan struct{})
					go func() { _, _ = io.Copy(io.Discard, c); close(stop) }()
					select {
					case <-stop:
					case <-ended:
					}
					_ = c.Close() // the node may have closed it
				}
				select {
				case <-ended:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
}

// Idle clients that fill the descriptors while the list service is down leave one for the call at its return, and
// those for connections to servers.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close") // so that each request needs a descriptor of its own
	}))
	t.Cleanup(server.Close)
	served := make(chan struct{})
	discovery := freeAddress(t)
	const sockets = 128
	p := newProcess(t, discovery, server.Listener.Addr().String(), sockets)
	p.start()
	asking, stop := context.WithCancel(t.Context())
	defer stop()
	go p.keepAsking(asking, served)
	await(t, "a request to reach a server", served)
	crowd(t, p.addr, 3*sockets)
	for began := time.Now(); strings.Count(p.log.String(), "watch failed") < 3; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > long {
			t.Fatalf("no call for the list fails: %s", &p.log)
		}
	}
	full := 0
	for began := time.Now(); full < sockets/2 && time.Since(began) < long; time.Sleep(10 * time.Millisecond) {
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.running.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		full = max(full, len(open))
	}
	if full < sockets/2 {
		t.Errorf("the node holds %d descriptors at most: nothing is tried", full)
	}
	called := make(chan struct{}, 1000)
	l, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	back := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	}))
	nodetest.Close(t, back.Listener)
	back.Listener = l
	back.Start()
	t.Cleanup(back.Close)
	await(t, "the call at the service's return", called)
	for range 3 {
		await(t, "a request to reach a server", served)
	}
	if text := p.log.String(); strings.Contains(text, "too many open files") || strings.Contains(text, "no descriptor") {
		t.Errorf("descriptors ran out: %s", text)
	}
}

// A process that is started again after a kill is ready at once, whatever the list service does.
func TestRestartedProcessIsReady(t *testing.T) {
	const restarts, within = 10, 10 * time.Second
	services := map[string]http.HandlerFunc{
		"silent":      func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"turns away":  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"half answer": halfAnswer,
		"refusing":    nil,
	}
	for name, serve := range services {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := freeAddress(t)
			if serve != nil {
				s := httptest.NewServer(serve)
				t.Cleanup(s.Close)
				t.Cleanup(s.CloseClientConnections)
				discovery = s.Listener.Addr().String()
			}
			p := newProcess(t, discovery, "127.0.0.1:9", 64)
			late := 0
			for range restarts {
				if took := p.start(); took > within {
					late++
				}
				p.kill()
			}
			if late > restarts/10 {
				t.Errorf("%d of %d restarted processes were not ready within %v", late, restarts, within)
			}
		})
	}
}

func halfAnswer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, `{"revision":8,"compl`)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}
