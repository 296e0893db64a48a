package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// fleet is a node among many, at a site whose servers report their load.
func fleet(t *testing.T, nodes int, list []Endpoint) *Balancer {
	t.Helper()
	set := site(nodes)
	set.ReportFields = []string{"latency_ms", "util", "qps"}
	return start(t, set, list)
}

func report(latency, util, rate float64) []float64 { return []float64{latency, util, rate} }

// hears gives the node n answers of a server with the same report, each a tenth of a second apart.
func hears(b *Balancer, s *server, n int, row []float64) {
	for range n {
		b.now += 100 * ms
		b.onLoadReport(s, row)
	}
}

// A node that sees little of each server sizes its parts of them by what they report they can serve: by
// its own answers it learned too late that one is a third of another. Latency must not count: it grows
// with the crowd and made small servers look large.
func TestPartsFollowReportedRates(t *testing.T) {
	list := members(12)
	for i := range list {
		list[i].Kind = []string{"big", "small"}[i%2]
	}
	b := fleet(t, 40, list)
	big, small := b.servers["s00"], b.servers["s01"]
	if b.effectiveLimit(big) != b.effectiveLimit(small) {
		t.Fatalf("before any report the limits are %v and %v, want them equal", b.effectiveLimit(big), b.effectiveLimit(small))
	}
	hears(b, big, 30, report(100, 0.5, 30))
	hears(b, small, 30, report(400, 0.5, 10))
	if got := b.effectiveLimit(big) / b.effectiveLimit(small); math.Abs(got-3) > 0.1 {
		t.Errorf("a server of three times the rate has %v times the limit", got)
	}
	if got := b.effectiveLimit(b.servers["s02"]) / b.effectiveLimit(b.servers["s03"]); math.Abs(got-3) > 0.1 {
		t.Errorf("servers not heard of yet differ by %v, want them to count as their kinds", got)
	}
}

// All attempts of a node stay within a window, which shrinks while servers are too busy and grows where
// they aren't and the node had no room; room that nobody wanted moves nothing.
func TestWindowFollowsTheBusyPart(t *testing.T) {
	b := fleet(t, 40, members(40))
	s, first := b.order()[0], b.concurrencyWindow()
	hears(b, s, 30, report(100, 0.3, 10))
	if b.concurrencyWindow() != first {
		t.Errorf("the window went from %v to %v though it was never full", first, b.concurrencyWindow())
	}
	hears(b, s, 30, report(100, 1, 30))
	full := b.concurrencyWindow()
	if full >= first {
		t.Errorf("the window is %v while servers are full, want less than %v", full, first)
	}
	for range 60 {
		b.window.capacityWanted = true
		hears(b, s, 1, report(100, 0.3, 10))
	}
	if b.concurrencyWindow() <= full {
		t.Errorf("the window stays at %v though it was full and servers are idle", b.concurrencyWindow())
	}
}

// However many servers there are, a node sends no more than its window at once, and the dearest class
// finds some room beyond that.
func TestWindowHolds(t *testing.T) {
	set := site(40)
	set.ReportFields = []string{"latency_ms", "util", "qps"}
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	set.Tenants[0].Quota = 1e6
	b := start(t, set, members(40))
	send := func(class string) (n int) {
		for i := range 100 {
			n += len(of(b.Handle(b.now, ask(fmt.Sprint(class, i), class)), Send))
		}
		return n
	}
	if n := send("free"); float64(n) >= b.concurrencyWindow()+1 || n < 2 {
		t.Errorf("%d attempts are out, the window is %v", n, b.concurrencyWindow())
	}
	if n := send("once"); n == 0 {
		t.Error("the dearest class found no room beyond the window")
	}
	if most := maxOvercommitReported*b.concurrencyWindow() + 1; float64(b.window.inFlight) > most {
		t.Errorf("%d attempts are out, want at most %v", b.window.inFlight, most)
	}
}

