package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// A request of each class passes the whole node: method, URI, headers and body reach the server, and the response
// reaches the client.
func TestServesEachClass(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		addr := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Content-Type", "application/x-test")
			_, _ = fmt.Fprintf(w, "%s %s %s key=%s %s", r.Method, r.RequestURI, r.Header.Get("X-Request-Id"),
				r.Header.Get("Idempotency-Key"), body)
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
		for _, c := range []struct{ method, class, body, want string }{
			{"GET", "read", "", "GET /api/x?q=a%20b r-read key= "},
			{"POST", "pay", "sum", "POST /api/x?q=a%20b r-pay key= sum"},
			{"POST", "undo", "", "POST /api/x?q=a%20b r-undo key=key-r-undo "},
		} {
			resp, body := do(t, clientRequest(t, node, c.method, c.class, "r-"+c.class, c.body))
			if resp.StatusCode != 200 || body != c.want || resp.Header.Get("Content-Type") != "application/x-test" {
				t.Errorf("class %s: got status %d, body %q, header %v; want 200, %q", c.class, resp.StatusCode, body,
					resp.Header, c.want)
			}
		}
	})
}

// An invalid request is answered with a 4xx status and reaches no server, and its request ID can be used again.
func TestBadRequestsReachNoServer(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		var reached atomic.Int32
		addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
		big := strings.Repeat("x", downstream.MaxRequestIDBytes+1)
		for name, c := range map[string]struct {
			method, class, body string
			headers             []string
			want                int
		}{
			"no id":                {"GET", "read", "", []string{"X-Request-Id", ""}, 400},
			"long id":              {"GET", "read", "", []string{"X-Request-Id", big}, 400},
			"id with a space":      {"GET", "read", "", []string{"X-Request-Id", "a b"}, 400},
			"no class":             {"GET", "read", "", []string{"X-Class", ""}, 400},
			"unknown class":        {"GET", "read", "", []string{"X-Class", "other"}, 400},
			"no deadline":          {"GET", "read", "", []string{"X-Deadline-Ms", ""}, 400},
			"zero deadline":        {"GET", "read", "", []string{"X-Deadline-Ms", "0"}, 400},
			"negative deadline":    {"GET", "read", "", []string{"X-Deadline-Ms", "-5"}, 400},
			"non-numeric deadline": {"GET", "read", "", []string{"X-Deadline-Ms", "soon"}, 400},
			"overflowing deadline": {"GET", "read", "", []string{"X-Deadline-Ms", "99999999999999999999"}, 400},
			"POST for read":        {"POST", "read", "x", nil, 405},
			"GET for pay":          {"GET", "pay", "", nil, 405},
			"PUT for undo":         {"PUT", "undo", "x", nil, 405},
			"undo, no key":         {"POST", "undo", "x", []string{"Idempotency-Key", ""}, 400},
			"GET with body":        {"GET", "read", "x", nil, 400},
		} {
			resp, _ := do(t, clientRequest(t, node, c.method, c.class, "r1", c.body, c.headers...))
			if resp.StatusCode != c.want {
				t.Errorf("%s: status %d, want %d", name, resp.StatusCode, c.want)
			}
		}
		if n := reached.Load(); n != 0 {
			t.Errorf("%d invalid requests reached the server, want 0", n)
		}
		if resp, _ := do(t, clientRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != 200 {
			t.Errorf("valid request with the same ID: status %d, want 200", resp.StatusCode)
		}
	})
}

// A request over its tenant's quota is rejected with 429 and a Retry-After of at least 1 s.
func TestRejectionHasRetryAfter(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
		for i := range 20 {
			resp, _ := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint("r", i), "", "X-Tenant", "tiny"))
			if resp.StatusCode == http.StatusOK {
				continue
			}
			wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != http.StatusTooManyRequests || err != nil || wait < 1 {
				t.Errorf("rejection: status %d, Retry-After %q; want 429 and at least 1", resp.StatusCode,
					resp.Header.Get("Retry-After"))
			}
			return
		}
		t.Error("no request of 20 over the tenant's quota was rejected")
	})
}

// An unsafe request that may have run is not sent again. Its client doesn't get 429 or 503 either, which would say that
// the client can send it again.
func TestUnsafeRequestThatMayHaveRunFails(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		var reached atomic.Int32
		addr := nodetest.RawServer(t, func(_ net.Conn, r *bufio.Reader) {
			if nodetest.ReadRequest(r) {
				reached.Add(1)
			}
		})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr, addr)))
		resp, _ := do(t, clientRequest(t, node, "POST", "pay", "r1", "sum"))
		if s := resp.StatusCode; s < 400 || s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable {
			t.Errorf("status %d, want a failure other than 429 and 503", s)
		}
		if n := reached.Load(); n != 1 {
			t.Errorf("attempts that reached a server: got %d, want 1", n)
		}
	})
}

