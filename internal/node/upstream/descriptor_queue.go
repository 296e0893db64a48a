package upstream

import (
	"errors"
	"slices"
	"time"
)

// descriptorWaitTimeout is how long an attempt waits for a descriptor: twice the time between two reports of a process
// that hands its descriptors over. An attempt that failed at once would have the balancer try other servers in vain, all
// within a moment, and then reject the request.
const descriptorWaitTimeout = 100 * time.Millisecond

// descriptorQueue holds the attempts that wait for a descriptor, in the order in which they came.
type descriptorQueue struct{ waiters []chan struct{} }

// join adds a waiter to the end. The channel is closed when its turn comes.
func (q *descriptorQueue) join() chan struct{} {
	turn := make(chan struct{})
	q.waiters = append(q.waiters, turn)
	return turn
}

// leave removes a waiter. A turn that had come meanwhile and was not used goes to the next.
func (q *descriptorQueue) leave(turn chan struct{}, used bool) {
	if i := slices.Index(q.waiters, turn); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	} else if !used {
		q.wake()
	}
}

// wake has the first waiter look again.
func (q *descriptorQueue) wake() {
	if len(q.waiters) > 0 {
		close(q.waiters[0])
		q.waiters = q.waiters[1:]
	}
}

func (q *descriptorQueue) wakeAll() {
	for len(q.waiters) > 0 {
		q.wake()
	}
}

// awaitDescriptor reserves a connection to the server once a descriptor is free for it, until descriptorWait is over or
// l is cancelled.
func (t *Transport) awaitDescriptor(l *Lifetime, id string) (*serverPool, *serverConn, error) {
	cancelled := l.whenCancelled()
	timeout := time.NewTimer(t.descriptorWait)
	defer timeout.Stop()
	for {
		t.mu.Lock()
		turn := t.waiters.join()
		t.mu.Unlock()
		p, c, err := t.reserve(id) // what came free before the turn was noted has woken nobody
		if errors.Is(err, errNoDescriptor) {
			select {
			case <-turn:
				continue
			case <-cancelled:
			case <-timeout.C:
			}
		}
		t.mu.Lock()
		t.waiters.leave(turn, err == nil)
		t.mu.Unlock()
		return p, c, err
	}
}
