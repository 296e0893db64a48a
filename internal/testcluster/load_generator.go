package testcluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sloerail/internal/emulator"
)

// LoadGenerator sends the attempts of emulated clients to the healthy nodes round-robin, as a load balancer in front of
// the nodes does. The environment's lock guards the fields from clients on.
type LoadGenerator struct {
	env      *Environment
	zone     string // of the clients, which is the zone of the first node
	backends []*backend
	wakeup   chan struct{}
	done     chan struct{} // closed when run returns

	clients       *emulator.Clients
	nextBackend   int
	openAttempts  int
	notReadyCount int
}

// backend is one node and the idle connections to it.
type backend struct {
	node    *Node
	healthy bool // guarded by the environment's lock

	mu   sync.Mutex
	idle []*clientConn
}

// StartClients starts clients that send the load of spec to the nodes. They stop spec.Until after this call, or when the
// environment stops.
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

// Wait waits until the last attempt of the last request has ended, or the environment stops.
func (l *LoadGenerator) Wait(ctx context.Context) error {
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("waiting for the clients to finish: %w", ctx.Err())
	}
}

// NotReadyCount returns the number of health checks to which nodes responded with a status other than 2xx.
func (l *LoadGenerator) NotReadyCount() int {
	l.env.mu.Lock()
	defer l.env.mu.Unlock()
	return l.notReadyCount
}

// Stats returns the clients' counts so far, summed over all classes.
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

// run sends attempts when they are due, until no attempt is pending or open, or the environment stops.
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

// sendDue sends the attempts that are due. It returns the time of the next attempt, whether there is one, and the number
// of open attempts.
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

// pickBackend returns the next healthy backend in turn, or the next backend if none is healthy. The environment's lock
// must be held.
func (l *LoadGenerator) pickBackend() *backend {
	for range l.backends {
		l.nextBackend++
		if b := l.backends[l.nextBackend%len(l.backends)]; b.healthy {
			return b
		}
	}
	return l.backends[l.nextBackend%len(l.backends)]
}

// checkHealth polls the readiness of a node until the environment stops.
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

// send sends one attempt and reports its outcome to the clients and to the checker.
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
		env.outcome.RecordClientAttemptEnded(attempt, before, *stats)
	}
	signal(l.wakeup)
}

// signal wakes the receiver of a channel whose capacity is one. It does nothing if a signal is pending.
func signal(wakeup chan<- struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}
