package simulation

import (
	"maps"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// drainTime is how long a draining server stays in the list before it is removed.
const drainTime = 5 * time.Second

// server is an emulated server with the state of its network connections and of its entry in the list.
type server struct {
	*emulator.Server
	attempts       map[string]*attempt // in progress, by job ID
	seed           uint64
	incarnation    int // counts the restarts of the process
	down           bool
	connectTimeout bool // connection attempts to the server time out
	responseLost   bool
	phase          string // phase of the server's entry in the list: emulator.Up, Draining or Removed
	reports        []timedReport
}

// timedReport is a load report with the time when the server made it.
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

// scheduleCompletions schedules an event for the time when a server's next job completes. That event schedules the event
// for the following completion.
func (s *Simulation) scheduleCompletions(srv *server) {
	at, ok := srv.Next()
	if !ok {
		return
	}
	incarnation := srv.incarnation
	s.at(at, func() {
		if srv.incarnation != incarnation {
			return
		}
		for _, job := range srv.Advance(s.now) {
			a := srv.attempts[job.ID]
			delete(srv.attempts, job.ID)
			if a != nil && !a.ended {
				s.Checker.AttemptEnded(a.request.clientAttempt.ID, srv.Spec.ID, false)
				s.reply(a, policy.OK)
			}
		}
		s.scheduleCompletions(srv)
	})
}

// loadReport returns the load report that a server's response carries: the newest report that is at least reportDelay
// old, or nil if there is none.
func (s *Simulation) loadReport(srv *server) []float64 {
	if !s.hasReports() {
		return nil
	}
	newest := srv.LoadReport(s.now)
	if n := len(srv.reports); n == 0 || srv.reports[n-1].load != newest {
		srv.reports = append(srv.reports, timedReport{s.now, newest})
	}
	for len(srv.reports) > 1 && srv.reports[1].at <= s.now-reportDelay {
		srv.reports = srv.reports[1:]
	}
	if report := srv.reports[0]; report.at <= s.now-reportDelay {
		return []float64{report.load.LatencyMs, report.load.Util, report.load.QPS}
	}
	return nil
}

// endpoints returns the current list of servers.
func (s *Simulation) endpoints() (listed []policy.Endpoint) {
	for _, server := range s.servers {
		if e := server.endpoint(); e.Availability != policy.Removed {
			listed = append(listed, e)
		}
	}
	return listed
}

var availabilities = map[string]policy.Availability{
	emulator.Up: policy.Running, emulator.Draining: policy.Draining, emulator.Removed: policy.Removed}

func (s *server) endpoint() policy.Endpoint {
	return policy.Endpoint{ID: s.Spec.ID, Zone: s.Spec.Zone, Kind: s.Spec.Kind, Cell: s.Spec.Cell, Weight: 1,
		StartedAt: s.Started(), Availability: availabilities[s.phase]}
}

// notifyNodes sends each node the state of these servers, after a random delay of up to maxListDelay for each node. The
// state is the one at the end of the delay.
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

// setUnlisted removes servers from the list, or puts them back. The servers run all the time.
func (s *Simulation) setUnlisted(servers []*server, unlisted bool) {
	phase := emulator.Up
	if unlisted {
		phase = emulator.Removed
	}
	setPhase(servers, phase)
	s.notifyNodes(servers)
}

// drain marks servers as draining, and removes them from the list after drainTime. If on is false, it restarts them and
// puts them back into the list.
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

// setDown stops a server and resets its attempts, or starts the server again. If newProcess is set, the server then
// begins a slow start.
func (s *Simulation) setDown(server *server, down, newProcess bool) {
	server.down = down
	if !down {
		if newProcess {
			s.restart(server, s.now)
		}
		return
	}
	for _, job := range slices.Sorted(maps.Keys(server.attempts)) { // in a fixed order, so that runs with the same seed are equal
		a := server.attempts[job]
		s.Checker.AttemptEnded(a.request.clientAttempt.ID, server.Spec.ID, false)
		s.after(a.latency(), func() { s.endAttempt(a, policy.Reset, nil) })
	}
	s.restart(server, server.Started())
}

// restart replaces a server by a new process without attempts and load reports. started is the start time of the
// process; 0 means that its slow start is over.
func (s *Simulation) restart(server *server, started time.Duration) {
	server.incarnation++
	server.Server = emulator.NewServer(server.Spec, started, server.seed+uint64(server.incarnation))
	server.attempts, server.reports = make(map[string]*attempt), nil
}
