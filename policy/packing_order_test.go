package policy

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// orderSimulation passes random lists, outcomes and settings to one node. The state that the node updates
// incrementally is compared with the same state computed from scratch.
type orderSimulation struct {
	b               *Balancer
	set             Settings
	now             Time
	list            map[string]Endpoint
	sent            int
	pendingOutcomes []Outcome        // outcomes that arrive later
	allSucceed      bool             // no attempt fails, so that probation succeeds
	accepted        []*AcceptedClass // classes of all former settings
}

func newOrderSimulation(t *rapid.T) *orderSimulation {
	set := testSettings(rapid.SampledFrom([]int{1, 3, 7, 300}).Draw(t, "nodes"))
	set.NodeIndex = rapid.IntRange(0, set.NodeCount-1).Draw(t, "node")
	set.RetainMissing = rapid.Bool().Draw(t, "retains")
	set.Classes[1].Kinds = []string{"k1"}
	set.Classes[2].Zones = []string{"b", "c"}
	if rapid.Bool().Draw(t, "reports") {
		set.ReportFields = []string{reportLatency, reportUtil, reportRate}
	}
	if rapid.Bool().Draw(t, "topology") {
		set.Topology = twoRegions(1).Topology
		set.Classes[3].Regions = []string{"north"}
	}
	sim := &orderSimulation{set: set, list: make(map[string]Endpoint)}
	sim.b, _ = New(set, 0, 1)
	sim.handle(EndpointList{Kind: ListCached})
	return sim
}

// handle passes an event to the node. Most attempts that the node then sends get an outcome immediately.
// Every fifth outcome arrives later. The codes from OK to Reset take turns, unless all attempts succeed.
func (sim *orderSimulation) handle(ev Event) {
	for _, a := range slices.Clone(sim.b.Handle(sim.now, ev)) {
		if a.Kind != Send {
			continue
		}
		sim.sent++
		outcome := Outcome{ID: a.ID, Server: a.Server, Attempt: len(sim.b.requests[a.ID].attempts) - 1,
			Latency: 20 * ms, LoadReport: report(20, 0.5, 10)}
		if !sim.allSucceed {
			outcome.Code = Code(sim.sent % int(Cancelled))
		}
		if outcome.RequestEnded = outcome.Code == OK; sim.sent%5 == 0 {
			sim.pendingOutcomes = append(sim.pendingOutcomes, outcome)
			continue
		}
		sim.handle(outcome)
	}
}

// drawChanges draws new states of a few servers.
func (sim *orderSimulation) drawChanges(t *rapid.T) (changed []Endpoint) {
	for range rapid.IntRange(1, 4).Draw(t, "changed") {
		endpoint := Endpoint{ID: fmt.Sprintf("s%02d", rapid.IntRange(0, 39).Draw(t, "server")),
			Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Kind: rapid.SampledFrom([]string{"k0", "k1"}).Draw(t, "kind"),
			Availability: rapid.SampledFrom(
				[]Availability{Running, Running, Running, Draining, Removed}).Draw(t, "state"),
		}
		if old, known := sim.list[endpoint.ID]; known {
			endpoint.Zone, endpoint.Kind, endpoint.StartedAt = old.Zone, old.Kind, old.StartedAt
		}
		if rapid.IntRange(0, 2).Draw(t, "restarted") == 0 {
			endpoint.StartedAt = sim.now
		}
		if sim.list[endpoint.ID] = endpoint; endpoint.Availability == Removed {
			delete(sim.list, endpoint.ID)
		}
		changed = append(changed, endpoint)
	}
	return changed
}

// step passes one random event to the node. It reports whether each server's fields match the classes in use:
// that holds if the event updated the order and no request ended since. A request that ends may be the last
// of a class of former settings, which is then no longer in use.
func (sim *orderSimulation) step(t *rapid.T) (aligned bool) {
	sim.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms
	event, requests := rapid.IntRange(0, 11).Draw(t, "event"), len(sim.b.requests)
	switch event {
	case 0, 1, 2:
		sim.handle(EndpointList{Kind: ListUpdate, Endpoints: sim.drawChanges(t)})
	case 3:
		sim.drawChanges(t)
		var all []Endpoint
		for _, id := range slices.Sorted(maps.Keys(sim.list)) {
			all = append(all, sim.list[id])
		}
		sim.handle(EndpointList{Kind: ListReplace, Endpoints: all})
	case 4:
		sim.handle(FleetSize{ReachableNodes: rapid.IntRange(1, 9).Draw(t, "reachable"),
			ReachableInZone: rapid.IntRange(0, 1).Draw(t, "in zone")})
		sim.handle(Timer{Token: fleetSizeTimerToken})
	case 5:
		sim.changeSettings(t)
	case 6:
		sim.handle(Timer{Token: retainTimerToken})
	case 7:
		sim.b.Restore(sim.now, sim.b.Snapshot(sim.now))
	case 8:
		for _, outcome := range sim.pendingOutcomes {
			sim.handle(outcome)
		}
		sim.pendingOutcomes = nil
	case 9:
		if b := sim.b; b.packing.pool.length > 0 {
			b.eject(b.order()[rapid.IntRange(0, b.packing.pool.length-1).Draw(t, "ejected")])
		}
	default:
		sim.sendRequests(t)
	}
	return (event <= 3 || event == 5) && len(sim.b.requests) == requests
}

