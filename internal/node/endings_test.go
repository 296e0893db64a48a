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

// The tests of this file use real connections, since they depend on what the kernel does when a connection ends.
// docs/endings.md has a row for each test.

// arrivalRecorder is a server that records when requests reach it.
type arrivalRecorder struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalRecorder) ServeHTTP(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// countAfter returns the number of requests that arrived after t.
func (a *arrivalRecorder) countAfter(t time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times {
		if at.After(t) {
			n++
		}
	}
	return n
}

// listCall is a call to the list service, which the test answers through respond.
type listCall struct {
	receivedAt time.Time
	query      map[string][]string
	respond    chan<- http.HandlerFunc
}

// sendList answers the call with a list.
func (c listCall) sendList(list string) {
	c.respond <- func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }
}

// maxWait returns how long the list service may hold the call, from its wait parameter.
func (c listCall) maxWait(t *testing.T) time.Duration {
	t.Helper()
	ms, err := strconv.Atoi(c.query["wait"][0])
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// listService starts a list service that passes its calls to the test. A call that the test doesn't answer is held until
// its caller disconnects.
func listService(t *testing.T) (addr string, calls <-chan listCall) {
	t.Helper()
	received := make(chan listCall, 1000)
	return nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		respond := make(chan http.HandlerFunc, 1)
		received <- listCall{time.Now(), r.URL.Query(), respond}
		select {
		case answer := <-respond:
			answer(w, r)
		case <-r.Context().Done():
		}
	}), received
}

// listEntry returns an entry of a list with the server's address.
func listEntry(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":%q,"up_since_ms":0}`, id, addr, phase)
}

// drainTest runs a node with two servers: one begins to drain while the node's watch is broken, the other stays healthy.
type drainTest struct {
	*testing.T
	config.Config
	draining, healthy arrivalRecorder
	drainingAddr      string // the address of the draining server
	calls             <-chan listCall
	changes           chan Change
	node              string
	requests          int
}

func newDrainTest(t *testing.T, subscribe bool, adjust ...func(*config.Config)) *drainTest {
	t.Helper()
	d := &drainTest{T: t, changes: make(chan Change, 1)}
	d.drainingAddr = nodetest.HTTPServer(t, d.draining.ServeHTTP)
	d.Config = testConfig(t, nodetest.KnownList(d.drainingAddr, nodetest.HTTPServer(t, d.healthy.ServeHTTP)))
	d.Discovery, d.calls = listService(t)
	d.Settings.SubscribeList = subscribe
	for _, f := range adjust {
		f(&d.Config)
	}
	d.node, _ = startNodeAt(t, d.Config, Listeners{Clients: nodetest.Listener(t)}, d.changes)
	return d
}

// sendRequest sends a request to the node and expects status 200.
func (d *drainTest) sendRequest() {
	d.Helper()
	d.requests++
	resp, _ := do(d.T, clientRequest(d.T, d.node, "GET", "read", fmt.Sprint("r", d.requests), ""))
	if resp.StatusCode != http.StatusOK {
		d.Errorf("request %d: status %d, want 200", d.requests, resp.StatusCode)
	}
}

