package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// The endings tests use real connections, since they depend on what the kernel does when a connection ends.
// docs/endings.md has a row for each test.

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
	node := serveAt(t, newServer(l, testLimits()))
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
			node := serveListener(t, newServer(l, testLimits()), hookedListener{nodetest.Listener(t), func(read string) {
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
			s := newServer(l, testLimits())
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
