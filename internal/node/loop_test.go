package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/http1"
	"sloerail/internal/node/nodetest"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

// scriptedBalancer is a fake balancer that handles each event with respond, and records the events.
type scriptedBalancer struct {
	mu       sync.Mutex
	received []policy.Event
	respond  func(policy.Time, policy.Event) []policy.Action
}

func (s *scriptedBalancer) Handle(now policy.Time, ev policy.Event) []policy.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, ev)
	return s.respond(now, ev)
}

func (s *scriptedBalancer) Servers() (listed, unavailable int)         { return 0, 0 }
func (s *scriptedBalancer) TailLatency() time.Duration                 { return 0 }
func (s *scriptedBalancer) Snapshot(policy.Time) (k policy.Snapshot)   { return k }
func (s *scriptedBalancer) Restore(now policy.Time, _ policy.Snapshot) {}
func (s *scriptedBalancer) InFlight() map[string]int                   { return nil }
func (s *scriptedBalancer) SetSiblingInFlight(map[string]int)          {}
func (s *scriptedBalancer) FleetSize() (quotaNodes, reachable int, partitioned bool) {
	return 0, 0, false
}
func (s *scriptedBalancer) Zones(policy.Time) []policy.ZoneState { return nil }

// events returns short texts of the events received so far.
func (s *scriptedBalancer) events() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, ev := range s.received {
		switch e := ev.(type) {
		case policy.EndpointList:
			all = append(all, fmt.Sprintf("list %d", e.Kind))
		case policy.Request:
			all = append(all, "request "+e.ID)
		case policy.Outcome:
			all = append(all, fmt.Sprintf("outcome %s %d code %d ended %v", e.ID, e.Attempt, e.Code, e.RequestEnded))
		case policy.ClientCancelled:
			all = append(all, "cancelled "+e.ID)
		case policy.Timer:
			all = append(all, fmt.Sprintf("timer %d", e.Token))
		}
	}
	return all
}

// expectEvents waits until the balancer has received len(want) events, and checks that they are those of want.
func (s *scriptedBalancer) expectEvents(t *testing.T, want ...string) {
	t.Helper()
	nodetest.Await(t, strings.Join(want, ", "), func() bool { return len(s.events()) >= len(want) })
	if got := s.events(); !reflect.DeepEqual(got, want) {
		t.Errorf("events received by the balancer: got\n%q, want\n%q", got, want)
	}
}

// startLoop runs a loop around a scripted balancer until the test ends. The list has one server, s0, at addr.
func startLoop(
	t *testing.T, addr string, respond func(policy.Time, policy.Event) []policy.Action,
) (*loop, *scriptedBalancer) {
	t.Helper()
	c := testConfig(t, nodetest.KnownList(addr))
	metrics := newMetrics(c.Settings.Classes)
	up := newTransport(c, testDescriptors(200), metrics)
	l, err := newLoop(c, clock{start: time.Now()}, up, metrics)
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedBalancer{respond: respond}
	l.balancer = s
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { l.run(ctx, c.Known.Endpoints, nil); close(ended) }()
	t.Cleanup(func() {
		cancel()
		nodetest.Receive(t, "the loop to end", ended)
		up.CloseIdle()
	})
	return l, s
}

// sendRequest sends the loop a new GET request with the given client timeout.
func (l *loop) sendRequest(id string, timeout time.Duration) *downstream.Exchange {
	x := testExchange(http.MethodGet, id, "")
	x.ReceivedAt, x.Timeout = l.clock.now(), timeout
	l.send(requestReceived{x})
	return x
}

// sendActions returns n Send actions for a request, to s0.
func sendActions(id string, n int) (all []policy.Action) {
	for range n {
		all = append(all, policy.Action{Kind: policy.Send, ID: id, Server: "s0"})
	}
	return all
}

// sendOnce sends each request once, to s0. It is a respond function for startLoop.
func sendOnce(_ policy.Time, ev policy.Event) []policy.Action {
	if e, ok := ev.(policy.Request); ok {
		return sendActions(e.ID, 1)
	}
	return nil
}

