package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/hotrestart"
	"sloerail/internal/node/upstream"
)

// Run serves clients until ctx ends, then drains. If accepting clients fails, it ends without draining. It returns when
// all goroutines that it started have ended. Reloaded configurations arrive on changes.
func Run(ctx context.Context, c config.Config, listeners Listeners, changes <-chan Change) error {
	ck := clock{start: time.Now()}
	maxSockets, state := listeners.restore(&c)
	metrics := newMetrics(c.Settings.Classes)
	metrics.listed.Store(int64(len(c.Known.Endpoints)))
	limits := newMemoryLimits(c, &metrics.listed)
	transport := newTransport(c, new(upstream.Descriptors), metrics)
	defer transport.CloseIdle()
	l, err := newLoop(c, ck, transport, metrics)
	if err != nil {
		return err
	}
	if state != nil {
		l.classes.Store(newClassTable(takeOver(state.FormerClasses(), ck.start), c.Settings))
	}
	s := newServer(l, limits)
	s.isSuccessor = state != nil
	s.AwaitingDescriptors.Store(s.isSuccessor)
	fleet, err := l.joinFleet(c)
	if err != nil {
		return err
	}
	if state != nil {
		limits.set(successorHeap(c, state.Memory))
	}
	known := c.Known.Endpoints
	c = c.WithoutList()

	runCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { l.run(runCtx, known, state) })
	wg.Go(func() { l.listClient.Run(runCtx) })
	clientListener := downstream.NewConnectionLimiter(listeners.Clients, maxSockets)
	s.HasPending = clientListener.HasPending
	clientListener.MakeRoom = s.ClientConns().MakeRoom
	restart := &hotRestart{config: c, server: s, transport: transport, clients: clientListener, fleet: fleet,
		memory: limits, sockets: maxSockets}
	restart.shareSockets()
	acceptErr := make(chan error, 1)
	wg.Go(func() { acceptErr <- s.Accept(clientListener) })
	wg.Go(func() { restart.run(runCtx, listeners.predecessor) })
	if fleet != nil {
		wg.Go(func() { l.followFleet(runCtx, fleet.Subscribe()) })
		wg.Go(func() { fleet.runAsMember(ctx, runCtx, s.soleListener) })
	}
	if listeners.Control != nil {
		wg.Go(func() { newAdminServer(l, s.acceptsNewClients, fleet).run(runCtx, listeners.Control) })
	}
	if err := l.serveUntil(ctx, acceptErr, changes); err != nil {
		return err
	}
	return s.drain(restart)
}

// restore sets c.Known to the initial endpoint list: the predecessor's or, without a predecessor, the newer one of the
// cached and the configured list. It returns the number of descriptors that the process may hold, and the predecessor's
// state, which is nil if there is no predecessor.
func (l Listeners) restore(c *config.Config) (sockets int, state *hotrestart.State) {
	if l.predecessor == nil {
		c.Known = discovery.RestoreList(c.ListFile, c.Known)
		return c.Sockets, nil
	}
	state = &l.predecessor.State
	c.Known = discovery.List{Revision: discovery.UnknownRevision, Endpoints: state.EndpointList()}
	return state.Sockets, state
}

// serveUntil applies configuration changes until ctx ends or accepting clients fails.
func (l *loop) serveUntil(ctx context.Context, acceptErr <-chan error, changes <-chan Change) error {
	for ctx.Err() == nil {
		select {
		case err := <-acceptErr:
			return fmt.Errorf("accept clients: %w", err)
		case change := <-changes:
			l.handleChange(change)
		case <-ctx.Done():
		}
	}
	return nil
}
