package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// eventSimulation hands random valid events to one node and checks the rules that a node must keep: one final
// response in time, no forbidden retry or rejection, no late send to a draining server, no send to a server
// that the request's class may not use, and the retry budget. It keeps its own counts, and shares no logic
// with the balancer except Code.ProvesNotRun.
type eventSimulation struct {
	t             *testing.T
	rng           *rand.Rand
	set           Settings
	b             *Balancer
	now           Time
	list          map[string]Endpoint
	drainingSince map[string]Time // when the list first showed a server as draining
	open          map[string]*openRequest
	ids           int
	tasks         []task // future outcomes, timers and probe results
	log           []string

	attemptsPerFiveFailures int // an attempt is made to fail with probability 5/attemptsPerFiveFailures
	maxLatencyMs            int // all latencies of attempts are below this
	stepsPerArrival         int // average number of steps between arrivals of requests

	requestsAt []Time
	retriesAt  []Time

	generations [][]*AcceptedClass // the classes of recent settings, newest last; empty if requests carry none
}

// maxGenerations is how many settings back a request may have been accepted.
const maxGenerations = 4

// openRequest is a request that the node received, with the attempts that it sent.
type openRequest struct {
	Request
	class       Class
	maxAttempts int
	deadline    Time
	attempts    []sentAttempt
	ended       bool
}

// sentAttempt is one attempt of a request.
type sentAttempt struct {
	server       Endpoint
	sentAt       Time
	finished     bool
	provenNotRun bool
}

// task is a function to call at a time.
type task struct {
	at Time
	do func()
}

func newEventSimulation(t *testing.T, seed uint64) *eventSimulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings([]int{1, 3, 12, 60}[seed%4])
	set.NodeIndex = rng.IntN(set.NodeCount)
	set.SubscribeList = seed%5 == 0
	set.Allowed.Probe, set.ReportFields = seed%2 == 0, []string{"inflight"}
	set.Allowed.Cancel = seed%7 != 0
	if seed%8 == 0 {
		set.Tenants = nil
	}
	if seed%2 == 1 {
		set.Rules.RetryBudget = &RetryBudget{MinRetries: float64(rng.IntN(3)), RetryRatio: 0.05, Window: 5 * time.Second}
	}
	for i := range set.Classes { // short dedup windows, so that some retries would come too late
		set.Classes[i].DedupWindow = time.Duration(20+rng.IntN(150)) * ms
	}
	set.RetainMissing = seed%4 == 1
	if seed%2 == 0 {
		set.Topology = &Topology{RegionOfZone: map[string]string{"a": "north", "b": []string{"north", "south"}[seed/2%2]},
			SameRegionCost: float64(seed / 4 % 2), OtherRegionCost: 3}
		set.Classes[seed/2%5].Regions = []string{"north"}
	}
	switch seed % 3 {
	case 1:
		set.Classes[seed%5].Kinds = []string{"k1", "k2"}
	case 2:
		set.Classes[seed%5].Zones = []string{"b"}
		set.Classes[(seed+1)%5].Kinds = []string{"k0"}
	}
	b, err := New(set, 0, seed)
	if err != nil {
		t.Fatal(err)
	}
	w := &eventSimulation{t: t, rng: rng, set: set, b: b, list: map[string]Endpoint{},
		drainingSince: map[string]Time{}, open: map[string]*openRequest{},
		attemptsPerFiveFailures: []int{8, 20, 60}[seed/3%3], maxLatencyMs: []int{300, 50}[seed/2%2],
		stepsPerArrival: []int{1, 8}[seed/4%2]}
	for _, endpoint := range testEndpoints(1 + rng.IntN(9)) {
		if rng.IntN(4) == 0 {
			endpoint.StartedAt = 1
		}
		w.list[endpoint.ID] = endpoint
	}
	w.event(EndpointList{Kind: ListCached, Endpoints: w.endpoints()})
	return w
}

func (w *eventSimulation) endpoints() []Endpoint {
	var listed []Endpoint
	for i := range 10 {
		if endpoint, ok := w.list[fmt.Sprintf("s%02d", i)]; ok {
			listed = append(listed, endpoint)
		}
	}
	return listed
}

func (w *eventSimulation) after(d time.Duration, do func()) {
	w.tasks = append(w.tasks, task{w.now + d, do})
}

func (w *eventSimulation) event(ev Event) {
	for _, a := range slices.Clone(w.b.Handle(w.now, ev)) {
		w.log = append(w.log, fmt.Sprintf("%v %+v", w.now, a))
		w.act(a)
	}
}

