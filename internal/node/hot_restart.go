package node

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"syscall"

	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/hotrestart"
	"sloerail/internal/node/upstream"
)

const (
	// maxSpareConns limits how many connections beyond its current ones a process may open, on the client side and on the
	// server side each, while it has a successor. A second limit is the node's unreserved descriptors divided by
	// spareConnsDivisor; the lower one applies, but one connection is always allowed.
	maxSpareConns     = 8
	spareConnsDivisor = 12
	// maxSpareServerConns bounds the server connections that such a process keeps open even if they are idle. The number
	// of its client connections is a second bound.
	maxSpareServerConns = 32
	// successorShareDivisor sets the minimum share of a successor. It gets at least its predecessor's total of descriptors
	// divided by successorShareDivisor, however many of them the predecessor still uses.
	successorShareDivisor = 4
)

// hotRestart is this process's part in hot restarts. It shares the node's descriptors and memory with the predecessor
// and with the successor.
type hotRestart struct {
	config    config.Config
	server    *server
	transport *upstream.Transport
	clients   *downstream.ConnectionLimiter
	fleet     *membership // nil if the node is in no fleet
	memory    *memoryLimits

	mu      sync.Mutex
	sockets int // descriptors that this process may hold if it has no successor
}

// run waits until the loop is ready, takes over from the predecessor, if there is one, and hands over to successors
// until ctx ends. A node without a path for the hand-over socket can't hand over.
func (h *hotRestart) run(ctx context.Context, predecessor *hotrestart.Predecessor) {
	select {
	case <-h.server.loop.ready:
		if predecessor != nil {
			predecessor.ReleaseState()
		}
		debug.FreeOSMemory() // what reading the configuration, the list and the state took
	case <-ctx.Done():
	}
	var wg sync.WaitGroup
	if predecessor != nil {
		// The close ends Follow. It must not be called off while Follow is waited for, however early this process finds that ctx
		// has ended or that it can't hand over.
		stop := context.AfterFunc(ctx, func() { _ = predecessor.Close() })
		defer stop()
	}
	defer wg.Wait()
	if predecessor != nil {
		// This process's health check succeeds only after the predecessor has stopped accepting. If it succeeded sooner,
		// the predecessor could be told to stop too early: while stopping, it would still get health checks of the load
		// balancer in front, and fail them for the whole node.
		wg.Go(func() { predecessor.Follow(func() { close(h.server.soleListener) }, h.followPredecessor) })
		wg.Go(func() { h.sendExecuted(ctx, predecessor) })
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
		return hotrestart.State{}, errors.New("the event loop has ended")
	}
	state.Memory = h.memory.share(h.config)
	debug.FreeOSMemory() // the successor takes it
	state.Sockets = h.releaseSockets()
	return state, nil
}

// StopAccepting implements hotrestart.Process.
func (h *hotRestart) StopAccepting() error {
	h.server.superseded.Store(true)
	if h.fleet != nil {
		h.fleet.Yield()
	}
	h.server.Draining.Store(true) // clients reconnect, to the successor
	return h.clients.SetPaused(true)
}

// Progress implements hotrestart.Process.
func (h *hotRestart) Progress() hotrestart.Progress {
	return hotrestart.Progress{Sockets: h.releaseSockets(), Memory: h.memory.share(h.config), InFlight: h.server.loop.inFlight(),
		Executed: h.server.loop.toSuccessor.take()}
}

// ProgressChanged implements hotrestart.Process.
func (h *hotRestart) ProgressChanged() <-chan struct{} { return h.server.loop.toSuccessor.changed }

// SuccessorExecuted implements hotrestart.Process.
func (h *hotRestart) SuccessorExecuted(hashes []uint64) {
	h.server.loop.send(executedElsewhere{hashes, true})
}

