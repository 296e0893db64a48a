package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/nodetest"

	"sloerail/internal/node/config"
)

// A client that sends no complete request is disconnected within 3 s, with or without a response.
func TestSlowClientsAreDisconnectedInTime(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}))))
		head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
		var wg sync.WaitGroup
		for _, sent := range []string{"", "P", head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nbo",
			head + "Transfer-Encoding: chunked\r\n\r\n4\r\nab",
			strings.Replace(head, "pay", "unknown", 1) + "Content-Length: 9\r\n\r\nbo"} {
			wg.Go(func() {
				start := time.Now()
				sendRaw(t, node, sent)
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("%.60q...: the connection was closed after %v, want at most 3s", sent, took)
				}
			})
		}
		wg.Wait()
	})
}

// A request with an unknown class closes its connection: a further request on the connection is not forwarded.
func TestMalformedRequestEndsItsConnection(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		servers := &recorder{}
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, servers.ServeHTTP))))
		head := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"
		sendRaw(t, node, fmt.Sprintf(head, 1, "reads")+fmt.Sprintf(head, 2, "read"))
		if got := servers.takeIDs(); got != "" {
			t.Errorf("requests that reached the server after one with an unknown class on the same connection: got %q, want none", got)
		}
	})
}

// A client keeps its open connection when silent connections use up the clients' part of the descriptors.
func TestSilentConnectionsDontDisplaceClients(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		c := testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})))
		c.Sockets = config.MinSockets
		node, _ := startNode(t, c)
		client := keepAliveClient(t)
		get := func(id string) *http.Response {
			resp, err := client.Do(clientRequest(t, node, "GET", "read", id, ""))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			nodetest.CloseIgnoringClosed(t, resp.Body)
			return resp
		}
		get("first")
		var held []net.Conn
		for range (config.MinSockets-baseSockets)*2/3 + 5 {
			peer := nodetest.Dial(t, node)
			defer nodetest.CloseIgnoringClosed(t, peer)
			held = append(held, peer)
		}
		// Connections are accepted in order: once the last one is rejected as over the limit, all others have been accepted.
		last := held[len(held)-1]
		if err := clientRequest(t, node, "GET", "read", "last", "").Write(last); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len("HTTP/1.1 503"))
		_ = last.SetReadDeadline(time.Now().Add(nodetest.Timeout))
		if _, err := io.ReadFull(last, got); err != nil || string(got) != "HTTP/1.1 503" {
			t.Fatalf("connection over the limit: got %q, error %v; want HTTP/1.1 503", got, err)
		}
		if resp := get("second"); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("client connected before the silent ones: status %d, closes its connection %v; want 200, false",
				resp.StatusCode, resp.Close)
		}
	})
}

// An idle connection is closed after IdleTimeout, even if the body of its last request arrived in pieces, for
// which the node sets other read deadlines.
func TestIdleConnectionsTimeOut(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}))))
		c := nodetest.Dial(t, node)
		defer nodetest.CloseIgnoringClosed(t, c)
		head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
		for _, piece := range []string{head + "Content-Length: 3\r\n\r\n", "su", "m"} {
			_, _ = io.WriteString(c, piece)
			time.Sleep(100 * time.Millisecond)
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * downstream.IdleTimeout))
		if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
			t.Errorf("got %q, error %v; want a response with status 200 and then EOF", got, err)
		}
	})
}
