package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

func newTestTransport(t *testing.T, addrs ...string) *Transport {
	t.Helper()
	descriptors := new(Descriptors)
	descriptors.SetTotal(200)
	c := TransportConfig{Dial: nodetest.Dialer(t), IdleTimeout: time.Minute}
	if c.Dial == nil { // use the network of the machine
		c.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	tr := NewTransport(c, descriptors, metrics.NewSet().NewCounter("requests_sent"))
	tr.UpdateEndpoints(discovery.Update{Kind: policy.ListCached, Endpoints: listedEndpoints(t, addrs...)})
	t.Cleanup(tr.CloseIdle)
	return tr
}

func listedEndpoints(t *testing.T, addrs ...string) []discovery.Endpoint {
	t.Helper()
	l, err := discovery.ParseList([]byte(nodetest.KnownList(addrs...)))
	if err != nil {
		t.Fatal(err)
	}
	return l.Endpoints
}

func newTestRequest(method, id string, body string) *Request {
	r := &Request{ID: id, Method: method, Path: "/api?q=a%20b", Host: "origin.svc", Body: []byte(body)}
	if method == http.MethodPost {
		r.IdempotencyKey = "k-" + id
	}
	return r
}

// connectedClient is the Observer of a client that stays connected and expects a buffered response.
type connectedClient struct{ t *testing.T }

func (connectedClient) ClientDisconnected() bool { return false }

func (c connectedClient) NotSent() { c.t.Error("NotSent called, want the request to be sent") }

func (c connectedClient) ResponseStarted(Response) {
	c.t.Error("ResponseStarted called, want a buffered response")
}

// doAttempt makes one attempt at s0.
func doAttempt(t *testing.T, tr *Transport, r *Request) Result {
	t.Helper()
	return tr.Do("s0", Attempt{Request: r, Timeout: nodetest.Timeout, Lifetime: NewLifetime(time.Now().Add(nodetest.Timeout)),
		Observer: connectedClient{t}})
}

// connCounts returns the number of connections to all servers and the number of idle ones to the server id.
func (tr *Transport) connCounts(id string) (open, idle int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if p := tr.pools[id]; p != nil {
		idle = len(p.idle)
	}
	return tr.openConns, idle
}

// setIdleTime makes all idle connections appear idle for d.
func (tr *Transport) setIdleTime(d time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, p := range tr.pools {
		for _, c := range p.idle {
			c.lastUsed = time.Now().Add(-d)
		}
	}
}

// Each response, and each failure to read one, has its outcome. Only a 503 or a 504 with X-Not-Run is
// policy.Overloaded, which means that the request did not run.
func TestOutcomeOfEachResponse(t *testing.T) {
	for _, tc := range []struct {
		response string
		want     policy.Code
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.OK},
		{"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 503 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Overloaded},
		{"HTTP/1.1 504 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.Overloaded},
		{"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 500 E\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 302 F\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 204 N\r\n\r\n", policy.ServerError},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset}, // body cut short
		{"nonsense\r\n\r\n", policy.Reset},
		{"", policy.Reset},
	} {
		var received atomic.Int32
		addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				received.Add(1)
				_, _ = io.WriteString(c, tc.response)
			}
		})
		r := doAttempt(t, newTestTransport(t, addr), newTestRequest(http.MethodGet, "r1", ""))
		if r.Code != tc.want || received.Load() != 1 {
			t.Errorf("response %.60q: got code %v after %d requests, want %v after 1", tc.response, r.Code, received.Load(), tc.want)
		}
		if tc.want == policy.OK && string(r.Response.Body) != "ok" {
			t.Errorf("response %.60q: got body %q, want ok", tc.response, r.Response.Body)
		}
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	tr := newTestTransport(t, addr)
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("attempt at a closed port: got code %v, want policy.ConnectFailed", r.Code)
	}
	if open, _ := tr.connCounts("s0"); open != 0 {
		t.Errorf("connections counted after a refused dial: got %d, want 0", open)
	}
}

