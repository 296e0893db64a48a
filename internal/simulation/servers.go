package simulation

import (
	"maps"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// drainTime is how long a server that drains stays in the list until it is removed.
const drainTime = 5 * time.Second

// server is an emulated server with what the network and the list make of it.
type server struct {
	*emulator.Server
	attempts       map[string]*attempt // in progress, by job
	seed           uint64
	incarnation    int // of its process
	down           bool
	connectTimeout bool // connections to it don't come up
	responseLost   bool
	phase          string // in the list
	reports        []timedReport
}

type timedReport struct {
	at   time.Duration
	load emulator.LoadReport
}

func (s *Simulation) addServers(specs []emulator.ServerSpec, seed uint64) {
	for i, spec := range specs {
		added := &server{attempts: make(map[string]*attempt), seed: seed*1000 + uint64(i), phase: emulator.Up}
		added.Server = emulator.NewServer(spec, 0, added.seed)
		s.servers, s.serversByID[spec.ID] = append(s.servers, added), added
	}
}

// scheduleCompletions completes a server's jobs when they are due.
func (s *Simulation) scheduleCompletions(of *server) {
	at, ok := of.Next()
	if !ok {
		return
	}
	incarnation := of.incarnation
	s.at(at, func() {
		if of.incarnation != incarnation {
			return
		}
		for _, job := range of.Advance(s.now) {
			a := of.attempts[job.ID]
			delete(of.attempts, job.ID)
			if a != nil && !a.ended {
				s.Checker.AttemptEnded(a.request.clientAttempt.ID, of.Spec.ID, false)
				s.reply(a, policy.OK)
			}
		}
		s.scheduleCompletions(of)
	})
}

// loadReport is the load report in a server's response: as it was some time ago.
func (s *Simulation) loadReport(of *server) []float64 {
	if !s.hasReports() {
		return nil
	}
	newest := of.LoadReport(s.now)
	if n := len(of.reports); n == 0 || of.reports[n-1].load != newest {
		of.reports = append(of.reports, timedReport{s.now, newest})
	}
	for len(of.reports) > 1 && of.reports[1].at <= s.now-reportDelay {
		of.reports = of.reports[1:]
	}
	if report := of.reports[0]; report.at <= s.now-reportDelay {
		return []float64{report.load.LatencyMs, report.load.Util, report.load.QPS}
	}
	return nil
}

// endpoints is the list as it is now.
func (s *Simulation) endpoints() (all []policy.Endpoint) {
	for _, server := range s.servers {
		if e := server.endpoint(); e.Availability != policy.Removed {
			all = append(all, e)
		}
	}
	return all
}

var availabilities = map[string]policy.Availability{
	emulator.Up: policy.Running, emulator.Draining: policy.Draining, emulator.Removed: policy.Removed}

func (s *server) endpoint() policy.Endpoint {
	return policy.Endpoint{ID: s.Spec.ID, Zone: s.Spec.Zone, Kind: s.Spec.Kind, Cell: s.Spec.Cell, Weight: 1,
		StartedAt: s.Started(), Availability: availabilities[s.phase]}
}

// notifyNodes notifies each node of these servers' state, after a delay of its own.
func (s *Simulation) notifyNodes(servers []*server) {
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.Int64N(int64(maxListDelay))), func() {
			var changed []policy.Endpoint
			for _, server := range servers {
				changed = append(changed, server.endpoint())
				s.Checker.ChangeNotified(s.now, n.name, server.Spec.ID, server.phase)
			}
			s.deliver(n, policy.EndpointList{Kind: policy.ListUpdate, Endpoints: changed})
		})
	}
}

func setPhase(servers []*server, phase string) {
	for _, server := range servers {
		server.phase = phase
	}
}

// setUnlisted removes servers from the list while they run on, or puts them back.
func (s *Simulation) setUnlisted(servers []*server, unlisted bool) {
	phase := emulator.Up
	if unlisted {
		phase = emulator.Removed
	}
	setPhase(servers, phase)
	s.notifyNodes(servers)
}

// drain drains servers and removes them from the list, or has them return as new processes.
func (s *Simulation) drain(servers []*server, on bool) {
	if !on {
		for _, server := range servers {
			s.restart(server, s.now)
		}
		setPhase(servers, emulator.Up)
		s.notifyNodes(servers)
		return
	}
	setPhase(servers, emulator.Draining)
	s.notifyNodes(servers)
	s.after(drainTime, func() {
		setPhase(servers, emulator.Removed)
		s.notifyNodes(servers)
	})
}

// setDown ends a server's process with the attempts that it has, or has it return; then, if newProcess is set, in slow
// start.
func (s *Simulation) setDown(server *server, down, newProcess bool) {
	server.down = down
	if !down {
		if newProcess {
			s.restart(server, s.now)
		}
		return
	}
	for _, job := range slices.Sorted(maps.Keys(server.attempts)) { // in one order, so that a seed gives one run
		a := server.attempts[job]
		s.Checker.AttemptEnded(a.request.clientAttempt.ID, server.Spec.ID, false)
		s.after(a.latency(), func() { s.endAttempt(a, policy.Reset, nil) })
	}
	s.restart(server, server.Started())
}

func (s *Simulation) restart(server *server, started time.Duration) {
	server.incarnation++
	server.Server = emulator.NewServer(server.Spec, started, server.seed+uint64(server.incarnation))
	server.attempts, server.reports = make(map[string]*attempt), nil
}
