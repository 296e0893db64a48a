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

// sumsWorld plays random lists, outcomes and settings at one node, and holds what the node keeps up by difference
// against the same made anew.
type sumsWorld struct {
	b    *Balancer
	set  Settings
	now  Time
	list map[string]Endpoint
	sent int
	open []Outcome // of attempts that are answered later
	good bool      // all answers are good, so that trials succeed
}

func newSumsWorld(t *rapid.T) *sumsWorld {
	set := site(rapid.SampledFrom([]int{1, 3, 7, 300}).Draw(t, "nodes"))
	set.NodeIndex = rapid.IntRange(0, set.NodeCount-1).Draw(t, "node")
	set.RetainMissing = rapid.Bool().Draw(t, "eases")
	set.Classes[1].Kinds = []string{"k1"}
	set.Classes[2].Zones = []string{"b", "c"}
	if rapid.Bool().Draw(t, "reports") {
		set.ReportFields = []string{reportLatency, reportUtil, reportRate}
	}
	if rapid.Bool().Draw(t, "places") {
		set.Topology = near(1).Topology
		set.Classes[3].Regions = []string{"north"}
	}
	w := &sumsWorld{set: set, list: make(map[string]Endpoint)}
	w.b, _ = New(set, 0, 1)
	w.event(EndpointList{Kind: ListCached})
	return w
}

// event hands an event in and answers most of the attempts that it sends at once, with each code in turn.
func (w *sumsWorld) event(ev Event) {
	for _, a := range slices.Clone(w.b.Handle(w.now, ev)) {
		if a.Kind != Send {
			continue
		}
		w.sent++
		answer := Outcome{ID: a.ID, Server: a.Server, Attempt: len(w.b.requests[a.ID].attempts) - 1, Latency: 20 * ms,
			LoadReport: report(20, 0.5, 10)}
		if !w.good {
			answer.Code = Code(w.sent % int(Cancelled))
		}
		if answer.RequestEnded = answer.Code == OK; w.sent%5 == 0 {
			w.open = append(w.open, answer)
			continue
		}
		w.event(answer)
	}
}

// change draws a new state of a few servers.
func (w *sumsWorld) change(t *rapid.T) (changed []Endpoint) {
	for range rapid.IntRange(1, 4).Draw(t, "changed") {
		m := Endpoint{ID: fmt.Sprintf("s%02d", rapid.IntRange(0, 39).Draw(t, "server")),
			Zone:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Kind:         rapid.SampledFrom([]string{"k0", "k1"}).Draw(t, "kind"),
			Availability: rapid.SampledFrom([]Availability{Running, Running, Running, Draining, Removed}).Draw(t, "state"),
		}
		if was, known := w.list[m.ID]; known {
			m.Zone, m.Kind, m.StartedAt = was.Zone, was.Kind, was.StartedAt
		}
		if rapid.IntRange(0, 2).Draw(t, "restarted") == 0 {
			m.StartedAt = w.now
		}
		if w.list[m.ID] = m; m.Availability == Removed {
			delete(w.list, m.ID)
		}
		changed = append(changed, m)
	}
	return changed
}

// step plays one event, and tells whether the order was brought in line with the list by it, and no request was
// released and ended after that, whose class need not be reckoned with any more.
func (w *sumsWorld) step(t *rapid.T) (aligned bool) {
	w.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms
	event, inHand := rapid.IntRange(0, 11).Draw(t, "event"), len(w.b.requests)
	switch event {
	case 0, 1, 2:
		w.event(EndpointList{Kind: ListUpdate, Endpoints: w.change(t)})
	case 3:
		w.change(t)
		var all []Endpoint
		for _, id := range slices.Sorted(maps.Keys(w.list)) {
			all = append(all, w.list[id])
		}
		w.event(EndpointList{Kind: ListReplace, Endpoints: all})
	case 4:
		w.event(FleetSize{ReachableNodes: rapid.IntRange(1, 9).Draw(t, "heard"), ReachableInZone: rapid.IntRange(0, 1).Draw(t, "near")})
		w.event(Timer{Token: fleetSizeTimerToken})
	case 5:
		w.set.Rules.SlowStartDuration = time.Duration(rapid.IntRange(0, 12).Draw(t, "cold for")) * time.Second
		w.set.Classes = slices.Clone(w.set.Classes)
		w.set.Classes[1].Kinds = []string{rapid.SampledFrom([]string{"k0", "k1"}).Draw(t, "bound to")}
		w.set.Classes[0].RetrySafety = rapid.SampledFrom([]RetrySafety{NonIdempotent, Idempotent}).Draw(t, "repeat")
		w.event(w.set)
	case 6:
		w.event(Timer{Token: retainTimerToken})
	case 7:
		w.b.Restore(w.now, w.b.Snapshot(w.now))
	case 8:
		for _, answer := range w.open {
			w.event(answer)
		}
		w.open = nil
	case 9:
		if b := w.b; b.packing.pool.length > 0 {
			b.eject(b.order()[rapid.IntRange(0, b.packing.pool.length-1).Draw(t, "ejected")])
		}
	default:
		w.good = rapid.Bool().Draw(t, "good")
		for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
			w.event(ask(fmt.Sprint("r", w.now, i), w.set.Classes[i%len(w.set.Classes)].Name))
		}
	}
	return (event <= 3 || event == 5) && len(w.b.requests) == inHand
}

