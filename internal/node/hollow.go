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

// Hollow is a node without the sockets of clients and servers, for measuring what a node costs beside them. Its
// configuration, list client, event loop, connection pools, decision module and membership are those that ship.
//
// Either Run runs it on the machine's clock, or one goroutine steps it: Restore first, then the other methods in any
// order. Between steps its clock can be set forward.
type Hollow struct {
	loop    *loop
	config  config.Config // a node keeps it for its successor
	traffic *traffic
}

// Traffic is what the list client of a hollow node wrote to its sockets and read from them.
type Traffic struct {
	Sent, Received uint64 // bytes
	Calls, Answers uint64
}

// Plus is the sum of two.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{t.Sent + o.Sent, t.Received + o.Received, t.Calls + o.Calls, t.Answers + o.Answers}
}

// Since is what passed after an earlier count.
func (t Traffic) Since(o Traffic) Traffic {
	return Traffic{t.Sent - o.Sent, t.Received - o.Received, t.Calls - o.Calls, t.Answers - o.Answers}
}

// traffic counts under way.
type traffic struct{ sent, received, calls, answers atomic.Uint64 }

// NewHollow makes a hollow node of a configuration as config.Load reads it. It calls seen, unless that is nil, with each
// list that the balancer has taken, in the goroutine that took it.
func NewHollow(c config.Config, seen func(policy.EndpointList)) (*Hollow, error) {
	h := &Hollow{config: c, traffic: new(traffic)}
	dial := c.Dialer(discovery.MaxQueueTime)
	c.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trafficConn{Conn: conn, traffic: h.traffic}, nil
	}
	fig := newFigures(c.Settings.Classes)
	l, err := newLoop(c, clock{start: time.Now()}, newTransport(c, new(upstream.Descriptors), fig), fig)
	if err != nil {
		return nil, err
	}
	if seen != nil {
		l.balancer = listObserver{l.balancer, seen}
	}
	h.loop = l
	return h, nil
}

// listObserver calls seen with each list that the balancer has taken.
type listObserver struct {
	balancer
	seen func(policy.EndpointList)
}

// Handle hands the event on.
func (o listObserver) Handle(now policy.Time, ev policy.Event) []policy.Action {
	actions := o.balancer.Handle(now, ev)
	if list, ok := ev.(policy.EndpointList); ok {
		o.seen(list)
	}
	return actions
}

// Run watches the list, and takes part in the fleet where the configuration has it so, until ctx ends.
func (h *Hollow) Run(ctx context.Context) error {
	fleet, err := h.loop.join(h.config)
	if err != nil {
		return err
	}
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { h.loop.listClient.Run(ctx) })
	if fleet != nil {
		parts.Go(func() { h.loop.followFleet(ctx, fleet.Subscribe()) })
		parts.Go(func() { fleet.Run(ctx) })
	}
	h.loop.run(ctx, h.config.Known.Endpoints, nil)
	return nil
}

// Restore takes the list of the configuration, as a node does at its start.
func (h *Hollow) Restore() {
	h.loop.handle(endpointUpdate{discovery.Update{Kind: policy.ListCached, Endpoints: h.config.Known.Endpoints}})
}

// TakeList reads an answer of the list service and takes it.
func (h *Hollow) TakeList(answer []byte) error {
	l, err := discovery.ParseList(answer)
	if err != nil {
		return err
	}
	h.loop.listClient.Apply(l)
	h.loop.handleQueued()
	return nil
}

// Reconfigure goes over to another configuration.
func (h *Hollow) Reconfigure(c config.Config) {
	h.loop.handle(configChanged{c})
	h.config = c
}

// Advance sets the clock forward, and fires the timers that are then due.
func (h *Hollow) Advance(by time.Duration) {
	h.loop.clock.start = h.loop.clock.start.Add(-by)
	h.loop.fire()
}

// Decide has the balancer decide on a request; sent is false where it goes to no server.
func (h *Hollow) Decide(r policy.Request) (server string, sent bool) { return h.handle(r) }

// End reports the outcome of an attempt. It returns the server that the request then goes to, if it is retried.
func (h *Hollow) End(o policy.Outcome) (server string, sent bool) { return h.handle(o) }

// handle gives the balancer an event of a request, and executes all actions but those that need a client or a server.
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

// Servers counts those in the list.
func (h *Hollow) Servers() int {
	listed, _ := h.loop.balancer.Servers()
	return listed
}

// Unavailable counts those of them that get no work now, ejected or draining.
func (h *Hollow) Unavailable() int {
	_, unavailable := h.loop.balancer.Servers()
	return unavailable
}

// Traffic is what passed so far.
func (h *Hollow) Traffic() Traffic {
	return Traffic{Sent: h.traffic.sent.Load(), Received: h.traffic.received.Load(), Calls: h.traffic.calls.Load(),
		Answers: h.traffic.answers.Load()}
}

// trafficConn counts what passes over a connection. The list client has one call under way at a time, so the first read
// after a write brings an answer.
type trafficConn struct {
	net.Conn
	traffic     *traffic
	callPending atomic.Bool
}

// Write writes a call.
func (c *trafficConn) Write(b []byte) (int, error) {
	if !c.callPending.Swap(true) {
		c.traffic.calls.Add(1)
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// Read reads an answer.
func (c *trafficConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.traffic.received.Add(uint64(n)); n > 0 && c.callPending.Swap(false) {
		c.traffic.answers.Add(1)
	}
	return n, err
}
