package lab

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// Figures of the world, in the middle of the ranges that the operators' pages state.
const (
	nearPath    = 250 * time.Microsecond // one way, within a zone
	farPath     = 4 * time.Millisecond   // and between zones
	connectFor  = 250 * time.Millisecond // until a connection that doesn't come up has failed
	reportDelay = 300 * time.Millisecond // a report's age when it leaves its box, beyond its period
	listDelay   = 800 * time.Millisecond // until nodes are told of a change
	frontSees   = 300 * time.Millisecond // until a front leaves a node that is gone
	tryFor      = 10 * time.Minute       // beyond the end, for what is under way
)

// World is a scenario under way. It is not safe for concurrent use, and the same for the same seed.
type World struct {
	Scenario
	Judge *emulator.Judge

	now     time.Duration
	todo    events
	count   int
	seed    uint64
	rng     *rand.Rand
	nodes   []*node
	boxes   []*box
	byID    map[string]*box
	apart   []Fault // that cut zones off now
	crowds  []*crowd
	gangs   []*gang
	classes []emulator.Class
	out     *Outcome
}

// node is one node: its module and its open requests.
type node struct {
	name, zone string
	module     *policy.Balancer
	open       map[string]*open
	down       bool
	seen       bool // as gone, by fronts
}

// open is a try at a node.
type open struct {
	try      *emulator.Try
	from     *gang
	node     *node
	attempts int
	flight   *flight // the attempt that is out
	answered bool
}

// flight is one attempt.
type flight struct {
	open   *open
	number int
	box    *box
	sent   time.Duration
	job    string
	over   bool
}

type box struct {
	*emulator.Box
	flights map[string]*flight // by job
	seed    uint64
	epoch   int // of its process
	lost    bool
	silent  bool
	mute    bool
	phase   string
	reports []report
}

type report struct {
	at time.Duration
	r  emulator.Report
}

// crowd is the clients of a zone, before a front that knows the nodes near them.
type crowd struct {
	zone string
	gang *gang // that asks now
	spec emulator.ClientSpec
	near []*node
	turn int
}

// gang is clients that ask at one rate.
type gang struct {
	*crowd
	clients *emulator.Clients
	due     time.Duration // of the event that takes their next tries; 0 for none
}

// origin is when a run begins: 0 would stand for long ago.
const origin = time.Hour

// New makes a world as the scenario has it, drawn from a seed.
func New(s Scenario, seed uint64) (*World, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &World{Scenario: s, Judge: emulator.NewJudge(emulator.DefaultRules()), now: origin, seed: seed,
		rng: rand.New(rand.NewPCG(seed, 0x1ab)), byID: make(map[string]*box), classes: emulator.Classes()}
	boxes := s.Specs(seed)
	w.out = NewOutcome(s, boxes, w.classes, origin)
	w.addBoxes(boxes, seed)
	if err := w.addNodes(seed); err != nil {
		return nil, err
	}
	for i, z := range s.Zones {
		w.addClients(i, z, seed)
	}
	for i := range int(s.For.Seconds()) {
		w.at(origin+time.Duration(i+1)*time.Second-time.Nanosecond, w.survey)
	}
	for _, f := range s.Faults {
		for _, at := range f.Begins() {
			w.at(origin+at, func() { w.begin(f) })
		}
	}
	return w, nil
}

func (w *World) addBoxes(specs []emulator.BoxSpec, seed uint64) {
	for i, spec := range specs {
		b := &box{flights: make(map[string]*flight), seed: seed*1000 + uint64(i), phase: emulator.Up}
		b.Box = emulator.NewBox(spec, 0, b.seed)
		w.boxes, w.byID[spec.ID] = append(w.boxes, b), b
	}
}

func (w *World) addNodes(seed uint64) error {
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
			d := &node{name: fmt.Sprintf("n%03d", i), zone: z.Name, module: m, open: make(map[string]*open)}
			w.nodes = append(w.nodes, d)
			w.tell(d, policy.MemberList{Kind: policy.ListRestored, Members: w.list()})
		}
	}
	return nil
}

