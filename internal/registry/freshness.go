package registry

import (
	"sync"
	"time"
)

// maxPendingProgress limits how many poll results a follower keeps while it lags behind the leader. It drops the oldest.
const maxPendingProgress = 64

// freshness tracks how old this replica's list may be. Its methods are safe for concurrent use and don't block.
//
// A leader's list is as fresh as the last tick (see ErrNoTick) that it committed. A leader that is cut off from the quorum
// commits none, so its list ages. A follower polls the index of the last command that the leader has applied. Its list
// is as fresh as that poll once it has applied the same command. The time of the last contact with the leader doesn't
// suffice, as it doesn't tell how far the follower lags.
type freshness struct {
	mu           sync.Mutex
	appliedIndex uint64
	lastTickAt   time.Time        // start of the last tick that this replica committed as the leader; zero if none
	caughtUpAt   time.Time        // a follower has all changes that the leader had at this time; zero if unknown
	pending      []leaderProgress // progress of the leader that a follower has not reached yet, oldest first
}

// leaderProgress is the index of the last command that the leader had applied at a time.
type leaderProgress struct {
	index uint64
	asOf  time.Time
}

// tickCommitted records that a quorum has stored a tick that the leader began at startedAt.
func (f *freshness) tickCommitted(startedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTickAt = startedAt
}

// progressReceived records the index of the last command that the leader had applied at asOf.
func (f *freshness) progressReceived(index uint64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = append(f.pending, leaderProgress{index: index, asOf: asOf})
	if len(f.pending) > maxPendingProgress {
		f.pending = f.pending[1:]
	}
	f.catchUp()
}

// applied records the index of the last command that this replica has applied.
func (f *freshness) applied(index uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appliedIndex = index
	f.catchUp()
}

func (f *freshness) catchUp() {
	for len(f.pending) > 0 && f.pending[0].index <= f.appliedIndex {
		f.caughtUpAt = f.pending[0].asOf
		f.pending = f.pending[1:]
	}
}

// age returns the maximum age of the list; known is false if the replica can't tell.
func (f *freshness) age(isLeader bool) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := f.caughtUpAt
	if isLeader {
		asOf = f.lastTickAt
	}
	return time.Since(asOf), !asOf.IsZero()
}
