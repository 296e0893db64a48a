package testcluster

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"sloerail/internal/emulator"
)

type server struct {
	*emulator.Server
	wakeup      chan struct{}
	completions map[string]chan emulator.CompletedJob // by request
}

func (e *Environment) addServer(spec emulator.ServerSpec, started emulator.Time) {
	b := &server{Server: emulator.NewServer(spec, started, e.seed+uint64(len(e.servers))), wakeup: make(chan struct{}, 1),
		completions: make(map[string]chan emulator.CompletedJob)}
	e.servers[spec.ID] = b
	e.list.Set(e.entry(b, emulator.Up))
	e.background.Go(func() { e.runServer(b) })
}

// Server is one of the servers; read and change it within Look.
func (e *Environment) Server(id string) *emulator.Server { return e.servers[id].Server }

// AttemptCount counts the attempts of a node that have reached servers of a zone.
func (e *Environment) AttemptCount(node, zone string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attemptCounts[[2]string{node, zone}]
}

// EachServerInZone does something to each server of a zone.
func (e *Environment) EachServerInZone(zone string, do func(b *emulator.Server)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.servers {
		if b.Spec.Zone == zone {
			do(b.Server)
		}
	}
}

// runServer finishes a server's jobs when they are due.
func (e *Environment) runServer(b *server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e.mu.Lock()
		for _, d := range b.Advance(e.now()) {
			if reply := b.completions[d.ID]; reply != nil {
				reply <- d
				delete(b.completions, d.ID)
			}
		}
		at, ok := b.Next()
		e.mu.Unlock()
		if ok {
			timer.Reset(at - e.now())
		}
		select {
		case <-timer.C:
		case <-b.wakeup:
		case <-e.ctx.Done():
			return
		}
	}
}

// serverHandler is a server as one node sees it.
func (e *Environment) serverHandler(node, zone string, b *server) http.Handler {
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
		verdict, load, done := e.offer(node, zone, r.Header.Get("X-Class"), b, job)
		rw.Header().Set("X-Load", fmt.Sprintf("latency_ms=%.1f,util=%.3f,qps=%.1f", load.LatencyMs, load.Util, load.QPS))
		switch verdict {
		case emulator.Rejected:
			rw.Header().Set("X-Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		case emulator.Failed:
			rw.WriteHeader(http.StatusInternalServerError)
		default:
			e.awaitCompletion(rw, r, b, id, done)
		}
	})
}

// offer hands a server an attempt that has come, and books it. What is done with it comes on the channel.
func (e *Environment) offer(node, zone, class string, b *server, job emulator.Job) (emulator.Verdict, emulator.LoadReport, <-chan emulator.CompletedJob) {
	done := make(chan emulator.CompletedJob, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.Checker.AttemptArrived(now, node, job.ID, b.Server)
	e.attemptCounts[[2]string{node, b.Spec.Zone}]++
	if e.outcome != nil {
		e.outcome.Sent(now, class, zone, b.Spec.Zone)
	}
	verdict := b.Offer(now, job)
	if verdict == emulator.Accepted {
		b.completions[job.ID] = done
	} else { // the answer is on its way: whoever sends again has it
		e.Checker.AttemptEnded(job.ID, b.Spec.ID, verdict == emulator.Rejected)
	}
	return verdict, b.LoadReport(now), done
}

// awaitCompletion answers a request once its server has finished it.
func (e *Environment) awaitCompletion(rw http.ResponseWriter, r *http.Request, b *server, id string, done <-chan emulator.CompletedJob) {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-done:
		e.recordAttemptEnded(b, id)
		_, _ = io.WriteString(rw, "served "+id)
	case <-r.Context().Done():
		e.recordAttemptEnded(b, id)
	case <-e.ctx.Done():
	}
}

// recordAttemptEnded books the end of an attempt that may have run.
func (e *Environment) recordAttemptEnded(b *server, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Checker.AttemptEnded(id, b.Spec.ID, false)
}