// The balancer gets an event when a client disconnects, and can cancel the request's attempts.
func TestClientDisconnectReachesTheBalancer(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		received, cancelled := make(chan struct{}), make(chan struct{})
		addr := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(received)
			<-r.Context().Done()
			close(cancelled)
		})
		l, scripted := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return sendActions(e.ID, 1)
			case policy.ClientCancelled:
				return []policy.Action{{Kind: policy.Cancel, ID: e.ID}}
			}
			return nil
		})
		node := serveAt(t, newServer(l, testLimits()))
		c := nodetest.Dial(t, node)
		// The deadline is an hour away, so that only the cancellation ends the attempt.
		if err := clientRequest(t, node, "POST", "pay", "r1", "sum", "X-Deadline-Ms", "3600000").Write(c); err != nil {
			t.Fatal(err)
		}
		nodetest.Receive(t, "the attempt at the server", received)
		nodetest.CloseIgnoringClosed(t, c)
		nodetest.Receive(t, "the cancelled attempt at the server", cancelled)
		scripted.expectEvents(t, "list 2", "request r1", "cancelled r1",
			fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
	})
}

// A client that closes its write side counts as disconnected: it gets no response, even if it still reads.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { <-release })
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
		c := nodetest.Dial(t, node)
		defer nodetest.CloseIgnoringClosed(t, c)
		if err := clientRequest(t, node, "GET", "read", "r1", "").Write(c); err != nil {
			t.Fatal(err)
		}
		if err := c.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(nodetest.Timeout))
		if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
			t.Errorf("after the client closed its write side: got %q, error %v; want no bytes and no error", got, err)
		}
	})
}

// A request on a client connection beyond the clients' part of the descriptors is answered with 503, and the connection
// is closed. Once other connections close, requests are served again.
func TestClientsOverTheLimitAreRejected(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		var reached atomic.Int32
		addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
		c := testConfig(t, nodetest.KnownList(addr))
		c.Sockets = config.MinSockets
		node, _ := startNode(t, c)
		perSide := (config.MinSockets - baseSockets) / 2
		var held []net.Conn
		defer func() {
			for _, c := range held {
				nodetest.CloseIgnoringClosed(t, c)
			}
		}()
		hold := func() {
			c := nodetest.Dial(t, node)
			held = append(held, c)
		}
		for range perSide {
			hold()
		}
		nodetest.Await(t, "a 503 that closes its connection", func() bool {
			resp, _ := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint(time.Now().UnixNano()), ""))
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Close {
				return true
			}
			hold() // the node closes silent connections after a while
			return false
		})
		for _, c := range held {
			nodetest.CloseIgnoringClosed(t, c)
		}
		before := reached.Load()
		nodetest.Await(t, "a served request after the connections closed", func() bool {
			resp, _ := do(t, clientRequest(t, node, "GET", "read", fmt.Sprint(time.Now().UnixNano()), ""))
			return resp.StatusCode == 200
		})
		if reached.Load() == before {
			t.Error("got a 200 for a request that reached no server")
		}
	})
}

// While a node drains, its responses close their connections. The readiness check fails too, unless a successor process
// has superseded the draining one.
func TestStoppingNodeEndsConnections(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
		l, _ := startLoop(t, addr, sendOnce)
		s := newServer(l, testLimits())
		node := serveAt(t, s)
		nodetest.Receive(t, "readiness", l.ready)
		close(s.soleListener)
		client := keepAliveClient(t)
		for _, state := range []struct{ draining, superseded, ready bool }{
			{ready: true}, {draining: true}, {draining: true, superseded: true, ready: true}, // the successor serves
		} {
			draining := state.draining
			s.Stopping.Store(draining)
			s.Draining.Store(draining)
			s.superseded.Store(state.superseded)
			req := clientRequest(t, node, "GET", "read", fmt.Sprintf("r%v%v", draining, state.superseded), "")
			resp, err := client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			nodetest.CloseIgnoringClosed(t, resp.Body)
			if resp.StatusCode != 200 || resp.Close != draining {
				t.Errorf("draining %v: status %d, closes its connection %v; want 200, and a close only if draining",
					draining, resp.StatusCode, resp.Close)
			}
			resp, err = oneRequestClient(t).Get("http://" + node + downstream.ReadyPath)
			if err != nil {
				t.Fatal(err)
			}
			nodetest.CloseIgnoringClosed(t, resp.Body)
			if ready := resp.StatusCode == 200; ready != state.ready || s.acceptsNewClients() == draining {
				t.Errorf("state %+v: ready %v, accepts new clients %v; want the state's value of ready, and new clients accepted unless draining",
					state, ready, s.acceptsNewClients())
			}
		}
	})
}

