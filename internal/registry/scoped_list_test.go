package registry

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sloerail/internal/subset"
)

func registerInService(id, service string) Command {
	c := registerCommandFor(id, 10*time.Second)
	c.Endpoint.Service = service
	return c
}

// drawServiceCommand draws a command on instances of a few services. It may move an instance to another service.
func drawServiceCommand(t *rapid.T) Command {
	c := drawCommand(t)
	c.ID = fmt.Sprint("s", rapid.IntRange(0, 11).Draw(t, "instance"))
	c.Endpoint.ID = c.ID
	c.Endpoint.Service = rapid.SampledFrom([]string{"", "a", "a", "a", "b"}).Draw(t, "service")
	c.Endpoint.Zone = rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone")
	if rapid.IntRange(0, 2).Draw(t, "is up") == 0 {
		c.Phase = PhaseUp
	}
	if rapid.IntRange(0, 4).Draw(t, "changes the list") > 0 {
		c.Kind = rapid.SampledFrom([]CommandKind{RegisterInstance, RegisterInstance, RegisterInstance, SetInstancePhase, DeregisterInstance}).Draw(t, "kind")
		c.RequestID, c.IfMatch = "", 0
	}
	return c
}

// drawScope draws a scope of some of the services, with or without subsets.
func drawScope(t *rapid.T) *Scope {
	scope := &Scope{Services: rapid.SampledFrom([][]string{{"a"}, {"a", "b"}, {"b"}, {"a", "none"}}).Draw(t, "scope")}
	if scope.SubsetSize = rapid.IntRange(0, 3).Draw(t, "size"); scope.SubsetSize > 0 {
		scope.Client = subset.Client{Count: rapid.IntRange(1, 5).Draw(t, "nodes"), Zone: "z0"}
		scope.Client.Position = rapid.IntRange(0, scope.Client.Count-1).Draw(t, "position")
	}
	return scope
}

// scopedWatcher tracks the endpoints of a scope by applying its changes.
type scopedWatcher struct {
	scope        *Scope
	lastRevision int64
	endpoints    map[string]Endpoint
}

func newScopedWatcher(scope *Scope) *scopedWatcher {
	return &scopedWatcher{scope: scope, lastRevision: -1, endpoints: make(map[string]Endpoint)}
}

// poll applies the changes since the watcher's revision, and returns them.
func (w *scopedWatcher) poll(s *Store) (l EndpointList, err error) {
	view, err := s.newScopedView(w.scope, w.lastRevision)
	if err != nil {
		return EndpointList{}, err
	}
	l, _ = view.list()
	if l.Complete {
		clear(w.endpoints)
	}
	for _, e := range l.Endpoints {
		if w.endpoints[e.ID] = e; e.Phase == PhaseRemoved {
			delete(w.endpoints, e.ID)
		}
	}
	w.lastRevision = l.Revision
	return l, nil
}

// mustPoll polls, and also returns the IDs that the watcher then has.
func (w *scopedWatcher) mustPoll(t *testing.T, s *Store) (EndpointList, []string) {
	t.Helper()
	l, err := w.poll(s)
	if err != nil {
		t.Fatal(err)
	}
	return l, slices.Sorted(maps.Keys(w.endpoints))
}

// checkSlots fails unless slots are unique within each service and stable, and a new instance has the lowest free slot.
func checkSlots(t *rapid.T, before, after map[string]Instance) {
	usedSlots := make(map[string]map[int]string)
	for id, instance := range after {
		service := instance.Endpoint.Service
		if usedSlots[service] == nil {
			usedSlots[service] = make(map[int]string)
		}
		if other, ok := usedSlots[service][instance.Slot]; ok && service != "" {
			t.Fatalf("instances %s and %s both have slot %d of service %s", id, other, instance.Slot, service)
		}
		usedSlots[service][instance.Slot] = id
	}
	for id, instance := range after {
		previous, existed := before[id]
		sameService := existed && previous.Endpoint.Service == instance.Endpoint.Service
		switch {
		case instance.Endpoint.Service == "" && instance.Slot != 0:
			t.Fatalf("slot of instance %s without a service: got %d, want 0", id, instance.Slot)
		case sameService && previous.Slot != instance.Slot:
			t.Fatalf("slot of instance %s changed from %d to %d within its service", id, previous.Slot, instance.Slot)
		case instance.Endpoint.Service != "" && !sameService:
			checkNoLowerSlotIsFree(t, usedSlots[instance.Endpoint.Service], instance)
		}
	}
}

func checkNoLowerSlotIsFree(t *rapid.T, usedSlots map[int]string, instance Instance) {
	for slot := range instance.Slot {
		if _, ok := usedSlots[slot]; !ok {
			t.Fatalf("instance %s got slot %d of service %s, but slot %d is free", instance.Endpoint.ID, instance.Slot, instance.Endpoint.Service, slot)
		}
	}
}

// A watcher that applies the changes of a scope has, at each revision, the same endpoints as a complete list of the
// scope. Slots are unique and stable, and a new instance gets the lowest free slot. A snapshot restores lists and slots.
func TestScopedWatchersMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		var watchers []*scopedWatcher
		for range 4 {
			watchers = append(watchers, newScopedWatcher(drawScope(t)))
		}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			before := maps.Clone(s.instances)
			s.Apply(drawServiceCommand(t))
			checkSlots(t, before, s.instances)
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				s = snapshotRoundTrip(t, s)
			}
			if count := rapid.IntRange(0, 20).Draw(t, "compacts"); count > 0 && count <= len(s.history.changes)/2 {
				s.compact(count, s.history.changes[count-1].Revision)
			}
			for _, w := range watchers {
				if rapid.IntRange(0, 3).Draw(t, "polls") == 0 {
					w.check(t, s)
				}
			}
		}
	})
}