// orderAnew is the packing order as the list alone makes it.
func orderAnew(b *Balancer) (order []*server) {
	byCost := make(map[float64][]*server)
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.Availability == Running {
			byCost[b.zones.crossingCost(s)] = append(byCost[b.zones.crossingCost(s)], s)
		}
	}
	for _, cost := range slices.Sorted(maps.Keys(byCost)) {
		part := byCost[cost]
		k := 0
		if b.settings.NodeCount > maxSmallFleet {
			_, at := math.Modf(float64(b.settings.NodeIndex) / math.Phi)
			k = int(at * float64(len(part)))
		}
		order = append(append(order, part[k:]...), part[:k]...)
	}
	return order
}

// checkOrder holds the packing order against the one made anew.
func checkOrder(t *rapid.T, b *Balancer, order []*server) {
	if !slices.Equal(b.order(), order) || b.packing.pool.length != len(order) {
		t.Fatalf("the order of %d servers isn't the one made anew of %d", b.packing.pool.length, len(order))
	}
	zones := make(map[string]int)
	for i, s := range order {
		zones[s.Zone]++
		if i > 0 && (!order[i-1].isBefore(s) || s.isBefore(order[i-1])) {
			t.Fatalf("%s isn't held to stand before %s", order[i-1].ID, s.ID)
		}
	}
	for zone, n := range b.packing.serversByZone {
		if n != zones[zone] {
			t.Fatalf("%d servers in zone %s, anew %d", n, zone, zones[zone])
		}
	}
}

// checkPools holds the pools of all classes against the servers of the order that each may be sent to.
func checkPools(t *rapid.T, b *Balancer, order []*server) {
	for c := range b.classesInUse() {
		open := slices.Clone(order)
		open = slices.DeleteFunc(open, func(s *server) bool { return !c.permits(s) })
		if !slices.Equal(c.eligible.order(), open) || c.eligible.length != len(open) {
			t.Fatalf("%s is open to %d servers, made anew to %d", c.Name, c.eligible.length, len(open))
		}
		if b.classes.byName[c.Name] != c { // of former settings: the ejected aren't counted
			continue
		}
		if ejected := countOf(open, func(s *server) bool { return s.outlier.ejected }); c.eligible.ejected != ejected {
			t.Fatalf("%s counts %d ejected servers, made anew %d", c.Name, c.eligible.ejected, ejected)
		}
	}
}

