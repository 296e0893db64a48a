package registry

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"

	"sloerail/internal/golden"
)

// The files in testdata hold stored and sent data as an earlier release wrote it. Replicas, agents and nodes of that
// release run alongside newer ones, so the formats must not change: these tests read the files, and where the encoding
// is deterministic, they write the same bytes again.

func goldenEndpoint(id, service string) Endpoint {
	return Endpoint{ID: id, Address: "10.1.0.18:9000", Zone: "cairo-1", Kind: "big-box", Cell: 3, Phase: PhaseUp, Size: 1.5,
		StartTimeMs: 1_700_000_000_123, Service: service}
}

// namedCommand is a command with its label in the golden file.
type namedCommand struct {
	name    string
	command Command
}

// goldenCommands holds commands of each kind, with few and with many fields. goldenStore applies them in this order.
var goldenCommands = []namedCommand{
	{"lead", Command{Kind: RestartLeases}},
	{"set-peer-r0", Command{Kind: SetReplicaAddress, ID: "r0", Endpoint: Endpoint{Address: "10.2.0.1:8500"}}},
	{"set-peer-r1", Command{Kind: SetReplicaAddress, ID: "r1", Endpoint: Endpoint{Address: "10.2.0.2:8500"}}},
	{"register", Command{Kind: RegisterInstance, ID: "s0", Endpoint: goldenEndpoint("s0", ""), TTL: DefaultTTL}},
	{"register-service", Command{Kind: RegisterInstance, RequestID: "q1", ID: "s1", Endpoint: goldenEndpoint("s1", "pay"), TTL: MaxTTL}},
	{"register-service-2", Command{Kind: RegisterInstance, RequestID: "q2", ID: "s2", Endpoint: goldenEndpoint("s2", "pay"), TTL: MaxTTL}},
	{"register-service-3", Command{Kind: RegisterInstance, ID: "s3", Endpoint: goldenEndpoint("s3", "pay"), TTL: MaxTTL}},
	{"register-if-match", Command{Kind: RegisterInstance, RequestID: "q3", ID: "s3", IfMatch: 1<<32 + 4, Endpoint: goldenEndpoint("s3", "mail"),
		TTL: time.Minute}},
	{"register-mismatch", Command{Kind: RegisterInstance, RequestID: "q4", ID: "s3", IfMatch: 7, Endpoint: goldenEndpoint("s3", "mail"),
		TTL: time.Minute}},
	{"renew", Command{Kind: RenewLease, ID: "s1"}},
	{"set-phase", Command{Kind: SetInstancePhase, RequestID: "q5", ID: "s1", Phase: PhaseDraining}},
	{"set-phase-if-match", Command{Kind: SetInstancePhase, ID: "s2", IfMatch: 1<<32 + 3, Phase: PhaseDraining}},
	{"remove", Command{Kind: DeregisterInstance, RequestID: "q6", ID: "s2"}},
	{"remove-unknown", Command{Kind: DeregisterInstance, RequestID: "q7", ID: "s9"}},
	{"unknown-kind", Command{Kind: 200, RequestID: "q8"}},
	{"tick", Command{Kind: AdvanceClock, Elapsed: 200 * time.Millisecond}},
	{"tick-5s", Command{Kind: AdvanceClock, Elapsed: 5 * time.Second}},
	{"tick-5s-again", Command{Kind: AdvanceClock, Elapsed: 5 * time.Second}},
	{"tick-lease-over", Command{Kind: AdvanceClock, Elapsed: 5 * time.Second}},
	{"remove-peer", Command{Kind: SetReplicaAddress, ID: "r1"}},
}

var goldenNewEpoch = namedCommand{"new-epoch", Command{Kind: BeginEpoch}}

func goldenStore() *Store {
	s := NewStore()
	for _, n := range goldenCommands {
		s.Apply(n.command)
	}
	s.appliedIndex = 4711
	return s
}

func TestGoldenCommands(t *testing.T) {
	all := append(slices.Clone(goldenCommands), goldenNewEpoch)
	var encoded strings.Builder
	for _, n := range all {
		raw, err := cbor.Marshal(n.command)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&encoded, "%s %x\n", n.name, raw)
	}
	golden.Check(t, "commands.cbor.hex", []byte(encoded.String()))
	lines := strings.Split(strings.TrimSpace(string(golden.Read(t, "commands.cbor.hex"))), "\n")
	if len(lines) != len(all) {
		t.Fatalf("commands in commands.cbor.hex: got %d, want %d", len(lines), len(all))
	}
	for i, line := range lines {
		_, text, _ := strings.Cut(line, " ")
		raw, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		var got Command
		if err := cbor.Unmarshal(raw, &got); err != nil || got != all[i].command {
			t.Errorf("decoding command %s: got %+v, error %v; want the command as written", line, got, err)
		}
	}
}

