package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldFleet plays many nodes before a few servers in virtual time, without sockets, and keeps its own books of what
// all of them together send to servers that are cold.
type coldFleet struct {
	rng     *rand.Rand
	set     Settings
	now     Time
	queue   eventQueue
	order   int
	nodes   []*Balancer
	life    []int // of each node: what was meant for a former process of it is lost
	heard   int   // nodes that membership tells of; 0 for no membership
	servers map[string]*coldServer
	asked   int
	served  int
}

// coldServer works on as many requests at once as it has cores, and slower while it is cold.
type coldServer struct {
	Endpoint
	capacity float64 // requests a second when warm
	free     []Time  // when each of its cores is
	sent     []Time  // requests that were sent to it while it was cold
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

func (f *coldFleet) after(wait time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, fleetEvent{f.now + wait, f.order, do})
}

// newColdFleet starts nodes that hear of each other where heard says so. The settings may tell another number.
func newColdFleet(seed uint64, set Settings, nodes, heard int, servers []Endpoint, capacity float64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 7)), set: set, now: time.Hour, heard: heard,
		nodes: make([]*Balancer, nodes), life: make([]int, nodes), servers: make(map[string]*coldServer)}
	for _, m := range servers {
		f.servers[m.ID] = &coldServer{Endpoint: m, capacity: capacity, free: make([]Time, 2)}
	}
	for n := range nodes {
		f.startNode(n)
	}
	return f
}

func (f *coldFleet) list() (all []Endpoint) {
	for i := range len(f.servers) {
		all = append(all, f.servers[fmt.Sprintf("s%02d", i)].Endpoint)
	}
	return all
}

func (f *coldFleet) startNode(n int) {
	set := f.set
	set.NodeIndex = n % set.NodeCount
	f.nodes[n], _ = New(set, f.now, f.rng.Uint64())
	f.life[n]++
	f.event(n, EndpointList{Kind: ListCached, Endpoints: f.list()})
	if f.heard > 0 {
		f.event(n, FleetSize{ReachableNodes: f.heard})
	}
}

func (f *coldFleet) event(n int, ev Event) {
	for _, a := range append([]Action(nil), f.nodes[n].Handle(f.now, ev)...) {
		switch a.Kind {
		case Send:
			f.send(n, a)
		case SetTimer:
			f.toNode(n, a.Wait, Timer{Token: a.Token})
		}
	}
}

// toNode hands an event in later, if that process of the node still runs then.
func (f *coldFleet) toNode(n int, wait time.Duration, ev Event) {
	life := f.life[n]
	f.after(wait, func() {
		if f.life[n] == life {
			f.event(n, ev)
		}
	})
}

// part is what a server can do now of what it can when warm.
func (f *coldFleet) part(s *coldServer, at Time) float64 {
	age := at - s.StartedAt
	if s.StartedAt == 0 || age >= f.set.Rules.SlowStartDuration {
		return 1
	}
	return f.set.Rules.SlowStartMinCapacity + (1-f.set.Rules.SlowStartMinCapacity)*age.Seconds()/f.set.Rules.SlowStartDuration.Seconds()
}

func (f *coldFleet) send(n int, a Action) {
	s := f.servers[a.Server]
	part := f.part(s, f.now)
	if part < 1 {
		s.sent = append(s.sent, f.now)
	}
	core := 0
	for i := range s.free {
		if s.free[i] < s.free[core] {
			core = i
		}
	}
	work := f.rng.ExpFloat64() * float64(len(s.free)) / (s.capacity * part)
	s.free[core] = max(s.free[core], f.now) + seconds(work)
	took, code := s.free[core]-f.now, OK
	if until := a.AttemptDeadline - f.now; took > until {
		took, code = until, TimedOut
	} else {
		f.served++
	}
	row := report(took.Seconds()*1000, 0.9, s.capacity*part*0.9)
	f.toNode(n, took, Outcome{ID: a.ID, Attempt: len(f.nodes[n].requests[a.ID].attempts) - 1, Server: a.Server, Code: code,
		Latency: took, RequestEnded: code == OK, LoadReport: row})
}

// ask has requests come at all nodes together at a rate for a time.
func (f *coldFleet) ask(rate float64, span time.Duration) {
	end := f.now + span
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		f.asked++
		f.event(f.rng.IntN(len(f.nodes)), Request{ID: fmt.Sprint("r", f.asked), Class: "free", Tenant: "t",
			Timeout: 2 * time.Second})
		f.after(seconds(f.rng.ExpFloat64()/rate), next)
	}
	f.after(0, next)
	f.run(span)
}

