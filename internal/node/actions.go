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

// decide passes an event to the balancer and executes the returned actions in order. If attempts were not sent, it then
// reports their outcomes to the balancer and executes the actions returned for these.
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
	l.metrics.listed.Store(int64(listed))
	l.metrics.unavailable.Store(int64(unavailable))
}

// execute executes one action.
func (l *loop) execute(a policy.Action) {
	switch a.Kind {
	case policy.Send:
		l.sendAttempt(a)
	case policy.Reject, policy.Fail, policy.Cancel, policy.SetAttemptDeadline:
		if r := l.requests[a.ID]; r != nil {
			l.executeForRequest(r, a)
		}
	case policy.SetTimer:
		heap.Push(&l.timers, &timer{due: l.clock.now() + a.Wait, token: a.Token})
	case policy.WatchList:
		l.listClient.SetWatching(a.Enabled)
	case policy.Log:
		slog.Info(a.Text)
	default: // policy has no other kind
		slog.Error("unknown balancer action", "action", a.Kind)
	}
}

// executeForRequest executes an action on an open request.
func (l *loop) executeForRequest(r *request, a policy.Action) {
	switch a.Kind {
	case policy.Reject:
		l.reject(r, a.Wait)
	case policy.Fail:
		l.answer(r, downstream.Response{Status: http.StatusBadGateway}, "the balancer fails it")
		l.forget(r)
	case policy.Cancel:
		if a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].lifetime.Cancel()
		}
	case policy.SetAttemptDeadline:
		if a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].lifetime.SetAttemptDeadline(l.clock.at(a.AttemptDeadline))
		}
	}
}

// sendAttempt sends a request to a server, unless the request has ended, its deadline or the time to write it has passed,
// its attempts are used up, or an earlier attempt has read from its streamed body. The outcome of an attempt that is not
// sent is NotAttempted.
func (l *loop) sendAttempt(a policy.Action) {
	r, now := l.requests[a.ID], l.clock.now()
	if r == nil {
		slog.Error("the balancer returned a Send action for a request that is not open")
		return
	}
	n := len(r.attempts)
	r.pending++
	if r.ended || now >= r.deadline || a.WriteBy > 0 && now >= a.WriteBy || n >= max(1, l.allowed.MaxAttempts) || r.BodyConsumed() {
		r.attempts = append(r.attempts, attempt{server: a.Server, sentAt: now, lifetime: upstream.NewLifetime(time.Time{})})
		l.unsent = append(l.unsent, policy.Outcome{ID: a.ID, Server: a.Server, Attempt: n, Code: policy.NotAttempted})
		return
	}
	attemptDeadline := r.deadline
	if a.AttemptDeadline > 0 {
		attemptDeadline = min(attemptDeadline, a.AttemptDeadline)
	}
	l.traceSend(r, a)
	f := upstream.NewLifetime(l.clock.at(r.deadline))
	f.SetAttemptDeadline(l.clock.at(attemptDeadline))
	r.attempts = append(r.attempts, attempt{server: a.Server, sentAt: now, lifetime: f})
	params := upstream.Attempt{Request: &r.Forwarded, Timeout: attemptDeadline - now, Lifetime: f,
		Observer: &attemptObserver{l, r, n}}
	if a.WriteBy > 0 {
		params.WriteBy = l.clock.at(a.WriteBy)
	}
	if !r.received {
		params.Timeout = r.Timeout - r.margin()
	}
	l.attemptsWG.Go(func() { l.send(attemptEnded{r, n, l.up.Do(a.Server, params)}) })
}

// reject answers a request that was not admitted: 429 with a Retry-After if wait is positive and the settings allow it,
// else 503.
func (l *loop) reject(r *request, wait time.Duration) {
	a := downstream.Response{Status: http.StatusServiceUnavailable}
	if wait > 0 && l.allowed.RetryAfter {
		a = downstream.Response{Status: http.StatusTooManyRequests, RetryAfter: wait}
	}
	l.answer(r, a, "the balancer rejects it")
	l.forget(r)
}
