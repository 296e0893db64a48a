package policy

// request is one client request, until it has its final answer and its attempts are over.
type request struct {
	Request
	class           *class // by the settings when its head came
	maxAttempts     int    // by the settings when its head came; at least 1
	deadline        Time   // the client waits until then
	usefulUntil     Time   // a later response is worth nothing
	queueUntil      Time   // it may wait for a server until then
	attempts        []attempt
	pendingAttempts int      // attempts without an outcome
	mayHaveRun      *attempt // the first attempt that may have run; nil if none may
	answered        bool     // it has its final answer, or needs none any more
	streaming       bool     // the response has begun
	wasQueued       bool     // it waited for a server at least once
}

// attempt is one sending of a request to a server.
type attempt struct {
	server       *server
	sentAt       Time // or, for a request whose end came later, when it was complete
	finished     bool // its outcome is known
	provenNotRun bool // the outcome proves that the server never ran it
	isProbe      bool // it probes an ejected server, or one of an evacuated zone
	warmingUp    bool // its server was warming up
	uncounted    bool // it isn't in flight: the request is incomplete yet, or its response has begun
}

// updateMayHaveRun finds the first attempt that may have run. One without an outcome may have.
func (r *request) updateMayHaveRun() {
	r.mayHaveRun = nil
	for i := range r.attempts {
		if !r.attempts[i].provenNotRun {
			r.mayHaveRun = &r.attempts[i]
			return
		}
	}
}

// mayRejectSafely reports whether the client may send the request again: it has run nowhere, or running it
// twice does no harm.
func (r *request) mayRejectSafely() bool {
	if r.mayHaveRun == nil || r.class.RetrySafety == Idempotent {
		return true
	}
	return r.class.RetrySafety == IdempotencyKeyed && r.class.DedupScope == DedupEverywhere
}

// mayRetryAfter reports whether another attempt may follow one with this outcome: there is time left, the
// node can still write the request, no part of a response has gone to the client, and the class's retry
// safety permits it.
func (r *request) mayRetryAfter(e Outcome, now Time) bool {
	if e.Code == NotAttempted || now >= r.deadline || r.streaming || e.BodyConsumed {
		return false
	}
	return r.mayHaveRun == nil || r.class.RetrySafety != NonIdempotent
}
