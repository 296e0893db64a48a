package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// site is a small deployment with one class of each retry safety.
func site(nodes int) Settings {
	return Settings{
		NodeCount: nodes, Zone: "a",
		Classes: []Class{
			{Name: "free", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: Idempotent},
			{Name: "once", LatencyObjective: 250 * ms, Deadline: 600 * ms, LateWeight: 0.2},
			{Name: "all", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: IdempotencyKeyed, DedupScope: DedupEverywhere, DedupWindow: 300 * ms},
			{Name: "zone", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: IdempotencyKeyed, DedupScope: DedupPerZone, DedupWindow: 300 * ms},
			{Name: "cell", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: IdempotencyKeyed, DedupScope: DedupPerCell, DedupWindow: 300 * ms},
		},
		Tenants: []Tenant{{Name: "t", Quota: 1000}, {Name: "u", Quota: 10}},
		Allowed: Allowed{Cancel: true, MaxAttempts: 4},
		Rules: Rules{DrainGrace: time.Second, SlowStartMinCapacity: 0.2, SlowStartDuration: 10 * time.Second,
			OverloadMultiple: 3, OverloadDuration: 2 * time.Second},
	}
}

func members(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: []string{"a", "b"}[i%2],
			Kind: fmt.Sprint("k", i%3), Cell: int64(i % 4), Weight: 1})
	}
	return list
}

func start(t *testing.T, set Settings, list []Endpoint) *Balancer {
	t.Helper()
	b, err := New(set, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, EndpointList{Kind: ListCached, Endpoints: list})
	return b
}