// checkDrain sends requests to the node until one has reached the healthy server. It answers the first call c received
// from calls with list(c), which says that the other server drains. No request may reach the draining server later than
// DrainGrace after notifiedAt, the time at which the change counts as delivered to the node. If notifiedAt is zero, the
// time of the answer is used.
func (d *drainTest) checkDrain(notifiedAt time.Time, calls <-chan listCall, list func(c listCall) string) {
	d.Helper()
	for start, listSent := time.Now(), false; !listSent || d.healthy.countAfter(time.Time{}) == 0; {
		d.sendRequest()
		select {
		case c := <-calls:
			if !listSent {
				c.sendList(list(c))
				if listSent = true; notifiedAt.IsZero() {
					notifiedAt = time.Now()
				}
			}
		default:
		}
		if time.Since(start) > nodetest.Timeout {
			d.Fatal("timed out: the node didn't call for the list, or sent no request to the healthy server")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if d.draining.countAfter(time.Time{}) == 0 {
		d.Error("the draining server got no request, want at least one: the test checked nothing")
	}
	if late := d.draining.countAfter(notifiedAt.Add(d.Settings.Rules.DrainGrace)); late > 0 {
		d.Errorf("%d requests reached the draining server later than %v after the change counted as delivered, want 0", late,
			d.Settings.Rules.DrainGrace)
	}
}

// drainUpdate returns the list that tells the node that the first server drains.
func (d *drainTest) drainUpdate(listCall) string {
	return nodetest.ListChange(8, listEntry("s0", d.drainingAddr, "draining"))
}

// A watch that gets no response, or part of one on a connection that stays open, is replaced soon enough that the node
// learns of a missed change before the drain grace is over. For the drain grace, such a change counts as delivered 6 s
// after the watch began, or 2 s after its wait parameter has run out, whichever is later.
func TestDrainIsLearnedAfterSilentWatch(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		for _, partial := range []bool{false, true} {
			t.Run(fmt.Sprintf("subscribe %v/partial list %v", subscribe, partial), func(t *testing.T) {
				t.Parallel()
				d := newDrainTest(t, subscribe)
				silent := nodetest.Receive(t, "the watch that gets no complete response", d.calls)
				if partial {
					silent.respond <- sendPartialList
				}
				d.checkDrain(silent.receivedAt.Add(max(6*time.Second, silent.maxWait(t)+2*time.Second)), d.calls, d.drainUpdate)
			})
		}
	}
}

// A watch that fails (reset, rejected, malformed or endless response) is opened again. With SubscribeList, the list
// service pushes lists, and a change counts as delivered as soon as the service has it and is reachable, even if no
// watch is open. In this test, that is when the service answers the next call. Without SubscribeList, a change counts as
// delivered when it is written to the list service. In this test, that is after the second failed watch.
func TestDrainIsLearnedAfterFailedWatch(t *testing.T) {
	failures := map[string]http.HandlerFunc{
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
	for name, fail := range failures {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/subscribe %v", name, subscribe), func(t *testing.T) {
				t.Parallel()
				d := newDrainTest(t, subscribe)
				ended := make(chan struct{}, 2)
				for range 2 {
					nodetest.Receive(t, "a watch", d.calls).respond <- func(w http.ResponseWriter, r *http.Request) {
						fail(w, r)
						ended <- struct{}{}
					}
					d.sendRequest()
					nodetest.Receive(t, "the failure of the watch", ended)
				}
				notifiedAt := time.Now()
				if subscribe {
					notifiedAt = time.Time{}
				}
				d.checkDrain(notifiedAt, d.calls, d.drainUpdate)
			})
		}
	}
}

// After a reload with another discovery address, the list of the new service counts as delivered 4 s after the reload,
// even if the first call to the new service gets no response. The node asks the new service for a complete list.
func TestDrainIsLearnedAfterDiscoveryChange(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("subscribe %v/silent %v", subscribe, silent), func(t *testing.T) {
				t.Parallel()
				d := newDrainTest(t, subscribe)
				nodetest.Receive(t, "a watch at the old address", d.calls)
				next := d.Config
				addr, calls := listService(t)
				next.Discovery = addr
				d.changes <- Change{Config: next}
				signal := time.Now()
				if silent {
					nodetest.Receive(t, "the call that gets no response", calls)
				}
				d.checkDrain(signal.Add(4*time.Second), calls, func(c listCall) string {
					if c.query["index"] != nil {
						t.Errorf("call to the new address: got index %v of the old list, want no index", c.query["index"])
					}
					return fmt.Sprintf(`{"revision":3,"complete":true,"members":[%s,%s]}`, listEntry("s0", d.drainingAddr, "draining"),
						listEntry("s1", d.Known.Endpoints[1].Address, "up"))
				})
			})
		}
	}
}

