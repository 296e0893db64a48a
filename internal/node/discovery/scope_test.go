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

// scopedAnswer is what a list service answers, within the scope or not.
type scopedAnswer struct {
	scoped bool
	body   string
}

// startScopedWatch watches a list service that plays answers in turn, and then holds the calls.
func startScopedWatch(t *testing.T, scope string, answers ...scopedAnswer) (d *Client, updates chan Update, calls chan *http.Request) {
	t.Helper()
	updates, calls = make(chan Update, 100), make(chan *http.Request, 100)
	next := make(chan scopedAnswer, len(answers))
	for _, a := range answers {
		next <- a
	}
	c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		calls <- r
		select {
		case a := <-next:
			if a.scoped {
				w.Header().Set(scopedHeader, "true")
			}
			_, _ = io.WriteString(w, a.body)
		default:
			<-r.Context().Done()
		}
	}))
	c.Scope = scope
	d = NewClient(c, func(u Update) { updates <- u })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); nodetest.Receive(t, "the end of discovery", ended) })
	return d, updates, calls
}

func wantCalls(t *testing.T, calls chan *http.Request, want ...string) {
	t.Helper()
	for i, uri := range want {
		if got := nodetest.Receive(t, "a call", calls).URL.RequestURI(); got != uri {
			t.Errorf("call %d is for %s, want %s", i, got, uri)
		}
	}
}

func wantUpdate(t *testing.T, updates chan Update, kind policy.ListKind, ids ...string) {
	t.Helper()
	n := nodetest.Receive(t, "the update", updates)
	var got []string
	for _, m := range n.Endpoints {
		got = append(got, m.ID)
	}
	if diff := cmp.Diff(ids, got); diff != "" || n.Kind != kind {
		t.Errorf("update of kind %v: %s", n.Kind, diff)
	}
}

// watchOf is the URI of a watch from a revision on.
func watchOf(revision int, scope string) string {
	return fmt.Sprintf("%s?index=%d&wait=%d%s", listPath, revision, newTimeouts(policy.Settings{}).Wait.Milliseconds(), scope)
}

// Without the section, calls for the list are what they were before there was one, byte for byte, whatever the
// answers' headers say.
func TestCallsWithoutAScope(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, calls := startScopedWatch(t, "", scopedAnswer{true, nodetest.ListChange(8, nodetest.ListEntry("s9", "up"))})
		first := nodetest.Receive(t, "a call", calls)
		diff := cmp.Diff(http.Header{"User-Agent": {"Go-http-client/1.1"}}, first.Header)
		if uri := first.URL.RequestURI(); uri != watchOf(7, "") || diff != "" {
			t.Errorf("called %s with other headers: %s", uri, diff)
		}
		wantUpdate(t, updates, policy.ListUpdate, "s9")
		wantCalls(t, calls, watchOf(8, ""))
	})
}

// With a scope the node begins with a whole list of it, and watches in it. A scope that changes is fetched whole.
func TestCallsWithAScope(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		d, updates, calls := startScopedWatch(t, testScope, scopedAnswer{true, nodetest.FullList(30, nodetest.ListEntry("s1", "up"))},
			scopedAnswer{true, nodetest.ListChange(31, nodetest.ListEntry("s1", "draining"))}, scopedAnswer{true, nodetest.ListChange(40)})
		wantUpdate(t, updates, policy.ListReplace, "s1")
		wantUpdate(t, updates, policy.ListUpdate, "s1")
		wantCalls(t, calls, listPath+"?"+testScope, watchOf(30, "&"+testScope), watchOf(31, "&"+testScope), watchOf(40, "&"+testScope))
		if len(updates) != 0 {
			t.Errorf("notified of an answer with nothing new: %+v", <-updates)
		}
		times := newTimeouts(policy.Settings{})
		d.Retarget(Target{Addresses: d.addresses[0], Scope: "service=c", Timeouts: times})
		wantCalls(t, calls, listPath+"?service=c")
		d.Retarget(Target{Addresses: d.addresses[0], Timeouts: times})
		wantCalls(t, calls, listPath)
	})
}

// A list service that ignores the scope is followed as ever. Where one that heeds it takes its place, changes of the
// scope are not added to the whole list: the list of the scope is called for, and the other way round.
func TestScopeSupportedAndUnsupported(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, updates, calls := startScopedWatch(t, testScope, scopedAnswer{false, nodetest.FullList(30, nodetest.ListEntry("s1", "up"), nodetest.ListEntry("s2", "up"))},
			scopedAnswer{false, nodetest.ListChange(31, nodetest.ListEntry("s3", "up"))},
			scopedAnswer{true, nodetest.ListChange(32, nodetest.ListEntry("s4", "up"))},
			scopedAnswer{true, nodetest.FullList(32, nodetest.ListEntry("s1", "up"), nodetest.ListEntry("s4", "up"))},
			scopedAnswer{false, nodetest.ListChange(33, nodetest.ListEntry("s5", "up"))})
		wantUpdate(t, updates, policy.ListReplace, "s1", "s2")
		wantUpdate(t, updates, policy.ListUpdate, "s3")
		wantUpdate(t, updates, policy.ListReplace, "s1", "s4")
		all, scope := listPath+"?"+testScope, "&"+testScope
		wantCalls(t, calls, all, watchOf(30, scope), watchOf(31, scope), all, watchOf(32, scope), all)
		if len(updates) != 0 {
			t.Errorf("notified of %+v", <-updates)
		}
	})
}

// A rejection of the scope is an error with the reason.
func TestRejectedScopeGivesTheReason(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "service: unknown: a, b", http.StatusNotFound)
		}))
		c.Scope = testScope
		d := NewClient(c, func(Update) {})
		defer d.http.CloseIdleConnections()
		_, err := d.watch(context.Background())
		var watch *WatchError
		var status *StatusError
		if !errors.As(err, &watch) || watch.Address != c.Addresses || !errors.As(err, &status) {
			t.Fatalf("got %v", err)
		}
		if want := (StatusError{Status: "404 Not Found", Reason: "service: unknown: a, b"}); *status != want {
			t.Errorf("got %+v, want %+v", *status, want)
		}
		if want := "discovery: watch " + c.Addresses + ": answered 404 Not Found: service: unknown: a, b"; err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	})
}
