package upstream

import (
	"net/http"
	"testing"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// An attempt that finds no descriptor waits for the one that another attempt is about to let go of. It is no failure of
// the server.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	server, got, letGo := nodetest.HoldingServer(t)
	u := testTransport(t, server)
	u.descriptorWait = nodetest.Timeout
	u.descriptors.SetTotal(minSideDivisor) // of which one is the servers'
	u.descriptors.SetClients(10 * minSideDivisor)
	codes := make(chan policy.Code, 3)
	attempt := func(id string) { codes <- doAttempt(t, u, testRequest(http.MethodGet, id, "")).Code }
	go attempt("r1")
	nodetest.Receive(t, "the first attempt", got)
	for _, id := range []string{"r2", "r3"} {
		go attempt(id)
	}
	nodetest.Await(t, "both others to wait or to fail", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.waiters.waiters) == 2 || len(codes) == 2
	})
	letGo()
	for range 3 {
		if code := nodetest.Receive(t, "an outcome", codes); code != policy.OK {
			t.Errorf("code %v", code)
		}
	}
	if open, idle := u.counts("s0"); open != idle || len(u.waiters.waiters) > 0 {
		t.Errorf("%d connections are counted, %d are idle, %d attempts wait", open, idle, len(u.waiters.waiters))
	}
}

// One that waits in vain fails, and leaves nothing behind.
func TestAttemptFailsWithoutADescriptor(t *testing.T) {
	server, got, letGo := nodetest.HoldingServer(t)
	u := testTransport(t, server)
	u.descriptors.SetTotal(minSideDivisor)
	u.descriptors.SetClients(minSideDivisor)
	go doAttempt(t, u, testRequest(http.MethodGet, "r1", ""))
	nodetest.Receive(t, "the first attempt", got)
	if r := doAttempt(t, u, testRequest(http.MethodGet, "r2", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v, want %v", r.Code, policy.ConnectFailed)
	}
	letGo()
	nodetest.Await(t, "rest", func() bool { open, idle := u.counts("s0"); return open == idle })
	if len(u.waiters.waiters) > 0 {
		t.Errorf("%d attempts wait", len(u.waiters.waiters))
	}
}
