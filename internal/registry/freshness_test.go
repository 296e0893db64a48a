package registry

import (
	"testing"
	"time"
)

func TestFollowerAgeFollowsAppliedProgress(t *testing.T) {
	f := new(freshness)
	f.applied(7)
	if _, known := f.age(false); known {
		t.Error("follower's age before the first poll of the leader: got a known age, want unknown")
	}
	f.progressReceived(9, time.Now().Add(-time.Second))
	f.applied(8)
	if _, known := f.age(false); known {
		t.Error("follower's age before command 9 is applied: got a known age, want unknown")
	}
	f.applied(9)
	if age, known := f.age(false); !known || age < time.Second || age > time.Minute {
		t.Errorf("follower's age after command 9 is applied: got %v, known %v; want a known age of 1 s to 1 min", age, known)
	}
	f.progressReceived(20, time.Now())
	if age, _ := f.age(false); age < time.Second {
		t.Errorf("follower's age before command 20 is applied: got %v, want at least 1 s, the age after command 9", age)
	}
	if _, known := f.age(true); known {
		t.Error("leader's age without a committed tick: got a known age, want unknown")
	}
}

func TestLeaderAgeFollowsLastCommittedTick(t *testing.T) {
	f := new(freshness)
	f.tickCommitted(time.Now().Add(-time.Second))
	if age, known := f.age(true); !known || age < time.Second || age > time.Minute {
		t.Errorf("leader's age: got %v, known %v; want a known age of 1 s to 1 min", age, known)
	}
	if _, known := f.age(false); known {
		t.Error("follower's age without a poll of the leader: got a known age, want unknown")
	}
}

func TestPendingProgressIsBounded(t *testing.T) {
	f := new(freshness)
	for index := range uint64(2 * maxPendingProgress) {
		f.progressReceived(index+1, time.Now())
	}
	if len(f.pending) != maxPendingProgress {
		t.Errorf("pending polls: got %d, want %d", len(f.pending), maxPendingProgress)
	}
	f.applied(2 * maxPendingProgress)
	if _, known := f.age(false); !known || len(f.pending) != 0 {
		t.Errorf("after all commands are applied: got %d pending polls, want none, and the age must be known", len(f.pending))
	}
}
