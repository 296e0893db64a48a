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
	now      Time     // of the event in hand
	rng      *rand.Rand
	actions  []Action // of the event in hand

	classes        classRegistry
	rateLimiter    rateLimiter
	rateMultiplier rateMultiplier
	loadShedder    loadShedder
	retryBudget    retryBudget
	fleetSize      fleetSize
	handedOver     bool                // another process of this node has taken over
	requests       map[string]*request // open ones, by their ids
	queue          requestQueue        // of requests that wait for a usable server

	servers   map[string]*server // listed, by ID
	packing   packingOrder
	list      endpointList
	loads     loadReports
	window    concurrencyWindow
	share     capacityShare
	slowStart slowStart
	outliers  outlierDetector
	zones     zoneFailover
}

// New returns a node's decisions for the given settings. The seed drives its random choices.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.NodeIndex))), classes: newClassRegistry(),
		rateLimiter: rateLimiter{buckets: newBucketTable()}, rateMultiplier: rateMultiplier{value: 1},
		window:  concurrencyWindow{scale: initialWindowScale},
		servers: make(map[string]*server), requests: make(map[string]*request),
		loads: loadReports{byKind: make(map[string]*serverLoad)},
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
	b.settings, b.packing.stale = set, true
	b.retryBudget.configure(set.Rules.RetryBudget)
	b.settings.NodeCount = b.fleetSize.configure(set.NodeCount)
	b.classes.configure(set.Classes, &b.packing.pool)
	b.loadShedder.configure(set.Classes)
	b.rateLimiter.configure(set.Limits, set.Tenants, b.settings.NodeCount)
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

// Servers counts those in the list, and of them those that get no work now: they drain, or are ejected
// and at most tried out.
func (b *Balancer) Servers() (listed, avoided int) { return len(b.servers), b.list.unavailable }

// TailLatency is how long slow answers take, in the slowest class.
func (b *Balancer) TailLatency() (longest time.Duration) {
	for _, c := range b.classes.ordered {
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