// settings are those of a node, as the platform and the places section would give them.
func (w *World) settings(z Zone, i, n int) policy.Settings {
	s := policy.Settings{Node: i, Nodes: n, Zone: z.Name, WorthByWork: true,
		Allowed: policy.Allowed{MaxAttempts: 6, RetryAfter: true, MaxRetryAfter: 3 * time.Second, ConnIdle: time.Minute},
		Rules: policy.Rules{DrainGrace: 1500 * time.Millisecond, ColdShare: 0.13, ColdFor: 24 * time.Second,
			FallMultiple: 2.5, FallFor: 3 * time.Second}}
	if w.Reports == nil || *w.Reports {
		s.Report = []string{"latency_ms", "util", "qps"}
	}
	for _, t := range w.Tenants() {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, Quota: t.Share * w.QuotaOver(n), Share: t.Share})
	}
	repeats := map[emulator.Repeat]policy.Repeat{emulator.Free: policy.Free, emulator.Guarded: policy.Guarded}
	for _, c := range w.classes {
		k := policy.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Repeat: repeats[c.Repeat], Window: c.Window, Worth: c.Worth}
		for _, b := range w.Bound {
			if b.Class == c.Name {
				k.Regions, k.Zones = b.Regions, b.Zones
			}
		}
		s.Classes = append(s.Classes, k)
	}
	if w.Places {
		s.Places = &policy.Places{Region: make(map[string]string), SameRegion: 1, OtherRegion: 3}
		for _, z := range w.Zones {
			s.Places.Region[z.Name] = z.Region
		}
	}
	return s
}

func (w *World) addClients(i int, z Zone, seed uint64) {
	if z.Nodes == 0 {
		return
	}
	c := &crowd{zone: z.Name, spec: w.Clients(z.Nodes, origin+w.For.Duration)}
	for _, n := range w.nodes {
		if n.zone == z.Name {
			c.near = append(c.near, n)
		}
	}
	w.crowds = append(w.crowds, c)
	w.come(c, 1, seed*1000+uint64(i))
}

// come has the clients of a crowd ask so many times as much from now on.
func (w *World) come(c *crowd, times float64, seed uint64) {
	spec := c.spec
	spec.Rate *= times
	if c.gang != nil {
		c.gang.clients.Stop()
	}
	w.count++
	c.gang = &gang{crowd: c, clients: emulator.NewClients(fmt.Sprintf("%s%x", c.zone, w.count), spec, w.now, seed)}
	w.gangs = append(w.gangs, c.gang)
	w.await(c.gang)
}

// await takes the next tries of clients when they are due.
func (w *World) await(g *gang) {
	at, ok := g.clients.Next()
	if !ok || g.due > 0 && g.due <= at {
		return
	}
	g.due = at
	w.at(at, func() {
		if g.due != at {
			return // one came to be due earlier
		}
		g.due = 0
		for _, t := range g.clients.Take(w.now) {
			w.arrive(g, t)
		}
		w.await(g)
	})
}

// ---- Virtual time ----

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

func (w *World) at(t time.Duration, do func()) {
	w.count++
	heap.Push(&w.todo, event{max(t, w.now), w.count, do})
}

func (w *World) in(d time.Duration, do func()) { w.at(w.now+d, do) }

// Run plays the scenario to its end, and returns what came of it.
func (w *World) Run() *Outcome {
	end := origin + w.For.Duration + tryFor
	for len(w.todo) > 0 && w.todo[0].at <= end && !w.idle() {
		e := heap.Pop(&w.todo).(event)
		w.now = e.at
		e.do()
	}
	breaches, n := w.Judge.Breaches()
	w.out.Broken, w.out.BrokenRules = n, append([]string{}, breaches...)
	return w.out
}

// idle tells whether the time of the clients is over and nothing is under way: timers of the module go on.
func (w *World) idle() bool {
	if w.now <= origin+w.For.Duration {
		return false
	}
	for _, g := range w.gangs {
		if _, more := g.clients.Next(); more {
			return false
		}
	}
	for _, n := range w.nodes {
		if len(n.open) > 0 {
			return false
		}
	}
	return true
}

// survey books how the boxes are.
func (w *World) survey() {
	s := w.out.second(w.now)
	var cores, held int
	for _, b := range w.boxes {
		if b.lost || b.silent {
			continue
		}
		cores, held = cores+b.Spec.Cores, held+min(b.Held(), b.Spec.Cores)
		if b.Choked() {
			s.Choked++
		}
	}
	s.Busy = float64(held) / float64(max(1, cores))
}

// ---- Nodes ----

// tell hands an event to a node's module and carries out what it wants.
func (w *World) tell(n *node, ev policy.Event) {
	if n.down {
		return
	}
	acts := append([]policy.Action(nil), n.module.Handle(w.now, ev)...)
	for _, a := range acts {
		w.carryOut(n, a)
	}
}

