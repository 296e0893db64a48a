package policy

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var record = flag.Bool("record", false, "rewrite the recorded events and actions")

// recorder simulates servers and clients of one node, and records the events that it hands to the node's
// processes.
type recorder struct {
	t            *testing.T
	scenario     scenario
	rng          *rand.Rand
	now          Time
	queue        recorderQueue
	order        int
	replayer     replayer
	clockOffsets []Time // offset of each process's clock from r.now
	serving      int    // process that gets the clients' requests
	settings     recordedSettings
	servers      []*simulatedServer
	requests     map[string]*simulatedRequest
	requestCount int
	events       []recordedEvent
}

// simulatedServer is a server in the simulation of the recorder.
type simulatedServer struct {
	recordedEndpoint
	baseLatency        time.Duration // mean latency without load
	cores              int
	inFlight           int
	otherNodesInFlight int           // attempts of other nodes in flight
	fault              recorderFault // kind of failure of some attempts
	faultRatio         float64       // fraction of the attempts that fail, 0 to 1
	latencyFactor      float64       // multiplies the latency; values below 1 count as 1
}

type recorderFault uint8

const (
	noFault recorderFault = iota
	failing
	overloaded
	resetting
	unreachable
	hanging
	failingLate
	mixed
)

type simulatedRequest struct {
	recordedRequest
	process    int
	attempts   []bool // whether each attempt has finished
	completeAt Time   // when the last byte of the request arrives
	answered   bool
}

type recorderTask struct {
	at    Time
	order int
	do    func()
}

type recorderQueue []recorderTask

func (q recorderQueue) Len() int { return len(q) }
func (q recorderQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q recorderQueue) Swap(i, j int)  { q[i], q[j] = q[j], q[i] }
func (q *recorderQueue) Push(task any) { *q = append(*q, task.(recorderTask)) }
func (q *recorderQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (r *recorder) after(wait time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, recorderTask{r.now + wait.Truncate(recorderStep), r.order, do})
}

// call makes and records one call of a process and carries out the returned actions.
func (r *recorder) call(process int, e recordedEvent) {
	e.Process, e.At = process, int64(r.now+r.clockOffset(process))
	r.events = append(r.events, e)
	actions, _, err := r.replayer.apply(&e)
	if err != nil {
		r.t.Fatalf("scenario %q: %v", r.scenario.name, err)
	}
	for _, a := range slices.Clone(actions) {
		r.act(process, a)
	}
}

func (r *recorder) clockOffset(process int) Time {
	if process < len(r.clockOffsets) {
		return r.clockOffsets[process]
	}
	return 0
}

func (r *recorder) act(process int, a Action) {
	switch a.Kind {
	case Send:
		r.send(process, a)
	case SetTimer:
		token := a.Token
		r.after(max(a.Wait, ms), func() { r.call(process, recordedEvent{Timer: &token}) })
	case Reject:
		r.handleReject(a)
	case Fail:
		r.requests[a.ID].answered = true
	case Cancel:
		r.after(ms, func() { r.outcome(process, a.ID, recordedOutcome{Attempt: a.Attempt, Code: uint8(Cancelled)}) })
	case WatchList:
		r.after(3*ms, func() {
			if r.rng.IntN(2) == 0 {
				r.list(process, ListUnavailable)
			} else {
				r.list(process, ListReplace)
			}
		})
	}
}

// handleReject ends a rejected request. Some clients retry it.
func (r *recorder) handleReject(a Action) {
	p := r.requests[a.ID]
	p.answered = true
	if r.rng.IntN(3) > 0 || p.ClientRetry {
		return
	}
	r.after(max(a.Wait, 30*ms), func() {
		retry := p.recordedRequest
		retry.ID += "b"
		retry.ClientRetry, retry.Incomplete = true, false
		retry.Timeout = max(int64(50*ms), retry.Timeout-int64(a.Wait)-int64(100*ms))
		r.request(retry)
	})
}

func (r *recorder) server(id string) *simulatedServer {
	for _, s := range r.servers {
		if s.ID == id {
			return s
		}
	}
	r.t.Fatalf("scenario %q: unknown server %q", r.scenario.name, id)
	return nil
}

func (r *recorder) send(process int, a Action) {
	p, s := r.requests[a.ID], r.server(a.Server)
	n := len(p.attempts)
	p.attempts = append(p.attempts, false)
	s.inFlight++
	code, latency := r.drawOutcome(s)
	if p.completeAt > r.now {
		latency += p.completeAt - r.now
	}
	deadline := a.AttemptDeadline - r.clockOffset(process)
	if r.now+latency > deadline && p.completeAt <= r.now {
		code, latency = TimedOut, max(0, deadline-r.now)
	}
	latency = latency.Truncate(recorderStep)
	o := recordedOutcome{Server: a.Server, Attempt: n, Code: uint8(code), Latency: int64(latency), RequestEnded: code == OK,
		BodyConsumed: code != OK && r.rng.IntN(30) == 0}
	if code == OK && r.settings.streams(p.Class) {
		r.after(latency/2, func() {
			if !p.attempts[n] {
				r.call(process, recordedEvent{FirstByte: &recordedOutcome{ID: a.ID, Server: a.Server, Attempt: n,
					Latency: int64(latency / 2)}})
			}
		})
	}
	r.after(latency, func() {
		if code == OK {
			o.LoadReport = r.report(s, latency)
		}
		s.inFlight--
		r.outcome(process, a.ID, o)
	})
}

