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

// Who connects and sends no whole request is rid of, with or without an answer, in 3 s.
func TestSlowClientsAreDisconnectedInTime(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}))))
		head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
		var all sync.WaitGroup
		for _, sent := range []string{"", "P", head, head + "Content-Length: 9\r\n\r\n", head + "Content-Length: 9\r\n\r\nbo",
			head + "Transfer-Encoding: chunked\r\n\r\n4\r\nab",
			strings.Replace(head, "pay", "unknown", 1) + "Content-Length: 9\r\n\r\nbo"} {
			all.Go(func() {
				began := time.Now()
				talk(t, node, sent)
				if took := time.Since(began); took > 3*time.Second {
					t.Errorf("%.60q...: held its connection for %v", sent, took)
				}
			})
		}
		all.Wait()
	})
}

// A malformed request ends its connection, whatever else was sent along.
func TestMalformedRequestEndsItsConnection(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		servers := &recorder{}
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, servers.ServeHTTP))))
		head := "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: %s\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"
		talk(t, node, fmt.Sprintf(head, 1, "reads")+fmt.Sprintf(head, 2, "read"))
		if got := servers.take(); got != "" {
			t.Errorf("%q reached the server from behind a malformed request", got)
		}
	})
}

// Peers that use up the clients' part of the descriptors don't cost a client its open connection.
func TestSilentConnectionsLeaveClientsAlone(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		c := testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})))
		c.Sockets = config.MinSockets
		node, _ := startNode(t, c)
		client := keepAliveClient(t)
		ask := func(id string) *http.Response {
			resp, err := client.Do(clientRequest(t, node, "GET", "read", id, ""))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			nodetest.CloseOnce(t, resp.Body)
			return resp
		}
		ask("first")
		var held []net.Conn
		for range (config.MinSockets-ownSockets)*2/3 + 5 {
			peer := nodetest.Dial(t, node)
			defer nodetest.CloseOnce(t, peer)
			held = append(held, peer)
		}
		// Connections are taken in turn: once the last one is told that it is one too many, all are in.
		last := held[len(held)-1]
		if err := clientRequest(t, node, "GET", "read", "last", "").Write(last); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len("HTTP/1.1 503"))
		_ = last.SetReadDeadline(time.Now().Add(nodetest.Timeout))
		if _, err := io.ReadFull(last, got); err != nil || string(got) != "HTTP/1.1 503" {
			t.Fatalf("the last of too many peers: %q, %v", got, err)
		}
		if resp := ask("second"); resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("a client from before: %d, connection closed: %v", resp.StatusCode, resp.Close)
		}
	})
}

// An idle connection ends in time, also after a body that came in pieces and set deadlines of its own.
func TestIdleConnectionsTimeOut(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		node, _ := startNode(t, testConfig(t, nodetest.KnownList(nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {}))))
		c := nodetest.Dial(t, node)
		defer nodetest.CloseOnce(t, c)
		head := "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n"
		for _, piece := range []string{head + "Content-Length: 3\r\n\r\n", "su", "m"} {
			_, _ = io.WriteString(c, piece)
			time.Sleep(100 * time.Millisecond)
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * downstream.IdleTimeout))
		if got, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 200 ") {
			t.Errorf("got %q, %v; want an answer and then the end", got, err)
		}
	})
}
