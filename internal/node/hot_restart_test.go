package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"

	"sloerail/internal/node/hotrestart"

	"sloerail/internal/node/config"
	"sloerail/policy"
)

// restartableConfig returns the configuration of a node that can hand over: it has a fixed address and a shared folder.
func restartableConfig(t *testing.T, known string) config.Config {
	t.Helper()
	c := testConfig(t, known)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.Listen = ln.Addr().String()
	nodetest.Close(t, ln)
	c.SharedDir = t.TempDir()
	return c
}

// closeListeners closes the listeners and the connection to the predecessor.
func closeListeners(t *testing.T, listeners Listeners) {
	t.Helper()
	if err := listeners.close(); err != nil {
		t.Error(err)
	}
}

// startProcess runs a process of a node, here inside the test's process, and waits until it can hand over.
func startProcess(t *testing.T, c config.Config) (listeners Listeners, stop func() error) {
	t.Helper()
	return startReloadableProcess(t, c, nil)
}

// startReloadableProcess is startProcess with configuration changes.
func startReloadableProcess(
	t *testing.T, c config.Config, changes <-chan Change,
) (listeners Listeners, stop func() error) {
	t.Helper()
	listeners, err := Listen(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	before, _ := os.Stat(identityOf(c).SocketPath())
	_, stop = startNodeAt(t, c, listeners, changes)
	nodetest.Await(t, "the process to listen for a successor", func() bool {
		now, err := os.Stat(identityOf(c).SocketPath())
		return err == nil && !os.SameFile(before, now)
	})
	return listeners, stop
}

// Two hot restarts in a row under load reject no request, neither on new connections nor on kept ones, and no request is
// sent twice.
func TestHotRestartRejectsNobody(t *testing.T) {
	t.Parallel()
	var runs sync.Map
	server := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, again := runs.LoadOrStore(r.Header.Get("X-Request-Id"), true); again {
			t.Errorf("request %s reached the server twice", r.Header.Get("X-Request-Id"))
		}
	})
	c := restartableConfig(t, nodetest.KnownList(server))
	_, stopFirst := startProcess(t, c)

	var served atomic.Int64
	end := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 8 {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		defer client.CloseIdleConnections()
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				default:
				}
				resp, err := client.Do(clientRequest(t, c.Listen, "POST", "pay", fmt.Sprintf("r%d-%d", n, i), ""))
				if err != nil {
					t.Error(err)
					return
				}
				nodetest.Close(t, resp.Body)
				if resp.StatusCode != http.StatusOK {
					t.Errorf("request during a hot restart: got status %d, want 200", resp.StatusCode)
				}
				served.Add(1)
				time.Sleep(5 * time.Millisecond) // well under the quota
			}
		})
	}
	awaitMoreResponses := func() {
		t.Helper()
		before := served.Load()
		nodetest.Await(t, "20 more responses", func() bool { return served.Load() > before+20 })
	}
	awaitMoreResponses()
	second, stopSecond := startProcess(t, c)
	if second.predecessor == nil {
		t.Fatal("the second process has no predecessor")
	}
	third, _ := startProcess(t, c)
	if third.predecessor == nil {
		t.Fatal("the third process has no predecessor")
	}
	for _, stop := range []func() error{stopFirst, stopSecond} {
		if err := stop(); err != nil {
			t.Error(err)
		}
		awaitMoreResponses()
	}
	close(end)
	clients.Wait()
}

// A tenant's token bucket that was emptied at the old process is still empty at the new one.
func TestHotRestartKeepsBuckets(t *testing.T) {
	t.Parallel()
	server := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	c := restartableConfig(t, nodetest.KnownList(server))
	startProcess(t, c)
	status := func(id string) int {
		resp, _ := do(t, clientRequest(t, c.Listen, "GET", "read", id, "", "X-Tenant", "tiny"))
		return resp.StatusCode
	}
	for i := range 3 {
		if got := status(fmt.Sprint("before", i)); got != http.StatusOK {
			t.Fatalf("request within the burst: got status %d, want 200", got)
		}
	}
	startProcess(t, c)
	if got := status("after"); got != http.StatusTooManyRequests {
		t.Errorf("request with an empty bucket after the hot restart: got status %d, want 429", got)
	}
}

// The predecessor serves again if its successor ends, whether or not the successor had started to accept clients.
func TestPredecessorResumes(t *testing.T) {
	t.Parallel()
	server := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	c := restartableConfig(t, nodetest.KnownList(server))
	startProcess(t, c)
	for _, served := range []bool{false, true} {
		listeners, err := Listen(t.Context(), c)
		if err != nil || listeners.predecessor == nil {
			t.Fatalf("Listen: want a hand-over from the predecessor, got none or error %v", err)
		}
		if served {
			following := make(chan struct{})
			first := sync.OnceFunc(func() { close(following) })
			go listeners.predecessor.Follow(func() {}, func(_ hotrestart.Progress, ended bool) {
				if !ended {
					first()
				}
			})
			nodetest.Receive(t, "progress of the predecessor", following)
		}
		closeListeners(t, listeners)
		resp, _ := do(t, clientRequest(t, c.Listen, "GET", "read", fmt.Sprint("r", served), ""))
		if resp.StatusCode != http.StatusOK {
			t.Errorf("after the end of a successor (served: %v): got status %d, want 200", served, resp.StatusCode)
		}
	}
}