// When a reused connection breaks, the transport doesn't retry the request. The client of net/http would retry the
// GET, and the POST because it has an Idempotency-Key.
func TestNoRetryWhenReusedConnectionBreaks(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for nodetest.ReadRequest(r) {
				if requests.Add(1) > 1 {
					return // close the connection during the second request
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		tr := newTestTransport(t, addr)
		if r := doAttempt(t, tr, newTestRequest(method, "r1", "")); r.Code != policy.OK {
			t.Fatalf("%s: first request: got code %v, want policy.OK", method, r.Code)
		}
		tr.setIdleTime(minReuseDelay)
		if r := doAttempt(t, tr, newTestRequest(method, "r2", "")); r.Code != policy.Reset {
			t.Errorf("%s: second request: got code %v, want policy.Reset", method, r.Code)
		}
		if conns.Load() != 1 || requests.Load() != 2 {
			t.Errorf("%s: server saw %d connections and %d requests, want 1 and 2", method, conns.Load(), requests.Load())
		}
	}
}

// failingConn writes only the remaining bytes, and closes its connection at the first write that exceeds them.
type failingConn struct {
	net.Conn
	remaining int
}

func (c *failingConn) Write(p []byte) (int, error) {
	if len(p) > c.remaining {
		n, _ := c.Conn.Write(p[:c.remaining])
		c.remaining = 0
		return n, errors.Join(net.ErrClosed, c.Close())
	}
	c.remaining -= len(p)
	return c.Conn.Write(p)
}

// If the connection breaks before the request's last byte is written, the outcome is ConnectFailed, wherever it breaks.
func TestIncompleteRequestIsConnectFailed(t *testing.T) {
	addr := nodetest.RawServer(t, func(_ net.Conn, r *bufio.Reader) { nodetest.ReadRequest(r) })
	for _, tc := range []struct{ written, body int }{
		{0, 0}, {20, 0}, {20, 20000}, {6000, 20000}, {20, 100}, {200, 100},
	} {
		tr := newTestTransport(t, addr)
		p := tr.pools["s0"]
		tcp, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		sc := newServerConn(&failingConn{tcp, tc.written}, p)
		sc.lastUsed = time.Now().Add(-minReuseDelay)
		p.idle, tr.openConns = []*serverConn{sc}, 1
		req := newTestRequest(http.MethodPost, "r1", strings.Repeat("b", tc.body))
		if r := doAttempt(t, tr, req); r.Code != policy.ConnectFailed {
			t.Errorf("connection that breaks after the written bytes of %+v: got code %v, want policy.ConnectFailed", tc, r.Code)
		}
	}
}

func TestDeadlineAndCancelCloseConnection(t *testing.T) {
	for want, end := range map[policy.Code]func(*Lifetime){
		policy.TimedOut:  func(l *Lifetime) { l.SetClientDeadline(time.Now()) },
		policy.Cancelled: func(l *Lifetime) { l.Cancel() },
	} {
		received, closed := make(chan struct{}), make(chan struct{})
		addr := nodetest.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
			nodetest.ReadRequest(r)
			close(received)
			_, _ = r.ReadByte() // returns when the transport closes the connection
			close(closed)
		})
		tr := newTestTransport(t, addr)
		l := NewLifetime(time.Now().Add(nodetest.Timeout))
		done := make(chan Result, 1)
		go func() {
			done <- tr.Do("s0", Attempt{Request: newTestRequest(http.MethodGet, "r1", ""), Timeout: nodetest.Timeout, Lifetime: l, Observer: connectedClient{t}})
		}()
		nodetest.Receive(t, "the request at the server", received)
		end(l)
		if r := nodetest.Receive(t, "the attempt to end", done); r.Code != want {
			t.Errorf("ended attempt: got code %v, want %v", r.Code, want)
		}
		nodetest.Receive(t, "the server's connection to close", closed)
		if open, idle := tr.connCounts("s0"); open != 0 || idle != 0 {
			t.Errorf("connections after the attempt: got %d open and %d idle, want none", open, idle)
		}
	}
}

