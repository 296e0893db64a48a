// Package emulator emulates what surrounds a node: servers, the list service, clients, and a checker of the rules
// that nodes have to keep. Each part is a state machine that is handed the time and does no I/O, so that it can be
// driven by sockets in real time as well as by virtual time. Nothing here is safe for concurrent use.
package emulator

import (
	"math/rand/v2"
	"time"

	"sloerail/internal/priority"
)

// Time is a time on the driver's clock, from any origin.
type Time = time.Duration

// ServerSpec describes a server.
type ServerSpec struct {
	ID, Zone, Kind string
	Cell           int64
	Cores          int
	Speed          float64 // of a core; 1 is the unit of work
	MaxRequests    int     // running and queued; more are rejected

	SlowStartMinCapacity float64       // fraction of its capacity that it starts with
	SlowStartDuration    time.Duration // until it has its full capacity

	OverloadAt       float64       // queued requests for each core, beyond which it is overloaded
	OverloadAfter    time.Duration // for which it has to be overloaded to become slower
	OverloadSlowdown float64       // how many times slower it then is
	OverloadRecovery time.Duration // for which it has to be mostly idle to recover

	DedupWindow    time.Duration // within which repeats of a key are dropped
	ReportInterval time.Duration // between load reports
}

// DefaultServer is a server in the middle of the ranges that the operators state for theirs.
func DefaultServer(id, zone string) ServerSpec {
	return ServerSpec{ID: id, Zone: zone, Kind: "big-box", Cores: 7, Speed: 1.8, MaxRequests: 64, SlowStartMinCapacity: 0.13,
		SlowStartDuration: 24 * time.Second, OverloadAt: 2, OverloadAfter: 2 * time.Second, OverloadSlowdown: 2.9,
		OverloadRecovery: 3 * time.Second, DedupWindow: 12 * time.Second, ReportInterval: time.Second}
}

// ServerFault is what is wrong with a server that runs.
type ServerFault struct {
	ErrorFraction float64 // of its requests, which fail at once
	Slowdown      float64 // how many times slower it is; 0 counts as 1
}

// Job is one attempt that a server is offered.
type Job struct {
	ID, Key string
	Work    time.Duration // of a core of speed 1
}

// Verdict is a server's immediate answer to an offered job.
type Verdict uint8

// Verdicts.
const (
	Accepted Verdict = iota // it will be among the CompletedJobs
	Rejected                // it never runs
	Failed                  // it may have run
)

// CompletedJob is a job that a server has finished.
type CompletedJob struct {
	Job
	At       Time
	Executed bool // false for a repeat of a key, which was dropped
}

// LoadReport is a server's load report: means over the last ReportInterval.
type LoadReport struct{ LatencyMs, Util, QPS float64 }

// Server is one process that serves requests.
type Server struct {
	Spec     ServerSpec
	Fault    ServerFault
	Draining bool

	rng             *rand.Rand
	started         Time // 0 for long ago: slow start is over
	running         priority.Queue[runningJob]
	queued          []Job
	keyStarts       map[string]Time // by key, when its first job started
	overloadedSince Time            // notSince for not
	slowed          bool
	idleSince       Time // when a slowed server became mostly idle; notSince for not

	report            LoadReport
	reportedAt        Time
	busy, serviceTime time.Duration // of cores and of completed jobs, since the last report
	completed         int           // the same
}

// notSince stands for a condition that doesn't hold.
const notSince Time = -1

// NewServer makes a server that starts at a time; 0 stands for long ago. The seed decides which requests fail.
func NewServer(spec ServerSpec, started Time, seed uint64) *Server {
	return &Server{Spec: spec, started: started, overloadedSince: notSince, idleSince: notSince, keyStarts: make(map[string]Time),
		rng: rand.New(rand.NewPCG(seed, 0xb0))}
}

// Started is when the server's process started; 0 for long ago.
func (s *Server) Started() Time { return s.started }

// Capacity is the fraction of its full capacity that the server has: below 1 in slow start.
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
	if s.Fault.Slowdown > 1 {
		v /= s.Fault.Slowdown
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
	case s.Draining, len(s.running)+len(s.queued) >= s.Spec.MaxRequests:
		return Rejected
	case s.rng.Float64() < s.Fault.ErrorFraction:
		return Failed
	}
	s.queued = append(s.queued, j)
	s.startQueued(now)
	s.updateOverload(now)
	return Accepted
}