// A stopping node still accepts connections for a while, answers the open requests, and ends only then.
func TestStoppingNodeAnswersOpenRequests(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		release, received := make(chan struct{}), make(chan struct{}, 2)
		addr := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Request-Id") == "slow" {
				received <- struct{}{}
				<-release
			}
		})
		node, stop := startNode(t, testConfig(t, nodetest.KnownList(addr)))
		slowStatus := make(chan int, 1)
		go func() {
			resp, err := oneRequestClient(t).Do(clientRequest(t, node, "GET", "read", "slow", ""))
			if err != nil {
				slowStatus <- 0
				return
			}
			nodetest.CloseIgnoringClosed(t, resp.Body)
			slowStatus <- resp.StatusCode
		}()
		nodetest.Receive(t, "the slow request", received)
		stopErr, start := make(chan error, 1), time.Now()
		go func() { stopErr <- stop() }()
		nodetest.Await(t, "a refused connection", func() bool {
			c, err := nodetest.Dialer(t)(t.Context(), "tcp", node)
			if err == nil {
				nodetest.CloseIgnoringClosed(t, c)
			}
			return err != nil
		})
		if took := time.Since(start); took < 400*time.Millisecond {
			t.Errorf("connections were accepted for %v after the stop, want at least 400ms, as clients still connect in that time", took)
		}
		select {
		case err := <-stopErr:
			t.Fatalf("the node ended with an open request: %v", err)
		default:
		}
		close(release)
		if status := nodetest.Receive(t, "the response to the slow request", slowStatus); status != 200 {
			t.Errorf("slow request: status %d, want 200", status)
		}
		if err := nodetest.Receive(t, "the end of the node", stopErr); err != nil {
			t.Error(err)
		}
	})
}

// shortDeadlineConfig returns a configuration in which each class has a latency objective of 200 ms and a deadline of
// 1.5 s.
func shortDeadlineConfig(t *testing.T) config.Config {
	c := testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})))
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].LatencyObjective, c.Settings.Classes[i].Deadline = 200*time.Millisecond, 1500*time.Millisecond
	}
	return c
}

// A stopping node serves requests on its open connections for as long as they can be answered in time; meanwhile its
// readiness check fails.
func TestStoppingNodeServesOpenConnections(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		node, stop := startNode(t, shortDeadlineConfig(t))
		client := keepAliveClient(t)
		get := func(req *http.Request) (*http.Response, error) {
			resp, err := client.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				nodetest.CloseIgnoringClosed(t, resp.Body)
			}
			return resp, err
		}
		stopErr, start := make(chan error, 1), time.Now()
		go func() { stopErr <- stop() }()
		readinessCheck, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+node+downstream.ReadyPath, nil)
		if err != nil {
			t.Fatal(err)
		}
		nodetest.Await(t, "a failing readiness check", func() bool {
			resp, err := get(readinessCheck)
			return err != nil || resp.StatusCode == http.StatusServiceUnavailable
		})
		for n := 0; time.Since(start) < 1200*time.Millisecond; n++ {
			resp, err := get(clientRequest(t, node, "GET", "read", fmt.Sprint("r", n), ""))
			if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
				t.Fatalf("request %v after the stop: error %v, response %+v; want 200 on an open connection",
					time.Since(start), err, resp)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err := nodetest.Receive(t, "the end of the node", stopErr); err != nil {
			t.Error(err)
		}
		if took := time.Since(start); took > 2200*time.Millisecond {
			t.Errorf("the node ended %v after the stop, want at most 2.2s, so that it ends before it is killed", took)
		}
	})
}