func (w *World) carryOut(n *node, a policy.Action) {
	switch a.Kind {
	case policy.Send:
		w.send(n, a)
	case policy.Refuse:
		status := 503
		if a.Wait > 0 {
			status = 429
		}
		w.answer(n, a.ID, status, a.Wait)
	case policy.Fail:
		w.answer(n, a.ID, 502, 0)
	case policy.Cancel:
		if o := n.open[a.ID]; o != nil && o.flight != nil {
			w.over(o.flight, policy.Cancelled, nil)
		}
	case policy.SetTimer:
		w.in(a.Wait, func() { w.tell(n, policy.Timer{Token: a.Token}) })
	case policy.Log:
		w.out.Mark(w.now, n.name, a.Text)
	}
}

// arrive hands a try to a node near its client, or to any while none there is up.
func (w *World) arrive(g *gang, t *emulator.Try) {
	if t.Number == 0 {
		w.out.Ask(g.zone, t)
	}
	n := choose(g, g.near)
	if n == nil {
		n = choose(g, w.nodes)
	}
	if n == nil || n.down {
		w.in(nearPath, func() { w.ended(g, t, 0, 0) })
		w.Judge.TurnedBack(w.now, t.ID, fmt.Errorf("%s: no node", g.zone), true)
		return
	}
	o := &open{try: t, node: n, from: g}
	n.open[t.ID] = o
	w.Judge.Took(w.now, t)
	w.in(t.Expires, func() {
		if !o.answered {
			o.answered = true
			w.tell(n, policy.Lapsed{ID: t.ID})
			w.Judge.Silent(w.now, t.ID)
			w.ended(g, t, 0, 0)
			w.drop(o)
		}
	})
	w.tell(n, policy.Request{ID: t.ID, Class: t.Class.Name, Tenant: t.Tenant, Key: t.Key, ExpiresIn: t.Expires - 10*time.Millisecond,
		Retry: t.Number > 0, Write: t.Class.Repeat != emulator.Free})
}

// choose takes nodes in turn that the front doesn't know as gone.
func choose(g *gang, nodes []*node) *node {
	for range nodes {
		g.turn++
		if n := nodes[g.turn%len(nodes)]; !n.seen {
			return n
		}
	}
	return nil
}

func (w *World) ended(g *gang, t *emulator.Try, status int, wait time.Duration) {
	before := *g.clients.Sums[t.Class.Name]
	g.clients.Ended(w.now, t, status, wait)
	w.out.Ended(t, before, *g.clients.Sums[t.Class.Name])
	w.await(g)
}

// answer gives a try its final answer.
func (w *World) answer(n *node, id string, status int, wait time.Duration) {
	o := n.open[id]
	if o == nil || o.answered {
		return
	}
	o.answered = true
	w.Judge.Answer(w.now, id, status)
	w.ended(o.from, o.try, status, wait)
	w.drop(o)
}

func (w *World) drop(o *open) {
	if o.answered && o.flight == nil {
		delete(o.node.open, o.try.ID)
	}
}

// ---- Attempts ----

func wayBetween(a, b string) time.Duration {
	if a == b {
		return nearPath
	}
	return farPath
}

// cut tells whether nothing passes between a zone and a box.
func (w *World) cut(zone string, b *box) bool {
	return b.silent || slices.ContainsFunc(w.apart, func(f Fault) bool { return f.Parts(zone, b.Spec.Zone) })
}

func (w *World) send(n *node, a policy.Action) {
	o, b := n.open[a.ID], w.byID[a.Server]
	if o == nil || b == nil {
		w.out.Errors++
		return
	}
	f := &flight{open: o, number: o.attempts, box: b, sent: w.now, job: fmt.Sprintf("%s/%d", a.ID, o.attempts)}
	o.attempts++
	o.flight = f
	w.out.Sent(w.now, o.try.Class.Name, n.zone, b.Spec.Zone)
	way := wayBetween(n.zone, b.Spec.Zone)
	until := max(w.now, min(a.Until, o.try.At+o.try.Expires))
	if a.Until == 0 {
		until = o.try.At + o.try.Expires
	}
	w.at(until, func() { w.over(f, policy.TimedOut, nil) })
	if w.cut(n.zone, b) {
		w.in(connectFor, func() { w.over(f, policy.ConnectFailed, nil) })
		return
	}
	w.in(way, func() { w.reach(n, f, way) })
}

