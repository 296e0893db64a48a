package discovery

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// heldCall is a call to a list service, which holds it until the test answers it or the client gives it up.
type heldCall struct {
	query   string
	answer  chan<- string // takes the list, without blocking
	givenUp <-chan struct{}
}

// holdingService starts a list service that holds its calls.
func holdingService(t *testing.T) (addr string, calls <-chan heldCall) {
	t.Helper()
	received := make(chan heldCall, 100)
	return nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		answer := make(chan string, 1)
		received <- heldCall{r.URL.RawQuery, answer, r.Context().Done()}
		select {
		case list := <-answer:
			_, _ = io.WriteString(w, list)
		case <-r.Context().Done():
		}
	}), received
}

// targetTest is a client whose target a test changes.
type targetTest struct {
	*testing.T
	client    *Client
	updates   chan Update
	subscribe bool
}

// newTargetTest starts a client, and returns its first call.
func newTargetTest(t *testing.T, subscribe bool) (*targetTest, heldCall) {
	t.Helper()
	addr, calls := holdingService(t)
	c := testClientConfig(t, addr)
	c.Subscribe = subscribe
	d := &targetTest{T: t, subscribe: subscribe}
	d.client, d.updates, _ = runClient(t, c)
	d.client.SetWatching(true)
	return d, nodetest.Receive(t, "the first call", calls)
}

// retarget switches the client to another list service, and returns the call to it.
func (d *targetTest) retarget() heldCall {
	d.Helper()
	addr, calls := holdingService(d.T)
	d.client.Retarget(Target{addr, d.subscribe, newTimeouts(policy.Settings{}), ""})
	c := nodetest.Receive(d.T, "a call to the new target", calls)
	if c.query != "" {
		d.Errorf("query of the first call to a new target: got %q, want none", c.query)
	}
	return c
}

// wantUpdate fails the test unless the next update names the server.
func (d *targetTest) wantUpdate(id string) {
	d.Helper()
	if u := nodetest.Receive(d.T, "the update with "+id, d.updates); len(u.Endpoints) != 1 || u.Endpoints[0].ID != id {
		d.Errorf("got update %+v, want one with %s", u, id)
	}
}

// forSubscribe runs a test on real connections, with Subscribe and without.
func forSubscribe(t *testing.T, test func(t *testing.T, subscribe bool)) {
	for _, subscribe := range []bool{false, true} {
		t.Run(fmt.Sprint("subscribe ", subscribe), func(t *testing.T) {
			t.Parallel()
			test(t, subscribe)
		})
	}
}

// Guards against a drain that is not learned while new targets follow each other: each gave up the call to the one before,
// just before its response. Each call is answered only once the next one has arrived.
func TestListIsLearnedDuringTargetsInARow(t *testing.T) {
	forSubscribe(t, func(t *testing.T, subscribe bool) {
		d, former := newTargetTest(t, subscribe)
		for i := range 6 {
			current := d.retarget()
			select {
			case <-former.givenUp:
				t.Fatalf("target %d: the call to the target before was given up without a response", i)
			default:
			}
			id := fmt.Sprint("s", i)
			former.answer <- nodetest.FullList(100+i, nodetest.ListEntry(id, "draining"))
			d.wantUpdate(id)
			former = current
		}
	})
}

// However many targets follow each other, a bounded number of calls is in progress, and the oldest are waited for.
func TestOldestCallsAreWaitedFor(t *testing.T) {
	forSubscribe(t, func(t *testing.T, subscribe bool) {
		d, first := newTargetTest(t, subscribe)
		calls := []heldCall{first}
		for range 6 {
			calls = append(calls, d.retarget())
		}
		for i, c := range calls[maxFormerCalls : len(calls)-1] {
			nodetest.Receive(t, fmt.Sprint("the end of call ", maxFormerCalls+i), c.givenUp)
		}
		for i, c := range calls[:maxFormerCalls] {
			id := fmt.Sprint("s", i)
			c.answer <- nodetest.FullList(100+i, nodetest.ListEntry(id, "up"))
			d.wantUpdate(id)
		}
		calls[len(calls)-1].answer <- nodetest.FullList(3, nodetest.ListEntry("last", "up"))
		d.wantUpdate("last")
	})
}

// The response to a call counts only if no newer call was answered before: the former calls are given up then.
func TestNewerListIsNotReplacedByAnOlderOne(t *testing.T) {
	forSubscribe(t, func(t *testing.T, subscribe bool) {
		d, first := newTargetTest(t, subscribe)
		second, third := d.retarget(), d.retarget()
		second.answer <- nodetest.FullList(9, nodetest.ListEntry("s2", "up"))
		d.wantUpdate("s2")
		nodetest.Receive(t, "the end of the oldest call", first.givenUp)
		third.answer <- nodetest.FullList(3, nodetest.ListEntry("s3", "up"))
		d.wantUpdate("s3")
		if len(d.updates) != 0 {
			t.Errorf("got a further update %+v, want none", <-d.updates)
		}
	})
}

// A former call that fails changes nothing, and the call to the current target goes on.
func TestFailedFormerCallIsIgnored(t *testing.T) {
	forSubscribe(t, func(t *testing.T, subscribe bool) {
		d, first := newTargetTest(t, subscribe)
		second := d.retarget()
		first.answer <- `{"revision":`
		second.answer <- nodetest.FullList(3, nodetest.ListEntry("s2", "up"))
		d.wantUpdate("s2")
	})
}

// Settings that leave the list service as it is don't give up the call to it. A shorter timeout holds for that call too.
func TestCallGoesOnIfTheListServiceStays(t *testing.T) {
	forSubscribe(t, func(t *testing.T, subscribe bool) {
		d, first := newTargetTest(t, subscribe)
		target := Target{d.client.addresses[0], subscribe, newTimeouts(policy.Settings{}), ""}
		d.client.Retarget(target)
		first.answer <- nodetest.ListChange(8, nodetest.ListEntry("s1", "draining"))
		d.wantUpdate("s1")

		d, first = newTargetTest(t, subscribe)
		target.Addresses = d.client.addresses[0]
		target.Timeouts.Watch = 100 * time.Millisecond
		begin := time.Now()
		d.client.Retarget(target)
		nodetest.Receive(t, "the end of the call", first.givenUp)
		if took := time.Since(begin); took >= newTimeouts(policy.Settings{}).Watch {
			t.Errorf("call after a reload with a timeout of 100ms: given up after %v, want the new timeout", took)
		}
	})
}
