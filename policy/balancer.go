package policy

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Balancer is one node's decisions. It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	settings          Settings
	now               Time
	rng               *rand.Rand
	actions           []Action
	classes           map[string]*class
	formerClasses     map[string]*class      // as they were before the last settings
	classStats        map[string]*classStats // of all classes ever named,
	classesByTimer    []*classStats          // and in the order of their timers
	tenantLimits      map[string]Limit
	classOrder        []*class // in the order of the settings
	defaultLimit      *Limit   // for tenants without a quota; nil: no limit
	buckets           map[bucketKey]*bucket
	bucketScan        bucketScan
	rateMultiplier    float64            // scale of all bucket rates
	maxPriorityWeight float64            // the most that a class is worth
	bucketRejected    bool               // a bucket refused since the last choice
	servers           map[string]*server // listed, by ID

	packing     packingOrder
	list        endpointList
	loads       loadReports
	window      concurrencyWindow
	share       capacityShare
	slowStart   slowStart
	completions completionRate
	outliers    outlierDetector
	zones       zoneFailover

	requests             map[string]*request
	queued               []*request  // waiting for a usable server, oldest first
	queueTimerSet        bool        // the hold timer is set
	retryBudget          RetryBudget // of attempts beyond the first of each request
	acceptedAt           []Time      // requests taken in the span of the budget of attempts, oldest first
	retriesAt            []Time      // attempts beyond a request's first in it
	handedOver           bool        // another process of this node has taken over
	fleetSize            fleetSize
	badRatio             float64 // part of bad answers lately,
	lostRatio            float64 // and of time-outs and full answers, where nothing is reported
	highPriorityShortage float64 // part of the dearest requests lately that found no room
}

// New returns a node's decisions for the given settings. The seed drives its random choices.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.NodeIndex))), classStats: make(map[string]*classStats),
		buckets: make(map[bucketKey]*bucket), rateMultiplier: 1,
		servers: make(map[string]*server), requests: make(map[string]*request),
		loads:  loadReports{byKind: make(map[string]*serverLoad)},
		window: concurrencyWindow{scale: initialWindowScale},
	}
	b.zones.servers, b.zones.rng, b.zones.logf = &b.packing.pool, b.rng, b.logf
	b.applySettings(set)
	return b, nil
}

// Handle takes one event and returns the actions it calls for. The next call reuses the slice.
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
		if r := b.requests[e.ID]; r != nil {
			b.finish(r)
		}
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

// onSettings goes on by other settings with all that was learned. Open requests keep their class.
func (b *Balancer) onSettings(set Settings) {
	asks := set.SubscribeList && !b.settings.SubscribeList
	b.applySettings(set)
	b.refreshOrder()
	if asks {
		b.subscribeList()
	}
}

// applySettings takes over settings. What was learned stays.
func (b *Balancer) applySettings(set Settings) {
	b.zones.configure(set.Topology, set.Zone)
	b.slowStart.configure(&set.Rules)
	b.list.configure(set.Rules.DrainGrace)
	b.loads.configure(set.ReportFields)
	b.settings, b.retryBudget, b.packing.stale = set, defaultRetryBudget, true
	b.settings.NodeCount = b.fleetSize.configure(set.NodeCount)
	if set.Rules.RetryBudget != nil {
		b.retryBudget = *set.Rules.RetryBudget
	}
	b.formerClasses, b.classes, b.classOrder, b.maxPriorityWeight = b.classes, make(map[string]*class), nil, 0
	for _, c := range set.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		b.classOrder = append(b.classOrder, &class{Class: c, eligible: &b.packing.pool,
			classStats: b.classStatsOf(c)})
		b.classes[c.Name] = b.classOrder[len(b.classOrder)-1]
		b.maxPriorityWeight = max(b.maxPriorityWeight, c.PriorityWeight)
	}
	b.divideQuotas()
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// logf has a line written to the log.
func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

const (
	// of timers; the classes' follow
	queueTimerToken, listTimerToken, fleetSizeTimerToken, retainTimerToken, firstClassTimerToken = 1, 2, 3, 4, 8
)

func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == queueTimerToken:
		b.queueTimerSet = false
		b.dispatchQueued()
	case token == listTimerToken:
		b.subscribeList()
	case token == fleetSizeTimerToken:
		b.settleFleetSize()
	case token == retainTimerToken:
		b.releaseRetained()
	case token >= firstClassTimerToken && token < firstClassTimerToken+uint64(len(b.classesByTimer)):
		b.checkSlowAttempts(b.classesByTimer[token-firstClassTimerToken])
	}
}

// Servers counts those in the list, and of them those that get no work now: they drain, or are ejected
// and at most tried out.
func (b *Balancer) Servers() (listed, avoided int) { return len(b.servers), b.list.unavailable }

// TailLatency is how long slow answers take, in the slowest class.
func (b *Balancer) TailLatency() (longest time.Duration) {
	for _, c := range b.classOrder {
		longest = max(longest, c.tailLatency)
	}
	return longest
}

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// updateRatio moves the part of hits lately by one more.
func updateRatio(part *float64, gain float64, hit bool) {
	*part -= gain * *part
	if hit {
		*part += gain
	}
}
