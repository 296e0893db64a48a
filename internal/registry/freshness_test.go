package registry

import (
	"testing"
	"time"
)

func TestFollowerIsAsFreshAsTheProgressItCaughtUpWith(t *testing.T) {
	f := new(freshness)
	f.applied(7)
	if _, known := f.age(false); known {
		t.Error("the age is known before the leader was polled")
	}
	f.progressReceived(9, time.Now().Add(-time.Second))
	if _, known := f.age(false); known {
		t.Error("the age is known, and command 9 isn't applied")
	}
	f.applied(9)
	if age, known := f.age(false); !known || age < time.Second || age > time.Minute {
		t.Errorf("age %v, known %v, want that of the poll", age, known)
	}
	f.progressReceived(20, time.Now())
	if age, _ := f.age(false); age < time.Second {
		t.Errorf("age %v, and command 20 isn't applied", age)
	}
	if _, known := f.age(true); known {
		t.Error("as the leader it has committed no tick")
	}
}

func TestLeaderIsAsFreshAsItsLastCommittedTick(t *testing.T) {
	f := new(freshness)
	f.tickCommitted(time.Now().Add(-time.Second))
	if age, known := f.age(true); !known || age < time.Second || age > time.Minute {
		t.Errorf("age %v, known %v, want that of the tick", age, known)
	}
	if _, known := f.age(false); known {
		t.Error("as a follower it has not polled a leader")
	}
}

func TestPendingProgressIsBounded(t *testing.T) {
	f := new(freshness)
	for index := range uint64(2 * maxPendingProgress) {
		f.progressReceived(index+1, time.Now())
	}
	if len(f.pending) != maxPendingProgress {
		t.Errorf("%d polls are pending, want %d", len(f.pending), maxPendingProgress)
	}
	f.applied(2 * maxPendingProgress)
	if _, known := f.age(false); !known || len(f.pending) != 0 {
		t.Errorf("caught up, and %d polls are pending", len(f.pending))
	}
}