// testClient is a client's connection to a node.
type testClient struct {
	nodetest.Conn
	t    *testing.T
	node string
	r    *bufio.Reader
}

func newTestClient(t *testing.T, node string) *testClient {
	t.Helper()
	c := nodetest.Dial(t, node)
	nodetest.CloseOnCleanup(t, c)
	_ = c.SetDeadline(time.Now().Add(nodetest.Timeout))
	return &testClient{c, t, node, bufio.NewReader(c)}
}

func (c *testClient) send(method, class, id, body string, headers ...string) {
	c.t.Helper()
	if err := clientRequest(c.t, c.node, method, class, id, body, headers...).Write(c); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse reads a complete response and discards its body.
func (c *testClient) readResponse() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal("read the head of the response: ", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		c.t.Fatal("read the body of the response: ", err)
	}
	return resp
}

// startDrainable starts a node in front of server that makes one attempt for each request. drain puts the node into the
// state of a stopping node, without the timers of a shutdown, so that the test controls the order of events.
func startDrainable(t *testing.T, server string) (node string, l *loop, drain func()) {
	t.Helper()
	l, _ = startLoop(t, server, sendOnce)
	s := newServer(l)
	return serveAt(t, s), l, func() {
		s.Stopping.Store(true)
		s.Draining.Store(true)
	}
}

// While it stops, the node closes the client's connection after each response, even if the request arrived before the
// stop. Otherwise the client would go on to use a connection that the node is about to close.
func TestStoppingNodeClosesConnectionsAfterResponses(t *testing.T) {
	t.Parallel()
	server, received, release := nodetest.HoldingServer(t)
	node, l, drain := startDrainable(t, server)
	clients := []*testClient{newTestClient(t, node), newTestClient(t, node)}
	for i, c := range clients {
		c.send("POST", "pay", fmt.Sprint("r", i), "sum")
		nodetest.Receive(t, "the attempt", received)
	}
	drain()
	release()
	for i, c := range clients {
		if resp := c.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("request %d: status %d, closes its connection %v; want 200, true", i, resp.StatusCode, resp.Close)
		}
	}
	nodetest.Await(t, "an idle loop", l.isIdle)
}

// At the end of the drain time, open requests fail with 502 and close their connections. A request that arrives later is
// rejected with 503, since there is no time left to forward it. Without the 503, its connection would be closed without
// a response.
func TestRequestAfterDrainTimeIsRejected(t *testing.T) {
	t.Parallel()
	server, received, release := nodetest.HoldingServer(t)
	node, l, drain := startDrainable(t, server)
	failed, late := newTestClient(t, node), newTestClient(t, node)
	failed.send("POST", "pay", "failed", "sum")
	nodetest.Receive(t, "the attempt", received)
	drain()
	l.send(failUnanswered{})
	if resp := failed.readResponse(); resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("open request at the end of the drain time: status %d, closes its connection %v; want 502, true",
			resp.StatusCode, resp.Close)
	}
	late.send("POST", "pay", "late", "sum")
	if resp := late.readResponse(); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("request after the end of the drain time: status %d, closes its connection %v; want 503, true",
			resp.StatusCode, resp.Close)
	}
	select {
	case id := <-received:
		t.Errorf("request %s reached the server after the end of the drain time, want none", id)
	default:
	}
	release()
	nodetest.Await(t, "an idle loop", l.isIdle)
}

// holdingBalancer has the handler of a scripted balancer that sends each request, and sends it again after a failed
// attempt unless the request has ended. If waitPoint is "a server" or "its body", it holds requests until a FleetSize
// event, and drops those whose client disconnects meanwhile. Handling the request "busy" blocks until releaseLoop is
// closed.
type holdingBalancer struct {
	waitPoint   string // what the request waits for when its client disconnects
	cancels     bool   // whether the balancer cancels the first attempt of a request whose client disconnects
	loopBusy    chan struct{}
	releaseLoop chan struct{}
	held        []string
	released    bool
	inFlight    atomic.Int32 // attempts without an outcome
}