// The server gets the client's request unchanged. The environment's proxy setting has no effect, and no User-Agent or
// Accept-Encoding is added.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:9")
	received := make(chan *http.Request, 1)
	var body atomic.Value
	addr := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		received <- r
	})
	r := doAttempt(t, newTestTransport(t, addr), newTestRequest(http.MethodPost, "r1", "hello"))
	if r.Code != policy.OK {
		t.Fatalf("attempt: got code %v, want policy.OK", r.Code)
	}
	req := <-received
	if req.Method != "POST" || req.RequestURI != "/api?q=a%20b" || req.Host != "origin.svc" || body.Load() != "hello" {
		t.Errorf("received request: got %s %s for host %s with body %q, want POST /api?q=a%%20b for host origin.svc with body hello",
			req.Method, req.RequestURI, req.Host, body.Load())
	}
	if req.Header.Get("X-Request-Id") != "r1" || req.Header.Get("Idempotency-Key") != "k-r1" ||
		req.Header.Get("X-Deadline-Ms") == "" || req.Header.Get("Accept-Encoding") != "" || req.UserAgent() != "" {
		t.Errorf("received header: got %v, want X-Request-Id r1, Idempotency-Key k-r1, X-Deadline-Ms, and neither Accept-Encoding nor User-Agent",
			req.Header)
	}
}

func TestConnectionsAreReusedUntilIdleTimeout(t *testing.T) {
	var conns atomic.Int32
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for nodetest.ReadRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	tr := newTestTransport(t, addr)
	for i := range 3 {
		doAttempt(t, tr, newTestRequest(http.MethodGet, fmt.Sprint("r", i), ""))
		tr.setIdleTime(minReuseDelay)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("connections for three sequential requests: got %d, want 1", n)
	}
	tr.CloseExpired(time.Now().Add(tr.idleTimeout() - time.Second))
	if _, idle := tr.connCounts("s0"); idle != 1 {
		t.Errorf("idle connections 1 s before the idle timeout: got %d, want 1", idle)
	}
	tr.CloseExpired(time.Now().Add(tr.idleTimeout() + time.Second))
	if open, idle := tr.connCounts("s0"); open != 0 || idle != 0 {
		t.Errorf("connections 1 s after the idle timeout: got %d open and %d idle, want none", open, idle)
	}
	if tr.idleTimeout() > 30*time.Second {
		t.Errorf("idle timeout: got %v, want at most 30 s, half of the servers' idle timeout of 60 s", tr.idleTimeout())
	}
}

// A connection that the server closed while it was idle is replaced by a new one.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		if nodetest.ReadRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	tr := newTestTransport(t, addr)
	doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", ""))
	nodetest.Await(t, "the server's close to be detected", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		idle := tr.pools["s0"].idle
		return len(idle) == 0 || !idle[0].isUsable()
	})
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("request after the server closed the idle connection: got code %v, want policy.OK", r.Code)
	}
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	slow := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	fast := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	tr := newTestTransport(t, fast, slow)
	tr.maxConns = 1
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("first request: got code %v, want policy.OK", r.Code)
	}
	// The idle connection to the first server is closed to dial the second.
	done := make(chan Result, 1)
	go func() {
		done <- tr.Do("s1", Attempt{Request: newTestRequest(http.MethodGet, "r2", ""), Timeout: nodetest.Timeout, Lifetime: NewLifetime(time.Time{}), Observer: connectedClient{t}})
	}()
	nodetest.Await(t, "the idle connection to be closed", func() bool { open, idle := tr.connCounts("s0"); return open == 1 && idle == 0 })
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r3", "")); r.Code != policy.ConnectFailed {
		t.Errorf("request over the connection limit: got code %v, want policy.ConnectFailed", r.Code)
	}
	close(release)
	if r := nodetest.Receive(t, "the slow server's response", done); r.Code != policy.OK {
		t.Errorf("request to the slow server: got code %v, want policy.OK", r.Code)
	}
}

