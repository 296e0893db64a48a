package node

import (
	"slices"
	"time"
)

// descriptorWaitTimeout is how long an attempt waits for a descriptor. One that failed at once would have the module try other
// servers in vain, all within a moment, and then turn the request back.
const descriptorWaitTimeout = 2 * handoverTell

// descriptorQueue holds the attempts that wait for a descriptor, the one that came first at the front.
type descriptorQueue struct{ waiters []chan struct{} }

func (q *descriptorQueue) join() chan struct{} {
	turn := make(chan struct{})
	q.waiters = append(q.waiters, turn)
	return turn
}

// leave gives a turn up. One that had come meanwhile and was not used goes to the next.
func (q *descriptorQueue) leave(turn chan struct{}, used bool) {
	if at := slices.Index(q.waiters, turn); at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	} else if !used {
		q.wake()
	}
}

// wake has the first of them look again.
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

// awaitDescriptor reserves a connection to the server for f once a descriptor is free for it, until its time for that is over or
// f is called off.
func (u *Transport) awaitDescriptor(f *Lifetime, id string) (*serverPool, *serverConn, error) {
	cancelled := f.done()
	timeout := time.NewTimer(u.descriptorWait)
	defer timeout.Stop()
	for {
		u.mu.Lock()
		turn := u.waiters.join()
		u.mu.Unlock()
		p, c, err := u.reserve(id) // what came free before the turn was noted has woken nobody
		if err == errNoDescriptor {
			select {
			case <-turn:
				continue
			case <-cancelled:
			case <-timeout.C:
			}
		}
		u.mu.Lock()
		u.waiters.leave(turn, err == nil)
		u.mu.Unlock()
		return p, c, err
	}
}
