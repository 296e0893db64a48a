package node

import (
	"context"
	"slices"
	"strings"

	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The tests of this file have real connections: what a kernel does as one ends is part of what they try.
// docs/endings.md has a row for each.

// arrivals notes when requests reach a server.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) ServeHTTP(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// after counts those that came later than a time.
func (a *arrivals) after(t time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if at.After(t) {
			n++
		}
	}
	return n
}

// listCall is one that a list service got, and its answer is the test's to give.
type listCall struct {
	at    time.Time
	query map[string][]string
	serve chan<- http.HandlerFunc
}

// give answers the call with a list.
func (c listCall) give(list string) {
	c.serve <- func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }
}

// wait is for how long the call may be held.
func (c listCall) wait(t *testing.T) time.Duration {
	t.Helper()
	ms, err := strconv.Atoi(c.query["wait"][0])
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// listService hands its calls to the test. One that is not answered is held until its caller leaves.
func listService(t *testing.T) (addr string, calls <-chan listCall) {
	t.Helper()
	all := make(chan listCall, 1000)
	return nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		serve := make(chan http.HandlerFunc, 1)
		all <- listCall{time.Now(), r.URL.Query(), serve}
		select {
		case answer := <-serve:
			answer(w, r)
		case <-r.Context().Done():
		}
	}), all
}

// listed is an entry of a list that says where its server is.
func listed(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":%q,"up_since_ms":0}`, id, addr, phase)
}

// leavingTest is a node with a server that begins to drain while the node's watch is broken, one that stays, and
// clients.
type leavingTest struct {
	*testing.T
	config.Config
	leaving, staying arrivals
	first            string // the address of the one that leaves
	calls            <-chan listCall
	changes          chan Change
	node             string
	asked            int
}

func newLeavingTest(t *testing.T, subscribe bool, adjust ...func(*config.Config)) *leavingTest {
	t.Helper()
	l := &leavingTest{T: t, changes: make(chan Change, 1)}
	l.first = nodetest.HTTPServer(t, l.leaving.ServeHTTP)
	l.Config = testConfig(t, nodetest.KnownList(l.first, nodetest.HTTPServer(t, l.staying.ServeHTTP)))
	l.Discovery, l.calls = listService(t)
	l.Settings.SubscribeList = subscribe
	for _, f := range adjust {
		f(&l.Config)
	}
	l.node, _ = startNodeAt(t, l.Config, Listeners{Clients: nodetest.Listener(t)}, l.changes)
	return l
}

// ask sends one request.
func (l *leavingTest) ask() {
	l.Helper()
	l.asked++
	resp, _ := do(l.T, clientRequest(l.T, l.node, "GET", "read", fmt.Sprint("r", l.asked), ""))
	if resp.StatusCode != http.StatusOK {
		l.Errorf("request %d: status %d", l.asked, resp.StatusCode)
	}
}

// drains has clients ask on until the node knows from its further calls that the first server drains. Nothing may be
// sent there later than the settings' grace after that counts as told, which a zero time leaves to the answer.
func (l *leavingTest) drains(told time.Time, further <-chan listCall, list func(c listCall) string) {
	l.Helper()
	for began, given := time.Now(), false; !given || l.staying.after(time.Time{}) == 0; {
		l.ask()
		select {
		case c := <-further:
			if !given {
				c.give(list(c))
				if given = true; told.IsZero() {
					told = time.Now()
				}
			}
		default:
		}
		if time.Since(began) > nodetest.Timeout {
			l.Fatal("the list is never asked for anew")
		}
		time.Sleep(10 * time.Millisecond) // between requests
	}
	if l.leaving.after(time.Time{}) == 0 {
		l.Error("the draining server never had a request: nothing was tried")
	}
	if late := l.leaving.after(told.Add(l.Settings.Rules.DrainGrace)); late > 0 {
		l.Errorf("%d requests were sent to a draining server later than %v after it counts as told", late,
			l.Settings.Rules.DrainGrace)
	}
}

