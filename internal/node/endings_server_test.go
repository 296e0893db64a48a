package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// The endings tests use real connections, since they depend on what the kernel does when a connection ends.
// docs/endings.md has a row for each test.

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
			c := newTestClient(t, serveAt(t, newServer(l, testLimits())))
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
	c := newTestClient(t, serveAt(t, newServer(l, testLimits())))
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
