package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

// Hollow is a node without client and server sockets, for measuring the cost of the rest of a node. Its configuration,
// list client, event loop, connection pools, balancer and fleet membership are the production code.
//
// A Hollow is either run by Run on the machine's clock, or stepped from one goroutine, which calls Restore first and
// then the other methods in any order. Advance sets the clock of a stepped Hollow forward.
type Hollow struct {
	loop    *loop
	config  config.Config // kept in memory because a node keeps it too, for its successor
	traffic *trafficCounters
}

// Traffic counts what the list client of a hollow node wrote to its connections and read from them.
type Traffic struct {
	Sent, Received   uint64 // bytes
	Calls, Responses uint64
}

// Add returns t + o.
func (t Traffic) Add(o Traffic) Traffic {
	return Traffic{t.Sent + o.Sent, t.Received + o.Received, t.Calls + o.Calls, t.Responses + o.Responses}
}

// Since returns t - o, the traffic since an earlier count.
func (t Traffic) Since(o Traffic) Traffic {
	return Traffic{t.Sent - o.Sent, t.Received - o.Received, t.Calls - o.Calls, t.Responses - o.Responses}
}

// trafficCounters are the counters of a Traffic.
type trafficCounters struct{ sent, received, calls, responses atomic.Uint64 }

// NewHollow returns a hollow node with a configuration from config.Load. If onList is not nil, it is called with each
// list after the balancer has applied that list, in the goroutine that calls the balancer.
func NewHollow(c config.Config, onList func(policy.EndpointList)) (*Hollow, error) {
	h := &Hollow{config: c, traffic: new(trafficCounters)}
	dial := c.Dialer(discovery.MaxQueueTime)
	c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trafficConn{Conn: conn, traffic: h.traffic}, nil
	}
	metrics := newMetrics(c.Settings.Classes)
	l, err := newLoop(c, clock{start: time.Now()}, newTransport(c, new(upstream.Descriptors), metrics), metrics)
	if err != nil {
		return nil, err
	}
	if onList != nil {
		l.balancer = listObserver{l.balancer, onList}
	}
	h.loop = l
	return h, nil
}

// listObserver is a balancer that calls onList with each list that it has applied.
type listObserver struct {
	balancer
	onList func(policy.EndpointList)
}

// Handle passes the event to the wrapped balancer.
func (o listObserver) Handle(now policy.Time, ev policy.Event) []policy.Action {
	actions := o.balancer.Handle(now, ev)
	if list, ok := ev.(policy.EndpointList); ok {
		o.onList(list)
	}
	return actions
}

// Run runs the node until ctx ends: it watches the list and, if the configuration has a fleet, is a member of it.
func (h *Hollow) Run(ctx context.Context) error {
	fleet, err := h.loop.joinFleet(h.config)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.loop.listClient.Run(ctx) })
	if fleet != nil {
		wg.Go(func() { h.loop.followFleet(ctx, fleet.Subscribe()) })
		wg.Go(func() { fleet.Run(ctx) })
	}
	h.loop.run(ctx, h.config.Known.Endpoints, nil)
	return nil
}

// Restore applies the known list of the configuration, as a node without a cached list does at its start.
func (h *Hollow) Restore() {
	h.loop.handle(endpointUpdate{discovery.Update{Kind: policy.ListCached, Endpoints: h.config.Known.Endpoints}})
}

// ApplyList parses a response of the list service and applies it.
func (h *Hollow) ApplyList(response []byte) error {
	l, err := discovery.ParseList(response)
	if err != nil {
		return err
	}
	h.loop.listClient.Apply(l)
	h.loop.handleQueued()
	return nil
}

// Reconfigure applies a changed configuration.
func (h *Hollow) Reconfigure(c config.Config) {
	h.loop.handle(configChanged{c})
	h.config = c
}

// Advance sets the clock forward and fires the timers that are then due.
func (h *Hollow) Advance(by time.Duration) {
	h.loop.clock.start = h.loop.clock.start.Add(-by)
	h.loop.fireTimers()
}

// Decide passes a request to the balancer and returns the server to send it to. sent is false if there is none.
func (h *Hollow) Decide(r policy.Request) (server string, sent bool) { return h.handle(r) }

// ReportOutcome reports the outcome of an attempt to the balancer. It returns the server for a retry; sent is false if
// there is no retry.
func (h *Hollow) ReportOutcome(o policy.Outcome) (server string, sent bool) { return h.handle(o) }

// handle passes an event of a request to the balancer and executes its actions, except that it returns the server of a
// Send instead of sending. A Hollow has no open requests, so actions on a request have no effect.
func (h *Hollow) handle(ev policy.Event) (server string, sent bool) {
	for _, a := range h.loop.balancer.Handle(h.loop.clock.now(), ev) {
		if a.Kind == policy.Send {
			server, sent = a.Server, true
			continue
		}
		h.loop.execute(a)
	}
	return server, sent
}

// Servers returns the number of servers listed, or retained though the list lacks them.
func (h *Hollow) Servers() int {
	listed, _ := h.loop.balancer.Servers()
	return listed
}

// Unavailable returns how many of the servers that Servers counts currently get no requests, because they are ejected or
// draining.
func (h *Hollow) Unavailable() int {
	_, unavailable := h.loop.balancer.Servers()
	return unavailable
}

// Traffic returns the traffic of the list client so far.
func (h *Hollow) Traffic() Traffic {
	return Traffic{Sent: h.traffic.sent.Load(), Received: h.traffic.received.Load(), Calls: h.traffic.calls.Load(),
		Responses: h.traffic.responses.Load()}
}

// trafficConn counts a connection's bytes, calls and responses. The list client has one call in flight at a time, so the
// first read after a write is the start of a response.
type trafficConn struct {
	net.Conn
	traffic     *trafficCounters
	callPending atomic.Bool
}

// Write writes to the connection, and counts a call unless one is already waiting for its response.
func (c *trafficConn) Write(b []byte) (int, error) {
	if !c.callPending.Swap(true) {
		c.traffic.calls.Add(1)
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// Read reads from the connection, and counts a response at the first bytes after a call.
func (c *trafficConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.traffic.received.Add(uint64(n)); n > 0 && c.callPending.Swap(false) {
		c.traffic.responses.Add(1)
	}
	return n, err
}
