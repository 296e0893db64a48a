package policy

import (
	"time"
)

// dispatch sends r to a server, or holds it while one may still turn up, or gives up.
func (b *Balancer) dispatch(r *request) {
	if b.attemptsExhausted(r) || len(r.attempts) > 0 && !b.mayRetry() {
		b.giveUp(r)
		return
	}
	s := b.pickProbation(r)
	if s == nil {
		s = b.pickZoneProbe(r)
	}
	trial, room := s != nil, false
	if !trial {
		s, room = b.pickServer(r)
	}
	if !trial && !r.wasQueued { // each request tells of room once, however long it is held
		b.adjustRateMultiplier(room)
		if r.class.PriorityWeight >= b.maxPriorityWeight {
			updateRatio(&b.highPriorityShortage, shortageGain, s == nil)
		}
	}
	switch {
	case s != nil:
		b.sendAttempt(r, s, trial)
	case r.mayHaveRun == nil && b.now+queuePollInterval < r.queueUntil:
		b.enqueue(r)
	default:
		b.giveUp(r)
	}
}

// attemptsExhausted tells whether r has had its attempts, or its time to be worth another.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts) >= min(r.maxAttempts, max(1, b.settings.Allowed.MaxAttempts)) ||
		b.now >= r.usefulUntil
}

func (b *Balancer) sendAttempt(r *request, s *server, trial bool) {
	if len(r.attempts) > 0 {
		b.retriesAt = append(b.retriesAt, b.now)
	}
	b.emit(Action{Kind: Send, ID: r.ID, Server: s.ID, AttemptDeadline: r.usefulUntil})
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, probation: trial,
		warmingUp: b.isLimitedByWarmup(s), uncounted: r.Incomplete})
	r.pendingAttempts++
	s.lastSentAt = b.now
	s.warmupBudget.tokens--
	r.updateMayHaveRun()
	if !r.Incomplete {
		b.occupy(&r.attempts[len(r.attempts)-1], 1)
		b.watchLatency(r)
	}
}

// occupy counts an attempt as in flight at its server, or no longer.
func (b *Balancer) occupy(a *attempt, by int) {
	a.uncounted = by < 0
	if a.server.inFlight += by; !a.warmingUp {
		b.window.inFlight += by
	}
}

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.streaming = true
		if a := &r.attempts[e.Attempt]; !a.uncounted && !a.finished { // the server has done its work
			b.occupy(a, -1)
		}
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].finished {
		return // late or twice
	}
	a := &r.attempts[e.Attempt]
	a.finished, a.provenNotRun = true, e.Code.ProvesNotRun()
	r.pendingAttempts--
	if !a.uncounted {
		b.occupy(a, -1)
	}
	r.updateMayHaveRun()
	b.observeOutcome(r, a, e)
	switch {
	case e.RequestEnded || r.answered || e.Code == OK:
		b.finish(r)
	case e.Code == NotAttempted || b.now >= r.deadline || r.streaming || e.BodyConsumed ||
		r.mayHaveRun != nil && r.class.RetrySafety == NonIdempotent:
		b.giveUp(r)
	default:
		b.dispatch(r)
	}
}

const (
	latencyGain = 0.2 // weight of one answer in the mean latency of a server
)

// observeOutcome learns from an outcome: latency, threshold and health.
func (b *Balancer) observeOutcome(r *request, a *attempt, e Outcome) {
	s, c := a.server, r.class
	if a.probation {
		s.outlier.probationInFlight = false
	}
	switch e.Code {
	case NotAttempted:
		return
	case Cancelled:
		if !a.probation { // our own doing; but a trial that its client didn't wait for has failed
			return
		}
	case OK, ServerError, Overloaded:
		s.lastResponseAt = b.now
	}
	if s.zone != nil && e.Code != Overloaded && e.Code != Cancelled { // a full one has work
		b.recordEvidence(a, c.failureLevel(s.Kind, e.Code, e.Latency.Seconds()))
	}
	blame := b.failureWeight(s, e.Code)
	b.updateConcurrencyLimit(s, c, e.Code, e.Latency, blame)
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
	b.updateOutlierState(a, e.Code, blame)
}

// giveUp ends r unserved: refused where that is allowed, else failed.
func (b *Balancer) giveUp(r *request) {
	if r.mayHaveRun == nil || r.class.RetrySafety == Idempotent || r.class.RetrySafety == IdempotencyKeyed &&
		r.class.DedupScope == DedupEverywhere {
		b.reject(r, 0)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.ID})
	b.finish(r)
}

// reject ends r with a wait that its client is told; 0 for none.
func (b *Balancer) reject(r *request, wait time.Duration) {
	b.emit(Action{Kind: Reject, ID: r.ID, Wait: wait})
	b.finish(r)
}

// finish marks r as answered and calls its attempt off; r is kept until that is over.
func (b *Balancer) finish(r *request) {
	if n := len(r.attempts) - 1; !r.answered && r.pendingAttempts > 0 && b.settings.Allowed.Cancel {
		b.emit(Action{Kind: Cancel, ID: r.ID, Attempt: n})
	}
	if r.answered = true; r.pendingAttempts == 0 {
		delete(b.requests, r.ID)
	}
}
