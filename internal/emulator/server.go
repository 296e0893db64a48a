// Package emulator simulates the surroundings of a node: servers, the list of them, clients, and a checker of
// the rules. Each part is a state machine that is handed the time and does no I/O, so that sockets and a rig
// can drive it as well as virtual time can. Nothing here is safe for concurrent use.
package emulator

import (
	"math/rand/v2"
	"time"

	"sloerail/internal/priority"
)

// Time is a moment on the driver's clock, from any origin.
type Time = time.Duration

// ServerSpec is what a server is. Figures of the operators' pages are in DefaultServer.
type ServerSpec struct {
	ID, Zone, Kind string
	Cell           int64
	Cores          int
	Speed          float64 // of a core; 1 is the unit of work
	MaxRequests    int     // requests in work and waiting; more are turned away

	SlowStartMinCapacity float64       // it starts at this part of its capacity
	SlowStartDuration    time.Duration // and is warm after this

	OverloadAt       float64       // times its cores, waiting for OverloadAfter, make it slower
	OverloadAfter    time.Duration // see OverloadAt
	OverloadSlowdown float64       // so many times,
	OverloadRecovery time.Duration // until it has been mostly idle for so long

	DedupWindow    time.Duration // repeats of a key are dropped for this long
	ReportInterval time.Duration // its load report is made anew
}

// DefaultServer is a server in the middle of the ranges that the operators state for theirs.
func DefaultServer(id, zone string) ServerSpec {
	return ServerSpec{ID: id, Zone: zone, Kind: "big-box", Cores: 7, Speed: 1.8, MaxRequests: 64, SlowStartMinCapacity: 0.13,
		SlowStartDuration: 24 * time.Second, OverloadAt: 2, OverloadAfter: 2 * time.Second, OverloadSlowdown: 2.9,
		OverloadRecovery: 3 * time.Second, DedupWindow: 12 * time.Second, ReportInterval: time.Second}
}

// ServerFault is what is wrong with a server that runs.
type ServerFault struct {
	Errors float64 // part of its requests that fail fast
	Slow   float64 // times its usual time for the work; 0 counts as 1
}

// Job is one attempt that a server is offered.
type Job struct {
	ID, Key string
	Work    time.Duration // of a core of speed 1
}

// Verdict is what a server makes of an offer.
type Verdict uint8

// Verdicts.
const (
	Accepted Verdict = iota // it will be Done
	Rejected                // turned away, and never run
	Failed                  // fast; it may have run
)

// Done is a job that a server has finished.
type Done struct {
	Job
	At     Time
	Effect bool // false for a repeat that was dropped
}

// Report is a server's load report.
type Report struct{ LatencyMs, Util, QPS float64 }

// Server is one process that serves requests.
type Server struct {
	Spec     ServerSpec
	Fault    ServerFault
	Draining bool

	rng             *rand.Rand
	started         Time // 0 for long ago: warm
	running         priority.Queue[run]
	waiting         []Job
	keys            map[string]Time // keys, and when their first request was taken
	overloadedSince Time            // since when too many wait; -1 for not
	slowed          bool
	idleSince       Time // since when a slowed server is mostly idle; -1 for not

	report            Report
	reportedAt        Time
	busy, serviceTime time.Duration // since the last report
	served            int
}

// NewServer makes a server that starts at a time; 0 stands for long ago. The seed drives its chances.
func NewServer(spec ServerSpec, started Time, seed uint64) *Server {
	return &Server{Spec: spec, started: started, overloadedSince: -1, idleSince: -1, keys: make(map[string]Time),
		rng: rand.New(rand.NewPCG(seed, 0xb0))}
}

// Started is when the server's process started; 0 for long ago.
func (s *Server) Started() Time { return s.started }

// Capacity is the part of its full capacity that the server has.
func (s *Server) Capacity(now Time) float64 {
	if s.started == 0 || now >= s.started+s.Spec.SlowStartDuration {
		return 1
	}
	age := float64(now-s.started) / float64(s.Spec.SlowStartDuration)
	return s.Spec.SlowStartMinCapacity + (1-s.Spec.SlowStartMinCapacity)*max(0, age)
}

// coreSpeed is how many times faster than one core of speed 1 a core of the server is now.
func (s *Server) coreSpeed(now Time) float64 {
	v := s.Spec.Speed * s.Capacity(now)
	if s.Fault.Slow > 1 {
		v /= s.Fault.Slow
	}
	if s.slowed {
		v /= s.Spec.OverloadSlowdown
	}
	return v
}