// check polls, and fails unless the watcher then has the same endpoints as a complete list.
func (w *scopedWatcher) check(t *rapid.T, s *Store) {
	full := newScopedWatcher(w.scope)
	_, err := full.poll(s)
	if _, watchErr := w.poll(s); (err == nil) != (watchErr == nil) {
		t.Fatalf("errors differ: complete list %v, watcher %v", err, watchErr)
	}
	var unknown *UnknownServicesError
	if errors.As(err, &unknown) {
		return
	}
	if diff := cmp.Diff(full.endpoints, w.endpoints); diff != "" || err != nil {
		t.Fatalf("error %v; scope %+v: the watcher differs from a complete list (-list +watcher): %s", err, w.scope, diff)
	}
}

// A watcher gets no changes outside its scope, even if there were more changes than the history holds.
func TestChangesOutsideAScopeAreNotSent(t *testing.T) {
	s := NewStore()
	s.Apply(registerInService("a0", "a"))
	s.Apply(registerInService("b0", "b"))
	w := newScopedWatcher(&Scope{Services: []string{"a"}})
	w.mustPoll(t, s)
	for i := range maxHistoryChanges + 10 {
		s.Apply(Command{Kind: SetInstancePhase, ID: "b0", Phase: []string{PhaseDraining, PhaseUp}[i%2]})
	}
	before := *w
	if l, _ := w.mustPoll(t, s); l.Complete || len(l.Endpoints) != 0 || l.Revision != s.revision || before.lastRevision >= s.history.compactedRevision {
		t.Errorf("changes outside the scope: got %+v for a watcher at revision %d, compacted revision %d; want no endpoints, and the watcher's revision below the compacted revision", l, before.lastRevision, s.history.compactedRevision)
	}
	s.Apply(Command{Kind: SetInstancePhase, ID: "a0", Phase: PhaseDraining})
	if l, _ := before.mustPoll(t, s); !l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].Phase != PhaseDraining {
		t.Errorf("change in the scope after compaction: got %+v, want a complete list with a0 draining", l)
	}
}

// A watcher gets the complete list in a new epoch, and if its revision was compacted. It gets the complete list even if
// the changed service is now unknown, and from a replica that was restored from a snapshot.
func TestScopedListIsCompleteWhereHistoryWasCompacted(t *testing.T) {
	for removed, want := range map[string][]string{"a1": {"a0", "b0"}, "b0": {"a0", "a1"}, "": {"a0", "a1", "b0"}} {
		s := NewStore()
		for id, service := range map[string]string{"a0": "a", "a1": "a", "b0": "b"} {
			s.Apply(registerInService(id, service))
		}
		w := newScopedWatcher(&Scope{Services: []string{"a", "b"}})
		w.mustPoll(t, s)
		if removed == "" {
			s.Apply(Command{Kind: BeginEpoch})
		}
		s.Apply(Command{Kind: DeregisterInstance, ID: removed})
		s.compact(len(s.history.changes), s.revision)
		if l, got := w.mustPoll(t, snapshotRoundTrip(t, s)); !l.Complete || !slices.Equal(got, want) {
			t.Errorf("after removing %q (if empty, after a new epoch): got %+v, and the watcher has instances %v; want a complete list of the other instances", removed, l, got)
		}
	}
}

// When a server of its subset starts to drain, a watcher gets this change together with a replacement server. A new
// server that gets the slot of a removed server is in the same subsets as the removed server was.
func TestSubsetIncludesTheReplacementWhileAServerDrains(t *testing.T) {
	s := NewStore()
	for i := range 8 {
		s.Apply(registerInService(fmt.Sprint("s", i), "a"))
	}
	w := newScopedWatcher(&Scope{Services: []string{"a"}, SubsetSize: 2, Client: subset.Client{Count: 4}})
	_, initial := w.mustPoll(t, s)
	s.Apply(Command{Kind: SetInstancePhase, ID: initial[0], Phase: PhaseDraining})
	if _, during := w.mustPoll(t, s); w.endpoints[initial[0]].Phase != PhaseDraining || len(initial) != 2 || len(during) < 3 {
		t.Errorf("subset of 2 servers, initially %v: got %v while the first server drains, want the 2 servers and a replacement", initial, w.endpoints)
	}
	s.Apply(Command{Kind: DeregisterInstance, ID: initial[0]})
	if _, after := w.mustPoll(t, s); len(after) != 2 || slices.Contains(after, initial[0]) {
		t.Errorf("subset of 2 servers after %s was removed: got %v, want 2 other servers", initial[0], after)
	}
	s.Apply(registerInService("s9", "a"))
	if _, final := w.mustPoll(t, s); !slices.Equal(final, slices.Sorted(slices.Values([]string{"s9", initial[1]}))) {
		t.Errorf("subset after s9 got the slot of %s: got %v, want s9 in place of the removed server in %v", initial[0], final, initial)
	}
}