// A server that is busy and far slower than its kind is choked: it comes back only by a rest, which the
// trials of many nodes would take from it. So none is tried that lies behind a server with room.
func TestChokedServerRests(t *testing.T) {
	b := fleet(t, 40, members(12))
	for _, s := range b.order() {
		hears(b, s, 3, report(100, 0.5, 10))
	}
	first, last := b.order()[0], b.order()[11]
	hears(b, first, 1, report(900, 1, 3))
	hears(b, last, 1, report(900, 1, 3))
	if !first.outlier.ejected || !last.outlier.ejected {
		t.Fatal("choked servers are not rested")
	}
	b.now += maxEjectionTime
	if s := b.pickProbation(&request{class: b.classes.ordered[0], usefulUntil: b.now + time.Second}); s != first {
		t.Errorf("tried out %+v, want the first of the walk", s)
	}
	if s := b.pickProbation(&request{class: b.classes.ordered[0], usefulUntil: b.now + time.Second}); s != nil {
		t.Errorf("%s is tried out, though servers before it have room", s.ID)
	}
}

// What can't be a load report moves nothing, and neither does the report of an idle server.
func TestRubbishReportsMoveNothing(t *testing.T) {
	b := fleet(t, 40, members(12))
	s := b.order()[0]
	hears(b, s, 3, report(100, 0.5, 10))
	limit, window := b.effectiveLimit(s), b.concurrencyWindow()
	nan, inf := math.NaN(), math.Inf(1)
	for _, row := range [][]float64{nil, {1}, report(nan, 1, 1), report(100, nan, 10), report(100, 0.5, nan),
		report(100, 0.5, inf), report(100, inf, 10), report(-1, 0.5, 10), report(100, 0, 0), report(100, 40, 10)} {
		b.window.capacityWanted = true
		hears(b, s, 1, row)
		if b.effectiveLimit(s) != limit || b.concurrencyWindow() != window {
			t.Errorf("%v moved the limit from %v to %v, the window from %v to %v", row, limit, b.effectiveLimit(s), window, b.concurrencyWindow())
		}
	}
}

// Where reports tell of room, a fleet short of it gives up what is worth least; the rates of the buckets
// stay at the shares, for they would refuse the dearest class as much as the cheapest.
func TestRatesStayAtTheSharesWhereLoadIsReported(t *testing.T) {
	b := fleet(t, 40, members(12))
	for range 500 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value != 1 {
		t.Errorf("the pace is %v, want 1", b.rateMultiplier.value)
	}
	b = start(t, site(40), members(12))
	for range 500 {
		b.adjustRateMultiplier(false)
	}
	if b.rateMultiplier.value != minRateMultiplier {
		t.Errorf("without reports the pace is %v, want %v", b.rateMultiplier.value, minRateMultiplier)
	}
}

// While most of the fleet is cold, the mean rate over servers says little of what one can take: the warm
// ones are full and the cold ones idle. A cold server gets what its age allows of its kind's rate.
func TestColdServersGetTheirPartOfTheKindsRate(t *testing.T) {
	list := members(12)
	for i := range list {
		list[i].Kind = "k"
		if i > 0 {
			list[i].StartedAt = 1
		}
	}
	const nodes, rate, span = 40, 40.0, 60
	b := fleet(t, nodes, list)
	hears(b, b.servers["s00"], 10, report(100, 0.5, rate/2))
	cold := b.servers["s01"]
	sends := 0
	for range span * 10 {
		b.now += 5 * ms
		if b.hasWarmupBudget(cold) {
			cold.warmupBudget.tokens--
			sends++
		}
	}
	got, present := float64(sends)*nodes/(span*0.05), rate*b.warmFraction(cold)
	if got < 0.5*present || got > b.settings.Rules.OverloadMultiple*present {
		t.Errorf("all nodes send %v a second to a server that takes %v", got, present)
	}
}

// An attempt that timed out still waits or runs at its server, though the node counts it no more: until
// it is likely worked off, the server is left alone, or all nodes' next attempts choke it.
func TestServerThatLetAnAttemptTimeOutIsLeftAlone(t *testing.T) {
	b := fleet(t, 40, members(12))
	first := b.order()[0]
	b.now += 5 * seconds(first.meanLatency)
	if s := sentTo(t, b.Handle(b.now, ask("a", "free"))); s != first.ID {
		t.Fatalf("sent to %s, want %s", s, first.ID)
	}
	b.Handle(b.now+250*ms, outcome("a", 0, first.ID, TimedOut, 250*ms))
	for i := range 20 {
		if b.hasCapacity(first) {
			t.Fatalf("%d ms after the time-out it is sent to again", i*10)
		}
		b.now += 10 * ms
	}
	b.now += 20 * seconds(first.meanLatency)
	if !b.hasCapacity(first) {
		t.Error("it is never sent to again")
	}
}

