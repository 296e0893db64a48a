package policy

import (
	"time"
)

const (
	// maxUploadTime bounds the time for a whole request to arrive. The node ends slower uploads before that
	// because of their rate, and bounds the whole upload by the same time (internal/node).
	maxUploadTime = 15 * time.Minute
	// firstTryTolerance is how much of a first try's timeout may pass before the request reaches the node.
	firstTryTolerance = 50 * time.Millisecond
	// queueTimeDivisor divides the latency objective to give the time that a request may wait for a server;
	// the rest has to suffice for the response.
	queueTimeDivisor = 2
	// assumedWaitDivisor divides the latency objective to give the time that the client of a retry is
	// assumed to have waited, if its timeout doesn't tell.
	assumedWaitDivisor = 4
)

// setDeadlines sets the deadlines of a request from its class's latency objective and its client's timeout.
// An incomplete request gets new ones once it is complete: until then, the node ensures that its bytes keep
// arriving, and no server works on it.
func (b *Balancer) setDeadlines(r *request) {
	objective := r.class.LatencyObjective +
		time.Duration(r.class.ObjectivePerWork*float64(r.EstimatedWork)) -
		r.class.timeSinceFirstTry(r.Request)
	r.deadline = b.now + r.Timeout
	r.queueUntil, r.usefulUntil = min(r.deadline, b.now+objective/queueTimeDivisor), r.deadline
	if r.class.LateWeight <= 0 {
		r.usefulUntil = min(r.deadline, b.now+objective)
	}
	if r.Incomplete {
		r.deadline, r.usefulUntil = b.now+maxUploadTime, b.now+maxUploadTime
	}
}

// onRequestComplete restarts the deadlines of a request that was forwarded while it arrived, and counts its
// attempt as in flight.
func (b *Balancer) onRequestComplete(e RequestComplete) {
	r := b.requests[e.ID]
	if r == nil || !r.Incomplete {
		return
	}
	r.Incomplete = false
	b.setDeadlines(r)
	if r.pendingAttempts == 0 {
		return
	}
	newest := len(r.attempts) - 1
	b.emit(Action{Kind: SetAttemptDeadline, ID: r.ID, Attempt: newest, AttemptDeadline: r.usefulUntil})
	if a := &r.attempts[newest]; a.uncounted {
		b.countInFlight(a, 1)
	}
	r.attempts[newest].sentAt = b.now
	b.watchLatency(r)
}

// timeSinceFirstTry returns how long the client of a request has waited since its first try, from which the
// latency objective counts. All first tries of a class have the same timeout, a fraction of the deadline. A
// retry with a shorter timeout ends at the deadline, which tells when the first try began.
func (c *class) timeSinceFirstTry(e Request) time.Duration {
	if !e.ClientRetry {
		c.firstTryTimeout = max(c.firstTryTimeout, e.Timeout)
		return 0
	}
	if c.Deadline > 0 && e.Timeout < c.firstTryTimeout-firstTryTolerance {
		return max(0, c.Deadline-e.Timeout)
	}
	return c.LatencyObjective / assumedWaitDivisor
}
