package registry

import (
	"sync"
	"time"
)

// maxPendingProgress bounds the polls of the leader that a follower hasn't caught up with.
const maxPendingProgress = 64

// freshness knows how old this replica's list may be. Its methods may be called from any goroutine and don't block.
//
// A leader's list is as fresh as the last tick that it committed: one that is cut off commits none. A follower polls
// which command its leader has applied, and is as fresh as that poll once it has applied the same one. The time of the
// last contact would not do, as it says nothing of how far the follower lags.
type freshness struct {
	mu           sync.Mutex
	appliedIndex uint64
	lastTickAt   time.Time        // when the last tick that this replica committed as the leader began; zero for never
	caughtUpAt   time.Time        // as of when a follower has all that its leader had; zero for never
	pending      []leaderProgress // that this replica hasn't caught up with, oldest first
}

// leaderProgress is the command that the leader had applied as of a time.
type leaderProgress struct {
	index uint64
	asOf  time.Time
}

// tickCommitted records that a quorum has a tick that the leader began at a time.
func (f *freshness) tickCommitted(startedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTickAt = startedAt
}

// progressReceived records the command that the leader had applied as of a time.
func (f *freshness) progressReceived(index uint64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = append(f.pending, leaderProgress{index: index, asOf: asOf})
	if len(f.pending) > maxPendingProgress {
		f.pending = f.pending[1:]
	}
	f.catchUp()
}

// applied records the last command that this replica has applied.
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

// age returns how old the list may be at most; known is false where the replica has no way to tell.
func (f *freshness) age(isLeader bool) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asOf := f.caughtUpAt
	if isLeader {
		asOf = f.lastTickAt
	}
	return time.Since(asOf), !asOf.IsZero()
}
