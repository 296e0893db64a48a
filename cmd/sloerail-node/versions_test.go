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

// otherNodeVariable is the environment variable with the path of another build of the node's program. The tests of
// hand-overs between the two builds are skipped if it is not set.
const otherNodeVariable = "SLOERAIL_OTHER_NODE"

const (
	versionsTestServers = 3
	// retriedPrefix is the prefix of the IDs of requests that may be retried. The first server fails GET requests whose ID
	// begins with it and ends in 0, so that the node retries them.
	retriedPrefix = "retried"
)

// versionsTest runs a node with clients, and replaces its process by a process of another version.
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
	for i := range versionsTestServers {
		var requestIDs sync.Map
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, again := requestIDs.LoadOrStore(r.Header.Get("X-Request-Id"), true); again && r.Method == http.MethodPost {
				t.Errorf("POST request %s reached a server twice", r.Header.Get("X-Request-Id"))
			}
			time.Sleep(5 * time.Millisecond) // simulated work
			if i == 0 && r.Method == http.MethodGet && strings.HasPrefix(r.Header.Get("X-Request-Id"), retriedPrefix) &&
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

// start starts a program as the next process of the node, and waits until it is ready at its own control address.
func (v *versionsTest) start(program string) *nodeProcess {
	v.Helper()
	p := &nodeProcess{control: freeAddress(v.T), command: exec.Command(program), log: new(logBuffer)}
	p.command.Env = append(os.Environ(), "ROUTER_CONFIG="+v.config, "TMPDIR="+v.dir, "ROUTER_CONTROL="+p.control)
	if program == os.Args[0] {
		p.command.Env = append(p.command.Env, socketLimitVariable+"=512")
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
	for began := time.Now(); time.Since(began) < testTimeout; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + p.control + "/healthcheck")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p
		}
	}
	v.Fatalf("%s did not become ready; log:\n%s", program, p.log)
	return nil
}

// stop sends SIGTERM to a process and waits for it to exit.
func (v *versionsTest) stop(p *nodeProcess) {
	v.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		v.Fatal(err)
	}
	if err := p.command.Wait(); err != nil {
		v.Errorf("process after SIGTERM: got %v, want exit code 0; log:\n%s", err, p.log)
	}
}

// send sends one request and returns the status of the response.
func (v *versionsTest) send(client *http.Client, method, class, tenant, id string) (int, error) {
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

// startClients starts clients that send requests until stop is called; half of the clients open a new connection for
// each request. A request without a 200 response fails the test.
func (v *versionsTest) startClients(prefix string) (stop func()) {
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
				status, err := v.send(client, method, class, "t", fmt.Sprintf("%s-%d-%d", prefix, n, i))
				if err != nil || status != http.StatusOK {
					v.failed.Add(1)
					v.Errorf("request id prefix %s: got status %d, error %v; want 200", prefix, status, err)
				}
				v.served.Add(1)
			}
		})
	}
	return func() { cancel(); clients.Wait() }
}

// awaitServed waits until n more requests have ended, with any status.
func (v *versionsTest) awaitServed(n int64) {
	v.Helper()
	start := v.served.Load()
	for began := time.Now(); v.served.Load() < start+n; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > testTimeout {
			v.Fatalf("only %d of the awaited requests ended within %v", v.served.Load()-start, testTimeout)
		}
	}
}

// balancerState is the part of a handed-over state that the tests compare.
type balancerState struct {
	Buckets []struct {
		Tenant, Class string
		Tokens        int64
	}
	Servers map[string]struct{ Threshold, Score, ColdTokens float64 }
	Took    []int64
	Extra   []int64
}

// readState connects to the serving process as a successor, reads its state and disconnects. The clients' listening
// socket that comes with the state is dropped.
func (v *versionsTest) readState() balancerState {
	v.Helper()
	path := filepath.Join(v.dir, fmt.Sprintf("wayhold-%s.sock", replaceColon(v.addr)))
	conn, err := net.Dial("unix", path)
	if err != nil {
		v.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		v.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		v.Fatal(err)
	}
	var state struct{ Knowledge balancerState }
	if err := json.NewDecoder(conn).Decode(&state); err != nil {
		v.Fatal(err)
	}
	return state.Knowledge
}

func replaceColon(addr string) string {
	host, port, _ := net.SplitHostPort(addr)
	return host + "-" + port
}

func (l balancerState) tokens(tenant string) (all []int64) {
	for _, b := range l.Buckets {
		if b.Tenant == tenant {
			all = append(all, b.Tokens)
		}
	}
	return all
}