// Offer hands the server an attempt whose last byte has arrived.
func (s *Server) Offer(now Time, j Job) Verdict {
	s.updateOverload(now)
	switch {
	case s.Draining, len(s.running)+len(s.waiting) >= s.Spec.MaxRequests:
		return Rejected
	case s.rng.Float64() < s.Fault.Errors:
		return Failed
	}
	s.waiting = append(s.waiting, j)
	s.startWaiting(now)
	s.updateOverload(now)
	return Accepted
}

// startWaiting starts what waits on cores that are free.
func (s *Server) startWaiting(now Time) {
	for len(s.running) < s.Spec.Cores && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		takes := time.Duration(float64(j.Work) / s.coreSpeed(now))
		s.running.Add(run{j, now + takes, now})
	}
}

// Next is when the server next has something Done; ok is false while it has no work.
func (s *Server) Next() (at Time, ok bool) {
	if len(s.running) == 0 {
		return 0, false
	}
	return s.running[0].ends, true
}

// Advance returns what is done by now, in order. A cancel stops nothing: who hung up has no answer, and the
// work is done all the same.
func (s *Server) Advance(now Time) []Done {
	var all []Done
	for len(s.running) > 0 && s.running[0].ends <= now {
		r := s.running.Take()
		s.busy += r.ends - max(r.began, s.reportedAt) // what lies before is in a report already
		s.serviceTime += r.ends - r.began
		s.served++
		all = append(all, Done{Job: r.Job, At: r.ends, Effect: s.firstOfKey(r)})
		s.startWaiting(r.ends)
		s.updateOverload(r.ends)
	}
	s.updateOverload(now)
	return all
}

// firstOfKey tells whether a job is the first with its key within the time that repeats are dropped for.
func (s *Server) firstOfKey(r run) bool {
	if r.Key == "" {
		return true
	}
	at, repeat := s.keys[r.Key]
	if repeat && r.began-at < s.Spec.DedupWindow {
		return false
	}
	for key, at := range s.keys { // bounded by what came in that time
		if r.began-at >= s.Spec.DedupWindow {
			delete(s.keys, key)
		}
	}
	s.keys[r.Key] = r.began
	return true
}

// updateOverload notes when too many requests wait, and when a slowed server has recovered.
func (s *Server) updateOverload(now Time) {
	if float64(len(s.waiting)) > s.Spec.OverloadAt*float64(s.Spec.Cores) {
		if s.overloadedSince < 0 {
			s.overloadedSince = now
		}
		if now-s.overloadedSince >= s.Spec.OverloadAfter {
			s.slowed, s.idleSince = true, -1
		}
	} else {
		s.overloadedSince = -1
	}
	if !s.slowed {
		return
	}
	switch mostly := len(s.running) <= s.Spec.Cores/4 && len(s.waiting) == 0; {
	case !mostly:
		s.idleSince = -1
	case s.idleSince < 0:
		s.idleSince = now
	case now-s.idleSince >= s.Spec.OverloadRecovery:
		s.slowed, s.idleSince = false, -1
	}
}

// Slowed tells whether the server is slower for having been overloaded.
func (s *Server) Slowed() bool { return s.slowed }

// InProgress is how many jobs the server has in work and waiting.
func (s *Server) InProgress() int { return len(s.running) + len(s.waiting) }

// Load is the server's load report as it was last made.
func (s *Server) Load(now Time) Report {
	if span := now - s.reportedAt; span >= s.Spec.ReportInterval {
		busy := s.busy
		for _, r := range s.running {
			busy += now - max(r.began, s.reportedAt)
		}
		s.report = Report{Util: min(1, busy.Seconds()/span.Seconds()/float64(s.Spec.Cores)),
			QPS: float64(s.served) / span.Seconds(), LatencyMs: s.report.LatencyMs}
		if s.served > 0 {
			s.report.LatencyMs = float64(s.serviceTime.Milliseconds()) / float64(s.served)
		}
		s.reportedAt, s.busy, s.serviceTime, s.served = now, 0, 0, 0
	}
	return s.report
}

// run is a job on a core.
type run struct {
	Job
	ends, began Time
}

// Before orders jobs by their ends.
func (r run) Before(other run) bool { return r.ends < other.ends }
