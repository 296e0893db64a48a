package node

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	ownSockets   = 32                     // descriptors for the log, discovery, the runtime and the like
	leanSockets  = 18                     // the same while two processes share the node's: 14 are in use
	acceptFor    = 500 * time.Millisecond // after the signal to stop, while clients still come
	longestDrain = 3 * time.Second        // no client waits longer once a node is told to stop
	stopPoll     = 20 * time.Millisecond  // between looks at whether a replaced process has clients left
	lastAnswers  = 100 * time.Millisecond // for what is failed then to reach its clients
)

// Run serves clients until ctx ends. Then it goes on accepting for a moment, answers what it has taken,
// and returns.
func Run(ctx context.Context, c Config, at Listeners, changes <-chan Change) error {
	ck := clock{start: time.Now()}
	shared, held := new(upstream.Descriptors), c.Sockets
	if at.heir != nil {
		held, c.Known = at.heir.Sockets, discovery.List{Revision: discovery.UnknownRevision, Endpoints: at.heir.endpoints()}
	} else {
		c.Known = discovery.RestoreList(c.ListFile, c.Known)
	}
	limitMemory(c, 1)
	fig := newFigures(c.Settings.Classes)
	up := newTransport(c, shared, fig)
	defer up.CloseIdle()
	l, err := newLoop(c, ck, up, fig)
	if err != nil {
		return err
	}
	s := newServer(l)
	s.heir = at.heir != nil
	s.AwaitingDescriptors.Store(s.heir)
	fleet, err := l.join(c)
	if err != nil {
		return err
	}

	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	var left *inheritance
	if at.heir != nil {
		left = &at.heir.inheritance
		limitMemory(c, 0.5)
	}
	parts.Go(func() { l.run(running, c.Known.Endpoints, left) })
	parts.Go(func() { l.disc.Run(running) })

	failed := make(chan error, 1)
	clients := downstream.NewConnectionLimiter(at.Clients, held)
	h := &handover{c: c, path: handoverPath(c), s: s, up: up, gate: clients, fleet: fleet, share: held}
	h.resize()
	parts.Go(func() { failed <- s.Accept(clients) })
	parts.Go(func() { h.start(running, at.heir) })
	if fleet != nil {
		parts.Go(func() { l.follow(running, fleet.Subscribe()) })
		parts.Go(func() {
			select {
			case <-s.first: // until then another process is the member
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
			l.change(change)
		case <-ctx.Done():
		}
	}
	return s.drain(h)
}

// drain ends the service. Connections go on coming for a while after the signal, and what sits in
// them unread counts as taken, so the listener stays open until then. Clients go on using those they
// have: ending them early would only move their load to the other nodes while this one is gone, so they
// are served for as long as what comes can be answered before the node is killed.
func (s *server) drain(h *handover) error {
	s.Stopping.Store(true)
	terms := s.loop.terms.Load()
	end := time.Now().Add(acceptFor + terms.longestOf(longestWait))
	last := time.Now().Add(max(acceptFor, time.Until(end)-s.lastAnswer(terms)))
	slog.Info("stopping", "serves", time.Until(last).Round(time.Millisecond), "ends", time.Until(end).Round(time.Millisecond))
	for time.Now().Before(last) && !(s.superseded.Load() && s.ClientConns().Count() == 0) {
		time.Sleep(min(stopPoll, time.Until(last)))
	}
	s.Draining.Store(true)
	late := time.AfterFunc(time.Until(end), func() { s.loop.send(finish{}) })
	defer late.Stop()
	err := h.gate.Close()
	s.Shutdown(end.Add(lastAnswers))
	return err
}

// lastAnswer is how long what comes last is given: what slow answers took lately, which nearly all
// make, and no more than an answer is worth anything. Whoever is turned away earlier burdens other nodes,
// or finds none.
func (s *server) lastAnswer(terms *terms) time.Duration {
	longest := terms.longestOf(longestAnswer)
	if tail, ok := ask(s.loop, func(reply chan<- time.Duration) any { return tailAsked{reply} }); ok {
		return min(longest, tail)
	}
	return longest
}

// limitMemory sets the part of the memory limit that this process may use.
func limitMemory(c Config, part float64) {
	debug.SetMemoryLimit(int64(part * heapPart * float64(c.MemoryMB) * (1 << 20)))
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