// change is the answer that a watch gets once the first server drains.
func (l *leavingTest) change(listCall) string {
	return nodetest.ListChange(8, listed("s0", l.first, "draining"))
}

// A watch that falls silent is opened anew in time for what it missed: that counts as told 6 s after the silence
// began, or 2 s after the wait was over. So is one whose answer breaks off in the middle and stays open.
func TestSilentWatchKeepsDrains(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("asked %v/half an answer %v", subscribe, half), func(t *testing.T) {
				t.Parallel()
				l := newLeavingTest(t, subscribe)
				silent := nodetest.Receive(t, "the watch that falls silent", l.calls)
				if half {
					silent.serve <- answerHalf
				}
				l.drains(silent.at.Add(max(6*time.Second, silent.wait(t)+2*time.Second)), l.calls, l.change)
			})
		}
	}
}

// A watch that ends in another way than by an answer is opened anew as well. Where lists are pushed, what its agent
// has counts as told at once, whether a watch is open or not, and when the service is back; else as it is written.
func TestBrokenWatchKeepsDrains(t *testing.T) {
	breaks := map[string]http.HandlerFunc{
		"reset":   resetCall,
		"refused": rejectCall,
		"rubbish": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":8,"members":[{}]}`)
		},
		"endless": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 1<<16)); err != nil {
					return
				}
			}
		},
	}
	for name, broken := range breaks {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/asked %v", name, subscribe), func(t *testing.T) {
				t.Parallel()
				l := newLeavingTest(t, subscribe)
				over := make(chan struct{}, 2)
				for range 2 {
					nodetest.Receive(t, "a watch", l.calls).serve <- func(w http.ResponseWriter, r *http.Request) {
						broken(w, r)
						over <- struct{}{}
					}
					l.ask()
					nodetest.Receive(t, "the end of the watch", over)
				}
				told := time.Now()
				if subscribe {
					told = time.Time{}
				}
				l.drains(told, l.calls, l.change)
			})
		}
	}
}

// A node whose configuration names another discovery is told what that has 4 s after the signal, also where the
// first call to it falls silent.
func TestMovedDiscoveryKeepsDrains(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("asked %v/silent %v", subscribe, silent), func(t *testing.T) {
				t.Parallel()
				l := newLeavingTest(t, subscribe)
				nodetest.Receive(t, "a watch at the old address", l.calls)
				next := l.Config
				addr, calls := listService(t)
				next.Discovery = addr
				l.changes <- Change{Config: next}
				signal := time.Now()
				if silent {
					nodetest.Receive(t, "the call that falls silent", calls)
				}
				l.drains(signal.Add(4*time.Second), calls, func(c listCall) string {
					if c.query["index"] != nil {
						t.Errorf("asked the new address for what is newer than %v of the old one", c.query["index"])
					}
					return fmt.Sprintf(`{"revision":3,"complete":true,"members":[%s,%s]}`, listed("s0", l.first, "draining"),
						listed("s1", l.Known.Endpoints[1].Address, "up"))
				})
			})
		}
	}
}

// testClient is one connection to a node, as a client has it.
type testClient struct {
	nodetest.Conn
	t    *testing.T
	node string
	r    *bufio.Reader
}

func newTestClient(t *testing.T, node string) *testClient {
	t.Helper()
	c := nodetest.Dial(t, node)
	nodetest.CloseAtEnd(t, c)
	_ = c.SetDeadline(time.Now().Add(nodetest.Timeout))
	return &testClient{c, t, node, bufio.NewReader(c)}
}

func (c *testClient) send(method, class, id, body string, headers ...string) {
	c.t.Helper()
	if err := clientRequest(c.t, c.node, method, class, id, body, headers...).Write(c); err != nil {
		c.t.Fatal(err)
	}
}

// answered reads a whole answer.
func (c *testClient) answered() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal("no whole answer: ", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal("no whole answer: ", err)
	}
	return resp
}

