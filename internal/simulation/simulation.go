package simulation

import (
	"math/rand/v2"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/priority"
)

// Figures of the world, in the middle of the ranges that the operators' pages state.
const (
	sameZoneLatency  = 250 * time.Microsecond // one way, within a zone
	crossZoneLatency = 4 * time.Millisecond   // and between zones
	connectTimeout   = 250 * time.Millisecond // until a connection that doesn't come up has failed
	reportDelay      = 300 * time.Millisecond // a report's age when it leaves its server, beyond its period
	maxListDelay     = 800 * time.Millisecond // until nodes are told of a change
	detectionDelay   = 300 * time.Millisecond // until a front leaves a node that is gone
	maxSettleTime    = 10 * time.Minute       // beyond the end, for what is under way
)

// Simulation is a scenario under way. It is not safe for concurrent use, and the same for the same seed.
type Simulation struct {
	Scenario
	Checker *emulator.Checker

	now           time.Duration
	queue         priority.Queue[event]
	sequence      int
	seed          uint64
	rng           *rand.Rand
	nodes         []*node
	servers       []*server
	serversByID   map[string]*server
	partitions    []Fault // that cut zones off now
	loadBalancers []*loadBalancer
	generators    []*generator
	classes       []emulator.Class
	outcome       *Outcome
}

// origin is when a run begins: 0 would stand for long ago.
const origin = time.Hour

// New makes a world as the scenario has it, drawn from a seed.
func New(s Scenario, seed uint64) (*Simulation, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &Simulation{Scenario: s, Checker: emulator.NewChecker(emulator.DefaultRules()), now: origin, seed: seed,
		rng: rand.New(rand.NewPCG(seed, 0x1ab)), serversByID: make(map[string]*server), classes: emulator.Classes()}
	servers := s.ServerSpecs(seed)
	w.outcome = NewOutcome(s, servers, w.classes, origin)
	w.addServers(servers, seed)
	if err := w.addNodes(seed); err != nil {
		return nil, err
	}
	for i, z := range s.Zones {
		w.addLoadBalancer(i, z, seed)
	}
	for i := range int(s.Length.Seconds()) {
		w.at(origin+time.Duration(i+1)*time.Second-time.Nanosecond, w.sampleServers)
	}
	for _, f := range s.Faults {
		for _, at := range f.StartTimes() {
			w.at(origin+at, func() { w.beginFault(f) })
		}
	}
	return w, nil
}

// Run plays the scenario to its end, and returns what came of it.
func (w *Simulation) Run() *Outcome {
	end := origin + w.Length.Duration + maxSettleTime
	for len(w.queue) > 0 && w.queue[0].at <= end && !w.idle() {
		e := w.queue.Take()
		w.now = e.at
		e.run()
	}
	breaches, n := w.Checker.Violations()
	w.outcome.Broken, w.outcome.BrokenRules = n, append([]string{}, breaches...)
	return w.outcome
}

// idle tells whether the time of the clients is over and nothing is under way: timers of the module go on.
func (w *Simulation) idle() bool {
	if w.now <= origin+w.Length.Duration {
		return false
	}
	for _, g := range w.generators {
		if _, more := g.clients.Next(); more {
			return false
		}
	}
	for _, n := range w.nodes {
		if len(n.requests) > 0 {
			return false
		}
	}
	return true
}

// sampleServers books how the servers are.
func (w *Simulation) sampleServers() {
	s := w.outcome.second(w.now)
	var cores, held int
	for _, b := range w.servers {
		if b.down || b.connectTimeout {
			continue
		}
		cores, held = cores+b.Spec.Cores, held+min(b.InProgress(), b.Spec.Cores)
		if b.Slowed() {
			s.Overloaded++
		}
	}
	s.Utilization = float64(held) / float64(max(1, cores))
}
