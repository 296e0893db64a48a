package policy

import (
	"testing"
	"time"
)

// The latency objective counts from the client's first try. A retry after it is rejected at once, as a response would
// be of no use; an earlier one has less time.
func TestClientRetriesCountFromTheFirstTry(t *testing.T) {
	set := site(2)
	set.Classes[0].Deadline = 1000 * ms // and an objective of 250 ms
	b := start(t, set, members(4))
	try := func(id string, retry bool, open int) []Action {
		r := ask(id, "free")
		r.ClientRetry, r.Timeout = retry, time.Duration(open)*ms
		return b.Handle(b.now+ms, r)
	}
	first := of(try("first", false, 600), Send)
	again := of(try("again", true, 600), Send)
	if len(first) != 1 || len(again) != 1 || again[0].AttemptDeadline-first[0].AttemptDeadline >= ms {
		t.Errorf("a first try is sent as %+v, a retry as %+v, want it to have less time", first, again)
	}
	// The deadline ends it 450 ms from now, so the first try began 550 ms ago.
	if acts := try("late", true, 450); len(of(acts, Reject)) != 1 {
		t.Errorf("a retry after the objective brings %+v, want a rejection", acts)
	}
}