// Malformed input gets an error status or a closed connection, and the node serves valid requests afterwards.
func TestMalformedInputIsRejectedOrClosed(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		addr := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(addr)))
		for _, input := range []string{"", "\r\n\r\n", "\x00\x01\x02\r\n\r\n", "GET", "GET / HTTP/9.9\r\n\r\n",
			"GET / HTTP/1.1\r\n\r\n", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
			"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
			"POST /a HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Deadline-Ms: 9\r\nContent-Length: 5\r\n\r\nab",
			"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 1<<20)} {
			c := nodetest.Dial(t, node)
			_, _ = io.WriteString(c, input) // the node may close before all is written
			_ = c.CloseWrite()
			_ = c.SetReadDeadline(time.Now().Add(nodetest.Timeout))
			got, err := io.ReadAll(c)
			nodetest.CloseIgnoringClosed(t, c)
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				t.Errorf("%.40q: the node did not close the connection in time", input)
			}
			if len(got) > 0 && !strings.HasPrefix(string(got), "HTTP/1.1 4") && !strings.HasPrefix(string(got), "HTTP/1.1 5") {
				t.Errorf("%.40q: response %.60q, want status 4xx or 5xx", input, got)
			}
		}
		if resp, _ := do(t, clientRequest(t, node, "GET", "read", "r1", "")); resp.StatusCode != 200 {
			t.Errorf("valid request after malformed input: status %d, want 200", resp.StatusCode)
		}
	})
}

// A connection accepted just before a stopping node closes its listener is still served.
func TestConnectionAcceptedBeforeTheListenerClosesIsServed(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		node, stop := startNode(t, shortDeadlineConfig(t))
		stopErr := make(chan error, 1)
		go func() { stopErr <- stop() }()
		end := minAcceptTime + 1500*time.Millisecond
		time.Sleep(end - 150*time.Millisecond)
		conn := nodetest.Dial(t, node)
		time.Sleep(100 * time.Millisecond) // the listener is closed by now
		if _, err := nodetest.Dialer(t)(t.Context(), "tcp", node); err == nil {
			t.Error("the node accepted a connection after it should have closed its listener")
		}
		if err := clientRequest(t, node, "GET", "read", "last", "").Write(conn); err != nil {
			t.Fatal(err)
		}
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("request on the last connection: response %+v, error %v; want 200", resp, err)
		}
		if err := nodetest.Receive(t, "the end of the node", stopErr); err != nil {
			t.Error(err)
		}
	})
}

// A connection accepted over the limit is served if the limit has room for it when its request arrives, even if the
// process expects no more descriptors from a predecessor.
func TestConnectionOverTheLimitIsServedOnceThereIsRoom(t *testing.T) {
	server, received, release := nodetest.HoldingServer(t)
	l, _ := startLoop(t, server, sendOnce)
	s := newServer(l, testLimits())
	node := serveAt(t, s)
	descriptors := l.up.Descriptors()
	descriptors.SetTotal(4) // two of them for clients
	for i := range 2 {
		newTestClient(t, node).send("GET", "read", fmt.Sprint("r", i), "")
	}
	nodetest.Receive(t, "a request at the server", received)
	late := newTestClient(t, node)
	nodetest.Await(t, "the connection over the limit", func() bool { return s.ClientConns().Count() == 3 })
	descriptors.SetTotal(config.MinSockets)
	late.send("GET", "read", "late", "")
	release()
	if resp := late.readResponse(); resp.StatusCode != http.StatusOK {
		t.Errorf("request on the connection over the limit: status %d, want 200", resp.StatusCode)
	}
}

// The server side has its minimum of descriptors however many clients are connected. While two processes share the
// descriptors, the limit on client connections is at most MaxClients. Afterwards it is higher.
func TestEachSideHasItsMinimumOfDescriptors(t *testing.T) {
	descriptors := testDescriptors(30)
	descriptors.SetClients(40)
	if got := descriptors.ForServers(); got != descriptors.MinPerSide() {
		t.Errorf("descriptors for servers with 40 clients of 30 descriptors: got %d, want %d", got, descriptors.MinPerSide())
	}
	l, _ := startLoop(t, "127.0.0.1:9", sendOnce)
	h := &hotRestart{config: testConfig(t, nodetest.KnownList("127.0.0.1:9")), server: newServer(l, testLimits()), transport: l.up,
		clients: downstream.NewConnectionLimiter(nodetest.Listener(t), 1), sockets: 60, memory: testLimits()}
	for _, sharing := range []bool{true, false} {
		h.server.AwaitingDescriptors.Store(sharing)
		h.shareSockets()
		if maxClients := l.up.Descriptors().MaxClients(); (h.clients.Limit() > maxClients) == sharing {
			t.Errorf("sharing descriptors %v: limit of %d clients, MaxClients %d; want a limit above MaxClients unless sharing",
				sharing, h.clients.Limit(), maxClients)
		}
	}
}
