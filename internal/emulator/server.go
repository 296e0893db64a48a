// Package emulator emulates the environment of a node: servers, the list service and clients. It also has a checker of
// the rules that nodes must follow. Each part is a state machine that gets the time as an argument and does no I/O, so
// that it can run with sockets in real time as well as in virtual time. Nothing here is safe for concurrent use.
package emulator

import (
	"math/rand/v2"
	"time"

	"sloerail/internal/priority"
)

// Time is a time on the clock of the driver, the code that runs the emulator in real or virtual time. The origin of the
// clock is arbitrary.
type Time = time.Duration

// ServerSpec describes a server.
type ServerSpec struct {
	ID, Zone, Kind string
	Cell           int64
	Cores          int
	Speed          float64 // speed of each core; work is measured in time of a core of speed 1
	MaxRequests    int     // maximum number of running and queued requests; further ones are rejected

	SlowStartMinCapacity float64       // fraction of the full capacity at the start
	SlowStartDuration    time.Duration // time from the start until full capacity

	OverloadAt       float64       // queued requests per core above which the server is overloaded
	OverloadAfter    time.Duration // how long the server must be overloaded to become slower
	OverloadSlowdown float64       // factor by which the server becomes slower
	OverloadRecovery time.Duration // how long a slower server must be mostly idle to recover

	DedupWindow    time.Duration // time within which repeats of a key are dropped
	ReportInterval time.Duration // time between load reports
}

// DefaultServer returns the specification of a server in the middle of the ranges that the operators state.
func DefaultServer(id, zone string) ServerSpec {
	return ServerSpec{ID: id, Zone: zone, Kind: "big-box", Cores: 7, Speed: 1.8, MaxRequests: 64, SlowStartMinCapacity: 0.13,
		SlowStartDuration: 24 * time.Second, OverloadAt: 2, OverloadAfter: 2 * time.Second, OverloadSlowdown: 2.9,
		OverloadRecovery: 3 * time.Second, DedupWindow: 12 * time.Second, ReportInterval: time.Second}
}

// ServerFault describes the faults of a running server.
type ServerFault struct {
	ErrorFraction float64 // fraction of the requests that fail immediately
	Slowdown      float64 // factor by which the server is slower; 0 means 1
}

// Job is an attempt that is offered to a server.
type Job struct {
	ID, Key string
	Work    time.Duration // time of a core of speed 1
}

// Verdict is a server's immediate decision on an offered job.
type Verdict uint8

// Values of Verdict.
const (
	Accepted Verdict = iota // the job runs; Advance returns it later as a CompletedJob
	Rejected                // the job doesn't run
	Failed                  // the job failed immediately, and may have run
)

// CompletedJob is a job that a server has completed.
type CompletedJob struct {
	Job
	At       Time
	Executed bool // false if the job was dropped as a repeat of its key
}

// LoadReport is a server's load report. Its values are means over the time since the previous report, which is at least
// ReportInterval. If no job completed in this time, LatencyMs is the value of the previous report.
type LoadReport struct{ LatencyMs, Util, QPS float64 }

// Server is an emulated server process.
type Server struct {
	Spec     ServerSpec
	Fault    ServerFault
	Draining bool

	rng             *rand.Rand
	started         Time // 0 means long ago: slow start is over
	running         priority.Queue[runningJob]
	queued          []Job
	keyStarts       map[string]Time // when the first job of a key started, by key
	overloadedSince Time            // unsetTime if not overloaded
	slowed          bool
	idleSince       Time // when a slowed server became mostly idle; unsetTime if it is not

	report            LoadReport
	reportedAt        Time
	busy, serviceTime time.Duration // core time used, and service times of completed jobs, since the last report
	completed         int           // jobs since the last report
}

// unsetTime is the start time of a condition that doesn't hold.
const unsetTime Time = -1

