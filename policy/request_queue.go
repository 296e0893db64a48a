package policy

import (
	"time"
)

// queuePollInterval is the interval at which queued requests are dispatched again.
const queuePollInterval = 20 * time.Millisecond

// requestQueue holds the requests that wait for a usable server, oldest first.
type requestQueue struct {
	requests []*request
	timerSet bool // a poll is scheduled
}

// add appends a request, and reports whether the caller must schedule a poll.
func (q *requestQueue) add(r *request) (schedulePoll bool) {
	q.requests = append(q.requests, r)
	schedulePoll = !q.timerSet
	q.timerSet = true
	return schedulePoll
}

// takeAll empties the queue and returns its requests.
func (q *requestQueue) takeAll() []*request {
	all := q.requests
	q.requests = nil
	return all
}

// enqueue queues a request, which is dispatched again at the next poll.
func (b *Balancer) enqueue(r *request) {
	r.wasQueued = true
	if b.queue.add(r) {
		b.emit(Action{Kind: SetTimer, Wait: queuePollInterval, Token: queueTimerToken})
	}
}

// onQueueTimer polls the queue.
func (b *Balancer) onQueueTimer() {
	b.queue.timerSet = false
	b.dispatchQueued()
}

// dispatchQueued dispatches each queued request that hasn't ended. A request that still finds no server is
// queued again while there is time.
func (b *Balancer) dispatchQueued() {
	for _, r := range b.queue.takeAll() {
		if !r.ended {
			b.dispatch(r)
		}
	}
}