// The balancer gets the known list before any request, and the only outcome of a served request says that the request
// has ended.
func TestEventOrder(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		addr := nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "yes") })
		l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return sendActions(e.ID, 1)
			case policy.Outcome:
				return []policy.Action{{Kind: policy.SetTimer, Token: 77, Wait: time.Millisecond}}
			}
			return nil
		})
		x := l.sendRequest("r1", nodetest.Timeout)
		if a := nodetest.Receive(t, "the response", x.Reply); a.Status != 200 || string(a.Body) != "yes" {
			t.Errorf("response: got status %d, body %q, want 200, yes", a.Status, a.Body)
		}
		s.expectEvents(t, "list 2", "request r1", "outcome r1 0 code 0 ended true", "timer 77")
	})
}

// Attempts over the limit are not made. They keep their index and have the outcome NotAttempted.
func TestAttemptsOverLimitAreSkipped(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		var served sync.WaitGroup
		served.Add(3)
		addr := nodetest.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
			served.Done()
			served.Wait() // all allowed attempts reach the server before one is answered
			w.WriteHeader(http.StatusInternalServerError)
		})
		skipped := make(chan policy.Outcome, 2)
		l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return sendActions(e.ID, 4)
			case policy.Outcome:
				if e.Code == policy.NotAttempted {
					skipped <- e
				}
			}
			return nil
		})
		l.sendRequest("r1", nodetest.Timeout)
		if o := nodetest.Receive(t, "the outcome of the skipped attempt", skipped); o.Attempt != 3 || o.RequestEnded {
			t.Errorf("outcome of the skipped attempt: got %+v, want attempt 3 of a request that has not ended", o)
		}
		nodetest.Await(t, "six events: the list, the request and four outcomes", func() bool { return len(s.events()) == 6 })
	})
}

// After the final response no attempt is sent, and an attempt in flight still gets its outcome.
func TestNoAttemptsAfterResponse(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		arrived := make(chan string, 4)
		addr := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			arrived <- r.Header.Get("X-Request-Id")
			<-r.Context().Done()
		})
		l, s := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return append(sendActions(e.ID, 1), policy.Action{Kind: policy.SetTimer, Token: 1, Wait: time.Nanosecond})
			case policy.Timer:
				<-arrived // the attempt has reached the server
				return []policy.Action{{Kind: policy.Fail, ID: "r1"}, {Kind: policy.Reject, ID: "r1"},
					{Kind: policy.Send, ID: "r1", Server: "s0"}, {Kind: policy.Cancel, ID: "r1", Attempt: 0}}
			}
			return nil
		})
		x := l.sendRequest("r1", nodetest.Timeout)
		if a := nodetest.Receive(t, "the response", x.Reply); a.Status != http.StatusBadGateway {
			t.Errorf("status: got %d, want 502, the status of a Fail action", a.Status)
		}
		s.expectEvents(t, "list 2", "request r1", "timer 1", fmt.Sprintf("outcome r1 1 code %d ended true", policy.NotAttempted),
			fmt.Sprintf("outcome r1 0 code %d ended true", policy.Cancelled))
		if len(arrived) != 0 || len(x.Reply) != 0 {
			t.Errorf("after the response: got %d further attempts and %d further responses, want 0 of each", len(arrived), len(x.Reply))
		}
	})
}

// The backstop answers a request that the balancer does not answer.
func TestBackstopAnswersForSilentBalancer(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
		x := l.sendRequest("r1", 200*time.Millisecond)
		if a := nodetest.Receive(t, "the response", x.Reply); a.Status != http.StatusGatewayTimeout {
			t.Errorf("status: got %d, want 504", a.Status)
		}
		if end := x.ReceivedAt + x.Timeout; l.clock.now() > end+nodetest.Timeout/2 {
			t.Errorf("the response came %v after the client's timeout, want at most half of nodetest.Timeout", l.clock.now()-end)
		}
		s.expectEvents(t, "list 2", "request r1", "cancelled r1")
	})
}

