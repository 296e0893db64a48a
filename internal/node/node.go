package node

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/hotrestart"
	"sloerail/policy"
)

const (
	ownSockets            = 32                     // descriptors for the log, discovery, the runtime and the like
	ownSocketsWhileShared = 18                     // the same while two processes share the node's: 14 are in use
	acceptFor             = 500 * time.Millisecond // after the signal to stop, while clients still come
	longestDrain          = 3 * time.Second        // no client waits longer once a node is told to stop
	stopPoll              = 20 * time.Millisecond  // between looks at whether a replaced process has clients left
	lastAnswers           = 100 * time.Millisecond // for what is failed then to reach its clients
	// heapFraction of the memory limit is the heap's: stacks and sockets take the rest.
	heapFraction = 0.75
)

// Run serves clients until ctx ends. Then it goes on accepting for a moment, answers what it has taken,
// and returns.
func Run(ctx context.Context, c Config, at Listeners, changes <-chan Change) error {
	ck := clock{start: time.Now()}
	shared, held := new(sockets), c.Sockets
	if at.predecessor != nil {
		held, c.Known = at.predecessor.State.Sockets, discovery.List{Revision: discovery.UnknownRevision, Endpoints: at.predecessor.State.EndpointList()}
	} else {
		c.Known = discovery.RestoreList(c.ListFile, c.Known)
	}
	limitMemory(c, 1)
	fig := newFigures(c.Settings.Classes)
	up := newUpstream(c, shared, fig)
	defer up.close()
	l, err := newLoop(c, ck, up, fig)
	if err != nil {
		return err
	}
	s := newServer(l)
	s.isSuccessor = at.predecessor != nil
	s.sharingSockets.Store(s.isSuccessor)
	fleet, err := l.join(c)
	if err != nil {
		return err
	}

	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	var left *hotrestart.State
	if at.predecessor != nil {
		left = &at.predecessor.State
		limitMemory(c, sharedMemoryFraction)
	}
	parts.Go(func() { l.run(running, c.Known.Endpoints, left) })
	parts.Go(func() { l.disc.Run(running) })

	failed := make(chan error, 1)
	clients := newConnLimiter(at.Clients, held)
	h := &hotRestart{config: c, server: s, upstream: up, clients: clients, fleet: fleet, sockets: held}
	h.shareSockets()
	parts.Go(func() { failed <- s.accept(clients) })
	parts.Go(func() { h.run(running, at.predecessor) })
	if fleet != nil {
		parts.Go(func() { l.follow(running, fleet.Subscribe()) })
		parts.Go(func() {
			select {
			case <-s.soleListener: // until then another process is the member
				fleet.Run(ctx)
			case <-running.Done():
			}
		})
	}
	if at.Control != nil {
		ctl := newControl(l, s.taking, fleet)
		parts.Go(func() { ctl.run(running, at.Control) })
	}
	for ctx.Err() == nil {
		select {
		case err := <-failed:
			return fmt.Errorf("serving: %w", err)
		case change := <-changes:
			l.handleChange(change)
		case <-ctx.Done():
		}
	}
	return s.drain(h)
}

// drain ends the service. Connections go on coming for a while after the signal, and what sits in
// them unread counts as taken, so the listener stays open until then. Clients go on using those they
// have: ending them early would only move their load to the other nodes while this one is gone, so they
// are served for as long as what comes can be answered before the node is killed.
func (s *server) drain(h *hotRestart) error {
	s.stopping.Store(true)
	terms := s.loop.terms.Load()
	end := time.Now().Add(acceptFor + terms.longestOf(longestWait))
	last := time.Now().Add(max(acceptFor, time.Until(end)-s.lastAnswer(terms)))
	slog.Info("stopping", "serves", time.Until(last).Round(time.Millisecond), "ends", time.Until(end).Round(time.Millisecond))
	for time.Now().Before(last) && !(s.superseded.Load() && s.peers.count() == 0) {
		time.Sleep(min(stopPoll, time.Until(last)))
	}
	s.draining.Store(true)
	late := time.AfterFunc(time.Until(end), func() { s.loop.send(finish{}) })
	defer late.Stop()
	err := h.clients.Close()
	s.shutdown(end.Add(lastAnswers))
	return err
}

// lastAnswer is how long what comes last is given: what slow answers took lately, which nearly all
// make, and no more than an answer is worth anything. Whoever is turned away earlier burdens other nodes,
// or finds none.
func (s *server) lastAnswer(terms *terms) time.Duration {
	longest := terms.longestOf(longestAnswer)
	if tail, ok := ask(s.loop, func(reply chan<- time.Duration) any { return tailRequest{reply} }); ok {
		return min(longest, tail)
	}
	return longest
}

// limitMemory sets the part of the memory limit that this process may use.
func limitMemory(c Config, part float64) {
	debug.SetMemoryLimit(int64(part * heapFraction * float64(c.MemoryMB) * (1 << 20)))
}

// longestWait is how long a client of a stopping node may wait.
func longestWait(classes []policy.Class) time.Duration {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, longestDrain)
}

// longestAnswer is how long an answer takes that is worth something to its client.
func longestAnswer(classes []policy.Class) time.Duration {
	var longest time.Duration
	for _, class := range classes {
		if class.LatencyObjective > 0 && class.LateWeight <= 0 {
			longest = max(longest, class.LatencyObjective)
		} else {
			longest = max(longest, class.Deadline)
		}
	}
	return longest
}