// reach is when an attempt's last byte reaches its box.
func (w *World) reach(n *node, f *flight, way time.Duration) {
	b := f.box
	switch {
	case f.over, w.cut(n.zone, b):
		return
	case b.lost:
		w.in(way, func() { w.over(f, policy.ConnectFailed, nil) })
		return
	}
	t := f.open.try
	w.Judge.Arrived(w.now, n.name, t.ID, b.Box)
	switch b.Offer(w.now, emulator.Job{ID: f.job, Key: t.Key, Work: t.Work}) {
	case emulator.Turned:
		w.Judge.Over(t.ID, b.Spec.ID, true)
		w.back(n, f, way, policy.Full)
	case emulator.Failed:
		w.Judge.Over(t.ID, b.Spec.ID, false)
		w.back(n, f, way, policy.ServerError)
	default:
		b.flights[f.job] = f
		w.work(b)
	}
}

// back carries an answer to its node.
func (w *World) back(n *node, f *flight, way time.Duration, code policy.Code) {
	if f.box.mute || w.cut(n.zone, f.box) {
		return
	}
	row := w.report(f.box)
	w.in(way, func() { w.over(f, code, row) })
}

// work finishes a box's jobs when they are due.
func (w *World) work(b *box) {
	at, ok := b.Next()
	if !ok {
		return
	}
	epoch := b.epoch
	w.at(at, func() {
		if b.epoch != epoch {
			return
		}
		for _, d := range b.Advance(w.now) {
			f := b.flights[d.ID]
			delete(b.flights, d.ID)
			if f != nil && !f.over {
				w.Judge.Over(f.open.try.ID, b.Spec.ID, false)
				w.back(f.open.node, f, wayBetween(f.open.node.zone, b.Spec.Zone), policy.OK)
			}
		}
		w.work(b)
	})
}

// report is what a box says of its load: as it was some time ago.
func (w *World) report(b *box) []float64 {
	if w.Reports != nil && !*w.Reports {
		return nil
	}
	now := b.Load(w.now)
	if n := len(b.reports); n == 0 || b.reports[n-1].r != now {
		b.reports = append(b.reports, report{w.now, now})
	}
	for len(b.reports) > 1 && b.reports[1].at <= w.now-reportDelay {
		b.reports = b.reports[1:]
	}
	if r := b.reports[0]; r.at <= w.now-reportDelay {
		return []float64{r.r.LatencyMs, r.r.Util, r.r.QPS}
	}
	return nil
}

// over is the end of an attempt at its node.
func (w *World) over(f *flight, code policy.Code, row []float64) {
	if f.over {
		return
	}
	f.over = true
	o := f.open
	o.flight = nil
	if code == policy.TimedOut || code == policy.Cancelled { // what was sent may yet run
		w.Judge.Over(o.try.ID, f.box.Spec.ID, false)
	}
	ended := o.answered
	if code == policy.OK && !ended {
		w.answer(o.node, o.try.ID, 200, 0)
	}
	if o.node.down {
		return
	}
	w.tell(o.node, policy.Outcome{ID: o.try.ID, Server: f.box.Spec.ID, Attempt: f.number, Code: code, Latency: w.now - f.sent,
		Ended: ended || code == policy.OK, Report: row})
	w.drop(o)
}

// ---- Troubles ----

// list is what the list service says now.
func (w *World) list() (all []policy.Member) {
	for _, b := range w.boxes {
		if m := b.member(); m.Availability != policy.Removed {
			all = append(all, m)
		}
	}
	return all
}

func (b *box) member() policy.Member {
	phases := map[string]policy.Availability{emulator.Up: policy.Running, emulator.Draining: policy.Draining,
		emulator.Removed: policy.Removed}
	return policy.Member{Server: b.Spec.ID, Zone: b.Spec.Zone, Kind: b.Spec.Kind, Cell: b.Spec.Cell, Weight: 1,
		OnlineSince: b.Started(), Availability: phases[b.phase]}
}

// relist tells all nodes of these boxes after a time.
func (w *World) relist(after time.Duration, boxes []*box) {
	for _, n := range w.nodes {
		w.in(after+time.Duration(w.rng.Int64N(int64(listDelay))), func() {
			var news []policy.Member
			for _, b := range boxes {
				news = append(news, b.member())
				w.Judge.Told(w.now, n.name, b.Spec.ID, b.phase)
			}
			w.tell(n, policy.MemberList{Kind: policy.ListUpdate, Members: news})
		})
	}
}

