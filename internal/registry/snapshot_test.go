package registry

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// snapshotRoundTrip writes a snapshot of a store, and returns the store read from it.
func snapshotRoundTrip(t rapid.TB, s *Store) *Store {
	t.Helper()
	var b bytes.Buffer
	if err := s.WriteSnapshot(&b); err != nil {
		t.Fatal(err)
	}
	read, err := ReadSnapshot(&b)
	if err != nil {
		t.Fatal(err)
	}
	if !maps.Equal(s.instances, read.instances) {
		t.Fatal("instances read from a snapshot differ (-want +got):", cmp.Diff(s.instances, read.instances))
	}
	return read
}

// This version reads snapshots of the previous version, which has no services. The previous version reads snapshots of
// this version.
func TestSnapshotsAreCompatibleWithThePreviousVersion(t *testing.T) {
	type previousEndpoint struct { // only the keys that matter here
		ID       string `cbor:"1,keyasint"`
		HostPort string `cbor:"2,keyasint"`
		Phase    string `cbor:"6,keyasint"`
	}
	type previousInstance struct {
		Endpoint previousEndpoint `cbor:"1,keyasint"`
		Version  int64            `cbor:"2,keyasint"`
	}
	type previousChange struct {
		Revision int64            `cbor:"1,keyasint"`
		Endpoint previousEndpoint `cbor:"2,keyasint"`
	}
	type previousImage struct {
		Revision          int64                       `cbor:"1,keyasint"`
		Instances         map[string]previousInstance `cbor:"3,keyasint"`
		History           []previousChange            `cbor:"4,keyasint"`
		CompactedRevision int64                       `cbor:"5,keyasint"`
	}
	endpoint, revision := previousEndpoint{ID: "s0", HostPort: "10.0.0.1:9000", Phase: PhaseUp}, int64(1)<<epochShift+1
	raw, err := cbor.Marshal(previousImage{revision, map[string]previousInstance{"s0": {endpoint, revision}}, []previousChange{{revision, endpoint}}, revision - 1})
	if err != nil {
		t.Fatal(err)
	}
	s, err := ReadSnapshot(bytes.NewReader(append(snapshotHeader(raw), raw...)))
	if err != nil || len(s.FullList().Endpoints) != 1 {
		t.Fatal(err)
	}
	s.Apply(registerInService("s0", "a")) // its agent now sets a service
	if _, got := newScopedWatcher(&Scope{Services: []string{"a"}}).mustPoll(t, s); len(got) != 1 {
		t.Errorf("list of service a: got %v, want s0 alone", got)
	}
	if raw, err = cbor.Marshal(s.image()); err != nil {
		t.Fatal(err)
	}
	var read previousImage
	if err := cbor.Unmarshal(raw, &read); err != nil || read.Instances["s0"].Endpoint != endpoint || len(read.History) != 2 {
		t.Errorf("snapshot read by the previous version: got %+v, error %v; want s0 as written and 2 changes", read, err)
	}
}

// A snapshot with maxInstances instances is read, and the store read from it is full.
func TestSnapshotOfMaxInstancesIsRead(t *testing.T) {
	s := NewStore()
	for i := range maxInstances {
		id := fmt.Sprint("s", i)
		s.instances[id] = Instance{Endpoint: registerInService(id, "a").Endpoint, Slot: i}
	}
	if read := snapshotRoundTrip(t, s); read.Apply(registerCommandFor("one more", DefaultTTL)).Code != ResultTooManyInstances {
		t.Error("registering one instance more than maxInstances: got another result, want ResultTooManyInstances")
	}
}

// A snapshot with a slot that is out of range or used twice is rejected.
func TestSnapshotsWithInvalidSlotsAreRejected(t *testing.T) {
	for want, slots := range map[string][2]int{"both have slot 1": {1, 1}, "out of range": {0, maxInstances}} {
		s := NewStore()
		for i, slot := range slots {
			id := fmt.Sprint("s", i)
			s.instances[id] = Instance{Endpoint: registerInService(id, "a").Endpoint, Slot: slot}
		}
		var b bytes.Buffer
		if err := s.WriteSnapshot(&b); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadSnapshot(&b); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("slots %v: got error %v, want one that contains %q", slots, err, want)
		}
	}
}

// A snapshot that is truncated at any byte, or has a bit of any byte flipped, is rejected.
func TestCorruptSnapshotsAreRejected(t *testing.T) {
	s := NewStore()
	s.Apply(registerCommandFor("a", DefaultTTL))
	var b bytes.Buffer
	if err := s.WriteSnapshot(&b); err != nil {
		t.Fatal(err)
	}
	for i := range b.Len() {
		if _, err := ReadSnapshot(bytes.NewReader(b.Bytes()[:i])); !errors.Is(err, ErrCorrupt) || !strings.HasPrefix(err.Error(), "snapshot: ") {
			t.Fatalf("snapshot truncated at byte %d: got error %v, want ErrCorrupt", i, err)
		}
		flipped := bytes.Clone(b.Bytes())
		flipped[i] ^= 0x40
		if _, err := ReadSnapshot(bytes.NewReader(flipped)); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("snapshot with a bit of byte %d flipped: got error %v, want ErrCorrupt", i, err)
		}
	}
}