// stopping runs a server around a module that sends each request once, and tells it to stop as a node is told, without
// the clock that a node's end keeps: the order of things is the test's.
func stopping(t *testing.T, server string) (node string, l *loop, drain func()) {
	t.Helper()
	l, _ = startLoop(t, server, sendsOnce)
	s := newServer(l)
	return serveAt(t, s), l, func() {
		s.Stopping.Store(true)
		s.Draining.Store(true)
	}
}

// An answer tells that its connection ends wherever the node was told to stop by then, and not only where it was
// when the request came: else the client goes on using a connection for which no time is left.
func TestAnswersOfAStoppingNodeEndTheirConnections(t *testing.T) {
	t.Parallel()
	server, got, letGo := nodetest.HoldingServer(t)
	node, l, drain := stopping(t, server)
	clients := []*testClient{newTestClient(t, node), newTestClient(t, node)}
	for i, c := range clients {
		c.send("POST", "pay", fmt.Sprint("r", i), "sum")
		nodetest.Receive(t, "the attempt", got)
	}
	drain()
	letGo()
	for i, c := range clients {
		if resp := c.answered(); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("request %d: status %d, ends its connection: %v", i, resp.StatusCode, resp.Close)
		}
	}
	nodetest.Await(t, "rest", l.atRest)
}

// What is failed at a node's end ends its connection too, and a request that comes after that gets a refusal: there
// is no time to send it on, and its connection would be cut with no answer.
func TestRequestAfterTheLoopFinishedIsRejected(t *testing.T) {
	t.Parallel()
	server, got, letGo := nodetest.HoldingServer(t)
	node, l, drain := stopping(t, server)
	failed, late := newTestClient(t, node), newTestClient(t, node)
	failed.send("POST", "pay", "failed", "sum")
	nodetest.Receive(t, "the attempt", got)
	drain()
	l.send(failUnanswered{})
	if resp := failed.answered(); resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("the last of what was open: status %d, ends its connection: %v", resp.StatusCode, resp.Close)
	}
	late.send("POST", "pay", "late", "sum")
	if resp := late.answered(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("what came after: status %d, ends its connection: %v", resp.StatusCode, resp.Close)
	}
	select {
	case id := <-got:
		t.Errorf("%s was sent on", id)
	default:
	}
	letGo()
	nodetest.Await(t, "rest", l.atRest)
}

// leaver is a module that holds each request until it is given the sign, tries again what failed, and
// sends nothing for a client that it knows to have left. Handling the request "busy" takes until idle is closed.
type leaver struct {
	at      string // the waiting that is tried
	cancels bool
	busy    chan struct{}
	idle    chan struct{}
	held    []string
	signed  bool
	out     atomic.Int32 // attempts
}

func (m *leaver) answer(_ policy.Time, ev policy.Event) []policy.Action {
	switch e := ev.(type) {
	case policy.Request:
		if e.ID == "busy" {
			close(m.busy)
			<-m.idle
		} else if !m.signed && (m.at == "a server" || m.at == "its body") {
			m.held = append(m.held, e.ID)
			return nil
		}
		return m.send(e.ID)
	case policy.FleetSize:
		m.signed = true
		ids := m.held
		m.held = nil
		return m.send(ids...)
	case policy.Outcome:
		m.out.Add(-1)
		if !e.RequestEnded && e.Code != policy.OK {
			return m.send(e.ID)
		}
	case policy.ClientCancelled:
		m.held = slices.DeleteFunc(m.held, func(id string) bool { return id == e.ID })
		if m.cancels {
			return []policy.Action{{Kind: policy.Cancel, ID: e.ID}}
		}
	}
	return nil
}

func (m *leaver) send(ids ...string) (acts []policy.Action) {
	for _, id := range ids {
		m.out.Add(1)
		acts = append(acts, sends(id, 1)...)
	}
	return acts
}

// atRest tells whether a loop has no request and its connections to servers are idle.
func (l *loop) atRest() bool {
	open, idle := l.up.ConnCounts()
	return open == idle && l.fig.open.Load() == 0
}

