package testcluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sloerail/internal/emulator"
)

// Clients sends what these clients ask to the nodes of a front, and returns once the last try has ended.
func (w *World) Clients(name string, spec emulator.ClientSpec, nodes ...*Node) *LoadGenerator {
	w.mu.Lock()
	spec.Until += w.now()
	l := &LoadGenerator{w: w, clients: emulator.NewClients(name, spec, w.now(), w.seed), done: make(chan struct{}),
		wakeup: make(chan struct{}, 1)}
	w.mu.Unlock()
	for _, n := range nodes {
		l.backends = append(l.backends, &backend{node: n, healthy: true})
	}
	l.zone = nodes[0].Spec.zone()
	for _, d := range l.backends {
		w.parts.Go(func() { l.checkHealth(d) })
	}
	w.parts.Go(l.run)
	return l
}

// LoadGenerator is clients at work.
type LoadGenerator struct {
	w           *World
	zone        string // of the nodes that they ask first
	clients     *emulator.Clients
	backends    []*backend
	wakeup      chan struct{}
	done        chan struct{}
	nextBackend int

	open     int // tries
	notReady int // answers to the front that a node doesn't take clients
}

// Wait waits until the clients' time is over and their last try has ended.
func (l *LoadGenerator) Wait(ctx context.Context) error {
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the clients are not done: %w", ctx.Err())
	}
}

// NotReady is how often a node told the front that it takes no clients.
func (l *LoadGenerator) NotReady() int {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.notReady
}

// Sums tells what became of the requests so far, in all.
func (l *LoadGenerator) Sums() (all emulator.Sums) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	for _, s := range l.clients.Sums {
		all.Asked += s.Asked
		all.InTime += s.InTime
		all.Late += s.Late
		all.Unserved += s.Unserved
		all.Refusals += s.Refusals
	}
	return all
}

func (l *LoadGenerator) run() {
	defer close(l.done)
	w := l.w
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		for _, t := range l.clients.Take(w.now()) {
			if w.open >= maxOpenTries {
				w.skipped++
				l.clients.Ended(w.now(), t, 0, 0)
				continue
			}
			w.open++
			l.open++
			if w.outcome != nil && t.Number == 0 {
				w.outcome.Ask(l.zone, t)
			}
			d := l.pickBackend()
			w.trying.Go(func() { l.send(t, d) })
		}
		at, ok := l.clients.Next()
		open := l.open
		w.mu.Unlock()
		if !ok && open == 0 {
			return
		}
		if ok {
			timer.Reset(at - w.now())
		}
		select {
		case <-timer.C:
		case <-l.wakeup:
		case <-w.ctx.Done():
			return
		}
	}
}

// pickBackend takes the backends that are up in turn; the world's lock is held.
func (l *LoadGenerator) pickBackend() *backend {
	for range l.backends {
		l.nextBackend++
		if d := l.backends[l.nextBackend%len(l.backends)]; d.healthy {
			return d
		}
	}
	return l.backends[l.nextBackend%len(l.backends)]
}

// backend is the way to one node, with the connections that are open and unused.
type backend struct {
	node    *Node
	healthy bool // by the world's lock

	mu   sync.Mutex
	idle []*clientConn
}

// checkHealth asks a node whether it takes clients, as a front does.
func (l *LoadGenerator) checkHealth(d *backend) {
	fails := 0
	for wait(l.w.ctx, healthInterval) == nil {
		err := Get(l.w.ctx, d.node.Listen, "/health/ready", nil)
		if fails++; err == nil {
			fails = 0
		}
		var status statusError
		if errors.As(err, &status) {
			l.w.mu.Lock()
			l.notReady++
			l.w.mu.Unlock()
		}
		l.w.mu.Lock()
		d.healthy = fails < unhealthyAfter
		l.w.mu.Unlock()
	}
}

// send sends one try and tells the clients and the checker what came of it.
func (l *LoadGenerator) send(t *emulator.Try, d *backend) {
	w := l.w
	began := time.Now()
	status, retryAfter, err := d.exchange(t, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Checker.RequestAccepted(w.now(), t)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	l.open--
	now := w.now()
	switch {
	case err == nil:
		w.Checker.Answer(now, t.ID, status)
	case errors.Is(err, errNoConnection) || errors.Is(err, errEndedUnanswered):
		w.Checker.TurnedBack(now, t.ID, fmt.Errorf("%s: %w", d.node.Spec.Name, err), d.node.killedSince(began))
	case isTimeout(err):
		w.Checker.WatchSilent(now, t.ID)
	case w.ctx.Err() == nil:
		w.Checker.Broke(now, t.ID, d.node.killedSince(began))
	}
	before := *l.clients.Sums[t.Class.Name]
	l.clients.Ended(now, t, status, retryAfter)
	if w.outcome != nil {
		w.outcome.Ended(t, before, *l.clients.Sums[t.Class.Name])
	}
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
