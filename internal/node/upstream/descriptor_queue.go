package upstream

import (
	"errors"
	"slices"
	"time"
)

// descriptorWaitTimeout is how long an attempt waits for a descriptor. It is twice the interval at which a predecessor
// reports how many descriptors this process may hold (hotrestart.ProgressInterval). If attempts failed at once
// instead, the balancer would retry on other servers, use up its attempts within moments because of the same shortage,
// and reject the request.
const descriptorWaitTimeout = 100 * time.Millisecond

// descriptorQueue is a FIFO queue of attempts that wait for a descriptor. Transport.mu guards it.
type descriptorQueue struct{ waiters []chan struct{} }

// join adds a waiter at the end. The returned channel is closed when the waiter's turn comes.
func (q *descriptorQueue) join() chan struct{} {
	turn := make(chan struct{})
	q.waiters = append(q.waiters, turn)
	return turn
}

// leave removes a waiter. If its turn has come but was not used, the next waiter gets it.
func (q *descriptorQueue) leave(turn chan struct{}, used bool) {
	if i := slices.Index(q.waiters, turn); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	} else if !used {
		q.wake()
	}
}

// wake removes the first waiter and makes it retry.
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

// awaitDescriptor reserves a connection to the server as soon as a descriptor is free. It gives up with errNoDescriptor
// after descriptorWait, or at the end of l.
func (t *Transport) awaitDescriptor(l *Lifetime, id string) (*serverPool, *serverConn, error) {
	cancelled := l.whenCancelled()
	timeout := time.NewTimer(l.left(t.descriptorWait))
	defer timeout.Stop()
	for {
		t.mu.Lock()
		turn := t.waiters.join()
		t.mu.Unlock()
		p, c, err := t.reserve(id) // tries again first: a descriptor released before join woke no waiter
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