func (w *eventSimulation) act(a Action) {
	p := w.open[a.ID]
	switch a.Kind {
	case Send:
		w.send(p, a)
	case Reject, Fail:
		w.answer(p, a)
	case Cancel:
		if !w.set.Allowed.Cancel || a.Attempt >= len(p.attempts) {
			w.t.Errorf("cancel of an unknown attempt or without Allowed.Cancel: %+v", a)
		}
	case SetTimer:
		w.after(max(a.Wait, ms), func() { w.event(Timer{Token: a.Token}) })
	case Probe:
		code, load := OK, float64(w.rng.IntN(6))
		if !w.set.Allowed.Probe {
			w.t.Errorf("probe without Allowed.Probe")
		}
		if w.rng.IntN(3) > 0 {
			w.after(ms*time.Duration(w.rng.IntN(30)), func() {
				w.event(ProbeResult{Server: a.Server, Code: code, LoadReport: []float64{load}})
			})
		}
	case WatchList:
		if w.rng.IntN(2) == 0 {
			w.after(ms, func() { w.event(EndpointList{Kind: ListUnavailable}) })
		}
	}
}

// send checks an attempt and schedules its outcome.
func (w *eventSimulation) send(p *openRequest, a Action) {
	if p == nil || p.ended || w.now >= p.deadline {
		w.t.Fatalf("attempt sent for an unknown or ended request or after its deadline: %+v", a)
	}
	endpoint, listed := w.list[a.Server]
	if since, ok := w.drainingSince[a.Server]; ok && w.now > since+w.set.Rules.DrainGrace {
		w.t.Errorf("attempt sent to %s (draining since %v) at %v, after the drain grace", a.Server, since, w.now)
	}
	if !listed && w.drainingSince[a.Server] == 0 {
		w.t.Errorf("attempt sent to unknown server %q", a.Server)
	}
	w.checkPlacement(p.class, endpoint, a)
	w.checkPreviousAttempts(p, endpoint, a)
	if len(p.attempts) > 0 {
		w.checkRetryBudget()
	}
	p.attempts = append(p.attempts, sentAttempt{server: endpoint, sentAt: w.now})
	w.scheduleOutcome(p, a)
}

// checkPlacement checks that a request of a restricted class is sent only to servers that the class may use.
func (w *eventSimulation) checkPlacement(c Class, endpoint Endpoint, a Action) {
	if len(c.Kinds) > 0 && !slices.Contains(c.Kinds, endpoint.Kind) ||
		len(c.Zones) > 0 && !slices.Contains(c.Zones, endpoint.Zone) {
		w.t.Errorf("class %q sent to %s of kind %s in zone %s, want one of its kinds and zones", c.Name, a.Server,
			endpoint.Kind, endpoint.Zone)
	}
	if len(c.Regions) > 0 && w.set.Topology.RegionOfZone[endpoint.Zone] != c.Regions[0] {
		w.t.Errorf("class %q sent to %s in zone %s, want a zone of its region", c.Name, a.Server, endpoint.Zone)
	}
}

// checkPreviousAttempts checks that the previous attempts have finished, are few enough, and permit another
// one.
func (w *eventSimulation) checkPreviousAttempts(p *openRequest, endpoint Endpoint, a Action) {
	pending := 0
	for _, previous := range p.attempts {
		if !previous.finished {
			pending++
		}
		if previous.provenNotRun {
			continue
		}
		switch p.class.RetrySafety {
		case NonIdempotent:
			w.t.Errorf("class %q is not idempotent, and a request was retried though it may have run", p.class.Name)
		case IdempotencyKeyed:
			scope := p.class.DedupScope
			if w.now > previous.sentAt+p.class.DedupWindow || scope == DedupPerZone && endpoint.Zone != previous.server.Zone ||
				scope == DedupPerCell && endpoint.Cell != previous.server.Cell {
				w.t.Errorf("class %q: request retried outside its DedupScope or DedupWindow", p.class.Name)
			}
		}
	}
	if maxAttempts := min(p.maxAttempts, w.set.Allowed.MaxAttempts); pending > 0 || len(p.attempts) >= maxAttempts {
		w.t.Errorf("attempt sent with %d pending and %d previous attempts, want 0 and fewer than %d: %+v", pending,
			len(p.attempts), maxAttempts, a)
	}
}

