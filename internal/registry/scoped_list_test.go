package registry

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sloerail/internal/subset"
)

func serves(id, service string) Command {
	c := registers(id, 10*time.Second)
	c.Endpoint.Service = service
	return c
}

// drawServiceCommand is any command to instances of a few services, also one that moves them from one to another.
func drawServiceCommand(t *rapid.T) Command {
	c := drawCommand(t)
	c.ID = fmt.Sprint("s", rapid.IntRange(0, 11).Draw(t, "instance"))
	c.Endpoint.ID = c.ID
	c.Endpoint.Service = rapid.SampledFrom([]string{"", "a", "a", "a", "b"}).Draw(t, "service")
	c.Endpoint.Zone = rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone")
	if rapid.IntRange(0, 2).Draw(t, "returns") == 0 {
		c.Phase = PhaseUp
	}
	if rapid.IntRange(0, 4).Draw(t, "more of what changes lists") > 0 {
		c.Kind = rapid.SampledFrom([]CommandKind{RegisterInstance, RegisterInstance, RegisterInstance, SetInstancePhase, DeregisterInstance}).Draw(t, "kind")
		c.RequestID, c.IfMatch = "", 0
	}
	return c
}

// drawScope is a part of the services, whole or by subsets.
func drawScope(t *rapid.T) *Scope {
	scope := &Scope{Services: rapid.SampledFrom([][]string{{"a"}, {"a", "b"}, {"b"}, {"a", "none"}}).Draw(t, "scope")}
	if scope.SubsetSize = rapid.IntRange(0, 3).Draw(t, "size"); scope.SubsetSize > 0 {
		scope.Client = subset.Client{Count: rapid.IntRange(1, 5).Draw(t, "nodes"), Zone: "z0"}
		scope.Client.Position = rapid.IntRange(0, scope.Client.Count-1).Draw(t, "position")
	}
	return scope
}

// scopedWatcher follows a scope by what it is told.
type scopedWatcher struct {
	scope *Scope
	at    int64
	seen  map[string]Endpoint
}

func watching(scope *Scope) *scopedWatcher {
	return &scopedWatcher{scope: scope, at: -1, seen: make(map[string]Endpoint)}
}

// follow takes over what the watcher is told.
func (w *scopedWatcher) follow(s *Store) (l EndpointList, err error) {
	view, err := s.scoped(w.scope, w.at)
	if err != nil {
		return EndpointList{}, err
	}
	l, _ = view.list()
	if l.Complete {
		clear(w.seen)
	}
	for _, e := range l.Endpoints {
		if w.seen[e.ID] = e; e.Phase == PhaseRemoved {
			delete(w.seen, e.ID)
		}
	}
	w.at = l.Revision
	return l, nil
}

// look follows, and returns the ids that the watcher then has.
func (w *scopedWatcher) look(t *testing.T, s *Store) (EndpointList, []string) {
	t.Helper()
	l, err := w.follow(s)
	if err != nil {
		t.Fatal(err)
	}
	return l, slices.Sorted(maps.Keys(w.seen))
}

// checkSlots holds that the slots of each service are unique, and that a new instance gets the lowest that is free.
func checkSlots(t *rapid.T, before, after map[string]Instance) {
	taken := make(map[string]map[int]string)
	for id, i := range after {
		service := i.Endpoint.Service
		if taken[service] == nil {
			taken[service] = make(map[int]string)
		}
		if other, ok := taken[service][i.Slot]; ok && service != "" {
			t.Fatalf("%s and %s both have slot %d of %s", id, other, i.Slot, service)
		}
		taken[service][i.Slot] = id
	}
	for id, i := range after {
		was, there := before[id]
		switch {
		case i.Endpoint.Service == "" && i.Slot != 0:
			t.Fatalf("%s has no service, and slot %d", id, i.Slot)
		case there && was.Endpoint.Service == i.Endpoint.Service && was.Slot != i.Slot:
			t.Fatalf("%s had slot %d, and now %d", id, was.Slot, i.Slot)
		case i.Endpoint.Service != "" && (!there || was.Endpoint.Service != i.Endpoint.Service):
			for slot := range i.Slot {
				if _, ok := taken[i.Endpoint.Service][slot]; !ok {
					t.Fatalf("%s got slot %d of %s, and %d is free", id, i.Slot, i.Endpoint.Service, slot)
				}
			}
		}
	}
}

// Whoever follows a scope by changes has, at each revision, what a fresh list of the scope has; slots are unique,
// the lowest that is free, and kept; a snapshot is the state in all of this.
func TestScopedWatchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		var watchers []*scopedWatcher
		for range 4 {
			watchers = append(watchers, watching(drawScope(t)))
		}
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			before := maps.Clone(s.instances)
			s.Apply(drawServiceCommand(t))
			checkSlots(t, before, s.instances)
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				s = reread(t, s)
			}
			if oldest := rapid.IntRange(0, 20).Draw(t, "forgets"); oldest > 0 && oldest <= len(s.history.changes)/2 {
				s.compact(oldest, s.history.changes[oldest-1].Revision)
			}
			for _, w := range watchers {
				if rapid.IntRange(0, 3).Draw(t, "looks") == 0 {
					w.check(t, s)
				}
			}
		}
	})
}

