package testcluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sloerail/internal/emulator"
)

// LoadGenerator sends the attempts of clients to nodes, as a load balancer in front of them does: to healthy nodes in
// turn. Its fields from clients on are guarded by the environment's lock.
type LoadGenerator struct {
	env      *Environment
	zone     string // of the clients: that of the first node
	backends []*backend
	wakeup   chan struct{}
	done     chan struct{} // closed once run has ended

	clients       *emulator.Clients
	nextBackend   int
	openAttempts  int
	notReadyCount int
}

// backend is one node with its idle connections.
type backend struct {
	node    *Node
	healthy bool // guarded by the environment's lock

	mu   sync.Mutex
	idle []*clientConn
}

// StartClients starts to send the load of spec, whose Until counts from now, to the nodes. The environment's end ends
// it too.
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
	for _, b := range l.backends {
		e.background.Go(func() { l.checkHealth(b) })
	}
	e.background.Go(l.run)
	return l
}

// Wait waits until the last attempt of the last request has ended.
func (l *LoadGenerator) Wait(ctx context.Context) error {
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the clients are not done: %w", ctx.Err())
	}
}

// NotReadyCount is how many health checks nodes have answered with a failure.
func (l *LoadGenerator) NotReadyCount() int {
	l.env.mu.Lock()
	defer l.env.mu.Unlock()
	return l.notReadyCount
}

// Stats counts the requests of all classes so far.
func (l *LoadGenerator) Stats() (total emulator.ClientStats) {
	l.env.mu.Lock()
	defer l.env.mu.Unlock()
	for _, s := range l.clients.Stats {
		total.Requests += s.Requests
		total.InTime += s.InTime
		total.Late += s.Late
		total.Failed += s.Failed
		total.Rejections += s.Rejections
	}
	return total
}

// run sends attempts when they are due, until none is due or open any more.
func (l *LoadGenerator) run() {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		nextAt, more, open := l.sendDue()
		if !more && open == 0 {
			return
		}
		if more {
			timer.Reset(nextAt - l.env.now())
		}
		select {
		case <-timer.C:
		case <-l.wakeup:
		case <-l.env.ctx.Done():
			return
		}
	}
}

// sendDue sends what is due, and returns when the next attempt is, if one is, and how many are open.
func (l *LoadGenerator) sendDue() (nextAt emulator.Time, more bool, open int) {
	env := l.env
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, attempt := range l.clients.TakeDue(env.now()) {
		if env.openAttempts >= maxOpenAttempts {
			env.skippedAttempts++
			l.clients.AttemptEnded(env.now(), attempt, 0, 0)
			continue
		}
		env.openAttempts++
		l.openAttempts++
		if env.outcome != nil && attempt.Number == 0 {
			env.outcome.RecordRequest(l.zone, attempt)
		}
		b := l.pickBackend()
		env.sending.Go(func() { l.send(attempt, b) })
	}
	nextAt, more = l.clients.Next()
	return nextAt, more, l.openAttempts
}

// pickBackend takes healthy backends in turn, or any where none is healthy. The environment's lock is held.
func (l *LoadGenerator) pickBackend() *backend {
	for range l.backends {
		l.nextBackend++
		if b := l.backends[l.nextBackend%len(l.backends)]; b.healthy {
			return b
		}
	}
	return l.backends[l.nextBackend%len(l.backends)]
}

// checkHealth asks a node whether it is ready for clients, until the environment ends.
func (l *LoadGenerator) checkHealth(b *backend) {
	failures := 0
	for sleep(l.env.ctx, healthCheckInterval) == nil {
		err := Get(l.env.ctx, b.node.Listen, "/health/ready", nil)
		if failures++; err == nil {
			failures = 0
		}
		var status *StatusError
		l.env.mu.Lock()
		if errors.As(err, &status) {
			l.notReadyCount++
		}
		b.healthy = failures < unhealthyThreshold
		l.env.mu.Unlock()
	}
}

// send sends one attempt, and reports its end to the clients and to the checker.
func (l *LoadGenerator) send(attempt *emulator.ClientAttempt, b *backend) {
	env := l.env
	began := time.Now()
	status, retryAfter, err := b.exchange(attempt, func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.Checker.RequestAccepted(env.now(), attempt)
	})
	env.mu.Lock()
	defer env.mu.Unlock()
	env.openAttempts--
	l.openAttempts--
	now := env.now()
	switch {
	case err == nil:
		env.Checker.ResponseReceived(now, attempt.ID, status)
	case errors.Is(err, errNoConnection) || errors.Is(err, errClosedUnanswered):
		env.Checker.ConnectionFailed(now, attempt.ID, fmt.Errorf("%s: %w", b.node.Spec.Name, err), b.node.killedSince(began))
	case isTimeout(err):
		env.Checker.RequestTimedOut(attempt.ID)
	case env.ctx.Err() == nil:
		env.Checker.ConnectionBroken(now, attempt.ID, b.node.killedSince(began))
	}
	stats := l.clients.Stats[attempt.Class.Name]
	before := *stats
	l.clients.AttemptEnded(now, attempt, status, retryAfter)
	if env.outcome != nil {
		env.outcome.RecordAttemptEnded(attempt, before, *stats)
	}
	signal(l.wakeup)
}

// signal wakes the receiver of a channel with room for one; a signal that is there already is enough.
func signal(wakeup chan<- struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}