// scheduleOutcome draws the outcome and the latency of the newest attempt, and schedules the Outcome event.
func (w *eventSimulation) scheduleOutcome(p *openRequest, a Action) {
	n := len(p.attempts) - 1
	attemptDeadline := p.deadline
	if a.AttemptDeadline > 0 {
		attemptDeadline = min(attemptDeadline, a.AttemptDeadline)
	}
	code, latency := OK, time.Duration(w.rng.IntN(w.maxLatencyMs))*ms
	if w.rng.IntN(w.attemptsPerFiveFailures) < 5 {
		code = []Code{ServerError, Overloaded, ConnectFailed, Reset, TimedOut}[w.rng.IntN(5)]
	}
	if code == TimedOut || w.now+latency > attemptDeadline {
		code, latency = TimedOut, attemptDeadline-w.now
	}
	w.after(latency, func() {
		p.attempts[n].finished, p.attempts[n].provenNotRun = true, code.ProvesNotRun()
		if code == OK {
			p.ended = true
		}
		ev := Outcome{ID: p.ID, Attempt: n, Server: a.Server, Code: code, Latency: latency, RequestEnded: p.ended}
		w.event(ev)
		if w.rng.IntN(20) == 0 {
			w.event(ev) // a duplicate must be ignored
		}
	})
}

// checkRetryBudget counts a retry and checks the retry budget.
func (w *eventSimulation) checkRetryBudget() {
	w.retriesAt = append(w.retriesAt, w.now)
	budget := w.set.Rules.RetryBudget
	if budget == nil {
		return
	}
	within := func(all []Time) (n int) {
		for _, at := range all {
			if at > w.now-budget.Window {
				n++
			}
		}
		return n
	}
	if n, limit := within(w.retriesAt), budget.MinRetries+budget.RetryRatio*float64(within(w.requestsAt)); float64(n) > limit {
		w.t.Errorf("retries: got %d within %v, want at most %v", n, budget.Window, limit)
	}
}

func (w *eventSimulation) answer(p *openRequest, a Action) {
	if p == nil || p.ended {
		w.t.Fatalf("response to an unknown, answered or cancelled request: %+v", a)
	}
	p.ended = true
	for _, x := range p.attempts {
		safe := p.class.RetrySafety == Idempotent ||
			p.class.RetrySafety == IdempotencyKeyed && p.class.DedupScope == DedupEverywhere
		if a.Kind == Reject && !x.provenNotRun && !safe {
			w.t.Errorf("class %q: request rejected though it may have run", p.class.Name)
		}
	}
}

func (w *eventSimulation) step() {
	w.now += time.Duration(1+w.rng.IntN(4)) * ms
	stall := w.rng.IntN(400) == 0 // the node pauses, and then gets all events of the pause at once
	if stall {
		w.now += time.Duration(w.rng.IntN(900)) * ms
	}
	due := w.tasks
	w.tasks = nil
	slices.SortStableFunc(due, func(x, y task) int { return int(x.at - y.at) })
	for _, k := range due {
		if k.at > w.now {
			w.tasks = append(w.tasks, k)
			continue
		}
		k.do()
	}
	for id, p := range w.open { // the order doesn't matter: requests are only checked and deleted
		if !p.ended && w.now > p.deadline+5*ms && !stall {
			w.t.Fatalf("request %s of class %q has no response 5 ms after its deadline", id, p.class.Name)
		}
		if p.ended && w.now > p.deadline+time.Second {
			delete(w.open, id)
		}
	}
	switch w.rng.IntN(60) {
	case 0:
		w.change()
	case 1:
		w.event(Timer{Token: w.rng.Uint64()})
		w.event(ClientCancelled{ID: "nobody"})
		w.event(Outcome{ID: "nobody", Server: "nowhere"})
		w.event(ProbeResult{Server: "nowhere"})
		w.event(PeerMessage{From: 99, Body: "\x00"})
	}
	if w.rng.IntN(w.stepsPerArrival) == 0 {
		for range w.rng.IntN(3) {
			w.arrive()
		}
	}
}

func (w *eventSimulation) arrive() {
	w.ids++
	c := Class{Name: "stranger"}
	if w.rng.IntN(10) > 0 {
		c = w.set.Classes[w.rng.IntN(len(w.set.Classes))]
	}
	r := Request{ID: fmt.Sprint("r", w.ids), Class: c.Name, Tenant: []string{"t", "t", "u", "?", ""}[w.rng.IntN(5)],
		Timeout: time.Duration(1+w.rng.IntN(600)) * ms, Key: fmt.Sprint(w.rng.IntN(30))}
	p := &openRequest{Request: r, class: c, maxAttempts: w.set.Allowed.MaxAttempts, deadline: w.now + r.Timeout}
	if n := len(w.generations); n > 0 {
		classes := w.generations[w.rng.IntN(n)]
		r.Accepted = classes[w.rng.IntN(len(classes))]
		r.Class = r.Accepted.Name
		p.Request, p.class, p.maxAttempts = r, r.Accepted.Class, r.Accepted.MaxAttempts
	}
	w.open[r.ID] = p
	w.requestsAt = append(w.requestsAt, w.now)
	w.event(r)
	if !p.ended && w.rng.IntN(40) == 0 {
		w.after(ms, func() {
			if !p.ended {
				p.ended = true
				w.event(ClientCancelled{ID: r.ID})
			}
		})
	}
}