// Guards against a successor that is told to stop while its predecessor serves, and never ends: what ended its connection to the
// predecessor was called off once it could hand over no more. Here it can't from the start.
func TestSuccessorEndsBesideItsPredecessor(t *testing.T) {
	t.Parallel()
	c := restartableConfig(t, nodetest.KnownList("127.0.0.1:9"))
	startProcess(t, c)
	taken := filepath.Join(fmt.Sprint(identityOf(c).SocketPath(), ".", os.Getpid()), "taken") // where the successor would listen
	if err := os.MkdirAll(taken, 0o700); err != nil {
		t.Fatal(err)
	}
	listeners, err := Listen(t.Context(), c)
	if err != nil || listeners.predecessor == nil {
		t.Fatalf("Listen: want a hand-over from the predecessor, got none or error %v", err)
	}
	_, stop := startNodeAt(t, c, listeners, nil)
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// In a hot restart, the predecessor leaves its successor at least a quarter of the descriptors, but none of the reserved
// ones.
func TestHotRestartSharesDescriptors(t *testing.T) {
	t.Parallel()
	c := restartableConfig(t, nodetest.KnownList("127.0.0.1:9"))
	startProcess(t, c)
	listeners, err := Listen(t.Context(), c)
	if err != nil || listeners.predecessor == nil {
		t.Fatalf("Listen: want a hand-over from the predecessor, got none or error %v", err)
	}
	defer closeListeners(t, listeners)
	if got := listeners.predecessor.State.Sockets; got < c.Sockets/4 || got > c.Sockets-reservedSocketsWhileShared(c) {
		t.Errorf("descriptors for the successor: got %d of %d, want at least a quarter, and at most all but the reserved descriptors",
			got, c.Sockets)
	}
}

// Without a usable hand-over a process starts without former state, and a second process can still listen at its
// address.
func TestOrdinaryStartWithoutUsableHandOver(t *testing.T) {
	t.Parallel()
	serveText := func(text string) func(t *testing.T, c config.Config) {
		return func(t *testing.T, c config.Config) {
			l, err := net.Listen("unix", identityOf(c).SocketPath())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { nodetest.Close(t, l) })
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, text) // the successor may have closed its end
					_ = conn.Close()
				}
			}()
		}
	}
	for name, prepare := range map[string]func(t *testing.T, c config.Config){
		"nobody":     func(*testing.T, config.Config) {},
		"stale":      func(t *testing.T, c config.Config) { leaveStaleSocket(t, identityOf(c).SocketPath()) },
		"silent end": serveText(""),
		"rubbish":    serveText("\n{\"Version\":99"),
		"missing folder": func(t *testing.T, c config.Config) {
			if err := os.Remove(c.SharedDir); err != nil {
				t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
			c := restartableConfig(t, nodetest.KnownList(server))
			prepare(t, c)
			listeners, err := Listen(t.Context(), c)
			if err != nil || listeners.predecessor != nil {
				t.Fatalf("Listen: got predecessor %v, error %v, want none", listeners.predecessor, err)
			}
			addr, _ := startNodeAt(t, c, listeners, nil)
			if resp, _ := do(t, clientRequest(t, addr, "GET", "read", "r", "")); resp.StatusCode != http.StatusOK {
				t.Errorf("request to the new process: got status %d, want 200", resp.StatusCode)
			}
			second, err := listenShared(t.Context(), c.Listen)
			if err != nil {
				t.Fatalf("listening at the address of the new process: %v", err)
			}
			nodetest.Close(t, second)
		})
	}
}

// leaveStaleSocket leaves a Unix socket file at path that nobody listens at.
func leaveStaleSocket(t *testing.T, path string) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	nodetest.Close(t, l)
}

// The shared folder's path may be longer than a Unix socket address allows.
func TestHandOverInFolderWithLongPath(t *testing.T) {
	t.Parallel()
	c := restartableConfig(t, nodetest.KnownList("127.0.0.1:9"))
	c.SharedDir = filepath.Join(c.SharedDir, strings.Repeat("d", 120))
	if err := os.Mkdir(c.SharedDir, 0o700); err != nil {
		t.Fatal(err)
	}
	startProcess(t, c)
	listeners, err := Listen(t.Context(), c)
	if err != nil || listeners.predecessor == nil {
		t.Fatalf("Listen: want a hand-over from the predecessor, got none or error %v", err)
	}
	closeListeners(t, listeners)
}

// Guards against rejecting a client that goes by the former configuration, if the process is replaced just after a
// reload: the successor accepts former classes for as long as its predecessor would have.
func TestSuccessorAcceptsFormerClasses(t *testing.T) {
	t.Parallel()
	server := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	c := restartableConfig(t, nodetest.KnownList(server))
	changed := c
	changed.Settings.Classes = slices.Clone(c.Settings.Classes)
	for i := range changed.Settings.Classes {
		changed.Settings.Classes[i].RetrySafety = policy.Idempotent
	}
	status := func(method, id string) int {
		resp, _ := do(t, clientRequest(t, c.Listen, method, "pay", id, ""))
		return resp.StatusCode
	}
	const maxTrials = 5
	for trial := range maxTrials {
		c.SharedDir = t.TempDir()
		changed.SharedDir = c.SharedDir
		changes := make(chan Change)
		_, stopFirst := startReloadableProcess(t, c, changes)
		changedAt := time.Now()
		changes <- Change{Config: changed}
		nodetest.Await(t, "the changed configuration", func() bool {
			return status("GET", fmt.Sprintf("g%d-%d", trial, time.Now().UnixNano())) == http.StatusOK
		})
		_, stopSecond := startProcess(t, changed)
		if err := stopFirst(); err != nil {
			t.Error(err)
		}
		got := status("POST", fmt.Sprint("p", trial))
		inTime := time.Since(changedAt) < formerClassPeriod
		if err := stopSecond(); err != nil {
			t.Error(err)
		}
		if got == http.StatusOK {
			return
		}
		if inTime {
			t.Fatalf("request in the former form at the successor: got status %d, want 200", got)
		}
	}
	t.Fatalf("in %d trials, no successor was asked within %v after the change", maxTrials, formerClassPeriod)
}