// changeSettings changes the slow start, and the restrictions and retry safety of classes.
func (sim *orderSimulation) changeSettings(t *rapid.T) {
	for _, c := range sim.set.Classes {
		sim.accepted = append(sim.accepted, &AcceptedClass{Class: c, MaxAttempts: sim.set.Allowed.MaxAttempts})
	}
	sim.set.Rules.SlowStartDuration = time.Duration(rapid.IntRange(0, 12).Draw(t, "slow start")) * time.Second
	sim.set.Classes = slices.Clone(sim.set.Classes)
	sim.set.Classes[1].Kinds = []string{rapid.SampledFrom([]string{"k0", "k1"}).Draw(t, "restricted to")}
	sim.set.Classes[0].RetrySafety = rapid.SampledFrom(
		[]RetrySafety{NonIdempotent, Idempotent}).Draw(t, "retry safety")
	sim.handle(sim.set)
}

// sendRequests passes new requests to the node. One in three was accepted under the class of former settings.
func (sim *orderSimulation) sendRequests(t *rapid.T) {
	sim.allSucceed = rapid.Bool().Draw(t, "succeeds")
	for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
		r := newRequest(fmt.Sprint("r", sim.now, i), sim.set.Classes[i%len(sim.set.Classes)].Name)
		if len(sim.accepted) > 0 && i%3 == 0 {
			r.Accepted = rapid.SampledFrom(sim.accepted).Draw(t, "accepted")
			r.Class = r.Accepted.Name
		}
		sim.handle(r)
	}
}

// rebuiltOrder computes the packing order from the list alone.
func rebuiltOrder(b *Balancer) (order []*server) {
	byCost := make(map[float64][]*server)
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.Availability == Running {
			byCost[b.zones.crossingCost(s)] = append(byCost[b.zones.crossingCost(s)], s)
		}
	}
	for _, cost := range slices.Sorted(maps.Keys(byCost)) {
		group := byCost[cost]
		start := 0
		if b.settings.NodeCount > maxSmallFleet {
			_, offset := math.Modf(float64(b.settings.NodeIndex) / math.Phi)
			start = int(offset * float64(len(group)))
		}
		order = append(append(order, group[start:]...), group[:start]...)
	}
	return order
}

// checkOrder compares the packing order with the rebuilt one.
func checkOrder(t *rapid.T, b *Balancer, order []*server) {
	if !slices.Equal(b.order(), order) || b.packing.pool.length != len(order) {
		t.Fatalf("the packing order of %d servers differs from the rebuilt one of %d",
			b.packing.pool.length, len(order))
	}
	zones := make(map[string]int)
	for i, s := range order {
		zones[s.Zone]++
		if i > 0 && (!order[i-1].isBefore(s) || s.isBefore(order[i-1])) {
			t.Fatalf("isBefore doesn't put %s before %s, as the packing order does", order[i-1].ID, s.ID)
		}
	}
	for zone, n := range b.packing.serversByZone {
		if n != zones[zone] {
			t.Fatalf("got %d servers in zone %s, want %d from a rebuild", n, zone, zones[zone])
		}
	}
}

// checkPools compares the pool of each class with the servers of the order that the class may use.
func checkPools(t *rapid.T, b *Balancer, order []*server) {
	for c := range b.classesInUse() {
		eligible := slices.DeleteFunc(slices.Clone(order), func(s *server) bool { return !c.permits(s) })
		if !slices.Equal(c.eligible.order(), eligible) || c.eligible.length != len(eligible) {
			t.Fatalf("pool of class %s: got %d servers, want the same %d as in a rebuilt pool",
				c.Name, c.eligible.length, len(eligible))
		}
		if b.classes.byName[c.Name] != c { // a class of former settings, whose ejected servers are not counted
			continue
		}
		if ejected := countOf(eligible,
			func(s *server) bool { return s.outlier.ejected }); c.eligible.ejected != ejected {
			t.Fatalf("ejected servers in the pool of class %s: got %d, want %d from a rebuild",
				c.Name, c.eligible.ejected, ejected)
		}
	}
}

