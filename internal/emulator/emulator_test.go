package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func clientAttempt(id string, safety RetrySafety) *ClientAttempt {
	return &ClientAttempt{ID: id, Class: &Class{Name: string(safety), RetrySafety: safety, DedupWindow: 12 * time.Second}, Timeout: time.Second,
		Work: 100 * ms}
}

// The checker reports a violation of each rule, and nothing else.
func TestCheckerFindsEachViolation(t *testing.T) {
	warm := func(id string) *Server { return NewServer(DefaultServer(id, "a"), 0, 1) }
	starting := NewServer(DefaultServer("cold", "a"), time.Second, 1)
	a, b := warm("a"), warm("b")
	b.Spec.Cell = 1
	for _, c := range []struct {
		name   string
		record func(c *Checker)
		want   string // part of the messages; empty for no violation
	}{
		{"response in time", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(0, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.ResponseReceived(time.Second, "x", 200)
		}, ""},
		{"late response", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ResponseReceived(1100*ms, "x", 503)
		}, "late"},
		{"two responses", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ResponseReceived(1, "x", 503)
			c.ResponseReceived(2, "x", 503)
		}, "second final response"},
		{"response without an attempt at a server", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ResponseReceived(1, "x", 200)
		}, "no server ran"},
		{"connection closed by a running node", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ConnectionBroken(1, "x", false)
		}, "without a complete response"},
		{"connection closed by a killed node", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ConnectionBroken(1, "x", true)
		}, ""},
		{"retry of a non-idempotent request that may have run", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.AttemptArrived(2, "n", "x", b)
		}, "retry at server b of a non-idempotent request"},
		{"retry of a non-idempotent request after a rejection", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", true)
			c.AttemptArrived(2, "n", "x", b)
		}, ""},
		{"retry with an idempotency key in another cell", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", IdempotencyKeyed))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.AttemptArrived(2, "n", "x", b)
		}, "outside the cell"},
		{"retry with an idempotency key in the same cell", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", IdempotencyKeyed))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.AttemptArrived(2, "n", "x", a)
		}, ""},
		{"two attempts in flight", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptArrived(2, "n", "x", b)
		}, "is in flight"},
		{"rejection of a non-idempotent request that may have run", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.ResponseReceived(2, "x", 503)
		}, "but may have run"},
		{"attempt at a draining server after the drain grace period", func(c *Checker) {
			c.ChangeNotified(0, "n", "a", Draining)
			c.RequestAccepted(time.Second, clientAttempt("x", Idempotent))
			c.AttemptArrived(2*time.Second, "n", "x", a)
		}, "which has been draining"},
		{"attempt at a draining server by a node that was not notified", func(c *Checker) {
			c.ChangeNotified(0, "m", "a", Draining)
			c.RequestAccepted(time.Second, clientAttempt("x", Idempotent))
			c.AttemptArrived(2*time.Second, "n", "x", a)
		}, ""},
		{"overload of a server in slow start", func(c *Checker) {
			for i := range 200 {
				id := fmt.Sprint("x", i)
				c.RequestAccepted(time.Second, clientAttempt(id, Idempotent))
				c.AttemptArrived(time.Second+Time(i)*ms, fmt.Sprint("n", i%3), id, starting)
			}
		}, "server cold in slow start got"},
	} {
		checker := NewChecker(DefaultRules())
		c.record(checker)
		violations, count := checker.Violations()
		if got := strings.Join(violations, "; "); (c.want == "") != (count == 0) || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %d violations: %q; want one that contains %q, or no violation if the wanted text is empty", c.name, count, got, c.want)
		}
	}
}

// A server completes each accepted job once, and not faster than its cores allow.
func TestServerCompletesEachAcceptedJobOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := DefaultServer("s", "a")
		spec.Cores, spec.MaxRequests = rapid.IntRange(1, 4).Draw(t, "cores"), rapid.IntRange(1, 20).Draw(t, "max requests")
		server := NewServer(spec, Time(rapid.IntRange(0, 3).Draw(t, "started"))*time.Second, 1)
		var now Time
		var work time.Duration
		accepted, completed := 0, make(map[string]bool)
		addCompleted := func(jobs []CompletedJob) {
			for _, job := range jobs {
				if completed[job.ID] {
					t.Fatalf("job %s completed twice", job.ID)
				}
				completed[job.ID] = true
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "jobs") {
			now += Time(rapid.IntRange(0, 300).Draw(t, "gap")) * ms
			addCompleted(server.Advance(now))
			j := Job{ID: fmt.Sprint("j", i), Work: Time(rapid.IntRange(1, 500).Draw(t, "work")) * ms}
			if server.Offer(now, j) == Accepted {
				accepted, work = accepted+1, work+j.Work
			}
			if server.InProgress() > spec.MaxRequests {
				t.Fatalf("jobs in progress: got %d, want at most %d", server.InProgress(), spec.MaxRequests)
			}
		}
		end := now
		for at, ok := server.Next(); ok; at, ok = server.Next() {
			end = at
			addCompleted(server.Advance(at))
		}
		if shortest := time.Duration(float64(work) / spec.Speed / float64(spec.Cores)); len(completed) != accepted || end+ms < shortest {
			t.Fatalf("completed jobs: got %d, want %d; end: got %v, want at least %v", len(completed), accepted, end, shortest)
		}
	})
}

