package registry

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/raft"
)

// The files in testdata are stored and sent forms as an earlier release wrote them. Replicas, agents and nodes of
// that release run beside newer ones, so the forms must not change: these tests read the files, and write them again
// byte for byte where the form is deterministic. A file that is missing is written, and the test fails once; a file
// that is there is never overwritten.

// golden returns a file of testdata. A missing one is written with what the code gives now.
func golden(t *testing.T, name string, now []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, now, 0o644); err != nil {
			t.Fatal(err)
		}
		t.Fatalf("%s was missing, and is written: run the test again", path)
	}
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func goldenEntry(id, service string) Endpoint {
	return Endpoint{ID: id, Address: "10.1.0.18:9000", Zone: "cairo-1", Kind: "big-box", Cell: 3, Phase: PhaseUp, Size: 1.5,
		StartTimeMs: 1_700_000_000_123, Service: service}
}

// namedCommand is a command with a label for the golden file.
type namedCommand struct {
	name    string
	command Command
}

// goldenCommands has each kind, with few and with many fields. Applied in this order they fill a state.
var goldenCommands = []namedCommand{
	{"lead", Command{Kind: RestartLeases}},
	{"set-peer-r0", Command{Kind: SetReplicaAddress, ID: "r0", Endpoint: Endpoint{Address: "10.2.0.1:8500"}}},
	{"set-peer-r1", Command{Kind: SetReplicaAddress, ID: "r1", Endpoint: Endpoint{Address: "10.2.0.2:8500"}}},
	{"register", Command{Kind: RegisterInstance, ID: "s0", Endpoint: goldenEntry("s0", ""), TTL: DefaultTTL}},
	{"register-service", Command{Kind: RegisterInstance, RequestID: "q1", ID: "s1", Endpoint: goldenEntry("s1", "pay"), TTL: MaxTTL}},
	{"register-service-2", Command{Kind: RegisterInstance, RequestID: "q2", ID: "s2", Endpoint: goldenEntry("s2", "pay"), TTL: MaxTTL}},
	{"register-service-3", Command{Kind: RegisterInstance, ID: "s3", Endpoint: goldenEntry("s3", "pay"), TTL: MaxTTL}},
	{"register-if-match", Command{Kind: RegisterInstance, RequestID: "q3", ID: "s3", IfMatch: 1<<32 + 4, Endpoint: goldenEntry("s3", "mail"),
		TTL: time.Minute}},
	{"register-mismatch", Command{Kind: RegisterInstance, RequestID: "q4", ID: "s3", IfMatch: 7, Endpoint: goldenEntry("s3", "mail"),
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

func goldenState() *Store {
	s := NewStore()
	for _, n := range goldenCommands {
		s.Apply(n.command)
	}
	s.appliedIndex = 4711
	return s
}

func TestGoldenCommands(t *testing.T) {
	all := append(slices.Clone(goldenCommands), goldenNewEpoch)
	var now strings.Builder
	for _, n := range all {
		raw, err := cbor.Marshal(n.command)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&now, "%s %x\n", n.name, raw)
	}
	want := string(golden(t, "commands.cbor.hex", []byte(now.String())))
	if diff := cmp.Diff(want, now.String()); diff != "" {
		t.Error("commands are written otherwise (-golden +now):", diff)
	}
	lines := strings.Split(strings.TrimSpace(want), "\n")
	if len(lines) != len(all) {
		t.Fatalf("%d commands in the file, want %d", len(lines), len(all))
	}
	for i, line := range lines {
		_, text, _ := strings.Cut(line, " ")
		raw, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		var got Command
		if err := cbor.Unmarshal(raw, &got); err != nil || got != all[i].command {
			t.Errorf("%s is read as %+v, %v", line, got, err)
		}
	}
}

// TestGoldenSnapshot reads a snapshot with several instances, whose maps are written in any order.
func TestGoldenSnapshot(t *testing.T) {
	s := goldenState()
	var now bytes.Buffer
	if err := s.WriteSnapshot(&now); err != nil {
		t.Fatal(err)
	}
	raw := golden(t, "snapshot", now.Bytes())
	back, err := ReadSnapshot(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	checkSameState(t, s, back)
	if before, now := canonicalImage(t, raw), canonicalImage(t, now.Bytes()); !bytes.Equal(before, now) {
		t.Errorf("a snapshot is written otherwise:\ngolden %x\nnow    %x", before, now)
	}
}

// TestGoldenSnapshotBytes writes a snapshot whose maps have one key each, byte for byte.
func TestGoldenSnapshotBytes(t *testing.T) {
	s := goldenState()
	for _, id := range []string{"s0", "s1"} {
		s.Apply(Command{Kind: DeregisterInstance, ID: id})
	}
	var now bytes.Buffer
	if err := s.WriteSnapshot(&now); err != nil {
		t.Fatal(err)
	}
	if len(s.instances) != 1 || len(s.replicaAddresses) != 1 {
		t.Fatalf("%d instances and %d peers: the order of their keys isn't given", len(s.instances), len(s.replicaAddresses))
	}
	raw := golden(t, "snapshot-one", now.Bytes())
	if !bytes.Equal(raw, now.Bytes()) {
		t.Errorf("a snapshot is written otherwise:\ngolden %x\nnow    %x", raw, now.Bytes())
	}
	back, err := ReadSnapshot(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	checkSameState(t, s, back)
	var again bytes.Buffer
	if err := back.WriteSnapshot(&again); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(raw, again.Bytes()) {
		t.Error("a snapshot that was read is written otherwise")
	}
}

// checkSameState compares what a snapshot holds, and what is derived from it.
func checkSameState(t *testing.T, want, got *Store) {
	t.Helper()
	if diff := cmp.Diff(want.image(), got.image(), cmp.AllowUnexported(snapshotImage{}, change{}, cachedResponse{})); diff != "" {
		t.Error("the state differs (-want +got):", diff)
	}
	if !maps.Equal(want.responses.byRequest, got.responses.byRequest) {
		t.Error("the answers to requests differ:", cmp.Diff(want.responses.byRequest, got.responses.byRequest))
	}
	if diff := cmp.Diff(want.FullList(), got.FullList()); diff != "" {
		t.Error("the lists differ (-want +got):", diff)
	}
}

// canonicalImage is the body of a snapshot with the keys of its maps sorted.
func canonicalImage(t *testing.T, snapshot []byte) []byte {
	t.Helper()
	const head = 14 + 1 + 8 + 8 // mark, version, length, hash
	var generic any
	if err := cbor.Unmarshal(snapshot[head:], &generic); err != nil {
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

// openAlone opens the only replica of a folder, and waits until it leads.
func openAlone(t *testing.T, folder string) *Replica {
	t.Helper()
	addr, transport := raft.NewInmemTransport("r0.raft")
	r, err := Open(ReplicaConfig{ID: "r0", RaftAddress: string(addr), APIAddress: "10.2.0.1:8500", DataDir: folder,
		InitialReplicas: map[string]string{"r0": string(addr)}, transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(maxWatchWait); ; time.Sleep(tickInterval / 10) {
		if age, ok := r.Age(); ok && age < defaultMaxAge {
			return r
		}
		if time.Now().After(until) {
			t.Fatal("no replica leads")
		}
	}
}

// TestGoldenFolder opens a copy of a replica's folder: a snapshot, and commands after it.
func TestGoldenFolder(t *testing.T) {
	const name = "folder.tar.gz"
	if _, err := os.Stat(filepath.Join("testdata", name)); errors.Is(err, fs.ErrNotExist) {
		golden(t, name, writeFolder(t))
	}
	raw := golden(t, name, nil)
	folder := t.TempDir()
	unpack(t, raw, folder)
	r := openAlone(t, folder)
	defer func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	var list EndpointList
	var peers map[string]string
	r.store.view(func(s *Store) { list, peers = s.FullList(), maps.Clone(s.replicaAddresses) })
	s1, s3 := goldenEntry("s1", "pay"), goldenEntry("s3", "pay")
	s1.Phase = PhaseDraining
	want := EndpointList{Revision: 1<<32 + 7, Complete: true, Endpoints: []Endpoint{goldenEntry("s0", ""), s1, s3}}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Error("the list differs (-want +got):", diff)
	}
	if want := map[string]string{"r0": "10.2.0.1:8500", "r1": "10.2.0.2:8500"}; !maps.Equal(want, peers) {
		t.Errorf("the replicas' addresses are %v, want %v", peers, want)
	}
	res, err := r.Propose(Command{Kind: SetInstancePhase, RequestID: "q5", ID: "s1", Phase: PhaseDraining})
	if err != nil || res.Revision != 1<<32+5 {
		t.Errorf("a request that was answered before gets %+v, %v, want the answer of then", res, err)
	}
	if res, err := r.Propose(Command{Kind: DeregisterInstance, ID: "s0"}); err != nil || res.Revision != want.Revision+1 {
		t.Errorf("the next change gives %+v, %v", res, err)
	}
}

// writeFolder makes an archive of a replica's folder that has a snapshot and commands after it.
func writeFolder(t *testing.T) []byte {
	folder := t.TempDir()
	r := openAlone(t, folder)
	apply(t, r,
		Command{Kind: SetReplicaAddress, ID: "r1", Endpoint: Endpoint{Address: "10.2.0.2:8500"}},
		Command{Kind: RegisterInstance, Endpoint: goldenEntry("s0", ""), TTL: MaxTTL},
		Command{Kind: RegisterInstance, RequestID: "q1", Endpoint: goldenEntry("s1", "pay"), TTL: MaxTTL},
		Command{Kind: RegisterInstance, Endpoint: goldenEntry("s2", "pay"), TTL: MaxTTL},
		Command{Kind: RenewLease, ID: "s0"})
	if err := r.raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	apply(t, r,
		Command{Kind: RegisterInstance, Endpoint: goldenEntry("s3", "pay"), TTL: MaxTTL},
		Command{Kind: SetInstancePhase, RequestID: "q5", ID: "s1", Phase: PhaseDraining},
		Command{Kind: SetInstancePhase, ID: "s2", Phase: PhaseDraining},
		Command{Kind: DeregisterInstance, RequestID: "q6", ID: "s2"})
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	return pack(t, folder)
}

func pack(t *testing.T, folder string) []byte {
	t.Helper()
	var b bytes.Buffer
	zip := gzip.NewWriter(&b)
	archive := tar.NewWriter(zip)
	if err := archive.AddFS(os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(archive.Close(), zip.Close()); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func unpack(t *testing.T, raw []byte, folder string) {
	t.Helper()
	zip, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	for archive := tar.NewReader(zip); ; {
		head, err := archive.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, head.Name)
		if head.FileInfo().IsDir() {
			err = os.MkdirAll(path, 0o700)
		} else {
			var data []byte
			if data, err = io.ReadAll(archive); err == nil {
				err = errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, data, 0o600))
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// varying are the parts of answers that differ from run to run.
var varying = regexp.MustCompile(`"(age_ms|index)":[0-9]+|(?m)^(X-Registry-Age-Ms: |registry_age_seconds )[0-9.e+-]+$`)

// transcript lists what a call is answered with: the status, the headers that have a meaning here, and the body.
func transcript(t *testing.T, b *strings.Builder, method, url, path, body string, header map[string]string) {
	t.Helper()
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range header {
		req.Header.Set(key, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(b, "> %s %s %s\n%d\n", method, path, body, resp.StatusCode)
	for _, key := range slices.Sorted(maps.Keys(resp.Header)) {
		if key != "Date" && key != "Content-Length" {
			fmt.Fprintf(b, "%s: %s\n", key, strings.Join(resp.Header[key], "|"))
		}
	}
	fmt.Fprintf(b, "%s\n\n", answer)
}

func masked(text string) string {
	return varying.ReplaceAllStringFunc(text, func(part string) string {
		return strings.TrimRight(part, "0123456789.e+-") + "N"
	})
}

// TestGoldenAnswers goes through the calls that nodes, agents and operators make, wrong ones among them.
func TestGoldenAnswers(t *testing.T) {
	r := openAlone(t, t.TempDir())
	replica := NewServer(r, ServerConfig{})
	server, control := httptest.NewServer(replica), httptest.NewServer(replica.adminHandler())
	defer func() {
		server.Close()
		control.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	var b strings.Builder
	for _, call := range []struct {
		method, path, body string
		header             map[string]string
	}{
		{method: "GET", path: "/registry/instances"},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"X-Request-Id": "q0"},
			body: `{"host_port":"10.1.0.18:9000","locality":"cairo-1","flavor":"big-box","cell":3,"phase":"up","size":1.5,"up_since_ms":1700000000123,"lease_ms":60000,"service":"pay"}`},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"X-Request-Id": "q0"}, body: `{"host_port":"10.1.0.18:9000"}`},
		{method: "PUT", path: "/registry/instances/s1", body: `{"host_port":"10.1.0.19:9000"}`},
		{method: "PUT", path: "/registry/instances/s2", body: `{"host_port":"10.1.0.20:9000","size":0,"service":"mail"}`},
		{method: "PUT", path: "/registry/instances/s0/lease"},
		{method: "PUT", path: "/registry/instances/s0/lease", header: map[string]string{"If-Match": `"7"`}},
		{method: "PUT", path: "/registry/instances/s0/phase", body: `{"phase":"draining"}`, header: map[string]string{"If-Match": `"4294967297"`}},
		{method: "PUT", path: "/registry/instances/s9/lease"},
		{method: "DELETE", path: "/registry/instances/s9"},
		{method: "DELETE", path: "/registry/instances/s2"},
		{method: "GET", path: "/registry/instances"},
		{method: "GET", path: "/registry/instances?index=4294967297&wait=1000"},
		{method: "GET", path: "/registry/instances?index=4294967300&wait=0"},
		{method: "GET", path: "/registry/instances?index=9000000000&wait=0"},
		{method: "GET", path: "/registry/instances?index=4294967300"},
		{method: "GET", path: "/registry/instances?service=pay"},
		{method: "GET", path: "/registry/instances?service=pay,none&subset=1&position=0&nodes=2&zone=cairo-1"},
		{method: "GET", path: "/registry/instances?service=pay&index=4294967297&wait=1000"},
		{method: "GET", path: "/registry/instances?service=mail&index=4294967299&wait=1000"},
		{method: "GET", path: "/registry/instances?service=pay&index=4294967301&wait=0"},
		{method: "GET", path: "/registry/instances?service=none"},
		{method: "GET", path: "/registry/instances?service="},
		{method: "GET", path: "/registry/instances?subset=3"},
		{method: "GET", path: "/registry/instances?service=pay&zone=z"},
		{method: "GET", path: "/registry/instances?service=pay&subset=0&position=0&nodes=1"},
		{method: "GET", path: "/registry/instances?index=x"},
		{method: "GET", path: "/registry/status"},
		{method: "GET", path: "/registry/fresh"},
		{method: "GET", path: "/registry/none"},
		{method: "POST", path: "/registry/instances"},
		{method: "POST", path: "/registry/instances/s0"},
		{method: "PUT", path: "/registry/instances/s0/other"},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"port":3}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"here"}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","phase":"removed"}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","size":-1}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","up_since_ms":-1}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","service":"a b"}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","lease_ms":999}`},
		{method: "PUT", path: "/registry/instances/s0", body: `{"host_port":"a:1","locality":"` + strings.Repeat("z", maxFieldBytes+1) + `"}`},
		{method: "PUT", path: "/registry/instances/", body: `{"host_port":"a:1"}`},
		{method: "PUT", path: "/registry/instances/s0/phase", body: `{"phase":"removed"}`},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"If-Match": "x"}},
		{method: "PUT", path: "/registry/instances/s0", header: map[string]string{"X-Request-Id": strings.Repeat("q", maxFieldBytes+1)}},
		{method: "PUT", path: "/registry/replicas/r1", body: `{"raft":"10.2.0.2:8501"}`},
		{method: "PUT", path: "/registry/replicas/r1", body: `{"raft":3}`},
		{method: "POST", path: "/registry/replicas/r1"},
		{method: "DELETE", path: "/registry/replicas/r9"},
	} {
		transcript(t, &b, call.method, server.URL, call.path, call.body, call.header)
	}
	transcript(t, &b, "GET", control.URL, "/healthcheck", "", nil)
	transcript(t, &b, "GET", control.URL, "/stats", "", nil)
	now := masked(b.String())
	if diff := cmp.Diff(string(golden(t, "answers.txt", []byte(now))), now); diff != "" {
		t.Error("answers differ (-golden +now):", diff)
	}
}

// TestGoldenRefusals has the answers of a replica that doesn't lead, and of one with no room.
func TestGoldenRefusals(t *testing.T) {
	addr, transport := raft.NewInmemTransport("r0.raft")
	r, err := Open(ReplicaConfig{ID: "r0", RaftAddress: string(addr), DataDir: t.TempDir(), transport: transport})
	if err != nil {
		t.Fatal(err)
	}
	replica := NewServer(r, ServerConfig{MaxWatches: 1})
	server, control := httptest.NewServer(replica), httptest.NewServer(replica.adminHandler())
	defer func() {
		server.Close()
		control.Close()
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	}()
	var b strings.Builder
	for _, call := range [][2]string{{"GET", "/registry/instances"}, {"GET", "/registry/instances?service=a"},
		{"PUT", "/registry/instances/s0/lease"}, {"GET", "/registry/fresh"}, {"GET", "/registry/status"},
		{"DELETE", "/registry/replicas/r9"}} {
		transcript(t, &b, call[0], server.URL, call[1], "", nil)
	}
	transcript(t, &b, "GET", control.URL, "/healthcheck", "", nil)
	transcript(t, &b, "GET", control.URL, "/stats", "", nil)
	replica.watches <- struct{}{}
	transcript(t, &b, "GET", server.URL, "/registry/instances?index=1&wait=1000", "", nil)
	for range cap(replica.writes) {
		replica.writes <- struct{}{}
	}
	transcript(t, &b, "DELETE", server.URL, "/registry/instances/s0", "", nil)
	for _, err := range []error{&NotLeaderError{LeaderAddress: "10.2.0.2:8500"}, &NotLeaderError{}, ErrNotCommitted} {
		b.WriteString(recorded(func(w http.ResponseWriter, req *http.Request) { replica.respondWrite(w, req, "s0", Result{}, err) }))
	}
	for _, code := range []ResultCode{ResultNotFound, ResultVersionMismatch, ResultTooManyInstances, ResultUnknownCommand} {
		res := Result{Code: code, Instance: Instance{Version: 7}}
		b.WriteString(recorded(func(w http.ResponseWriter, req *http.Request) { replica.respondWrite(w, req, "s0", res, code.Err()) }))
	}
	now := masked(b.String())
	if diff := cmp.Diff(string(golden(t, "refusals.txt", []byte(now))), now); diff != "" {
		t.Error("answers differ (-golden +now):", diff)
	}
}

// recorded is what a handler answers to a write.
func recorded(handle http.HandlerFunc) string {
	w := httptest.NewRecorder()
	handle(w, httptest.NewRequest("PUT", "/registry/instances/s0/lease?x=1", nil))
	var b strings.Builder
	fmt.Fprintln(&b, w.Code)
	for _, key := range slices.Sorted(maps.Keys(w.Header())) {
		fmt.Fprintf(&b, "%s: %s\n", key, strings.Join(w.Header()[key], "|"))
	}
	fmt.Fprintf(&b, "%s\n\n", w.Body)
	return b.String()
}

// TestGoldenAgentCalls has the calls of an agent through the life of a server.
func TestGoldenAgentCalls(t *testing.T) {
	var mu sync.Mutex
	var b strings.Builder
	ctx, leave := context.WithCancel(t.Context())
	renewals := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		body, _ := io.ReadAll(req.Body)
		fmt.Fprintf(&b, "%s %s id:%v match:%q %s\n", req.Method, req.URL.RequestURI(), req.Header.Get("X-Request-Id") != "",
			req.Header.Get("If-Match"), body)
		if strings.HasSuffix(req.URL.Path, "/lease") {
			if renewals++; renewals == 1 {
				http.Error(w, "not found", http.StatusNotFound)
				return
			}
			leave()
		}
	}))
	defer server.Close()
	client := NewClient([]string{strings.TrimPrefix(server.URL, "http://")})
	agent := &Agent{Client: client, Endpoint: goldenEntry("s0", "pay"), TTL: 300 * time.Millisecond}
	if err := agent.Run(ctx, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if err := client.Do(t.Context(), http.MethodDelete, instancesPath+"/s0", nil, nil, 7); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(golden(t, "agent-calls.txt", []byte(b.String()))), b.String()); diff != "" {
		t.Error("an agent's calls differ (-golden +now):", diff)
	}
}