// A request whose client has left while it waited is not sent on 0.1 s later, whatever it waited for, however the
// client left, with bytes of a further request behind it or none, and whether or not attempts may be cancelled.
func TestRequestOfAClientThatLeftIsNotForwarded(t *testing.T) {
	for _, at := range []string{"a server", "a further attempt", "a connection", "its body", "the loop"} {
		for _, method := range []string{"GET", "POST"} {
			for _, behind := range []int{0, 3, 9000} {
				for _, reset := range []bool{false, true} {
					for _, cancels := range []bool{false, true} {
						if at == "its body" && (method == "GET" || behind > 0) {
							continue // it has none, or it is what is behind
						}
						name := fmt.Sprintf("%s/%s/%d behind/reset %v/cancels %v", at, method, behind, reset, cancels)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							leaves(t, &leaver{at: at, cancels: cancels, busy: make(chan struct{}), idle: make(chan struct{})},
								method, behind, reset)
						})
					}
				}
			}
		}
	}
}

func leaves(t *testing.T, m *leaver, method string, behind int, reset bool) {
	tries, fails := make(chan string, 100), make(chan struct{})
	server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		tries <- r.Header.Get("X-Request-Id")
		if m.at == "a further attempt" && r.Header.Get("X-Request-Id") == "r1" {
			<-fails
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	l, module := startLoop(t, server, m.answer)
	dials, up := make(chan struct{}, 10), make(chan struct{})
	if m.at == "a connection" {
		l.dialWith(t, func(_ context.Context, network, addr string) (net.Conn, error) {
			dials <- struct{}{}
			<-up // it comes up late, whoever waits
			return net.Dial(network, addr)
		})
	}
	node := serveAt(t, newServer(l))
	if m.at == "the loop" {
		newTestClient(t, node).send("GET", "read", "busy", "")
		nodetest.Receive(t, "a busy loop", m.busy)
	}

	c := newTestClient(t, node)
	m.sendRequest(c, method)
	switch m.at { // until it waits there
	case "a further attempt":
		nodetest.Receive(t, "the first attempt", tries)
	case "a connection":
		nodetest.Receive(t, "the dialling", dials)
	case "the loop":
		nodetest.Await(t, "its arrival", func() bool { return l.fig.open.Load() == 2 })
	default:
		nodetest.Await(t, "the request", func() bool { return slices.Contains(module.events(), "request r1") })
	}
	c.leave(behind, reset)
	time.Sleep(leftTerm)
	close(up)
	close(fails)
	close(m.idle)
	l.send(fleetSizeChanged{})
	stays := newTestClient(t, node)
	stays.send("GET", "read", "stays", "")
	if resp := stays.answered(); resp.StatusCode != http.StatusOK {
		t.Errorf("a client that stays: status %d", resp.StatusCode)
	}
	nodetest.Await(t, "all to end", func() bool { return m.out.Load() == 0 && l.atRest() })
	for len(tries) > 0 {
		if <-tries == "r1" {
			t.Errorf("sent on for a client that left %v before", leftTerm)
		}
	}
}

// sendRequest sends a request, or a part of one that is to wait for its body.
func (m *leaver) sendRequest(c *testClient, method string) {
	c.t.Helper()
	class, body := map[string]string{"GET": "read", "POST": "pay"}[method], map[string]string{"POST": "sum"}[method]
	if m.at != "its body" {
		c.send(method, class, "r1", body)
		return
	}
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r1\r\nX-Class: pay\r\n"+
		"X-Tenant: t\r\nX-Deadline-Ms: 8000\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 60_000))
	if err != nil {
		c.t.Fatal(err)
	}
}

// leave closes the connection, behind some bytes of a further request, and with a reset or without.
func (c *testClient) leave(behind int, reset bool) {
	c.t.Helper()
	if _, err := io.WriteString(c, strings.Repeat("G", behind)); err != nil {
		c.t.Fatal(err)
	}
	if reset {
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			c.t.Fatal(err)
		}
	}
	nodetest.CloseOnce(c.t, c)
}

