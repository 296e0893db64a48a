package hotrestart

import (
	"context"
	"errors"
	"io/fs"
	"maps"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/nodetest"
)

// testNode returns the clients' listener and the identity of a new node.
func testNode(t *testing.T) (net.Listener, Identity) {
	t.Helper()
	clients := nodetest.Listener(t)
	return clients, Identity{Name: "n0", Address: clients.Addr().String(), Dir: t.TempDir()}
}

// fakeProcess is a Process that records calls of StopAccepting and Resume.
type fakeProcess struct {
	clients  net.Listener
	stopped  chan struct{}
	resumed  chan bool
	executed chan []uint64 // from the successor
}

func newFakeProcess(clients net.Listener) *fakeProcess {
	return &fakeProcess{clients: clients, stopped: make(chan struct{}, 8), resumed: make(chan bool, 8),
		executed: make(chan []uint64, 8)}
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

func (p *fakeProcess) ProgressChanged() <-chan struct{} { return nil }

func (p *fakeProcess) SuccessorExecuted(hashes []uint64) { p.executed <- hashes }

func (p *fakeProcess) Resume(successorServed bool) { p.resumed <- successorServed }

// serve runs Serve for the process until the test ends or stop is called.
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
	nodetest.Await(t, "the socket for successors", func() bool {
		conn, err := net.Dial("unix", id.SocketPath())
		if err != nil {
			return false
		}
		nodetest.Close(t, conn)
		return true
	})
	nodetest.Receive(t, "Resume after the trial connection", p.resumed)
	return stop
}

// A successor receives the state and, once it serves, its predecessor's progress.
func TestSuccessorTakesStateAndProgress(t *testing.T) {
	clients, id := testNode(t)
	process := newFakeProcess(clients)
	stop := process.serve(t, id)
	predecessor, err := TakeOver(id)
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, predecessor.Clients)
	if s := predecessor.State; s.Version != protocolVersion || s.Name != id.Name || s.Address != id.Address || s.Sockets != 7 {
		t.Errorf("state: got %+v, want the protocol version, the name and address of the node, and 7 sockets", s)
	}
	if len(process.stopped) != 0 {
		t.Error("StopAccepting was called before the successor served")
	}
	yielded, received, finished := make(chan struct{}), make(chan Progress, 100), make(chan struct{})
	go predecessor.Follow(func() { close(yielded) }, func(progress Progress, ended bool) {
		if ended {
			close(finished)
			return
		}
		received <- progress
	})
	nodetest.Receive(t, "the call of StopAccepting", process.stopped)
	nodetest.Receive(t, "the call of yielded", yielded)
	if got := nodetest.Receive(t, "the progress", received); got.Sockets != 9 || !maps.Equal(got.InFlight, map[string]int{"s0": 2}) {
		t.Errorf("progress: got %+v, want 9 sockets and 2 attempts in flight at s0", got)
	}
	stop()
	nodetest.Receive(t, "the predecessor's end", finished)
	if len(process.resumed) != 0 {
		t.Error("Resume was called after the context of Serve ended")
	}
}

// Guards against a predecessor that takes an ID for the notification that its successor serves, and then its successor for
// gone: the successor may serve a request before it notifies the predecessor.
func TestIDsFollowTheNotificationOfThePredecessor(t *testing.T) {
	clients, id := testNode(t)
	process := newFakeProcess(clients)
	process.serve(t, id)
	predecessor, err := TakeOver(id)
	if err != nil {
		t.Fatal(err)
	}
	defer nodetest.Close(t, predecessor.Clients)
	sent := make(chan error, 1)
	go func() { sent <- predecessor.SendExecuted([]uint64{1, 2}) }()
	select {
	case err := <-sent:
		t.Errorf("IDs were sent before the notification, error %v", err)
	case <-time.After(100 * time.Millisecond): // long enough for a write
	}
	go predecessor.Follow(func() {}, func(Progress, bool) {})
	if got := nodetest.Receive(t, "the IDs", process.executed); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("IDs from the successor: got %v, want 1 and 2", got)
	}
	if len(process.resumed) != 0 {
		t.Error("the predecessor took its successor for gone")
	}
}

// The predecessor resumes when its successor goes away, and is told whether the successor had served.
func TestPredecessorResumesWithoutItsSuccessor(t *testing.T) {
	clients, id := testNode(t)
	process := newFakeProcess(clients)
	process.serve(t, id)
	for _, served := range []bool{false, true} {
		predecessor, err := TakeOver(id)
		if err != nil {
			t.Fatal(err)
		}
		if served {
			go predecessor.Follow(func() {}, func(Progress, bool) {})
			nodetest.Receive(t, "the call of StopAccepting", process.stopped)
		}
		nodetest.Close(t, predecessor.Clients)
		nodetest.Close(t, predecessor)
		if got := nodetest.Receive(t, "the call of Resume", process.resumed); got != served {
			t.Errorf("successor served %v: got %v as the argument of Resume, want the same", served, got)
		}
	}
}

// The error of a failed TakeOver gives the cause.
func TestFailedTakeOverGivesTheCause(t *testing.T) {
	clients, id := testNode(t)
	if _, err := TakeOver(id); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("without a predecessor: got error %v, want fs.ErrNotExist", err)
	}
	newFakeProcess(clients).serve(t, id)
	other := id
	other.Name = "n1"
	_, err := TakeOver(other)
	if !errors.Is(err, ErrOtherNode) || !strings.Contains(err.Error(), `"n0" at `+id.Address+", version 1") {
		t.Errorf("predecessor of another node: got error %v, want ErrOtherNode with the node's name, address and version",
			err)
	}
}

// For a control message without exactly one descriptor, the error says what is wrong, and no descriptor stays open.
func TestListenerFromInvalidControlMessage(t *testing.T) {
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
	duplicate, err := unix.Dup(pipe[1])
	if err != nil {
		t.Fatal(err)
	}
	twoDescriptors := unix.UnixRights(pipe[1], duplicate)
	for name, c := range map[string]struct {
		rights []byte
		want   string
	}{
		"nothing": {nil, "got 0"}, "cut short": {twoDescriptors[:4], "listening socket: "}, "two descriptors": {twoDescriptors, "got 2"},
	} {
		l, err := listenerFrom(c.rights)
		if l != nil || !errors.Is(err, ErrListeningSocket) || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "%!") {
			t.Errorf("%s: got listener %v, error %v, want no listener and %v with %q", name, l, err, ErrListeningSocket, c.want)
		}
	}
	// A read returns 0 bytes only once both write descriptors of the pipe are closed.
	if n, err := unix.Read(pipe[0], make([]byte, 1)); n != 0 || err != nil {
		t.Errorf("read of the pipe, whose write descriptors should be closed: got %d bytes, error %v, want 0 bytes and no error", n, err)
	}
}
