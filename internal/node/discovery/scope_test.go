package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

const testScope = "service=a&service=b&subset=20&position=3&nodes=9&zone=z"

// scopedResponse is a response of a list service. scoped says whether it is limited to the scope.
type scopedResponse struct {
	scoped bool
	body   string
}

// startScopedWatch runs a client against a list service that sends the responses in turn and holds further calls.
func startScopedWatch(t *testing.T, scope string, responses ...scopedResponse) (client *Client, updates chan Update, calls chan *http.Request) {
	t.Helper()
	updates, calls = make(chan Update, 100), make(chan *http.Request, 100)
	pending := make(chan scopedResponse, len(responses))
	for _, response := range responses {
		pending <- response
	}
	c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		calls <- r
		select {
		case response := <-pending:
			if response.scoped {
				w.Header().Set(scopedHeader, "true")
			}
			_, _ = io.WriteString(w, response.body)
		default:
			<-r.Context().Done()
		}
	}))
	c.Scope = scope
	client = NewClient(c, func(u Update) { updates <- u })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); nodetest.Receive(t, "the end of Run", done) })
	return client, updates, calls
}

// wantCalls checks the URIs of the next calls.
func wantCalls(t *testing.T, calls chan *http.Request, want ...string) {
	t.Helper()
	for i, uri := range want {
		if got := nodetest.Receive(t, "a call to the list service", calls).URL.RequestURI(); got != uri {
			t.Errorf("URI of call %d: got %s, want %s", i, got, uri)
		}
	}
}

// wantUpdate checks the kind and the endpoints of the next update.
func wantUpdate(t *testing.T, updates chan Update, kind policy.ListKind, ids ...string) {
	t.Helper()
	update := nodetest.Receive(t, "the update", updates)
	var got []string
	for _, endpoint := range update.Endpoints {
		got = append(got, endpoint.ID)
	}
	if diff := cmp.Diff(ids, got); diff != "" || update.Kind != kind {
		t.Errorf("update: got kind %v, want %v; endpoints (-want +got):\n%s", update.Kind, kind, diff)
	}
}

// watchURI returns the URI of a watch for changes after a revision.
func watchURI(revision int, scope string) string {
	return fmt.Sprintf("%s?index=%d&wait=%d%s", listPath, revision, newTimeouts(policy.Settings{}).Wait.Milliseconds(), scope)
}

// Without the section "scope", calls to the list service have no scope and no header but User-Agent, whatever the
// headers of the responses say.
func TestCallsWithoutAScope(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, calls := startScopedWatch(t, "", scopedResponse{true, nodetest.ListChange(8, nodetest.ListEntry("s9", "up"))})
		first := nodetest.Receive(t, "a call to the list service", calls)
		diff := cmp.Diff(http.Header{"User-Agent": {"Go-http-client/1.1"}}, first.Header)
		if uri := first.URL.RequestURI(); uri != watchURI(7, "") || diff != "" {
			t.Errorf("first call: got URI %s, want a watch from revision 7; headers (-want +got):\n%s", uri, diff)
		}
		wantUpdate(t, updates, policy.ListUpdate, "s9")
		wantCalls(t, calls, watchURI(8, ""))
	})
}

// With a scope, the client first fetches the full list of the scope, and then watches it. When the scope changes, the
// client fetches the full list again.
func TestCallsWithAScope(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		client, updates, calls := startScopedWatch(t, testScope, scopedResponse{true, nodetest.FullList(30, nodetest.ListEntry("s1", "up"))},
			scopedResponse{true, nodetest.ListChange(31, nodetest.ListEntry("s1", "draining"))}, scopedResponse{true, nodetest.ListChange(40)})
		wantUpdate(t, updates, policy.ListReplace, "s1")
		wantUpdate(t, updates, policy.ListUpdate, "s1")
		wantCalls(t, calls, listPath+"?"+testScope, watchURI(30, "&"+testScope), watchURI(31, "&"+testScope), watchURI(40, "&"+testScope))
		if len(updates) != 0 {
			t.Errorf("got update %+v for a response without changes, want none", <-updates)
		}
		timeouts := newTimeouts(policy.Settings{})
		client.Retarget(Target{Addresses: client.addresses[0], Scope: "service=c", Timeouts: timeouts})
		wantCalls(t, calls, listPath+"?service=c")
		client.Retarget(Target{Addresses: client.addresses[0], Timeouts: timeouts})
		wantCalls(t, calls, listPath)
	})
}

// If a list service ignores the scope, the client watches it all the same. When a list service that supports scopes
// replaces it, changes within the scope are not applied to the unscoped list: the client fetches the full list of the
// scope. It also fetches the full list when a list service that ignores the scope replaces one that supports it.
func TestScopeSupportedAndUnsupported(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, calls := startScopedWatch(t, testScope, scopedResponse{false, nodetest.FullList(30, nodetest.ListEntry("s1", "up"), nodetest.ListEntry("s2", "up"))},
			scopedResponse{false, nodetest.ListChange(31, nodetest.ListEntry("s3", "up"))},
			scopedResponse{true, nodetest.ListChange(32, nodetest.ListEntry("s4", "up"))},
			scopedResponse{true, nodetest.FullList(32, nodetest.ListEntry("s1", "up"), nodetest.ListEntry("s4", "up"))},
			scopedResponse{false, nodetest.ListChange(33, nodetest.ListEntry("s5", "up"))})
		wantUpdate(t, updates, policy.ListReplace, "s1", "s2")
		wantUpdate(t, updates, policy.ListUpdate, "s3")
		wantUpdate(t, updates, policy.ListReplace, "s1", "s4")
		fullListURI, scope := listPath+"?"+testScope, "&"+testScope
		wantCalls(t, calls, fullListURI, watchURI(30, scope), watchURI(31, scope), fullListURI, watchURI(32, scope), fullListURI)
		if len(updates) != 0 {
			t.Errorf("got a further update %+v, want none", <-updates)
		}
	})
}

// The error of a rejected scope holds the reason.
func TestRejectedScopeGivesTheReason(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "service: unknown: a, b", http.StatusNotFound)
		}))
		c.Scope = testScope
		client := NewClient(c, func(Update) {})
		defer client.http.CloseIdleConnections()
		_, err := client.watch(context.Background())
		var watchErr *WatchError
		var statusErr *StatusError
		if !errors.As(err, &watchErr) || watchErr.Address != c.Addresses || !errors.As(err, &statusErr) {
			t.Fatalf("got error %v, want a WatchError of %s that wraps a StatusError", err, c.Addresses)
		}
		if want := (StatusError{Status: "404 Not Found", Reason: "service: unknown: a, b"}); *statusErr != want {
			t.Errorf("StatusError: got %+v, want %+v", *statusErr, want)
		}
		if want := "discovery: watch " + c.Addresses + ": unexpected status 404 Not Found: service: unknown: a, b"; err.Error() != want {
			t.Errorf("error text: got %v, want %s", err, want)
		}
	})
}