func (m *holdingBalancer) handle(_ policy.Time, ev policy.Event) []policy.Action {
	switch e := ev.(type) {
	case policy.Request:
		if e.ID == "busy" {
			close(m.loopBusy)
			<-m.releaseLoop
		} else if !m.released && (m.waitPoint == "a server" || m.waitPoint == "its body") {
			m.held = append(m.held, e.ID)
			return nil
		}
		return m.sendAttempts(e.ID)
	case policy.FleetSize:
		m.released = true
		ids := m.held
		m.held = nil
		return m.sendAttempts(ids...)
	case policy.Outcome:
		m.inFlight.Add(-1)
		if !e.RequestEnded && e.Code != policy.OK {
			return m.sendAttempts(e.ID)
		}
	case policy.ClientCancelled:
		m.held = slices.DeleteFunc(m.held, func(id string) bool { return id == e.ID })
		if m.cancels {
			return []policy.Action{{Kind: policy.Cancel, ID: e.ID}}
		}
	}
	return nil
}

func (m *holdingBalancer) sendAttempts(ids ...string) (acts []policy.Action) {
	for _, id := range ids {
		m.inFlight.Add(1)
		acts = append(acts, sendActions(id, 1)...)
	}
	return acts
}

// isIdle reports whether the loop has no open request and all its connections to servers are idle.
func (l *loop) isIdle() bool {
	open, idle := l.up.ConnCounts()
	return open == idle && l.metrics.open.Load() == 0
}

// Once a client has been disconnected for disconnectDetectionTime, its waiting request is no longer forwarded. The test
// varies what the request waits for, whether the client closes or resets the connection, how many bytes of a next
// request follow, and whether the balancer cancels attempts.
func TestRequestOfDisconnectedClientIsNotForwarded(t *testing.T) {
	for _, waitPoint := range []string{"a server", "a further attempt", "a connection", "its body", "the loop"} {
		for _, method := range []string{"GET", "POST"} {
			for _, extraBytes := range []int{0, 3, 9000} {
				for _, reset := range []bool{false, true} {
					for _, cancels := range []bool{false, true} {
						if waitPoint == "its body" && (method == "GET" || extraBytes > 0) {
							continue // a GET has no body, and extra bytes would be part of the unfinished body
						}
						name := fmt.Sprintf("%s/%s/%d extra bytes/reset %v/cancels %v", waitPoint, method, extraBytes, reset, cancels)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							testClientLeaves(t, &holdingBalancer{waitPoint: waitPoint, cancels: cancels, loopBusy: make(chan struct{}),
								releaseLoop: make(chan struct{})}, method, extraBytes, reset)
						})
					}
				}
			}
		}
	}
}