func (s *recordedSettings) streams(class string) bool {
	return slices.ContainsFunc(s.Classes, func(c recordedClass) bool { return c.Name == class && c.Streaming })
}

func (r *recorder) outcome(process int, id string, o recordedOutcome) {
	p := r.requests[id]
	if p.attempts[o.Attempt] && r.rng.IntN(20) > 0 { // some attempts get a second outcome, which must be ignored
		return
	}
	p.attempts[o.Attempt] = true
	p.answered = p.answered || o.RequestEnded
	o.ID = id
	r.call(process, recordedEvent{Outcome: &o})
}

// drawOutcome draws the outcome of an attempt at a server, and its latency.
func (r *recorder) drawOutcome(s *simulatedServer) (Code, time.Duration) {
	load := float64(s.inFlight+s.otherNodesInFlight) / float64(s.cores)
	latency := float64(s.baseLatency) * (0.4 + 0.6*r.rng.ExpFloat64()) * max(1, load) *
		max(1, s.latencyFactor) / r.warmFraction(s)
	if r.rng.IntN(200) == 0 {
		return NotAttempted, ms
	}
	fault := s.fault
	if fault == mixed {
		fault = []recorderFault{failing, overloaded, resetting, unreachable, hanging, failingLate}[r.rng.IntN(6)]
	}
	if fault != noFault && r.rng.Float64() < s.faultRatio {
		switch fault {
		case failing:
			return ServerError, 5 * ms
		case failingLate:
			return ServerError, 350 * ms
		case overloaded:
			return Overloaded, ms
		case resetting:
			return Reset, 2 * ms
		case unreachable:
			return ConnectFailed, ms
		case hanging:
			return TimedOut, time.Hour
		}
	}
	if load > 4 && r.rng.IntN(3) == 0 {
		return Overloaded, ms
	}
	return OK, max(ms, time.Duration(latency))
}

func (r *recorder) warmFraction(s *simulatedServer) float64 {
	age := r.now - Time(s.StartedAt) + r.clockOffsets[0]
	if s.StartedAt == 0 || age >= Time(r.settings.SlowStartDuration) {
		return 1
	}
	return max(0.1, r.settings.SlowStartMinCapacity+(1-r.settings.SlowStartMinCapacity)*age.Seconds()/Time(r.settings.SlowStartDuration).Seconds())
}

// report draws a server's load report, with the values in the order of recordedReportFields. It may return
// nil, a report that lacks values, or the report of an idle server.
func (r *recorder) report(s *simulatedServer, latency time.Duration) []float64 {
	if len(r.settings.ReportFields) == 0 || r.rng.IntN(10) == 0 {
		return nil
	}
	if r.rng.IntN(50) == 0 {
		return []float64{1}
	}
	if r.rng.IntN(60) == 0 { // an idle server
		return make([]float64, len(r.settings.ReportFields))
	}
	util := min(1.4, float64(s.inFlight+s.otherNodesInFlight)/float64(s.cores))
	rate := util * float64(s.cores) / (s.baseLatency.Seconds() * max(1, s.latencyFactor)) * r.warmFraction(s)
	row := []float64{float64(latency.Microseconds()) / 1000, float64(int(util*1000)) / 1000, float64(int(rate*10)) / 10}
	return append(row, make([]float64, len(r.settings.ReportFields)-3)...)
}

// list hands a process a list of the given kind. A whole list contains all servers except removed ones, and
// an update contains the changed servers.
func (r *recorder) list(process int, kind ListKind, changed ...*simulatedServer) {
	list := &recordedList{Kind: uint8(kind)}
	if kind == ListReplace || kind == ListCached {
		changed = r.servers
	}
	for _, s := range changed {
		if s.Availability == uint8(Removed) && kind != ListUpdate {
			continue
		}
		m := s.recordedEndpoint
		if m.StartedAt > 0 {
			m.StartedAt += int64(r.clockOffset(process) - r.clockOffset(0))
		}
		list.Endpoints = append(list.Endpoints, m)
	}
	r.call(process, recordedEvent{List: list})
}

// change applies a change to servers and hands the serving process an update.
func (r *recorder) change(do func(s *simulatedServer), ids ...string) {
	var changed []*simulatedServer
	for _, id := range ids {
		s := r.server(id)
		do(s)
		changed = append(changed, s)
	}
	r.list(r.serving, ListUpdate, changed...)
}

func setDraining(s *simulatedServer) { s.Availability = uint8(Draining) }
func setRemoved(s *simulatedServer)  { s.Availability = uint8(Removed) }
func setRunning(s *simulatedServer)  { s.Availability = uint8(Running) }

// restart restarts servers, which then warm up.
func (r *recorder) restart(ids ...string) {
	r.change(func(s *simulatedServer) {
		s.Availability, s.StartedAt = uint8(Running), int64(r.now+r.clockOffset(0))
	}, ids...)
}

