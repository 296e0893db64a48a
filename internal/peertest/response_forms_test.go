package peertest_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sloerail/internal/peertest"
	"sloerail/internal/testcluster"
)

const (
	siteOrderWait = 2500 * time.Millisecond // the deadline of the class, far over its latency objective
	longBody      = 206_647                 // over what a node buffers
)

// siteSettings are settings in which a class's client waits for longer than its latency objective, as on the operators' sites.
func siteSettings() map[string]any {
	settings := pressureSettings()
	settings["services"] = []map[string]any{
		{"name": "meter-read", "aim": 1500, "deadline": 3000, "repeat": "free"},
		{"name": "service-order", "aim": 750, "deadline": siteOrderWait.Milliseconds(), "repeat": "guarded", "group": "cell", "window": 12000},
		{"name": "bill-charge", "aim": 2500, "deadline": 6000, "repeat": "single_shot"},
	}
	return settings
}

// newSiteRig starts a node with a quarter of a core and the operators' settings.
func newSiteRig(t *testing.T, servers int) *pressureRig {
	t.Helper()
	return newPressureRig(t, testcluster.NodeSpec{Cores: pressureCores, MemoryMB: 64, Sockets: 384, Settings: siteSettings()}, servers, 0)
}

func (r *pressureRig) siteOrder() peertest.Request {
	q := r.order()
	q.Wait = siteOrderWait
	return q
}

// Guards against a long response without a length that is cut off at its class's latency objective, while its client still
// waits and its server has sent the head but not yet the body.
func TestLateBodyIsNotCutOffAtTheLatencyObjective(t *testing.T) {
	r := newSiteRig(t, 6)
	for _, late := range []time.Duration{700 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
		for _, framing := range []peertest.Framing{peertest.ContentLength, peertest.Chunked, peertest.UntilClose} {
			t.Run(fmt.Sprint("body after ", late, ", framing ", framing), func(t *testing.T) {
				t.Parallel()
				q := r.siteOrder()
				q.Behavior = peertest.ServerBehavior{BodyDelay: late, Size: longBody, Framing: framing, WriteRate: 100_000}
				if got := q.Do(r.ctx, r.node.Listen); got.Status != http.StatusOK || !got.Whole || got.Bytes != longBody {
					t.Errorf("long response whose body comes %v after its head, wait %v: got %v, want %d bytes, whole", late, q.Wait, got, longBody)
				}
			})
		}
	}
}

// earlyHeadCase is a request whose response's head comes before its server has read it.
type earlyHeadCase struct {
	body, writeRate int
	behavior        peertest.ServerBehavior
	served          bool // the server is quick enough
}

const (
	shortUpload = 400_000   // more than a node reads before it forwards the rest
	longUpload  = 1_600_000 // takes a server that reads slowly longer than its client waits
)

// Guards against a response whose head comes before its server has read the request and that counts as begun then: the node
// gave its end up seconds after the client's time.
func TestHeadBeforeTheRequestIsReadLeavesTheRequestItsTime(t *testing.T) {
	testEarlyHeads(t, []int{200, 30_000, 90_200, longBody}, map[string]earlyHeadCase{
		"server reads at once":  {shortUpload, 0, peertest.ServerBehavior{}, true},
		"server reads steadily": {shortUpload, 0, peertest.ServerBehavior{ReadRate: 400_000}, true},
		"server reads slowly":   {longUpload, 0, peertest.ServerBehavior{ReadRate: 60_000}, false},
		"server stops reading":  {shortUpload, 0, peertest.ServerBehavior{StopReading: 20_000}, false},
	})
}

// Guards against a request that is no longer forwarded once its response has begun, so that its server never gets the rest, and
// the response is cut off.
func TestRequestIsForwardedOnBehindAnEarlyResponse(t *testing.T) {
	cases := make(map[string]earlyHeadCase)
	for _, early := range []int{0, 1000, 20_000} {
		cases[fmt.Sprint("client writes steadily, ", early, " bytes early")] =
			earlyHeadCase{shortUpload, 100_000, peertest.ServerBehavior{EarlyBody: early}, true}
		cases[fmt.Sprint("server reads slowly, ", early, " bytes early")] =
			earlyHeadCase{shortUpload, 100_000, peertest.ServerBehavior{EarlyBody: early, ReadRate: 120_000}, true}
	}
	testEarlyHeads(t, []int{30_000, longBody}, cases)
}

func testEarlyHeads(t *testing.T, sizes []int, cases map[string]earlyHeadCase) {
	r := newSiteRig(t, 6)
	for name, c := range cases {
		for _, framing := range []peertest.Framing{peertest.ContentLength, peertest.Chunked, peertest.UntilClose} {
			for _, size := range sizes {
				t.Run(fmt.Sprint(name, ", framing ", framing, ", ", size, " bytes"), func(t *testing.T) {
					t.Parallel()
					q := r.siteOrder()
					q.BodySize, q.WriteRate, q.Behavior = c.body, c.writeRate, c.behavior
					q.Behavior.EarlyHead, q.Behavior.Framing, q.Behavior.Size = true, framing, max(size, 2*c.behavior.EarlyBody)
					got := q.Do(r.ctx, r.node.Listen)
					isWhole := got.Whole && (got.Status != http.StatusOK || got.Bytes == int64(q.Behavior.Size))
					if !got.IsAnsweredInTime(q.Wait) || !isWhole || c.served && got.Status != http.StatusOK {
						t.Errorf("wait %v: got %v, want a whole final answer in time, 200 if the server is quick enough", q.Wait, got)
					}
				})
			}
		}
	}
}
