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

// Each rule's violation is found, and what is allowed isn't reported.
func TestCheckerFindsEachViolation(t *testing.T) {
	warm := func(id string) *Server { return NewServer(DefaultServer(id, "a"), 0, 1) }
	starting := NewServer(DefaultServer("cold", "a"), time.Second, 1)
	a, b := warm("a"), warm("b")
	b.Spec.Cell = 1
	for _, c := range []struct {
		name string
		do   func(c *Checker)
		want string // empty for nothing
	}{
		{"an answer in time", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(0, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.ResponseReceived(time.Second, "x", 200)
		}, ""},
		{"a late answer", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ResponseReceived(1100*ms, "x", 503)
		}, "late"},
		{"two answers", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ResponseReceived(1, "x", 503)
			c.ResponseReceived(2, "x", 503)
		}, "second final answer"},
		{"an answer out of nothing", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ResponseReceived(1, "x", 200)
		}, "no server served"},
		{"a connection cut off", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ConnectionBroken(1, "x", false)
		}, "no answer"},
		{"a connection of a killed node", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.ConnectionBroken(1, "x", true)
		}, ""},
		{"a second copy of what must not run twice", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.AttemptArrived(2, "n", "x", b)
		}, "second copy"},
		{"another try after it was turned away", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", true)
			c.AttemptArrived(2, "n", "x", b)
		}, ""},
		{"a repeat in another cell", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", IdempotencyKeyed))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.AttemptArrived(2, "n", "x", b)
		}, "outside of the group"},
		{"a repeat in the same cell", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", IdempotencyKeyed))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.AttemptArrived(2, "n", "x", a)
		}, ""},
		{"two attempts out", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", Idempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptArrived(2, "n", "x", b)
		}, "is out"},
		{"refused after it may have run", func(c *Checker) {
			c.RequestAccepted(0, clientAttempt("x", NonIdempotent))
			c.AttemptArrived(1, "n", "x", a)
			c.AttemptEnded("x", "a", false)
			c.ResponseReceived(2, "x", 503)
		}, "refused though"},
		{"a draining server", func(c *Checker) {
			c.ChangeNotified(0, "n", "a", Draining)
			c.RequestAccepted(time.Second, clientAttempt("x", Idempotent))
			c.AttemptArrived(2*time.Second, "n", "x", a)
		}, "which drains"},
		{"a draining server, told to another node", func(c *Checker) {
			c.ChangeNotified(0, "m", "a", Draining)
			c.RequestAccepted(time.Second, clientAttempt("x", Idempotent))
			c.AttemptArrived(2*time.Second, "n", "x", a)
		}, ""},
		{"a cold server", func(c *Checker) {
			for i := range 200 {
				id := fmt.Sprint("x", i)
				c.RequestAccepted(time.Second, clientAttempt(id, Idempotent))
				c.AttemptArrived(time.Second+Time(i)*ms, fmt.Sprint("n", i%3), id, starting)
			}
		}, "the cold cold was sent"},
	} {
		checker := NewChecker(DefaultRules())
		c.do(checker)
		all, n := checker.Violations()
		if got := strings.Join(all, "; "); (c.want == "") != (n == 0) || !strings.Contains(got, c.want) {
			t.Errorf("%s: %d violations: %s", c.name, n, got)
		}
	}
}

// A server completes what it accepts, once, and never faster than its cores can.
func TestServerCompletesEachAcceptedJobOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := DefaultServer("s", "a")
		spec.Cores, spec.MaxRequests = rapid.IntRange(1, 4).Draw(t, "cores"), rapid.IntRange(1, 20).Draw(t, "max requests")
		b := NewServer(spec, Time(rapid.IntRange(0, 3).Draw(t, "started"))*time.Second, 1)
		var now Time
		var work time.Duration
		accepted, done := 0, make(map[string]bool)
		finish := func(all []CompletedJob) {
			for _, d := range all {
				if done[d.ID] {
					t.Fatalf("%s is done twice", d.ID)
				}
				done[d.ID] = true
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "jobs") {
			now += Time(rapid.IntRange(0, 300).Draw(t, "gap")) * ms
			finish(b.Advance(now))
			j := Job{ID: fmt.Sprint("j", i), Work: Time(rapid.IntRange(1, 500).Draw(t, "work")) * ms}
			if b.Offer(now, j) == Accepted {
				accepted, work = accepted+1, work+j.Work
			}
			if b.InProgress() > spec.MaxRequests {
				t.Fatalf("%d in progress, want %d at most", b.InProgress(), spec.MaxRequests)
			}
		}
		end := now
		for at, ok := b.Next(); ok; at, ok = b.Next() {
			end = at
			finish(b.Advance(at))
		}
		if shortest := time.Duration(float64(work) / spec.Speed / float64(spec.Cores)); len(done) != accepted || end+ms < shortest {
			t.Fatalf("%d of %d done by %v, and the work takes %v", len(done), accepted, end, shortest)
		}
	})
}

