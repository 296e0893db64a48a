package testcluster

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"sloerail/internal/emulator"
)

// server is an emulated server that serves HTTP. The environment's lock guards it.
type server struct {
	*emulator.Server
	wakeup      chan struct{}
	completions map[string]chan emulator.CompletedJob // by ID of the request that waits for its completion
}

// addServer adds a server and lists it as up.
func (e *Environment) addServer(spec emulator.ServerSpec, started emulator.Time) {
	s := &server{Server: emulator.NewServer(spec, started, e.seed+uint64(len(e.servers))), wakeup: make(chan struct{}, 1),
		completions: make(map[string]chan emulator.CompletedJob)}
	e.servers[spec.ID] = s
	e.list.Set(e.entry(s, emulator.Up))
	e.background.Go(func() { e.runServer(s) })
}

// Server returns a server. It may be read and changed only within WithLock.
func (e *Environment) Server(id string) *emulator.Server { return e.servers[id].Server }

// AttemptCount returns the number of attempts from a node that have reached servers of a zone.
func (e *Environment) AttemptCount(node, zone string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attemptCounts[[2]string{node, zone}]
}

// EachServerInZone calls do for each server of a zone, with the environment's lock held.
func (e *Environment) EachServerInZone(zone string, do func(s *emulator.Server)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.servers {
		if s.Spec.Zone == zone {
			do(s.Server)
		}
	}
}

// runServer completes the jobs of a server when they are due, until the environment stops.
func (e *Environment) runServer(s *server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e.mu.Lock()
		for _, job := range s.Advance(e.now()) {
			if completion := s.completions[job.ID]; completion != nil {
				completion <- job // never blocks: the channel has a buffer of one
				delete(s.completions, job.ID)
			}
		}
		at, ok := s.Next()
		e.mu.Unlock()
		if ok {
			timer.Reset(at - e.now())
		}
		select {
		case <-timer.C:
		case <-s.wakeup:
		case <-e.ctx.Done():
			return
		}
	}
}

// serverHandler returns the HTTP handler of a server for requests from one node in a zone.
func (e *Environment) serverHandler(node, zone string, s *server) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			http.NotFound(rw, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		work, err := time.ParseDuration(r.URL.Query().Get("work"))
		if err != nil {
			http.Error(rw, "work: want a duration", http.StatusBadRequest)
			return
		}
		job := emulator.Job{ID: id, Key: r.Header.Get("Idempotency-Key"), Work: work}
		verdict, load, done := e.offer(node, zone, r.Header.Get("X-Class"), s, job)
		rw.Header().Set("X-Load", fmt.Sprintf("latency_ms=%.1f,util=%.3f,qps=%.1f", load.LatencyMs, load.Util, load.QPS))
		switch verdict {
		case emulator.Rejected:
			rw.Header().Set("X-Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		case emulator.Failed:
			rw.WriteHeader(http.StatusInternalServerError)
		default:
			e.awaitCompletion(rw, r, s, id, done)
		}
	})
}

// offer records the arrival of an attempt and offers it to the server. If the server accepts the attempt, the returned
// channel receives its completion.
func (e *Environment) offer(node, zone, class string, s *server, job emulator.Job) (emulator.Verdict, emulator.LoadReport, <-chan emulator.CompletedJob) {
	done := make(chan emulator.CompletedJob, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.Checker.AttemptArrived(now, node, job.ID, s.Server)
	e.attemptCounts[[2]string{node, s.Spec.Zone}]++
	if e.outcome != nil {
		e.outcome.RecordNodeAttempt(now, class, zone, s.Spec.Zone)
	}
	verdict := s.Offer(now, job)
	if verdict == emulator.Accepted {
		s.completions[job.ID] = done
	} else { // recorded before the response is sent, so before the node can retry
		e.Checker.AttemptEnded(job.ID, s.Spec.ID, verdict == emulator.Rejected)
	}
	return verdict, s.LoadReport(now), done
}

// awaitCompletion sends the response when the server has completed the request. It returns without one if the node closes
// the connection or the environment stops first.
func (e *Environment) awaitCompletion(rw http.ResponseWriter, r *http.Request, s *server, id string, done <-chan emulator.CompletedJob) {
	signal(s.wakeup)
	select {
	case <-done:
		e.recordAttemptEnded(s, id)
		_, _ = io.WriteString(rw, servedBody(id))
	case <-r.Context().Done():
		e.recordAttemptEnded(s, id)
	case <-e.ctx.Done():
	}
}

// recordAttemptEnded records the end of an attempt that may have been executed.
func (e *Environment) recordAttemptEnded(s *server, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Checker.AttemptEnded(id, s.Spec.ID, false)
}
