package node

import (
	"net/http"
	"testing"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// An attempt that finds no descriptor waits for the one that another attempt is about to let go of. It is no failure of
// the server.
func TestAttemptWaitsForADescriptor(t *testing.T) {
	server, got, letGo := holdingServer(t)
	u := testUpstream(t, server)
	u.descriptorWait = nodetest.Timeout
	u.descriptors.total.Store(minSideDivisor) // of which one is the servers'
	u.descriptors.clients.Store(10 * minSideDivisor)
	codes := make(chan policy.Code, 3)
	attempt := func(id string) { codes <- ended(t, u, testExchange(http.MethodGet, id, "")).Code }
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
func TestAttemptWaitsInVainForADescriptor(t *testing.T) {
	server, got, letGo := holdingServer(t)
	u := testUpstream(t, server)
	u.descriptors.total.Store(minSideDivisor)
	u.descriptors.clients.Store(minSideDivisor)
	go ended(t, u, testExchange(http.MethodGet, "r1", ""))
	nodetest.Receive(t, "the first attempt", got)
	if r := ended(t, u, testExchange(http.MethodGet, "r2", "")); r.Code != policy.ConnectFailed {
		t.Errorf("code %v, want %v", r.Code, policy.ConnectFailed)
	}
	letGo()
	nodetest.Await(t, "rest", func() bool { open, idle := u.counts("s0"); return open == idle })
	if len(u.waiters.waiters) > 0 {
		t.Errorf("%d attempts wait", len(u.waiters.waiters))
	}
}

// Either side has its part of the descriptors, however many clients are in; while two processes share them, no
// more clients than have a place are let in.
func TestServersKeepTheirDescriptors(t *testing.T) {
	s := testSockets(30)
	s.clients.Store(40)
	if got := s.ForServers(); got != s.MinPerSide() {
		t.Errorf("%d for servers beside 40 clients, want %d", got, s.MinPerSide())
	}
	l, _ := startLoop(t, "127.0.0.1:9", sendsOnce)
	h := &handover{c: testConfig(t, nodetest.KnownList("127.0.0.1:9")), s: newServer(l), up: l.up, gate: newGate(nodetest.Listener(t), 1), share: 60}
	for _, sharing := range []bool{true, false} {
		h.s.sharing.Store(sharing)
		h.resize()
		if most := l.up.descriptors.MaxClients(); (h.gate.most > most) == sharing {
			t.Errorf("sharing %v: %d clients are let in, %d have a place", sharing, h.gate.most, most)
		}
	}
}
