package upstream

import (
	"net/http"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// An attempt that finds no free descriptor waits until another attempt releases one. It doesn't fail as if the server
// had refused the connection.
func TestAttemptWaitsForFreeDescriptor(t *testing.T) {
	server, received, release := nodetest.HoldingServer(t)
	tr := newTestTransport(t, server)
	tr.descriptorWait = nodetest.Timeout
	tr.descriptors.SetTotal(minSideDivisor) // leaves one descriptor for servers
	tr.descriptors.SetClients(10 * minSideDivisor)
	codes := make(chan policy.Code, 3)
	attempt := func(id string) { codes <- doAttempt(t, tr, newTestRequest(http.MethodGet, id, "")).Code }
	go attempt("r1")
	nodetest.Receive(t, "the first request at the server", received)
	for _, id := range []string{"r2", "r3"} {
		go attempt(id)
	}
	nodetest.Await(t, "both other attempts to wait or to fail", func() bool {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		return len(tr.waiters.waiters) == 2 || len(codes) == 2
	})
	release()
	for range 3 {
		if code := nodetest.Receive(t, "an attempt to end", codes); code != policy.OK {
			t.Errorf("attempt: got code %v, want policy.OK", code)
		}
	}
	if open, idle := tr.connCounts("s0"); open != idle || len(tr.waiters.waiters) > 0 {
		t.Errorf("after all attempts ended: got %d connections open, %d idle, and %d attempts waiting; want all idle and none waiting",
			open, idle, len(tr.waiters.waiters))
	}
}

// An attempt that gets no descriptor in time fails, and leaves neither a connection nor a waiter behind.
func TestAttemptFailsIfNoDescriptorIsFreed(t *testing.T) {
	server, received, release := nodetest.HoldingServer(t)
	tr := newTestTransport(t, server)
	tr.descriptors.SetTotal(minSideDivisor)
	tr.descriptors.SetClients(minSideDivisor)
	go doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", ""))
	nodetest.Receive(t, "the first request at the server", received)
	if r := doAttempt(t, tr, newTestRequest(http.MethodGet, "r2", "")); r.Code != policy.ConnectFailed {
		t.Errorf("attempt without a descriptor: got code %v, want %v", r.Code, policy.ConnectFailed)
	}
	release()
	nodetest.Await(t, "all connections to be idle", func() bool { open, idle := tr.connCounts("s0"); return open == idle })
	if len(tr.waiters.waiters) > 0 {
		t.Errorf("waiting attempts: got %d, want 0", len(tr.waiters.waiters))
	}
}

// Guards against an attempt that waits for a descriptor past its deadline, and so reports its end late.
func TestWaitForDescriptorEndsAtTheDeadline(t *testing.T) {
	server, received, release := nodetest.HoldingServer(t)
	tr := newTestTransport(t, server)
	tr.descriptorWait = nodetest.Timeout
	tr.descriptors.SetTotal(minSideDivisor)
	tr.descriptors.SetClients(minSideDivisor)
	go doAttempt(t, tr, newTestRequest(http.MethodGet, "r1", ""))
	nodetest.Receive(t, "the first request at the server", received)
	begin, timeout := time.Now(), 100*time.Millisecond
	result := tr.Do("s0", Attempt{Request: newTestRequest(http.MethodGet, "r2", ""), Timeout: timeout,
		Lifetime: NewLifetime(begin.Add(timeout)), Observer: connectedClient{t}})
	if took := time.Since(begin); result.Code != policy.ConnectFailed || took >= tr.descriptorWait {
		t.Errorf("attempt with a deadline of %v: got code %v after %v, want %v at the deadline", timeout, result.Code, took,
			policy.ConnectFailed)
	}
	release()
	nodetest.Await(t, "all connections to be idle", func() bool { open, idle := tr.connCounts("s0"); return open == idle })
}
