package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartFleet simulates many nodes and a few servers in virtual time, without sockets. It keeps
// its own count of the requests that all nodes together send to servers that are warming up.
type slowStartFleet struct {
	rng        *rand.Rand
	set        Settings
	now        Time
	queue      eventQueue
	sequence   int
	nodes      []*Balancer
	generation []int // number of each node's current process; events for its former processes are dropped
	reachable  int   // number of reachable nodes by membership; 0 without membership
	servers    map[string]*slowStartServer
	requests   int
	served     int
}

// slowStartServer processes one request per core at a time, and more slowly while it is warming up.
type slowStartServer struct {
	Endpoint
	capacity           float64 // requests per second once it has warmed up
	coresFreeAt        []Time
	sentWhileWarmingUp []Time // when each request was sent to it
}

type fleetEvent struct {
	at    Time
	order int
	do    func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *slowStartFleet) after(wait time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, fleetEvent{f.now + wait, f.sequence, do})
}

// newSlowStartFleet starts the nodes. If reachable isn't 0, the nodes are told that this many nodes are
// reachable, which may differ from the number in the settings.
func newSlowStartFleet(seed uint64, set Settings, nodes, reachable int, servers []Endpoint,
	capacity float64) *slowStartFleet {
	f := &slowStartFleet{rng: rand.New(rand.NewPCG(seed, 7)), set: set, now: time.Hour, reachable: reachable,
		nodes: make([]*Balancer, nodes), generation: make([]int, nodes), servers: make(map[string]*slowStartServer)}
	for _, m := range servers {
		f.servers[m.ID] = &slowStartServer{Endpoint: m, capacity: capacity, coresFreeAt: make([]Time, 2)}
	}
	for n := range nodes {
		f.startNode(n)
	}
	return f
}

func (f *slowStartFleet) endpoints() (all []Endpoint) {
	for i := range len(f.servers) {
		all = append(all, f.servers[fmt.Sprintf("s%02d", i)].Endpoint)
	}
	return all
}

func (f *slowStartFleet) startNode(n int) {
	set := f.set
	set.NodeIndex = n % set.NodeCount
	f.nodes[n], _ = New(set, f.now, f.rng.Uint64())
	f.generation[n]++
	f.handle(n, EndpointList{Kind: ListCached, Endpoints: f.endpoints()})
	if f.reachable > 0 {
		f.handle(n, FleetSize{ReachableNodes: f.reachable})
	}
}

func (f *slowStartFleet) handle(n int, ev Event) {
	for _, a := range append([]Action(nil), f.nodes[n].Handle(f.now, ev)...) {
		switch a.Kind {
		case Send:
			f.send(n, a)
		case SetTimer:
			f.handleLater(n, a.Wait, Timer{Token: a.Token})
		}
	}
}

// handleLater hands an event to a node after the wait, unless the node's process has been replaced by then.
func (f *slowStartFleet) handleLater(n int, wait time.Duration, ev Event) {
	generation := f.generation[n]
	f.after(wait, func() {
		if f.generation[n] == generation {
			f.handle(n, ev)
		}
	})
}

// capacityFraction returns the fraction of its capacity that a server has at a time.
func (f *slowStartFleet) capacityFraction(s *slowStartServer, at Time) float64 {
	age := at - s.StartedAt
	if s.StartedAt == 0 || age >= f.set.Rules.SlowStartDuration {
		return 1
	}
	return f.set.Rules.SlowStartMinCapacity + (1-f.set.Rules.SlowStartMinCapacity)*age.Seconds()/f.set.Rules.SlowStartDuration.Seconds()
}

