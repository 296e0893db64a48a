package upstream

import (
	"bytes"
	"net/http"
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

// Guards against a long response that stays bound by its client's deadline because its start came with one read, after a head
// that was too early to count.
func TestStartThatComesWithOneReadIsEnough(t *testing.T) {
	const length = 1 << 20
	body := bytes.NewReader(make([]byte, length))
	a := Attempt{Request: newTestRequest(http.MethodPost, "r", ""), Lifetime: NewLifetime(time.Now().Add(nodetest.Timeout))}
	resp := response{Response: Response{Status: http.StatusOK, Length: length}}
	reader := acquireResponseReader(body)
	defer reader.release()
	if err := reader.readStart(&resp, body, a, &requestWriter{}); err != nil {
		t.Fatal(err)
	}
	if got := a.Lifetime.phase; got != Committed {
		t.Errorf("phase with %d bytes of %d: got %v, want %v", len(resp.Body), length, got, Committed)
	}
}
