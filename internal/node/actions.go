package node

import (
	"container/heap"
	"log/slog"
	"net/http"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

// decide gives the balancer an event and executes its actions, in order. Attempts that were not sent come back to it as
// outcomes, once all actions are done.
func (l *loop) decide(ev policy.Event) {
	for {
		for _, a := range l.balancer.Handle(l.clock.now(), ev) {
			l.execute(a)
		}
		if len(l.unsent) == 0 {
			break
		}
		outcome := l.unsent[0]
		l.unsent = l.unsent[1:]
		if r := l.requests[outcome.ID]; r != nil {
			r.pending--
			outcome.RequestEnded = r.ended
			defer l.forget(r)
		}
		ev = outcome
	}
	listed, unavailable := l.balancer.Servers()
	l.fig.listed.Store(int64(listed))
	l.fig.unavailable.Store(int64(unavailable))
}

// execute carries one action out.
func (l *loop) execute(a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.sendAttempt(a)
	case policy.Reject, policy.Fail, policy.Cancel, policy.SetAttemptDeadline:
		if r := l.requests[a.ID]; r != nil {
			l.executeOn(r, a)
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.WatchList:
		l.listClient.SetWatching(a.Enabled)
	case policy.Log:
		slog.Info(a.Text)
	default: // policy emits no other kind
		slog.Error("unknown action of the balancer", "action", a.Kind)
	}
}

// executeOn executes an action on an open request.
func (l *loop) executeOn(r *request, a policy.Action) {
	switch a.Kind {
	case policy.Reject:
		l.reject(r, a.Wait)
	case policy.Fail:
		l.answer(r, downstream.Response{Status: http.StatusBadGateway})
		l.forget(r)
	case policy.Cancel:
		if a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].flight.Cancel()
		}
	case policy.SetAttemptDeadline:
		if a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].flight.SetDeadline(l.clock.at(min(a.AttemptDeadline, r.deadline)))
		}
	}
}

// sendAttempt sends a request to a server, unless it is too late for that, there were too many attempts, or a part of
// its body has left the node already. An attempt that is not sent becomes an outcome.
func (l *loop) sendAttempt(a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("the balancer sends a request that is not open")
		return
	}
	n := len(r.attempts)
	r.pending++
	if r.ended || now >= r.deadline || n >= max(1, l.allowed.MaxAttempts) || r.BodyConsumed() {
		r.attempts = append(r.attempts, attempt{server: a.Server, sentAt: now, flight: upstream.NewLifetime(time.Time{})})
		l.unsent = append(l.unsent, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.NotAttempted})
		return
	}
	until := r.deadline
	if a.AttemptDeadline > 0 {
		until = min(until, a.AttemptDeadline)
	}
	f := upstream.NewLifetime(l.clock.at(until))
	r.attempts = append(r.attempts, attempt{server: a.Server, sentAt: now, flight: f})
	to := upstream.Attempt{Request: &r.Forwarded, Timeout: until - now, Lifetime: f, Observer: &attemptObserver{l, r, n}}
	if r.Request.Incomplete {
		to.Timeout = r.Timeout - r.margin()
	}
	l.running.Go(func() { l.send(attemptEnded{r, n, l.up.Do(a.Server, to)}) })
}

// reject answers a request that was not admitted, with a Retry-After if the settings allow that.
func (l *loop) reject(r *request, wait time.Duration) {
	a := downstream.Response{Status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = downstream.Response{Status: http.StatusTooManyRequests, RetryAfter: wait}
	}
	l.answer(r, a)
	l.forget(r)
}
