package testcluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sloerail/internal/emulator"
)

// StartClients sends what these clients ask to the nodes of a front, and returns once the last try has ended.
func (e *Environment) StartClients(name string, spec emulator.ClientSpec, nodes ...*Node) *LoadGenerator {
	e.mu.Lock()
	spec.Until += e.now()
	l := &LoadGenerator{env: e, clients: emulator.NewClients(name, spec, e.now(), e.seed), done: make(chan struct{}),
		wakeup: make(chan struct{}, 1)}
	e.mu.Unlock()
	for _, n := range nodes {
		l.backends = append(l.backends, &backend{node: n, healthy: true})
	}
	l.zone = nodes[0].Spec.zone()
	for _, d := range l.backends {
		e.background.Go(func() { l.checkHealth(d) })
	}
	e.background.Go(l.run)
	return l
}

// LoadGenerator is clients at work.
type LoadGenerator struct {
	env         *Environment
	zone        string // of the nodes that they ask first
	clients     *emulator.Clients
	backends    []*backend
	wakeup      chan struct{}
	done        chan struct{}
	nextBackend int

	openAttempts  int // tries
	notReadyCount int // answers to the front that a node doesn't take clients
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

// NotReadyCount is how often a node told the front that it takes no clients.
func (l *LoadGenerator) NotReadyCount() int {
	l.env.mu.Lock()
	defer l.env.mu.Unlock()
	return l.notReadyCount
}

// Stats tells what became of the requests so far, in all.
func (l *LoadGenerator) Stats() (all emulator.ClientStats) {
	l.env.mu.Lock()
	defer l.env.mu.Unlock()
	for _, s := range l.clients.Stats {
		all.Requests += s.Requests
		all.InTime += s.InTime
		all.Late += s.Late
		all.Failed += s.Failed
		all.Rejections += s.Rejections
	}
	return all
}

func (l *LoadGenerator) run() {
	defer close(l.done)
	env := l.env
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		env.mu.Lock()
		for _, t := range l.clients.TakeDue(env.now()) {
			if env.openAttempts >= maxOpenAttempts {
				env.skippedAttempts++
				l.clients.AttemptEnded(env.now(), t, 0, 0)
				continue
			}
			env.openAttempts++
			l.openAttempts++
			if env.outcome != nil && t.Number == 0 {
				env.outcome.Ask(l.zone, t)
			}
			d := l.pickBackend()
			env.sending.Go(func() { l.send(t, d) })
		}
		at, ok := l.clients.Next()
		open := l.openAttempts
		env.mu.Unlock()
		if !ok && open == 0 {
			return
		}
		if ok {
			timer.Reset(at - env.now())
		}
		select {
		case <-timer.C:
		case <-l.wakeup:
		case <-env.ctx.Done():
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
	for wait(l.env.ctx, healthCheckInterval) == nil {
		err := Get(l.env.ctx, d.node.Listen, "/health/ready", nil)
		if fails++; err == nil {
			fails = 0
		}
		var status statusError
		if errors.As(err, &status) {
			l.env.mu.Lock()
			l.notReadyCount++
			l.env.mu.Unlock()
		}
		l.env.mu.Lock()
		d.healthy = fails < unhealthyThreshold
		l.env.mu.Unlock()
	}
}

// send sends one try and tells the clients and the checker what came of it.
func (l *LoadGenerator) send(t *emulator.ClientAttempt, d *backend) {
	env := l.env
	began := time.Now()
	status, retryAfter, err := d.exchange(t, func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.Checker.RequestAccepted(env.now(), t)
	})
	env.mu.Lock()
	defer env.mu.Unlock()
	env.openAttempts--
	l.openAttempts--
	now := env.now()
	switch {
	case err == nil:
		env.Checker.ResponseReceived(now, t.ID, status)
	case errors.Is(err, errNoConnection) || errors.Is(err, errEndedUnanswered):
		env.Checker.ConnectionFailed(now, t.ID, fmt.Errorf("%s: %w", d.node.Spec.Name, err), d.node.killedSince(began))
	case isTimeout(err):
		env.Checker.RequestTimedOut(t.ID)
	case env.ctx.Err() == nil:
		env.Checker.ConnectionBroken(now, t.ID, d.node.killedSince(began))
	}
	before := *l.clients.Stats[t.Class.Name]
	l.clients.AttemptEnded(now, t, status, retryAfter)
	if env.outcome != nil {
		env.outcome.Ended(t, before, *l.clients.Stats[t.Class.Name])
	}
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
