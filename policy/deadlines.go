package policy

import (
	"time"
)

const (
	// maxUploadTime bounds the time in which a whole request arrives. internal/node has the same bound, and
	// ends an upload earlier if its rate is too low.
	maxUploadTime = 15 * time.Minute
	// firstTryTolerance is the difference up to which a retry's timeout counts as equal to the timeout of a
	// first try. A part of each timeout passes before the request reaches the node.
	firstTryTolerance = 50 * time.Millisecond
	// queueTimeDivisor divides the latency objective to give the time that a request may wait for a server;
	// the rest has to suffice for the response.
	queueTimeDivisor = 2
	// assumedWaitDivisor divides the latency objective to give the time that the client of a retry is
	// assumed to have waited, if its timeout doesn't tell.
	assumedWaitDivisor = 4
)

// setDeadlines sets the deadlines of a request from its class's latency objective and its client's timeout. A
// response after the objective is useful only if the class has a LateWeight. While a request is incomplete,
// no server works on it and the node ensures that its bytes keep arriving. So until onRequestComplete sets
// new deadlines, deadline and usefulUntil are maxUploadTime from now.
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

// onRequestComplete restarts the deadlines of an incomplete request whose last byte has arrived. If an
// attempt is pending, it counts as in flight from now on, and its deadline is replaced.
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

// timeSinceFirstTry returns how long ago the client of a request began its first try, from which the latency
// objective counts. It returns 0 for a first try, and updates the class's longest timeout of a first try. All
// first tries of a class have the same timeout, a fraction of the deadline. A retry with a shorter timeout
// ends at the deadline, so its timeout tells when the first try began. The timeout of another retry, or of
// any retry if the class has no deadline, doesn't tell, so the time is assumed (assumedWaitDivisor).
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