// An attempt ends before the client's timeout even if the balancer's deadline is later, and the server gets the earlier
// deadline in X-Deadline-Ms.
func TestAttemptTimeoutIsCappedByDeadline(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		deadlines := make(chan string, 1)
		addr := nodetest.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			deadlines <- r.Header.Get("X-Deadline-Ms")
			<-r.Context().Done()
		})
		l, _ := startLoop(t, addr, func(now policy.Time, ev policy.Event) []policy.Action {
			switch e := ev.(type) {
			case policy.Request:
				return []policy.Action{{Kind: policy.Send, ID: e.ID, Server: "s0", AttemptDeadline: now + time.Hour}}
			case policy.Outcome:
				return []policy.Action{{Kind: policy.Fail, ID: e.ID}}
			}
			return nil
		})
		x := l.sendRequest("r1", 2*time.Second)
		if ms, err := strconv.Atoi(nodetest.Receive(t, "the request at the server", deadlines)); err != nil || ms > 2000 {
			t.Errorf("X-Deadline-Ms at the server: got %d, error %v, want at most 2000, the client's timeout",
				ms, err)
		}
		if a := nodetest.Receive(t, "the response", x.Reply); a.Status < 500 {
			t.Errorf("status of a timed-out request: got %d, want 500 or above", a.Status)
		}
	})
}

// The node rejects a second open request with the same ID, and requests over maxOpen, without asking the balancer.
func TestNodeRejectsDuplicateAndSurplusRequests(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
		l.sendRequest("r1", nodetest.Timeout)
		if a := nodetest.Receive(t, "the response",
			l.sendRequest("r1", nodetest.Timeout).Reply); a.Status != http.StatusConflict {
			t.Errorf("duplicate request: got status %d, want 409", a.Status)
		}
		for i := 2; i <= l.maxOpen; i++ {
			l.sendRequest(fmt.Sprint("r", i), nodetest.Timeout)
		}
		if a := nodetest.Receive(t, "the response",
			l.sendRequest("more", nodetest.Timeout).Reply); a.Status != http.StatusServiceUnavailable {
			t.Errorf("request over maxOpen: got status %d, want 503", a.Status)
		}
		if n := len(s.events()); n != 1+l.maxOpen {
			t.Errorf("events received by the balancer: got %d, want one for the list and one for each of %d requests", n, l.maxOpen)
		}
	})
}

// failUnanswered fails open requests, and later requests are rejected without asking the balancer.
func TestFailUnanswered(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		l, s := startLoop(t, "127.0.0.1:9", func(policy.Time, policy.Event) []policy.Action { return nil })
		x := l.sendRequest("r1", nodetest.Timeout)
		l.send(failUnanswered{})
		if a := nodetest.Receive(t, "the response", x.Reply); a.Status != http.StatusBadGateway {
			t.Errorf("status of the open request: got %d, want 502", a.Status)
		}
		s.expectEvents(t, "list 2", "request r1", "cancelled r1")
		// The ID is free again, so this request is not a duplicate.
		if a := nodetest.Receive(t, "the response",
			l.sendRequest("r1", nodetest.Timeout).Reply); a.Status != http.StatusServiceUnavailable {
			t.Errorf("status of a request after failUnanswered: got %d, want 503", a.Status)
		}
		s.expectEvents(t, "list 2", "request r1", "cancelled r1")
	})
}

// A request that has ended leaves nothing in memory, even if its deadline is far off.
func TestEndedRequestsAreDropped(t *testing.T) {
	l := &loop{clock: clock{start: time.Now()}, requests: make(map[string]*request),
		endpoints: make(map[string]discovery.Endpoint), metrics: newMetrics(nil)}
	l.balancer = &scriptedBalancer{respond: func(_ policy.Time, ev policy.Event) []policy.Action {
		if e, ok := ev.(policy.Request); ok {
			return []policy.Action{{Kind: policy.Reject, ID: e.ID}}
		}
		return nil
	}}
	for i := range 50 {
		l.handle(requestReceived{testExchange(http.MethodGet, fmt.Sprint(i), "")})
	}
	if len(l.requests) != 0 || len(l.timers) != 0 || l.unanswered != 0 {
		t.Errorf("kept after all requests ended: got %d requests, %d timers and %d unanswered requests, want 0 of each",
			len(l.requests), len(l.timers), l.unanswered)
	}
}

