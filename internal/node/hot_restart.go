package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"

	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/hotrestart"
	"sloerail/internal/node/upstream"
)

const (
	// maxSpareConns bounds the connections that a process may open on either side beyond those that it has, while its
	// successor serves; spareFraction bounds them by the descriptors of the node.
	maxSpareConns = 8
	spareFraction = 12
	// maxSpareServerConns bounds the connections to servers that it keeps for its clients.
	maxSpareServerConns = 32
	// minSuccessorFraction of its descriptors is a successor's, whatever the process before it holds.
	minSuccessorFraction = 4
	// sharedMemoryFraction of the memory limit is each process's, while there are two.
	sharedMemoryFraction = 0.5
)

// hotRestart is this process's part in hand-overs: it shares the node's descriptors and memory with the process before
// it, and with the one that takes over from it.
type hotRestart struct {
	config    config.Config
	server    *server
	transport *upstream.Transport
	clients   *downstream.ConnectionLimiter
	fleet     *membership // nil for a node of no fleet

	mu      sync.Mutex
	sockets int // descriptors that this process may hold
}

// run takes over from a predecessor, if there is one, and awaits successors, until ctx ends. It waits for the list
// first.
func (h *hotRestart) run(ctx context.Context, predecessor *hotrestart.Predecessor) {
	select {
	case <-h.server.loop.ready:
	case <-ctx.Done():
	}
	var following sync.WaitGroup
	defer following.Wait()
	if predecessor != nil {
		stop := context.AfterFunc(ctx, func() { _ = predecessor.Close() }) // which ends Follow
		defer stop()
		// Readiness at the operators' address waits for the predecessor to yield: if that were stopped before, it would
		// reject the front's health checks in the node's name.
		following.Go(func() { predecessor.Follow(func() { close(h.server.soleListener) }, h.takeSockets) })
	} else {
		close(h.server.soleListener)
	}
	id := identityOf(h.config)
	if id.SocketPath() == "" {
		return
	}
	if err := hotrestart.Serve(ctx, id, h); err != nil {
		slog.Warn("hot restart: this process can't hand over", "error", err)
	}
}

// ClientsSocket implements hotrestart.Process.
func (h *hotRestart) ClientsSocket() (syscall.RawConn, error) {
	return h.clients.Listener.(syscall.Conn).SyscallConn()
}

// Snapshot implements hotrestart.Process.
func (h *hotRestart) Snapshot() (hotrestart.State, error) {
	state, ok := query(h.server.loop, func(reply chan<- hotrestart.State) event { return snapshotRequest{reply} })
	if !ok {
		return hotrestart.State{}, errors.New("the node has ended")
	}
	limitMemory(h.config, sharedMemoryFraction)
	state.Sockets = h.releaseSockets()
	return state, nil
}

// StopAccepting implements hotrestart.Process.
func (h *hotRestart) StopAccepting() error {
	h.server.superseded.Store(true)
	if h.fleet != nil {
		h.fleet.Yield()
	}
	h.server.Draining.Store(true) // clients come again, to the successor
	return h.clients.SetPaused(true)
}

// Progress implements hotrestart.Process.
func (h *hotRestart) Progress() hotrestart.Progress {
	return hotrestart.Progress{Sockets: h.releaseSockets(), InFlight: h.server.loop.inFlight()}
}

// Resume implements hotrestart.Process.
func (h *hotRestart) Resume(successorServed bool) {
	h.server.superseded.Store(false)
	h.server.Draining.Store(h.server.Stopping.Load())
	if err := h.clients.SetPaused(false); err != nil {
		slog.Error("hot restart: the clients' listener", "error", err)
	}
	h.shareSockets()
	limitMemory(h.config, 1)
	if h.fleet != nil {
		h.fleet.Resume()
	}
	h.server.loop.send(successorGone{successorServed})
}

// totalSockets is how many descriptors this process may hold where it has no successor.
func (h *hotRestart) totalSockets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sockets
}

// releaseSockets cuts this process down to what it holds, and returns what is left for its successor.
func (h *hotRestart) releaseSockets() int {
	clients := h.server.ClientConns().Count()
	spare := max(1, min(maxSpareConns, (h.config.Sockets-reservedSockets(h.config))/spareFraction))
	servers := h.transport.LimitConnections(min(clients, maxSpareServerConns), spare)
	h.clients.SetLimit(clients + spare)
	inUse := reservedSocketsWhileShared(h.config) + clients + spare + servers
	total := h.totalSockets()
	return max(total/minSuccessorFraction, total-inUse)
}

// shareSockets shares the descriptors that this process may hold out between the clients' and the servers' side.
func (h *hotRestart) shareSockets() {
	// The server rejects requests on connections over its side; the limiter makes sure that even clients who connect
	// and say nothing leave the servers' side its descriptors. While two processes share them, none is set aside for
	// clients over the limit: they wait to be accepted for what the other process releases.
	h.mu.Lock()
	sockets, own, over := h.sockets, reservedSockets(h.config), ownSockets/2
	if h.server.AwaitingDescriptors.Load() {
		own, over = reservedSocketsWhileShared(h.config), 0
	}
	h.mu.Unlock()
	h.transport.Descriptors().SetTotal(sockets - own)
	h.transport.LiftLimit()
	h.clients.SetLimit(h.transport.Descriptors().MaxClients() + over)
}

// takeSockets takes what the process before this one has released.
func (h *hotRestart) takeSockets(progress hotrestart.Progress, ended bool) {
	h.server.loop.send(predecessorInFlight{progress.InFlight})
	sockets := progress.Sockets
	if ended {
		sockets = h.config.Sockets
		limitMemory(h.config, 1)
	}
	h.mu.Lock()
	h.sockets = sockets
	h.server.AwaitingDescriptors.Store(!ended)
	h.mu.Unlock()
	if !h.server.superseded.Load() {
		h.shareSockets()
	}
}
