package node

import (
	"container/heap"
	"net/http"
	"slices"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	// answerMargin is the time from a request's deadline to its client's timeout, so that a response at the deadline still
	// reaches the client. If the balancer hasn't answered by the deadline, the request's backstop timer does so half a
	// margin later. The margin is at most the client's timeout divided by answerMarginDivisor.
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 5
	// maxUploadTime bounds the time of a request whose body is streamed to the server. A request whose body
	// arrives below the minimum rate (package downstream) fails far sooner. policy has the same bound under the same name.
	maxUploadTime = 15 * time.Minute
	// maxReportAge is how long after the start of a streamed response its load report is still used.
	maxReportAge = time.Second
)

// request is an open request. It is kept until it has ended and all its attempts have ended too.
type request struct {
	*downstream.Exchange
	deadline policy.Time // by which its attempts must end
	backstop *timer      // answers if the balancer doesn't do so in time
	received bool        // its last byte has arrived
	ended    bool        // it was answered, or its client has disconnected
	attempts []attempt
	pending  int // attempts that have not ended
}

// attempt is one sending of a request to a server.
type attempt struct {
	server     string
	sentAt     policy.Time // when it was sent or, if that was later, when the request body was complete
	answeredAt policy.Time // when its streamed response started; 0 if there is none
	lifetime   *upstream.Lifetime
}

// startRequest passes a new request to the balancer, unless its client has disconnected or the node rejects it.
func (l *loop) startRequest(x *downstream.Exchange) {
	if x.Disconnected() { // the client disconnected while the event was queued
		x.Release()
		return
	}
	if status := l.rejectionOf(x); status != 0 {
		l.traceRejection(x, status)
		x.Reply <- downstream.Response{Status: status}
		x.Release()
		return
	}
	r := &request{Exchange: x, received: !x.Request.Incomplete}
	l.requests[x.Request.ID] = r
	l.unanswered++
	r.backstop = &timer{backstopOf: r}
	req := x.Request
	if req.Incomplete {
		r.setDeadlines(l.clock.now() + maxUploadTime)
		req.Timeout = x.Timeout - r.margin()
	} else {
		r.setDeadlines(x.ReceivedAt)
		req.Timeout = max(0, r.deadline-l.clock.now())
	}
	heap.Push(&l.timers, r.backstop)
	l.traceRequest(r)
	l.shareOpenID(x)
	l.decide(req)
}

// rejectionOf returns the status with which the node itself rejects a new request, or 0.
func (l *loop) rejectionOf(x *downstream.Exchange) int {
	switch {
	case l.requests[x.Request.ID] != nil, l.ranBefore(x): // the balancer ignores a second request with the same ID
		return http.StatusConflict
	case l.rejectAll || l.maxOpen > 0 && l.unanswered >= l.maxOpen:
		return http.StatusServiceUnavailable
	}
	return 0
}

// margin returns how long before its client's timeout a request has to be answered.
func (r *request) margin() time.Duration {
	return min(answerMargin, r.Timeout/answerMarginDivisor)
}

// hasResponse reports whether enough of a long response has arrived to be passed on, whatever the time.
func (r *request) hasResponse() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.lifetime.IsCommitted() })
}

// endStartHolds has the start of a long response passed on at once.
func (r *request) endStartHolds() {
	for _, a := range r.attempts {
		a.lifetime.EndStartHold()
	}
}

// setDeadlines sets the deadline and the backstop of a request whose last byte was received at receivedAt, or will be
// received by then at the latest.
func (r *request) setDeadlines(receivedAt policy.Time) {
	end := receivedAt + r.Timeout
	r.deadline, r.backstop.due = end-r.margin(), end-r.margin()/2
}

// startClientTimeout starts the timeout of a request whose last byte was sent at sentAt, whether or not a server has taken
// all of it.
func (l *loop) startClientTimeout(r *request, sentAt policy.Time) {
	r.received = true
	r.setDeadlines(sentAt)
	heap.Fix(&l.timers, r.backstop.index)
	for _, a := range r.attempts {
		a.lifetime.SetClientDeadline(l.clock.at(r.deadline))
	}
}

// finishUpload handles the end of a request's streamed body. If err is not nil, the request fails.
func (l *loop) finishUpload(r *request, err error) {
	if err != nil {
		status, reason := downstream.BodyErrorStatus(err)
		l.fail(r, status, reason)
		return
	}
	r.attempts[len(r.attempts)-1].sentAt = l.clock.now()
	l.decide(policy.RequestComplete{ID: r.Request.ID})
}

