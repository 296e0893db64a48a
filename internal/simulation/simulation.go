package simulation

import (
	"math/rand/v2"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/priority"
)

// Durations of the model, in the middle of the ranges that the operators' documentation gives.
const (
	sameZoneLatency  = 250 * time.Microsecond // one way
	crossZoneLatency = 4 * time.Millisecond   // one way
	connectTimeout   = 250 * time.Millisecond
	reportDelay      = 300 * time.Millisecond // minimum age of a load report that a node receives
	maxListDelay     = 800 * time.Millisecond // maximum delay of a list change on its way to a node
	detectionDelay   = 300 * time.Millisecond // delay until load balancers know that a node is down
	maxSettleTime    = 10 * time.Minute       // maximum time, after the scenario's length, to wait for the requests in flight
)

// origin is the time on the clock at the start of a run. It is not 0, because a server start time of 0 means that the
// server's slow start is over.
const origin = time.Hour

// Simulation is one run of a scenario. Runs of the same scenario with the same seed are equal. It is not safe for
// concurrent use.
type Simulation struct {
	Scenario
	Checker *emulator.Checker

	now           time.Duration
	queue         priority.Queue[event]
	sequence      int // last number given to an event or to clients
	seed          uint64
	rng           *rand.Rand
	nodes         []*node
	servers       []*server
	serversByID   map[string]*server
	partitions    []Fault // active faults of kind Partition
	loadBalancers []*loadBalancer
	generators    []*generator
	classes       []emulator.Class
	outcome       *Outcome
}

// New creates a run of a scenario. If the scenario is invalid, the error names the first invalid key.
func New(scenario Scenario, seed uint64) (*Simulation, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	s := &Simulation{Scenario: scenario, Checker: emulator.NewChecker(emulator.DefaultRules()), now: origin, seed: seed,
		rng: rand.New(rand.NewPCG(seed, 0x1ab)), serversByID: make(map[string]*server), classes: emulator.Classes()}
	servers := scenario.ServerSpecs(seed)
	s.outcome = NewOutcome(scenario, servers, s.classes, origin)
	s.addServers(servers, seed)
	if err := s.addNodes(seed); err != nil {
		return nil, err
	}
	for i, z := range s.Zones {
		s.addLoadBalancer(i, z, seed)
	}
	for i := range int(s.Length.Seconds()) {
		s.at(origin+time.Duration(i+1)*time.Second-time.Nanosecond, s.sampleServers)
	}
	for _, f := range s.Faults {
		for _, at := range f.StartTimes() {
			s.at(origin+at, func() { s.beginFault(f) })
		}
	}
	return s, nil
}

// Run runs the scenario and returns its outcome. After the scenario's length, it waits up to maxSettleTime for the requests
// in flight and their retries.
func (s *Simulation) Run() *Outcome {
	end := origin + s.Length.Duration + maxSettleTime
	for len(s.queue) > 0 && s.queue[0].at <= end && !s.finished() {
		next := s.queue.Take()
		s.now = next.at
		next.run()
	}
	violations, count := s.Checker.Violations()
	s.outcome.Broken, s.outcome.BrokenRules = count, append([]string{}, violations...)
	return s.outcome
}

// finished reports whether the scenario's length is over, and no request is in flight or waits for a retry. The queue
// doesn't show this: it never gets empty, because the nodes keep setting timers.
func (s *Simulation) finished() bool {
	if s.now <= origin+s.Length.Duration {
		return false
	}
	for _, g := range s.generators {
		if _, more := g.clients.Next(); more {
			return false
		}
	}
	for _, n := range s.nodes {
		if len(n.requests) > 0 {
			return false
		}
	}
	return true
}

// hasReports reports whether servers send load reports.
func (s *Simulation) hasReports() bool { return s.Reports == nil || *s.Reports }

// sampleServers records the overloaded servers and the utilization in the current second.
func (s *Simulation) sampleServers() {
	second := s.outcome.second(s.now)
	var cores, busyCores int
	for _, server := range s.servers {
		if server.down || server.connectTimeout {
			continue
		}
		cores += server.Spec.Cores
		busyCores += min(server.InProgress(), server.Spec.Cores)
		if server.Slowed() {
			second.Overloaded++
		}
	}
	second.Utilization = float64(busyCores) / float64(max(1, cores))
}