// check has a watcher follow, and holds that it has what a fresh list has.
func (w *scopedWatcher) check(t *rapid.T, s *Store) {
	fresh := watching(w.scope)
	_, err := fresh.follow(s)
	if _, followErr := w.follow(s); (err == nil) != (followErr == nil) {
		t.Fatalf("a fresh list: %v; a watcher: %v", err, followErr)
	}
	var unknown *UnknownServicesError
	if errors.As(err, &unknown) {
		return
	}
	if diff := cmp.Diff(fresh.seen, w.seen); diff != "" || err != nil {
		t.Fatalf("%v; scope %+v: a watcher differs from a fresh list (-list +watcher): %s", err, w.scope, diff)
	}
}

// reread is a state after its way through a snapshot.
func reread(t rapid.TB, s *Store) *Store {
	t.Helper()
	var b bytes.Buffer
	if err := s.WriteSnapshot(&b); err != nil {
		t.Fatal(err)
	}
	back, err := ReadSnapshot(&b)
	if err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(s.instances, back.instances) {
		t.Fatal("a snapshot is not the state:", cmp.Diff(s.instances, back.instances))
	}
	return back
}

// A watcher is told nothing of what happens outside its scope, also when more happened than the history keeps.
func TestChangesOutsideAScope(t *testing.T) {
	s := NewStore()
	s.Apply(serves("a0", "a"))
	s.Apply(serves("b0", "b"))
	w := watching(&Scope{Services: []string{"a"}})
	w.look(t, s)
	for i := range maxHistoryChanges + 10 {
		s.Apply(Command{Kind: SetInstancePhase, ID: "b0", Phase: []string{PhaseDraining, PhaseUp}[i%2]})
	}
	before := *w
	if l, _ := w.look(t, s); l.Complete || len(l.Endpoints) != 0 || l.Revision != s.revision || before.at >= s.history.compactedRevision {
		t.Errorf("told %+v at revision %d below the floor %d", l, before.at, s.history.compactedRevision)
	}
	s.Apply(Command{Kind: SetInstancePhase, ID: "a0", Phase: PhaseDraining})
	if l, _ := before.look(t, s); !l.Complete || len(l.Endpoints) != 1 || l.Endpoints[0].Phase != PhaseDraining {
		t.Errorf("a change that the history doesn't reach back from is told as %+v", l)
	}
}

// A watcher gets the whole list in a new epoch, and where the history doesn't reach back to it: also if the service
// that changed is unknown now, and at a replica that has read a snapshot since.
func TestScopeToldWhole(t *testing.T) {
	for gone, want := range map[string][]string{"a1": {"a0", "b0"}, "b0": {"a0", "a1"}, "": {"a0", "a1", "b0"}} {
		s := NewStore()
		for id, service := range map[string]string{"a0": "a", "a1": "a", "b0": "b"} {
			s.Apply(serves(id, service))
		}
		w := watching(&Scope{Services: []string{"a", "b"}})
		w.look(t, s)
		if gone == "" {
			s.Apply(Command{Kind: BeginEpoch})
		}
		s.Apply(Command{Kind: DeregisterInstance, ID: gone})
		s.compact(len(s.history.changes), s.revision)
		if l, got := w.look(t, reread(t, s)); !l.Complete || !slices.Equal(got, want) {
			t.Errorf("after the end of %q told %+v, and has %v", gone, l, got)
		}
	}
}

// A server that drains is told so to those whose subset it is in, and what takes its place is told with it. The one
// that gets its slot is in the subsets that it was in.
func TestSubsetThroughADrain(t *testing.T) {
	s := NewStore()
	for i := range 8 {
		s.Apply(serves(fmt.Sprint("s", i), "a"))
	}
	w := watching(&Scope{Services: []string{"a"}, SubsetSize: 2, Client: subset.Client{Count: 4}})
	_, first := w.look(t, s)
	s.Apply(Command{Kind: SetInstancePhase, ID: first[0], Phase: PhaseDraining})
	if _, during := w.look(t, s); w.seen[first[0]].Phase != PhaseDraining || len(first) != 2 || len(during) < 3 {
		t.Errorf("at first %v; while one drains, the watcher has %v", first, w.seen)
	}
	s.Apply(Command{Kind: DeregisterInstance, ID: first[0]})
	if _, after := w.look(t, s); len(after) != 2 || slices.Contains(after, first[0]) {
		t.Errorf("after %s has gone, the watcher has %v", first[0], after)
	}
	s.Apply(serves("s9", "a"))
	if _, last := w.look(t, s); !slices.Equal(last, slices.Sorted(slices.Values([]string{"s9", first[1]}))) {
		t.Errorf("with s9 in the place of %s, the watcher has %v, and had %v", first[0], last, first)
	}
}

