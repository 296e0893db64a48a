package policy

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one node. It connects the mechanisms. Each mechanism has a type for its
// state, in a source file of its own. A Balancer isn't safe for concurrent use. Create one with New.
type Balancer struct {
	settings Settings // current settings; NodeCount is replaced by the number of nodes that share the quotas
	now      Time     // time of the current event
	rng      *rand.Rand
	actions  []Action // actions for the current event

	classes        classRegistry
	rateLimiter    rateLimiter
	rateMultiplier rateMultiplier
	loadShedder    loadShedder
	retryBudget    retryBudget
	fleetSize      fleetSize
	handedOver     bool                // a successor has taken over (hot_restart.go); copied to rateLimiter
	requests       map[string]*request // requests by ID that haven't ended or have an attempt without an outcome
	queue          requestQueue        // requests that wait for a usable server

	servers     map[string]*server // listed and retained servers by ID
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

// Timer tokens. The timers of the classes have the tokens from firstClassTimerToken on, in the order in which
// the settings first named the classes.
const (
	queueTimerToken      = 1
	listTimerToken       = 2
	fleetSizeTimerToken  = 3
	retainTimerToken     = 4
	firstClassTimerToken = 8
)

// New returns a Balancer for one node. The seed and the node's index determine its random choices, so that
// the same events give the same actions. If a setting is invalid, the error names it.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.NodeIndex))), classes: newClassRegistry(),
		rateLimiter: rateLimiter{buckets: newBucketTable()}, rateMultiplier: rateMultiplier{value: 1},
		servers: make(map[string]*server), requests: make(map[string]*request),
		loads:   loadReports{byKind: make(map[string]*serverLoad)},
		window:  concurrencyWindow{scale: initialWindowScale},
		packing: packingOrder{classes: make(map[*class]bool)},
	}
	b.zones.servers, b.zones.rng, b.zones.logf = &b.packing.pool, b.rng, b.logf
	b.applySettings(set)
	return b, nil
}

// Handle processes one event and returns the resulting actions in order. The next call reuses the returned
// slice. If now is earlier than the previous event, Handle uses the time of that event instead.
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

// onSettings applies changed settings. Open requests keep their class. Measurements are kept, except that a
// changed topology resets the health of the zones. If the new settings begin to require a subscription to the
// list, the node subscribes.
func (b *Balancer) onSettings(set Settings) {
	subscribes := set.SubscribeList && !b.settings.SubscribeList
	b.applySettings(set)
	b.refreshOrder()
	if subscribes {
		b.subscribeList()
	}
}

// applySettings passes new settings to each mechanism.
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

// emit adds an action to those for the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// logf emits a Log action.
func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// onTimer passes a timer to the mechanism that set it.
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

// Servers returns the number of servers that are listed, or retained though the list lacks them, and how many
// of these are unavailable (draining or ejected).
func (b *Balancer) Servers() (listed, unavailable int) { return len(b.servers), b.list.unavailable }

// TailLatency returns the longest of the estimated tail latencies of the classes in the settings.
func (b *Balancer) TailLatency() (longest time.Duration) {
	for _, c := range b.classes.ordered {
		longest = max(longest, c.tailLatency)
	}
	return longest
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateRatio updates ratio, the exponential moving average of the fraction of events that are hits, with one
// event. gain is the weight of that event.
func updateRatio(ratio *float64, gain float64, hit bool) {
	*ratio -= gain * *ratio
	if hit {
		*ratio += gain
	}
}