// of returns the actions of one kind.
func of(acts []Action, kind ActionKind) []Action {
	var found []Action
	for _, a := range acts {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

func ask(id, class string) Request {
	return Request{ID: id, Class: class, Tenant: "t", Timeout: 600 * ms}
}

func sentTo(t *testing.T, acts []Action) string {
	t.Helper()
	s := of(acts, Send)
	if len(s) != 1 {
		t.Fatalf("want one send, got %+v", acts)
	}
	return s[0].Server
}

// A restricted class is sent to its servers only, at every attempt, even when none of them is in service; then
// it is queued, and rejected in time. The bound on ejections counts its few servers by themselves.
func TestRestrictedClassUsesOnlyItsServers(t *testing.T) {
	set := site(1)
	set.Classes[0].Kinds = []string{"k1"} // s01, s04, s07 of nine
	b := start(t, set, members(9))
	open := map[string]bool{"s01": true, "s04": true, "s07": true}
	for i, code := range []Code{ServerError, Overloaded, ConnectFailed} {
		id := fmt.Sprint(i)
		s := sentTo(t, b.Handle(ms, ask(id, "free")))
		if !open[s] {
			t.Fatalf("sent to %s", s)
		}
		if s = sentTo(t, b.Handle(2*ms, outcome(id, 0, s, code, ms))); !open[s] {
			t.Fatalf("sent again to %s", s)
		}
		b.Handle(3*ms, outcome(id, 1, s, OK, ms))
	}
	for _, id := range []string{"s01", "s04", "s07"} {
		b.servers[id].outlier.failureScore = 0.6
		b.recordFailure(b.servers[id], attemptFailureWeight)
	}
	if b.classes.ordered[0].eligible.ejected != 1 {
		t.Errorf("%d of the class's 3 servers are ejected, want 1", b.classes.ordered[0].eligible.ejected)
	}
	for id := range open {
		b.Handle(4*ms, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{{ID: id, Zone: "a", Kind: "k1", Availability: Draining}}})
	}
	acts := slices.Clone(b.Handle(5*ms, ask("x", "free")))
	for now := 6 * ms; now < 600*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(of(acts, Send)) != 0 || len(of(acts, Reject)) != 1 {
		t.Errorf("without its servers: got %+v, want one rejection and no send", acts)
	}
}

func TestOwnZoneFillsInIDOrderBeforeOthers(t *testing.T) {
	b := start(t, site(1), members(4))
	for _, s := range b.order() {
		s.concurrencyLimit = 1
	}
	var got []string
	for i := range 4 {
		got = append(got, sentTo(t, b.Handle(ms, ask(fmt.Sprint(i), "free"))))
	}
	if want := []string{"s00", "s02", "s01", "s03"}; !reflect.DeepEqual(got, want) {
		t.Errorf("with a limit of one: sent to %v, want %v", got, want)
	}
}

func outcome(id string, attempt int, server string, code Code, latency time.Duration) Outcome {
	return Outcome{ID: id, Attempt: attempt, Server: server, Code: code, Latency: latency, RequestEnded: code == OK}
}

// A probe that was cancelled must not block later probes.
func TestCancelledProbeIsFollowedByAnother(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.outlier.ejectedUntil
	if got := sentTo(t, b.Handle(now, ask("x", "free"))); got != "s00" {
		t.Fatalf("the probe went to %s", got)
	}
	b.Handle(now+100*ms, outcome("x", 0, "s00", Cancelled, 100*ms))
	if s.outlier.probationInFlight {
		t.Error("the probe still counts as in flight")
	}
	now = s.outlier.ejectedUntil
	if got := sentTo(t, b.Handle(now, ask("y", "free"))); got != "s00" {
		t.Errorf("the next probe went to %s, want s00", got)
	}
}

// A hung server that is full rejects probes at once: that must not invite the next one.
func TestOverloadedProbeDelaysTheNext(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.outlier.ejectedUntil
	b.Handle(now, ask("x", "free"))
	b.Handle(now+ms, outcome("x", 0, "s00", Overloaded, ms))
	if got := sentTo(t, b.Handle(now+2*ms, ask("y", "free"))); got == "s00" {
		t.Error("probed again at once")
	}
}

// A slow request at a server that responds to others is no sign of a hang.
func TestTimeoutAtARespondingServerIsNoFailure(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.Handle(ms, ask("x", "once"))
	s.lastResponseAt = 100 * ms
	b.Handle(600*ms, outcome("x", 0, "s00", TimedOut, 600*ms))
	if s.outlier.failureScore != 0 {
		t.Errorf("score %v, want 0", s.outlier.failureScore)
	}
}

// Nodes begin their walks at different servers.
func TestNodesOfALargeFleetBeginAtDifferentServers(t *testing.T) {
	firsts := map[string]bool{}
	for n := range 6 {
		set := site(6)
		set.NodeIndex = n
		b := start(t, set, members(24))
		firsts[b.order()[0].ID] = true
	}
	if len(firsts) < 5 {
		t.Errorf("6 nodes begin at only %d servers", len(firsts))
	}
}

// A server that is warming up gets a small part of what others get, over all nodes.
func TestWarmingUpServerGetsItsPartOfAllNodes(t *testing.T) {
	list := members(8)
	list[0].StartedAt = 1000 * ms
	const nodes = 8
	sends, rate := 0, 0
	for n := range nodes {
		set := site(nodes)
		set.NodeIndex = n
		b := start(t, set, list)
		for i := range 3000 {
			now := 1000*ms + time.Duration(i)*ms
			id := fmt.Sprint(i)
			for _, a := range of(b.Handle(now, ask(id, "free")), Send) {
				rate++
				if a.Server == "s00" {
					sends++
				}
				b.Handle(now, outcome(id, 0, a.Server, OK, ms))
			}
		}
	}
	if limit := rate / len(list) / 2; sends > limit || sends == 0 {
		t.Errorf("%d of %d went to the server that is warming up, want some but at most %d", sends, rate, limit)
	}
}

// The rate to a server that is warming up leaves one multiple of its capacity as a margin, whatever the overload multiple.
func TestWarmupRateLeavesOneMultipleAsMargin(t *testing.T) {
	for multiple, want := range map[float64]float64{1: 0.35, 2: 0.7, 3: 1.4} {
		set := site(1)
		set.Rules.OverloadMultiple, set.Rules.SlowStartMinCapacity, set.Rules.SlowStartDuration = multiple, 0.5, time.Hour
		b := start(t, set, members(1))
		b.completions.rate, b.completions.at, b.now = 100, time.Second, time.Second // a hundred answers a second at one server
		s := b.order()[0]
		s.StartedAt = b.now
		s.warmupBudget = warmupBudget{refilledAt: b.now - 10*ms}
		b.hasWarmupBudget(s)
		if got, rate := s.warmupBudget.tokens, want*0.5*100*0.01; math.Abs(got-rate) > 0.01 {
			t.Errorf("multiple %v: %v requests in 10 ms, want %v", multiple, got, rate)
		}
	}
}

// The initial limits of a small fleet's nodes sum to the same at each server: whole limits of each node would
// overload the first one.
func TestSmallFleetSharesTheInitialLimit(t *testing.T) {
	for nodes := 1; nodes <= maxSmallFleet; nodes++ {
		b := start(t, site(nodes), members(4))
		if all := b.order()[0].concurrencyLimit * float64(nodes); math.Abs(all-initialFleetLimit) > 1e-9 {
			t.Errorf("%d nodes: %v attempts in all, want %v", nodes, all, initialFleetLimit)
		}
	}
}

// A failed call for the list, or a lost subscription, is repeated soon, and not by all nodes at once.
func TestListRetriesOfNodesAreSpread(t *testing.T) {
	waits := map[time.Duration]bool{}
	for n := range 8 {
		set := site(8)
		set.NodeIndex, set.SubscribeList = n, true
		b, err := New(set, 0, 7)
		if err != nil {
			t.Fatal(err)
		}
		first := of(b.Handle(0, EndpointList{Kind: ListCached}), SetTimer) // not all nodes at once
		if len(first) != 1 || len(of(b.Handle(first[0].Wait, Timer{Token: first[0].Token}), WatchList)) != 1 {
			t.Fatal("no subscription at the start")
		}
		timers := of(b.Handle(2*time.Second, EndpointList{Kind: ListUnavailable}), SetTimer)
		if len(timers) != 1 || timers[0].Wait < listBackoffBase/2 || timers[0].Wait > listBackoffBase*3/2 {
			t.Fatalf("after a failed call: %+v", timers)
		}
		waits[timers[0].Wait] = true
		if len(of(b.Handle(3*time.Second, Timer{Token: timers[0].Token}), WatchList)) != 1 {
			t.Error("the list isn't called for again")
		}
	}
	if len(waits) < 8 {
		t.Errorf("8 nodes wait only %d different times", len(waits))
	}
}

// A response after half of its objective has waited for about as long as it was served: a limit that still grew
// would do so until servers are overloaded.
func TestSlowResponsesLowerTheConcurrencyLimit(t *testing.T) {
	b := start(t, site(1), members(2))
	s, c := b.order()[0], b.classes.ordered[0]
	for _, v := range []struct {
		part float64 // of the objective
		grow bool
	}{{0.3, true}, {0.5, false}, {0.9, false}} {
		s.concurrencyLimit, s.inFlight = 10, 10
		b.updateConcurrencyLimit(s, c, OK, seconds(v.part*c.LatencyObjective.Seconds()), 1)
		if grew := s.concurrencyLimit > 10; grew != v.grow || s.concurrencyLimit == 10 {
			t.Errorf("a response after %v of its objective moves the limit from 10 to %v", v.part, s.concurrencyLimit)
		}
	}
}

// Where no server has capacity, the one with the least overcommit still gets a little of the highest priority, and
// the lowest is queued.
func TestHighestPriorityIsSentBeyondTheLimit(t *testing.T) {
	set := site(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	b := start(t, set, members(2))
	for _, s := range b.order() {
		s.concurrencyLimit, s.limitReached, s.inFlight = 10, true, 12
	}
	if sent := of(b.Handle(ms, ask("low", "free")), Send); len(sent) != 0 {
		t.Errorf("the lowest priority is sent beyond the limit: %+v", sent)
	}
	if sent := of(b.Handle(ms, ask("high", "once")), Send); len(sent) != 1 {
		t.Errorf("the highest priority is not sent, though servers are little beyond the limit")
	}
	for _, s := range b.order() {
		s.inFlight = int(maxLearnedOvercommit * 10)
	}
	if sent := of(b.Handle(ms, ask("late", "once")), Send); len(sent) != 0 {
		t.Errorf("the highest priority is sent to servers far beyond the limit")
	}
}

// New settings leave what was measured, and open requests, as they were. A request of the former settings is
// handled by those.
func TestNewSettingsKeepMeasurementsAndOpenRequests(t *testing.T) {
	set := site(1)
	b := start(t, set, members(4))
	first := sentTo(t, b.Handle(0, ask("open", "free")))
	b.servers["s00"].concurrencyLimit = 9
	b.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens = 5
	b.classes.byName["free"].tailLatency = 77 * ms

	next := site(1)
	next.Classes[0].RetrySafety = NonIdempotent
	next.Classes = slices.Delete(next.Classes, 1, 2) // "once" is dropped
	next.Classes = append(next.Classes, Class{Name: "new", LatencyObjective: 250 * ms, Deadline: 600 * ms, RetrySafety: Idempotent})
	next.Allowed.MaxAttempts = 2
	b.Handle(ms, next)
	if s := b.servers["s00"]; s.concurrencyLimit != 9 || s.inFlight+b.servers["s01"].inFlight+b.servers["s02"].inFlight != 1 {
		t.Errorf("limit %v", s.concurrencyLimit)
	}
	if got := b.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens; got != 5 {
		t.Errorf("%d tokens", got)
	}
	if got := b.classes.byName["free"].tailLatency; got != 77*ms {
		t.Errorf("tail %v", got)
	}
	again := func(id, server string) bool {
		return len(of(b.Handle(2*ms, Outcome{ID: id, Server: server, Code: TimedOut}), Send)) > 0
	}
	if !again("open", first) {
		t.Error("a request that came while its class was free is not repeated")
	}
	if acts := b.Handle(3*ms, Outcome{ID: "open", Attempt: 1, Code: TimedOut}); len(of(acts, Send)) > 0 {
		t.Error("a third attempt, though two are allowed by now")
	}
	if again("strict", sentTo(t, b.Handle(2*ms, ask("strict", "free")))) {
		t.Error("a class that must not run twice by now is repeated")
	}
	was := ask("was", "free")
	was.FormerClass = true
	if !again("was", sentTo(t, b.Handle(2*ms, was))) {
		t.Error("a request of its class's former settings is not repeated")
	}
	if again("gone", sentTo(t, b.Handle(2*ms, ask("gone", "once")))) {
		t.Error("a request of a dropped class is repeated")
	}
	if !again("new", sentTo(t, b.Handle(2*ms, ask("new", "new")))) {
		t.Error("the new class is not repeated")
	}
	if acts := b.Handle(time.Second, Timer{Token: firstClassTimerToken + 5}); len(of(acts, Send)) > 0 {
		t.Error("the new class's timer sent a copy of what is over")
	}
}

// Connection faults at all servers alike lower no limit and eject none. A server that fails alone, or far more
// often than the others, is ejected as soon as without them.
func TestFaultsAtAllServersEjectNone(t *testing.T) {
	drive := func(part func(s *server) float64) *Balancer {
		b := start(t, site(1), members(10))
		for _, s := range b.order() {
			s.concurrencyLimit = 10
		}
		for i := range 2000 {
			s := b.order()[i%len(b.order())]
			b.now += ms
			code := OK
			if b.rng.Float64() < part(s) {
				code = Reset
			}
			s.inFlight = 9 // it is at its limit
			weight := b.failureWeight(s, code)
			b.updateConcurrencyLimit(s, b.classes.ordered[0], code, ms, weight)
			b.updateOutlierState(&attempt{server: s, sentAt: b.now}, code, weight)
		}
		return b
	}
	for name, part := range map[string]float64{"few": 0.05, "many": 0.15} {
		b := drive(func(*server) float64 { return part })
		if b.packing.pool.ejected > 1 {
			t.Errorf("%s resets everywhere: %d of 10 servers are ejected", name, b.packing.pool.ejected)
		}
		for _, s := range b.order() {
			if s.concurrencyLimit < 8 {
				t.Errorf("%s resets everywhere: limit %.1f of 10", name, s.concurrencyLimit)
			}
		}
	}
	b := drive(func(s *server) float64 {
		if s.ID == "s03" {
			return 0.9
		}
		return 0.05
	})
	if !b.servers["s03"].outlier.ejected {
		t.Error("a server that alone resets nearly all is not ejected")
	}
	for _, code := range []Code{Reset, ConnectFailed, ServerError} {
		b := start(t, site(1), members(10))
		if got := b.failureWeight(b.order()[0], code); got != 1 {
			t.Errorf("a lone fault (%v) counts %v", code, got)
		}
	}
	if b := start(t, site(1), members(1)); b.failureWeight(b.order()[0], Reset) != 1 {
		t.Error("the faults of the only server don't count in full")
	}
}

// order is the pool's servers in packing order.
func (p *serverPool) order() []*server { return slices.Collect(p.all) }