// Work for an answer that comes too late is lost: a cold or choked server gets only what can wait for it,
// and what it once said of itself is forgotten.
func TestSlowServersGetOnlyWhatCanWait(t *testing.T) {
	b := fleet(t, 40, members(12))
	s := b.order()[0]
	hears(b, s, 5, report(50, 0.5, 10))
	short := &request{class: b.classes.ordered[0], usefulUntil: b.now + 200*ms}
	long := &request{class: b.classes.ordered[0], usefulUntil: b.now + 2000*ms}
	if !b.answersInTime(short, s) {
		t.Fatal("a fast server is not used")
	}
	hears(b, s, 1, report(400, 0.9, 10))
	if b.answersInTime(short, s) || !b.answersInTime(long, s) {
		t.Errorf("a slow server: %v for what is worth 200 ms, %v for 2 s", b.answersInTime(short, s), b.answersInTime(long, s))
	}
	b.now += 10 * reportDecayTime
	short.usefulUntil = b.now + 200*ms
	if !b.answersInTime(short, s) {
		t.Error("a server is not used for ever after one slow report")
	}
	s.StartedAt = b.now
	if b.answersInTime(short, s) {
		t.Error("a server that has just started is taken for a fast one")
	}
}

// A choked or cold server is busy whatever the node does; that says nothing of the room at the others.
func TestWindowDoesNotFollowChokedOrColdServers(t *testing.T) {
	b := fleet(t, 40, members(12))
	for _, s := range b.order() {
		hears(b, s, 3, report(100, 0.5, 10))
	}
	was := b.concurrencyWindow()
	b.order()[1].StartedAt = b.now
	hears(b, b.order()[0], 20, report(900, 1, 3))
	hears(b, b.order()[1], 20, report(100, 1, 3))
	if trust := b.concurrencyWindow() / b.warmedUpWeight() * 12 / was; trust < 0.99 {
		t.Errorf("the window fell to %v of what it was", trust)
	}
}

// A client's aim counts from its first try. A retry that comes after that is refused at once, lest the
// answers to it, which are worth nothing, take the room of others; an earlier one is worth less time.
func TestRetriesCountFromTheFirstTry(t *testing.T) {
	set := site(2)
	set.Classes[0].Deadline = 1000 * ms // and an aim of 250 ms
	b := start(t, set, members(4))
	try := func(id string, retry bool, open int) []Action {
		r := ask(id, "free")
		r.ClientRetry, r.Timeout = retry, time.Duration(open)*ms
		return b.Handle(b.now+ms, r)
	}
	first := of(try("first", false, 600), Send)
	again := of(try("again", true, 600), Send)
	if len(first) != 1 || len(again) != 1 || again[0].AttemptDeadline-first[0].AttemptDeadline >= ms {
		t.Errorf("a first try is sent as %+v, a retry as %+v, want it worth less time", first, again)
	}
	// The deadline ends it 450 ms from now, so the first try began 550 ms ago.
	if acts := try("late", true, 450); len(of(acts, Reject)) != 1 {
		t.Errorf("a retry after the aim brings %+v, want a refusal", acts)
	}
}

// Servers at half their load are at times full and at times idle: what counts is how busy they are in
// all. Single reports, taken by themselves, moved the window down more than up.
func TestWindowFollowsTheMeanOfReports(t *testing.T) {
	b := fleet(t, 40, members(12))
	hears(b, b.order()[0], 5, report(100, 0.5, 10))
	was := b.concurrencyWindow()
	for i := range 60 {
		b.window.capacityWanted = true
		hears(b, b.order()[0], 1, report(100, []float64{0.4, 1}[i%2], 10))
	}
	if b.concurrencyWindow() < was {
		t.Errorf("the window fell from %v to %v at servers that are 0.7 busy", was, b.concurrencyWindow())
	}
}