// setFault makes servers that match the predicate fail a fraction of their attempts.
func (r *recorder) setFault(fault recorderFault, faultRatio float64, which func(s *simulatedServer) bool) {
	for _, s := range r.servers {
		if which(s) {
			s.fault, s.faultRatio = fault, faultRatio
		}
	}
}

func (r *recorder) setSlowdown(factor float64, which func(s *simulatedServer) bool) {
	for _, s := range r.servers {
		if which(s) {
			s.latencyFactor = factor
		}
	}
}

func allServers(*simulatedServer) bool { return true }

func inZone(zone string) func(s *simulatedServer) bool {
	return func(s *simulatedServer) bool { return s.Zone == zone }
}

func withIDs(ids ...string) func(s *simulatedServer) bool {
	return func(s *simulatedServer) bool { return slices.Contains(ids, s.ID) }
}

// start creates a process of the node with a clock offset, and returns its index.
func (r *recorder) start(offset Time) int {
	process := len(r.replayer.processes)
	r.clockOffsets = append(r.clockOffsets, offset)
	r.call(process, recordedEvent{New: &recordedNew{Seed: r.scenario.seed + uint64(process), Settings: r.settings}})
	return process
}

// configure changes the settings and hands them to the serving process.
func (r *recorder) configure(change func(s *recordedSettings)) {
	r.settings.Classes = slices.Clone(r.settings.Classes)
	change(&r.settings)
	settings := r.settings
	r.call(r.serving, recordedEvent{Settings: &settings})
}

// replaceProcess performs a hot restart: a new process takes over from the serving one.
func (r *recorder) replaceProcess() {
	old := r.serving
	r.call(old, recordedEvent{HandedOver: &recordedHandedOver{Active: true}})
	r.serving = r.start(r.clockOffset(old) + time.Hour)
	r.list(r.serving, ListCached)
	r.call(r.serving, recordedEvent{Restore: &recordedRestore{From: old, At: int64(r.now + r.clockOffset(old))}})
	r.shareInFlight()
}

// shareInFlight hands each process the number of attempts that the other processes have in flight.
func (r *recorder) shareInFlight() {
	for process := range r.replayer.processes {
		other := make(map[string]int)
		for i, b := range r.replayer.processes {
			for id, n := range b.InFlight() {
				if i != process {
					other[id] += n
				}
			}
		}
		r.call(process, recordedEvent{SiblingInFlight: &recordedInFlight{ByServer: other}})
	}
}

// request hands a client's request to the serving process, at times twice. The client cancels it at its
// timeout, or in some cases earlier, if it has no response by then.
func (r *recorder) request(q recordedRequest) {
	p := &simulatedRequest{recordedRequest: q, process: r.serving}
	r.requests[q.ID] = p
	process := r.serving
	if q.Incomplete {
		wait := time.Duration(5+r.rng.IntN(60)) * ms
		p.completeAt = r.now + wait
		r.after(wait, func() { r.call(process, recordedEvent{RequestComplete: q.ID}) })
	}
	r.call(process, recordedEvent{Request: &q})
	if r.rng.IntN(100) == 0 {
		r.call(process, recordedEvent{Request: &q}) // duplicate
	}
	cancelAfter := time.Duration(q.Timeout)
	if r.rng.IntN(20) == 0 {
		cancelAfter = time.Duration(r.rng.IntN(30)) * ms
	}
	r.after(cancelAfter, func() {
		if !p.answered {
			p.answered = true
			r.call(process, recordedEvent{ClientCancelled: q.ID})
		}
	})
}

// arrive draws a request of a random class and tenant.
func (r *recorder) arrive() {
	r.requestCount++
	class := r.settings.Classes[r.rng.IntN(len(r.settings.Classes))]
	q := recordedRequest{ID: fmt.Sprint("r", r.requestCount), Class: class.Name, Tenant: "unknown", Timeout: class.Deadline / 2}
	if n := len(r.settings.Tenants); n > 0 && r.rng.IntN(8) > 0 {
		q.Tenant = r.settings.Tenants[r.rng.IntN(n)].Name
	}
	switch r.rng.IntN(25) {
	case 0:
		q.Class = "stranger"
	case 1:
		q.Timeout = int64(time.Duration(20+r.rng.IntN(100)) * ms)
	case 2:
		q.FormerClass = true
	case 3:
		q.ClientRetry = true
	case 4:
		q.Key, q.Write = fmt.Sprint("k", r.rng.IntN(9)), true
	}
	q.Incomplete = r.scenario.incompleteOneIn > 0 && r.rng.IntN(r.scenario.incompleteOneIn) == 0
	if class.ObjectivePerWork > 0 {
		q.EstimatedWork = int64(r.rng.IntN(200)) * int64(ms)
	}
	r.request(q)
}

