package policy

import (
	"time"
)

const (
	// slowAttemptFactor is the multiple of the class's tail latency from which an attempt counts as slow.
	slowAttemptFactor = 1.2
	// minSlowTimerWait is the shortest wait of a timer, used if the oldest attempt is already due.
	minSlowTimerWait = time.Millisecond
)

// watchedAttempt is an attempt that counts as slow from dueAt on.
type watchedAttempt struct {
	request *request
	index   int // among the request's attempts
	dueAt   Time
}

func (w watchedAttempt) attempt() *attempt { return &w.request.attempts[w.index] }

// slowAttemptWatch holds a class's attempts until they count as slow, oldest first. All attempts of a class
// wait about equally long, so one timer for the oldest suffices.
type slowAttemptWatch struct {
	watched  []watchedAttempt
	timerSet bool
}

func (w *slowAttemptWatch) add(a watchedAttempt) { w.watched = append(w.watched, a) }

// armTimer returns the wait until the oldest attempt is due, if a timer is needed and not yet set. In that
// case, it marks the timer as set.
func (w *slowAttemptWatch) armTimer(now Time) (wait time.Duration, needed bool) {
	if w.timerSet || len(w.watched) == 0 {
		return 0, false
	}
	w.timerSet = true
	return max(minSlowTimerWait, w.watched[0].dueAt-now), true
}

// takeDue removes and returns the oldest attempt, if it is due.
func (w *slowAttemptWatch) takeDue(now Time) (due watchedAttempt, found bool) {
	if len(w.watched) == 0 || w.watched[0].dueAt > now {
		return watchedAttempt{}, false
	}
	due = w.watched[0]
	w.watched[0] = watchedAttempt{} // so that the request can be freed
	w.watched = w.watched[1:]
	return due, true
}

// watchLatency watches r's newest attempt, unless r's class is unknown (noTimer).
func (b *Balancer) watchLatency(r *request) {
	if r.class.timerIndex < 0 {
		return
	}
	dueAt := b.now + time.Duration(slowAttemptFactor*float64(r.class.tailLatency))
	r.class.slowAttempts.add(watchedAttempt{r, len(r.attempts) - 1, dueAt})
	b.armSlowTimer(r.class.classStats)
}

// armSlowTimer sets the timer of a class for its oldest watched attempt.
func (b *Balancer) armSlowTimer(c *classStats) {
	if wait, needed := c.slowAttempts.armTimer(b.now); needed {
		b.emit(Action{Kind: SetTimer, Wait: wait, Token: firstClassTimerToken + uint64(c.timerIndex)})
	}
}

// checkSlowAttempts records a failure, also as evidence against the zone, of each server that hasn't
// responded to any request since it got an attempt that is now slow. If the server has responded to other
// requests, the slow request is likely just expensive. The slow attempt itself goes on, because a request has
// only one attempt at a time.
func (b *Balancer) checkSlowAttempts(c *classStats) {
	c.slowAttempts.timerSet = false
	for {
		due, found := c.slowAttempts.takeDue(b.now)
		if !found {
			break
		}
		a := due.attempt()
		if a.finished || a.server.lastResponseAt >= a.sentAt {
			continue
		}
		b.recordFailure(a.server, silenceWeight)
		b.recordEvidence(a, plainFailure)
	}
	b.armSlowTimer(c)
}