// startQueued starts queued jobs on free cores.
func (s *Server) startQueued(now Time) {
	for len(s.running) < s.Spec.Cores && len(s.queued) > 0 {
		j := s.queued[0]
		s.queued = s.queued[1:]
		serviceTime := time.Duration(float64(j.Work) / s.coreSpeed(now))
		s.running.Add(runningJob{Job: j, startedAt: now, endsAt: now + serviceTime})
	}
}

// Next is when the next job completes; ok is false while the server has none.
func (s *Server) Next() (at Time, ok bool) {
	if len(s.running) == 0 {
		return 0, false
	}
	return s.running[0].endsAt, true
}

// Advance returns the jobs that are completed by now, in order. Nothing cancels a job: one whose client has gone runs
// to its end.
func (s *Server) Advance(now Time) []CompletedJob {
	var completed []CompletedJob
	for len(s.running) > 0 && s.running[0].endsAt <= now {
		j := s.running.Take()
		s.busy += j.endsAt - max(j.startedAt, s.reportedAt) // earlier time is in an earlier report
		s.serviceTime += j.endsAt - j.startedAt
		s.completed++
		completed = append(completed, CompletedJob{Job: j.Job, At: j.endsAt, Executed: s.firstOfKey(j)})
		s.startQueued(j.endsAt)
		s.updateOverload(j.endsAt)
	}
	s.updateOverload(now)
	return completed
}

// firstOfKey tells whether a job is the first with its key within the DedupWindow.
func (s *Server) firstOfKey(j runningJob) bool {
	if j.Key == "" {
		return true
	}
	first, repeat := s.keyStarts[j.Key]
	if repeat && j.startedAt-first < s.Spec.DedupWindow {
		return false
	}
	for key, first := range s.keyStarts {
		if j.startedAt-first >= s.Spec.DedupWindow {
			delete(s.keyStarts, key)
		}
	}
	s.keyStarts[j.Key] = j.startedAt
	return true
}

// updateOverload makes the server slower once it has been overloaded for long, and lets it recover.
func (s *Server) updateOverload(now Time) {
	if float64(len(s.queued)) > s.Spec.OverloadAt*float64(s.Spec.Cores) {
		if s.overloadedSince == notSince {
			s.overloadedSince = now
		}
		if now-s.overloadedSince >= s.Spec.OverloadAfter {
			s.slowed, s.idleSince = true, notSince
		}
	} else {
		s.overloadedSince = notSince
	}
	if !s.slowed {
		return
	}
	switch mostlyIdle := len(s.running) <= s.Spec.Cores/4 && len(s.queued) == 0; {
	case !mostlyIdle:
		s.idleSince = notSince
	case s.idleSince == notSince:
		s.idleSince = now
	case now-s.idleSince >= s.Spec.OverloadRecovery:
		s.slowed, s.idleSince = false, notSince
	}
}

// Slowed tells whether the server is slower because it was overloaded.
func (s *Server) Slowed() bool { return s.slowed }

// InProgress is how many jobs run or are queued.
func (s *Server) InProgress() int { return len(s.running) + len(s.queued) }

// LoadReport returns the newest load report, which it makes once the last is older than the ReportInterval.
func (s *Server) LoadReport(now Time) LoadReport {
	if span := now - s.reportedAt; span >= s.Spec.ReportInterval {
		busy := s.busy
		for _, j := range s.running {
			busy += now - max(j.startedAt, s.reportedAt)
		}
		s.report = LoadReport{Util: min(1, busy.Seconds()/span.Seconds()/float64(s.Spec.Cores)),
			QPS: float64(s.completed) / span.Seconds(), LatencyMs: s.report.LatencyMs}
		if s.completed > 0 {
			s.report.LatencyMs = float64(s.serviceTime.Milliseconds()) / float64(s.completed)
		}
		s.reportedAt, s.busy, s.serviceTime, s.completed = now, 0, 0, 0
	}
	return s.report
}

// runningJob is a job on a core.
type runningJob struct {
	Job
	startedAt, endsAt Time
}

// Before orders jobs by their ends.
func (j runningJob) Before(other runningJob) bool { return j.endsAt < other.endsAt }
