package hotrestart

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	startTimeout = 10 * time.Second // for a successor to serve; after that it counts as gone
	stateByte    = '\n'             // comes before the state, with the listening socket

	// ProgressInterval is the time between two messages of a predecessor: half of what an attempt waits for a descriptor
	// (descriptorWaitTimeout in internal/node/upstream), so that one message at least may grant it meanwhile.
	ProgressInterval = 50 * time.Millisecond
)

// Process is a serving process that a successor may take over from. Serve calls the methods one at a time.
type Process interface {
	// ClientsSocket is the clients' listening socket.
	ClientsSocket() (syscall.RawConn, error)
	// Snapshot is the state to hand over, and makes room for the successor. Serve fills in the identity.
	Snapshot() (State, error)
	// StopAccepting leaves new clients to the successor, which serves.
	StopAccepting() error
	// Progress is what the process still holds, and releases what it doesn't need.
	Progress() Progress
	// Resume goes on as the only process: the successor is gone, after it has served or before.
	Resume(successorServed bool)
}

// Serve hands over to successors until ctx ends, one at a time. A successor that is gone before ctx ends leaves the
// process the only one again.
func Serve(ctx context.Context, id Identity, process Process) error {
	listener, err := listenForSuccessor(id.SocketPath())
	if err != nil {
		return fmt.Errorf("hot restart: listen for a successor: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // which ends AcceptUnix
	defer stop()
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("hot restart: await a successor: %w", err)
		}
		serveSuccessor(ctx, id, process, conn)
	}
}

// serveSuccessor hands over to the process at the other end of conn, for as long as that lives.
func serveSuccessor(ctx context.Context, id Identity, process Process, conn *net.UnixConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // which ends reads and writes
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
	slog.Warn("hot restart: the successor is gone, serving on", "error", err, "it had served", served)
	process.Resume(served)
}

// sendState writes what a successor needs: the listening socket and the state.
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
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	var writeErr error
	if err := clients.Control(func(fd uintptr) {
		_, _, writeErr = conn.WriteMsgUnix([]byte{stateByte}, unix.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if writeErr != nil {
		return writeErr
	}
	_, err = conn.Write(text)
	return err
}

// followSuccessor waits until the successor serves, and then sends it what this process still holds. It returns once
// the successor is gone.
func followSuccessor(process Process, conn *net.UnixConn) (served bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return false, err
	}
	readySignal := make([]byte, 1)
	if _, err := io.ReadFull(conn, readySignal); err != nil {
		return false, err
	}
	slog.Info("hot restart: a successor serves, accepting no new clients")
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
		_, readErr = conn.Read(readySignal) // a successor sends no more: it returns when that is gone
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
			progress := process.Progress()
			if err := messages.Encode(State{Sockets: progress.Sockets, InFlight: progress.InFlight}); err != nil {
				return true, err
			}
		}
	}
}
