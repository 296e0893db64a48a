package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// A state is written as json.Marshal does it, since other versions read it: with and without servers, and with names that
// look like its own keys.
func TestStateIsWrittenLikeItsJSON(t *testing.T) {
	full := State{Version: protocolVersion, Name: `"Members":null`, Address: "a<b>:1", Endpoints: []endpointState{
		{ID: "s1", Zone: `"Servers":null`, Weight: 1.5, Address: "127.0.0.1:1"}, {ID: `quoted " name`, StartedAt: 3}},
		Policy: policy.Snapshot{RateMultiplier: 1, Servers: map[string]policy.ServerSnapshot{"s2": {}, "s1": {StartedAt: 7}, "é\n": {}},
			Buckets: []policy.BucketSnapshot{{Tenant: `"Members":null`}}},
		Sockets: 3, InFlight: map[string]int{"s1": 2}, Executed: []uint64{1}}
	empty := full
	empty.Endpoints, empty.Policy.Servers = []endpointState{}, map[string]policy.ServerSnapshot{}
	for name, s := range map[string]State{"full": full, "empty": empty, "none": {}} {
		want, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := s.write(&got); err != nil || got.String() != string(want)+"\n" {
			t.Errorf("%s: got %s, error %v, want %s and a line end", name, got.Bytes(), err, want)
		}
	}
}

// longListProcess is a Process with a long list.
type longListProcess struct{ *fakeProcess }

func (p longListProcess) Snapshot() (state State, err error) {
	for i := range 20_000 {
		state.Endpoints = append(state.Endpoints, endpointState{ID: fmt.Sprint("server-", i), Zone: "a", Address: "127.0.0.1:9"})
	}
	return state, nil
}

// Guards against a successor that keeps what it took over for as long as its predecessor lives: the state and the buffer that
// its message was read into, both of which grow with the list.
func TestStateIsFreedOnceRestored(t *testing.T) {
	clients, id := testNode(t)
	process := longListProcess{newFakeProcess(clients)}
	state, _ := process.Snapshot()
	var message bytes.Buffer
	if err := state.write(&message); err != nil {
		t.Fatal(err)
	}
	size := int64(message.Len())
	state, message = State{}, bytes.Buffer{}
	served := make(chan error, 1)
	go func() { served <- Serve(t.Context(), id, process) }()
	nodetest.Await(t, "the socket", func() bool { _, err := os.Stat(id.SocketPath()); return err == nil })
	before := heapInUse()
	p, err := TakeOver(id)
	if err != nil || len(p.State.Endpoints) == 0 {
		t.Fatalf("take over: got %v, error %v, want a state with endpoints", p, err)
	}
	p.ReleaseState()
	if grown := heapInUse() - before; grown > size/10 {
		t.Errorf("heap after a state of %d bytes was released: grown by %d, want hardly at all", size, grown)
	}
	nodetest.CloseIgnoringClosed(t, p)
	nodetest.CloseIgnoringClosed(t, p.Clients)
}

// heapInUse returns the bytes of the reachable objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