// NewServer returns a server whose process started at the given time, where 0 means long ago. The seed determines which
// requests fail.
func NewServer(spec ServerSpec, started Time, seed uint64) *Server {
	return &Server{Spec: spec, started: started, overloadedSince: unsetTime, idleSince: unsetTime, keyStarts: make(map[string]Time),
		rng: rand.New(rand.NewPCG(seed, 0xb0))}
}

// Started returns the time when the server's process started. 0 means long ago.
func (s *Server) Started() Time { return s.started }

// Capacity returns the server's current fraction of its full capacity, which is below 1 in slow start.
func (s *Server) Capacity(now Time) float64 {
	if s.started == 0 || now >= s.started+s.Spec.SlowStartDuration {
		return 1
	}
	age := float64(now-s.started) / float64(s.Spec.SlowStartDuration)
	return s.Spec.SlowStartMinCapacity + (1-s.Spec.SlowStartMinCapacity)*max(0, age)
}

// coreSpeed returns the current speed of a core of the server, relative to a core of speed 1.
func (s *Server) coreSpeed(now Time) float64 {
	speed := s.Spec.Speed * s.Capacity(now)
	if s.Fault.Slowdown > 1 {
		speed /= s.Fault.Slowdown
	}
	if s.slowed {
		speed /= s.Spec.OverloadSlowdown
	}
	return speed
}

// Offer offers the server a job whose last byte has arrived.
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

// Next returns the time when the next job completes. ok is false if the server has no jobs.
func (s *Server) Next() (at Time, ok bool) {
	if len(s.running) == 0 {
		return 0, false
	}
	return s.running[0].endsAt, true
}

// Advance returns the jobs that have completed by now, in order of completion. Jobs are never cancelled: they run to their
// end even if the client has disconnected.
func (s *Server) Advance(now Time) []CompletedJob {
	var completed []CompletedJob
	for len(s.running) > 0 && s.running[0].endsAt <= now {
		j := s.running.Take()
		s.busy += j.endsAt - max(j.startedAt, s.reportedAt) // the time before reportedAt is in an earlier report
		s.serviceTime += j.endsAt - j.startedAt
		s.completed++
		completed = append(completed, CompletedJob{Job: j.Job, At: j.endsAt, Executed: s.firstOfKey(j)})
		s.startQueued(j.endsAt)
		s.updateOverload(j.endsAt)
	}
	s.updateOverload(now)
	return completed
}

// firstOfKey reports whether a job is the first with its key within the DedupWindow, and removes expired keys. It returns
// true for a job without a key.
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

// updateOverload slows the server down once it has been overloaded for OverloadAfter, and ends the slowdown once it has
// been mostly idle for OverloadRecovery. Mostly idle means that no job is queued and at most a quarter of the cores is busy.
func (s *Server) updateOverload(now Time) {
	if float64(len(s.queued)) > s.Spec.OverloadAt*float64(s.Spec.Cores) {
		if s.overloadedSince == unsetTime {
			s.overloadedSince = now
		}
		if now-s.overloadedSince >= s.Spec.OverloadAfter {
			s.slowed, s.idleSince = true, unsetTime
		}
	} else {
		s.overloadedSince = unsetTime
	}
	if !s.slowed {
		return
	}
	switch mostlyIdle := len(s.running) <= s.Spec.Cores/4 && len(s.queued) == 0; {
	case !mostlyIdle:
		s.idleSince = unsetTime
	case s.idleSince == unsetTime:
		s.idleSince = now
	case now-s.idleSince >= s.Spec.OverloadRecovery:
		s.slowed, s.idleSince = false, unsetTime
	}
}

// Slowed reports whether the server is slower because of an overload.
func (s *Server) Slowed() bool { return s.slowed }

// InProgress returns the number of running and queued jobs.
func (s *Server) InProgress() int { return len(s.running) + len(s.queued) }

// LoadReport returns the latest load report. It makes a new one if the latest is at least a ReportInterval old.
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

// runningJob is a job that runs on a core.
type runningJob struct {
	Job
	startedAt, endsAt Time
}

// Before orders jobs by the time of their end.
func (j runningJob) Before(other runningJob) bool { return j.endsAt < other.endsAt }
