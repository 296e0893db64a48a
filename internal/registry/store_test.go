package registry

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func entry(id string) Endpoint {
	return Endpoint{ID: id, Address: "10.0.0.1:9000", Zone: "a", Phase: PhaseUp, Size: 1}
}

func registers(id string, lease time.Duration) Command {
	return Command{Kind: RegisterInstance, Endpoint: entry(id), TTL: lease}
}

// drawCommand is any command, odd ones among them.
func drawCommand(t *rapid.T) Command {
	id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "id"))
	c := Command{Kind: CommandKind(rapid.IntRange(0, 9).Draw(t, "kind")), ID: id, Endpoint: entry(id), Phase: PhaseDraining,
		TTL:     time.Duration(rapid.IntRange(1, 30).Draw(t, "lease")) * time.Second,
		Elapsed: time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "span")) * time.Millisecond}
	if rapid.Bool().Draw(t, "asks again") {
		c.RequestID = fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
	}
	if rapid.IntRange(0, 3).Draw(t, "matches") == 0 {
		c.IfMatch = int64(rapid.IntRange(1, 9).Draw(t, "version")) + 1<<epochShift
	}
	return c
}

// Whoever follows by changes has what is there, whatever is missed on the way; revisions never go back; a
// repeat is harmless; a snapshot is the state.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		seen, at := make(map[string]Endpoint), int64(-1)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c, before := drawCommand(t), s.revision
			first := s.Apply(c)
			if s.revision < before {
				t.Fatalf("revision %d after %d", s.revision, before)
			}
			if c.RequestID != "" {
				then := s.revision
				if again := s.Apply(c); again != first || s.revision != then {
					t.Fatalf("a repeat of %+v gave %+v, first %+v", c, again, first)
				}
			}
			if rapid.Bool().Draw(t, "looks") {
				follow(s, seen, &at)
				if got, want := slices.Sorted(maps.Keys(seen)), slices.Sorted(maps.Keys(s.instances)); !slices.Equal(got, want) {
					t.Fatalf("a watcher has %v, and there are %v", got, want)
				}
			}
		}
		var b bytes.Buffer
		if err := s.WriteSnapshot(&b); err != nil {
			t.Fatal(err)
		}
		back, err := ReadSnapshot(&b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.FullList(), back.FullList()); diff != "" || back.leases.now != s.leases.now || len(back.responses.byRequest) != len(s.responses.byRequest) {
			t.Fatal("a snapshot is not the state:", diff)
		}
	})
}

// follow takes over what a watcher at a revision is told.
func follow(s *Store, seen map[string]Endpoint, at *int64) {
	l, _ := s.ChangesSince(*at)
	if l.Complete {
		clear(seen)
	}
	for _, e := range l.Endpoints {
		if seen[e.ID] = e; e.Phase == PhaseRemoved {
			delete(seen, e.ID)
		}
	}
	*at = l.Revision
}

func ticks(s *Store, span time.Duration) {
	for ; span > 0; span -= maxClockStep {
		s.Apply(Command{Kind: AdvanceClock, Elapsed: min(span, maxClockStep)})
	}
}

func TestLeases(t *testing.T) {
	s := NewStore()
	for i := range 20 {
		s.Apply(registers(fmt.Sprint("s", i), 10*time.Second))
	}
	for i := range 18 { // two fall silent
		ticks(s, 3*time.Second)
		for n := range 18 {
			s.Apply(Command{Kind: RenewLease, ID: fmt.Sprint("s", n)})
		}
		if i == 3 && len(s.instances) != 18 {
			t.Fatalf("%d instances after the leases of two, want 18", len(s.instances))
		}
	}
	ticks(s, time.Minute)
	if len(s.instances) != 18 || !s.leases.suspended {
		t.Errorf("%d instances left, held %v: all leases run out at once, which is the service's fault", len(s.instances), s.leases.suspended)
	}
	s.Apply(Command{Kind: RenewLease, ID: "s0"})
	s.Apply(Command{Kind: RestartLeases})
	ticks(s, 9*time.Second)
	if len(s.instances) != 18 || s.leases.suspended {
		t.Errorf("%d instances, held %v: a new leader gives all leases their whole time", len(s.instances), s.leases.suspended)
	}
}

func TestEpochsAndHistory(t *testing.T) {
	s := NewStore()
	s.Apply(registers("a", DefaultTTL))
	old := s.revision
	copied := *s
	s.Apply(registers("b", DefaultTTL))
	if l, _ := s.ChangesSince(old); l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].ID != "b" {
		t.Errorf("a change is told as %+v", l)
	}
	if l, news := s.ChangesSince(s.revision + 5); !news || !l.Complete {
		t.Errorf("a revision that never was is told %+v", l)
	}
	at := s.revision
	copied.Apply(Command{Kind: BeginEpoch})
	if l, news := copied.ChangesSince(at); !news || !l.Complete || copied.revision <= at {
		t.Errorf("a watcher of the epoch before is told %+v at revision %d", l, copied.revision)
	}
	for i := range maxHistoryChanges + 10 {
		s.Apply(Command{Kind: SetInstancePhase, ID: "a", Phase: []string{PhaseUp, PhaseDraining}[i%2]})
	}
	if l, _ := s.ChangesSince(old); !l.Complete || len(s.history.changes) > maxHistoryChanges {
		t.Errorf("%d changes kept, and one before them is told %+v", len(s.history.changes), l)
	}
}

// A snapshot that is cut at any byte, or has any byte flipped, is none.
func TestSpoiltSnapshots(t *testing.T) {
	s := NewStore()
	s.Apply(registers("a", DefaultTTL))
	var b bytes.Buffer
	if err := s.WriteSnapshot(&b); err != nil {
		t.Fatal(err)
	}
	for i := range b.Len() {
		if _, err := ReadSnapshot(bytes.NewReader(b.Bytes()[:i])); err == nil || !strings.HasPrefix(err.Error(), "snapshot: ") {
			t.Fatalf("cut at byte %d: %v", i, err)
		}
		flipped := bytes.Clone(b.Bytes())
		flipped[i] ^= 0x40
		if _, err := ReadSnapshot(bytes.NewReader(flipped)); err == nil {
			t.Fatalf("byte %d flipped, and read", i)
		}
	}
}
