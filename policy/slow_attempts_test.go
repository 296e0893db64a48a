package policy

import (
	"testing"
	"time"
)

func TestSlowAttemptWatchWaitsForTheOldest(t *testing.T) {
	var watch slowAttemptWatch
	if _, needed := watch.armTimer(0); needed {
		t.Error("armTimer without an attempt: got needed true, want false")
	}
	r := &request{attempts: make([]attempt, 2)}
	watch.add(watchedAttempt{request: r, index: 0, dueAt: time.Second})
	watch.add(watchedAttempt{request: r, index: 1, dueAt: 2 * time.Second})
	if wait, needed := watch.armTimer(0); !needed || wait != time.Second {
		t.Errorf("armTimer for the oldest attempt: got needed %v, wait %v; want true, 1s", needed, wait)
	}
	if _, needed := watch.armTimer(0); needed {
		t.Error("armTimer with a timer set: got needed true, want false")
	}
	if due, found := watch.takeDue(time.Second); !found || due.attempt() != &r.attempts[0] {
		t.Error("takeDue does not return the oldest attempt once it is due")
	}
	if _, found := watch.takeDue(time.Second); found {
		t.Error("takeDue returns the second attempt before it is due")
	}
	watch.timerSet = false
	if wait, needed := watch.armTimer(3 * time.Second); !needed || wait != minSlowTimerWait {
		t.Errorf("armTimer for an overdue attempt: got needed %v, wait %v; want true, %v",
			needed, wait, minSlowTimerWait)
	}
}
