package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// otherNode names the variable with the path of another build of the node's program. Hand-overs between the two are
// tried where it is set.
const otherNode = "SLOERAIL_OTHER_NODE"

const (
	serversOfVersionsTest = 3
	// retryPhase begins the ids of requests of which the first server fails some, so that they are retried.
	retryPhase = "retried"
)

// versionsTest is a node whose process is replaced by one of another version, with clients.
type versionsTest struct {
	*testing.T
	dir, config, addr string
	served, failed    atomic.Int64
}

// nodeProcess is one process of the node.
type nodeProcess struct {
	control string
	command *exec.Cmd
	log     *logBuffer
}

func newVersionsTest(t *testing.T) *versionsTest {
	t.Helper()
	v := &versionsTest{T: t, dir: t.TempDir(), addr: freeAddress(t)}
	v.config = filepath.Join(v.dir, "config.json")
	var endpoints string
	for i := range serversOfVersionsTest {
		var runs sync.Map
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, again := runs.LoadOrStore(r.Header.Get("X-Request-Id"), true); again && r.Method == http.MethodPost {
				t.Errorf("%s ran twice", r.Header.Get("X-Request-Id"))
			}
			time.Sleep(5 * time.Millisecond) // the work
			if i == 0 && r.Method == http.MethodGet && strings.HasPrefix(r.Header.Get("X-Request-Id"), retryPhase) &&
				strings.HasSuffix(r.Header.Get("X-Request-Id"), "0") {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		t.Cleanup(server.Close)
		endpoints += fmt.Sprintf(`%s{"id":"s%d","host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":"up","size":1,"up_since_ms":0}`,
			map[bool]string{true: "", false: ","}[i == 0], i, server.Listener.Addr())
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:9","seed":"1f",
		"limits":{"cores":2,"memory_mb":64,"sockets":512},
		"known":{"revision":7,"complete":true,"members":[%s]},
		"settings":{"position":0,"groupSize":1,"zone":"a",
			"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"free"},
				{"name":"pay","aim":4000,"deadline":9000,"repeat":"single_shot"}],
			"tenants":[{"name":"t","quotaRps":5000},{"name":"tiny","quotaRps":0.001}],
			"limits":{"connIdle":60000,"connectTimeout":2000,"maxAttempts":3,"maxOpen":1000,"retryAfter":true},
			"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}}`, v.addr, endpoints)
	if err := os.WriteFile(v.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return v
}

// start runs a program as a further process of the node, until it is ready at its own address for operators.
func (v *versionsTest) start(program string) *nodeProcess {
	v.Helper()
	p := &nodeProcess{control: freeAddress(v.T), command: exec.Command(program), log: new(logBuffer)}
	p.command.Env = append(os.Environ(), "ROUTER_CONFIG="+v.config, "TMPDIR="+v.dir, "ROUTER_CONTROL="+p.control)
	if program == os.Args[0] {
		p.command.Env = append(p.command.Env, limitedTo+"=512")
	}
	p.command.Stderr = p.log
	if err := p.command.Start(); err != nil {
		v.Fatal(err)
	}
	v.Cleanup(func() {
		if p.command.ProcessState == nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
	})
	for began := time.Now(); time.Since(began) < long; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + p.control + "/healthcheck")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
	}
	v.Fatalf("%s never became ready: %s", program, p.log)
	return nil
}

// stop ends a process as SIGTERM does, and waits for it.
func (v *versionsTest) stop(p *nodeProcess) {
	v.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		v.Fatal(err)
	}
	if err := p.command.Wait(); err != nil {
		v.Errorf("the process ended with %v: %s", err, p.log)
	}
}

// ask sends one request and returns the status of its answer.
func (v *versionsTest) ask(client *http.Client, method, class, tenant, id string) (int, error) {
	req, err := http.NewRequestWithContext(v.Context(), method, "http://"+v.addr+"/api", nil)
	if err != nil {
		return 0, err
	}
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": tenant, "X-Deadline-Ms": "8000"} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// startClients has clients send requests, half of them over a new connection each, until the returned function is
// called. A request that gets no 200 fails the test.
func (v *versionsTest) startClients(phase string) (stop func()) {
	ctx, cancel := context.WithCancel(v.Context())
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
			defer client.CloseIdleConnections()
			for i := 0; ctx.Err() == nil; i++ {
				method, class := http.MethodPost, "pay"
				if n >= 12 {
					method, class = http.MethodGet, "read"
				}
				status, err := v.ask(client, method, class, "t", fmt.Sprintf("%s-%d-%d", phase, n, i))
				if err != nil || status != http.StatusOK {
					v.failed.Add(1)
					v.Errorf("%s: status %d, %v", phase, status, err)
				}
				v.served.Add(1)
			}
		})
	}
	return func() { cancel(); clients.Wait() }
}

// awaitServed waits for so many further answers.
func (v *versionsTest) awaitServed(n int64) {
	v.Helper()
	from := v.served.Load()
	for began := time.Now(); v.served.Load() < from+n; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > long {
			v.Fatalf("%d answers in %v", v.served.Load()-from, long)
		}
	}
}

// learned is what a test compares of a handed-over state.
type learned struct {
	Buckets []struct {
		Tenant, Class string
		Tokens        int64
	}
	Servers map[string]struct{ Threshold, Score, ColdTokens float64 }
	Took    []int64
	Extra   []int64
}

