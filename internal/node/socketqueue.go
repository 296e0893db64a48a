package node

import (
	"slices"
	"time"

	"sloerail/internal/node/hotrestart"
)

// socketWait is how long an attempt waits for a descriptor. One that failed at once would have the module try other
// servers in vain, all within a moment, and then turn the request back.
const socketWait = 2 * hotrestart.ProgressInterval

// socketQueue holds the attempts that wait for a descriptor, the one that came first at the front.
type socketQueue struct{ turns []chan struct{} }

func (q *socketQueue) join() chan struct{} {
	turn := make(chan struct{})
	q.turns = append(q.turns, turn)
	return turn
}

// leave gives a turn up. One that had come meanwhile and was not used goes to the next.
func (q *socketQueue) leave(turn chan struct{}, used bool) {
	if at := slices.Index(q.turns, turn); at >= 0 {
		q.turns = slices.Delete(q.turns, at, at+1)
	} else if !used {
		q.wake()
	}
}

// wake has the first of them look again.
func (q *socketQueue) wake() {
	if len(q.turns) > 0 {
		close(q.turns[0])
		q.turns = q.turns[1:]
	}
}

func (q *socketQueue) wakeAll() {
	for len(q.turns) > 0 {
		q.wake()
	}
}

// awaitSocket reserves a connection to the server for f once a descriptor is free for it, until its time for that is over or
// f is called off.
func (u *upstream) awaitSocket(f *flight, id string) (*pool, *conn, error) {
	calledOff := f.ends()
	timeout := time.NewTimer(u.waits)
	defer timeout.Stop()
	for {
		u.mu.Lock()
		turn := u.waiting.join()
		u.mu.Unlock()
		p, c, err := u.reserve(id) // what came free before the turn was noted has woken nobody
		if err == errNoSockets {
			select {
			case <-turn:
				continue
			case <-calledOff:
			case <-timeout.C:
			}
		}
		u.mu.Lock()
		u.waiting.leave(turn, err == nil)
		u.mu.Unlock()
		return p, c, err
	}
}