// begin starts a fault, and sets the time of its end.
func (w *World) begin(f Fault) {
	w.out.Mark(w.now, "", f.Says(true))
	struck := w.struck(f)
	for _, b := range struck {
		w.out.Struck += len(b.flights)
	}
	w.strike(f, struck, true)
	if f.For.Duration > 0 {
		w.in(f.For.Duration, func() {
			w.out.Mark(w.now, "", f.Says(false))
			w.strike(f, struck, false)
		})
	}
}

// struck are the boxes that a fault is about.
func (w *World) struck(f Fault) (all []*box) {
	for _, spec := range f.Struck(w.Specs(w.seed)) {
		all = append(all, w.byID[spec.ID])
	}
	return all
}

func (w *World) strike(f Fault, boxes []*box, on bool) {
	switch f.Do {
	case Load:
		w.changeLoad(f, on)
	case Nodes:
		w.strikeNodes(f.Zone, on)
	case Apart:
		w.part(f, on)
	case Vanish:
		w.phase(boxes, on, emulator.Removed)
		w.relist(0, boxes)
	case Drain:
		w.drain(boxes, on)
	case Lost, Cold:
		for _, b := range boxes {
			w.kill(b, on, f.Do == Cold)
		}
		if f.Do == Cold && !on {
			w.relist(0, boxes)
		}
	}
	for _, b := range boxes {
		switch f.Do {
		case Silent:
			b.silent = on
		case Mute:
			b.mute = on
		default:
			f.Hurt(&b.Fault, on)
		}
	}
}

// changeLoad has the clients of a zone, or all, ask several times as much, or as at first.
func (w *World) changeLoad(f Fault, on bool) {
	times := 1.0
	if on {
		times = f.By
	}
	for i, c := range w.crowds {
		if f.Zone == "" || f.Zone == c.zone {
			w.come(c, times, uint64(w.count+i))
		}
	}
}

// part cuts zones off, or ends that.
func (w *World) part(f Fault, on bool) {
	if on {
		w.apart = append(w.apart, f)
	} else if i := slices.Index(w.apart, f); i >= 0 {
		w.apart = slices.Delete(w.apart, i, i+1)
	}
}

func (w *World) phase(boxes []*box, on bool, to string) {
	for _, b := range boxes {
		if b.phase = emulator.Up; on {
			b.phase = to
		}
	}
}

// drain has boxes drain and leave the list, or return as new processes.
func (w *World) drain(boxes []*box, on bool) {
	if !on {
		for _, b := range boxes {
			w.restart(b, w.now)
		}
		w.phase(boxes, false, "")
		w.relist(0, boxes)
		return
	}
	w.phase(boxes, true, emulator.Draining)
	w.relist(0, boxes)
	w.in(5*time.Second, func() {
		w.phase(boxes, true, emulator.Removed)
		w.relist(0, boxes)
	})
}

// kill ends a box's process, with all that it has in work, or starts one.
func (w *World) kill(b *box, on, cold bool) {
	b.lost = on
	if !on {
		if cold {
			w.restart(b, w.now)
		}
		return
	}
	for _, job := range slices.Sorted(maps.Keys(b.flights)) { // in one order, for a seed's run to be one
		f := b.flights[job]
		w.Judge.Over(f.open.try.ID, b.Spec.ID, false)
		w.in(wayBetween(f.open.node.zone, b.Spec.Zone), func() { w.over(f, policy.Reset, nil) })
	}
	w.restart(b, b.Started())
}

func (w *World) restart(b *box, started time.Duration) {
	b.epoch++
	b.Box = emulator.NewBox(b.Spec, started, b.seed+uint64(b.epoch))
	b.flights, b.reports = make(map[string]*flight), nil
}

// strikeNodes kills the nodes of a zone, or starts new ones in their place.
func (w *World) strikeNodes(zone string, on bool) {
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
			m, err := policy.New(w.settings(z, i, len(w.nodes)), w.now, uint64(w.count))
			if err != nil { // the same settings were taken before
				panic(err)
			}
			n.module, n.down, n.seen = m, false, false
			w.tell(n, policy.MemberList{Kind: policy.ListRestored, Members: w.list()})
			continue
		}
		n.down = true
		w.in(frontSees, func() { n.seen = n.down })
		for _, id := range slices.Sorted(maps.Keys(n.open)) {
			o := n.open[id]
			o.answered = true
			w.Judge.Broke(w.now, o.try.ID, true)
			w.ended(o.from, o.try, 0, 0)
		}
		clear(n.open)
	}
}