// A snapshot from before there were services is read, and a program from then reads one of today.
func TestSnapshotsOfFormerAndNextVersions(t *testing.T) {
	type formerEntry struct { // the keys that matter here
		ID       string `cbor:"1,keyasint"`
		HostPort string `cbor:"2,keyasint"`
		Phase    string `cbor:"6,keyasint"`
	}
	type formerInstance struct {
		Entry   formerEntry `cbor:"1,keyasint"`
		Version int64       `cbor:"2,keyasint"`
	}
	type formerChange struct {
		Revision int64       `cbor:"1,keyasint"`
		Entry    formerEntry `cbor:"2,keyasint"`
	}
	type formerImage struct {
		Revision  int64                     `cbor:"1,keyasint"`
		Instances map[string]formerInstance `cbor:"3,keyasint"`
		History   []formerChange            `cbor:"4,keyasint"`
		Floor     int64                     `cbor:"5,keyasint"`
	}
	e, at := formerEntry{ID: "s0", HostPort: "10.0.0.1:9000", Phase: PhaseUp}, int64(1)<<epochShift+1
	raw, err := cbor.Marshal(formerImage{at, map[string]formerInstance{"s0": {e, at}}, []formerChange{{at, e}}, at - 1})
	if err != nil {
		t.Fatal(err)
	}
	s, err := ReadSnapshot(bytes.NewReader(append(snapshotHeader(raw), raw...)))
	if err != nil || len(s.FullList().Endpoints) != 1 {
		t.Fatal(err)
	}
	s.Apply(serves("s0", "a")) // its agent now names a service
	if _, got := watching(&Scope{Services: []string{"a"}}).look(t, s); len(got) != 1 {
		t.Errorf("in its service are %v", got)
	}
	if raw, err = cbor.Marshal(s.image()); err != nil {
		t.Fatal(err)
	}
	var back formerImage
	if err := cbor.Unmarshal(raw, &back); err != nil || back.Instances["s0"].Entry != e || len(back.History) != 2 {
		t.Errorf("a former program reads %+v, %v", back, err)
	}
}

// A snapshot of as many instances as there may be is read.
func TestSnapshotOfAFullList(t *testing.T) {
	s := NewStore()
	for i := range maxInstances {
		id := fmt.Sprint("s", i)
		s.instances[id] = Instance{Endpoint: serves(id, "a").Endpoint, Slot: i}
	}
	if back := reread(t, s); back.Apply(registers("one more", DefaultTTL)).Code != ResultTooManyInstances {
		t.Error("one more was taken")
	}
}

// A snapshot whose slots don't fit is none.
func TestSnapshotsWithBadSlots(t *testing.T) {
	for want, slots := range map[string][2]int{"both have slot 1": {1, 1}, "out of range": {0, maxInstances}} {
		s := NewStore()
		for i, slot := range slots {
			id := fmt.Sprint("s", i)
			s.instances[id] = Instance{Endpoint: serves(id, "a").Endpoint, Slot: slot}
		}
		var b bytes.Buffer
		if err := s.WriteSnapshot(&b); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadSnapshot(&b); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("slots %v: %v, want %q", slots, err, want)
		}
	}
}

func TestBadScopesNameTheParameter(t *testing.T) {
	var names []string
	for i := range maxScopeServices + 1 {
		names = append(names, fmt.Sprint("s", i))
	}
	for query, want := range map[string]string{
		"service=":                               "service: want 1 to",
		"service=a,,b":                           "service: want 1 to",
		"service=a%20b":                          "service: want printable",
		"service=" + strings.Join(names, ","):    "service: want 256 names",
		"subset=2":                               "subset: wants a service",
		"service=a&position=2":                   "position: wants a subset",
		"service=a&zone=z":                       "zone: wants a subset",
		"service=a&subset=0&position=0&nodes=":   "subset: want a whole number from 1",
		"service=a&subset=x":                     "subset: want",
		"service=a&subset=2&position=0":          "nodes: want",
		"service=a&subset=2&nodes=0":             "nodes: want",
		"service=a&subset=2&nodes=3":             "position: want a whole number from 0 to 2",
		"service=a&subset=2&nodes=3&position=3":  "position: want",
		"service=a&subset=2&nodes=3&position=-1": "position: want",
		"service=a&subset=99999999999999999999":  "subset: want",
		"service=a&subset=2&nodes=3&position=0&zone=" + strings.Repeat("z", maxFieldBytes+1): "zone: over",
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parseScope(values); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.60s: got %v, want one line that begins %q", query, err, want)
		}
	}
	scope, err := parseScope(url.Values{"service": {"b,a", "a"}, "subset": {"2"}, "nodes": {"3"}, "position": {"1"}, "zone": {"z"}})
	want := &Scope{Services: []string{"a", "b"}, SubsetSize: 2, Client: subset.Client{Position: 1, Count: 3, Zone: "z"}}
	if diff := cmp.Diff(want, scope); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if scope, err := parseScope(url.Values{"index": {"3"}, "other": {"x"}}); scope != nil || err != nil {
		t.Errorf("a call with no scope: %+v, %v", scope, err)
	}
}
