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

func testTransport(t *testing.T, addrs ...string) *Transport {
	t.Helper()
	descriptors := new(Descriptors)
	descriptors.SetTotal(200)
	c := TransportConfig{Dial: nodetest.Dialer(t), IdleTimeout: time.Minute}
	if c.Dial == nil { // the machine's network
		c.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	u := NewTransport(c, descriptors, metrics.NewSet().NewCounter("requests_sent"))
	u.UpdateEndpoints(discovery.Update{Kind: policy.ListCached, Endpoints: endpoints(t, addrs...)})
	t.Cleanup(u.CloseIdle)
	return u
}

func endpoints(t *testing.T, addrs ...string) []discovery.Endpoint {
	t.Helper()
	l, err := discovery.ParseList([]byte(nodetest.KnownList(addrs...)))
	if err != nil {
		t.Fatal(err)
	}
	return l.Endpoints
}

func testRequest(method, id string, body string) *Request {
	r := &Request{ID: id, Method: method, Path: "/api?q=a%20b", Host: "origin.svc", Body: []byte(body)}
	if method == http.MethodPost {
		r.IdempotencyKey = "k-" + id
	}
	return r
}

// presentClient is a client that waits for its response, which isn't streamed.
type presentClient struct{ t *testing.T }

func (presentClient) ClientDisconnected() bool { return false }

func (c presentClient) NotSent() { c.t.Error("nothing was sent") }

func (c presentClient) ResponseStarted(Response) { c.t.Error("the response is streamed") }

// doAttempt makes one attempt at s0.
func doAttempt(t *testing.T, u *Transport, r *Request) Result {
	t.Helper()
	return u.Do("s0", Attempt{Request: r, Timeout: nodetest.Timeout, Lifetime: NewLifetime(time.Now().Add(nodetest.Timeout)),
		Observer: presentClient{t}})
}

func (u *Transport) counts(id string) (open, idle int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		idle = len(p.idle)
	}
	return u.openConns, idle
}

// sinceUsed has all idle connections end their last response so long ago.
func (u *Transport) sinceUsed(ago time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		for _, c := range p.idle {
			c.lastUsed = time.Now().Add(-ago)
		}
	}
}

// Only "full" with X-Not-Run, and what never got its last byte written, has not run for certain.
func TestOutcomeOfEachResponse(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   policy.Code
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
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.Reset}, // ends early
		{"nonsense\r\n\r\n", policy.Reset},
		{"", policy.Reset},
	} {
		var sent atomic.Int32
		addr := nodetest.RawServer(t, func(c2 net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				sent.Add(1)
				_, _ = io.WriteString(c2, c.answer)
			}
		})
		r := doAttempt(t, testTransport(t, addr), testRequest(http.MethodGet, "r1", ""))
		if r.Code != c.want || sent.Load() != 1 {
			t.Errorf("%.60q: code %v after %d requests, want %v after 1", c.answer, r.Code, sent.Load(), c.want)
		}
		if c.want == policy.OK && string(r.Response.Body) != "ok" {
			t.Errorf("%.60q: body %q", c.answer, r.Response.Body)
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
	u := testTransport(t, addr)
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v", r.Code)
	}
	if open, _ := u.counts("s0"); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

// net/http's own client would send either of these again by itself.
func TestBrokenReusedConnectionIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var requests, conns atomic.Int32
		addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for nodetest.ReadRequest(r) {
				if requests.Add(1) > 1 {
					return // breaks the connection under the second
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		u := testTransport(t, addr)
		if r := doAttempt(t, u, testRequest(method, "r1", "")); r.Code != policy.OK {
			t.Fatalf("%s: first code %v", method, r.Code)
		}
		u.sinceUsed(minReuseDelay)
		if r := doAttempt(t, u, testRequest(method, "r2", "")); r.Code != policy.Reset {
			t.Errorf("%s: code %v, want a reset", method, r.Code)
		}
		if conns.Load() != 1 || requests.Load() != 2 {
			t.Errorf("%s: %d connections, %d requests; want 1 and 2", method, conns.Load(), requests.Load())
		}
	}
}

// halfConn fails each write after some bytes, as a connection does that breaks in between.
type halfConn struct {
	net.Conn
	left int
}

func (c *halfConn) Write(p []byte) (int, error) {
	if len(p) > c.left {
		n, _ := c.Conn.Write(p[:c.left])
		c.left = 0
		return n, errors.Join(net.ErrClosed, c.Close())
	}
	c.left -= len(p)
	return c.Conn.Write(p)
}