// checkAddedServers checks the retry safety and the concurrency limit, which are set for each server when the
// list changes.
func checkAddedServers(t *rapid.T, b *Balancer, order []*server) {
	for _, s := range order {
		retrySafety := NonIdempotent
		for c := range b.classesInUse() {
			if c.permits(s) {
				retrySafety = max(retrySafety, c.RetrySafety)
			}
		}
		if s.retrySafety != retrySafety || s.concurrencyLimit == 0 {
			t.Fatalf("%s: got retry safety %v, want %v from a rebuild; got concurrency limit %v, want a positive one",
				s.ID, s.retrySafety, retrySafety, s.concurrencyLimit)
		}
	}
}

func countOf(all []*server, predicate func(*server) bool) (n int) {
	for _, s := range all {
		if predicate(s) {
			n++
		}
	}
	return n
}

// checkSums compares the sums over the order with sums computed from scratch.
func checkSums(t *rapid.T, b *Balancer, order []*server) {
	weight, faults := 0.0, fixedPoint(0)
	for _, s := range order {
		if b.warmFraction(s) >= 1 && !s.zone.isEvacuated() {
			weight += b.share.of(s)
		}
		faults += toFixedPoint(s.connectionFaultRatio)
	}
	if got := b.warmedUpWeight(); math.Abs(got-weight) > 1e-9*weight {
		t.Fatalf("weight of the warmed-up servers: got %v, want %v from a rebuild", got, weight)
	}
	if n := countOf(order,
		func(s *server) bool { return b.warmFraction(s) >= 1 }); b.slowStart.warmedUpServers(b.now) != n {
		t.Fatalf("warmed-up servers: got %d, want %d from a rebuild", b.slowStart.warmedUpServers(b.now), n)
	}
	if b.outliers.connectionFaults != faults {
		t.Fatalf("sum of the connection faults: got %v, want %v from a rebuild",
			b.outliers.connectionFaults, faults)
	}
	if n := countOf(order, func(s *server) bool { return s.outlier.ejected }); len(b.outliers.ejected) != n {
		t.Fatalf("ejected servers: got %d, want %d from a rebuild", len(b.outliers.ejected), n)
	}
	listed := slices.Collect(maps.Values(b.servers))
	unavailable := countOf(listed,
		func(s *server) bool { return s.outlier.ejected || s.Availability != Running })
	if b.list.unavailable != unavailable {
		t.Fatalf("unavailable servers: got %d, want %d from a rebuild", b.list.unavailable, unavailable)
	}
}

// checkEvidence compares the evidence against zones, in total and by kind of server, with a rebuild.
func checkEvidence(t *rapid.T, b *Balancer, order []*server) {
	type kindInZone struct {
		zone *zoneHealth
		kind string
	}
	rebuilt, counted := make(map[kindInZone]evidenceSum), make(map[kindInZone]evidenceSum)
	for _, s := range order {
		if s.zone != nil && b.now-s.zoneEvidenceAt <= evidenceTTL {
			total := rebuilt[kindInZone{s.zone, s.Kind}]
			rebuilt[kindInZone{s.zone, s.Kind}] = evidenceSum{
				total.sum + toFixedPoint(s.zoneEvidence), total.servers + 1}
		}
	}
	b.zones.expireEvidence(b.now)
	for _, z := range b.zones.all {
		sum := fixedPoint(0)
		for kind, total := range z.evidenceByKind {
			counted[kindInZone{z, kind}] = *total
			sum += total.sum
		}
		if sum != z.evidence {
			t.Fatalf("evidence against zone %s: got %v, want %v, the sum over the kinds of servers",
				z.name, z.evidence, sum)
		}
	}
	if !maps.Equal(counted, rebuilt) {
		t.Fatalf("evidence by zone and kind: got %v, want %v from a rebuild", counted, rebuilt)
	}
}

