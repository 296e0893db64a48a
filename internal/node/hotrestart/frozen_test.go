package hotrestart

import (
	"bytes"
	"encoding/json"
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// The tests in this file check formats that other versions of the program read. The golden files were written by the
// code of commit 4650eee; they must not be regenerated.

// The golden state and progress message contain no key unknown to this version, and encode to the same bytes again.
func TestHandoverMessageFormatIsUnchanged(t *testing.T) {
	for _, name := range []string{"handover_state.json", "handover_progress.json"} {
		want := nodetest.ReadGolden(t, name)
		decoder := json.NewDecoder(bytes.NewReader(want))
		decoder.DisallowUnknownFields()
		var state State
		if err := decoder.Decode(&state); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		var got []byte
		var err error
		if name == "handover_state.json" {
			got, err = json.Marshal(state)
			if endpoints := state.Endpoints; len(endpoints) != 2 || endpoints[0].Availability != policy.Draining || endpoints[1].Availability != policy.Removed {
				t.Errorf("%s: got endpoints %+v, want 2, the first draining and the second removed", name, endpoints)
			}
		} else {
			var out bytes.Buffer
			err = json.NewEncoder(&out).Encode(state)
			got = out.Bytes()
		}
		if err != nil {
			t.Fatal(err)
		}
		nodetest.AssertEqualBytes(t, name, got, want)
	}
}

// The path of the socket for successors contains the project's former name, wayhold, because other versions use the same
// path. It is empty if the node has no such socket, because it has no folder or no fixed port.
func TestHandoverSocketPath(t *testing.T) {
	for _, c := range []struct{ address, dir, want string }{
		{"127.0.0.1:8080", "/tmp/n0", "/tmp/n0/wayhold-127.0.0.1-8080.sock"},
		{":8080", "/tmp", "/tmp/wayhold--8080.sock"},
		{"[::1]:8080", "/tmp/", "/tmp/wayhold-[--1]-8080.sock"},
		{"server.svc:80", "relative", "relative/wayhold-server.svc-80.sock"},
		{"127.0.0.1:0", "/tmp", ""},
		{"127.0.0.1", "/tmp", ""},
		{"127.0.0.1:8080", "", ""},
	} {
		if got := (Identity{Address: c.address, Dir: c.dir}).SocketPath(); got != c.want {
			t.Errorf("socket path for address %q and folder %q: got %q, want %q", c.address, c.dir, got, c.want)
		}
	}
}

// scriptedPredecessor sends the listening socket and the JSON of a state to the first successor that connects.
func scriptedPredecessor(t *testing.T, id Identity, clients net.Listener, state []byte) (successor <-chan *net.UnixConn, wrote <-chan error) {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: id.SocketPath(), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nodetest.Close(t, l) })
	conns, done := make(chan *net.UnixConn, 1), make(chan error, 1)
	go func() {
		done <- func() error {
			conn, err := l.AcceptUnix()
			if err != nil {
				return err
			}
			conns <- conn
			f, err := clients.(*net.TCPListener).File()
			if err != nil {
				return err
			}
			if _, _, err = conn.WriteMsgUnix([]byte("\n"), unix.UnixRights(int(f.Fd())), nil); err != nil {
				return err
			}
			if err := f.Close(); err != nil {
				return err
			}
			_, err = conn.Write(state)
			return err
		}()
	}()
	return conns, done
}

// A successor reads the golden messages of a predecessor, and sends it the byte S, which tells that the successor serves.
func TestSuccessorReadsGoldenMessages(t *testing.T) {
	clients, id := testNode(t)
	state := bytes.Replace(nodetest.ReadGolden(t, "handover_state.json"), []byte(`"Listen":"127.0.0.1:8080"`), []byte(`"Listen":"`+id.Address+`"`), 1)
	conns, wrote := scriptedPredecessor(t, id, clients, state)
	predecessor, err := TakeOver(id)
	if err != nil {
		t.Fatalf("TakeOver: %v", err)
	}
	if err := nodetest.Receive(t, "the predecessor's messages", wrote); err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, predecessor.Clients)
	got, err := json.Marshal(predecessor.State)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.AssertEqualBytes(t, "the state that the successor received", got, state)
	if predecessor.Clients.Addr().String() != id.Address {
		t.Errorf("address of the listening socket: got %v, want the address of the node", predecessor.Clients.Addr())
	}

	conn := nodetest.Receive(t, "the connection", conns)
	received := make(chan Progress, 8)
	go predecessor.Follow(func() {}, func(p Progress, ended bool) {
		if ended {
			close(received)
			return
		}
		received <- p
	})
	buf := make([]byte, 16)
	if n, err := conn.Read(buf); err != nil || string(buf[:n]) != "S" {
		t.Fatalf("read from the successor: got %q, error %v, want S", buf[:n], err)
	}
	progress := nodetest.ReadGolden(t, "handover_progress.json")
	if _, err := conn.Write(progress); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	last := nodetest.Receive(t, "the progress", received)
	if err := json.NewEncoder(&out).Encode(State{Sockets: last.Sockets, InFlight: last.InFlight}); err != nil {
		t.Fatal(err)
	}
	nodetest.AssertEqualBytes(t, "the progress that the successor received", out.Bytes(), progress)
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if further, more := <-received; more {
		t.Errorf("after the end of the predecessor: got progress %+v, want none", further)
	}
}
