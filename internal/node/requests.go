package node

import (
	"container/heap"
	"net/http"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	// answerMargin is how long before the client stops waiting policy's time is up, so that its answer still arrives;
	// after half of it the backstop answers. Of a short deadline it is at most a part.
	answerMargin         = 20 * time.Millisecond
	answerMarginFraction = 5
	// maxUploadTime bounds a request that is sent on while it comes in. The least rate of a body ends it far sooner.
	// policy has the same bound, of the same name.
	maxUploadTime = 15 * time.Minute
	// maxReportAge is how long after the first byte of an answer the load report in it is of use.
	maxReportAge = time.Second
)

// request is kept until it is answered and all its attempts are over.
type request struct {
	*downstream.Exchange
	deadline policy.Time // of its attempts
	backstop *timer      // answers if the balancer doesn't in time
	ended    bool        // it is answered, or its client has left
	attempts []attempt
	pending  int // attempts that are not over
}

// attempt is one sending of a request to a server.
type attempt struct {
	server     string
	sentAt     policy.Time // or when the request was whole, if that was later
	answeredAt policy.Time // when its answer began, of one that is passed on as it comes
	flight     *upstream.Lifetime
}

// startRequest passes a new request to the balancer, unless the node rejects it.
func (l *loop) startRequest(x *downstream.Exchange) {
	if x.Disconnected() { // while it waited for the loop
		return
	}
	if l.requests[x.Request.ID] != nil { // the balancer would wait for the first, and never answer this one
		x.Reply <- downstream.Response{Status: http.StatusConflict}
		return
	}
	if l.finished || l.maxOpen > 0 && l.unanswered >= l.maxOpen {
		x.Reply <- downstream.Response{Status: http.StatusServiceUnavailable}
		return
	}
	r := &request{Exchange: x}
	l.requests[x.Request.ID] = r
	l.unanswered++
	r.backstop = &timer{backstop: r}
	req := x.Request
	req.FormerClass = req.FormerClass || x.Terms != l.terms.Load() // changed while it came in
	if req.Incomplete {
		r.setDeadlines(l.clock.now() + maxUploadTime)
		req.Timeout = x.Timeout - r.margin()
	} else {
		r.setDeadlines(x.ReceivedAt)
		req.Timeout = max(0, r.deadline-l.clock.now())
	}
	heap.Push(&l.timers, r.backstop)
	l.decide(req)
}

// margin is how long before its client stops waiting a request has to be answered.
func (r *request) margin() time.Duration {
	return min(answerMargin, r.Timeout/answerMarginFraction)
}

// setDeadlines sets the deadlines of a request by when its last byte came.
func (r *request) setDeadlines(came policy.Time) {
	end := came + r.Timeout
	r.deadline, r.backstop.due = end-r.margin(), end-r.margin()/2
}

// finishUpload starts the time of a request that was sent on while it came in, or ends one that broke off.
func (l *loop) finishUpload(r *request, err error) {
	if err != nil {
		status, _ := downstream.BodyErrorStatus(err)
		l.fail(r, status)
		return
	}
	now := l.clock.now()
	r.setDeadlines(now)
	heap.Fix(&l.timers, r.backstop.at)
	r.attempts[len(r.attempts)-1].sentAt = now
	l.decide(policy.RequestComplete{ID: r.Request.ID})
}

// cancelRequest ends a request whose client has left.
func (l *loop) cancelRequest(r *request) {
	if r.ended { // its answer has begun, and nobody takes it
		r.cancelAttempts()
		return
	}
	l.settle(r)
	l.decide(policy.ClientCancelled{ID: r.Request.ID})
	l.forget(r)
}

// requestOf is the open request of x. Another one may have its id by now.
func (l *loop) requestOf(x *downstream.Exchange) *request {
	if r := l.requests[x.Request.ID]; r != nil && r.Exchange == x {
		return r
	}
	return nil
}

// cancelAttempts ends the attempts of r that are under way.
func (r *request) cancelAttempts() {
	for _, a := range r.attempts {
		a.flight.Cancel()
	}
}

// cancelAttempts ends all attempts under way.
func (l *loop) cancelAttempts() {
	for _, r := range l.requests {
		r.cancelAttempts()
	}
}

// forwardAnswer gives the client an answer that is still coming. No deadline ends that from now on.
func (l *loop) forwardAnswer(e answerBegun) {
	a := &e.r.attempts[e.n]
	if e.r.ended {
		a.flight.Cancel()
		return
	}
	a.flight.SetDeadline(time.Time{})
	a.answeredAt = l.clock.now()
	l.answer(e.r, e.Response)
	l.decide(policy.FirstByte{ID: e.r.Request.ID, Server: a.server, Attempt: e.n, Latency: a.answeredAt - a.sentAt})
}

// endAttempt reports the outcome of an attempt to the balancer, and answers its client if it succeeded.
func (l *loop) endAttempt(e attemptEnded) {
	a := &e.r.attempts[e.n]
	e.r.pending--
	over := l.clock.now()
	if a.answeredAt > 0 { // how long the client took to read it says nothing of the server
		if over-a.answeredAt > maxReportAge {
			e.LoadReport = nil
		}
		over = a.answeredAt
	}
	if e.Code == policy.OK && !e.r.ended {
		l.answer(e.r, forwardedResponse(e.Response))
	}
	l.decide(policy.Outcome{ID: e.r.Request.ID, Server: a.server, Attempt: e.n, Code: e.Code,
		Latency: over - a.sentAt, RequestEnded: e.r.ended, BodyConsumed: e.r.BodyConsumed(), LoadReport: e.LoadReport})
	l.forget(e.r)
}

// answer gives the client its one answer; whatever comes later is not passed on.
func (l *loop) answer(r *request, a downstream.Response) {
	if !r.ended {
		l.settle(r)
		r.Reply <- a
	}
}

// fail answers a request without the balancer, which hears that the request is over.
func (l *loop) fail(r *request, status int) {
	l.answer(r, downstream.Response{Status: status})
	l.decide(policy.ClientCancelled{ID: r.Request.ID})
	l.forget(r)
}

// settle marks r as answered, or given up by its client: the first to do so wins. An attempt that still waits for its
// connection is then not written; one that a server has is not cancelled.
func (l *loop) settle(r *request) {
	r.ended = true
	for _, a := range r.attempts {
		a.flight.CancelUnlessConnected()
	}
	l.unanswered--
	if r.backstop.at >= 0 { // else it would keep the request until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.at)
	}
}

// forget drops a request that is answered and has no attempt under way.
func (l *loop) forget(r *request) {
	if r.ended && r.pending == 0 && l.requests[r.Request.ID] == r {
		delete(l.requests, r.Request.ID)
	}
}
