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

// Run serves clients until ctx ends. Then it drains, and returns once all that it started has ended. Reloaded
// configurations come by changes.
func Run(ctx context.Context, c config.Config, at Listeners, changes <-chan Change) error {
	started := clock{start: time.Now()}
	maxSockets, state := at.restore(&c)
	limitMemory(c, 1)
	fig := newFigures(c.Settings.Classes)
	up := newTransport(c, new(upstream.Descriptors), fig)
	defer up.CloseIdle()
	l, err := newLoop(c, started, up, fig)
	if err != nil {
		return err
	}
	s := newServer(l)
	s.isSuccessor = state != nil
	s.AwaitingDescriptors.Store(s.isSuccessor)
	fleet, err := l.join(c)
	if err != nil {
		return err
	}
	if state != nil {
		limitMemory(c, sharedMemoryFraction)
	}

	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	parts.Go(func() { l.run(running, c.Known.Endpoints, state) })
	parts.Go(func() { l.listClient.Run(running) })
	clients := downstream.NewConnectionLimiter(at.Clients, maxSockets)
	restart := &hotRestart{config: c, server: s, transport: up, clients: clients, fleet: fleet, sockets: maxSockets}
	restart.shareSockets()
	failed := make(chan error, 1)
	parts.Go(func() { failed <- s.Accept(clients) })
	parts.Go(func() { restart.run(running, at.predecessor) })
	if fleet != nil {
		parts.Go(func() { l.followFleet(running, fleet.Subscribe()) })
		parts.Go(func() { fleet.runAsMember(ctx, running, s.soleListener) })
	}
	if at.Control != nil {
		parts.Go(func() { newAdminServer(l, s.acceptsNewClients, fleet).run(running, at.Control) })
	}
	if err := l.serveUntil(ctx, failed, changes); err != nil {
		return err
	}
	return s.drain(restart)
}

// restore puts the list to start with into the configuration. It returns the descriptors that the process may hold, and
// the state of its predecessor; nil if there is none.
func (at Listeners) restore(c *config.Config) (sockets int, state *hotrestart.State) {
	if at.predecessor == nil {
		c.Known = discovery.RestoreList(c.ListFile, c.Known)
		return c.Sockets, nil
	}
	state = &at.predecessor.State
	c.Known = discovery.List{Revision: discovery.UnknownRevision, Endpoints: state.EndpointList()}
	return state.Sockets, state
}

// serveUntil takes changes of the configuration until ctx ends, or accepting clients fails.
func (l *loop) serveUntil(ctx context.Context, failed <-chan error, changes <-chan Change) error {
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return fmt.Errorf("serving: %w", err)
		case change := <-changes:
			l.handleChange(change)
		case <-ctx.Done():
		}
	}
	return nil
}
