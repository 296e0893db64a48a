package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"sloerail/internal/node/nodetest"
)

// The endings tests use real connections, since they depend on what the kernel does when a connection ends.
// docs/endings.md has a row for each test.

// startDrainable starts a node in front of server that makes one attempt for each request. drain puts the node into the
// state of a stopping node, without the timers of a shutdown, so that the test controls the order of events.
func startDrainable(t *testing.T, server string) (node string, l *loop, drain func()) {
	t.Helper()
	l, _ = startLoop(t, server, sendOnce)
	s := newServer(l, testLimits())
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

// A connection on which the node has read part of a request is not closed as idle at shutdown: the request is answered.
func TestPartlyReadRequestIsAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	l, _ := startLoop(t, nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}), sendOnce)
	s := newServer(l, testLimits())
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
