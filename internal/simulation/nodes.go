package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// node is one node: its module and its open requests.
type node struct {
	name, zone string
	balancer   *policy.Balancer
	requests   map[string]*request
	down       bool
	knownDown  bool // as gone, by fronts
}

// request is a client's try at a node, until it is answered and its attempts are over.
type request struct {
	client       *emulator.ClientAttempt
	generator    *generator
	node         *node
	attemptCount int
	attempt      *attempt // the attempt that is out
	answered     bool
}

func (w *Simulation) addNodes(seed uint64) error {
	n := 0
	for _, z := range w.Zones {
		n += z.Nodes
	}
	for _, z := range w.Zones {
		for range z.Nodes {
			i := len(w.nodes)
			m, err := policy.New(w.settings(z, i, n), w.now, seed*1000+uint64(i))
			if err != nil {
				return err
			}
			d := &node{name: fmt.Sprintf("n%03d", i), zone: z.Name, balancer: m, requests: make(map[string]*request)}
			w.nodes = append(w.nodes, d)
			w.deliver(d, policy.EndpointList{Kind: policy.ListCached, Endpoints: w.endpoints()})
		}
	}
	return nil
}

// settings are those of a node, as the platform and the places section would give them.
func (w *Simulation) settings(z Zone, i, n int) policy.Settings {
	s := policy.Settings{NodeIndex: i, NodeCount: n, Zone: z.Name, WeightByWork: true,
		Allowed: policy.Allowed{MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: 3 * time.Second, IdleTimeout: time.Minute},
		Rules: policy.Rules{DrainGrace: 1500 * time.Millisecond, SlowStartMinCapacity: 0.13, SlowStartDuration: 24 * time.Second,
			OverloadMultiple: 2.5, OverloadDuration: 3 * time.Second}}
	if w.Reports == nil || *w.Reports {
		s.ReportFields = []string{"latency_ms", "util", "qps"}
	}
	for _, t := range w.Tenants() {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Share * w.QuotaFor(n), Share: t.Share})
	}
	repeats := map[emulator.RetrySafety]policy.RetrySafety{emulator.Idempotent: policy.Idempotent, emulator.IdempotencyKeyed: policy.IdempotencyKeyed}
	for _, c := range w.classes {
		k := policy.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, RetrySafety: repeats[c.RetrySafety], DedupWindow: c.DedupWindow, PriorityWeight: c.PriorityWeight}
		for _, b := range w.Bindings {
			if b.Class == c.Name {
				k.Regions, k.Zones = b.Regions, b.Zones
			}
		}
		s.Classes = append(s.Classes, k)
	}
	if w.Topology {
		s.Topology = &policy.Topology{RegionOfZone: make(map[string]string), SameRegionCost: 1, OtherRegionCost: 3}
		for _, z := range w.Zones {
			s.Topology.RegionOfZone[z.Name] = z.Region
		}
	}
	return s
}

// deliver hands an event to a node's module and carries out what it wants.
func (w *Simulation) deliver(n *node, ev policy.Event) {
	if n.down {
		return
	}
	acts := append([]policy.Action(nil), n.balancer.Handle(w.now, ev)...)
	for _, a := range acts {
		w.carryOut(n, a)
	}
}

func (w *Simulation) carryOut(n *node, a policy.Action) {
	switch a.Kind {
	case policy.Send:
		w.sendAttempt(n, a)
	case policy.Reject:
		status := 503
		if a.Wait > 0 {
			status = 429
		}
		w.respond(n, a.ID, status, a.Wait)
	case policy.Fail:
		w.respond(n, a.ID, 502, 0)
	case policy.Cancel:
		if o := n.requests[a.ID]; o != nil && o.attempt != nil {
			w.finish(o.attempt, policy.Cancelled, nil)
		}
	case policy.SetTimer:
		w.after(a.Wait, func() { w.deliver(n, policy.Timer{Token: a.Token}) })
	case policy.Log:
		w.outcome.RecordTimeline(w.now, n.name, a.Text)
	}
}

// dispatchAttempt hands a try to a node near its client, or to any while none there is up.
func (w *Simulation) dispatchAttempt(g *generator, t *emulator.ClientAttempt) {
	if t.Number == 0 {
		w.outcome.RecordRequest(g.zone, t)
	}
	n := nextNode(g, g.nodes)
	if n == nil {
		n = nextNode(g, w.nodes)
	}
	if n == nil || n.down {
		w.after(sameZoneLatency, func() { w.endTry(g, t, 0, 0) })
		w.Checker.ConnectionFailed(w.now, t.ID, fmt.Errorf("%s: no node", g.zone), true)
		return
	}
	o := &request{client: t, node: n, generator: g}
	n.requests[t.ID] = o
	w.Checker.RequestAccepted(w.now, t)
	w.after(t.Timeout, func() {
		if !o.answered {
			o.answered = true
			w.deliver(n, policy.ClientCancelled{ID: t.ID})
			w.Checker.RequestTimedOut(t.ID)
			w.endTry(g, t, 0, 0)
			w.releaseIfDone(o)
		}
	})
	w.deliver(n, policy.Request{ID: t.ID, Class: t.Class.Name, Tenant: t.Tenant, Key: t.Key, Timeout: t.Timeout - 10*time.Millisecond,
		ClientRetry: t.Number > 0, Write: t.Class.RetrySafety != emulator.Idempotent})
}

// respond gives a try its final answer.
func (w *Simulation) respond(n *node, id string, status int, wait time.Duration) {
	o := n.requests[id]
	if o == nil || o.answered {
		return
	}
	o.answered = true
	w.Checker.ResponseReceived(w.now, id, status)
	w.endTry(o.generator, o.client, status, wait)
	w.releaseIfDone(o)
}

func (w *Simulation) releaseIfDone(o *request) {
	if o.answered && o.attempt == nil {
		delete(o.node.requests, o.client.ID)
	}
}

// setNodesDown kills the nodes of a zone, or starts new ones in their place.
func (w *Simulation) setNodesDown(zone string, on bool) {
	for i, n := range w.nodes {
		if n.zone != zone {
			continue
		}
		if !on {
			var z Zone
			for _, z = range w.Zones {
				if z.Name == zone {
					break
				}
			}
			m, err := policy.New(w.settings(z, i, len(w.nodes)), w.now, uint64(w.sequence))
			if err != nil { // the same settings were taken before
				panic(err)
			}
			n.balancer, n.down, n.knownDown = m, false, false
			w.deliver(n, policy.EndpointList{Kind: policy.ListCached, Endpoints: w.endpoints()})
			continue
		}
		n.down = true
		w.after(detectionDelay, func() { n.knownDown = n.down })
		for _, id := range slices.Sorted(maps.Keys(n.requests)) {
			o := n.requests[id]
			o.answered = true
			w.Checker.ConnectionBroken(w.now, o.client.ID, true)
			w.endTry(o.generator, o.client, 0, 0)
		}
		clear(n.requests)
	}
}
