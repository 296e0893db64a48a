package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// testClientConfig is that of a client of the list service at the addresses.
func testClientConfig(t *testing.T, addresses string) ClientConfig {
	t.Helper()
	known, err := ParseList([]byte(nodetest.KnownList("127.0.0.1:9")))
	if err != nil {
		t.Fatal(err)
	}
	dial := nodetest.Dialer(t)
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return ClientConfig{Target: NewTarget(addresses, "", policy.Settings{}), Known: known, Seed: 0x1f, Dial: dial}
}

// startWatch plays answers to the calls in turn, then holds the rest, and returns what the client notified of
// and the queries that it made. An answer that is no JSON object is sent with status 503.
func startWatch(t *testing.T, subscribe bool, answers ...string) (d *Client, updates chan Update, queries chan string) {
	t.Helper()
	queries, updates = make(chan string, 100), make(chan Update, 100)
	calls := make(chan string, len(answers))
	for _, a := range answers {
		calls <- a
	}
	addr := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("index")
		select {
		case a := <-calls:
			if !strings.HasPrefix(a, "{") {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = io.WriteString(w, a)
		default:
			<-r.Context().Done()
		}
	})
	c := testClientConfig(t, addr)
	c.Subscribe = subscribe
	d = NewClient(c, func(u Update) { updates <- u })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); nodetest.Receive(t, "the end of discovery", ended) })
	return d, updates, queries
}

func wantRevisions(t *testing.T, queries chan string, want ...string) {
	t.Helper()
	for i, w := range want {
		if got := nodetest.Receive(t, "a call", queries); got != w {
			t.Errorf("call %d asked for what is newer than %s, want %s", i, got, w)
		}
	}
}

func TestChangesArriveInOrder(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, queries := startWatch(t, false, nodetest.ListChange(8, nodetest.ListEntry("s1", "up")), nodetest.ListChange(9), nodetest.ListChange(10, nodetest.ListEntry("s1", "draining")),
			`{"revision":11,"complete":true,"members":[`+nodetest.ListEntry("s2", "up")+`]}`)
		for i, want := range []struct {
			kind   policy.ListKind
			server string
			phase  policy.Availability
		}{{policy.ListUpdate, "s1", policy.Running}, {policy.ListUpdate, "s1", policy.Draining},
			{policy.ListReplace, "s2", policy.Running}} {
			n := nodetest.Receive(t, "an update", updates)
			if n.Kind != want.kind || len(n.Endpoints) != 1 || n.Endpoints[0].ID != want.server ||
				n.Endpoints[0].Availability != want.phase {
				t.Errorf("update %d: %+v", i, n)
			}
		}
		wantRevisions(t, queries, "7", "8", "9", "10", "11")
	})
}

// A pushed list that can't be had, or read, leaves the last one in force, and says nothing.
func TestFailuresKeepTheLastList(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, queries := startWatch(t, false, "down", `{"revision":`, nodetest.ListChange(9, nodetest.ListEntry("s1", "odd")), `{"members":[]}`,
			nodetest.ListChange(8, nodetest.ListEntry("s1", "up")))
		if n := nodetest.Receive(t, "an update", updates); n.Kind != policy.ListUpdate || n.Endpoints[0].ID != "s1" {
			t.Errorf("update %+v", n)
		}
		wantRevisions(t, queries, "7", "7", "7", "7", "7", "8")
		if len(updates) != 0 {
			t.Errorf("notified also of %+v", <-updates)
		}
	})
}

// With Subscribe the node says when to watch, and is notified of each failure once.
func TestSubscribedClientNotifiesOfFailures(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		d, updates, queries := startWatch(t, true, "down", nodetest.ListChange(8, nodetest.ListEntry("s1", "up")), nodetest.ListChange(8))
		d.SetWatching(true)
		if n := nodetest.Receive(t, "the failure", updates); n.Kind != policy.ListUnavailable {
			t.Errorf("update %+v", n)
		}
		wantRevisions(t, queries, "7")
		if len(queries) != 0 {
			t.Error("called again before the module asked")
		}
		d.SetWatching(true)
		if n := nodetest.Receive(t, "the change", updates); n.Kind != policy.ListUpdate || len(n.Endpoints) != 1 {
			t.Errorf("update %+v", n)
		}
		wantRevisions(t, queries, "7", "8", "8")
	})
}