// testClientLeaves disconnects a client while its request waits at m.waitPoint, and checks that the request is not
// forwarded afterwards.
func testClientLeaves(t *testing.T, m *holdingBalancer, method string, extraBytes int, reset bool) {
	received, failFirst := make(chan string, 100), make(chan struct{})
	server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		received <- r.Header.Get("X-Request-Id")
		if m.waitPoint == "a further attempt" && r.Header.Get("X-Request-Id") == "r1" {
			<-failFirst
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	l, scripted := startLoop(t, server, m.handle)
	dials, connect := make(chan struct{}, 10), make(chan struct{})
	if m.waitPoint == "a connection" {
		l.dialWith(t, func(_ context.Context, network, addr string) (net.Conn, error) {
			dials <- struct{}{}
			<-connect // completes only after the client has disconnected
			return net.Dial(network, addr)
		})
	}
	node := serveAt(t, newServer(l))
	if m.waitPoint == "the loop" {
		newTestClient(t, node).send("GET", "read", "busy", "")
		nodetest.Receive(t, "a busy loop", m.loopBusy)
	}

	c := newTestClient(t, node)
	m.sendRequest(c, method)
	switch m.waitPoint { // wait until the request is at m.waitPoint
	case "a further attempt":
		nodetest.Receive(t, "the first attempt", received)
	case "a connection":
		nodetest.Receive(t, "a dial", dials)
	case "the loop":
		nodetest.Await(t, "two open requests", func() bool { return l.metrics.open.Load() == 2 })
	default:
		nodetest.Await(t, "the request at the balancer", func() bool { return slices.Contains(scripted.events(), "request r1") })
	}
	c.disconnect(extraBytes, reset)
	time.Sleep(disconnectDetectionTime)
	close(connect)
	close(failFirst)
	close(m.releaseLoop)
	l.send(fleetSizeChanged{})
	stays := newTestClient(t, node)
	stays.send("GET", "read", "stays", "")
	if resp := stays.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("client that stays connected: status %d, want 200", resp.StatusCode)
	}
	nodetest.Await(t, "all outcomes and an idle loop", func() bool { return m.inFlight.Load() == 0 && l.isIdle() })
	for len(received) > 0 {
		if <-received == "r1" {
			t.Errorf("the request was forwarded, though the node had %v to detect the disconnect of its client",
				disconnectDetectionTime)
		}
	}
}

// sendRequest sends a request. If m.waitPoint is "its body", it sends only a part of the body.
func (m *holdingBalancer) sendRequest(c *testClient, method string) {
	c.t.Helper()
	class, body := map[string]string{"GET": "read", "POST": "pay"}[method], map[string]string{"POST": "sum"}[method]
	if m.waitPoint != "its body" {
		c.send(method, class, "r1", body)
		return
	}
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r1\r\nX-Class: pay\r\n"+
		"X-Tenant: t\r\nX-Deadline-Ms: 8000\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 60_000))
	if err != nil {
		c.t.Fatal(err)
	}
}

// disconnect writes extraBytes of a further request and closes the connection, with a reset if reset is set.
func (c *testClient) disconnect(extraBytes int, reset bool) {
	c.t.Helper()
	if _, err := io.WriteString(c, strings.Repeat("G", extraBytes)); err != nil {
		c.t.Fatal(err)
	}
	if reset {
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			c.t.Fatal(err)
		}
	}
	nodetest.CloseIgnoringClosed(c.t, c)
}

// disconnectDetectionTime is how long after a client's disconnect the node may still start an attempt for its request.
const disconnectDetectionTime = 100 * time.Millisecond

// A request is not forwarded if its client disconnected before the request was read. The goroutine that reads the
// connection may be scheduled only after the loop and the attempt have run, so it can't have noticed the disconnect yet.
// To force this order, the read of the request waits until the client has been gone for disconnectDetectionTime, and
// the next read waits for the end of the attempt.
func TestRequestReadAfterDisconnectIsNotForwarded(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			t.Parallel()
			var received arrivalRecorder
			l, scripted := startLoop(t, nodetest.HTTPServer(t, received.ServeHTTP), sendOnce)
			clientGone, attemptDone := make(chan struct{}), make(chan struct{})
			var warm atomic.Bool
			node := serveListener(t, newServer(l), hookedListener{nodetest.Listener(t), func(read string) {
				switch {
				case !warm.Load():
				case strings.Contains(read, "X-Request-Id: r1"):
					<-attemptDone
				case read == "":
					<-clientGone
				}
			}, func(error) {}})
			first := newTestClient(t, node) // opens a connection to the server, so that the next attempt needs no dial
			first.send("GET", "read", "r0", "")
			first.readResponse()
			nodetest.Await(t, "an idle loop", l.isIdle)
			time.Sleep(reuseDelay)
			warm.Store(true)
			c := newTestClient(t, node)
			c.send("GET", "read", "r1", "")
			if reset {
				if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			nodetest.CloseIgnoringClosed(t, c)
			time.Sleep(disconnectDetectionTime)
			close(clientGone)
			if !reset { // a reset discards the unread request
				nodetest.Await(t, "the attempt's end", func() bool { return len(scripted.events()) >= 5 })
			}
			close(attemptDone)
			nodetest.Await(t, "an idle loop", l.isIdle)
			if n := received.countAfter(time.Time{}); n > 1 {
				t.Errorf("the request was forwarded, though it was read at least %v after its client disconnected",
					disconnectDetectionTime)
			}
		})
	}
}