// programSequences returns the programs of a node's successive processes, by the name of the subtest.
func programSequences(t *testing.T) map[string][]string {
	t.Helper()
	this, other := os.Args[0], os.Getenv(otherNodeVariable)
	if other == "" {
		t.Skip(otherNodeVariable + " is not set to the path of another build of the node's program")
	}
	return map[string][]string{"other, this, other": {other, this, other}, "this, other, this": {this, other, this}}
}

// Under load, a process is replaced by a process of another version, which is then replaced by a process of the
// first version. Each request gets a 200 response, and no POST request reaches a server twice.
func TestHandOverBetweenVersionsUnderLoad(t *testing.T) {
	for name, programs := range programSequences(t) {
		t.Run(name, func(t *testing.T) {
			v := newVersionsTest(t)
			process := v.start(programs[0])
			stop := v.startClients("load")
			for _, program := range programs[1:] {
				v.awaitServed(1000)
				next := v.start(program)
				if !strings.Contains(next.log.String(), "taking over") { // all versions log this
					t.Errorf("%s did not take over from the running process; log:\n%s", program, next.log)
				}
				v.awaitServed(200)
				v.stop(process)
				process = next
			}
			v.awaitServed(1000)
			stop()
			t.Logf("%d requests got a 200 response, %d requests did not", v.served.Load()-v.failed.Load(), v.failed.Load())
		})
	}
}

// A process of another version takes over the tokens of quotas, the concurrency limits of servers and the retry budget.
func TestHandOverBetweenVersionsKeepsState(t *testing.T) {
	for name, programs := range programSequences(t) {
		t.Run(name, func(t *testing.T) {
			v := newVersionsTest(t)
			process := v.start(programs[0])
			once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			v.exhaustQuota(once)
			for i, program := range programs[1:] {
				stop := v.startClients(fmt.Sprint(retriedPrefix, i))
				v.awaitServed(1000)
				stop()
				before := v.readState()
				next := v.start(program)
				v.checkStateKept(before, v.readState())
				v.stop(process)
				process = next
				status, err := v.send(once, http.MethodGet, "read", "tiny", fmt.Sprint("again-", i))
				if err != nil || status != http.StatusTooManyRequests {
					t.Errorf("after replacement %d: got status %d, error %v for tenant tiny; want 429", i, status, err)
				}
			}
		})
	}
}

// exhaustQuota sends requests of the tenant tiny until its token bucket is empty.
func (v *versionsTest) exhaustQuota(client *http.Client) {
	v.Helper()
	for n := range 100 {
		status, err := v.send(client, http.MethodGet, "read", "tiny", fmt.Sprint("tiny-", n))
		if err != nil {
			v.Fatal(err)
		}
		if status == http.StatusTooManyRequests {
			return
		}
	}
	v.Fatal("quota of tenant tiny is not exhausted after 100 requests")
}

// checkStateKept compares the state of a successor with that of its predecessor before the hand-over. No requests are
// sent in between.
func (v *versionsTest) checkStateKept(before, after balancerState) {
	v.Helper()
	if want, got := before.tokens("tiny"), after.tokens("tiny"); len(want) == 0 || !slices.Equal(want, got) {
		v.Errorf("tokens of tenant tiny: got %v, want %v", got, want)
	}
	for id, want := range before.Servers {
		if got := after.Servers[id]; got != want || want.Threshold <= 0 {
			v.Errorf("server %s: got %+v, want %+v with a threshold above 0", id, got, want)
		}
	}
	if len(before.Servers) != versionsTestServers {
		v.Errorf("servers in the predecessor's state: got %d, want one for each server of the test", len(before.Servers))
	}
	v.checkTimes("accepted requests", before.Took, after.Took)
	v.checkTimes("retries", before.Extra, after.Extra)
	v.Logf("kept: tokens of tenant tiny %v, servers %v, %d of %d accepted requests and %d of %d retries of the budget",
		after.tokens("tiny"), after.Servers, len(after.Took), len(before.Took), len(after.Extra), len(before.Extra))
}

// checkTimes compares the times of the retry budget in two states. The times are relative to when a state was written, so
// all of them shift by the same amount from one state to the next. The oldest times may have left the budget's window
// before the second state was written.
func (v *versionsTest) checkTimes(what string, before, after []int64) {
	v.Helper()
	if len(after) == 0 || len(after) > len(before) {
		v.Errorf("times of %s in the successor's state: got %d, want 1 to %d", what, len(after), len(before))
		return
	}
	before = before[len(before)-len(after):]
	elapsed := before[0] - after[0]
	for i := range after {
		if before[i]-after[i] != elapsed || elapsed <= 0 {
			v.Errorf("%s: time %d: got %d, was %d before; want all times shifted by the same positive amount; the first time is shifted by %d",
				what, i, after[i], before[i], elapsed)
			return
		}
	}
}
