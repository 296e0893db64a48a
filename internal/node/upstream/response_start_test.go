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
		l := NewLifetime(time.Now().Add(time.Hour))
		hold := newStartHold(&response{Response: Response{Length: -1}}, l, func() bool { return true })
		defer hold.stop()
		hold.add(StreamStartBytes)
		deadline := time.Now().Add(maxStartHold/2 + maxStartHold/10)
		time.AfterFunc(maxStartHold/2, func() { l.SetClientDeadline(deadline) })
		if ended := hold.await(nil); ended || !time.Now().Before(deadline) {
			t.Errorf("start due %v after the moved deadline, want before it", time.Since(deadline))
		}
	})
}
