package policy

import (
	"time"
)

// latencyGain is the weight of one response in the mean latency of its server.
const latencyGain = 0.2

// dispatch sends a request to a server, queues it while a server may still become usable, or gives it up.
func (b *Balancer) dispatch(r *request) {
	if b.attemptsExhausted(r) || len(r.attempts) > 0 && !b.mayRetry() {
		b.giveUp(r)
		return
	}
	if s := b.claimProbe(r); s != nil {
		b.sendAttempt(r, s, true)
		return
	}
	s, foundCapacity := b.pickServer(r)
	if !r.wasQueued { // each request counts once, however long it is queued
		b.adjustRateMultiplier(foundCapacity)
		b.loadShedder.recordDispatch(r.class.PriorityWeight, s != nil)
	}
	switch {
	case s != nil:
		b.sendAttempt(r, s, false)
	case r.mayHaveRun == nil && b.now+queuePollInterval < r.queueUntil:
		b.enqueue(r)
	default:
		b.giveUp(r)
	}
}

// claimProbe returns a server that r is to test as a probation request or a zone probe, and marks the server
// or its zone as being probed. It returns nil if r can't serve as either.
func (b *Balancer) claimProbe(r *request) *server {
	if s := b.claimProbation(r); s != nil {
		return s
	}
	return b.claimZoneProbe(r)
}

// attemptsExhausted reports whether a request has no attempts left, or any response would now be too late to
// be useful.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts) >= min(r.maxAttempts, b.settings.Allowed.attemptsPerRequest()) ||
		b.now >= r.usefulUntil
}

// sendAttempt sends a request to a server.
func (b *Balancer) sendAttempt(r *request, s *server, isProbe bool) {
	if len(r.attempts) > 0 {
		b.retryBudget.recordRetry(b.now)
	}
	b.emit(Action{Kind: Send, ID: r.ID, Server: s.ID, AttemptDeadline: r.usefulUntil, WriteBy: r.writeBy()})
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, isProbe: isProbe,
		warmingUp: b.isLimitedByWarmup(s), uncounted: r.Incomplete})
	r.pendingAttempts++
	s.lastSentAt = b.now
	s.warmupBudget.tokens--
	r.updateMayHaveRun()
	if !r.Incomplete {
		b.countInFlight(&r.attempts[len(r.attempts)-1], 1)
		b.watchLatency(r)
	}
}

// countInFlight counts an attempt as in flight (change is 1) or stops counting it (change is -1), at its
// server and, unless a.warmingUp, in the concurrency window.
func (b *Balancer) countInFlight(a *attempt, change int) {
	a.uncounted = change < 0
	if a.server.inFlight += change; !a.warmingUp {
		b.window.inFlight += change
	}
}

// onFirstByte records that the response to a request has begun. The attempt no longer counts as in flight,
// because the server has done its work.
func (b *Balancer) onFirstByte(e FirstByte) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	r.streaming = true
	if a := &r.attempts[e.Attempt]; !a.uncounted && !a.finished {
		b.countInFlight(a, -1)
	}
}

// onOutcome ends an attempt, and then finishes, retries or gives up its request.
func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].finished {
		return // late or duplicate
	}
	a := &r.attempts[e.Attempt]
	a.finished, a.provenNotRun = true, e.Code.ProvesNotRun()
	r.pendingAttempts--
	if !a.uncounted {
		b.countInFlight(a, -1)
	}
	r.updateMayHaveRun()
	b.observeOutcome(r, a, e)
	switch {
	case e.RequestEnded || r.ended || e.Code == OK:
		b.finish(r)
	case r.mayRetryAfter(e, b.now):
		b.dispatch(r)
	default:
		b.giveUp(r)
	}
}

// onClientCancelled finishes a request whose client has disconnected.
func (b *Balancer) onClientCancelled(e ClientCancelled) {
	if r := b.requests[e.ID]; r != nil {
		b.finish(r)
	}
}

// observeOutcome updates the measurements of the server and the class with the outcome of an attempt, if the
// outcome says something about the server.
func (b *Balancer) observeOutcome(r *request, a *attempt, e Outcome) {
	if a.isProbe {
		a.server.outlier.probationInFlight = false
	}
	switch e.Code {
	case NotAttempted:
		return
	case Cancelled:
		// Cancelling an ordinary attempt says nothing about the server. A cancelled probe counts against the
		// server, because the client gave up before the server responded.
		if !a.isProbe {
			return
		}
	case OK, ServerError, Overloaded:
		a.server.lastResponseAt = b.now
	}
	b.observeResponse(a, r.class, e)
}

// observeResponse passes an outcome to each mechanism that measures servers or classes. The order is fixed,
// because some mechanisms read what earlier ones have changed.
func (b *Balancer) observeResponse(a *attempt, c *class, e Outcome) {
	s := a.server
	// A server that is full, or whose probe was cancelled, is no evidence that its zone has failed.
	if s.zone != nil && e.Code != Overloaded && e.Code != Cancelled {
		b.recordEvidence(a, c.failureLevel(s.Kind, e.Code, e.Latency.Seconds()))
	}
	weight := b.failureWeight(s, e.Code)
	b.updateConcurrencyLimit(s, c, e.Code, e.Latency, weight)
	if e.Code == OK || e.Code == TimedOut {
		s.meanLatency += latencyGain * (e.Latency.Seconds() - s.meanLatency)
	}
	b.onLoadReport(s, e.LoadReport)
	if e.Code == OK && b.warmFraction(s) >= 1 {
		b.completions.record(b.now, b.slowStart.warmedUpServers(b.now))
	}
	if e.Code == OK {
		c.observeLatency(e.Latency)
	}
	b.updateOutlierState(a, e.Code, weight)
}

// giveUp ends a request that has no response from a server. It rejects the request if the client may safely
// send it again, and fails it otherwise.
func (b *Balancer) giveUp(r *request) {
	if r.mayRejectSafely() {
		b.reject(r, 0)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.ID})
	b.finish(r)
}

// reject ends a request with the given Retry-After; 0 for none.
func (b *Balancer) reject(r *request, retryAfter time.Duration) {
	b.emit(Action{Kind: Reject, ID: r.ID, Wait: retryAfter})
	b.finish(r)
}

// finish marks a request as ended, and cancels its pending attempt if the settings allow it. It deletes the
// request once its attempts have ended.
func (b *Balancer) finish(r *request) {
	if newest := len(r.attempts) - 1; !r.ended && r.pendingAttempts > 0 && b.settings.Allowed.Cancel {
		b.emit(Action{Kind: Cancel, ID: r.ID, Attempt: newest})
	}
	if r.ended = true; r.pendingAttempts == 0 {
		delete(b.requests, r.ID)
	}
}