func (f *slowStartFleet) send(n int, a Action) {
	s := f.servers[a.Server]
	fraction := f.capacityFraction(s, f.now)
	if fraction < 1 {
		s.sentWhileWarmingUp = append(s.sentWhileWarmingUp, f.now)
	}
	core := 0
	for i := range s.coresFreeAt {
		if s.coresFreeAt[i] < s.coresFreeAt[core] {
			core = i
		}
	}
	work := f.rng.ExpFloat64() * float64(len(s.coresFreeAt)) / (s.capacity * fraction)
	s.coresFreeAt[core] = max(s.coresFreeAt[core], f.now) + seconds(work)
	latency, code := s.coresFreeAt[core]-f.now, OK
	if until := a.AttemptDeadline - f.now; latency > until {
		latency, code = until, TimedOut
	} else {
		f.served++
	}
	row := report(latency.Seconds()*1000, 0.9, s.capacity*fraction*0.9)
	f.handleLater(n, latency, Outcome{ID: a.ID, Attempt: len(f.nodes[n].requests[a.ID].attempts) - 1, Server: a.Server, Code: code,
		Latency: latency, RequestEnded: code == OK, LoadReport: row})
}

// sendRequests sends requests to random nodes for a time, at a rate in requests per second for all nodes.
func (f *slowStartFleet) sendRequests(rate float64, span time.Duration) {
	end := f.now + span
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		f.requests++
		f.handle(f.rng.IntN(len(f.nodes)), Request{ID: fmt.Sprint("r", f.requests), Class: "free", Tenant: "t",
			Timeout: 2 * time.Second})
		f.after(seconds(f.rng.ExpFloat64()/rate), next)
	}
	f.after(0, next)
	f.run(span)
}

func (f *slowStartFleet) run(span time.Duration) {
	end := f.now + span
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// restartServers restarts servers. Each node gets the update at a different time.
func (f *slowStartFleet) restartServers(ids ...string) {
	var changed []Endpoint
	for _, id := range ids {
		f.servers[id].StartedAt = f.now
		changed = append(changed, f.servers[id].Endpoint)
	}
	for n := range f.nodes {
		f.handleLater(n, time.Duration(f.rng.IntN(300))*ms, EndpointList{Kind: ListUpdate, Endpoints: changed})
	}
}

// worstOverload returns the largest number of requests that a server got within the overload duration while
// it was warming up, divided by the bound. The bound is N + 2*sqrt(N) + 2: N requests reach the overload
// multiple, and the rest allows for chance. It also returns the number of all requests sent to servers that
// were warming up.
func (f *slowStartFleet) worstOverload() (worst float64, sent int) {
	span := f.set.Rules.OverloadDuration
	for _, s := range f.servers {
		sent += len(s.sentWhileWarmingUp)
		first := 0
		for i, at := range s.sentWhileWarmingUp {
			for s.sentWhileWarmingUp[first] < at-span {
				first++
			}
			n := f.set.Rules.OverloadMultiple * s.capacity * f.capacityFraction(s, s.sentWhileWarmingUp[first]) * span.Seconds()
			worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst, sent
}

// slowStartCase is a scenario: the number of nodes that the nodes of a fleet are told, the capacity of the
// servers, and the load on the fleet.
type slowStartCase struct {
	name                  string
	configured, reachable int     // nodes in the settings, and by membership (0: no membership)
	capacity              float64 // requests per second of a server that has warmed up
	restarting            bool    // a third of the nodes restart while servers are warming up
	loadBefore, loadAfter float64 // load for 3 s after restarts, and later; 1: capacity of the other servers
}

const (
	slowStartNodes      = 30
	warmedUpServersLeft = 8 // servers that don't restart
)

var slowStartCases = []slowStartCase{
	{name: "configured node count", capacity: 10, configured: slowStartNodes, loadBefore: 0.7, loadAfter: 1.2},
	{name: "larger servers", capacity: 20, configured: slowStartNodes, loadBefore: 0.7, loadAfter: 1.2},
	{name: "a burst after a quiet time", capacity: 10, configured: slowStartNodes, loadBefore: 0.05, loadAfter: 2},
	{name: "more nodes by membership than configured", capacity: 10, configured: 5, reachable: slowStartNodes, loadBefore: 0.05, loadAfter: 2},
	{name: "fewer nodes by membership than configured", capacity: 10, configured: 60, reachable: slowStartNodes, loadBefore: 0.05, loadAfter: 2},
	{name: "a third of the nodes restarts", capacity: 10, configured: slowStartNodes, reachable: slowStartNodes, restarting: true, loadBefore: 0.3, loadAfter: 2},
}

func (c slowStartCase) simulate(seed uint64, reports bool) *slowStartFleet {
	set := testSettings(c.configured)
	set.Classes = []Class{{Name: "free", LatencyObjective: time.Second, Deadline: 2 * time.Second, RetrySafety: Idempotent, PriorityWeight: 1}}
	set.Tenants = []Tenant{{Name: "t", Quota: 1e6}}
	set.Rules.SlowStartDuration, set.Rules.OverloadMultiple = 20*time.Second, 2
	if reports {
		set.ReportFields = []string{reportLatency, reportUtil, reportRate}
	}
	f := newSlowStartFleet(seed, set, slowStartNodes, c.reachable, testEndpoints(12), c.capacity)
	f.sendRequests(0.7*warmedUpServersLeft*c.capacity, 5*time.Second)
	f.restartServers("s00", "s03", "s06", "s09")
	f.sendRequests(c.loadBefore*warmedUpServersLeft*c.capacity, 3*time.Second)
	if c.restarting {
		for n := 0; n < slowStartNodes; n += 3 {
			f.startNode(n)
		}
	}
	f.sendRequests(c.loadAfter*warmedUpServersLeft*c.capacity, 6*time.Second)
	return f
}

// All nodes together send a server that is warming up at most N + 2*sqrt(N) + 2 requests within the overload
// duration, where N requests reach the overload multiple of the settings. This also holds for small servers,
// after a burst, and when nodes restart.
func TestAllNodesTogetherStayWithinTheOverloadBound(t *testing.T) {
	for _, c := range slowStartCases {
		for _, reports := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reports %v", c.name, reports), func(t *testing.T) {
				t.Parallel()
				lowest, worst, sent := math.Inf(1), 0.0, 0
				for seed := range uint64(10) {
					ratio, warmingUp := c.simulate(seed, reports).worstOverload()
					if ratio > 1 {
						t.Errorf("seed %d: requests to a server that is warming up are %.2f times the bound, want at most 1",
							seed, ratio)
					}
					lowest, worst, sent = min(lowest, ratio), max(worst, ratio), sent+warmingUp
				}
				if sent == 0 {
					t.Error("no requests were sent to servers that are warming up")
				}
				t.Logf("%d requests to servers that are warming up; worst overload by seed: %.2f to %.2f of the bound",
					sent, lowest, worst)
			})
		}
	}
}