// leftTerm is how long after a client's leaving no attempt begins for it.
const leftTerm = 100 * time.Millisecond

// A client that has gone by the time at which its request is read has gone for good, though nobody has looked at its
// connection since: the reader may get its turn only after the loop and the attempt have had theirs. The first read
// here waits until the client has been away for the term, and the second one for the attempt's end.
func TestRequestReadAfterItsClientLeftIsNotForwarded(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			t.Parallel()
			var got arrivals
			l, module := startLoop(t, nodetest.HTTPServer(t, got.ServeHTTP), sendsOnce)
			gone, over := make(chan struct{}), make(chan struct{})
			var warm atomic.Bool
			node := serveOn(t, newServer(l), hookedReads{nodetest.Listener(t), func(read string) {
				switch {
				case !warm.Load():
				case strings.Contains(read, "X-Request-Id: r1"):
					<-over
				case read == "":
					<-gone
				}
			}, func(error) {}})
			first := newTestClient(t, node) // leaves a connection to the server, over which nothing needs time
			first.send("GET", "read", "r0", "")
			first.answered()
			nodetest.Await(t, "rest", l.atRest)
			time.Sleep(reuseDelay)
			warm.Store(true)
			c := newTestClient(t, node)
			c.send("GET", "read", "r1", "")
			if reset {
				if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			nodetest.CloseOnce(t, c)
			time.Sleep(leftTerm)
			close(gone)
			if !reset { // else nothing of the request is left to read
				nodetest.Await(t, "the attempt's end", func() bool { return len(module.events()) >= 5 })
			}
			close(over)
			nodetest.Await(t, "rest", l.atRest)
			if n := got.after(time.Time{}); n > 1 {
				t.Errorf("sent on for a client that left %v before", leftTerm)
			}
		})
	}
}

// An attempt whose connection comes up only after its server was told to leave, is gone or has started anew is not
// written there: it never ran, and is decided anew.
func TestLateConnectionToADrainingServerIsNotUsed(t *testing.T) {
	for name, change := range map[string]string{
		"draining": `"phase":"draining","up_since_ms":0`,
		"gone":     `"phase":"removed","up_since_ms":0`,
		"new":      `"phase":"up","up_since_ms":1764600000000`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var leaving, staying arrivals
			first, second := nodetest.HTTPServer(t, leaving.ServeHTTP), nodetest.HTTPServer(t, staying.ServeHTTP)
			to := "s0"
			l, module := startLoop(t, first, func(_ policy.Time, ev policy.Event) []policy.Action {
				switch e := ev.(type) {
				case policy.Request:
					return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: to}}
				case policy.EndpointList:
					if e.Kind == policy.ListUpdate {
						to = "s1"
					}
				case policy.Outcome:
					if !e.RequestEnded && e.Code != policy.OK {
						return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: to}}
					}
				}
				return nil
			})
			dials, up := make(chan struct{}, 10), make(chan struct{})
			l.dialWith(t, func(_ context.Context, network, addr string) (net.Conn, error) {
				dials <- struct{}{}
				<-up
				return net.Dial(network, addr)
			})
			c := newTestClient(t, serveAt(t, newServer(l)))
			c.send("POST", "pay", "r1", "sum")
			nodetest.Receive(t, "the dialling", dials)
			list, err := discovery.ParseList([]byte(nodetest.ListChange(8, fmt.Sprintf(`{"id":"s0","host_port":%q,%s}`, first, change), listed("s1", second, "up"))))
			if err != nil {
				t.Fatal(err)
			}
			l.send(endpointUpdate{discovery.Update{Kind: policy.ListUpdate, Endpoints: list.Endpoints}})
			if _, ok := query(l, func(reply chan<- time.Duration) event { return tailRequest{reply} }); !ok { // the list is in
				t.Fatal("the loop has ended")
			}
			close(up)
			if resp := c.answered(); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
			if n, m := leaving.after(time.Time{}), staying.after(time.Time{}); n != 0 || m != 1 {
				t.Errorf("%d sent to the leaving server and %d to the other, want 0 and 1", n, m)
			}
			module.has(t, "list 2", "request r1", "list 1", fmt.Sprintf("outcome r1 0 code %d ended false", policy.ConnectFailed),
				"outcome r1 1 code 0 ended true")
			nodetest.Await(t, "rest", l.atRest)
		})
	}
}

