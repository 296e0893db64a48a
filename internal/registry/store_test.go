package registry

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func testEndpoint(id string) Endpoint {
	return Endpoint{ID: id, Address: "10.0.0.1:9000", Zone: "a", Phase: PhaseUp, Size: 1}
}

func registerCommandFor(id string, ttl time.Duration) Command {
	return Command{Kind: RegisterInstance, Endpoint: testEndpoint(id), TTL: ttl}
}

// drawCommand draws a command of any kind. It may be invalid.
func drawCommand(t *rapid.T) Command {
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "id"))
	c := Command{Kind: CommandKind(rapid.IntRange(0, 9).Draw(t, "kind")), ID: id, Endpoint: testEndpoint(id), Phase: PhaseDraining,
		TTL:     time.Duration(rapid.IntRange(1, 30).Draw(t, "lease")) * time.Second,
		Elapsed: time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "span")) * time.Millisecond}
	if rapid.Bool().Draw(t, "has a request id") {
		c.RequestID = fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
	}
	if rapid.IntRange(0, 3).Draw(t, "has a version") == 0 {
		c.IfMatch = int64(rapid.IntRange(1, 9).Draw(t, "version")) + 1<<epochShift
	}
	return c
}

// A watcher that applies changes has the IDs of the full list, even if it skips revisions. Revisions never decrease, a
// retry changes nothing, and a snapshot restores the store.
func TestWatchersConvergeAndSnapshotsRestoreTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		endpoints, lastRevision := make(map[string]Endpoint), int64(-1)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c, before := drawCommand(t), s.revision
			first := s.Apply(c)
			if s.revision < before {
				t.Fatalf("revision after a command: got %d, want at least %d", s.revision, before)
			}
			if c.RequestID != "" {
				afterFirst := s.revision
				if again := s.Apply(c); again != first || s.revision != afterFirst {
					t.Fatalf("retry of %+v: got %+v, want the first result %+v and no change", c, again, first)
				}
			}
			if rapid.Bool().Draw(t, "watches") {
				applyChanges(s, endpoints, &lastRevision)
				if got, want := slices.Sorted(maps.Keys(endpoints)), slices.Sorted(maps.Keys(s.instances)); !slices.Equal(got, want) {
					t.Fatalf("instances of a watcher: got %v, want %v", got, want)
				}
			}
		}
		var b bytes.Buffer
		if err := s.WriteSnapshot(&b); err != nil {
			t.Fatal(err)
		}
		restored, err := ReadSnapshot(&b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.FullList(), restored.FullList()); diff != "" || restored.leases.now != s.leases.now || len(restored.responses.byRequest) != len(s.responses.byRequest) {
			t.Fatal("list, lease time or cached responses read from a snapshot differ; list (-want +got):", diff)
		}
	})
}

// applyChanges updates the endpoints and the revision of a watcher.
func applyChanges(s *Store, endpoints map[string]Endpoint, lastRevision *int64) {
	l, _ := s.ChangesSince(*lastRevision)
	if l.Complete {
		clear(endpoints)
	}
	for _, e := range l.Endpoints {
		if endpoints[e.ID] = e; e.Phase == PhaseRemoved {
			delete(endpoints, e.ID)
		}
	}
	*lastRevision = l.Revision
}

func advanceClock(s *Store, elapsed time.Duration) {
	for ; elapsed > 0; elapsed -= maxClockStep {
		s.Apply(Command{Kind: AdvanceClock, Elapsed: min(elapsed, maxClockStep)})
	}
}

func TestLeasesExpireUnlessTooManyAtOnce(t *testing.T) {
	s := NewStore()
	for i := range 20 {
		s.Apply(registerCommandFor(fmt.Sprint("s", i), 10*time.Second))
	}
	for i := range 18 { // two leases are not renewed
		advanceClock(s, 3*time.Second)
		for n := range 18 {
			s.Apply(Command{Kind: RenewLease, ID: fmt.Sprint("s", n)})
		}
		if i == 3 && len(s.instances) != 18 {
			t.Fatalf("instances after two leases expired: got %d, want 18", len(s.instances))
		}
	}
	advanceClock(s, time.Minute)
	if len(s.instances) != 18 || !s.leases.suspended {
		t.Errorf("all leases overdue at once: got %d instances, suspended %v, want 18 and suspended", len(s.instances), s.leases.suspended)
	}
	s.Apply(Command{Kind: RenewLease, ID: "s0"})
	s.Apply(Command{Kind: RestartLeases})
	advanceClock(s, 9*time.Second)
	if len(s.instances) != 18 || s.leases.suspended {
		t.Errorf("leases renewed by a new leader: got %d instances, suspended %v, want 18 and not suspended", len(s.instances), s.leases.suspended)
	}
}

func TestWatchResumesFromHistoryWithinAnEpoch(t *testing.T) {
	s := NewStore()
	s.Apply(registerCommandFor("a", DefaultTTL))
	oldRevision := s.revision
	copied := *s
	s.Apply(registerCommandFor("b", DefaultTTL))
	if l, _ := s.ChangesSince(oldRevision); l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "b" {
		t.Errorf("changes after instance a was registered: got %+v, want b alone", l)
	}
	if l, changed := s.ChangesSince(s.revision + 5); !changed || !l.Complete {
		t.Errorf("watch at a future revision: got %+v, want the full list", l)
	}
	currentRevision := s.revision
	copied.Apply(Command{Kind: BeginEpoch})
	if l, changed := copied.ChangesSince(currentRevision); !changed || !l.Complete || copied.revision <= currentRevision {
		t.Errorf("watch of the previous epoch: got %+v at revision %d, want the full list at a higher revision", l, copied.revision)
	}
	for i := range maxHistoryChanges + 10 {
		s.Apply(Command{Kind: SetInstancePhase, ID: "a", Phase: []string{PhaseUp, PhaseDraining}[i%2]})
	}
	if l, _ := s.ChangesSince(oldRevision); !l.Complete || len(s.history.changes) > maxHistoryChanges {
		t.Errorf("watch at a compacted revision: history has %d changes, got %+v, want the full list", len(s.history.changes), l)
	}
}