// change drains, removes, restarts or adds a server, and sends an update or the whole list.
func (w *eventSimulation) change() {
	id := fmt.Sprintf("s%02d", w.rng.IntN(10))
	m, listed := w.list[id]
	switch {
	case !listed:
		m = testEndpoints(10)[w.rng.IntN(10)]
		m.StartedAt = w.now
		w.list[m.ID] = m
		delete(w.drainingSince, m.ID)
	case w.rng.IntN(3) == 0:
		m.StartedAt, m.Availability = w.now, Running
		w.list[id] = m
		delete(w.drainingSince, id)
	case m.Availability == Running:
		m.Availability = Draining
		w.list[id] = m
		w.drainingSince[id] = w.now
	default:
		m.Availability = Removed
		delete(w.list, id)
	}
	if w.rng.IntN(2) == 0 {
		w.event(EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{m}})
		return
	}
	w.event(EndpointList{Kind: ListReplace, Endpoints: w.endpoints()})
}

// acceptCurrent makes requests carry the class under which they were accepted: one of the settings in force, or of
// recent former ones.
func (w *eventSimulation) acceptCurrent() {
	var classes []*AcceptedClass
	for _, c := range w.set.Classes {
		classes = append(classes, &AcceptedClass{Class: c, MaxAttempts: w.set.Allowed.MaxAttempts})
	}
	w.generations = append(w.generations, classes)
	w.generations = w.generations[max(0, len(w.generations)-maxGenerations):]
}

// reload changes the effect, the dedup scope and window, the restrictions or the presence of classes, and the number of
// attempts.
func (w *eventSimulation) reload() {
	classes := slices.Clone(w.set.Classes)
	c := &classes[w.rng.IntN(len(classes))]
	c.RetrySafety, c.DedupScope = RetrySafety(w.rng.IntN(3)), DedupScope(w.rng.IntN(3))
	c.DedupWindow = time.Duration(20+w.rng.IntN(150)) * ms
	c.Kinds, c.Zones = [][]string{nil, {"k0"}, {"k1", "k2"}}[w.rng.IntN(3)], [][]string{nil, nil, {"b"}}[w.rng.IntN(3)]
	if dropped := w.rng.IntN(len(classes)); len(classes) > 3 {
		classes = slices.Delete(classes, dropped, dropped+1)
	} else {
		classes = slices.Clone(testSettings(1).Classes)
	}
	w.set.Classes, w.set.Allowed.MaxAttempts = classes, 1+w.rng.IntN(4)
	w.event(w.set)
	w.acceptCurrent()
}

// Guards against decisions by another configuration than the one under which a request was accepted: requests come
// with the classes of several settings back, while the settings change again and again.
func TestRandomReloadsKeepTheRulesOfEachRequest(t *testing.T) {
	for seed := range uint64(40) {
		w := newEventSimulation(t, seed)
		w.acceptCurrent()
		for range 1500 {
			w.step()
			if w.rng.IntN(30) == 0 {
				w.reload()
			}
		}
		if t.Failed() {
			t.Fatalf("rules broken with seed %d", seed)
		}
		if n := len(w.b.classes.accepted); n > maxGenerations*len(testSettings(1).Classes) {
			t.Fatalf("classes kept for accepted requests: got %d, want at most those of %d settings", n, maxGenerations)
		}
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(40) {
		w := newEventSimulation(t, seed)
		for range 1500 {
			w.step()
		}
		if t.Failed() {
			t.Fatalf("rules broken with seed %d", seed)
		}
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	run := func() []string {
		w := newEventSimulation(t, 12)
		for range 800 {
			w.step()
		}
		return w.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same events and seed gave different actions")
	}
}

// The balancer forgets finished requests.
func TestFinishedRequestsAreForgotten(t *testing.T) {
	w := newEventSimulation(t, 4)
	for range 3000 {
		w.step()
	}
	if n := len(w.b.requests); n > 600 {
		t.Errorf("requests in the balancer after 3000 steps: got %d, want at most 600", n)
	}
}
