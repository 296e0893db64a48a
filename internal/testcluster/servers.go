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
	wakeup chan struct{}
	waits  map[string]chan emulator.Done // by request
}

func (w *World) addServer(spec emulator.ServerSpec, started emulator.Time) {
	b := &server{Server: emulator.NewServer(spec, started, w.seed+uint64(len(w.servers))), wakeup: make(chan struct{}, 1),
		waits: make(map[string]chan emulator.Done)}
	w.servers[spec.ID] = b
	w.list.Set(w.entry(b, emulator.Up))
	w.parts.Go(func() { w.runServer(b) })
}

// Server is one of the servers; read and change it within Look.
func (w *World) Server(id string) *emulator.Server { return w.servers[id].Server }

// Sent counts the attempts of a node that have reached servers of a zone.
func (w *World) Sent(node, zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[[2]string{node, zone}]
}

// EachInZone does something to each server of a zone.
func (w *World) EachInZone(zone string, do func(b *emulator.Server)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.servers {
		if b.Spec.Zone == zone {
			do(b.Server)
		}
	}
}

// runServer finishes a server's jobs when they are due.
func (w *World) runServer(b *server) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		for _, d := range b.Advance(w.now()) {
			if reply := b.waits[d.ID]; reply != nil {
				reply <- d
				delete(b.waits, d.ID)
			}
		}
		at, ok := b.Next()
		w.mu.Unlock()
		if ok {
			timer.Reset(at - w.now())
		}
		select {
		case <-timer.C:
		case <-b.wakeup:
		case <-w.ctx.Done():
			return
		}
	}
}

// serverHandler is a server as one node sees it.
func (w *World) serverHandler(node, zone string, b *server) http.Handler {
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
		verdict, load, done := w.offer(node, zone, r.Header.Get("X-Class"), b, job)
		rw.Header().Set("X-Load", fmt.Sprintf("latency_ms=%.1f,util=%.3f,qps=%.1f", load.LatencyMs, load.Util, load.QPS))
		switch verdict {
		case emulator.Rejected:
			rw.Header().Set("X-Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		case emulator.Failed:
			rw.WriteHeader(http.StatusInternalServerError)
		default:
			w.awaitDone(rw, r, b, id, done)
		}
	})
}

// offer hands a server an attempt that has come, and books it. What is done with it comes on the channel.
func (w *World) offer(node, zone, class string, b *server, job emulator.Job) (emulator.Verdict, emulator.Report, <-chan emulator.Done) {
	done := make(chan emulator.Done, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.Checker.Arrived(now, node, job.ID, b.Server)
	w.sent[[2]string{node, b.Spec.Zone}]++
	if w.outcome != nil {
		w.outcome.Sent(now, class, zone, b.Spec.Zone)
	}
	verdict := b.Offer(now, job)
	if verdict == emulator.Accepted {
		b.waits[job.ID] = done
	} else { // the answer is on its way: whoever sends again has it
		w.Checker.Over(job.ID, b.Spec.ID, verdict == emulator.Rejected)
	}
	return verdict, b.Load(now), done
}

// awaitDone answers a request once its server has finished it.
func (w *World) awaitDone(rw http.ResponseWriter, r *http.Request, b *server, id string, done <-chan emulator.Done) {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
	select {
	case <-done:
		w.attemptOver(b, id)
		_, _ = io.WriteString(rw, "served "+id)
	case <-r.Context().Done():
		w.attemptOver(b, id)
	case <-w.ctx.Done():
	}
}

// attemptOver books the end of an attempt that may have run.
func (w *World) attemptOver(b *server, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Checker.Over(id, b.Spec.ID, false)
}