// hookedReads is a listener whose connections call a function before each read, with what they have read until then,
// and one behind each read.
type hookedReads struct {
	net.Listener
	before func(got string)
	behind func(err error)
}

type hookedRead struct {
	net.Conn
	hooks hookedReads
	got   []byte
}

func (l hookedReads) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &hookedRead{Conn: c, hooks: l}, err
}

func (c *hookedRead) NetConn() net.Conn { return c.Conn }

func (c *hookedRead) Read(p []byte) (int, error) {
	c.hooks.before(string(c.got))
	n, err := c.Conn.Read(p)
	c.got = append(c.got, p[:n]...)
	c.hooks.behind(err)
	return n, err
}

// A request of which the node has read a part when it ends its idle connections is no idle connection: it is answered.
func TestHalfReadRequestOutlivesTheEndOfIdleConnections(t *testing.T) {
	t.Parallel()
	l, _ := startLoop(t, nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}), sendsOnce)
	s := newServer(l)
	head := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r2\r\nX-Class: read\r\n"
	ended := make(chan struct{})
	endThere := sync.OnceFunc(func() {
		s.Draining.Store(true)
		s.CloseIdle()
		close(ended)
	})
	c := newTestClient(t, serveOn(t, s, hookedReads{nodetest.Listener(t), func(got string) {
		if strings.HasSuffix(got, head) { // and the node waits for the rest
			endThere()
		}
	}, func(error) {}}))
	c.send("GET", "read", "r1", "")
	if resp := c.answered(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("status %d, to end: %v", resp.StatusCode, resp.Close)
	}
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	nodetest.Receive(t, "the end of idle connections", ended)
	if _, err := io.WriteString(c, "X-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp := c.answered(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, to end: %v", resp.StatusCode, resp.Close)
	}
	nodetest.Await(t, "rest", l.atRest)
}

// A request that reaches a connection in the moment in which the node gives that up as idle is the client's to send
// again: nothing of it reaches a server, and no answer begins.
func TestRequestOnAnEvictedConnectionIsNotForwarded(t *testing.T) {
	for name, giveUp := range map[string]func(*server){
		"the node's end": func(s *server) { s.CloseIdle() },
		"making room": func(s *server) {
			s.ClientConns().EvictQuietest(time.Now().Add(downstream.MinIdleTime))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got arrivals
			l, _ := startLoop(t, nodetest.HTTPServer(t, got.ServeHTTP), sendsOnce)
			s := newServer(l)
			var c *testClient
			crossed := make(chan struct{})
			c = newTestClient(t, serveOn(t, s, hookedReads{nodetest.Listener(t), func(string) {}, func(err error) {
				if errors.Is(err, os.ErrDeadlineExceeded) { // it is given up, and not yet closed
					c.send("POST", "pay", "r2", "sum")
					close(crossed)
				}
			}}))
			c.send("POST", "pay", "r1", "sum")
			c.answered()
			nodetest.Await(t, "an idle connection", func() bool { return s.ClientConns().CountIdle() == 1 })
			giveUp(s)
			nodetest.Receive(t, "the request that crosses", crossed)
			if b, err := c.r.ReadByte(); err == nil {
				t.Errorf("an answer begins with %q", b)
			}
			nodetest.Await(t, "rest", func() bool { return l.atRest() && s.ClientConns().Count() == 0 })
			if n := got.after(time.Time{}); n != 1 {
				t.Errorf("the server got %d requests, want 1", n)
			}
		})
	}
}

