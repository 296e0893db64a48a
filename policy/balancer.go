package policy

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Balancer decides for one node: it joins the mechanisms, each of which owns its state in a file of its own.
// It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	settings Settings // in force; NodeCount is the number of nodes that quotas are divided by
	now      Time     // of the event that is being handled
	rng      *rand.Rand
	actions  []Action // that this event calls for

	classes        classRegistry
	rateLimiter    rateLimiter
	rateMultiplier rateMultiplier
	loadShedder    loadShedder
	retryBudget    retryBudget
	fleetSize      fleetSize
	handedOver     bool                // another process of this node has taken over; rateLimiter knows it too
	requests       map[string]*request // open ones, by their ids
	queue          requestQueue        // of requests that wait for a usable server

	servers     map[string]*server // listed ones, by their IDs
	packing     packingOrder
	list        endpointList
	loads       loadReports
	window      concurrencyWindow
	share       capacityShare
	slowStart   slowStart
	completions completionRate
	outliers    outlierDetector
	zones       zoneFailover
}

// Timer tokens. Those of the classes follow from firstClassTimerToken on, in the order in which the settings
// first named them.
const (
	queueTimerToken      = 1
	listTimerToken       = 2
	fleetSizeTimerToken  = 3
	retainTimerToken     = 4
	firstClassTimerToken = 8
)

// New returns a balancer for one node. The seed drives its random choices: the same events then give the same
// actions. The error names a setting that makes no sense.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.NodeIndex))), classes: newClassRegistry(),
		rateLimiter: rateLimiter{buckets: newBucketTable()}, rateMultiplier: rateMultiplier{value: 1},
		servers: make(map[string]*server), requests: make(map[string]*request),
		loads:  loadReports{byKind: make(map[string]*serverLoad)},
		window: concurrencyWindow{scale: initialWindowScale},
	}
	b.zones.servers, b.zones.rng, b.zones.logf = &b.packing.pool, b.rng, b.logf
	b.applySettings(set)
	return b, nil
}

// Handle takes one event and returns the actions that it calls for, in order. The next call reuses the slice.
// A time before that of the last event counts as that.
func (b *Balancer) Handle(now Time, ev Event) []Action {
	b.now, b.actions = max(now, b.now), b.actions[:0]
	switch e := ev.(type) {
	case Request:
		b.onRequest(e)
	case Outcome:
		b.onOutcome(e)
	case FirstByte:
		b.onFirstByte(e)
	case RequestComplete:
		b.onRequestComplete(e)
	case ClientCancelled:
		b.onClientCancelled(e)
	case Timer:
		b.onTimer(e.Token)
	case EndpointList:
		b.onEndpointList(e)
	case Settings:
		b.onSettings(e)
	case HandedOver:
		b.onHandedOver(e)
	case FleetSize:
		b.onFleetSize(e)
	}
	return b.actions
}

// onSettings takes over changed settings. What was measured stays, and open requests keep their class.
func (b *Balancer) onSettings(set Settings) {
	subscribes := set.SubscribeList && !b.settings.SubscribeList
	b.applySettings(set)
	b.refreshOrder()
	if subscribes {
		b.subscribeList()
	}
}

// applySettings hands new settings to each mechanism.
func (b *Balancer) applySettings(set Settings) {
	b.settings, b.packing.stale = set, true
	b.zones.configure(set.Topology, set.Zone)
	b.slowStart.configure(&set.Rules)
	b.list.configure(set.Rules.DrainGrace)
	b.loads.configure(set.ReportFields)
	b.retryBudget.configure(set.Rules.RetryBudget)
	b.settings.NodeCount = b.fleetSize.configure(set.NodeCount)
	b.classes.configure(set.Classes, &b.packing.pool)
	b.loadShedder.configure(set.Classes)
	b.rateLimiter.configure(set.Limits, set.Tenants, b.settings.NodeCount)
}

// emit adds an action to those of the event that is being handled.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// logf emits a line for the log.
func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// onTimer hands a timer to the mechanism that set it.
func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == queueTimerToken:
		b.onQueueTimer()
	case token == listTimerToken:
		b.subscribeList()
	case token == fleetSizeTimerToken:
		b.onFleetSizeTimer()
	case token == retainTimerToken:
		b.releaseRetained()
	case token >= firstClassTimerToken && token < firstClassTimerToken+uint64(len(b.classes.statsByTimer)):
		b.checkSlowAttempts(b.classes.statsByTimer[token-firstClassTimerToken])
	}
}

// Servers returns how many servers are listed, and how many of them are unavailable: draining or ejected.
func (b *Balancer) Servers() (listed, unavailable int) { return len(b.servers), b.list.unavailable }

// TailLatency returns the longest of the classes' tail latencies.
func (b *Balancer) TailLatency() (longest time.Duration) {
	for _, c := range b.classes.ordered {
		longest = max(longest, c.tailLatency)
	}
	return longest
}

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateRatio moves an exponential average of the part of hits by one more event. The gain is its weight.
func updateRatio(ratio *float64, gain float64, hit bool) {
	*ratio -= gain * *ratio
	if hit {
		*ratio += gain
	}
}
