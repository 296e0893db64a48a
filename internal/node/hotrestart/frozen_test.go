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

// The tests in this file pin forms that another version of the program reads. The golden files were written by the code
// of commit 4650eee; they are never written anew.

// The state that a process hands over, and the messages in which it says what it still holds, are read whole and written
// back byte for byte.
func TestHandoverMessagesKeepTheirForm(t *testing.T) {
	for _, name := range []string{"handover_state.json", "handover_progress.json"} {
		want := nodetest.Golden(t, name)
		strict := json.NewDecoder(bytes.NewReader(want))
		strict.DisallowUnknownFields()
		var in State
		if err := strict.Decode(&in); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		var got []byte
		var err error
		if name == "handover_state.json" {
			got, err = json.Marshal(in)
			if a := in.Endpoints; len(a) != 2 || a[0].Availability != policy.Draining || a[1].Availability != policy.Removed {
				t.Errorf("%s: endpoints %+v", name, a)
			}
		} else {
			var out bytes.Buffer
			err = json.NewEncoder(&out).Encode(in)
			got = out.Bytes()
		}
		if err != nil {
			t.Fatal(err)
		}
		nodetest.SameBytes(t, name, got, want)
	}
}

// The socket at which a successor calls is where other versions look for it.
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
			t.Errorf("address %q, folder %q: %q, want %q", c.address, c.dir, got, c.want)
		}
	}
}

// scriptedPredecessor hands the listening socket and the text of a state to the first successor that calls.
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

// A predecessor of any version meets a successor that takes its messages and answers with one byte.
func TestHandoverTranscriptOfTheSuccessor(t *testing.T) {
	clients, id := testNode(t)
	state := bytes.Replace(nodetest.Golden(t, "handover_state.json"), []byte(`"Listen":"127.0.0.1:8080"`), []byte(`"Listen":"`+id.Address+`"`), 1)
	conns, wrote := scriptedPredecessor(t, id, clients, state)
	p, err := TakeOver(id)
	if err != nil {
		t.Fatalf("no hand-over: %v", err)
	}
	if err := nodetest.Receive(t, "the predecessor's messages", wrote); err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, p.Clients)
	got, err := json.Marshal(p.State)
	if err != nil {
		t.Fatal(err)
	}
	nodetest.SameBytes(t, "what the successor took", got, state)
	if p.Clients.Addr().String() != id.Address {
		t.Errorf("the listening socket is at %v", p.Clients.Addr())
	}

	conn := nodetest.Receive(t, "the connection", conns)
	received := make(chan Progress, 8)
	go p.Follow(func() {}, func(of Progress, ended bool) {
		if ended {
			close(received)
			return
		}
		received <- of
	})
	word := make([]byte, 16)
	if n, err := conn.Read(word); err != nil || string(word[:n]) != "S" {
		t.Fatalf("the successor wrote %q, %v", word[:n], err)
	}
	progress := nodetest.Golden(t, "handover_progress.json")
	if _, err := conn.Write(progress); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	took := nodetest.Receive(t, "the progress", received)
	if err := json.NewEncoder(&out).Encode(State{Sockets: took.Sockets, InFlight: took.InFlight}); err != nil {
		t.Fatal(err)
	}
	nodetest.SameBytes(t, "what the successor received", out.Bytes(), progress)
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if left, more := <-received; more {
		t.Errorf("after the predecessor's end: %+v", left)
	}
}