// stateOf asks the process that serves for its state, as a successor that then leaves. The clients' listening socket
// that comes along is dropped.
func (v *versionsTest) stateOf() learned {
	v.Helper()
	path := filepath.Join(v.dir, fmt.Sprintf("wayhold-%s.sock", replaceColon(v.addr)))
	conn, err := net.Dial("unix", path)
	if err != nil {
		v.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(long)); err != nil {
		v.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		v.Fatal(err)
	}
	var state struct{ Knowledge learned }
	if err := json.NewDecoder(conn).Decode(&state); err != nil {
		v.Fatal(err)
	}
	return state.Knowledge
}

func replaceColon(addr string) string {
	host, port, _ := net.SplitHostPort(addr)
	return host + "-" + port
}

func (l learned) tokens(tenant string) (all []int64) {
	for _, b := range l.Buckets {
		if b.Tenant == tenant {
			all = append(all, b.Tokens)
		}
	}
	return all
}

// versionOrders are the programs of a node's processes, one after the other.
func versionOrders(t *testing.T) map[string][]string {
	t.Helper()
	this, other := os.Args[0], os.Getenv(otherNode)
	if other == "" {
		t.Skip(otherNode + " names no other build of the node's program")
	}
	return map[string][]string{"other, this, other": {other, this, other}, "this, other, this": {this, other, this}}
}

// Under load a process is replaced by one of another version, and that by one of the first again: each request gets its
// answer, and none runs twice.
func TestHandOverBetweenVersionsUnderLoad(t *testing.T) {
	for name, programs := range versionOrders(t) {
		t.Run(name, func(t *testing.T) {
			v := newVersionsTest(t)
			process := v.start(programs[0])
			stop := v.startClients("load")
			for _, program := range programs[1:] {
				v.awaitServed(1000)
				next := v.start(program)
				if !strings.Contains(next.log.String(), "taking over") { // the word of all versions
					t.Errorf("%s did not take over: %s", program, next.log)
				}
				v.awaitServed(200)
				v.stop(process)
				process = next
			}
			v.awaitServed(1000)
			stop()
			t.Logf("%d requests answered with 200, %d not", v.served.Load()-v.failed.Load(), v.failed.Load())
		})
	}
}

// A process of another version takes over the quotas used up, the concurrency limits of servers and the retry budget.
func TestHandOverBetweenVersionsKeepsState(t *testing.T) {
	for name, programs := range versionOrders(t) {
		t.Run(name, func(t *testing.T) {
			v := newVersionsTest(t)
			process := v.start(programs[0])
			once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			v.useUpQuota(once)
			for i, program := range programs[1:] {
				stop := v.startClients(fmt.Sprint(retryPhase, i))
				v.awaitServed(1000)
				stop()
				before := v.stateOf()
				next := v.start(program)
				v.checkKept(before, v.stateOf())
				v.stop(process)
				process = next
				status, err := v.ask(once, http.MethodGet, "read", "tiny", fmt.Sprint("again-", i))
				if err != nil || status != http.StatusTooManyRequests {
					t.Errorf("after replacement %d: status %d for tiny, %v, want 429", i, status, err)
				}
			}
		})
	}
}

// useUpQuota asks on for the tenant tiny until its bucket is empty.
func (v *versionsTest) useUpQuota(client *http.Client) {
	v.Helper()
	for n := range 100 {
		status, err := v.ask(client, http.MethodGet, "read", "tiny", fmt.Sprint("tiny-", n))
		if err != nil {
			v.Fatal(err)
		}
		if status == http.StatusTooManyRequests {
			return
		}
	}
	v.Fatal("the quota of tiny is never used up")
}

// checkKept compares what a successor knows with what its predecessor knew just before, with no requests since.
func (v *versionsTest) checkKept(before, after learned) {
	v.Helper()
	if was, is := before.tokens("tiny"), after.tokens("tiny"); len(was) == 0 || !slices.Equal(was, is) {
		v.Errorf("tokens of tiny: %v, want %v", is, was)
	}
	for id, was := range before.Servers {
		if is := after.Servers[id]; is != was || was.Threshold <= 0 {
			v.Errorf("server %s: %+v, want %+v", id, is, was)
		}
	}
	if len(before.Servers) != serversOfVersionsTest {
		v.Errorf("%d servers", len(before.Servers))
	}
	v.checkTimes("accepted requests", before.Took, after.Took)
	v.checkTimes("retries", before.Extra, after.Extra)
	v.Logf("kept: tokens of tiny %v, %v, %d of %d accepted requests and %d of %d retries of the budget", after.tokens("tiny"),
		after.Servers, len(after.Took), len(before.Took), len(after.Extra), len(before.Extra))
}

// checkTimes compares times of the retry budget, which are relative to when a state was written. Old ones may have left
// the budget's window meanwhile.
func (v *versionsTest) checkTimes(what string, before, after []int64) {
	v.Helper()
	if len(after) == 0 || len(after) > len(before) {
		v.Errorf("%s: %d, want up to %d", what, len(after), len(before))
		return
	}
	before = before[len(before)-len(after):]
	passed := before[0] - after[0]
	for i := range after {
		if before[i]-after[i] != passed || passed <= 0 {
			v.Errorf("%s: the %dth is %d, was %d, with %d passed since", what, i, after[i], before[i], passed)
			return
		}
	}
}
