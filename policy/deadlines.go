package policy

import (
	"time"
)

const (
	// maxUploadTime is the time that a request has to arrive whole. A node ends slower uploads by their rate
	// before that, and bounds the whole upload by the same time (internal/node).
	maxUploadTime = 15 * time.Minute
	// firstTryTolerance is how much of a first try's timeout may pass on the way to the node.
	firstTryTolerance = 50 * time.Millisecond
	// queueTimeDivisor divides the latency objective into the time that a request may wait for a server: what
	// is left has to do for the response.
	queueTimeDivisor = 2
	// assumedWaitDivisor divides the latency objective into the time that a client's retry has waited, where
	// its timeout doesn't tell.
	assumedWaitDivisor = 4
)

// setDeadlines sets by when a request is to be answered, by its class's latency objective and its client's
// timeout. One that is incomplete gets a new deadline once it is complete: the node sees to it that its
// bytes keep coming, and no server works on it before.
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

// onRequestComplete starts the time of a request that was sent on while it arrived.
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

// waitedBefore is how long the client of a request has waited in earlier tries. The latency objective counts
// from the first one. All first tries of a class have the same timeout, a part of the deadline; a retry with
// a shorter timeout ends with the deadline, which tells when the first try began.
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