func (f *coldFleet) run(span time.Duration) {
	end := f.now + span
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// restartServers has all nodes hear that servers have started anew.
func (f *coldFleet) restartServers(ids ...string) {
	var changed []Endpoint
	for _, id := range ids {
		f.servers[id].StartedAt = f.now
		changed = append(changed, f.servers[id].Endpoint)
	}
	for n := range f.nodes {
		f.toNode(n, time.Duration(f.rng.IntN(300))*ms, EndpointList{Kind: ListUpdate, Endpoints: changed})
	}
}

// worstPart is the most that came to a cold server within the time in which it falls, in parts of what it bears then:
// the budget of N calls, and what is put down to chance.
func (f *coldFleet) worstPart() (worst float64, sent int) {
	span := f.set.Rules.OverloadDuration
	for _, s := range f.servers {
		sent += len(s.sent)
		first := 0
		for i, at := range s.sent {
			for s.sent[first] < at-span {
				first++
			}
			n := f.set.Rules.OverloadMultiple * s.capacity * f.part(s, s.sent[first]) * span.Seconds()
			worst = max(worst, float64(i-first+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst, sent
}

// coldCase is a way in which the nodes of a fleet know how many they are, and what comes to them.
type coldCase struct {
	name        string
	told, heard int     // nodes by the settings, and by membership (0: there is none)
	capacity    float64 // requests a second of a warm server
	restarting  bool    // a third of the nodes start anew while servers are cold
	idle, burst float64 // load once servers are cold, and after that, in parts of the capacity of the warm ones
}

const (
	coldNodes = 30
	warmLeft  = 8 // of the servers, while the others are cold
)

var coldCases = []coldCase{
	{name: "told by the settings", capacity: 10, told: coldNodes, idle: 0.7, burst: 1.2},
	{name: "larger servers", capacity: 20, told: coldNodes, idle: 0.7, burst: 1.2},
	{name: "a burst after a quiet time", capacity: 10, told: coldNodes, idle: 0.05, burst: 2},
	{name: "membership says more", capacity: 10, told: 5, heard: coldNodes, idle: 0.05, burst: 2},
	{name: "membership says fewer", capacity: 10, told: 60, heard: coldNodes, idle: 0.05, burst: 2},
	{name: "a third restarts", capacity: 10, told: coldNodes, heard: coldNodes, restarting: true, idle: 0.3, burst: 2},
}

func (c coldCase) play(seed uint64, reports bool) *coldFleet {
	set := site(c.told)
	set.Classes = []Class{{Name: "free", LatencyObjective: time.Second, Deadline: 2 * time.Second, RetrySafety: Idempotent, PriorityWeight: 1}}
	set.Tenants = []Tenant{{Name: "t", Quota: 1e6}}
	set.Rules.SlowStartDuration, set.Rules.OverloadMultiple = 20*time.Second, 2
	if reports {
		set.ReportFields = []string{reportLatency, reportUtil, reportRate}
	}
	f := newColdFleet(seed, set, coldNodes, c.heard, members(12), c.capacity)
	f.ask(0.7*warmLeft*c.capacity, 5*time.Second)
	f.restartServers("s00", "s03", "s06", "s09")
	f.ask(c.idle*warmLeft*c.capacity, 3*time.Second)
	if c.restarting {
		for n := 0; n < coldNodes; n += 3 {
			f.startNode(n)
		}
	}
	f.ask(c.burst*warmLeft*c.capacity, 6*time.Second)
	return f
}

// What all nodes together send to a cold server stays within what the settings allow it, N, and 2 x root of N + 2
// more, also where nodes are many and servers small, when a burst comes after a quiet time, and when nodes start anew.
func TestColdServersBearTheSumOfAllNodes(t *testing.T) {
	for _, c := range coldCases {
		for _, reports := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reports %v", c.name, reports), func(t *testing.T) {
				t.Parallel()
				least, worst, sent := math.Inf(1), 0.0, 0
				for seed := range uint64(10) {
					part, cold := c.play(seed, reports).worstPart()
					if part > 1 {
						t.Errorf("seed %d: %.2f times the bound is sent to a cold server", seed, part)
					}
					least, worst, sent = min(least, part), max(worst, part), sent+cold
				}
				if sent == 0 {
					t.Error("nothing was sent to cold servers")
				}
				t.Logf("%d sent to cold servers; in the worst window of each of ten seeds %.2f to %.2f of the bound", sent, least, worst)
			})
		}
	}
}

// What cold servers may take follows what warm ones were seen to carry, not what is answered while others fail: then
// it would be least when the cold ones are needed most.
func TestColdBudgetOutlivesTheLossOfWarmServers(t *testing.T) {
	set := site(1)
	set.Rules.SlowStartMinCapacity, set.Rules.SlowStartDuration = 0.5, time.Hour
	list := members(12)
	const cold = 4
	for i := range cold {
		list[i].StartedAt = 1
	}
	b := start(t, set, list)
	const perSecond = 80
	for i := range 10 * perSecond {
		b.now += time.Second / perSecond
		r := &request{class: b.classes.ordered[0]}
		b.observeOutcome(r, &attempt{server: b.servers[fmt.Sprintf("s%02d", cold+i%8)]}, Outcome{Code: OK, Latency: 20 * ms})
	}
	if got := b.slowStart.peakRate(b.now); math.Abs(got-perSecond/8) > 1 {
		t.Fatalf("a warm server is held to carry %v, want about %v", got, perSecond/8)
	}
	before := b.slowStart.peakRate(b.now)
	rate := func() float64 { // of a server half warm, by all nodes: this is the only one
		s := b.servers["s00"]
		s.StartedAt, s.warmupBudget = b.now, warmupBudget{refilledAt: b.now - 10*ms}
		b.hasWarmupBudget(s)
		return s.warmupBudget.tokens / 0.01
	}
	allowed := rate()
	for i := cold; i < 9; i++ {
		b.Handle(b.now, EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{{ID: fmt.Sprintf("s%02d", i), Availability: Removed}}})
	}
	b.now += 10 * time.Second
	if got := b.slowStart.peakRate(b.now); got < 0.8*before {
		t.Errorf("10 s after most warm servers are gone and nothing is answered, a warm one is held to carry %v of %v", got, before)
	}
	if got := rate(); got < 0.8*allowed {
		t.Errorf("a cold server may get %v requests a second then, %v before", got, allowed)
	}
	b.now += 10 * peakRateDecayTime
	if got := b.slowStart.peakRate(b.now); got > 0.01*before {
		t.Errorf("what a warm server carried long ago still counts %v of %v", got, before)
	}
}

// A cold server's part goes to it before the walk, which would hardly ever meet it behind servers with room: by
// first tries of what is worth less than the dearest, and by those too once they are short of room.
func TestColdServersGetTheirPartBeforeTheWalk(t *testing.T) {
	set := site(1)
	set.Classes[0].PriorityWeight, set.Classes[1].PriorityWeight = 1, 5
	list := append(members(6), Endpoint{ID: "z-cold", Zone: "a", StartedAt: 1, Weight: 1},
		Endpoint{ID: "z-far", Zone: "b", StartedAt: 1, Weight: 1})
	fresh := func() *Balancer {
		b := start(t, set, list)
		for _, id := range []string{"z-cold", "z-far"} {
			b.servers[id].warmupBudget.tokens = 1
		}
		return b
	}
	if got := sentTo(t, fresh().Handle(ms, ask("cheap", "free"))); got != "z-cold" {
		t.Errorf("a cheap request goes to %s, want the cold server of the own zone", got)
	}
	if got := sentTo(t, fresh().Handle(ms, ask("dear", "once"))); got != "s00" {
		t.Errorf("a dear request goes to %s, want a warm server", got)
	}
	b := fresh()
	b.loadShedder.highPriorityShortage = 2 * maxShortageForSlowStart
	if got := sentTo(t, b.Handle(ms, ask("dear", "once"))); got != "z-cold" {
		t.Errorf("a dear request goes to %s while room is short, want the cold server", got)
	}
	b = fresh()
	if b.servers["z-cold"].warmupBudget.tokens = 0; sentTo(t, b.Handle(ms, ask("cheap", "free"))) != "s00" {
		t.Error("a cold server is sent more than its part")
	}
	first := sentTo(t, b.Handle(ms, ask("again", "free")))
	b.servers["z-cold"].warmupBudget.tokens = 1
	if got := sentTo(t, b.Handle(2*ms, outcome("again", 0, first, Overloaded, ms))); got == "z-cold" {
		t.Errorf("a further attempt goes to %s, want a warm server", got)
	}
}