// The warm-up budget follows the peak rate of servers that have warmed up, not their current rate. Otherwise
// the budget would be lowest while those servers fail and the servers that are warming up are needed.
func TestWarmupBudgetIsKeptAfterTheLossOfOtherServers(t *testing.T) {
	set := testSettings(1)
	set.Rules.SlowStartMinCapacity, set.Rules.SlowStartDuration = 0.5, time.Hour
	list := testEndpoints(12)
	const warmingUp = 4
	for i := range warmingUp {
		list[i].StartedAt = 1
	}
	b := startBalancer(t, set, list)
	const perSecond = 80
	for i := range 10 * perSecond {
		b.now += time.Second / perSecond
		r := &request{class: b.classes.ordered[0]}
		b.observeOutcome(r, &attempt{server: b.servers[fmt.Sprintf("s%02d", warmingUp+i%8)]}, Outcome{Code: OK, Latency: 20 * ms})
	}
	if got := b.serverPeakRate(); math.Abs(got-perSecond/8) > 1 {
		t.Fatalf("peak rate of a server: got %v requests per second, want about %v", got, perSecond/8)
	}
	before := b.serverPeakRate()
	rate := func() float64 { // allowed requests per second to a server with half its capacity
		s := b.servers["s00"]
		s.StartedAt, s.warmupBudget = b.now, warmupBudget{refilledAt: b.now - 10*ms}
		b.refillWarmupBudget(s)
		return s.warmupBudget.tokens / 0.01
	}
	allowed := rate()
	for i := warmingUp; i < 9; i++ {
		b.Handle(b.now, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{{ID: fmt.Sprintf("s%02d", i), Availability: Removed}}})
	}
	b.now += 10 * time.Second
	if got := b.serverPeakRate(); got < 0.8*before {
		t.Errorf("peak rate 10 s after the loss of most servers: got %v, want at least 80%% of %v", got, before)
	}
	if got := rate(); got < 0.8*allowed {
		t.Errorf("warm-up rate 10 s after the loss of most servers: got %v, want at least 80%% of %v", got, allowed)
	}
	b.now += 10 * peakRateDecayTime
	if got := b.serverPeakRate(); got > 0.01*before {
		t.Errorf("peak rate after ten decay times: got %v, want at most 1%% of %v", got, before)
	}
}

