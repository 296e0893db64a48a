package node

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/nodetest"
)

// The endings tests use real connections, since they depend on what the kernel does when a connection ends.
// docs/endings.md has a row for each test.

// arrivalRecorder is a server that records when requests reach it.
type arrivalRecorder struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalRecorder) ServeHTTP(http.ResponseWriter, *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// countAfter returns the number of requests that arrived after t.
func (a *arrivalRecorder) countAfter(t time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times {
		if at.After(t) {
			n++
		}
	}
	return n
}

// listCall is a call to the list service, which the test answers through respond.
type listCall struct {
	receivedAt time.Time
	query      map[string][]string
	respond    chan<- http.HandlerFunc
}

// sendList answers the call with a list.
func (c listCall) sendList(list string) {
	c.respond <- func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, list) }
}

// maxWait returns how long the list service may hold the call, from its wait parameter.
func (c listCall) maxWait(t *testing.T) time.Duration {
	t.Helper()
	ms, err := strconv.Atoi(c.query["wait"][0])
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// listService starts a list service that passes its calls to the test. A call that the test doesn't answer is held until
// its caller disconnects.
func listService(t *testing.T) (addr string, calls <-chan listCall) {
	t.Helper()
	received := make(chan listCall, 1000)
	return nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		respond := make(chan http.HandlerFunc, 1)
		received <- listCall{time.Now(), r.URL.Query(), respond}
		select {
		case answer := <-respond:
			answer(w, r)
		case <-r.Context().Done():
		}
	}), received
}

