package simulation

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

const (
	maxAttempts   = 6                     // maximum attempts of a node for each client attempt
	timeoutMargin = 10 * time.Millisecond // a node's timeout is shorter than its client's by this

	// Crossing costs of a request to another zone, for nodes with topology.
	sameRegionCost, otherRegionCost = 1, 3
)

// node is a simulated node: its policy.Balancer and the requests that it handles.
type node struct {
	name, zone string
	balancer   *policy.Balancer
	requests   map[string]*request
	down       bool
	knownDown  bool // the load balancers know that the node is down
}

// request is a client attempt at a node. The node keeps it until it is answered and none of its attempts is in flight.
type request struct {
	clientAttempt *emulator.ClientAttempt
	generator     *generator
	node          *node
	attemptCount  int
	attempt       *attempt // in flight; nil if there is none
	answered      bool     // the client has its response, has timed out or has lost its connection
}

// addNodes adds the nodes of all zones, and gives each the list of servers.
func (s *Simulation) addNodes(seed uint64) error {
	count := 0
	for _, z := range s.Zones {
		count += z.Nodes
	}
	for _, z := range s.Zones {
		for range z.Nodes {
			i := len(s.nodes)
			balancer, err := policy.New(s.settings(z, i, count), s.now, seed*1000+uint64(i))
			if err != nil {
				return err
			}
			n := &node{name: fmt.Sprintf("n%03d", i), zone: z.Name, balancer: balancer, requests: make(map[string]*request)}
			s.nodes = append(s.nodes, n)
			s.deliver(n, policy.EndpointList{Kind: policy.ListCached, Endpoints: s.endpoints()})
		}
	}
	return nil
}

// settings returns the settings of the node with this index among count nodes. The values are those of the
// operators' documentation. The topology is included if the scenario sets Topology.
func (s *Simulation) settings(z Zone, index, count int) policy.Settings {
	settings := policy.Settings{NodeIndex: index, NodeCount: count, Zone: z.Name, WeightByWork: true,
		Allowed: policy.Allowed{MaxAttempts: maxAttempts, RetryAfter: true, MaxRetryAfter: 3 * time.Second, IdleTimeout: time.Minute},
		Rules: policy.Rules{DrainGrace: 1500 * time.Millisecond, SlowStartMinCapacity: 0.13, SlowStartDuration: 24 * time.Second,
			OverloadMultiple: 2.5, OverloadDuration: 3 * time.Second}}
	if s.hasReports() {
		settings.ReportFields = []string{"latency_ms", "util", "qps"}
	}
	for _, t := range s.Tenants() {
		settings.Tenants = append(settings.Tenants, policy.Tenant{Name: t.Name, Quota: t.Share * s.QuotaFor(count), Share: t.Share})
	}
	for _, c := range s.classes {
		settings.Classes = append(settings.Classes, s.policyClass(c))
	}
	if s.Topology {
		settings.Topology = &policy.Topology{RegionOfZone: make(map[string]string), SameRegionCost: sameRegionCost, OtherRegionCost: otherRegionCost}
		for _, zone := range s.Zones {
			settings.Topology.RegionOfZone[zone.Name] = zone.Region
		}
	}
	return settings
}

var retrySafeties = map[emulator.RetrySafety]policy.RetrySafety{
	emulator.Idempotent: policy.Idempotent, emulator.IdempotencyKeyed: policy.IdempotencyKeyed}

// policyClass converts a class of the clients to a class of the nodes' settings, with its bindings.
func (s *Simulation) policyClass(c emulator.Class) policy.Class {
	class := policy.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline,
		RetrySafety: retrySafeties[c.RetrySafety], DedupWindow: c.DedupWindow, PriorityWeight: c.PriorityWeight}
	for _, binding := range s.Bindings {
		if binding.Class == c.Name {
			class.Regions, class.Zones = binding.Regions, binding.Zones
		}
	}
	return class
}

// deliver passes an event to a node's balancer and executes the actions that it returns. A node that is down ignores
// events.
func (s *Simulation) deliver(n *node, event policy.Event) {
	if n.down {
		return
	}
	// Clone the slice: executing an action may deliver another event, and then Handle reuses the slice.
	for _, action := range slices.Clone(n.balancer.Handle(s.now, event)) {
		s.execute(n, action)
	}
}