// After any events, the incrementally updated state equals a rebuild.
func TestIncrementalStateEqualsARebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOrderSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			aligned := sim.step(t)
			order := rebuiltOrder(sim.b)
			checkOrder(t, sim.b, order)
			checkPools(t, sim.b, order)
			if aligned {
				checkAddedServers(t, sim.b, order)
			}
			checkSums(t, sim.b, order)
			checkEvidence(t, sim.b, order)
		}
	})
}

// The retry safety that probation requests to a server need is the highest of the classes in use. A class of
// former settings is in use until its last request has ended and the list has changed.
func TestProbationFollowsTheClassesInUse(t *testing.T) {
	set := testSettings(1)
	b := startBalancer(t, set, testEndpoints(4))
	first := sentTo(t, b.Handle(ms, newRequest("open", "free")))
	strict := testSettings(1)
	strict.Classes[0].RetrySafety = NonIdempotent
	b.Handle(2*ms, strict)
	// a second change, so that the previous settings are strict too; only the class kept by the open request is
	// still idempotent
	b.Handle(3*ms, strict)
	list := testEndpoints(4)
	change := func(i int) *server {
		list[i].Weight++
		b.Handle(b.now+ms, EndpointList{Kind: ListUpdate, Endpoints: list[i : i+1]})
		return b.servers[list[i].ID]
	}
	if s := change(2); s.retrySafety != Idempotent {
		t.Errorf("retry safety for probation while an idempotent request is open: got %v, want Idempotent",
			s.retrySafety)
	}
	b.Handle(b.now+ms, outcome("open", 0, first, OK, ms))
	change(2)
	for _, s := range b.order() {
		if s.retrySafety != IdempotencyKeyed {
			t.Errorf("retry safety for probation of %s after the idempotent request ended: got %v, want %v",
				s.ID, s.retrySafety, IdempotencyKeyed)
		}
	}
}

// order returns the servers in service in packing order.
func (b *Balancer) order() []*server { return b.packing.pool.order() }

// Servers are ordered by crossing cost. A cost in Topology.ZoneCosts takes precedence over the cost within or
// between regions.
func TestPackingOrderFollowsCrossingCost(t *testing.T) {
	for want, costs := range map[string]map[string]map[string]float64{
		"abc": nil, "acb": {"a": {"c": 0.5}}, "a(bc)": {"a": {"c": 1}},
	} {
		set := twoRegions(1)
		set.Topology.ZoneCosts = costs
		b := startBalancer(t, set, endpointsInZones(1, "c", "b", "a"))
		got := ""
		for _, s := range b.order() {
			got += s.Zone
		}
		if want == "a(bc)" { // equal costs: ordered by ID
			want = "abc"
		}
		if got != want {
			t.Errorf("zone costs %v: got packing order %s, want %s", costs, got, want)
		}
	}
}

// A pool is ordered by cost and ID. The walk of a segment begins at the given server and wraps around.
func TestPoolIsInPackingOrder(t *testing.T) {
	var p serverPool
	servers := make(map[string]*server)
	for id, cost := range map[string]float64{"d": 0, "a": 1, "c": 0, "b": 1, "e": 0} {
		servers[id] = &server{Endpoint: Endpoint{ID: id}}
		servers[id].segment = p.insert(servers[id], cost)
	}
	walk := func() (ids string) {
		for s := range p.all {
			ids += s.ID
		}
		return ids
	}
	if got := walk(); got != "cdeab" {
		t.Errorf("packing order: got %s, want cdeab", got)
	}
	if p.rotate(0, "d"); walk() != "decab" {
		t.Errorf("packing order from d on: got %s, want decab", walk())
	}
	if !servers["e"].isBefore(servers["c"]) || servers["a"].isBefore(servers["c"]) {
		t.Error("isBefore differs from the order of the walk")
	}
	p.remove(servers["d"], 0)
	p.remove(&server{Endpoint: Endpoint{ID: "e"}}, 0) // another server with the same ID
	if got := walk(); got != "ecab" || p.length != 4 {
		t.Errorf("packing order without d: got %s of %d servers, want ecab of 4", got, p.length)
	}
}

// The nodes of a large fleet begin their walks at different servers, with few exceptions.
func TestNodesOfALargeFleetBeginAtDifferentServers(t *testing.T) {
	firsts := map[string]bool{}
	for n := range 6 {
		set := testSettings(6)
		set.NodeIndex = n
		b := startBalancer(t, set, testEndpoints(24))
		firsts[b.order()[0].ID] = true
	}
	if len(firsts) < 5 {
		t.Errorf("different first servers of 6 nodes: got %d, want at least 5", len(firsts))
	}
}
