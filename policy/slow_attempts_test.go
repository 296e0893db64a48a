package policy

import (
	"testing"
	"time"
)

func TestSlowAttemptWatchWaitsForTheOldest(t *testing.T) {
	var watch slowAttemptWatch
	if _, needed := watch.armTimer(0); needed {
		t.Error("a timer without an attempt")
	}
	r := &request{attempts: make([]attempt, 2)}
	watch.add(watchedAttempt{request: r, index: 0, dueAt: time.Second})
	watch.add(watchedAttempt{request: r, index: 1, dueAt: 2 * time.Second})
	if wait, needed := watch.armTimer(0); !needed || wait != time.Second {
		t.Errorf("timer needed %v, after %v; want one after 1s", needed, wait)
	}
	if _, needed := watch.armTimer(0); needed {
		t.Error("a second timer")
	}
	if due, found := watch.takeDue(time.Second); !found || due.attempt() != &r.attempts[0] {
		t.Error("the oldest attempt isn't due")
	}
	if _, found := watch.takeDue(time.Second); found {
		t.Error("an attempt is due too early")
	}
	watch.timerSet = false
	if wait, needed := watch.armTimer(3 * time.Second); !needed || wait != minSlowTimerWait {
		t.Errorf("timer needed %v, after %v; want one after %v", needed, wait, minSlowTimerWait)
	}
}