// Idle connections are closed when their server restarts, is removed, or is missing from a complete list.
func TestListChangesCloseIdleConnections(t *testing.T) {
	addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	base := listedEndpoints(t, addr)[0]
	restarted, removed := base, base
	restarted.StartedAtMillis = 5
	removed.Availability = policy.Removed
	for name, tc := range map[string]struct {
		update discovery.Update
		want   int
	}{
		"unchanged endpoint": {discovery.Update{Kind: policy.ListUpdate, Endpoints: []discovery.Endpoint{base}}, 1},
		"restarted endpoint": {discovery.Update{Kind: policy.ListUpdate, Endpoints: []discovery.Endpoint{restarted}}, 0},
		"removed endpoint":   {discovery.Update{Kind: policy.ListUpdate, Endpoints: []discovery.Endpoint{removed}}, 0},
		"empty update":       {discovery.Update{Kind: policy.ListUpdate}, 1},
		"empty list":         {discovery.Update{Kind: policy.ListReplace}, 0},
	} {
		tr := newTestTransport(t, addr)
		doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", ""))
		tr.UpdateEndpoints(tc.update)
		if open, _ := tr.connCounts("s0"); open != tc.want {
			t.Errorf("open connections after %s: got %d, want %d", name, open, tc.want)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	names := []string{"util", "queue"}
	if got := parseLoadReport("inflight=7, queue=2,util=0.61", names); got[0] != 0.61 || got[1] != 2 {
		t.Errorf("report with all fields: got %v, want [0.61 2]", got)
	}
	if got := parseLoadReport("util=x,,=", names); !math.IsNaN(got[0]) || !math.IsNaN(got[1]) {
		t.Errorf("report without valid fields: got %v, want [NaN NaN]", got)
	}
	if got := parseLoadReport("", names); got != nil {
		t.Errorf("empty report: got %v, want nil", got)
	}
}

// No request is sent to a server that began to drain after the balancer chose it, even if there is an idle connection.
// The attempt's goroutine may wait for a processor longer than the grace period for which requests may be sent to such
// a server.
func TestNoRequestToServerThatBeganToDrain(t *testing.T) {
	t.Parallel()
	var received atomic.Int32
	addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
	tr := newTestTransport(t, addr)
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("request before draining: got code %v, want policy.OK", r.Code)
	}
	if _, idle := tr.connCounts("s0"); idle != 1 {
		t.Fatalf("idle connections before draining: got %d, want 1", idle)
	}
	draining := listedEndpoints(t, addr)
	draining[0].Availability = policy.Draining
	tr.UpdateEndpoints(discovery.Update{Kind: policy.ListUpdate, Endpoints: draining})
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r2", "")); r.Code != policy.ConnectFailed {
		t.Errorf("request to a draining server: got code %v, want %v", r.Code, policy.ConnectFailed)
	}
	if n := received.Load(); n != 1 {
		t.Errorf("requests received by the server: got %d, want 1", n)
	}
	if open, idle := tr.connCounts("s0"); open != idle {
		t.Errorf("connections after all attempts ended: got %d open and %d idle, want all idle", open, idle)
	}
}

// A second response to the same request, some milliseconds late, is not taken for the response to the next request. A
// connection is not reused within minReuseDelay after a response, or once unsolicited data has arrived.
func TestSecondResponseIsNotTakenForNext(t *testing.T) {
	for name, late := range map[string]bool{"during the next request": true, "while idle": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			sendSecond := make(chan struct{})
			addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				respond := func(body string) { // ignores errors: the transport may have closed the connection
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%s", body)
				}
				if conns.Add(1) > 1 {
					nodetest.ReadRequest(r)
					respond("two")
					return
				}
				nodetest.ReadRequest(r)
				respond("one")
				if late {
					nodetest.ReadRequest(r)
				} else {
					<-sendSecond
				}
				respond("one")
				_, _ = r.ReadByte()
			})
			tr := newTestTransport(t, addr)
			if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", "")); r.Code != policy.OK || string(r.Response.Body) != "one" {
				t.Fatalf("first request: got code %v and body %q, want policy.OK and one", r.Code, r.Response.Body)
			}
			if tr.setIdleTime(-nodetest.Timeout); !late { // keeps the connection within minReuseDelay, however slow the test
				close(sendSecond)
				nodetest.Await(t, "the second response to the first request", func() bool {
					tr.mu.Lock()
					defer tr.mu.Unlock()
					return !tr.pools["s0"].idle[0].isUsable()
				})
				tr.setIdleTime(time.Second)
			}
			if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r2", "")); r.Code != policy.OK || string(r.Response.Body) != "two" {
				t.Errorf("second request: got code %v and body %q, want policy.OK and two", r.Code, r.Response.Body)
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("connections at the server: got %d, want 2", n)
			}
		})
	}
}