// What broke off before its last byte was written has not run, wherever that was.
func TestUnwrittenLastByteIsConnectFailed(t *testing.T) {
	addr := nodetest.RawServer(t, func(_ net.Conn, r *bufio.Reader) { nodetest.ReadRequest(r) })
	for _, c := range []struct{ left, body int }{
		{0, 0}, {20, 0}, {20, 20000}, {6000, 20000}, {20, 100}, {200, 100},
	} {
		u := testTransport(t, addr)
		p := u.pools["s0"]
		tcp, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		made := newServerConn(&halfConn{tcp, c.left}, p)
		made.lastUsed = time.Now().Add(-minReuseDelay)
		p.idle, u.openConns = []*serverConn{made}, 1
		x := testRequest(http.MethodPost, "r1", strings.Repeat("b", c.body))
		if r := doAttempt(t, u, x); r.Code != policy.ConnectFailed {
			t.Errorf("%+v: code %v, want could not connect", c, r.Code)
		}
	}
}

func TestTimeOutAndCancelCloseTheConnection(t *testing.T) {
	for want, end := range map[policy.Code]func(*Lifetime){
		policy.TimedOut:  func(f *Lifetime) { f.SetDeadline(time.Now()) },
		policy.Cancelled: func(f *Lifetime) { f.Cancel() },
	} {
		got, closed := make(chan struct{}), make(chan struct{})
		addr := nodetest.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
			nodetest.ReadRequest(r)
			close(got)
			_, _ = r.ReadByte() // returns when the node closes
			close(closed)
		})
		u := testTransport(t, addr)
		f := NewLifetime(time.Now().Add(nodetest.Timeout))
		done := make(chan Result, 1)
		go func() {
			done <- u.Do("s0", Attempt{Request: testRequest(http.MethodGet, "r1", ""), Timeout: nodetest.Timeout, Lifetime: f, Observer: presentClient{t}})
		}()
		nodetest.Receive(t, "the request", got)
		end(f)
		if r := nodetest.Receive(t, "the outcome", done); r.Code != want {
			t.Errorf("code %v, want %v", r.Code, want)
		}
		nodetest.Receive(t, "the close", closed)
		if open, idle := u.counts("s0"); open != 0 || idle != 0 {
			t.Errorf("%d open, %d idle", open, idle)
		}
	}
}

// What the server gets is the client's request, with nothing of the machine's own about it.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:9")
	got := make(chan *http.Request, 1)
	var body atomic.Value
	addr := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body.Store(string(b))
		got <- r
	})
	r := doAttempt(t, testTransport(t, addr), testRequest(http.MethodPost, "r1", "hello"))
	if r.Code != policy.OK {
		t.Fatalf("code %v", r.Code)
	}
	req := <-got
	if req.Method != "POST" || req.RequestURI != "/api?q=a%20b" || req.Host != "origin.svc" || body.Load() != "hello" {
		t.Errorf("got %s %s of %s with %q", req.Method, req.RequestURI, req.Host, body.Load())
	}
	if req.Header.Get("X-Request-Id") != "r1" || req.Header.Get("Idempotency-Key") != "k-r1" ||
		req.Header.Get("X-Deadline-Ms") == "" || req.Header.Get("Accept-Encoding") != "" || req.UserAgent() != "" {
		t.Errorf("header %v", req.Header)
	}
}

func TestConnectionsAreReusedUntilIdle(t *testing.T) {
	var conns atomic.Int32
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		conns.Add(1)
		for nodetest.ReadRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}
	})
	u := testTransport(t, addr)
	for i := range 3 {
		doAttempt(t, u, testRequest(http.MethodGet, fmt.Sprint("r", i), ""))
		u.sinceUsed(minReuseDelay)
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	u.CloseExpired(time.Now().Add(u.idleTimeout() - time.Second))
	if _, idle := u.counts("s0"); idle != 1 {
		t.Errorf("%d idle connections before their time is up, want 1", idle)
	}
	u.CloseExpired(time.Now().Add(u.idleTimeout() + time.Second))
	if open, idle := u.counts("s0"); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the sweep", open, idle)
	}
	if u.idleTimeout() > 30*time.Second {
		t.Errorf("idle connections are kept for %v, too near the settings' 60 s", u.idleTimeout())
	}
}

// A connection that the server closed while it was idle is not written to.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
		if nodetest.ReadRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	u := testTransport(t, addr)
	doAttempt(t, u, testRequest(http.MethodGet, "r1", ""))
	nodetest.Await(t, "the close to be noticed", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		idle := u.pools["s0"].idle
		return len(idle) == 0 || !idle[0].isUsable()
	})
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
}

func TestDescriptorsLimitConnections(t *testing.T) {
	hold := make(chan struct{})
	slow := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { <-hold })
	fast := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	u := testTransport(t, fast, slow)
	u.maxConns = 1
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("code %v", r.Code)
	}
	// The idle connection to the first server makes room for one to the second.
	done := make(chan Result, 1)
	go func() {
		done <- u.Do("s1", Attempt{Request: testRequest(http.MethodGet, "r2", ""), Timeout: nodetest.Timeout, Lifetime: NewLifetime(time.Time{}), Observer: presentClient{t}})
	}()
	nodetest.Await(t, "the eviction", func() bool { open, idle := u.counts("s0"); return open == 1 && idle == 0 })
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r3", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v beyond the limit, want could not connect", r.Code)
	}
	close(hold)
	if r := nodetest.Receive(t, "the slow answer", done); r.Code != policy.OK {
		t.Errorf("code %v", r.Code)
	}
}