// The agent of a pushed list may hold a drain as soon as it is back; a node that pauses past the
// rule's grace would go on sending to that server.
func TestBackoffStaysWithinTheGraceOfDrains(t *testing.T) {
	last := time.Duration(0)
	for i := range 20 {
		next := nextBackoff(last)
		if next < last || next <= 0 || next > 200*time.Millisecond {
			t.Fatalf("pause %d: %v after %v", i, next, last)
		}
		last = next
	}
}

func TestMalformedListsNameTheField(t *testing.T) {
	for raw, want := range map[string]string{
		`[]`:               "array",
		`{"members":[]}`:   "revision: missing",
		`{"revision":"x"}`: "revision",
		nodetest.ListChange(1, nodetest.ListEntry("", "up")):                                           "members[0].id",
		nodetest.ListChange(1, nodetest.ListEntry("a", "x")):                                           "members[0].phase",
		nodetest.ListChange(1, `{"id":"a","phase":"up","host_port":"nowhere"}`):                        "members[0].host_port",
		nodetest.ListChange(1, `{"id":"a","phase":"up","host_port":"127.0.0.1:9","up_since_ms":-1}`):   "members[0].up_since_ms",
		nodetest.ListChange(1, `{"id":"a","phase":"up","host_port":"127.0.0.1:9","up_since_ms":1e99}`): "members[0].up_since_ms",
	} {
		if _, err := ParseList([]byte(raw)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want it to name %q", raw, err, want)
		}
	}
}

// When the list service's address changes, the client hangs up on the old one, takes the whole list from the new
// one, whose revisions may be others, and watches there.
func TestRetarget(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		times := newTimeouts(policy.Settings{})
		for _, subscribe := range []bool{false, true} {
			d, updates, queries := startWatch(t, subscribe)
			if subscribe {
				d.SetWatching(true)
			}
			wantRevisions(t, queries, "7")
			moved := make(chan string, 100)
			d.Retarget(Target{nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
				moved <- r.URL.RawQuery
				if r.URL.RawQuery == "" {
					_, _ = io.WriteString(w, `{"revision":3,"complete":true,"members":[`+nodetest.ListEntry("s9", "draining")+`]}`)
					return
				}
				<-r.Context().Done()
			}), subscribe, times, ""})
			if n := nodetest.Receive(t, "the list", updates); n.Kind != policy.ListReplace || n.Endpoints[0].ID != "s9" {
				t.Errorf("subscribe %v: update %+v", subscribe, n)
			}
			for _, want := range []string{"", fmt.Sprint("index=3&wait=", times.Wait.Milliseconds())} {
				if got := nodetest.Receive(t, "a call to the new address", moved); got != want {
					t.Errorf("subscribe %v: asked for %q, want %q", subscribe, got, want)
				}
			}
			if len(queries) != 0 || len(updates) != 0 {
				t.Errorf("subscribe %v: the old address was called again, or a failure notified", subscribe)
			}
		}
	})
}

// A change of the address is followed at once also while the node waits before it watches again after a failure.
func TestRetargetAfterAFailure(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		d, updates, _ := startWatch(t, true, "down")
		d.SetWatching(true)
		if n := nodetest.Receive(t, "the failure", updates); n.Kind != policy.ListUnavailable {
			t.Fatalf("update %+v", n)
		}
		d.Retarget(Target{nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
			_, _ = io.WriteString(w, `{"revision":3,"complete":true,"members":[`+nodetest.ListEntry("s9", "up")+`]}`)
		}), true, newTimeouts(policy.Settings{}), ""})
		if n := nodetest.Receive(t, "the list", updates); n.Kind != policy.ListReplace {
			t.Errorf("update %+v", n)
		}
	})
}