// A last answer reaches its client whatever lies unread behind the request: a close over that would reset the
// connection, and take the answer along.
func TestLastAnswerIsNotResetByUnreadBytes(t *testing.T) {
	for _, class := range []string{"read", "unknown"} { // which is refused
		for _, behind := range []int{0, 3, 4000, 300_000} {
			t.Run(fmt.Sprint(class, " ", behind), func(t *testing.T) {
				t.Parallel()
				server, got, letGo := nodetest.HoldingServer(t)
				node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
				c := newTestClient(t, node)
				var text strings.Builder
				if err := clientRequest(t, node, "GET", class, "r1", "", "Connection", "close").Write(&text); err != nil {
					t.Fatal(err)
				}
				text.WriteString(strings.Repeat("G", behind))
				all := text.String()
				first := min(len(all), 10_000) // which the kernels hold, whoever reads
				if _, err := io.WriteString(c, all[:first]); err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.WriteString(c, all[first:]) }()
				if class == "read" {
					nodetest.Receive(t, "the attempt", got)
					letGo()
				}
				if resp := c.answered(); !resp.Close {
					t.Errorf("status %d, and the connection is to go on", resp.StatusCode)
				}
				if _, err := c.r.ReadByte(); err != io.EOF {
					t.Errorf("behind the answer: %v, want the end", err)
				}
			})
		}
	}
}

// openConns counts the connections that a server holds.
type openConns struct{ n atomic.Int32 }

func (o *openConns) serve(f func(net.Conn)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		o.n.Add(1)
		defer o.n.Add(-1)
		if nodetest.ReadRequest(r) {
			f(c)
		}
	}
}

// An answer that never ends is ended by its request's time: the client gets an error then, whatever piece of the
// answer comes on and on, and the server's connection is closed.
func TestEndlessResponseTimesOut(t *testing.T) {
	for name, a := range map[string]struct{ first, again string }{
		"no head":        {"", ""},
		"half a line":    {"HTTP/1.1 2", ""},
		"fields":         {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim heads":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"half a body":    {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", ""},
		"no length":      {"HTTP/1.1 200 OK\r\n\r\n", "b"},
		"chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
		"trailer fields": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns openConns
			addr := nodetest.RawServer(t, conns.serve(func(c net.Conn) {
				_, err := io.WriteString(c, a.first)
				if a.again == "" {
					_, _ = io.Copy(io.Discard, c) // until the node hangs up
				}
				for err == nil && a.again != "" {
					_, err = io.WriteString(c, a.again)
					time.Sleep(time.Millisecond)
				}
			}))
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
			c := newTestClient(t, node)
			began := time.Now()
			c.send("POST", "pay", "r1", "sum", "X-Deadline-Ms", "300")
			if resp := c.answered(); resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("status %d", resp.StatusCode)
			}
			if took := time.Since(began); took > 3*time.Second { // a busy machine's, not the node's
				t.Errorf("answered after %v", took)
			}
			nodetest.Await(t, "the end of the attempt", func() bool { return conns.n.Load() == 0 })
			c.send("POST", "pay", "r2", "sum", "X-Deadline-Ms", "300")
			if resp := c.answered(); resp.StatusCode == http.StatusOK {
				t.Errorf("the next request: status %d", resp.StatusCode)
			}
		})
	}
}

// An answer that is passed on as it comes and never ends goes on for as long as its client takes it: once that has
// left, nothing of it stays.
func TestStreamedResponseEndsWithItsClient(t *testing.T) {
	t.Parallel()
	var conns openConns
	addr := nodetest.RawServer(t, conns.serve(func(c net.Conn) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for err == nil {
			_, err = c.Write(make([]byte, 1<<14))
		}
	}))
	l, _ := startLoop(t, addr, sendsOnce)
	c := newTestClient(t, serveAt(t, newServer(l)))
	c.send("GET", "read", "r1", "")
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, resp.Body, 4*http1.MaxBufferedBodyBytes); err != nil {
		t.Fatal(err)
	}
	nodetest.CloseOnce(t, c)
	nodetest.Await(t, "the end of the flood", func() bool { return conns.n.Load() == 0 && l.atRest() })
}
