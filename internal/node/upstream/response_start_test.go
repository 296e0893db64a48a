package upstream

import (
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// Guards against the start of a response that is held beyond a deadline that was moved meanwhile: the client's time begins
// to count only when its body has arrived, and a server may respond earlier.
func TestStartIsDueBeforeAMovedDeadline(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		begin := time.Now()
		l := NewLifetime(begin.Add(time.Hour))
		due, stop := l.holdStart(begin)
		defer stop()
		time.Sleep(maxStartHold / 2)
		deadline := time.Now().Add(maxStartHold / 10)
		l.SetDeadline(deadline)
		<-due
		if !time.Now().Before(deadline) {
			t.Errorf("start due %v after the moved deadline, want before it", time.Since(deadline))
		}
	})
}