// play runs the scenario.
func (r *recorder) play() recording {
	s := r.scenario
	r.serving = r.start(0)
	if s.start != nil {
		s.start(r)
	} else {
		r.list(0, ListCached)
	}
	end := r.now + s.duration
	for _, step := range s.steps {
		r.after(step.at, func() { step.do(r) })
	}
	var next func()
	next = func() {
		if r.now >= end {
			return
		}
		r.arrive()
		wait := float64(s.meanInterval)
		if s.burstStart > 0 && r.now-recorderStart >= s.burstStart && r.now-recorderStart < s.burstEnd {
			wait /= s.burstFactor
		}
		r.after(max(recorderStep, time.Duration(r.rng.ExpFloat64()*wait)), next)
	}
	r.after(s.meanInterval, next)
	for process := range 2 { // the exported state of the first two processes is read at intervals
		for at := time.Second; at < s.duration; at += 1300 * ms {
			r.after(at, func() {
				if process < len(r.replayer.processes) {
					r.call(process, recordedEvent{Observe: true})
				}
			})
		}
	}
	for len(r.queue) > 0 && r.queue[0].at <= end+3*time.Second {
		task := heap.Pop(&r.queue).(recorderTask)
		r.now = task.at
		task.do()
	}
	return recording{Name: s.name, Seed: s.seed, Events: r.events}
}

const (
	recorderStart = 10 * time.Minute
	recorderStep  = 100 * time.Microsecond // resolution of all times, which keeps the files small
)

func recordAll(t *testing.T) (all []recording) {
	t.Helper()
	for _, s := range recordedScenarios() {
		r := &recorder{t: t, scenario: s, rng: rand.New(rand.NewPCG(s.seed, 3)), now: recorderStart,
			settings: s.settings, servers: s.servers, requests: make(map[string]*simulatedRequest)}
		all = append(all, r.play())
		t.Logf("%s: %d events", s.name, len(r.events))
	}
	return append(all, recordInvalidSettings())
}

// scenario is a deployment with its load, and the steps that change the deployment.
type scenario struct {
	name                 string
	seed                 uint64
	settings             recordedSettings
	servers              []*simulatedServer
	duration             time.Duration
	meanInterval         time.Duration // mean time between requests
	burstStart, burstEnd time.Duration // period with burstFactor times as many requests
	burstFactor          float64
	incompleteOneIn      int               // one request in this many is incomplete at first; 0: none
	start                func(r *recorder) // hands over the first list; nil: a cached list of all servers
	steps                []scenarioStep
}

type scenarioStep struct {
	at time.Duration
	do func(r *recorder)
}

func scenarioSettings(nodes int) recordedSettings {
	return recordedSettings{
		NodeCount: nodes, NodeIndex: nodes / 3, Zone: "a",
		Classes: []recordedClass{
			{Name: "free", LatencyObjective: int64(250 * ms), Deadline: int64(1200 * ms), RetrySafety: uint8(Idempotent), PriorityWeight: 3},
			{Name: "once", LatencyObjective: int64(250 * ms), Deadline: int64(1200 * ms), LateWeight: 0.2, PriorityWeight: 1},
			{Name: "all", LatencyObjective: int64(250 * ms), Deadline: int64(1200 * ms), RetrySafety: uint8(IdempotencyKeyed), DedupScope: uint8(DedupEverywhere), DedupWindow: int64(300 * ms), PriorityWeight: 2},
			{Name: "zone", LatencyObjective: int64(250 * ms), Deadline: int64(1200 * ms), RetrySafety: uint8(IdempotencyKeyed), DedupScope: uint8(DedupPerZone), DedupWindow: int64(300 * ms), PriorityWeight: 0.5},
			{Name: "cell", LatencyObjective: int64(250 * ms), Deadline: int64(1200 * ms), RetrySafety: uint8(IdempotencyKeyed), DedupScope: uint8(DedupPerCell), DedupWindow: int64(300 * ms), PriorityWeight: 1},
			{Name: "stream", LatencyObjective: int64(300 * ms), Deadline: int64(1500 * ms), RetrySafety: uint8(Idempotent), Streaming: true, PriorityWeight: 1},
			{Name: "bulk", ObjectivePerWork: 2, Deadline: int64(2 * time.Second), LateWeight: 0.5, PriorityWeight: 0.2},
		},
		Tenants: []recordedTenant{{Name: "t", Quota: 1e5, Share: 0.7}, {Name: "u", Quota: 5e4, Share: 0.3}},
		Cancel:  true, Probe: true, Peers: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: int64(10 * time.Second),
		AnswerGrace: int64(100 * ms), DrainGrace: int64(2 * time.Second), SlowStartMinCapacity: 0.2, SlowStartDuration: int64(8 * time.Second),
		OverloadMultiple: 3, OverloadDuration: int64(2 * time.Second), PollInterval: int64(4 * time.Second),
	}
}

func scenarioServers(n, cores int, baseLatency time.Duration, zones ...string) (all []*simulatedServer) {
	for i := range n {
		zone := zones[i%len(zones)]
		all = append(all, &simulatedServer{cores: cores, baseLatency: baseLatency,
			recordedEndpoint: recordedEndpoint{ID: fmt.Sprintf("%s%02d", zone, i/len(zones)), Zone: zone,
				Kind: fmt.Sprint("k", i/2%2), Cell: int64(i % 3), Weight: 1}})
	}
	return all
}

func scenarioTopology() *recordedTopology {
	return &recordedTopology{RegionOfZone: map[string]string{"a": "north", "b": "north", "c": "south"}, SameRegionCost: 1, OtherRegionCost: 3,
		ZoneCosts: map[string]map[string]float64{"a": {"d": 2}}}
}

var recordedReportFields = []string{"latency_ms", "util", "qps", "inflight"}

