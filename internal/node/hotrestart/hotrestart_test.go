package hotrestart

import (
	"context"
	"errors"
	"io/fs"
	"maps"
	"net"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/nodetest"
)

// testNode is a node with a clients' listener and a folder.
func testNode(t *testing.T) (net.Listener, Identity) {
	t.Helper()
	clients := nodetest.Listener(t)
	return clients, Identity{Name: "n0", Address: clients.Addr().String(), Dir: t.TempDir()}
}

// fakeProcess notes what Serve asks of it.
type fakeProcess struct {
	clients net.Listener
	stopped chan struct{}
	resumed chan bool
}

func newFakeProcess(clients net.Listener) *fakeProcess {
	return &fakeProcess{clients: clients, stopped: make(chan struct{}, 8), resumed: make(chan bool, 8)}
}

func (p *fakeProcess) ClientsSocket() (syscall.RawConn, error) {
	return p.clients.(syscall.Conn).SyscallConn()
}

func (p *fakeProcess) Snapshot() (State, error) { return State{Sockets: 7}, nil }

func (p *fakeProcess) StopAccepting() error {
	p.stopped <- struct{}{}
	return nil
}

func (p *fakeProcess) Progress() Progress {
	return Progress{Sockets: 9, InFlight: map[string]int{"s0": 2}}
}

func (p *fakeProcess) Resume(successorServed bool) { p.resumed <- successorServed }

// serve has the process await successors until the test ends, or stop is called.
func (p *fakeProcess) serve(t *testing.T, id Identity) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, id, p) }()
	stopped := false
	stop = func() {
		cancel()
		if !stopped {
			if err := nodetest.Receive(t, "the end of Serve", ended); err != nil {
				t.Error(err)
			}
		}
		stopped = true
	}
	t.Cleanup(stop)
	nodetest.Await(t, "the socket for a successor", func() bool {
		conn, err := net.Dial("unix", id.SocketPath())
		if err != nil {
			return false
		}
		nodetest.Close(t, conn)
		return true
	})
	nodetest.Receive(t, "the end of that call", p.resumed)
	return stop
}

// The state comes over, and from when the successor serves what its predecessor still holds does too.
func TestSuccessorTakesStateAndProgress(t *testing.T) {
	clients, id := testNode(t)
	process := newFakeProcess(clients)
	stop := process.serve(t, id)
	p, err := TakeOver(id)
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, p.Clients)
	if s := p.State; s.Version != protocolVersion || s.Name != id.Name || s.Address != id.Address || s.Sockets != 7 {
		t.Errorf("took %+v", s)
	}
	if len(process.stopped) != 0 {
		t.Error("the predecessor stopped accepting before its successor served")
	}
	yielded, received, ended := make(chan struct{}), make(chan Progress, 100), make(chan struct{})
	go p.Follow(func() { close(yielded) }, func(of Progress, over bool) {
		if over {
			close(ended)
			return
		}
		received <- of
	})
	nodetest.Receive(t, "the predecessor's stop", process.stopped)
	nodetest.Receive(t, "the word that it yields", yielded)
	if got := nodetest.Receive(t, "its progress", received); got.Sockets != 9 || !maps.Equal(got.InFlight, map[string]int{"s0": 2}) {
		t.Errorf("received %+v", got)
	}
	stop()
	nodetest.Receive(t, "the word of its end", ended)
	if len(process.resumed) != 0 {
		t.Error("the predecessor resumed though it was stopped")
	}
}

// A successor that goes away leaves the node to its predecessor, which learns whether the successor had served.
func TestPredecessorResumesWithoutItsSuccessor(t *testing.T) {
	clients, id := testNode(t)
	process := newFakeProcess(clients)
	process.serve(t, id)
	for _, served := range []bool{false, true} {
		p, err := TakeOver(id)
		if err != nil {
			t.Fatal(err)
		}
		if served {
			go p.Follow(func() {}, func(Progress, bool) {})
			nodetest.Receive(t, "the predecessor's stop", process.stopped)
		}
		nodetest.Close(t, p.Clients)
		nodetest.Close(t, p)
		if got := nodetest.Receive(t, "the predecessor's resumption", process.resumed); got != served {
			t.Errorf("served %v: resumed with %v", served, got)
		}
	}
}

// Why there is no hand-over can be told apart.
func TestFailedTakeOverGivesTheCause(t *testing.T) {
	clients, id := testNode(t)
	if _, err := TakeOver(id); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a predecessor: %v", err)
	}
	newFakeProcess(clients).serve(t, id)
	other := id
	other.Name = "n1"
	_, err := TakeOver(other)
	if !errors.Is(err, ErrOtherNode) || !strings.Contains(err.Error(), `"n0" at `+id.Address+", version 1") {
		t.Errorf("from another node: %v", err)
	}
}

// What comes in place of the listening socket is named, and no descriptor of it stays open.
func TestWrongRightsAreNamed(t *testing.T) {
	t.Parallel()
	var pipe [2]int
	if err := unix.Pipe2(pipe[:], unix.O_NONBLOCK|unix.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := unix.Close(pipe[0]); err != nil {
			t.Error(err)
		}
	}()
	again, err := unix.Dup(pipe[1])
	if err != nil {
		t.Fatal(err)
	}
	two := unix.UnixRights(pipe[1], again)
	for name, c := range map[string]struct {
		rights []byte
		want   string
	}{
		"nothing": {nil, "got 0"}, "cut short": {two[:4], "listening socket: "}, "two sockets": {two, "got 2"},
	} {
		l, err := listenerFrom(c.rights)
		if l != nil || !errors.Is(err, ErrListeningSocket) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "%!") {
			t.Errorf("%s: listener %v, error %v", name, l, err)
		}
	}
	// Only where both of its other ends are closed does a pipe end.
	if n, err := unix.Read(pipe[0], make([]byte, 1)); n != 0 || err != nil {
		t.Errorf("a descriptor that came unasked is still open: %d, %v", n, err)
	}
}