// execute executes an action of a node. Actions that the simulation doesn't model, such as probes and messages to peers,
// have no effect.
func (s *Simulation) execute(n *node, action policy.Action) {
	switch action.Kind {
	case policy.Send:
		s.sendAttempt(n, action)
	case policy.Reject:
		status := http.StatusServiceUnavailable
		if action.Wait > 0 {
			status = http.StatusTooManyRequests
		}
		s.respond(n, action.ID, status, action.Wait)
	case policy.Fail:
		s.respond(n, action.ID, http.StatusBadGateway, 0)
	case policy.Cancel:
		if r := n.requests[action.ID]; r != nil && r.attempt != nil {
			s.endAttempt(r.attempt, policy.Cancelled, nil)
		}
	case policy.SetTimer:
		s.after(action.Wait, func() { s.deliver(n, policy.Timer{Token: action.Token}) })
	case policy.Log:
		s.outcome.RecordTimeline(s.now, n.name, action.Text)
	}
}

// dispatchAttempt sends a client attempt to a node of its zone, or to a node of any zone if all nodes of its zone are
// known to be down. The attempt fails if all nodes of all zones are known to be down, or if the chosen node is down.
func (s *Simulation) dispatchAttempt(g *generator, attempt *emulator.ClientAttempt) {
	if attempt.Number == 0 {
		s.outcome.RecordRequest(g.zone, attempt)
	}
	n := g.pickNode(g.nodes)
	if n == nil {
		n = g.pickNode(s.nodes)
	}
	if n == nil || n.down {
		s.after(sameZoneLatency, func() { s.endClientAttempt(g, attempt, 0, 0) })
		s.Checker.ConnectionFailed(s.now, attempt.ID, fmt.Errorf("%s: %w", g.zone, errNoNode), true)
		return
	}
	r := &request{clientAttempt: attempt, node: n, generator: g}
	n.requests[attempt.ID] = r
	s.Checker.RequestAccepted(s.now, attempt)
	s.after(attempt.Timeout, func() { s.cancel(r) })
	s.deliver(n, policy.Request{ID: attempt.ID, Class: attempt.Class.Name, Tenant: attempt.Tenant, Key: attempt.Key,
		Timeout: attempt.Timeout - timeoutMargin, ClientRetry: attempt.Number > 0, Write: attempt.Class.RetrySafety != emulator.Idempotent})
}

// errNoNode is the error of a client attempt if all nodes are known to be down, or if the chosen node is down.
var errNoNode = errors.New("no node accepts the connection")

// cancel ends a request whose client timed out.
func (s *Simulation) cancel(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	s.deliver(r.node, policy.ClientCancelled{ID: r.clientAttempt.ID})
	s.Checker.RequestTimedOut(r.clientAttempt.ID)
	s.endClientAttempt(r.generator, r.clientAttempt, 0, 0)
	s.removeIfDone(r)
}

// respond sends the final response of a client attempt. It has no effect if the attempt is already answered.
func (s *Simulation) respond(n *node, id string, status int, retryAfter time.Duration) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.Checker.ResponseReceived(s.now, id, status)
	s.endClientAttempt(r.generator, r.clientAttempt, status, retryAfter)
	s.removeIfDone(r)
}

// removeIfDone removes a request from its node once it is answered and none of its attempts is in flight.
func (s *Simulation) removeIfDone(r *request) {
	if r.answered && r.attempt == nil {
		delete(r.node.requests, r.clientAttempt.ID)
	}
}

// setNodesDown kills the nodes of a zone, or replaces them by new ones.
func (s *Simulation) setNodesDown(zone string, down bool) {
	for i, n := range s.nodes {
		switch {
		case n.zone != zone:
		case down:
			s.killNode(n)
		default:
			s.restartNode(i, n)
		}
	}
}

// killNode stops a node and ends its requests without a response. Load balancers know after detectionDelay.
func (s *Simulation) killNode(n *node) {
	n.down = true
	s.after(detectionDelay, func() { n.knownDown = n.down })
	for _, id := range slices.Sorted(maps.Keys(n.requests)) { // in a fixed order, so that runs with the same seed are equal
		r := n.requests[id]
		r.answered = true
		s.Checker.ConnectionBroken(s.now, id, true)
		s.endClientAttempt(r.generator, r.clientAttempt, 0, 0)
	}
	clear(n.requests)
}

// restartNode replaces the balancer of a killed node by a new one.
func (s *Simulation) restartNode(index int, n *node) {
	zone := s.Zones[slices.IndexFunc(s.Zones, func(z Zone) bool { return z.Name == n.zone })]
	balancer, err := policy.New(s.settings(zone, index, len(s.nodes)), s.now, uint64(s.sequence))
	if err != nil { // these settings were accepted when the node was added
		panic(err)
	}
	n.balancer, n.down, n.knownDown = balancer, false, false
	s.deliver(n, policy.EndpointList{Kind: policy.ListCached, Endpoints: s.endpoints()})
}