func at(when time.Duration, do func(r *recorder)) scenarioStep { return scenarioStep{when, do} }

func recordedScenarios() []scenario {
	const second = time.Second
	var all []scenario
	add := func(s scenario, change func(s *recordedSettings)) {
		s.seed = uint64(len(all) + 1)
		if change != nil {
			change(&s.settings)
		}
		all = append(all, s)
	}

	add(scenario{name: "buckets and class limits", settings: scenarioSettings(2), servers: scenarioServers(4, 8, 20*ms, "a"),
		duration: 8 * second, meanInterval: 8 * ms, burstStart: 3 * second, burstEnd: 4 * second, burstFactor: 4, incompleteOneIn: 10,
		steps: []scenarioStep{
			at(5*second, func(r *recorder) {
				r.configure(func(s *recordedSettings) {
					s.Classes = s.Classes[1:]
					s.Classes[1].Deadline = int64(900 * ms)
					s.Limits.PerClass["all"] = recordedLimit{PerWindow: 3, Window: int64(second), Burst: 2}
				})
			}),
			at(6500*ms, func(r *recorder) {
				r.configure(func(s *recordedSettings) {
					s.Limits = recordedLimits{}
					s.Tenants = nil
				})
			}),
		}}, func(s *recordedSettings) {
		s.Tenants = []recordedTenant{{Name: "t", Quota: 60, Share: 0.5}, {Name: "u", Quota: 20, Share: 0.3}, {Name: "nothing", Quota: 0}}
		s.Limits = recordedLimits{PerClass: map[string]recordedLimit{"once": {PerWindow: 30, Window: int64(10 * second), Burst: 5},
			"stream": {PerWindow: 10, Window: 0, Burst: 3}}, Max: 40}
		s.RetryBudget = &recordedRetryBudget{MinRetries: 2, RetryRatio: 0.05, Window: int64(5 * second)}
	})

	add(scenario{name: "default limit", settings: scenarioSettings(1), servers: scenarioServers(2, 4, 20*ms, "a"),
		duration: 3 * second, meanInterval: 10 * ms}, func(s *recordedSettings) {
		s.Limits.Default = &recordedLimit{PerWindow: 25, Window: int64(second), Burst: 5}
		s.Tenants = s.Tenants[:1]
		s.Tenants[0].Quota = 40
		s.Classes[2].Regions = []string{"north"}
	})

	add(scenario{name: "many tenants", settings: scenarioSettings(1), duration: 72 * second, meanInterval: 500 * ms,
		start: func(r *recorder) {
			r.list(0, ListCached)
			tenant := func(i int) {
				r.requestCount++
				r.request(recordedRequest{ID: fmt.Sprint("r", r.requestCount), Class: "free", Tenant: fmt.Sprint("n", i), Timeout: int64(30 * ms)})
			}
			for i := range 4300 {
				r.after(time.Duration(i)*ms/2, func() { tenant(i) })
			}
			for i := range 2200 {
				r.after(60*second+time.Duration(i)*ms, func() { tenant(i % 20) })
			}
		}}, func(s *recordedSettings) {
		s.Limits.Default = &recordedLimit{PerWindow: 1, Window: int64(5 * second), Burst: 2}
		s.Tenants = s.Tenants[:1]
	})

	add(scenario{name: "few nodes without room", settings: scenarioSettings(3), servers: scenarioServers(4, 2, 60*ms, "a", "b"),
		duration: 7 * second, meanInterval: 12 * ms, burstStart: 2 * second, burstEnd: 4 * second, burstFactor: 3, incompleteOneIn: 30,
		steps: []scenarioStep{
			at(3*second, func(r *recorder) { r.setSlowdown(4, allServers) }),
			at(5*second, func(r *recorder) { r.setSlowdown(1, allServers) }),
		}}, nil)

	add(scenario{name: "many nodes without reports", settings: scenarioSettings(60), servers: scenarioServers(12, 2, 50*ms, "a", "b"),
		duration: 12 * second, meanInterval: 15 * ms, burstStart: 4 * second, burstEnd: 7 * second, burstFactor: 3,
		steps: []scenarioStep{
			at(5*second, func(r *recorder) { r.setFault(overloaded, 0.6, allServers) }),
			at(8*second, func(r *recorder) { r.setFault(mixed, 0.1, allServers) }),
		}}, nil)

	add(scenario{name: "many nodes with reports", settings: scenarioSettings(60), servers: scenarioServers(12, 4, 40*ms, "a", "b"),
		duration: 14 * second, meanInterval: 14 * ms, burstStart: 5 * second, burstEnd: 8 * second, burstFactor: 3, incompleteOneIn: 40,
		steps: []scenarioStep{
			at(2*second, func(r *recorder) {
				for _, s := range r.servers {
					s.otherNodesInFlight = 1 + r.rng.IntN(4)
				}
			}),
			at(4*second, func(r *recorder) {
				r.setSlowdown(6, withIDs("a00", "b01"))
				r.server("a00").otherNodesInFlight, r.server("b01").otherNodesInFlight = 4, 4
			}),
			at(6*second, func(r *recorder) { r.restart("a02", "b03", "a04") }),
			at(7*second, func(r *recorder) { r.setFault(mixed, 0.5, withIDs("a03", "b02")) }),
			at(9*second, func(r *recorder) { r.setSlowdown(1, allServers) }),
			at(10*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
		}}, func(s *recordedSettings) { s.ReportFields = recordedReportFields })

	add(scenario{name: "reports without worth", settings: scenarioSettings(9), servers: scenarioServers(5, 2, 50*ms, "a"),
		duration: 5 * second, meanInterval: 12 * ms}, func(s *recordedSettings) {
		s.ReportFields = recordedReportFields
		for i := range s.Classes {
			s.Classes[i].PriorityWeight = 0
		}
	})

	add(scenario{name: "packing and placement", settings: scenarioSettings(4), servers: scenarioServers(12, 3, 30*ms, "a", "b", "c"),
		duration: 6 * second, meanInterval: 10 * ms, incompleteOneIn: 15,
		steps: []scenarioStep{
			at(2*second, func(r *recorder) { r.change(setDraining, "a00", "b01") }),
			at(2500*ms, func(r *recorder) { r.change(setRunning, "a00", "b01") }),
			at(3*second, func(r *recorder) {
				r.configure(func(s *recordedSettings) {
					s.Classes[0].Zones = nil
					s.Classes[1].Kinds = []string{"k1"}
					s.Zone = "b"
				})
			}),
			at(4*second, func(r *recorder) { r.restart("a00") }),
		}}, func(s *recordedSettings) {
		s.Classes[0].Zones = []string{"b", "c"}
		s.Classes[1].Kinds = []string{"k0"}
		s.Classes[2].Regions = []string{"north"}
		s.Classes[3].Regions = []string{"north"}
		s.Topology = scenarioTopology()
		s.MaxAttempts = 2
	})

	add(scenario{name: "queued requests", settings: scenarioSettings(1), duration: 4 * second, meanInterval: 15 * ms, incompleteOneIn: 10,
		servers: scenarioServers(3, 2, 60*ms, "a"),
		start:   func(r *recorder) { r.call(0, recordedEvent{List: &recordedList{Kind: uint8(ListCached)}}) },
		steps: []scenarioStep{
			at(second, func(r *recorder) { r.list(0, ListReplace) }),
			at(2*second, func(r *recorder) { r.change(setRemoved, "a00", "a01", "a02") }),
			at(2500*ms, func(r *recorder) { r.change(setRunning, "a01") }),
		}}, func(s *recordedSettings) { s.Cancel, s.MaxAttempts = false, 0 })

	add(scenario{name: "retries within a budget", settings: scenarioSettings(2), servers: scenarioServers(8, 4, 25*ms, "a", "b"),
		duration: 9 * second, meanInterval: 10 * ms, incompleteOneIn: 20,
		steps: []scenarioStep{
			at(second, func(r *recorder) { r.setFault(mixed, 0.3, allServers) }),
			at(5*second, func(r *recorder) { r.setFault(resetting, 0.5, allServers) }),
			at(7*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
		}}, func(s *recordedSettings) {
		s.RetryBudget = &recordedRetryBudget{MinRetries: 3, RetryRatio: 0.1, Window: int64(4 * second)}
		for i := range s.Classes {
			s.Classes[i].DedupWindow, s.Classes[i].LateWeight = int64(120*ms), 0.1
		}
	})

	add(scenario{name: "ejection and probation", settings: scenarioSettings(2), servers: scenarioServers(8, 4, 25*ms, "a"),
		duration: 16 * second, meanInterval: 14 * ms,
		steps: []scenarioStep{
			at(second, func(r *recorder) { r.setFault(failing, 1, withIDs("a00")) }),
			at(1500*ms, func(r *recorder) { r.setFault(hanging, 1, withIDs("a03")) }),
			at(2*second, func(r *recorder) { r.setFault(overloaded, 0.8, withIDs("a05")) }),
			at(5*second, func(r *recorder) { r.change(setDraining, "a03") }),
			at(6*second, func(r *recorder) { r.setFault(failing, 0.5, withIDs("a00")) }),
			at(7*second, func(r *recorder) { r.change(setRunning, "a03") }),
			at(8*second, func(r *recorder) { r.setFault(noFault, 0, withIDs("a00", "a03")) }),
			at(9*second, func(r *recorder) { r.change(setRemoved, "a05") }),
			at(10*second, func(r *recorder) { r.setFault(unreachable, 1, withIDs("a01", "a02", "a04", "a06")) }),
			at(12*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
		}}, func(s *recordedSettings) { s.Classes[1].Kinds = []string{"k0"} })

	add(scenario{name: "warming servers", settings: scenarioSettings(2), servers: scenarioServers(9, 4, 30*ms, "a"),
		duration: 12 * second, meanInterval: 9 * ms, burstStart: 5 * second, burstEnd: 7 * second, burstFactor: 3,
		steps: []scenarioStep{
			at(2*second, func(r *recorder) { r.restart("a01", "a04", "a07") }),
			at(4*second, func(r *recorder) { r.change(setRemoved, "a00", "a02") }),
			at(6*second, func(r *recorder) { r.restart("a00") }),
		}}, nil)

	for i, fault := range []recorderFault{unreachable, hanging, failing} {
		add(scenario{name: fmt.Sprint("a zone fails and recovers ", i), settings: scenarioSettings([]int{3, 12, 1}[i]),
			servers: scenarioServers(15, 6, 25*ms, "a", "b", "c"), duration: 30 * second, meanInterval: 26 * ms,
			steps: []scenarioStep{
				at(2*second, func(r *recorder) { r.setFault(fault, 0.8, inZone("a")) }),
				at(9*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
				at(20*second, func(r *recorder) { r.setSlowdown(8, inZone("b")) }),
				at(22*second, func(r *recorder) { r.setFault(fault, 1, inZone("a")) }),
				at(25*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
			}}, func(s *recordedSettings) {
			s.Topology = scenarioTopology()
			if i == 1 {
				s.ReportFields = recordedReportFields
			}
		})
	}

	add(scenario{name: "a zone returns and fails again", settings: scenarioSettings(1), servers: scenarioServers(8, 6, 20*ms, "a", "d"),
		duration: 40 * second, meanInterval: 32 * ms,
		steps: []scenarioStep{
			at(second, func(r *recorder) { r.setFault(unreachable, 1, inZone("a")) }),
			at(5*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
			at(9*second, func(r *recorder) { r.setFault(unreachable, 0.3, inZone("a")) }),
			at(11*second, func(r *recorder) { r.setFault(unreachable, 1, inZone("a")) }),
			at(14*second, func(r *recorder) { r.setFault(noFault, 0, allServers) }),
		}}, func(s *recordedSettings) { s.Topology = scenarioTopology() })

	add(scenario{name: "endpoint lists", settings: scenarioSettings(5), servers: scenarioServers(12, 4, 25*ms, "a", "b"),
		duration: 14 * second, meanInterval: 14 * ms,
		steps: []scenarioStep{
			at(second, func(r *recorder) { r.list(0, ListUnavailable) }),
			at(1100*ms, func(r *recorder) { r.list(0, ListUnavailable) }),
			at(2*second, func(r *recorder) { r.list(0, ListReplace) }),
			at(3*second, func(r *recorder) { r.change(setRemoved, "a00", "a01", "a02", "a03", "a04") }),
			at(3500*ms, func(r *recorder) { r.change(setRunning, "a01", "a02") }),
			at(6*second, func(r *recorder) { r.change(setRunning, "a00", "a03", "a04") }),
			at(8*second, func(r *recorder) {
				r.change(setDraining, "b00")
				r.change(setRemoved, "b00")
				r.change(func(s *simulatedServer) { s.Zone, s.Kind = "b", "k2" }, "a05")
			}),
			at(9*second, func(r *recorder) {
				for _, s := range r.servers[4:] {
					s.Availability = uint8(Removed)
				}
				r.list(0, ListReplace)
			}),
			at(12*second, func(r *recorder) {
				for _, s := range r.servers[4:] {
					s.Availability = uint8(Running)
				}
				r.list(0, ListCached)
			}),
		}}, func(s *recordedSettings) {
		s.RetainMissing, s.SubscribeList, s.Topology = true, true, scenarioTopology()
	})

	add(scenario{name: "settings under way", settings: scenarioSettings(2), servers: scenarioServers(8, 3, 40*ms, "a", "b"),
		duration: 8 * second, meanInterval: 9 * ms, incompleteOneIn: 10,
		steps: []scenarioStep{
			at(2*second, func(r *recorder) {
				r.configure(func(s *recordedSettings) {
					s.SubscribeList, s.MaxAttempts, s.Topology = true, 2, scenarioTopology()
					s.Classes[0].Deadline, s.Classes[0].LatencyObjective = int64(800*ms), int64(100*ms)
					s.Classes = append(s.Classes[1:], recordedClass{Name: "new", Deadline: int64(second), PriorityWeight: 9, Zones: []string{"a"}})
				})
			}),
			at(2500*ms, func(r *recorder) { r.list(0, ListCached) }),
			at(4*second, func(r *recorder) {
				r.configure(func(s *recordedSettings) {
					s.NodeCount, s.ReportFields, s.Topology = 8, recordedReportFields, nil
					s.DrainGrace = 0
					s.RetryBudget = &recordedRetryBudget{MinRetries: 1, RetryRatio: 0.5, Window: int64(second)}
				})
			}),
			at(6*second, func(r *recorder) {
				r.configure(func(s *recordedSettings) { s.NodeCount, s.NodeIndex, s.ReportFields, s.RetryBudget = 1, 0, nil, nil })
			}),
			at(7*second, func(r *recorder) {
				empty := ""
				r.call(0, recordedEvent{Peer: &empty})
				r.call(0, recordedEvent{Probe: &recordedOutcome{Server: "a00"}})
				r.call(0, recordedEvent{Outcome: &recordedOutcome{ID: "nobody", Server: "nowhere"}})
				r.call(0, recordedEvent{FirstByte: &recordedOutcome{ID: "nobody", Server: "nowhere"}})
				r.call(0, recordedEvent{RequestComplete: "nobody"})
				r.call(0, recordedEvent{ClientCancelled: "nobody"})
				token := uint64(7)
				r.call(0, recordedEvent{Timer: &token})
			}),
		}}, nil)

	fleet := func(when time.Duration, reachable, reachableInZone int) scenarioStep {
		return at(when, func(r *recorder) {
			r.call(0, recordedEvent{FleetSize: &recordedFleetSize{ReachableNodes: reachable,
				ReachableInZone: reachableInZone}})
		})
	}
	add(scenario{name: "fleet sizes", settings: scenarioSettings(7), servers: scenarioServers(6, 4, 30*ms, "a", "b"),
		duration: 260 * second, meanInterval: 300 * ms,
		steps: []scenarioStep{fleet(second, 1, 1), fleet(2*second, 7, 3), fleet(5*second, 9, 4), fleet(20*second, 7, 3),
			fleet(40*second, 6, 2), fleet(50*second, 8, 3), fleet(100*second, 3, 3), fleet(120*second, 6, 0), fleet(130*second, 8, 3),
			fleet(140*second, 7, 2), fleet(150*second, 5, 2), fleet(230*second, 5, 1)}},
		func(s *recordedSettings) {
			s.Tenants = []recordedTenant{{Name: "t", Quota: 14}, {Name: "u", Quota: 4}}
			s.Topology = scenarioTopology()
		})

	for i, reports := range [][]string{nil, recordedReportFields} {
		handOver := func(on, served bool) func(r *recorder) {
			return func(r *recorder) {
				r.call(r.serving, recordedEvent{HandedOver: &recordedHandedOver{Active: on, SuccessorServed: served}})
			}
		}
		add(scenario{name: fmt.Sprint("replacement ", i), settings: scenarioSettings([]int{2, 20}[i]),
			servers: scenarioServers(9, 3, 40*ms, "a", "b"), duration: 12 * second, meanInterval: 11 * ms, incompleteOneIn: 25,
			steps: []scenarioStep{
				at(second, func(r *recorder) { r.setFault(mixed, 0.25, withIDs("a01", "b01")) }),
				at(2*second, func(r *recorder) { r.restart("a02", "b02") }),
				at(3*second, handOver(true, false)), at(3500*ms, handOver(false, false)),
				at(4*second, handOver(true, false)), at(4500*ms, handOver(false, true)),
				at(6*second, (*recorder).replaceProcess),
				at(6200*ms, (*recorder).shareInFlight),
				at(6600*ms, (*recorder).shareInFlight),
				at(8*second, (*recorder).shareInFlight),
				at(6300*ms, func(r *recorder) { // the replaced process still gets a few requests
					for i := range 9 {
						q := recordedRequest{ID: fmt.Sprint("former", i), Class: "once", Tenant: "former", Timeout: int64(600 * ms)}
						r.requests[q.ID] = &simulatedRequest{recordedRequest: q}
						r.call(0, recordedEvent{Request: &q})
					}
				}),
				at(9*second, func(r *recorder) {
					r.arrive()
					r.server("b00").StartedAt = int64(r.now)
					r.replaceProcess()
				}),
				at(9300*ms, (*recorder).shareInFlight),
			}}, func(s *recordedSettings) {
			s.ReportFields = reports
			s.Tenants = []recordedTenant{{Name: "t", Quota: 120}, {Name: "u", Quota: 20}}
			s.Limits.PerClass = map[string]recordedLimit{"once": {PerWindow: 30, Window: int64(10 * second), Burst: 5},
				"cell": {PerWindow: 3, Window: int64(10 * second), Burst: 4}}
			if i > 0 {
				s.Tenants[0].Quota, s.Tenants[1].Quota = 1200, 300
			}
		})
	}
	return all
}

// recordInvalidSettings records New with invalid settings and, last, with valid settings.
func recordInvalidSettings() recording {
	r := recording{Name: "senseless settings"}
	for _, change := range []func(s *recordedSettings){
		func(s *recordedSettings) { s.Classes = nil },
		func(s *recordedSettings) { s.NodeIndex = s.NodeCount },
		func(s *recordedSettings) { s.NodeCount = 0 },
		func(s *recordedSettings) { s.Classes[0].Deadline = 0 },
		func(s *recordedSettings) { s.Classes[0].LatencyObjective = -1 },
		func(s *recordedSettings) { s.Classes[1].Name = s.Classes[0].Name },
		func(s *recordedSettings) { s.Tenants[0].Quota = -1 },
		func(s *recordedSettings) { s.Tenants[0].Share = -1 },
		func(s *recordedSettings) { s.DrainGrace = -1 },
		func(s *recordedSettings) { s.SlowStartMinCapacity = 2 },
		func(s *recordedSettings) { s.RetryBudget = &recordedRetryBudget{} },
		func(s *recordedSettings) { s.RetryBudget = &recordedRetryBudget{MinRetries: -1, Window: 1} },
		func(s *recordedSettings) { s.Topology = &recordedTopology{SameRegionCost: -1} },
		func(s *recordedSettings) {
			s.Topology = &recordedTopology{ZoneCosts: map[string]map[string]float64{"a": {"b": -1}}}
		},
		func(s *recordedSettings) { s.MaxAttempts = -1 },
		func(s *recordedSettings) { s.IdleTimeout = -1 },
		func(*recordedSettings) {},
	} {
		settings := scenarioSettings(2)
		change(&settings)
		r.Events = append(r.Events, recordedEvent{New: &recordedNew{Settings: settings}})
	}
	return r
}
