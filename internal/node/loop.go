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
	// eventBufferSize is how many events other goroutines can send without blocking while the loop is busy.
	eventBufferSize = 1024
	// maxEventBatch is the maximum number of queued events that the loop handles, after the event that woke it, before it
	// looks at the timers again.
	maxEventBatch = 64
	// sweepInterval is how often the loop closes expired idle server connections and updates the zone metrics.
	sweepInterval = time.Second
)

// balancer makes the routing decisions: a policy.Balancer, or a fake in tests. Only the loop's goroutine calls it.
type balancer interface {
	// Handle processes an event and returns the actions to execute, in order.
	Handle(now policy.Time, ev policy.Event) []policy.Action
	// Servers returns the number of servers that are listed, or retained though the list lacks them, and how many of them
	// currently get no requests.
	Servers() (listed, unavailable int)
	// TailLatency returns the recent latency of slow responses, of the class where it is longest.
	TailLatency() time.Duration
	// Snapshot returns the state to hand over to a successor. Restore applies the state of the predecessor.
	Snapshot(now policy.Time) policy.Snapshot
	Restore(now policy.Time, k policy.Snapshot)
	// InFlight returns the number of this process's attempts in flight by server. During a hot restart,
	// SetSiblingInFlight sets the numbers of the predecessor's attempts.
	InFlight() map[string]int
	SetSiblingInFlight(out map[string]int)
	// FleetSize returns the number of nodes that quotas are divided by, the number of reachable nodes, and whether this
	// node is partitioned from the others.
	FleetSize() (quotaNodes, reachable int, partitioned bool)
	// Zones returns the state of each zone, or nil if the configuration has no zones.
	Zones(now policy.Time) []policy.ZoneState
}

// loop owns the balancer, the open requests and the timers, and runs in one goroutine. Other goroutines send it events.
// The loop never blocks except to wait for the next event or timer.
type loop struct {
	events  chan event
	done    chan struct{}              // closed when the loop has ended
	ready   chan struct{}              // closed when the balancer has run's known list and any predecessor's state
	classes atomic.Pointer[classTable] // read by the clients' goroutines
	up      *upstream.Transport
	metrics *nodeMetrics

	// Only the loop's goroutine uses the fields below, with three exceptions: clients' goroutines read the clock, the list
	// client runs in a goroutine of its own, and attempts' goroutines tell attemptsWG that they have ended.
	clock      clock
	balancer   balancer
	allowed    policy.Allowed
	maxOpen    int // maximum number of unanswered requests; 0 for no limit
	listClient *discovery.Client
	listTarget discovery.Target // the list service as last configured
	requests   map[string]*request
	unanswered int  // open requests that have no response yet
	rejectAll  bool // the shutdown deadline has passed: new requests are rejected
	timers     timers
	endpoints  map[string]discovery.Endpoint // the list as last received
	unsent     []policy.Outcome              // of attempts that could not be sent; reported after all actions for an event
	executed   executedIDs
	tracing    bool           // log lines at debug level
	attemptsWG sync.WaitGroup // attempts in flight

	toSuccessor, toPredecessor idOutbox // IDs of new requests
}

func newLoop(c config.Config, ck clock, up *upstream.Transport, metrics *nodeMetrics) (*loop, error) {
	balancer, err := policy.New(c.Settings, ck.now(), c.Seed)
	if err != nil {
		return nil, err
	}
	l := &loop{clock: ck, balancer: balancer, allowed: c.Settings.Allowed, maxOpen: c.MaxOpen, up: up, metrics: metrics,
		events: make(chan event, eventBufferSize), done: make(chan struct{}), ready: make(chan struct{}),
		requests: make(map[string]*request), endpoints: make(map[string]discovery.Endpoint),
		toSuccessor: idOutbox{changed: make(chan struct{}, 1)}, toPredecessor: idOutbox{changed: make(chan struct{}, 1)}}
	l.tracing = c.DebugLog
	l.listTarget = discoveryTarget(c)
	l.classes.Store(newClassTable(nil, c.Settings))
	l.listClient = discovery.NewClient(discoveryConfig(c), func(u discovery.Update) { l.send(endpointUpdate{u}) })
	return l, nil
}

// send sends the loop an event. It does nothing once the loop has ended.
func (l *loop) send(ev event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// run handles events until ctx ends, then cancels the attempts in flight and waits for them. Before any event, it passes
// the balancer the list known at the start, which the balancer expects first, and then the predecessor's state, if there
// is one.
func (l *loop) run(ctx context.Context, known []discovery.Endpoint, predecessor *hotrestart.State) {
	defer l.attemptsWG.Wait()
	defer l.cancelAttempts()
	defer close(l.done)
	l.handle(endpointUpdate{discovery.Update{Kind: policy.ListCached, Endpoints: known}})
	if predecessor != nil {
		l.balancer.Restore(l.clock.now(), predecessor.Policy)
		l.balancer.SetSiblingInFlight(predecessor.InFlight)
		l.executed.add(predecessor.Executed...)
		l.toPredecessor.setOpen(predecessor.AcceptsExecuted)
	}
	predecessor = nil // restored, and large
	close(l.ready)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	armedFor := policy.Time(0) // the due time that wake is set to
	for {
		if len(l.timers) > 0 && l.timers[0].due != armedFor {
			armedFor = l.timers[0].due
			wake.Reset(armedFor - l.clock.now())
		}
		select {
		case ev := <-l.events:
			l.handle(ev)
			l.handleQueued()
		case <-wake.C:
			armedFor = 0
		case now := <-sweep.C:
			l.up.CloseExpired(now)
			l.updateZoneMetrics(l.clock.now())
		case <-ctx.Done():
			return
		}
		l.fireTimers()
	}
}

// handle processes one event.
func (l *loop) handle(ev event) { ev.handle(l) }

// handleQueued handles events that are already queued, up to maxEventBatch. That is cheaper than run's select over all
// channels.
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

// inFlight returns the number of this process's attempts in flight by server, or nil once the loop has ended.
func (l *loop) inFlight() map[string]int {
	attempts, _ := query(l, func(reply chan<- map[string]int) event { return inFlightRequest{reply} })
	return attempts
}