// TestGoldenConfig reads a replica's file with all keys.
func TestGoldenConfig(t *testing.T) {
	golden(t, "replica.toml", []byte(`id = "r1"
listen = "10.2.0.2:8500"
raft = "10.2.0.2:8501"
bind = "0.0.0.0:8501"
control = "10.2.0.2:8502"
folder = "/var/lib/sloerail"
watches = 512

[peers]
r0 = "10.2.0.1:8501"
r1 = "10.2.0.2:8501"
r2 = "10.2.0.3:8501"
`))
	got, err := LoadConfig(filepath.Join("testdata", "replica.toml"))
	want := Config{ID: "r1", ListenAddress: "10.2.0.2:8500", RaftAddress: "10.2.0.2:8501", RaftBindAddress: "0.0.0.0:8501", AdminAddress: "10.2.0.2:8502",
		DataDir: "/var/lib/sloerail", MaxWatches: 512,
		InitialReplicas: map[string]string{"r0": "10.2.0.1:8501", "r1": "10.2.0.2:8501", "r2": "10.2.0.3:8501"}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestStoredFieldsHaveExplicitKeys holds that no stored or sent form takes a key from a Go name.
func TestStoredFieldsHaveExplicitKeys(t *testing.T) {
	for tag, forms := range map[string][]any{
		"cbor": {Command{}, snapshotImage{}, Instance{}, Endpoint{}, Result{}, change{}, Placement{}, cachedResponse{}},
		"json": {EndpointList{}, Endpoint{}, registration{}, WriteResponse{}, Status{}, ReplicaStatus{}, progressResponse{}},
		"toml": {Config{}},
	} {
		for _, form := range forms {
			of := reflect.TypeOf(form)
			for field := range of.Fields() {
				if key, _, _ := strings.Cut(field.Tag.Get(tag), ","); key == "" {
					t.Errorf("%s.%s has no explicit %s key", of, field.Name, tag)
				}
			}
		}
	}
}