func TestClockFromUnixMilli(t *testing.T) {
	c := clock{start: time.UnixMilli(1_700_000_000_000)}
	for ms, want := range map[int64]policy.Time{
		0:                        0,
		1_700_000_000_000:        timeOrigin,
		1_700_000_000_000 - 2000: timeOrigin - 2*time.Second, // a server started before the node may still be in slow start
		1_700_000_000_000 + 500:  timeOrigin + 500*time.Millisecond,
		1_600_000_000_000:        0,
		1:                        0,
		1<<53 - 1:                2 * timeOrigin,
	} {
		if got := c.fromUnixMilli(ms); got != want {
			t.Errorf("fromUnixMilli(%d): got %v, want %v", ms, got, want)
		}
	}
}

// Guards against a request that its backstop fails although enough of a long response has arrived, because the loop was held up
// when the response was due.
func TestBackstopLeavesAResponseThatHasBegun(t *testing.T) {
	const timeout, requests = 400 * time.Millisecond, 20 // it depends on which of two events the loop takes first
	for i := range requests {
		nodetest.Bubble(t, func(t *testing.T) {
			addr := nodetest.RawServer(t, func(c net.Conn, r *bufio.Reader) {
				if nodetest.ReadRequest(r) {
					_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n")
					_, _ = c.Write(make([]byte, upstream.StreamStartBytes))
					time.Sleep(2 * timeout)
					_, _ = c.Write(make([]byte, http1.MaxBufferedBodyBytes))
				}
			})
			l, _ := startLoop(t, addr, func(_ policy.Time, ev policy.Event) []policy.Action {
				switch e := ev.(type) {
				case policy.Request:
					return append(sendActions(e.ID, 1), policy.Action{Kind: policy.SetTimer, Wait: timeout / 2})
				case policy.Timer:
					time.Sleep(timeout) // holds the loop up
				}
				return nil
			})
			x := l.sendRequest(fmt.Sprint("r", i), timeout)
			if a := nodetest.Receive(t, "the response", x.Reply); a.Status != http.StatusOK || a.Stream == nil {
				t.Errorf("request %d: got status %d, want the start of the server's response", i, a.Status)
			} else if err := a.Stream.CopyTo(io.Discard, a.Body); err != nil {
				t.Errorf("request %d: rest of the response: got error %v, want none", i, err)
			}
		})
	}
}

// Guards against a long response that is cut off at the end of a shutdown, while its start is held back.
func TestEndOfShutdownPassesOnAResponseThatHasBegun(t *testing.T) {
	const size = 2 * http1.MaxBufferedBodyBytes
	for name, c := range map[string]struct {
		head  string
		start int // bytes of the body that have come by then
	}{
		"length, head alone": {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), 0},
		"length, a byte":     {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size), 1},
		"no length":          {"HTTP/1.0 200 OK\r\n\r\n", upstream.StreamStartBytes},
	} {
		t.Run(name, func(t *testing.T) {
			nodetest.Bubble(t, func(t *testing.T) {
				addr := nodetest.RawServer(t, func(conn net.Conn, r *bufio.Reader) {
					if nodetest.ReadRequest(r) {
						_, _ = io.WriteString(conn, c.head)
						_, _ = conn.Write(make([]byte, c.start))
						time.Sleep(time.Second)
						_, _ = conn.Write(make([]byte, size-c.start))
					}
				})
				l, _ := startLoop(t, addr, sendOnce)
				x := l.sendRequest("r", nodetest.Timeout)
				time.Sleep(100 * time.Millisecond)
				l.send(failUnanswered{})
				ended := time.Now()
				a := nodetest.Receive(t, "the response", x.Reply)
				if took := time.Since(ended); a.Status != http.StatusOK || a.Stream == nil || took > 0 {
					t.Fatalf("got status %d after %v, want the start of the server's response at once", a.Status, took)
				}
				var rest bytes.Buffer
				if err := a.Stream.CopyTo(&rest, a.Body); err != nil || rest.Len() != size {
					t.Errorf("response: got %d bytes, error %v; want %d", rest.Len(), err, size)
				}
			})
		})
	}
}