// A server that is warming up is chosen before the walk in packing order, because the walk would usually end
// at an earlier server with capacity. The server that is warming up gets the first attempts of requests of
// all classes except the highest-priority class. It gets first attempts of that class only while the class
// is short of capacity.
func TestWarmingUpServersAreChosenBeforeTheWalk(t *testing.T) {
	set := testSettings(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	list := append(testEndpoints(6), Endpoint{ID: "z-near", Zone: "a", StartedAt: 1, Weight: 1},
		Endpoint{ID: "z-far", Zone: "b", StartedAt: 1, Weight: 1})
	fresh := func() *Balancer {
		b := startBalancer(t, set, list)
		for _, id := range []string{"z-near", "z-far"} {
			b.servers[id].warmupBudget.tokens = 1
		}
		return b
	}
	if got := sentTo(t, fresh().Handle(ms, newRequest("low", "free"))); got != "z-near" {
		t.Errorf("low-priority request sent to %s, want the server in the node's zone that is warming up", got)
	}
	if got := sentTo(t, fresh().Handle(ms, newRequest("high", "once"))); got != "s00" {
		t.Errorf("high-priority request sent to %s, want s00, which has warmed up", got)
	}
	b := fresh()
	b.loadShedder.highPriorityShortage = 2 * maxShortageForSlowStart
	if got := sentTo(t, b.Handle(ms, newRequest("high", "once"))); got != "z-near" {
		t.Errorf("high-priority request while capacity is short sent to %s, want z-near, which is warming up", got)
	}
	b = fresh()
	if b.servers["z-near"].warmupBudget.tokens = 0; sentTo(t, b.Handle(ms, newRequest("low", "free"))) != "s00" {
		t.Error("low-priority request with an empty warm-up budget isn't sent to s00, which has warmed up")
	}
	first := sentTo(t, b.Handle(ms, newRequest("again", "free")))
	b.servers["z-near"].warmupBudget.tokens = 1
	if got := sentTo(t, b.Handle(2*ms, outcome("again", 0, first, Overloaded, ms))); got == "z-near" {
		t.Errorf("retry sent to %s, want a server that has warmed up", got)
	}
}

// While most servers are warming up, the mean rate over all servers says little about the capacity of a
// server: servers that have warmed up are full and the others are idle. A server that is warming up gets its
// warm fraction of its kind's service rate.
func TestWarmupBudgetFollowsTheServiceRateOfTheKind(t *testing.T) {
	list := testEndpoints(12)
	for i := range list {
		list[i].Kind = "k"
		if i > 0 {
			list[i].StartedAt = 1
		}
	}
	const nodes, rate, span = 40, 40.0, 60
	b := startLargeFleet(t, nodes, list)
	reportLoad(b, b.servers["s00"], 10, report(100, 0.5, rate/2))
	warmingUp := b.servers["s01"]
	sends := 0
	for range span * 10 {
		b.now += 5 * ms
		if b.refillWarmupBudget(warmingUp) {
			warmingUp.warmupBudget.tokens--
			sends++
		}
	}
	got, present := float64(sends)*nodes/(span*0.05), rate*b.warmFraction(warmingUp)
	if got < 0.5*present || got > b.settings.Rules.OverloadMultiple*present {
		t.Errorf("all nodes send %v requests/s to a server that can take %v, want 0.5 to OverloadMultiple times it",
			got, present)
	}
}

// A server's capacity grows linearly over the slow-start duration, after which it counts as warmed up.
func TestWarmFraction(t *testing.T) {
	w := slowStart{minCapacity: 0.2, duration: 10 * time.Second}
	s := &server{Endpoint: Endpoint{StartedAt: time.Hour}, segment: &segment{}}
	w.add(s, time.Hour)
	for _, c := range []struct {
		age      time.Duration
		fraction float64
		warmedUp int
	}{{0, 0.2, 0}, {5 * time.Second, 0.6, 0}, {10*time.Second - 1, 1, 0}, {10 * time.Second, 1, 1}} {
		now := time.Hour + c.age
		if got := w.warmFraction(s, now); math.Abs(got-c.fraction) > 1e-6 {
			t.Errorf("warm fraction: got %v at the age of %v, want %v", got, c.age, c.fraction)
		}
		if w.promote(now); w.warmedUp != c.warmedUp {
			t.Errorf("warmed-up servers: got %d at the age of %v, want %d", w.warmedUp, c.age, c.warmedUp)
		}
	}
	if got := w.warmFraction(&server{}, time.Hour); got != 1 {
		t.Errorf("warm fraction without a start time: got %v, want 1", got)
	}
	if w.remove(s); w.warmedUp != 0 {
		t.Errorf("warmed-up servers after the only server was removed: got %d, want 0", w.warmedUp)
	}
}

// The warm-up budget fills at its rate, up to its maximum.
func TestWarmupBudgetFills(t *testing.T) {
	w := warmupBudget{refilledAt: time.Hour}
	for _, c := range []struct {
		after time.Duration
		may   bool
	}{{400 * ms, false}, {500 * ms, true}, {time.Minute, true}} {
		if got := w.refill(time.Hour+c.after, 2, 3); got != c.may {
			t.Errorf("request allowed after %v: got %v with %v tokens, want the opposite", c.after, got, w.tokens)
		}
	}
	if w.tokens != 3 {
		t.Errorf("tokens after a minute: got %v, want the maximum of 3", w.tokens)
	}
}

// In the first 3 s after a server's start, all nodes together send it some attempts, but at most half of an
// even share.
func TestWarmingUpServerGetsAtMostHalfOfAnEvenShare(t *testing.T) {
	list := testEndpoints(8)
	list[0].StartedAt = 1000 * ms
	const nodes = 8
	sends, rate := 0, 0
	for n := range nodes {
		set := testSettings(nodes)
		set.NodeIndex = n
		b := startBalancer(t, set, list)
		for i := range 3000 {
			now := 1000*ms + time.Duration(i)*ms
			id := fmt.Sprint(i)
			for _, a := range actionsOf(b.Handle(now, newRequest(id, "free")), Send) {
				rate++
				if a.Server == "s00" {
					sends++
				}
				b.Handle(now, outcome(id, 0, a.Server, OK, ms))
			}
		}
	}
	if limit := rate / len(list) / 2; sends > limit || sends == 0 {
		t.Errorf("attempts sent to the server that is warming up: got %d of %d, want 1 to %d", sends, rate, limit)
	}
}

// The rate to a server that is warming up is warmupTargetFraction of its current capacity times
// OverloadMultiple-1, or times minOverloadMargin if that is higher.
func TestWarmupRateFollowsTheOverloadMultiple(t *testing.T) {
	for multiple, want := range map[float64]float64{1: 0.35, 2: 0.7, 3: 1.4} {
		set := testSettings(1)
		set.Rules.OverloadMultiple, set.Rules.SlowStartMinCapacity, set.Rules.SlowStartDuration = multiple, 0.5, time.Hour
		b := startBalancer(t, set, testEndpoints(1))
		b.completions.rate, b.completions.rateAt, b.now = 100, time.Second, time.Second // responses per second
		s := b.order()[0]
		s.StartedAt = b.now
		s.warmupBudget = warmupBudget{refilledAt: b.now - 10*ms}
		b.refillWarmupBudget(s)
		if got, rate := s.warmupBudget.tokens, want*0.5*100*0.01; math.Abs(got-rate) > 0.01 {
			t.Errorf("overload multiple %v: budget for 10 ms is %v requests, want %v", multiple, got, rate)
		}
	}
}
