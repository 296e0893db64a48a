package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloerail/internal/node/config"
	"sloerail/policy"
)

const hollowList = `{"revision":%d,"complete":%v,"members":[{"id":"%s","host_port":"127.0.0.1:1","phase":"up","size":1}]}`

// hollowConfig loads a configuration with the given list service and tenant quota from a file, as a node does.
func hollowConfig(t *testing.T, discovery string, quota float64) config.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	raw := fmt.Sprintf(`{"name":"hollow","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"revision":0,"complete":true,"members":[]},
		"settings":{"position":0,"groupSize":1,"services":[{"name":"x","deadline":600,"repeat":"free"}],
		"tenants":[{"name":"t","quotaRps":%v,"fraction":1}],"limits":{"retryAfter":true}}}`, discovery, quota)
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A hollow node chooses listed servers for requests and enforces a tenant's quota by its own clock, also when the quota
// has changed.
func TestHollowNodeDecides(t *testing.T) {
	h, err := NewHollow(hollowConfig(t, "127.0.0.1:9", 2), nil)
	if err != nil {
		t.Fatal(err)
	}
	h.Restore()
	decide := func(id string) (string, bool) {
		return h.Decide(policy.Request{ID: id, Class: "x", Tenant: "t", Timeout: time.Second})
	}
	if server, sent := decide("1"); sent {
		t.Errorf("Decide without a list: got server %q, want none", server)
	}
	if err := h.ApplyList(fmt.Appendf(nil, hollowList, 1, true, "a")); err != nil || h.Servers() != 1 {
		t.Fatalf("servers after ApplyList: got %d, error %v, want 1", h.Servers(), err)
	}
	if err := h.ApplyList([]byte(`{"members":[]}`)); err == nil {
		t.Error("ApplyList of a list without a revision: got no error, want one")
	}
	admitted := 0
	for ; admitted < 100; admitted++ {
		id := fmt.Sprint("r", admitted)
		server, sent := decide(id)
		if !sent {
			break
		}
		if server != "a" {
			t.Fatalf("Decide with server a: got server %q, want a", server)
		}
		h.ReportOutcome(policy.Outcome{ID: id, Server: server, Code: policy.OK, Latency: time.Millisecond})
	}
	if admitted == 0 || admitted == 100 {
		t.Fatalf("requests admitted with a quota of 2 per second: got %d, want 1 to 99", admitted)
	}
	h.Advance(10 * time.Second) // refills the token bucket
	if _, sent := decide("later"); !sent {
		t.Error("request rejected with a full token bucket")
	}
	h.Reconfigure(hollowConfig(t, "127.0.0.1:9", 0))
	h.Advance(10 * time.Second)
	for i := range 100 {
		decide(fmt.Sprint("s", i))
	}
	if _, sent := decide("last"); sent {
		t.Error("request admitted after the quota was changed to 0")
	}
}

// A running hollow node watches the list, passes it on to the balancer, and counts the traffic of the list client.
func TestHollowNodeWatchesTheList(t *testing.T) {
	responses := make(chan string)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case response := <-responses:
			_, _ = fmt.Fprint(w, response) // the client may have disconnected
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(service.Close)
	seen := make(chan policy.EndpointList, 8)
	h, err := NewHollow(hollowConfig(t, strings.TrimPrefix(service.URL, "http://"), 10),
		func(l policy.EndpointList) { seen <- l })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	expect := func(kind policy.ListKind, endpoints int) {
		t.Helper()
		if l := <-seen; l.Kind != kind || len(l.Endpoints) != endpoints {
			t.Errorf("list: got kind %d with %d servers, want kind %d with %d servers", l.Kind, len(l.Endpoints), kind, endpoints)
		}
	}
	expect(policy.ListCached, 0)
	full, change := fmt.Sprintf(hollowList, 1, true, "a"), fmt.Sprintf(hollowList, 2, false, "b")
	responses <- full
	expect(policy.ListReplace, 1)
	responses <- change
	expect(policy.ListUpdate, 1)
	got := h.Traffic()
	if got.Responses != 2 || got.Calls < 2 || got.Received < uint64(len(full)+len(change)) || got.Sent == 0 {
		t.Errorf("traffic: got %+v, want 2 Responses, 2 or more Calls, Received at least the bytes of both lists, Sent above 0",
			got)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
