package policy

import "time"

// request is a client request. It is kept until it needs no further response and its attempts have ended.
type request struct {
	Request
	class           *class // by Request.Accepted or, without it, by the settings in force at the Request event
	maxAttempts     int    // by the same settings; at least 1
	deadline        Time   // when the client stops waiting
	usefulUntil     Time   // when a response loses its value
	queueUntil      Time   // until when it may wait for a server
	attempts        []attempt
	pendingAttempts int      // attempts without an outcome
	mayHaveRun      *attempt // the first attempt that may have run; nil if there is none
	ended           bool     // it has its final response, or no longer needs one
	streaming       bool     // the response has begun
	wasQueued       bool     // it waited for a server at least once
}

// attempt is one try to serve a request at a server.
type attempt struct {
	server       *server
	sentAt       Time // when it was sent or, if later, when its request was complete
	finished     bool // its outcome is known
	provenNotRun bool // the outcome proves that the server never ran it
	isProbe      bool // it is a probation request or a zone probe
	warmingUp    bool // the warm-up budget limited its server (isLimitedByWarmup) when it was sent
	uncounted    bool // not counted as in flight: its request is incomplete, or its response has begun or ended
}

// maxWriteDelay is how long a node may be held up between reading its clock and writing.
const maxWriteDelay = 150 * time.Millisecond

// writeBy returns the time by which the next attempt must be written, or 0 if there is none. Servers drop a
// repeat of a keyed request only within the DedupWindow.
func (r *request) writeBy() Time {
	if r.mayHaveRun == nil || r.class.RetrySafety != IdempotencyKeyed {
		return 0
	}
	return max(1, r.mayHaveRun.sentAt+r.class.DedupWindow-maxWriteDelay)
}

// updateMayHaveRun finds the first attempt that may have run. An attempt without an outcome may have run.
func (r *request) updateMayHaveRun() {
	r.mayHaveRun = nil
	for i := range r.attempts {
		if !r.attempts[i].provenNotRun {
			r.mayHaveRun = &r.attempts[i]
			return
		}
	}
}

// mayRejectSafely reports whether the client may send the request again: it never ran, or running it twice
// does no harm.
func (r *request) mayRejectSafely() bool {
	if r.mayHaveRun == nil || r.class.RetrySafety == Idempotent {
		return true
	}
	return r.class.RetrySafety == IdempotencyKeyed && r.class.DedupScope == DedupEverywhere
}

// mayRetryAfter reports whether another attempt may follow an attempt with this outcome. All of these must
// hold: the outcome isn't NotAttempted; the deadline hasn't passed; the node can still send the whole
// request; the response hasn't begun; and either no attempt may have run, or the class isn't NonIdempotent.
func (r *request) mayRetryAfter(e Outcome, now Time) bool {
	if e.Code == NotAttempted || now >= r.deadline || r.streaming || e.BodyConsumed {
		return false
	}
	return r.mayHaveRun == nil || r.class.RetrySafety != NonIdempotent
}
