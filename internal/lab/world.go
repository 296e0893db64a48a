package lab

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"sloerail/internal/emulator"
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