// A server that is overloaded for long turns slower, and recovers once it has been mostly idle.
func TestOverloadedServerSlows(t *testing.T) {
	b := NewServer(DefaultServer("s", "a"), 0, 1)
	for i := range b.Spec.MaxRequests {
		b.Offer(0, Job{ID: fmt.Sprint(i), Work: 10 * time.Second})
	}
	b.Advance(b.Spec.OverloadAfter)
	if !b.Slowed() {
		t.Fatal("an overloaded server isn't slowed")
	}
	for at, ok := b.Next(); ok; at, ok = b.Next() {
		b.Advance(at)
	}
	b.Advance(10 * time.Hour)
	if b.Advance(10*time.Hour + b.Spec.OverloadRecovery); b.Slowed() {
		t.Error("an idle server stays slowed")
	}
}

// A repeat of a key has no effect for a time; a new key has.
func TestServerDropsRepeatsOfAKey(t *testing.T) {
	b := NewServer(DefaultServer("s", "a"), 0, 1)
	var effects []bool
	for i, key := range []string{"k", "k", "l"} {
		b.Offer(Time(i)*time.Second, Job{ID: fmt.Sprint(i), Key: key, Work: ms})
		for _, d := range b.Advance(Time(i)*time.Second + 100*ms) {
			effects = append(effects, d.Executed)
		}
	}
	if fmt.Sprint(effects) != "[true false true]" {
		t.Errorf("effects %v", effects)
	}
}

// A seed gives the same clients each time; each request is retried no longer than its deadline, and what may
// have run and must not run twice isn't sent again.
func TestClientsFollowTheirSeedAndDeadlines(t *testing.T) {
	play := func() string {
		c := NewClients("c", ClientSpec{Rate: 50, Classes: Classes(), MaxRetries: 3, RetryDelay: 50 * ms, Until: 10 * time.Second}, 0, 7)
		var log strings.Builder
		unsafe := make(map[*request]bool)
		for at, ok := c.Next(); ok; at, ok = c.Next() {
			for _, try := range c.TakeDue(at) {
				fmt.Fprintln(&log, try.ID, try.Number, try.Class.Name, try.SendAt, try.Timeout, try.Work)
				if try.SendAt+try.Timeout > try.request.startedAt+try.Class.Deadline {
					t.Fatalf("%s waits beyond its deadline", try.ID)
				}
				if unsafe[try.request] {
					t.Fatalf("%s is sent again though it may have run", try.ID)
				}
				status := []int{200, 503, 502, 0}[len(log.String())%4]
				if (status == 502 || status == 0) && try.Class.RetrySafety == NonIdempotent {
					unsafe[try.request] = true
				}
				c.AttemptEnded(try.SendAt+ms, try, status, 0)
			}
		}
		return log.String()
	}
	if first := play(); first != play() || strings.Count(first, "\n") < 500 {
		t.Error("a seed gives other clients the second time, or too few")
	}
}

// A client that follows the list by its changes comes to the same list.
func TestListChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, seen, at := NewList(), make(map[string]string), int64(-1)
		for range rapid.IntRange(1, 50).Draw(t, "changes") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "id"))
			l.Set(Entry{ID: id, Phase: rapid.SampledFrom([]string{Up, Draining, Removed}).Draw(t, "phase")})
			if rapid.Bool().Draw(t, "looks") {
				a, _ := l.Since(at)
				if at = a.Revision; a.Complete {
					clear(seen)
				}
				for _, e := range a.Members {
					if seen[e.ID] = e.Phase; e.Phase == Removed {
						delete(seen, e.ID)
					}
				}
				if complete := l.Snapshot(); len(complete.Members) != len(seen) {
					t.Fatalf("seen %v, and there are %v", seen, complete.Members)
				}
			}
		}
	})
}