// sendExecuted sends the predecessor the IDs of new requests, until ctx or the predecessor ends.
func (h *hotRestart) sendExecuted(ctx context.Context, predecessor *hotrestart.Predecessor) {
	outbox := &h.server.loop.toPredecessor
	for {
		select {
		case <-outbox.changed:
		case <-ctx.Done():
			return
		}
		if predecessor.SendExecuted(outbox.take()) != nil {
			outbox.setOpen(false)
			return
		}
	}
}

// Resume implements hotrestart.Process.
func (h *hotRestart) Resume(successorServed bool) {
	h.server.superseded.Store(false)
	h.server.Draining.Store(h.server.Stopping.Load())
	if err := h.clients.SetPaused(false); err != nil {
		slog.Error("hot restart: resuming the clients' listener failed", "error", err)
	}
	h.shareSockets()
	h.memory.set(heapBytes(h.config, 1))
	if h.fleet != nil {
		h.fleet.Resume()
	}
	h.server.loop.send(successorGone{successorServed})
}

// successorHeap returns how many bytes of heap a successor may use, by what its predecessor has left: half of the node's if
// the predecessor is of a version that doesn't say.
func successorHeap(c config.Config, left int64) int64 {
	if left <= 0 {
		return heapBytes(c, 2) / 2
	}
	return left
}

// totalSockets returns how many descriptors this process may hold if it has no successor.
func (h *hotRestart) totalSockets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sockets
}

// releaseSockets limits this process to the descriptors that it holds plus a few spare ones, and returns how many are
// left for its successor.
func (h *hotRestart) releaseSockets() int {
	clients := h.server.ClientConns().Count()
	spare := max(1, min(maxSpareConns, (h.config.Sockets-reservedSockets(h.config))/spareConnsDivisor))
	servers := h.transport.LimitConnections(min(clients, maxSpareServerConns), spare)
	h.clients.SetLimit(clients + spare)
	inUse := reservedSocketsWhileShared(h.config) + clients + spare + servers
	total := h.totalSockets()
	return max(total/successorShareDivisor, total-inUse)
}

// shareSockets divides the descriptors that this process may hold between the client side and the server side.
func (h *hotRestart) shareSockets() {
	// The server rejects requests on connections beyond the client side's share, so the limiter accepts a surplus of
	// connections beyond it. The limiter bounds that surplus, so that clients that connect and send nothing don't use up
	// the server side's descriptors. While the predecessor still holds descriptors, the surplus is 0: clients over the
	// limit wait to be accepted until the predecessor releases some.
	h.mu.Lock()
	sockets, reserved, surplus := h.sockets, reservedSockets(h.config), baseSockets/2
	if h.server.AwaitingDescriptors.Load() {
		reserved, surplus = reservedSocketsWhileShared(h.config), 0
	}
	h.mu.Unlock()
	h.transport.Descriptors().SetTotal(sockets - reserved)
	h.transport.LiftLimit()
	h.clients.SetLimit(min(h.transport.Descriptors().MaxClients(), h.memory.maxConnections()) + surplus)
}

// followPredecessor applies the predecessor's progress: it takes the descriptors and the memory that the predecessor has
// released, or all of the node's once the predecessor has ended.
func (h *hotRestart) followPredecessor(progress hotrestart.Progress, ended bool) {
	h.server.loop.send(predecessorInFlight{progress.InFlight})
	if len(progress.Executed) > 0 {
		h.server.loop.send(executedElsewhere{progress.Executed, false})
	}
	sockets, heap := progress.Sockets, successorHeap(h.config, progress.Memory)
	if ended {
		sockets, heap = h.config.Sockets, heapBytes(h.config, 1)
		h.server.loop.toPredecessor.setOpen(false)
	}
	if !h.server.superseded.Load() {
		h.memory.set(heap)
	}
	h.mu.Lock()
	h.sockets = sockets
	h.server.AwaitingDescriptors.Store(!ended)
	h.mu.Unlock()
	if !h.server.superseded.Load() {
		h.shareSockets()
	}
}
