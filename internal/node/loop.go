package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/discovery"
	"sloerail/internal/node/hotrestart"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	// eventBufferSize lets others hand in events while the loop is busy.
	eventBufferSize = 1024
	// maxEventBatch bounds the events that are handled before timers get their turn.
	maxEventBatch = 64
	// sweepInterval is the time between two looks for idle connections to servers that are to be closed.
	sweepInterval = time.Second
)

// balancer decides: it is the policy.Balancer, or a test's. The loop's goroutine alone calls it.
type balancer interface {
	// Handle takes an event and returns what to do, in order.
	Handle(now policy.Time, ev policy.Event) []policy.Action
	// Servers counts the listed servers, and those of them that get no work now.
	Servers() (listed, unavailable int)
	// TailLatency is how long slow answers took lately.
	TailLatency() time.Duration
	// Snapshot is the state to hand over to another process, and Restore takes it.
	Snapshot(now policy.Time) policy.Snapshot
	Restore(now policy.Time, k policy.Snapshot)
	// InFlight is this process's attempts by server, and SetSiblingInFlight takes the other process's.
	InFlight() map[string]int
	SetSiblingInFlight(out map[string]int)
	// FleetSize is the number of nodes that quotas are divided by, that of nodes reachable, and whether this one is
	// partitioned from the others.
	FleetSize() (quotaNodes, reachable int, partitioned bool)
	// Zones is the state of each zone; nil where the configuration names none.
	Zones(now policy.Time) []policy.ZoneState
}

// loop owns the balancer, the open requests and the timers, in one goroutine. All else sends it events; it waits for
// nothing but the next of them.
type loop struct {
	events chan event
	done   chan struct{}         // closed when the loop has ended
	ready  chan struct{}         // closed when the known list is in
	terms  atomic.Pointer[terms] // clients' goroutines read it
	up     *upstream.Transport
	fig    *figures

	// The loop's goroutine alone uses what follows.
	clock      clock
	balancer   balancer
	allowed    policy.Allowed
	maxOpen    int // requests without their answer; 0 for no limit
	listClient *discovery.Client
	listTarget discovery.Target // the list service as last configured
	requests   map[string]*request
	unanswered int  // requests without their answer
	finished   bool // there is no time left for any
	timers     timers
	endpoints  map[string]discovery.Endpoint // the list as last received
	unsent     []policy.Outcome              // of attempts that were not made, for when all actions are done
	running    sync.WaitGroup                // the attempts under way
}

func newLoop(c config.Config, ck clock, up *upstream.Transport, fig *figures) (*loop, error) {
	balancer, err := policy.New(c.Settings, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, balancer: balancer, allowed: c.Settings.Allowed, maxOpen: c.MaxOpen, up: up, fig: fig,
		events: make(chan event, eventBufferSize), done: make(chan struct{}), ready: make(chan struct{}),
		requests: make(map[string]*request), endpoints: make(map[string]discovery.Endpoint)}
	l.listTarget = discoveryTarget(c)
	l.terms.Store(newTerms(c.Settings.Classes))
	l.listClient = discovery.NewClient(discoveryConfig(c), func(u discovery.Update) { l.send(endpointUpdate{u}) })
	return l, nil
}

// send hands the loop an event. After the loop's end it does nothing.
func (l *loop) send(ev event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// run handles events until ctx ends; then it cancels the attempts under way and waits for them. The known list comes
// before all else, as the balancer expects, and then the state of a predecessor, if there is one.
func (l *loop) run(ctx context.Context, known []discovery.Endpoint, predecessor *hotrestart.State) {
	defer l.running.Wait()
	defer l.cancelAttempts()
	defer close(l.done)
	l.handle(endpointUpdate{discovery.Update{Kind: policy.ListCached, Endpoints: known}})
	if predecessor != nil {
		l.balancer.Restore(l.clock.now(), predecessor.Policy)
		l.balancer.SetSiblingInFlight(predecessor.InFlight)
	}
	close(l.ready)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	armed := policy.Time(0) // what wake is set to
	for {
		if len(l.timers) > 0 && l.timers[0].due != armed {
			armed = l.timers[0].due
			wake.Reset(armed - l.clock.now())
		}
		select {
		case ev := <-l.events:
			l.handle(ev)
			l.handleQueued()
		case <-wake.C:
			armed = 0
		case now := <-sweep.C:
			l.up.CloseExpired(now)
			l.updateZoneMetrics(l.clock.now())
		case <-ctx.Done():
			return
		}
		l.fire()
	}
}

// handle handles one event.
func (l *loop) handle(ev event) { ev.handle(l) }

// handleQueued handles what else has come already, which costs less than a select over all that the loop waits for.
func (l *loop) handleQueued() {
	for range maxEventBatch {
		select {
		case ev := <-l.events:
			l.handle(ev)
		default:
			return
		}
	}
}

// inFlight is this process's attempts, by server; nil once the loop has ended.
func (l *loop) inFlight() map[string]int {
	attempts, _ := query(l, func(reply chan<- map[string]int) event { return inFlightRequest{reply} })
	return attempts
}