// A connection that is established only after its server began to drain, was removed or was restarted is not used. Its
// attempt ends with ConnectFailed, and the balancer can send another attempt.
func TestConnectionToChangedServerIsNotUsed(t *testing.T) {
	for name, change := range map[string]string{
		"draining":  `"phase":"draining","up_since_ms":0`,
		"removed":   `"phase":"removed","up_since_ms":0`,
		"restarted": `"phase":"up","up_since_ms":1764600000000`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var changed, other arrivalRecorder
			changedAddr, otherAddr := nodetest.HTTPServer(t, changed.ServeHTTP), nodetest.HTTPServer(t, other.ServeHTTP)
			target := "s0"
			l, scripted := startLoop(t, changedAddr, func(_ policy.Time, ev policy.Event) []policy.Action {
				switch e := ev.(type) {
				case policy.Request:
					return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: target}}
				case policy.EndpointList:
					if e.Kind == policy.ListUpdate {
						target = "s1"
					}
				case policy.Outcome:
					if !e.RequestEnded && e.Code != policy.OK {
						return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: target}}
					}
				}
				return nil
			})
			dials, connect := make(chan struct{}, 10), make(chan struct{})
			l.dialWith(t, func(_ context.Context, network, addr string) (net.Conn, error) {
				dials <- struct{}{}
				<-connect
				return net.Dial(network, addr)
			})
			c := newTestClient(t, serveAt(t, newServer(l)))
			c.send("POST", "pay", "r1", "sum")
			nodetest.Receive(t, "a dial", dials)
			list, err := discovery.ParseList([]byte(nodetest.ListChange(8, fmt.Sprintf(`{"id":"s0","host_port":%q,%s}`, changedAddr, change), listEntry("s1", otherAddr, "up"))))
			if err != nil {
				t.Fatal(err)
			}
			l.send(endpointUpdate{discovery.Update{Kind: policy.ListUpdate, Endpoints: list.Endpoints}})
			// The reply comes after the loop has applied the list.
			if _, ok := query(l, func(reply chan<- time.Duration) event { return tailRequest{reply} }); !ok {
				t.Fatal("the loop ended before it applied the list")
			}
			close(connect)
			if resp := c.readResponse(); resp.StatusCode != http.StatusOK {
				t.Errorf("request tried again on the other server: status %d, want 200", resp.StatusCode)
			}
			if n, m := changed.countAfter(time.Time{}), other.countAfter(time.Time{}); n != 0 || m != 1 {
				t.Errorf("requests: got %d at the changed server and %d at the other, want 0 and 1", n, m)
			}
			scripted.expectEvents(t, "list 2", "request r1", "list 1", fmt.Sprintf("outcome r1 0 code %d ended false", policy.ConnectFailed),
				"outcome r1 1 code 0 ended true")
			nodetest.Await(t, "an idle loop", l.isIdle)
		})
	}
}

// hookedListener is a listener whose connections call beforeRead before each read, with the bytes read so far, and
// afterRead after each read, with its error.
type hookedListener struct {
	net.Listener
	beforeRead func(got string)
	afterRead  func(err error)
}

