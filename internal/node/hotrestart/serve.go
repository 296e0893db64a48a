package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	startTimeout = 10 * time.Second // for a successor to start serving; after that it counts as gone
	stateByte    = '\n'             // sent before the state, with the listening socket attached

	// ProgressInterval is the time between two Progress messages. It is half of the time that an attempt of the successor
	// waits for a descriptor (descriptorWaitTimeout in internal/node/upstream): at least one message, which may free
	// descriptors, arrives in that time.
	ProgressInterval = 50 * time.Millisecond
)

// Process is a serving process that can hand over to a successor. Serve calls the methods one at a time.
type Process interface {
	// ClientsSocket returns the clients' listening socket.
	ClientsSocket() (syscall.RawConn, error)
	// Snapshot returns the state to hand over, and releases resources for the successor. Serve fills in the version and
	// the identity.
	Snapshot() (State, error)
	// StopAccepting stops accepting clients: the successor accepts them now.
	StopAccepting() error
	// Progress releases descriptors that the process doesn't need. It returns how many the successor may hold now, and the
	// process's attempts in flight.
	Progress() Progress
	// ProgressChanged receives a value when Progress has IDs of requests that the successor must know at once.
	ProgressChanged() <-chan struct{}
	// SuccessorExecuted receives hashes of IDs of requests that may have run at the successor.
	SuccessorExecuted(hashes []uint64)
	// Resume makes the process serve alone again after its successor has gone. successorServed reports whether the
	// successor had started serving.
	Resume(successorServed bool)
}

// Serve hands over to successors, one at a time, until ctx ends. If a successor goes away before that, the process
// resumes. Serve returns an error if it can't listen for a successor or accept one.
func Serve(ctx context.Context, id Identity, process Process) error {
	listener, err := listenForSuccessor(id.SocketPath())
	if err != nil {
		return fmt.Errorf("hot restart: listen for a successor: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // unblocks AcceptUnix
	defer stop()
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("hot restart: accept a successor: %w", err)
		}
		serveSuccessor(ctx, id, process, conn)
	}
}

// serveSuccessor hands over to the process at the other end of conn, and returns when that process has gone or ctx ends.
func serveSuccessor(ctx context.Context, id Identity, process Process, conn *net.UnixConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks reads and writes
	defer stop()
	err := sendState(id, process, conn)
	served := false
	if err == nil {
		served, err = followSuccessor(process, conn)
	}
	_ = conn.Close() // followSuccessor may have closed it
	if ctx.Err() != nil {
		return
	}
	slog.Warn("hot restart: the successor has gone, this process continues to serve", "error", err, "it had served", served)
	process.Resume(served)
}

// sendState sends the listening socket and the state to a successor.
func sendState(id Identity, process Process, conn *net.UnixConn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	clients, err := process.ClientsSocket()
	if err != nil {
		return err
	}
	state, err := process.Snapshot()
	if err != nil {
		return err
	}
	state.Version, state.Name, state.Address = protocolVersion, id.Name, id.Address
	var writeErr error
	if err := clients.Control(func(fd uintptr) {
		_, _, writeErr = conn.WriteMsgUnix([]byte{stateByte}, unix.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if writeErr != nil {
		return writeErr
	}
	err = state.write(conn)
	debug.FreeOSMemory() // the successor takes what the state took
	return err
}

// followSuccessor waits until the successor serves, makes process stop accepting clients, and then sends Progress
// messages until the successor has gone. served reports whether the successor had started serving.
func followSuccessor(process Process, conn *net.UnixConn) (served bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return false, err
	}
	readySignal := make([]byte, 1)
	if _, err := io.ReadFull(conn, readySignal); err != nil {
		return false, err
	}
	slog.Info("hot restart: the successor serves, this process accepts no new clients")
	if err := process.StopAccepting(); err != nil {
		return true, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return true, err
	}
	var readErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		readErr = readSuccessor(process, conn)
	}()
	defer func() {
		_ = conn.Close() // ends the read
		<-ended
	}()
	ticker := time.NewTicker(ProgressInterval)
	defer ticker.Stop()
	messages := json.NewEncoder(conn)
	for {
		select {
		case <-ended:
			return true, readErr
		case <-ticker.C:
		case <-process.ProgressChanged():
		}
		if err := messages.Encode(process.Progress().message()); err != nil {
			return true, err
		}
	}
}

// readSuccessor passes process the messages of the successor, and returns an error when it has gone.
func readSuccessor(process Process, conn *net.UnixConn) error {
	messages := json.NewDecoder(conn)
	for {
		var message State
		if err := messages.Decode(&message); err != nil {
			return err
		}
		process.SuccessorExecuted(message.Executed)
	}
}

// message returns the message with the report.
func (p Progress) message() State {
	return State{Sockets: p.Sockets, Memory: p.Memory, InFlight: p.InFlight, Executed: p.Executed}
}
