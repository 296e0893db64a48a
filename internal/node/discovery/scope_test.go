package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
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
func startScopedWatch(t *testing.T, scope string, answers ...scopedAnswer) (d *Client, told chan Update, calls chan *http.Request) {
	t.Helper()
	told, calls = make(chan Update, 100), make(chan *http.Request, 100)
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
	d = NewClient(c, func(u Update) { told <- u })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); nodetest.Receive(t, "the end of discovery", ended) })
	return d, told, calls
}

func wantCalls(t *testing.T, calls chan *http.Request, want ...string) {
	t.Helper()
	for i, uri := range want {
		if got := nodetest.Receive(t, "a call", calls).URL.RequestURI(); got != uri {
			t.Errorf("call %d is for %s, want %s", i, got, uri)
		}
	}
}

func wantUpdate(t *testing.T, told chan Update, kind policy.ListKind, ids ...string) {
	t.Helper()
	n := nodetest.Receive(t, "the news", told)
	var got []string
	for _, m := range n.Endpoints {
		got = append(got, m.ID)
	}
	if diff := cmp.Diff(ids, got); diff != "" || n.Kind != kind {
		t.Errorf("told kind %v: %s", n.Kind, diff)
	}
}

const listURI = "/registry/instances"

// watchOf is the URI of a watch from a revision on.
func watchOf(revision int, scope string) string {
	return fmt.Sprintf("%s?index=%d&wait=%d%s", listURI, revision, newTimeouts(policy.Settings{}).Wait.Milliseconds(), scope)
}

// Without the section, calls for the list are what they were before there was one, byte for byte, whatever the
// answers' headers say.
func TestCallsWithoutAScope(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, told, calls := startScopedWatch(t, "", scopedAnswer{true, nodetest.ListChange(8, nodetest.ListEntry("s9", "up"))})
		first := nodetest.Receive(t, "a call", calls)
		diff := cmp.Diff(http.Header{"User-Agent": {"Go-http-client/1.1"}}, first.Header)
		if uri := first.URL.RequestURI(); uri != watchOf(7, "") || diff != "" {
			t.Errorf("called %s with other headers: %s", uri, diff)
		}
		wantUpdate(t, told, policy.ListUpdate, "s9")
		wantCalls(t, calls, watchOf(8, ""))
	})
}

// With a scope the node begins with a whole list of it, and watches in it. A scope that changes is fetched whole.
func TestCallsWithAScope(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		d, told, calls := startScopedWatch(t, testScope, scopedAnswer{true, nodetest.FullList(30, nodetest.ListEntry("s1", "up"))},
			scopedAnswer{true, nodetest.ListChange(31, nodetest.ListEntry("s1", "draining"))}, scopedAnswer{true, nodetest.ListChange(40)})
		wantUpdate(t, told, policy.ListReplace, "s1")
		wantUpdate(t, told, policy.ListUpdate, "s1")
		wantCalls(t, calls, listURI+"?"+testScope, watchOf(30, "&"+testScope), watchOf(31, "&"+testScope), watchOf(40, "&"+testScope))
		if len(told) != 0 {
			t.Errorf("told of an answer with nothing new: %+v", <-told)
		}
		times := newTimeouts(policy.Settings{})
		addrs := strings.TrimSuffix(strings.TrimPrefix(d.addresses[0], "http://"), listURI)
		d.Retarget(Target{Addresses: addrs, Scope: "service=c", Timeouts: times})
		wantCalls(t, calls, listURI+"?service=c")
		d.Retarget(Target{Addresses: addrs, Timeouts: times})
		wantCalls(t, calls, listURI)
	})
}

// A list service that ignores the scope is followed as ever. Where one that heeds it takes its place, changes of the
// scope are not added to the whole list: the list of the scope is called for, and the other way round.
func TestScopeHeededAndIgnored(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		_, told, calls := startScopedWatch(t, testScope, scopedAnswer{false, nodetest.FullList(30, nodetest.ListEntry("s1", "up"), nodetest.ListEntry("s2", "up"))},
			scopedAnswer{false, nodetest.ListChange(31, nodetest.ListEntry("s3", "up"))},
			scopedAnswer{true, nodetest.ListChange(32, nodetest.ListEntry("s4", "up"))},
			scopedAnswer{true, nodetest.FullList(32, nodetest.ListEntry("s1", "up"), nodetest.ListEntry("s4", "up"))},
			scopedAnswer{false, nodetest.ListChange(33, nodetest.ListEntry("s5", "up"))})
		wantUpdate(t, told, policy.ListReplace, "s1", "s2")
		wantUpdate(t, told, policy.ListUpdate, "s3")
		wantUpdate(t, told, policy.ListReplace, "s1", "s4")
		all, scope := listURI+"?"+testScope, "&"+testScope
		wantCalls(t, calls, all, watchOf(30, scope), watchOf(31, scope), all, watchOf(32, scope), all)
		if len(told) != 0 {
			t.Errorf("told %+v", <-told)
		}
	})
}

// A refusal of the scope is told with its reason.
func TestScopeRefused(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		c := testClientConfig(t, nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "service: unknown: a, b", http.StatusNotFound)
		}))
		c.Scope = testScope
		d := NewClient(c, func(Update) {})
		defer d.http.CloseIdleConnections()
		_, err := d.watch(context.Background())
		if want := "answered 404 Not Found: service: unknown: a, b"; err == nil || err.Error() != want {
			t.Errorf("got %v, want %s", err, want)
		}
	})
}