// What was open to a server's former process, or address, is given up.
func TestListChangesDropIdleConnections(t *testing.T) {
	addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	base := endpoints(t, addr)[0]
	restarted, removed := base, base
	restarted.StartedAtMillis = 5
	removed.Availability = policy.Removed
	for name, c := range map[string]struct {
		n    discovery.Update
		want int
	}{
		"same":      {discovery.Update{Kind: policy.ListUpdate, Endpoints: []discovery.Endpoint{base}}, 1},
		"restarted": {discovery.Update{Kind: policy.ListUpdate, Endpoints: []discovery.Endpoint{restarted}}, 0},
		"removed":   {discovery.Update{Kind: policy.ListUpdate, Endpoints: []discovery.Endpoint{removed}}, 0},
		"no news":   {discovery.Update{Kind: policy.ListUpdate}, 1},
		"missing":   {discovery.Update{Kind: policy.ListReplace}, 0},
	} {
		u := testTransport(t, addr)
		doAttempt(t, u, testRequest(http.MethodGet, "r1", ""))
		u.UpdateEndpoints(c.n)
		if open, _ := u.counts("s0"); open != c.want {
			t.Errorf("%s: %d open, want %d", name, open, c.want)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	names := []string{"util", "queue"}
	if got := parseLoadReport("inflight=7, queue=2,util=0.61", names); got[0] != 0.61 || got[1] != 2 {
		t.Errorf("got %v", got)
	}
	if got := parseLoadReport("util=x,,=", names); !math.IsNaN(got[0]) || !math.IsNaN(got[1]) {
		t.Errorf("got %v", got)
	}
	if got := parseLoadReport("", names); got != nil {
		t.Errorf("got %v", got)
	}
}

// An attempt whose turn comes only after its server was told to leave is not written, over a kept connection either:
// the module's choice may have waited for a processor for as long as the settings' grace.
func TestAttemptIsNotSentToAServerThatDrainsByThen(t *testing.T) {
	t.Parallel()
	var got atomic.Int32
	addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { got.Add(1) })
	u := testTransport(t, addr)
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK {
		t.Fatalf("first code %v", r.Code)
	}
	if _, idle := u.counts("s0"); idle != 1 {
		t.Fatalf("%d idle connections: nothing is tried", idle)
	}
	leaving := endpoints(t, addr)
	leaving[0].Availability = policy.Draining
	u.UpdateEndpoints(discovery.Update{Kind: policy.ListUpdate, Endpoints: leaving})
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r2", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v, want %v: it never ran", r.Code, policy.ConnectFailed)
	}
	if n := got.Load(); n != 1 {
		t.Errorf("the server got %d requests, want the one from before", n)
	}
	if open, idle := u.counts("s0"); open != idle {
		t.Errorf("%d connections are counted, %d are idle", open, idle)
	}
}

// A server's second response to a request, late by some milliseconds, is not taken for the response to the next one: a
// connection rests after each response, and what says something meanwhile is not used again.
func TestLateSecondResponseIsNotUsed(t *testing.T) {
	for name, late := range map[string]bool{"at the next request": true, "while it rests": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			second := make(chan struct{})
			addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				say := func(body string) { // the transport may have closed the connection by then
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%s", body)
				}
				if conns.Add(1) > 1 {
					nodetest.ReadRequest(r)
					say("two")
					return
				}
				nodetest.ReadRequest(r)
				say("one")
				if late {
					nodetest.ReadRequest(r)
				} else {
					<-second
				}
				say("one")
				_, _ = r.ReadByte()
			})
			u := testTransport(t, addr)
			if r := doAttempt(t, u, testRequest(http.MethodGet, "r1", "")); r.Code != policy.OK || string(r.Response.Body) != "one" {
				t.Fatalf("first: code %v, %q", r.Code, r.Response.Body)
			}
			if u.sinceUsed(-nodetest.Timeout); !late { // just used, however long this test waits
				close(second)
				nodetest.Await(t, "the second answer", func() bool {
					u.mu.Lock()
					defer u.mu.Unlock()
					return !u.pools["s0"].idle[0].isUsable()
				})
				u.sinceUsed(time.Second)
			}
			if r := doAttempt(t, u, testRequest(http.MethodGet, "r2", "")); r.Code != policy.OK || string(r.Response.Body) != "two" {
				t.Errorf("next: code %v, %q", r.Code, r.Response.Body)
			}
			if n := conns.Load(); n != 2 {
				t.Errorf("%d connections, want 2", n)
			}
		})
	}
}