// TestGoldenSnapshot compares a snapshot of several instances with a golden file. It sorts the keys of maps, which are
// written in any order.
func TestGoldenSnapshot(t *testing.T) {
	s := goldenStore()
	var encoded bytes.Buffer
	if err := s.WriteSnapshot(&encoded); err != nil {
		t.Fatal(err)
	}
	raw := golden.Read(t, "snapshot")
	restored, err := ReadSnapshot(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	checkSameStore(t, s, restored)
	if want, encoded := canonicalImage(t, raw), canonicalImage(t, encoded.Bytes()); !bytes.Equal(want, encoded) {
		t.Errorf("a new snapshot with sorted keys differs from the golden file:\nwant %x\ngot  %x", want, encoded)
	}
}

// TestGoldenSnapshotBytes compares a snapshot with a golden file byte for byte. The snapshot's maps have one key each, so
// that the order is fixed.
func TestGoldenSnapshotBytes(t *testing.T) {
	s := goldenStore()
	for _, id := range []string{"s0", "s1"} {
		s.Apply(Command{Kind: DeregisterInstance, ID: id})
	}
	var encoded bytes.Buffer
	if err := s.WriteSnapshot(&encoded); err != nil {
		t.Fatal(err)
	}
	if len(s.instances) != 1 || len(s.replicaAddresses) != 1 {
		t.Fatalf("%d instances and %d replica addresses: want 1 of each, so that the order of keys is fixed", len(s.instances), len(s.replicaAddresses))
	}
	golden.Check(t, "snapshot-one", encoded.Bytes())
	raw := golden.Read(t, "snapshot-one")
	restored, err := ReadSnapshot(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	checkSameStore(t, s, restored)
	var reencoded bytes.Buffer
	if err := restored.WriteSnapshot(&reencoded); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(raw, reencoded.Bytes()) {
		t.Error("writing a restored snapshot again: got other bytes than those in snapshot-one")
	}
}

// checkSameStore fails unless both stores have the same data in their snapshots, and derive the same data from it.
func checkSameStore(t *testing.T, want, got *Store) {
	t.Helper()
	if diff := cmp.Diff(want.image(), got.image(), cmp.AllowUnexported(snapshotImage{}, change{}, cachedResponse{})); diff != "" {
		t.Error("stored data differs (-want +got):", diff)
	}
	if !maps.Equal(want.responses.byRequest, got.responses.byRequest) {
		t.Error("cached responses differ (-want +got):", cmp.Diff(want.responses.byRequest, got.responses.byRequest))
	}
	if diff := cmp.Diff(want.FullList(), got.FullList()); diff != "" {
		t.Error("full lists differ (-want +got):", diff)
	}
}

// canonicalImage returns the image in a snapshot, encoded with sorted map keys.
func canonicalImage(t *testing.T, snapshot []byte) []byte {
	t.Helper()
	const headerLength = 14 + 1 + 8 + 8 // magic, version, length, checksum
	var generic any
	if err := cbor.Unmarshal(snapshot[headerLength:], &generic); err != nil {
		t.Fatal(err)
	}
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := mode.Marshal(generic)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// openLeader opens a single replica in a data directory, and waits until it is the leader.
func openLeader(t *testing.T, dataDir string) *Replica {
	t.Helper()
	addr, transport := raft.NewInmemTransport("r0.raft")
	r, err := Open(ReplicaConfig{ID: "r0", RaftAddress: string(addr), APIAddress: "10.2.0.1:8500", DataDir: dataDir,
		InitialReplicas: map[string]string{"r0": string(addr)}, transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(maxWatchWait); ; time.Sleep(tickInterval / 10) {
		if age, ok := r.Age(); ok && age < defaultMaxAge {
			return r
		}
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the replica to become the leader")
		}
	}
}

// TestGoldenFolder opens a copy of a replica's data directory, which holds a snapshot and later commands.
func TestGoldenFolder(t *testing.T) {
	dataDir := t.TempDir()
	extractTarGz(t, golden.Read(t, "folder.tar.gz"), dataDir)
	r := openLeader(t, dataDir)
	defer func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	var list EndpointList
	var addresses map[string]string
	r.store.view(func(s *Store) { list, addresses = s.FullList(), maps.Clone(s.replicaAddresses) })
	s1, s3 := goldenEndpoint("s1", "pay"), goldenEndpoint("s3", "pay")
	s1.Phase = PhaseDraining
	want := EndpointList{Revision: 1<<32 + 7, Complete: true, Endpoints: []Endpoint{goldenEndpoint("s0", ""), s1, s3}}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Error("list of the opened replica differs (-want +got):", diff)
	}
	if want := map[string]string{"r0": "10.2.0.1:8500", "r1": "10.2.0.2:8500"}; !maps.Equal(want, addresses) {
		t.Errorf("HTTP addresses of the replicas: got %v, want %v", addresses, want)
	}
	result, err := r.Propose(Command{Kind: SetInstancePhase, RequestID: "q5", ID: "s1", Phase: PhaseDraining})
	if err != nil || result.Revision != 1<<32+5 {
		t.Errorf("retry of request q5: got %+v, error %v; want its first result, at revision 1<<32+5", result, err)
	}
	if result, err := r.Propose(Command{Kind: DeregisterInstance, ID: "s0"}); err != nil || result.Revision != want.Revision+1 {
		t.Errorf("deregistering s0: got %+v, error %v; want the list's revision plus 1", result, err)
	}
}

func extractTarGz(t *testing.T, raw []byte, dir string) {
	t.Helper()
	uncompressed, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	for tarReader := tar.NewReader(uncompressed); ; {
		header, err := tarReader.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, header.Name)
		if header.FileInfo().IsDir() {
			err = os.MkdirAll(path, 0o700)
		} else {
			var data []byte
			if data, err = io.ReadAll(tarReader); err == nil {
				err = errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, data, 0o600))
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}