// cancelRequest ends a request whose client has disconnected.
func (l *loop) cancelRequest(r *request) {
	if r.ended { // its response has started, and nobody reads it
		r.cancelAttempts()
		return
	}
	l.traceDisconnect(r)
	l.markEnded(r)
	l.decide(policy.ClientCancelled{ID: r.Request.ID})
	l.forget(r)
}

// requestOf returns the open request of x, or nil if x is no longer open. Another request may use its ID by now.
func (l *loop) requestOf(x *downstream.Exchange) *request {
	if r := l.requests[x.Request.ID]; r != nil && r.Exchange == x {
		return r
	}
	return nil
}

// cancelAttempts cancels all attempts of r.
func (r *request) cancelAttempts() {
	for _, a := range r.attempts {
		a.lifetime.Cancel()
	}
}

// cancelAttempts cancels the attempts of all open requests.
func (l *loop) cancelAttempts() {
	for _, r := range l.requests {
		r.cancelAttempts()
	}
}

// forwardResponse starts streaming a response to the client. If the request has already ended, it cancels the attempt
// instead.
func (l *loop) forwardResponse(e responseStarted) {
	a := &e.r.attempts[e.index]
	if e.r.ended {
		a.lifetime.Cancel()
		return
	}
	a.answeredAt = l.clock.now()
	l.answer(e.r, e.Response, "a server's response begins")
	l.decide(policy.FirstByte{ID: e.r.Request.ID, Server: a.server, Attempt: e.index, Latency: a.answeredAt - a.sentAt})
}

// endAttempt handles the end of an attempt. If the attempt succeeded and its request is still open, the client gets the
// response. The outcome is then reported to the balancer.
func (l *loop) endAttempt(e attemptEnded) {
	a := &e.r.attempts[e.index]
	l.traceAttemptEnd(e)
	e.r.pending--
	endedAt := l.clock.now()
	if a.answeredAt > 0 { // the time that the client takes to read the response says nothing about the server
		if endedAt-a.answeredAt > maxReportAge {
			e.LoadReport = nil
		}
		endedAt = a.answeredAt
	}
	if e.Sent {
		l.rememberExecuted(e.r)
	}
	if e.Code == policy.TimedOut && e.Phase != upstream.Requesting {
		l.metrics.cutOff.Inc()
	}
	if e.Code == policy.OK && !e.r.ended {
		l.answer(e.r, forwardedResponse(e.Response), "a server's response")
	}
	l.decide(policy.Outcome{ID: e.r.Request.ID, Server: a.server, Attempt: e.index, Code: e.Code,
		Latency: endedAt - a.sentAt, RequestEnded: e.r.ended, BodyConsumed: e.r.BodyConsumed(), LoadReport: e.LoadReport})
	l.forget(e.r)
}

// answer sends the client its response, unless the request has ended. The reason is logged.
func (l *loop) answer(r *request, a downstream.Response, reason string) {
	if !r.ended {
		l.traceAnswer(r, a.Status, reason)
		l.markEnded(r)
		r.Reply <- a
	}
}

// fail answers a request without asking the balancer, and tells the balancer that the request has ended. The reason is
// logged.
func (l *loop) fail(r *request, status int, reason string) {
	l.answer(r, downstream.Response{Status: status}, reason)
	l.decide(policy.ClientCancelled{ID: r.Request.ID})
	l.forget(r)
}

// markEnded marks r as answered or as abandoned by its client, whichever happens first. It cancels attempts that still
// wait for a connection. Attempts that were sent to a server go on.
func (l *loop) markEnded(r *request) {
	r.ended = true
	for _, a := range r.attempts {
		a.lifetime.CancelUnlessConnected()
	}
	l.unanswered--
	if r.backstop.index >= 0 { // else the backstop would keep r in memory until a deadline that may be far off
		heap.Remove(&l.timers, r.backstop.index)
	}
}

// forget drops a request that has ended and has no attempt in flight.
func (l *loop) forget(r *request) {
	if r.ended && r.pending == 0 && l.requests[r.Request.ID] == r {
		delete(l.requests, r.Request.ID)
		r.Release()
	}
}