type hookedConn struct {
	net.Conn
	hooks    hookedListener
	received []byte
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &hookedConn{Conn: c, hooks: l}, err
}

func (c *hookedConn) NetConn() net.Conn { return c.Conn }

func (c *hookedConn) Read(p []byte) (int, error) {
	c.hooks.beforeRead(string(c.received))
	n, err := c.Conn.Read(p)
	c.received = append(c.received, p[:n]...)
	c.hooks.afterRead(err)
	return n, err
}

// A connection on which the node has read part of a request is not closed as idle at shutdown: the request is answered.
func TestPartlyReadRequestIsAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	l, _ := startLoop(t, nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}), sendOnce)
	s := newServer(l)
	head := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r2\r\nX-Class: read\r\n"
	idleClosed := make(chan struct{})
	closeIdle := sync.OnceFunc(func() {
		s.Draining.Store(true)
		s.CloseIdle()
		close(idleClosed)
	})
	c := newTestClient(t, serveListener(t, s, hookedListener{nodetest.Listener(t), func(got string) {
		if strings.HasSuffix(got, head) { // the node waits for the rest
			closeIdle()
		}
	}, func(error) {}}))
	c.send("GET", "read", "r1", "")
	if resp := c.readResponse(); resp.StatusCode != http.StatusOK || resp.Close {
		t.Fatalf("first request: status %d, closes its connection %v; want 200, false", resp.StatusCode, resp.Close)
	}
	if _, err := io.WriteString(c, head); err != nil {
		t.Fatal(err)
	}
	nodetest.Receive(t, "the close of idle connections", idleClosed)
	if _, err := io.WriteString(c, "X-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp := c.readResponse(); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("partly read request: status %d, closes its connection %v; want 200, true", resp.StatusCode, resp.Close)
	}
	nodetest.Await(t, "an idle loop", l.isIdle)
}

// A request that arrives while the node closes its connection as idle gets no response and reaches no server, so that
// the client can safely send it again.
func TestRequestOnAnEvictedConnectionIsNotForwarded(t *testing.T) {
	for name, evict := range map[string]func(*server){
		"node shutdown": func(s *server) { s.CloseIdle() },
		"eviction for new clients": func(s *server) {
			s.ClientConns().EvictQuietest(time.Now().Add(downstream.MinIdleTime))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var received arrivalRecorder
			l, _ := startLoop(t, nodetest.HTTPServer(t, received.ServeHTTP), sendOnce)
			s := newServer(l)
			var c *testClient
			sent := make(chan struct{})
			c = newTestClient(t, serveListener(t, s, hookedListener{nodetest.Listener(t), func(string) {}, func(err error) {
				if errors.Is(err, os.ErrDeadlineExceeded) { // the node interrupts the read of an idle connection before it closes it
					c.send("POST", "pay", "r2", "sum")
					close(sent)
				}
			}}))
			c.send("POST", "pay", "r1", "sum")
			c.readResponse()
			nodetest.Await(t, "an idle connection", func() bool { return s.ClientConns().CountIdle() == 1 })
			evict(s)
			nodetest.Receive(t, "the request on the evicted connection", sent)
			if b, err := c.r.ReadByte(); err == nil {
				t.Errorf("got a response that begins with %q, want none", b)
			}
			nodetest.Await(t, "an idle loop and no client connections", func() bool {
				return l.isIdle() && s.ClientConns().Count() == 0
			})
			if n := received.countAfter(time.Time{}); n != 1 {
				t.Errorf("requests that reached the server: got %d, want 1", n)
			}
		})
	}
}