// listEntry returns an entry of a list with the server's address.
func listEntry(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"k","cell":1,"phase":%q,"up_since_ms":0}`, id, addr, phase)
}

// drainTest runs a node with two servers: one begins to drain while the node's watch is broken, the other stays healthy.
type drainTest struct {
	*testing.T
	config.Config
	draining, healthy arrivalRecorder
	drainingAddr      string // the address of the draining server
	calls             <-chan listCall
	changes           chan Change
	node              string
	requests          int
}

func newDrainTest(t *testing.T, subscribe bool, adjust ...func(*config.Config)) *drainTest {
	t.Helper()
	d := &drainTest{T: t, changes: make(chan Change, 1)}
	d.drainingAddr = nodetest.HTTPServer(t, d.draining.ServeHTTP)
	d.Config = testConfig(t, nodetest.KnownList(d.drainingAddr, nodetest.HTTPServer(t, d.healthy.ServeHTTP)))
	d.Discovery, d.calls = listService(t)
	d.Settings.SubscribeList = subscribe
	for _, f := range adjust {
		f(&d.Config)
	}
	d.node, _ = startNodeAt(t, d.Config, Listeners{Clients: nodetest.Listener(t)}, d.changes)
	return d
}

// sendRequest sends a request to the node and expects status 200.
func (d *drainTest) sendRequest() {
	d.Helper()
	d.requests++
	resp, _ := do(d.T, clientRequest(d.T, d.node, "GET", "read", fmt.Sprint("r", d.requests), ""))
	if resp.StatusCode != http.StatusOK {
		d.Errorf("request %d: status %d, want 200", d.requests, resp.StatusCode)
	}
}

// checkDrain sends requests to the node until one has reached the healthy server. It answers the first call c received
// from calls with list(c), which says that the other server drains. No request may reach the draining server later than
// DrainGrace after notifiedAt, the time at which the change counts as delivered to the node. If notifiedAt is zero, the
// time of the answer is used.
func (d *drainTest) checkDrain(notifiedAt time.Time, calls <-chan listCall, list func(c listCall) string) {
	d.Helper()
	for start, listSent := time.Now(), false; !listSent || d.healthy.countAfter(time.Time{}) == 0; {
		d.sendRequest()
		select {
		case c := <-calls:
			if !listSent {
				c.sendList(list(c))
				if listSent = true; notifiedAt.IsZero() {
					notifiedAt = time.Now()
				}
			}
		default:
		}
		if time.Since(start) > nodetest.Timeout {
			d.Fatal("timed out: the node didn't call for the list, or sent no request to the healthy server")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if d.draining.countAfter(time.Time{}) == 0 {
		d.Error("the draining server got no request, want at least one: the test checked nothing")
	}
	if late := d.draining.countAfter(notifiedAt.Add(d.Settings.Rules.DrainGrace)); late > 0 {
		d.Errorf("%d requests reached the draining server later than %v after the change counted as delivered, want 0", late,
			d.Settings.Rules.DrainGrace)
	}
}

// drainUpdate returns the list that tells the node that the first server drains.
func (d *drainTest) drainUpdate(listCall) string {
	return nodetest.ListChange(8, listEntry("s0", d.drainingAddr, "draining"))
}

// A watch that gets no response, or part of one on a connection that stays open, is replaced soon enough that the node
// learns of a missed change before the drain grace is over. For the drain grace, such a change counts as delivered 6 s
// after the watch began, or 2 s after its wait parameter has run out, whichever is later.
func TestDrainIsLearnedAfterSilentWatch(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		for _, partial := range []bool{false, true} {
			t.Run(fmt.Sprintf("subscribe %v/partial list %v", subscribe, partial), func(t *testing.T) {
				t.Parallel()
				d := newDrainTest(t, subscribe)
				silent := nodetest.Receive(t, "the watch that gets no complete response", d.calls)
				if partial {
					silent.respond <- sendPartialList
				}
				d.checkDrain(silent.receivedAt.Add(max(6*time.Second, silent.maxWait(t)+2*time.Second)), d.calls, d.drainUpdate)
			})
		}
	}
}

// A watch that fails (reset, rejected, malformed or endless response) is opened again. With SubscribeList, the list
// service pushes lists, and a change counts as delivered as soon as the service has it and is reachable, even if no
// watch is open. In this test, that is when the service answers the next call. Without SubscribeList, a change counts as
// delivered when it is written to the list service. In this test, that is after the second failed watch.
func TestDrainIsLearnedAfterFailedWatch(t *testing.T) {
	failures := map[string]http.HandlerFunc{
		"reset":   resetCall,
		"refused": rejectCall,
		"rubbish": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"revision":8,"members":[{}]}`)
		},
		"endless": func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 1<<16)); err != nil {
					return
				}
			}
		},
	}
	for name, fail := range failures {
		for _, subscribe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/subscribe %v", name, subscribe), func(t *testing.T) {
				t.Parallel()
				d := newDrainTest(t, subscribe)
				ended := make(chan struct{}, 2)
				for range 2 {
					nodetest.Receive(t, "a watch", d.calls).respond <- func(w http.ResponseWriter, r *http.Request) {
						fail(w, r)
						ended <- struct{}{}
					}
					d.sendRequest()
					nodetest.Receive(t, "the failure of the watch", ended)
				}
				notifiedAt := time.Now()
				if subscribe {
					notifiedAt = time.Time{}
				}
				d.checkDrain(notifiedAt, d.calls, d.drainUpdate)
			})
		}
	}
}

// After a reload with another discovery address, the list of the new service counts as delivered 4 s after the reload,
// even if the first call to the new service gets no response. The node asks the new service for a complete list.
func TestDrainIsLearnedAfterDiscoveryChange(t *testing.T) {
	for _, subscribe := range []bool{true, false} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("subscribe %v/silent %v", subscribe, silent), func(t *testing.T) {
				t.Parallel()
				d := newDrainTest(t, subscribe)
				nodetest.Receive(t, "a watch at the old address", d.calls)
				next := d.Config
				addr, calls := listService(t)
				next.Discovery = addr
				d.changes <- Change{Config: next}
				signal := time.Now()
				if silent {
					nodetest.Receive(t, "the call that gets no response", calls)
				}
				d.checkDrain(signal.Add(4*time.Second), calls, func(c listCall) string {
					if c.query["index"] != nil {
						t.Errorf("call to the new address: got index %v of the old list, want no index", c.query["index"])
					}
					return fmt.Sprintf(`{"revision":3,"complete":true,"members":[%s,%s]}`, listEntry("s0", d.drainingAddr, "draining"),
						listEntry("s1", d.Known.Endpoints[1].Address, "up"))
				})
			})
		}
	}
}