// checkFresh holds what a change of the list sets at each server of the order against the same made anew.
func checkFresh(t *rapid.T, b *Balancer, order []*server) {
	for _, s := range order {
		safest := NonIdempotent
		for c := range b.classesInUse() {
			if c.permits(s) {
				safest = max(safest, c.RetrySafety)
			}
		}
		if s.retrySafety != safest || s.concurrencyLimit == 0 {
			t.Fatalf("%s: safest class %v, anew %v; threshold %v", s.ID, s.retrySafety, safest, s.concurrencyLimit)
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

// checkSums holds the sums over the order against ones made anew.
func checkSums(t *rapid.T, b *Balancer, order []*server) {
	weight, faults := 0.0, fixedPoint(0)
	for _, s := range order {
		if b.warmFraction(s) >= 1 && !s.zone.isEvacuated() {
			weight += b.share.of(s)
		}
		faults += toFixedPoint(s.connectionFaultRatio)
	}
	if got := b.warmedUpWeight(); math.Abs(got-weight) > 1e-9*weight {
		t.Fatalf("the warm servers weigh %v, anew %v", got, weight)
	}
	if n := countOf(order, func(s *server) bool { return b.warmFraction(s) >= 1 }); b.warmedUpServers() != n {
		t.Fatalf("%d servers are warm, anew %d", b.warmedUpServers(), n)
	}
	if b.outliers.connectionFaults != faults {
		t.Fatalf("the faults sum up to %v, anew %v", b.outliers.connectionFaults, faults)
	}
	if n := countOf(order, func(s *server) bool { return s.outlier.ejected }); len(b.outliers.ejected) != n {
		t.Fatalf("%d servers are ejected, anew %d", len(b.outliers.ejected), n)
	}
	listed := slices.Collect(maps.Values(b.servers))
	avoided := countOf(listed, func(s *server) bool { return s.outlier.ejected || s.Availability != Running })
	if b.list.unavailable != avoided {
		t.Fatalf("%d servers are avoided, anew %d", b.list.unavailable, avoided)
	}
}

// checkEvidence holds the evidence against places, in all and by kinds of servers, against the same made anew.
func checkEvidence(t *rapid.T, b *Balancer, order []*server) {
	type kindOf struct {
		place *zoneHealth
		kind  string
	}
	anew, kept := make(map[kindOf]evidenceSum), make(map[kindOf]evidenceSum)
	for _, s := range order {
		if s.zone != nil && b.now-s.zoneEvidenceAt <= evidenceTTL {
			of := anew[kindOf{s.zone, s.Kind}]
			anew[kindOf{s.zone, s.Kind}] = evidenceSum{of.sum + toFixedPoint(s.zoneEvidence), of.servers + 1}
		}
	}
	b.zones.expireEvidence(b.now)
	for _, p := range b.zones.all {
		sum := fixedPoint(0)
		for kind, of := range p.evidenceByKind {
			kept[kindOf{p, kind}] = *of
			sum += of.sum
		}
		if sum != p.evidence {
			t.Fatalf("evidence against %s: %v, by kinds %v", p.name, p.evidence, sum)
		}
	}
	if !maps.Equal(kept, anew) {
		t.Fatalf("evidence %v, anew %v", kept, anew)
	}
}

// What is kept up by difference is what it would be if it were made anew, whatever happens.
func TestSumsAreThoseMadeAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSumsWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			aligned := w.step(t)
			order := orderAnew(w.b)
			checkOrder(t, w.b, order)
			checkPools(t, w.b, order)
			if aligned {
				checkFresh(t, w.b, order)
			}
			checkSums(t, w.b, order)
			checkEvidence(t, w.b, order)
		}
	})
}

// A server's trials are for the freest class that is in use: with the last request of a class of former settings
// that class goes, and one change of the list has the next one tried.
func TestTrialsFollowTheClassesInUse(t *testing.T) {
	set := site(1)
	b := start(t, set, members(4))
	first := sentTo(t, b.Handle(ms, ask("open", "free")))
	strict := site(1)
	strict.Classes[0].RetrySafety = NonIdempotent
	b.Handle(2*ms, strict)
	b.Handle(3*ms, strict) // the former settings are strict by now, and the open request is older
	list := members(4)
	change := func(i int) *server {
		list[i].Weight++
		b.Handle(b.now+ms, EndpointList{Kind: ListUpdate, Endpoints: list[i : i+1]})
		return b.servers[list[i].ID]
	}
	if s := change(2); s.retrySafety != Idempotent {
		t.Errorf("while a free request is open, its servers' trials are for class %v", s.retrySafety)
	}
	b.Handle(b.now+ms, outcome("open", 0, first, OK, ms))
	change(2)
	for _, s := range b.order() {
		if s.retrySafety != IdempotencyKeyed {
			t.Errorf("once it is over, the trials of %s are for class %v, want %v", s.ID, s.retrySafety, IdempotencyKeyed)
		}
	}
}

// order returns the servers in service in packing order.
func (b *Balancer) order() []*server { return b.packing.pool.order() }

// warmedUpServers counts the servers in service that have warmed up by now.
func (b *Balancer) warmedUpServers() int {
	b.slowStart.promote(b.now)
	return b.slowStart.warmedUp
}
