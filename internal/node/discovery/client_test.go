package discovery

import (
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

// testClientConfig returns the configuration of a client of the list service at the addresses.
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

// startWatch runs a client against a list service that sends the responses in turn and holds further calls. It returns
// the client, its updates and the index parameters of its calls. A response that isn't a JSON object is sent with
// status 503.
func startWatch(t *testing.T, subscribe bool, responses ...string) (client *Client, updates chan Update, queries chan string) {
	t.Helper()
	queries = make(chan string, 100)
	pending := make(chan string, len(responses))
	for _, response := range responses {
		pending <- response
	}
	addr := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.Query().Get("index")
		select {
		case response := <-pending:
			if !strings.HasPrefix(response, "{") {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = io.WriteString(w, response)
		default:
			<-r.Context().Done()
		}
	})
	c := testClientConfig(t, addr)
	c.Subscribe = subscribe
	client, updates, _ = runClient(t, c)
	return client, updates, queries
}

// wantRevisions checks the index parameters of the next calls.
func wantRevisions(t *testing.T, queries chan string, want ...string) {
	t.Helper()
	for i, w := range want {
		if got := nodetest.Receive(t, "a call to the list service", queries); got != w {
			t.Errorf("index of call %d: got %q, want %q", i, got, w)
		}
	}
}

func TestChangesArriveInOrder(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, queries := startWatch(t, false, nodetest.ListChange(8, nodetest.ListEntry("s1", "up")), nodetest.ListChange(9), nodetest.ListChange(10, nodetest.ListEntry("s1", "draining")),
			`{"revision":11,"complete":true,"members":[`+nodetest.ListEntry("s2", "up")+`]}`)
		for i, want := range []struct {
			kind         policy.ListKind
			id           string
			availability policy.Availability
		}{{policy.ListUpdate, "s1", policy.Running}, {policy.ListUpdate, "s1", policy.Draining},
			{policy.ListReplace, "s2", policy.Running}} {
			update := nodetest.Receive(t, "an update", updates)
			if update.Kind != want.kind || len(update.Endpoints) != 1 || update.Endpoints[0].ID != want.id ||
				update.Endpoints[0].Availability != want.availability {
				t.Errorf("update %d: got %+v, want %+v", i, update, want)
			}
		}
		wantRevisions(t, queries, "7", "8", "9", "10", "11")
	})
}

// Without Subscribe, failed calls and malformed lists leave the last list in use and cause no update.
func TestFailuresKeepTheLastList(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, queries := startWatch(t, false, "down", `{"revision":`, nodetest.ListChange(9, nodetest.ListEntry("s1", "odd")), `{"members":[]}`,
			nodetest.ListChange(8, nodetest.ListEntry("s1", "up")))
		if update := nodetest.Receive(t, "an update", updates); update.Kind != policy.ListUpdate || update.Endpoints[0].ID != "s1" {
			t.Errorf("update after the failures: got %+v, want a change of s1", update)
		}
		wantRevisions(t, queries, "7", "7", "7", "7", "7", "8")
		if len(updates) != 0 {
			t.Errorf("got a further update %+v, want none", <-updates)
		}
	})
}

// With Subscribe, the node decides when to watch, and is notified of each failure once.
func TestSubscribedClientNotifiesOfFailures(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		client, updates, queries := startWatch(t, true, "down", nodetest.ListChange(8, nodetest.ListEntry("s1", "up")), nodetest.ListChange(8))
		client.SetWatching(true)
		if update := nodetest.Receive(t, "the failure", updates); update.Kind != policy.ListUnavailable {
			t.Errorf("update after a failed watch: got %+v, want kind ListUnavailable", update)
		}
		wantRevisions(t, queries, "7")
		if len(queries) != 0 {
			t.Error("call for the list after a failure and before SetWatching, want none")
		}
		client.SetWatching(true)
		if update := nodetest.Receive(t, "the change", updates); update.Kind != policy.ListUpdate || len(update.Endpoints) != 1 {
			t.Errorf("update after SetWatching: got %+v, want a change of 1 endpoint", update)
		}
		wantRevisions(t, queries, "7", "8", "8")
	})
}

// The backoff grows to at most 200 ms. The list service may have a drain to report as soon as it is reachable again: a
// node with a long backoff would still send requests to the draining server after its grace period.
func TestBackoffIsBounded(t *testing.T) {
	last := time.Duration(0)
	for i := range 20 {
		next := nextBackoff(last)
		if next < last || next <= 0 || next > 200*time.Millisecond {
			t.Fatalf("backoff %d: got %v after %v, want more than 0, at least the backoff before it, and at most 200ms", i, next, last)
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
			t.Errorf("list %s: got error %v, want one that contains %q", raw, err, want)
		}
	}
}

// When the address of the list service changes, the client fetches the full list from the new address, because the revisions
// may differ there, and then watches at the new address. Its call to the old address ends then.
func TestRetarget(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		timeouts := newTimeouts(policy.Settings{})
		for _, subscribe := range []bool{false, true} {
			client, updates, queries := startWatch(t, subscribe)
			if subscribe {
				client.SetWatching(true)
			}
			wantRevisions(t, queries, "7")
			newQueries := make(chan string, 100)
			client.Retarget(Target{nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
				newQueries <- r.URL.RawQuery
				if r.URL.RawQuery == "" {
					_, _ = io.WriteString(w, `{"revision":3,"complete":true,"members":[`+nodetest.ListEntry("s9", "draining")+`]}`)
					return
				}
				<-r.Context().Done()
			}), subscribe, timeouts, ""})
			if update := nodetest.Receive(t, "the list", updates); update.Kind != policy.ListReplace || update.Endpoints[0].ID != "s9" {
				t.Errorf("subscribe %v: update after Retarget: got %+v, want a full list with s9", subscribe, update)
			}
			for _, want := range []string{"", fmt.Sprint("index=3&wait=", timeouts.Wait.Milliseconds())} {
				if got := nodetest.Receive(t, "a call to the new address", newQueries); got != want {
					t.Errorf("subscribe %v: query to the new address: got %q, want %q", subscribe, got, want)
				}
			}
			if len(queries) != 0 || len(updates) != 0 {
				t.Errorf("subscribe %v: call to the old address or a further update after Retarget, want neither", subscribe)
			}
		}
	})
}

// Retarget takes effect at once even while the client waits for SetWatching after a failure.
func TestRetargetAfterAFailure(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		client, updates, _ := startWatch(t, true, "down")
		client.SetWatching(true)
		if update := nodetest.Receive(t, "the failure", updates); update.Kind != policy.ListUnavailable {
			t.Fatalf("update after a failed watch: got %+v, want kind ListUnavailable", update)
		}
		client.Retarget(Target{nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
			}
			_, _ = io.WriteString(w, `{"revision":3,"complete":true,"members":[`+nodetest.ListEntry("s9", "up")+`]}`)
		}), true, newTimeouts(policy.Settings{}), ""})
		if update := nodetest.Receive(t, "the list", updates); update.Kind != policy.ListReplace {
			t.Errorf("update after Retarget: got %+v, want a full list", update)
		}
	})
}