// A server becomes slower after it has been overloaded for OverloadAfter, and recovers after it has been mostly idle
// for OverloadRecovery.
func TestOverloadedServerSlows(t *testing.T) {
	server := NewServer(DefaultServer("s", "a"), 0, 1)
	for i := range server.Spec.MaxRequests {
		server.Offer(0, Job{ID: fmt.Sprint(i), Work: 10 * time.Second})
	}
	server.Advance(server.Spec.OverloadAfter)
	if !server.Slowed() {
		t.Fatal("Slowed() of an overloaded server: got false, want true")
	}
	for at, ok := server.Next(); ok; at, ok = server.Next() {
		server.Advance(at)
	}
	server.Advance(10 * time.Hour)
	if server.Advance(10*time.Hour + server.Spec.OverloadRecovery); server.Slowed() {
		t.Error("Slowed() of a server that has been idle for OverloadRecovery: got true, want false")
	}
}

// Within the DedupWindow, a server drops a job that repeats a key, but runs a job with a new key.
func TestServerDropsRepeatsOfAKey(t *testing.T) {
	server := NewServer(DefaultServer("s", "a"), 0, 1)
	var executed []bool
	for i, key := range []string{"k", "k", "l"} {
		server.Offer(Time(i)*time.Second, Job{ID: fmt.Sprint(i), Key: key, Work: ms})
		for _, job := range server.Advance(Time(i)*time.Second + 100*ms) {
			executed = append(executed, job.Executed)
		}
	}
	if fmt.Sprint(executed) != "[true false true]" {
		t.Errorf("executed jobs for keys k, k, l: got %v, want [true false true]", executed)
	}
}

// A seed always gives the same attempts. No attempt waits beyond the deadline of its request, and a non-idempotent request
// that may have run is not retried.
func TestClientsFollowSeedAndDeadlines(t *testing.T) {
	run := func() string {
		c := NewClients("c", ClientSpec{Rate: 50, Classes: Classes(), MaxRetries: 3, RetryDelay: 50 * ms, Until: 10 * time.Second}, 0, 7)
		var trace strings.Builder
		mayHaveRun := make(map[*request]bool)
		for at, ok := c.Next(); ok; at, ok = c.Next() {
			for _, attempt := range c.TakeDue(at) {
				fmt.Fprintln(&trace, attempt.ID, attempt.Number, attempt.Class.Name, attempt.SendAt, attempt.Timeout, attempt.Work)
				if attempt.SendAt+attempt.Timeout > attempt.request.startedAt+attempt.Class.Deadline {
					t.Fatalf("attempt %s waits beyond the deadline of its request", attempt.ID)
				}
				if mayHaveRun[attempt.request] {
					t.Fatalf("attempt %s retries a non-idempotent request that may have run", attempt.ID)
				}
				status := []int{200, 503, 502, 0}[len(trace.String())%4]
				if (status == 502 || status == 0) && attempt.Class.RetrySafety == NonIdempotent {
					mayHaveRun[attempt.request] = true
				}
				c.AttemptEnded(attempt.SendAt+ms, attempt, status, 0)
			}
		}
		return trace.String()
	}
	if first := run(); first != run() || strings.Count(first, "\n") < 500 {
		t.Error("two runs with the same seed: got different attempts or fewer than 500, want the same, at least 500")
	}
}

// A watcher that applies the changes from Since has as many entries as the complete list.
func TestListChangesYieldCompleteList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, phases, revision := NewList(), make(map[string]string), int64(-1)
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "id"))
			list.Set(Entry{ID: id, Phase: rapid.SampledFrom([]string{Up, Draining, Removed}).Draw(t, "phase")})
			if rapid.Bool().Draw(t, "looks") {
				response, _ := list.Since(revision)
				if revision = response.Revision; response.Complete {
					clear(phases)
				}
				for _, e := range response.Members {
					if phases[e.ID] = e.Phase; e.Phase == Removed {
						delete(phases, e.ID)
					}
				}
				if complete := list.Snapshot(); len(complete.Members) != len(phases) {
					t.Fatalf("entries after applying the changes: got %v, want as many as in %v", phases, complete.Members)
				}
			}
		}
	})
}