// Discovery is one service for all nodes. When many start together their first calls are spread, and calls
// that go on failing become fewer, but not so few that a drain is missed for long.
func TestCallsForTheListSpreadAndBackOff(t *testing.T) {
	set := site(40)
	set.SubscribeList = true
	wait := func(acts []Action) time.Duration {
		t.Helper()
		timers := of(acts, SetTimer)
		if len(of(acts, WatchList)) != 0 || len(timers) != 1 || timers[0].Token != listTimerToken {
			t.Fatalf("want a timer for the list alone, got %+v", acts)
		}
		return timers[0].Wait
	}
	var first, failed, later time.Duration
	seen := make(map[time.Duration]bool)
	for seed := range uint64(200) {
		b, err := New(set, 0, seed)
		if err != nil {
			t.Fatal(err)
		}
		w := wait(b.Handle(0, EndpointList{Kind: ListCached, Endpoints: members(4)}))
		first, seen[w] = max(first, w), true
		failed += wait(b.Handle(0, EndpointList{Kind: ListUnavailable})) / 200
		for range 10 {
			later = max(later, wait(b.Handle(0, EndpointList{Kind: ListUnavailable})))
		}
		b.Handle(0, EndpointList{Kind: ListUpdate})
		if w := wait(b.Handle(0, EndpointList{Kind: ListUnavailable})); w > listBackoffBase*3/2 {
			t.Fatalf("after a good answer the next failure waits %v", w)
		}
	}
	if first > set.Rules.DrainGrace || len(seen) < 100 {
		t.Errorf("the first calls take up to %v and %d of 200 times differ", first, len(seen))
	}
	if later < 2*failed || later > listBackoffMax*3/2 {
		t.Errorf("the first failure waits %v, later ones up to %v", failed, later)
	}
}

// A choice looks at each server a fixed number of times: one that counts all of them anew at each took a busy node
// among many servers all of its time, and its clients got no answers.
func TestChoiceTakesAsLongAsThereAreServers(t *testing.T) {
	takes := func(servers int) time.Duration {
		b := fleet(t, 300, members(servers))
		b.window.inFlight = 1e6 // so that none has room, and each is looked at
		r := &request{Request: ask("r", "free"), class: b.classes.byName["free"], maxAttempts: 1}
		r.deadline, r.usefulUntil = b.now+time.Hour, b.now+time.Hour
		best := time.Hour
		for range 200 {
			began := time.Now()
			b.dispatch(r)
			best = min(best, time.Since(began))
			if len(r.attempts) > 0 {
				t.Fatal("a server had room")
			}
		}
		return best
	}
	if few, many := takes(50), takes(800); many > 64*few {
		t.Errorf("16 times the servers take %d times as long: %v and %v", many/few, few, many)
	}
}

// Nodes of a large fleet that get no load reports can't hold their thresholds for a server so low that it is not
// jammed by all of them: attempts that are lost tell them of room, and they admit less until those are answered again.
// A handful of nodes go by their thresholds.
func TestRatesFollowLostAttemptsWhereNodesAreMany(t *testing.T) {
	for _, c := range []struct {
		nodes  int
		follow bool
	}{{300, true}, {8, false}} {
		set := site(c.nodes)
		set.Tenants = []Tenant{{Name: "t", Quota: 10 * float64(c.nodes)}}
		b := start(t, set, members(200))
		now, n := Time(0), 0
		admitted := func(code Code) (part float64) {
			const asked = 300
			for range asked {
				now += 20 * ms
				n++
				id := fmt.Sprint("r", n)
				for _, a := range of(b.Handle(now, ask(id, "free")), Send) {
					part += 1.0 / asked
					end := outcome(id, 0, a.Server, code, 40*ms)
					end.RequestEnded = true
					b.Handle(now+ms, end)
				}
			}
			return part
		}
		admitted(OK)
		usual := admitted(OK)
		admitted(TimedOut)
		if got := admitted(TimedOut); (got < 0.6*usual) != c.follow {
			t.Errorf("%d nodes: %.2f of the requests are admitted while attempts time out, %.2f before", c.nodes, got, usual)
		}
		for range 5 { // the rates above the shares wait until few answers of the last hundreds are bad
			admitted(OK)
		}
		if got := admitted(OK); got < 0.9*usual {
			t.Errorf("%d nodes: %.2f of the requests are admitted after that, %.2f before", c.nodes, got, usual)
		}
	}
}
