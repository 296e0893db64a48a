package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// site is a small deployment with one class of each kind.
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
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
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

func TestSettingsThatMakeNoSense(t *testing.T) {
	nan := math.NaN()
	for _, c := range []struct {
		names string // what the error must name
		spoil func(*Settings)
	}{
		{"classes", func(s *Settings) { s.Classes = nil }},
		{"deadline", func(s *Settings) { s.Classes[0].Deadline = -1 }},
		{"deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{`class "once": aim`, func(s *Settings) { s.Classes[1].LatencyObjective = -1 }},
		{"aim stretch", func(s *Settings) { s.Classes[0].ObjectivePerWork = nan }},
		{"window", func(s *Settings) { s.Classes[2].DedupWindow = -1 }},
		{"late worth", func(s *Settings) { s.Classes[0].LateWeight = -0.1 }},
		{"worth", func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) }},
		{"twice", func(s *Settings) { s.Classes[1].Name = "free" }},
		{"node 2", func(s *Settings) { s.NodeIndex = 2 }},
		{"group of 0", func(s *Settings) { s.NodeCount = 0 }},
		{`tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = -1 }},
		{`tenant "t": quota`, func(s *Settings) { s.Tenants[0].Quota = nan }},
		{"share", func(s *Settings) { s.Tenants[0].Share = -1 }},
		{"answer grace", func(s *Settings) { s.Rules.AnswerGrace = -1 }},
		{"drain grace", func(s *Settings) { s.Rules.DrainGrace = -1 }},
		{"cold share", func(s *Settings) { s.Rules.SlowStartMinCapacity = 1.1 }},
		{"cold share", func(s *Settings) { s.Rules.SlowStartMinCapacity = nan }},
		{"fall multiple", func(s *Settings) { s.Rules.OverloadMultiple = -1 }},
		{"attempt budget: span", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{RetryRatio: 0.1} }},
		{"attempt budget: share", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{RetryRatio: nan, Window: 1} }},
		{"attempt budget: least", func(s *Settings) { s.Rules.RetryBudget = &RetryBudget{MinRetries: -1, Window: 1} }},
		{"max attempts", func(s *Settings) { s.Allowed.MaxAttempts = -1 }},
		{"max retry-after", func(s *Settings) { s.Allowed.MaxRetryAfter = -1 }},
		{"idle", func(s *Settings) { s.Allowed.IdleTimeout = -1 }},
	} {
		set := site(2)
		c.spoil(&set)
		if _, err := New(set, 0, 1); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("got %v, want an error that names %q", err, c.names)
		}
	}
}

// A bound class goes to its servers only, at every attempt, even when they are all out; then it is
// held and refused in time. The cap on ejections holds for its few servers by themselves.
func TestPlacementIsKept(t *testing.T) {
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
		t.Errorf("with its servers gone: got %+v, want one refusal and no send", acts)
	}
}

// The budget counts every request taken, those refused too, and each further attempt itself.
func TestBudgetOfAttemptsIsExact(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0.5, Window: time.Second}
	b := start(t, set, members(9))
	extras := func(now Time, from, n int) (sent int) {
		for i := range n {
			id := fmt.Sprint(from + i)
			for _, a := range of(slices.Clone(b.Handle(now, ask(id, "free"))), Send) {
				sent += len(of(b.Handle(now, outcome(id, 0, a.Server, ServerError, ms)), Send))
			}
		}
		return sent
	}
	if got := extras(ms, 0, 4); got > 4 { // two, and half of four
		t.Errorf("%d further attempts for 4 requests, at most 4 allowed", got)
	}
	b.retryBudget.retriesAt, b.retryBudget.acceptedAt = nil, []Time{0, 1, 2, 3}
	b.now = 500 * ms
	for n := range 10 {
		if may := b.mayRetry(); may != (n < 3) { // on the safe side of the exact 4
			t.Fatalf("after %d further attempts: may repeat %v", n, may)
		}
		if !b.mayRetry() {
			break
		}
		b.retryBudget.retriesAt = append(b.retryBudget.retriesAt, b.now)
	}
	b.now = time.Second + 4 // the requests have left the window, the attempts have not
	if b.mayRetry() {
		t.Error("more than the least is allowed for requests that have left the window")
	}
	b.now = 2 * time.Second
	if !b.mayRetry() || len(b.retryBudget.retriesAt)+len(b.retryBudget.acceptedAt) != 0 {
		t.Error("the window was not emptied")
	}
}

func TestPacksOwnZoneInIDOrderThenSpills(t *testing.T) {
	b := start(t, site(1), members(4))
	for _, s := range b.order() {
		s.concurrencyLimit = 1
	}
	var got []string
	for i := range 4 {
		got = append(got, sentTo(t, b.Handle(ms, ask(fmt.Sprint(i), "free"))))
	}
	if want := []string{"s00", "s02", "s01", "s03"}; !reflect.DeepEqual(got, want) {
		t.Errorf("with a threshold of one: sent to %v, want %v", got, want)
	}
}

func TestFullBucketRefusesWithRetryAfter(t *testing.T) {
	b := start(t, site(1), members(4))
	b.settings.Allowed.RetryAfter = true
	for i := 0; ; i++ {
		r := ask(fmt.Sprint(i), "free")
		r.Tenant = "u"
		if ref := of(b.Handle(ms, r), Reject); len(ref) == 1 {
			if i != 8 { // 10 a second / ln 2, half a second of burst
				t.Errorf("refused after %d, want 8", i)
			}
			if ref[0].Wait != time.Second {
				t.Errorf("retry-after %v, want 1 s", ref[0].Wait)
			}
			break
		}
	}
}

func TestOverrideByClassHasItsOwnBucketAndMaximum(t *testing.T) {
	set := site(1)
	set.Limits = RateLimits{PerClass: map[string]Limit{"free": {PerWindow: 50, Window: time.Second, Burst: 50}}, Max: 2}
	b := start(t, set, members(8))
	refused := 0
	for i := range 5 {
		refused += len(of(b.Handle(ms, ask(fmt.Sprint("f", i), "free")), Reject))
	}
	if refused != 3 {
		t.Errorf("refused %d of 5, want 3: the maximum cuts the burst to 2", refused)
	}
	if len(of(b.Handle(ms, ask("x", "once")), Reject)) != 0 {
		t.Error("another class was refused by the override's bucket")
	}
}

func outcome(id string, attempt int, server string, code Code, latency time.Duration) Outcome {
	return Outcome{ID: id, Attempt: attempt, Server: server, Code: code, Latency: latency, RequestEnded: code == OK}
}

func TestRepeatsKeepToTheirClass(t *testing.T) {
	for _, c := range []struct {
		class      string
		code       Code
		after      time.Duration
		resent     bool
		sameZone   bool
		sameCell   bool
		mayRefuse  bool
		wantAction ActionKind
	}{
		{class: "free", code: ServerError, resent: true},
		{class: "once", code: ServerError, wantAction: Fail},
		{class: "once", code: Reset, wantAction: Fail},
		{class: "once", code: TimedOut, wantAction: Fail},
		{class: "once", code: Overloaded, resent: true},
		{class: "once", code: ConnectFailed, resent: true},
		{class: "all", code: ServerError, resent: true},
		{class: "zone", code: ServerError, resent: true, sameZone: true},
		{class: "cell", code: ServerError, resent: true, sameCell: true},
		{class: "all", code: ServerError, after: 301 * ms, wantAction: Reject},
		{class: "zone", code: ServerError, after: 301 * ms, wantAction: Fail},
		{class: "cell", code: ServerError, after: 301 * ms, wantAction: Fail},
	} {
		list := members(8)
		b := start(t, site(1), list)
		first := sentTo(t, b.Handle(ms, ask("x", c.class)))
		acts := b.Handle(2*ms+c.after, outcome("x", 0, first, c.code, c.after))
		if !c.resent {
			if len(of(acts, Send)) != 0 || len(of(acts, c.wantAction)) != 1 {
				t.Errorf("%s after %v at %v: got %+v", c.class, c.code, c.after, acts)
			}
			continue
		}
		second := sentTo(t, acts)
		zone, cell := map[string]string{}, map[string]int64{}
		for _, m := range list {
			zone[m.ID], cell[m.ID] = m.Zone, m.Cell
		}
		if c.sameZone && zone[first] != zone[second] || c.sameCell && cell[first] != cell[second] {
			t.Errorf("%s: first %s, then %s outside its group", c.class, first, second)
		}
	}
}

// A trial that its second copy outran must not block later trials.
func TestOutrunTrialIsFollowedByAnother(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.outlier.ejectedUntil
	if got := sentTo(t, b.Handle(now, ask("x", "free"))); got != "s00" {
		t.Fatalf("trial went to %s", got)
	}
	b.Handle(now+100*ms, outcome("x", 0, "s00", Cancelled, 100*ms))
	if s.outlier.probationInFlight {
		t.Error("the trial still counts as out")
	}
	now = s.outlier.ejectedUntil
	if got := sentTo(t, b.Handle(now, ask("y", "free"))); got != "s00" {
		t.Errorf("next trial went to %s, want s00", got)
	}
}

// A hung server that is full turns trials away at once: that must not invite the next trial.
func TestFullTrialPutsTheNextOff(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.outlier.ejectedUntil
	b.Handle(now, ask("x", "free"))
	b.Handle(now+ms, outcome("x", 0, "s00", Overloaded, ms))
	if got := sentTo(t, b.Handle(now+2*ms, ask("y", "free"))); got == "s00" {
		t.Error("tried again at once")
	}
}

// A slow request at a server that answers others is no sign of a hang.
func TestTimeOutAtAnAnsweringServerIsNoStrike(t *testing.T) {
	b := start(t, site(1), members(6))
	s := b.servers["s00"]
	b.Handle(ms, ask("x", "once"))
	s.lastResponseAt = 100 * ms
	b.Handle(600*ms, outcome("x", 0, "s00", TimedOut, 600*ms))
	if s.outlier.failureScore != 0 {
		t.Errorf("score %v, want 0", s.outlier.failureScore)
	}
}

func TestRatesFollowRoom(t *testing.T) {
	b := start(t, site(1), members(2))
	for range 100 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value >= 0.5 || b.rateMultiplier.value < minRateMultiplier {
		t.Errorf("after 100 choices without room the scale is %v", b.rateMultiplier.value)
	}
	was := b.rateMultiplier.value
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value != was {
		t.Error("the scale rose though no bucket refused")
	}
	b.rateMultiplier.bucketRejected = true
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value <= was {
		t.Error("the scale did not rise though a bucket refused and there was room")
	}
}

// A request that is held for long tells once that servers had no room, not at each look.
func TestHeldRequestMovesTheRatesOnce(t *testing.T) {
	b := start(t, site(1), members(1))
	s := b.order()[0]
	s.concurrencyLimit, s.limitReached, s.inFlight = 1, true, 3
	b.Handle(ms, ask("x", "free"))
	was := b.rateMultiplier.value
	for now := 2 * ms; now < 80*ms; now += queuePollInterval {
		b.Handle(now, Timer{Token: queueTimerToken})
	}
	if len(b.queue.requests) != 1 || was >= 1 || b.rateMultiplier.value != was {
		t.Errorf("%d held, the scale went from %v to %v", len(b.queue.requests), was, b.rateMultiplier.value)
	}
}

// Nodes begin their walks apart.
func TestStagger(t *testing.T) {
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

// A cold server gets a small part of what a warm one gets, over all nodes.
func TestColdServerIsNotPushedOver(t *testing.T) {
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
	if most := rate / len(list) / 2; sends > most || sends == 0 {
		t.Errorf("%d of %d went to the cold server, want some but at most %d", sends, rate, most)
	}
}

// Traffic far beyond the shares passes only while next to no answer is bad: other nodes may lack the room.
func TestRatesFarOverTheSharesNeedGoodAnswers(t *testing.T) {
	b := start(t, site(1), members(2))
	grow := func() {
		for range 200 {
			b.rateMultiplier.bucketRejected = true
			b.adjustRateMultiplier(true)
		}
	}
	grow()
	if b.rateMultiplier.value != maxRateMultiplier {
		t.Errorf("with good answers the scale is %v, want %v", b.rateMultiplier.value, maxRateMultiplier)
	}
	for range 20 {
		b.updateConcurrencyLimit(b.order()[0], b.classes.ordered[0], TimedOut, ms, 1)
	}
	grow()
	if b.rateMultiplier.value > cautiousRateMultiplier*(1+rateIncreaseStep) {
		t.Errorf("with bad answers the scale is %v, want about %v", b.rateMultiplier.value, cautiousRateMultiplier)
	}
}

// The rate to a cold server leaves one multiple of its capacity to chance, whatever multiple is allowed.
func TestColdRateLeavesOneMultipleToChance(t *testing.T) {
	for multiple, want := range map[float64]float64{1: 0.35, 2: 0.7, 3: 1.4} {
		set := site(1)
		set.Rules.OverloadMultiple, set.Rules.SlowStartMinCapacity, set.Rules.SlowStartDuration = multiple, 0.5, time.Hour
		b := start(t, set, members(1))
		b.slowStart.completionRate, b.slowStart.completionRateAt, b.now = 100, time.Second, time.Second // a hundred answers a second at one server
		s := b.order()[0]
		s.StartedAt = b.now
		s.warmupBudget = warmupBudget{refilledAt: b.now - 10*ms}
		b.hasWarmupBudget(s)
		if got, rate := s.warmupBudget.tokens, want*0.5*100*0.01; math.Abs(got-rate) > 0.01 {
			t.Errorf("multiple %v: %v requests in 10 ms, want %v", multiple, got, rate)
		}
	}
}

// What all nodes together first trust a server with stays the same where nodes are few: four of each of
// three nodes jam the first server in the order.
func TestStartIsSharedByFewNodes(t *testing.T) {
	for nodes := 1; nodes <= maxSmallFleet; nodes++ {
		b := start(t, site(nodes), members(4))
		if all := b.order()[0].concurrencyLimit * float64(nodes); math.Abs(all-initialFleetLimit) > 1e-9 {
			t.Errorf("%d nodes: %v attempts in all, want %v", nodes, all, initialFleetLimit)
		}
	}
}

// A failed call for the list, or a lost subscription, is repeated soon enough to count as asking, and not
// by all nodes at once.
func TestFailedListCallsAreRepeatedApart(t *testing.T) {
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
			t.Error("not asked again")
		}
	}
	if len(waits) < 8 {
		t.Errorf("8 nodes wait only %d different times", len(waits))
	}
}

// Aims leave three to five times the work of a request. Where half an aim goes by, a request has waited
// for about as long as it was served, and a threshold that still grew would do so until servers choke.
func TestWaitsAsLongAsTheWorkLowerTheThreshold(t *testing.T) {
	b := start(t, site(1), members(2))
	s, c := b.order()[0], b.classes.ordered[0]
	for _, v := range []struct {
		part float64 // of the aim
		grow bool
	}{{0.3, true}, {0.5, false}, {0.9, false}} {
		s.concurrencyLimit, s.inFlight = 10, 10
		b.updateConcurrencyLimit(s, c, OK, seconds(v.part*c.LatencyObjective.Seconds()), 1)
		if grew := s.concurrencyLimit > 10; grew != v.grow || s.concurrencyLimit == 10 {
			t.Errorf("an answer after %v of its aim moves the threshold from 10 to %v", v.part, s.concurrencyLimit)
		}
	}
}

// Where no server has room, the least busy still takes a little of the dearest class, and the class that
// is worth least waits for room.
func TestDearestClassIsGivenUpLast(t *testing.T) {
	set := site(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	b := start(t, set, members(2))
	for _, s := range b.order() {
		s.concurrencyLimit, s.limitReached, s.inFlight = 10, true, 12
	}
	if sent := of(b.Handle(ms, ask("cheap", "free")), Send); len(sent) != 0 {
		t.Errorf("the cheapest class is sent over the threshold: %+v", sent)
	}
	if sent := of(b.Handle(ms, ask("dear", "once")), Send); len(sent) != 1 {
		t.Errorf("the dearest class is not sent, though servers are little over the threshold")
	}
	for _, s := range b.order() {
		s.inFlight = int(maxOvercommitLearned * 10)
	}
	if sent := of(b.Handle(ms, ask("late", "once")), Send); len(sent) != 0 {
		t.Errorf("the dearest class is sent to servers that are far over the threshold")
	}
}

// Of what a node may spend once, the process that takes over gets all that is left, and the one that
// ceded spends nothing more of it until it takes the node back.
func TestCededProcessSpendsNothingOfTheNodes(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0, Window: time.Second}
	cold := append(members(2), Endpoint{ID: "young", Zone: "a", StartedAt: 9 * time.Second, Weight: 1})
	old := start(t, set, cold)
	now := 10 * time.Second
	retried := func(b *Balancer, id string) bool {
		t.Helper()
		first := sentTo(t, b.Handle(now, ask(id, "free")))
		acts := b.Handle(now, Outcome{ID: id, Server: first, Code: Overloaded})
		return len(of(acts, Send)) > 0
	}
	if !retried(old, "a") {
		t.Fatal("no further attempt before")
	}
	know := old.Snapshot(now)
	old.Handle(now, HandedOver{Active: true})
	tokens := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens
	if sum := tokens + know.Buckets[0].Tokens; sum > old.rateLimiter.tenantLimits["t"].Burst {
		t.Errorf("%d tokens in both, one node may have %d", sum, old.rateLimiter.tenantLimits["t"].Burst)
	}
	now += 2 * time.Second // beyond the span
	if retried(old, "b") {
		t.Error("a ceded process made a further attempt")
	}
	old.Handle(now, ask("c", "free"))
	if got := old.rateLimiter.buckets.byKey[bucketKey{tenant: "t"}].tokens; got != tokens-2 {
		t.Errorf("%d tokens after two requests, want %d: no refill", got, tokens-2)
	}
	if old.hasWarmupBudget(old.servers["young"]) {
		t.Error("a ceded process may send to a cold server")
	}
	old.Handle(now, HandedOver{})
	if !retried(old, "d") {
		t.Error("taken back, it makes no further attempt")
	}
}

// What one process knows another learns, by a clock of its own.
func TestKnowledgePassesToAnotherClock(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0, Window: 10 * time.Second}
	list := append(members(3), Endpoint{ID: "young", Zone: "a", StartedAt: 8 * time.Second, Weight: 1})
	old := start(t, set, list)
	now := 10 * time.Second
	first := sentTo(t, old.Handle(now, ask("a", "free")))
	old.Handle(now, Outcome{ID: "a", Server: first, Code: Overloaded})
	old.servers["s01"].concurrencyLimit, old.servers["young"].warmupBudget.tokens = 7, 0.25
	old.servers["s02"].outlier = outlierState{failureScore: 0.4, ejected: true, ejectedUntil: 12 * time.Second, ejections: 2}
	know := old.Snapshot(now)

	const ahead = 40 * time.Second
	for i := range list {
		if list[i].StartedAt > 0 {
			list[i].StartedAt += ahead + ms
		}
	}
	heir, err := New(set, now+ahead, 2)
	if err != nil {
		t.Fatal(err)
	}
	heir.Handle(now+ahead, EndpointList{Kind: ListCached, Endpoints: list})
	heir.Restore(now+ahead, know)
	if got := heir.servers["s01"].concurrencyLimit; got != 7 {
		t.Errorf("threshold %v", got)
	}
	if got := heir.servers["young"].warmupBudget; got.tokens != 0.25 {
		t.Errorf("cold budget %+v", got)
	}
	if got := heir.servers["s02"].outlier; !got.ejected || got.ejectedUntil != 12*time.Second+ahead || got.ejections != 2 {
		t.Errorf("health %+v", got)
	}
	if listed, avoided := heir.Servers(); listed != 4 || avoided != 1 {
		t.Errorf("%d servers, %d avoided", listed, avoided)
	}
	if heir.mayRetry() {
		t.Error("the budget of attempts was spent before")
	}
	for i := range list { // a server that started again is another
		list[i].StartedAt = now + ahead
	}
	fresh := start(t, set, list)
	fresh.Restore(now+ahead, know)
	if got := fresh.servers["s01"].concurrencyLimit; got == 7 {
		t.Error("a new process of a server inherits the threshold of its former one")
	}
}

// New settings leave what was learned, and requests that are open, as they were; former forms are taken
// by the former rules.
func TestNewSettingsKeepWhatWasLearned(t *testing.T) {
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
		t.Errorf("threshold %v", s.concurrencyLimit)
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
		t.Error("a request in its class's former form is not repeated")
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

// Faults at all servers alike are not theirs: they cut no threshold and eject nobody. One that fails
// alone, or far more often than the others, is out as soon as before.
func TestFaultsEverywhereBlameNobody(t *testing.T) {
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
			s.inFlight = 9 // its threshold is felt
			blame := b.failureWeight(s, code)
			b.updateConcurrencyLimit(s, b.classes.ordered[0], code, ms, blame)
			b.updateOutlierState(&attempt{server: s, sentAt: b.now}, code, blame)
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
				t.Errorf("%s resets everywhere: threshold %.1f of 10", name, s.concurrencyLimit)
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
		t.Error("the only server is not blamed")
	}
}

// While one process replaces another, a server's threshold holds for what both have out there.
func TestThresholdsHoldOverBothProcesses(t *testing.T) {
	old, heir := start(t, site(1), members(2)), start(t, site(1), members(2))
	full := int(old.servers["s00"].concurrencyLimit)
	for i := range full {
		sentTo(t, old.Handle(ms, ask(fmt.Sprint("o", i), "free")))
	}
	out := old.InFlight()
	if out["s00"] != full || len(out) != 1 {
		t.Fatalf("%v are out, want %d at the first server", out, full)
	}
	out["gone"] = 5 // and a server that this process has not heard of
	heir.SetSiblingInFlight(out)
	if first := sentTo(t, heir.Handle(ms, ask("a", "free"))); first == "s00" {
		t.Error("the first server is filled again")
	}
	heir.SetSiblingInFlight(nil)
	if next := sentTo(t, heir.Handle(ms, ask("b", "free"))); next != "s00" {
		t.Errorf("sent to %s, though the other process has nothing out any more", next)
	}
}

// While the dearest class finds no room, what is worth less gives way before it takes any, the more the less it is
// worth; the dearest never does, and neither does any where reports tell of room.
func TestCheapClassesGiveWayToTheDearest(t *testing.T) {
	set := site(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight, set.Classes[2].PriorityWeight = 1, 5, 3
	b := start(t, set, members(4))
	refused := func(class string) (part float64) {
		const asked = 2000
		for range asked {
			if b.shouldShed(b.classes.byName[class]) {
				part += 1.0 / asked
			}
		}
		return part
	}
	if got := refused("free"); got != 0 {
		t.Errorf("%v of the cheapest are given up while the dearest find room", got)
	}
	b.loadShedder.highPriorityShortage = 0.15
	cheapest, middle, dearest := refused("free"), refused("all"), refused("once")
	if math.Abs(cheapest-0.48) > 0.05 || math.Abs(middle-0.24) > 0.05 || dearest != 0 {
		t.Errorf("%v of the cheapest, %v of the middle and %v of the dearest class are given up, want 0.48, 0.24 and 0",
			cheapest, middle, dearest)
	}
	b.loadShedder.highPriorityShortage = 1
	if got := refused("free"); math.Abs(got-maxShedProbability) > 0.05 {
		t.Errorf("%v of the cheapest are given up while no dear one finds room, want %v", got, maxShedProbability)
	}
	if acts := b.Handle(ms, ask("x", "once")); len(of(acts, Send)) != 1 {
		t.Errorf("the dearest class gives way: %+v", acts)
	}
	told := fleet(t, 40, members(4))
	told.loadShedder.highPriorityShortage, told.loadShedder.maxPriorityWeight = 1, 5
	if told.shouldShed(told.classes.byName["free"]) {
		t.Error("a class gives way though reports tell of room")
	}
}