// The last response on a connection reaches its client even if unread bytes follow the request. Closing a connection
// that has unread bytes resets it, and the client would lose the response.
func TestLastResponseArrivesDespiteUnreadBytes(t *testing.T) {
	for _, class := range []string{"read", "unknown"} { // unknown is rejected
		for _, extraBytes := range []int{0, 3, 4000, 300_000} {
			t.Run(fmt.Sprint(class, " ", extraBytes), func(t *testing.T) {
				t.Parallel()
				server, received, release := nodetest.HoldingServer(t)
				node, _ := startNode(t, testConfig(t, nodetest.KnownList(server)))
				c := newTestClient(t, node)
				var text strings.Builder
				if err := clientRequest(t, node, "GET", class, "r1", "", "Connection", "close").Write(&text); err != nil {
					t.Fatal(err)
				}
				text.WriteString(strings.Repeat("G", extraBytes))
				all := text.String()
				firstLen := min(len(all), 10_000) // fits into the socket buffers, even if the node doesn't read
				if _, err := io.WriteString(c, all[:firstLen]); err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.WriteString(c, all[firstLen:]) }()
				if class == "read" {
					nodetest.Receive(t, "the attempt", received)
					release()
				}
				if resp := c.readResponse(); !resp.Close {
					t.Errorf("response with status %d keeps its connection open, want Connection: close", resp.StatusCode)
				}
				if _, err := c.r.ReadByte(); err != io.EOF {
					t.Errorf("read after the response: got error %v, want EOF", err)
				}
			})
		}
	}
}

// openConns counts the open connections of a server.
type openConns struct{ n atomic.Int32 }

// serve returns a handler that counts its connection as open, reads a request and calls f.
func (o *openConns) serve(f func(net.Conn)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		o.n.Add(1)
		defer o.n.Add(-1)
		if nodetest.ReadRequest(r) {
			f(c)
		}
	}
}

// A response that never ends, in its head, body or trailer, times out at the request's deadline: the client gets 502 or
// 504, and the connection to the server is closed.
func TestEndlessResponseTimesOut(t *testing.T) {
	for name, a := range map[string]struct{ prefix, repeat string }{
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
				_, err := io.WriteString(c, a.prefix)
				if a.repeat == "" {
					_, _ = io.Copy(io.Discard, c) // until the node closes the connection
				}
				for err == nil && a.repeat != "" {
					_, err = io.WriteString(c, a.repeat)
					time.Sleep(time.Millisecond)
				}
			}))
			node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
			c := newTestClient(t, node)
			start := time.Now()
			c.send("POST", "pay", "r1", "sum", "X-Deadline-Ms", "300")
			if resp := c.readResponse(); resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("endless response: status %d, want 502 or 504", resp.StatusCode)
			}
			if took := time.Since(start); took > 3*time.Second { // leaves room for a busy machine
				t.Errorf("endless response with a deadline of 300ms: answered after %v, want at most 3s", took)
			}
			nodetest.Await(t, "the close of the connections to the server", func() bool { return conns.n.Load() == 0 })
			c.send("POST", "pay", "r2", "sum", "X-Deadline-Ms", "300")
			if resp := c.readResponse(); resp.StatusCode == http.StatusOK {
				t.Errorf("next request on the connection: status %d, want an error", resp.StatusCode)
			}
		})
	}
}

// A streamed response that never ends is forwarded until its client disconnects; then the connection to the server is
// closed and the request ends.
func TestStreamedResponseEndsWhenClientDisconnects(t *testing.T) {
	t.Parallel()
	var conns openConns
	addr := nodetest.RawServer(t, conns.serve(func(c net.Conn) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for err == nil {
			_, err = c.Write(make([]byte, 1<<14))
		}
	}))
	l, _ := startLoop(t, addr, sendOnce)
	c := newTestClient(t, serveAt(t, newServer(l)))
	c.send("GET", "read", "r1", "")
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, resp.Body, 4*http1.MaxBufferedBodyBytes); err != nil {
		t.Fatal(err)
	}
	nodetest.CloseIgnoringClosed(t, c)
	nodetest.Await(t, "the end of the streamed response", func() bool { return conns.n.Load() == 0 && l.isIdle() })
}
