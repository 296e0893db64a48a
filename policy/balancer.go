package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"
)

// The state that the decisions in policy.go keep; no decisions here.

// Balancer is one node's decisions. It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	settings             Settings
	now                  Time
	rng                  *rand.Rand
	actions              []Action
	classes              map[string]*class
	formerClasses        map[string]*class      // as they were before the last settings
	classStats           map[string]*classStats // of all classes ever named,
	classesByTimer       []*classStats          // and in the order of their timers
	tenantLimits         map[string]Limit
	classOrder           []*class // in the order of the settings
	defaultLimit         *Limit   // for tenants without a quota; nil: no limit
	buckets              map[bucketKey]*bucket
	bucketScan           bucketScan
	rateMultiplier       float64                // scale of all bucket rates
	maxPriorityWeight    float64                // the most that a class is worth
	loadByKind           map[string]*serverLoad // what the warm servers of a kind report on average
	typicalLoad          serverLoad             // and all warm servers
	inFlight             int                    // attempts out at warm servers
	siblingInFlight      int                    // and those of the node's other process
	reportColumns        [3]int                 // where latency, busy part and rate stand in a report; -1 where they don't
	utilization          float64                // how busy warm servers are by their last reports
	lastReportAt         Time                   // when the last of those came
	capacityWanted       bool                   // a choice found no room since then
	windowScale          float64                // scale of this node's window
	bucketRejected       bool                   // a bucket refused since the last choice
	listFailures         int                    // calls for the list that failed in a row
	servers              map[string]*server
	serverPool                           // all servers in service,
	serversByZone        map[string]int  // how many of them are in each zone,
	pooledClasses        map[*class]bool // and the classes whose pools they are also in
	changedServers       []*server       // servers that may stand otherwise in the order, or not at all
	orderStale           bool            // the order has to be made anew as a whole
	unavailable          int             // listed servers that drain or are ejected
	ejectedServers       []*server       // those of the order
	connectionFaults     fixedPoint      // sum of the parts of broken connections over the order
	warmUnmonitored      [2]int          // warm servers that are in no judged place: far, and near
	warmupQueue          serverQueue     // servers that will be warm
	evidenceQueue        serverQueue     // servers whose evidence will be too old
	requests             map[string]*request
	queued               []*request  // waiting for a usable server, oldest first
	queueTimerSet        bool        // the hold timer is set
	retryBudget          RetryBudget // of attempts beyond the first of each request
	acceptedAt           []Time      // requests taken in the span of the budget of attempts, oldest first
	retriesAt            []Time      // attempts beyond a request's first in it
	completionRate       float64     // answers of warm servers a second, as of doneAt
	completionRateAt     Time
	peakServerRate       float64 // answers a second by a warm server at most of late, as of carriedAt
	peakServerRateAt     Time
	handedOver           bool // another process of this node has taken over
	fleetSize            fleetSize
	badRatio             float64       // part of bad answers lately,
	lostRatio            float64       // and of time-outs and full answers, where nothing is reported
	highPriorityShortage float64       // part of the dearest requests lately that found no room
	zones                []*zoneHealth // in order of their zones; none where the settings name none
	zonesDegraded        bool          // one of them has less than its whole share,
	compareFrom          Time          // and since when they are compared
	retainFor            time.Duration // that servers are kept which a list takes away in a mass
	nearbyNodes          float64       // nodes near this one, itself included; 0 where not known
}

// New returns a node's decisions for the given settings. The seed drives its random choices.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.NodeIndex))), classStats: make(map[string]*classStats),
		buckets: make(map[bucketKey]*bucket), rateMultiplier: 1, windowScale: initialWindowScale,
		servers: make(map[string]*server), requests: make(map[string]*request), loadByKind: make(map[string]*serverLoad),
	}
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

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// Servers counts those in the list, and of them those that get no work now: they drain, or are ejected
// and at most tried out.
func (b *Balancer) Servers() (listed, avoided int) { return len(b.servers), b.unavailable }

// TailLatency is how long slow answers take, in the slowest class.
func (b *Balancer) TailLatency() (longest time.Duration) {
	for _, c := range b.classOrder {
		longest = max(longest, c.tailLatency)
	}
	return longest
}

// fleetSize is what is known of how many nodes there are.
type fleetSize struct {
	configuredNodes int  // by the settings
	hasMembership   bool // there is a membership
	quotaNodes      int  // that quotas are divided by
	reachable       int  // that this node hears, itself included,
	reachableInZone int  // and those of them in its zone; 0 for not known
	shrunkSince     Time // since when more than half of the agreed are heard and not all; 0 for not
	maxReachable    int  // that were heard since
}

// FleetSize tells how many nodes quotas are divided by, how many of them this node hears, and whether it takes
// itself as cut off from the others.
func (b *Balancer) FleetSize() (agreed, heard int, cutOff bool) {
	f := b.fleetSize
	return b.settings.NodeCount, f.reachable, f.hasMembership && 2*f.reachable <= f.quotaNodes
}

// class is a request class with what was learned of it.
type class struct {
	Class
	eligible *serverPool // the servers that it may be sent to
	*classStats
}

// classStats is what is known of a class by its name, also when the settings change it.
type classStats struct {
	timerIndex      int                    // of its timer; below 0 for a class that the settings don't name
	tailLatency     time.Duration          // estimate of a high quantile of its latency
	watched         []attemptWatch         // attempts to look at when they are slow, oldest first
	firstTryTimeout time.Duration          // the longest that a first try was open
	typicalByKind   map[string]*serverLoad // what its answers take, by kind of server, where places are judged
	timerSet        bool                   // the timer for the head of watched is set
}

// server is one listed server as this node sees it.
type server struct {
	Endpoint
	retrySafety          RetrySafety // of the classes that it is open to: those give the trials
	inFlight             int         // this process's attempts out
	siblingInFlight      int         // and those of the node's other process
	concurrencyLimit     float64     // packing threshold, in attempts in flight
	busyUntil            Time        // until then it likely works off an attempt that timed out
	reportedLatency      float64     // latency in its last report, in seconds,
	reportedAt           Time        // and when that came; 0 before the first
	reportedRate         float64     // attempts a second that it can serve by its reports; 0 before the first
	lastSentAt           Time
	lastResponseAt       Time    // when it last answered anything
	meanLatency          float64 // mean latency of its answers, in seconds
	outlier              outlierState
	connectionFaultRatio float64     // part of its answers lately that were broken connections
	zone                 *zoneHealth // nil where the settings name none
	segment              *segment    // of the packing order; nil where it isn't in it
	contribution         contribution
	limitReached         bool    // the threshold was cut at least once, or a report told
	zoneEvidence         float64 // evidence against its place
	zoneEvidenceAt       Time    // and when that was last added to
	missingSince         Time    // since when the list lacks it, which is eased; 0 for not
	warmupBudget         warmupBudget
}

// request is one client request until its answer is given and its attempts are over.
type request struct {
	Request
	maxAttempts     int // attempts by the settings when it came
	class           *class
	deadline        Time
	usefulUntil     Time // later answers earn nothing
	queueUntil      Time // when it is refused if still held
	attempts        []attempt
	pendingAttempts int
	mayHaveRun      *attempt // the first attempt that may have run
	answered        bool     // the final answer is given
	streaming       bool     // the answer has begun
	wasQueued       bool     // it waited for a server at least once
}

type attempt struct {
	server       *server
	sentAt       Time
	finished     bool
	provenNotRun bool // an outcome proved that it never ran
	probation    bool
	warmingUp    bool // to a cold server
	uncounted    bool // no work of its server's: the request isn't whole yet, or its answer has begun
}

type bucketKey struct{ tenant, class string }

// serverLoad is what n reports tell: how many attempts a second servers can serve, and in what time each.
type serverLoad struct{ samples, rate, latency float64 }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	key        bucketKey
	tokens     int64
	refilledAt Time
}

// perSecond is the refill rate of a limit.
func (l Limit) perSecond() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.PerWindow / l.Window.Seconds()
}

// add follows the average over servers, plainly at first.
func (l *serverLoad) add(now serverLoad) {
	l.samples++
	gain := max(kindLoadGain, 1/l.samples)
	l.rate += gain * (now.rate - l.rate)
	l.latency += gain * (now.latency - l.latency)
}

// attemptWatch is one attempt to look at when it has been out for long.
type attemptWatch struct {
	request *request
	attempt int
	dueAt   Time
}

// outlierState is the state of one server's circuit breaker.
type outlierState struct {
	failureScore       float64
	ejected            bool // ejected, or half-open once until has passed
	ejectedUntil       Time
	ejections          int // ejections in a row
	probationSuccesses int // good trials in a row
	probationInFlight  bool
}

// warmupBudget is a token bucket in fractions, which fills as fast as this node may send.
type warmupBudget struct {
	tokens     float64
	refilledAt Time
}

// occupy counts an attempt as in flight at its server, or no longer.
func (b *Balancer) occupy(a *attempt, by int) {
	a.uncounted = by < 0
	if a.server.inFlight += by; !a.warmingUp {
		b.inFlight += by
	}
}

// totalInFlight is how many attempts this node has out at s.
func (s *server) totalInFlight() int { return s.inFlight + s.siblingInFlight }

// responseCounts counts those of a place lately, and the ill ones among them.
type responseCounts struct {
	failures, total float64
	decayedAt       Time
}

func (a *responseCounts) decay(now Time) {
	part := math.Exp(-(now - a.decayedAt).Seconds() / responseDecayTime.Seconds())
	a.failures, a.total, a.decayedAt = a.failures*part, a.total*part, now
}

func (a *responseCounts) record(ill bool) {
	if a.total++; ill {
		a.failures++
	}
}

// zoneHealth is a zone as its servers show it.
type zoneHealth struct {
	responseCounts
	name, region     string                  // and its region
	monitored        bool                    // it is one of those that are judged
	warmServers      int                     // its warm servers
	evidence         fixedPoint              // sum of the evidence of its servers,
	evidenceByKind   map[string]*evidenceSum // and by their kinds
	crossingCost     float64                 // of crossing to it
	trafficShare     float64                 // of the requests that would go there by order and room
	closed           bool                    // to the request in hand
	evacuatedUntil   Time                    // left, and not tried before; 0 for not left
	lastProbeAt      Time                    // when a request last tried it
	probeSuccesses   int                     // good tries in a row
	serversVanished  bool                    // the list took its servers away in a mass
	recovering       bool
	growthTime       time.Duration // in which the share grows e-fold then
	shareUpdatedAt   Time          // as of when the share is
	fullShareSince   Time          // since when it is whole again
	evacuations      int           // it was left lately
	evacuationReason string        // it was left last
}

func (p *zoneHealth) evacuated() bool { return p != nil && p.evacuatedUntil > 0 }
func (p *zoneHealth) isClosed() bool  { return p != nil && p.closed }

func (p *zoneHealth) regionName() string {
	if p == nil {
		return ""
	}
	return p.region
}

// zoneOf is the place that a zone is; nil where the settings name none.
func (b *Balancer) zoneOf(zone string) *zoneHealth {
	if b.settings.Topology == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(b.zones, zone, func(p *zoneHealth, z string) int { return strings.Compare(p.name, z) })
	switch {
	case found:
		return b.zones[i]
	case len(b.zones) >= maxMonitoredZones:
		return &zoneHealth{name: zone, region: b.settings.Topology.region(zone), trafficShare: 1} // served, and not judged
	}
	p := &zoneHealth{name: zone, region: b.settings.Topology.region(zone), trafficShare: 1, monitored: true}
	b.zones = slices.Insert(b.zones, i, p)
	return p
}

const maxMonitoredZones = 1024 // that are judged

// ZoneState is what a node makes of a place.
type ZoneState struct {
	Zone, Region, State  string // well, suspect, left, returning
	Cost, TrafficShare   float64
	Servers, Evacuations int
	Failures, Responses  float64 // answers lately
	RetryIn              time.Duration
	EvacuationReason     string // it was left last
}

// Zones tells what the node makes of each place; none where the settings name none.
func (b *Balancer) Zones(now Time) (all []ZoneState) {
	if b.settings.Topology != nil {
		all = []ZoneState{}
	}
	for _, p := range b.zones {
		p.decay(max(now, b.now))
		s := ZoneState{Zone: p.name, Region: p.region, State: "well", Cost: p.crossingCost, TrafficShare: p.trafficShare,
			Evacuations: p.evacuations, Failures: p.failures, Responses: p.total, EvacuationReason: p.evacuationReason}
		switch {
		case p.evacuated():
			s.State, s.RetryIn = "left", max(0, p.evacuatedUntil-now)
		case p.recovering:
			s.State = "returning"
		case p.trafficShare < 1:
			s.State = "suspect"
		}
		for o := range b.all {
			if o.zone == p {
				s.Servers++
			}
		}
		all = append(all, s)
	}
	return all
}

// crossingCost is what sending to s costs beyond sending to the own zone.
func (b *Balancer) crossingCost(s *server) float64 {
	switch {
	case s.zone != nil:
		s.zone.crossingCost = b.settings.Topology.cost(b.settings.Zone, s.Zone)
		return s.zone.crossingCost
	case s.Zone == b.settings.Zone:
		return 0
	}
	return 1
}

// isNearer tells whether crossing to one server costs less than to another.
func isNearer(a, b *server) bool { return a.zone != nil && a.zone.crossingCost < b.zone.crossingCost }

// warmFraction is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) warmFraction(s *server) float64 {
	age := b.now - s.StartedAt
	if s.StartedAt <= 0 || age >= b.settings.Rules.SlowStartDuration {
		return 1
	}
	share := b.settings.Rules.SlowStartMinCapacity
	return share + (1-share)*max(0, age.Seconds())/b.settings.Rules.SlowStartDuration.Seconds()
}

// logf has a line written to the log.
func (b *Balancer) logf(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// upsertEndpoint takes over one entry of the list.
func (b *Balancer) upsertEndpoint(m Endpoint) {
	s := b.servers[m.ID]
	if s == nil || s.StartedAt != m.StartedAt { // new, or a new process: forget the old one
		if s != nil {
			b.changedServers = append(b.changedServers, s)
		}
		s = &server{meanLatency: b.settings.Classes[0].LatencyObjective.Seconds() / 4}
		// A random part of a token, so that nodes who hear of a cold server together don't all send.
		s.warmupBudget = warmupBudget{tokens: b.rng.Float64(), refilledAt: b.now}
		b.servers[m.ID] = s
	}
	p := b.zoneOf(m.Zone)
	if s.Endpoint != m || s.zone != p {
		b.changedServers = append(b.changedServers, s)
	}
	if s.segment != nil && s.Zone != m.Zone {
		b.serversByZone[s.Zone]--
		b.serversByZone[m.Zone]++
	}
	if s.Endpoint, s.missingSince, s.zone = m, 0, p; s.zone.takeVanished() {
		b.startRecovery(s.zone)
	}
}

// missingEndpoints are the servers that a whole list lacks.
func (b *Balancer) missingEndpoints(list []Endpoint) (gone []*server) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		if m.Availability != Removed {
			named[m.ID] = true
		}
	}
	for id, s := range b.servers {
		if !named[id] {
			gone = append(gone, s)
		}
	}
	return gone
}

// takeVanished tells, once, whether the place's servers had vanished from the list.
func (p *zoneHealth) takeVanished() (was bool) {
	if p != nil {
		was, p.serversVanished = p.serversVanished, false
	}
	return was
}

// typicalLoad is what answers of a class from a kind of server usually take.
func (c *classStats) typicalLoad(kind string) *serverLoad {
	u := c.typicalByKind[kind]
	if u == nil {
		if c.typicalByKind == nil {
			c.typicalByKind = make(map[string]*serverLoad)
		}
		if u = new(serverLoad); len(c.typicalByKind) < maxKinds {
			c.typicalByKind[kind] = u
		}
	}
	return u
}

// InFlight tells how many attempts this process has out at each server.
func (b *Balancer) InFlight() map[string]int {
	all := make(map[string]int)
	for id, s := range b.servers {
		if s.inFlight > 0 {
			all[id] = s.inFlight
		}
	}
	return all
}

// SetSiblingInFlight takes over how many attempts the node's other process has out at each server: thresholds hold for
// both together, or a server would be filled twice while one process replaces the other.
func (b *Balancer) SetSiblingInFlight(out map[string]int) {
	b.siblingInFlight = 0
	for id, s := range b.servers {
		if s.siblingInFlight = max(0, out[id]); !b.paceBoundByWarmup(s) {
			b.siblingInFlight += s.siblingInFlight
		}
	}
}

// armSlowTimer sets the timer of a class for the head of its queue.
func (b *Balancer) armSlowTimer(c *classStats) {
	if !c.timerSet && len(c.watched) > 0 {
		c.timerSet = true
		b.emit(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.watched[0].dueAt-b.now),
			Token: firstClassTimerToken + uint64(c.timerIndex)})
	}
}

// enqueue keeps r until a server may turn up, or its time is up.
func (b *Balancer) enqueue(r *request) {
	r.wasQueued = true
	b.queued = append(b.queued, r)
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: queuePollInterval, Token: queueTimerToken})
	}
}

// trimRetryBudget forgets what has left the span of the budget of attempts.
func (b *Balancer) trimRetryBudget() {
	from := b.now - b.retryBudget.Window
	for len(b.acceptedAt) > 0 && b.acceptedAt[0] <= from {
		b.acceptedAt = b.acceptedAt[1:]
	}
	for len(b.retriesAt) > 0 && b.retriesAt[0] < from {
		b.retriesAt = b.retriesAt[1:]
	}
}

// dispatchQueued tries all held requests again.
func (b *Balancer) dispatchQueued() {
	held := b.queued
	b.queued = nil
	for _, r := range held {
		if !r.answered {
			b.dispatch(r)
		}
	}
}

// peakRate is how many requests a second a warm server was seen to answer for this node, at most of late. What
// is answered now falls with the servers that fail, and those that return would be kept cold by that.
func (b *Balancer) peakRate() float64 {
	now := b.currentCompletionRate() / max(1, float64(b.warmServers()))
	b.peakServerRate = max(now, b.peakServerRate*math.Exp(-(b.now-b.peakServerRateAt).Seconds()/peakRateDecayTime.Seconds()))
	b.peakServerRateAt = b.now
	return b.peakServerRate
}

// reject ends r with a wait that its client is told; 0 for none.
func (b *Balancer) reject(r *request, wait time.Duration) {
	b.emit(Action{Kind: Reject, ID: r.ID, Wait: wait})
	b.finish(r)
}

// finish marks r as answered and calls its attempt off; r is kept until that is over.
func (b *Balancer) finish(r *request) {
	if n := len(r.attempts) - 1; !r.answered && r.pendingAttempts > 0 && b.settings.Allowed.Cancel {
		b.emit(Action{Kind: Cancel, ID: r.ID, Attempt: n})
	}
	if r.answered = true; r.pendingAttempts == 0 {
		delete(b.requests, r.ID)
	}
}

// currentCompletionRate is how many answers a second came lately.
func (b *Balancer) currentCompletionRate() float64 {
	return b.completionRate * math.Exp(-(b.now-b.completionRateAt).Seconds()/completionRateTime.Seconds())
}

// updateMayHaveRun works out which attempt of r may have run first; one without an outcome may have.
func (r *request) updateMayHaveRun() {
	r.mayHaveRun = nil
	for i := range r.attempts {
		if !r.attempts[i].provenNotRun {
			r.mayHaveRun = &r.attempts[i]
			return
		}
	}
}

// updateRatio moves the part of hits lately by one more.
func updateRatio(part *float64, gain float64, hit bool) {
	*part -= gain * *part
	if hit {
		*part += gain
	}
}

// Snapshot is what a process of a node leaves to the one that takes over. Its times are counted from
// the moment it was taken, for each process has a clock of its own; 0 stands for never.
type Snapshot struct {
	Buckets          []BucketSnapshot          `json:"Buckets"`
	Classes          map[string]ClassSnapshot  `json:"Classes"`
	Servers          map[string]ServerSnapshot `json:"Servers"`
	LoadByKind       map[string]LoadSnapshot   `json:"Kinds"`
	TypicalLoad      LoadSnapshot              `json:"Usual"`
	AcceptedAt       []Time                    `json:"Took"`
	RetriesAt        []Time                    `json:"Extra"`
	RateMultiplier   float64                   `json:"Pace"`
	WindowScale      float64                   `json:"Trust"`
	Utilization      float64                   `json:"Busy"`
	BadRatio         float64                   `json:"Bad"`
	CompletionRate   float64                   `json:"Done"`
	ReportedAt       Time                      `json:"HeardAt"`
	CompletionRateAt Time                      `json:"DoneAt"`
}

// BucketSnapshot is one bucket.
type BucketSnapshot struct {
	Tenant     string `json:"Tenant"`
	Class      string `json:"Class"`
	Tokens     int64  `json:"Tokens"`
	RefilledAt Time   `json:"Last"`
}

// ClassSnapshot is what was learned of a class.
type ClassSnapshot struct {
	TailLatency     time.Duration `json:"Tail"`
	FirstTryTimeout time.Duration `json:"FirstTry"`
}

// LoadSnapshot is what reports said of a kind of server.
type LoadSnapshot struct {
	Samples float64 `json:"N"`
	Rate    float64 `json:"Rate"`
	Latency float64 `json:"Latency"`
}

// ServerSnapshot is what was learned of a server, and what of its cold budget is left.
type ServerSnapshot struct {
	StartedAt        Time    `json:"OnlineSince"`
	ConcurrencyLimit float64 `json:"Threshold"`
	MeanLatency      float64 `json:"Latency"`
	ReportedLatency  float64 `json:"Reported"`
	ReportedRate     float64 `json:"Rate"`
	FailureScore     float64 `json:"Score"`
	WarmupTokens     float64 `json:"ColdTokens"`
	LimitReached     bool    `json:"Felt"`
	Ejected          bool    `json:"Out"`
	Ejections        int     `json:"Times"`
	BusyUntil        Time    `json:"BusyTo"`
	ReportedAt       Time    `json:"HeardAt"`
	LastSentAt       Time    `json:"LastSend"`
	LastResponseAt   Time    `json:"LastDone"`
	EjectedUntil     Time    `json:"OutUntil"`
	WarmupRefilledAt Time    `json:"ColdAt"`
}

// toSnapshotTime and at turn times of this process's clock into those of Knowledge, and back.
func (b *Balancer) toSnapshotTime(t Time) Time {
	switch t {
	case 0:
		return 0
	case b.now:
		return -1 // not never
	}
	return t - b.now
}

func (b *Balancer) fromSnapshotTime(t Time) Time {
	if t == 0 {
		return 0
	}
	return max(1, b.now+t)
}

func convertTimes(times []Time, by func(Time) Time) []Time {
	all := make([]Time, len(times))
	for i, t := range times {
		all[i] = by(t)
	}
	return all
}

// Snapshot returns what the process that takes over from this one has to know.
func (b *Balancer) Snapshot(now Time) Snapshot {
	b.now = max(now, b.now)
	k := Snapshot{
		Classes: make(map[string]ClassSnapshot), Servers: make(map[string]ServerSnapshot),
		LoadByKind: make(map[string]LoadSnapshot), TypicalLoad: LoadSnapshot{b.typicalLoad.samples, b.typicalLoad.rate, b.typicalLoad.latency},
		AcceptedAt: convertTimes(b.acceptedAt, b.toSnapshotTime), RetriesAt: convertTimes(b.retriesAt, b.toSnapshotTime),
		RateMultiplier: b.rateMultiplier, WindowScale: b.windowScale, Utilization: b.utilization, BadRatio: b.badRatio, CompletionRate: b.completionRate, ReportedAt: b.toSnapshotTime(b.lastReportAt), CompletionRateAt: b.toSnapshotTime(b.completionRateAt),
	}
	for key, v := range b.buckets {
		k.Buckets = append(k.Buckets, BucketSnapshot{key.tenant, key.class, v.tokens / 2, b.toSnapshotTime(v.refilledAt)})
	}
	for _, c := range b.classOrder {
		k.Classes[c.Name] = ClassSnapshot{c.tailLatency, c.firstTryTimeout}
	}
	for kind, l := range b.loadByKind {
		k.LoadByKind[kind] = LoadSnapshot{l.samples, l.rate, l.latency}
	}
	for id, s := range b.servers {
		k.Servers[id] = ServerSnapshot{
			StartedAt: b.toSnapshotTime(s.StartedAt), ConcurrencyLimit: s.concurrencyLimit, MeanLatency: s.meanLatency, ReportedLatency: s.reportedLatency,
			ReportedRate: s.reportedRate, FailureScore: s.outlier.failureScore, WarmupTokens: s.warmupBudget.tokens, LimitReached: s.limitReached, Ejected: s.outlier.ejected,
			Ejections: s.outlier.ejections, BusyUntil: b.toSnapshotTime(s.busyUntil), ReportedAt: b.toSnapshotTime(s.reportedAt),
			LastSentAt: b.toSnapshotTime(s.lastSentAt), LastResponseAt: b.toSnapshotTime(s.lastResponseAt), EjectedUntil: b.toSnapshotTime(s.outlier.ejectedUntil),
			WarmupRefilledAt: b.toSnapshotTime(s.warmupBudget.refilledAt),
		}
	}
	return k
}

// startTimeTolerance is how far two processes may differ on when a server started: each rounds its own clock.
const startTimeTolerance = 20 * time.Millisecond

// Restore takes over what another process of this node knew. The list of servers comes first.
func (b *Balancer) Restore(now Time, k Snapshot) {
	b.now = max(now, b.now)
	b.typicalLoad = serverLoad{k.TypicalLoad.Samples, k.TypicalLoad.Rate, k.TypicalLoad.Latency}
	b.acceptedAt, b.retriesAt = convertTimes(k.AcceptedAt, b.fromSnapshotTime), convertTimes(k.RetriesAt, b.fromSnapshotTime)
	b.rateMultiplier, b.windowScale, b.utilization, b.badRatio, b.completionRate = k.RateMultiplier, k.WindowScale, k.Utilization, k.BadRatio, k.CompletionRate
	b.lastReportAt, b.completionRateAt = b.fromSnapshotTime(k.ReportedAt), b.fromSnapshotTime(k.CompletionRateAt)
	for _, v := range k.Buckets {
		bucket := b.bucketOf(bucketKey{v.Tenant, v.Class}, 0)
		bucket.tokens, bucket.refilledAt = v.Tokens, b.fromSnapshotTime(v.RefilledAt)
	}
	for _, c := range b.classOrder {
		if known, ok := k.Classes[c.Name]; ok {
			c.tailLatency, c.firstTryTimeout = known.TailLatency, known.FirstTryTimeout
		}
	}
	for kind, l := range k.LoadByKind {
		b.loadByKind[kind] = &serverLoad{l.Samples, l.Rate, l.Latency}
	}
	for id, v := range k.Servers {
		s := b.servers[id]
		if s == nil || (s.StartedAt-b.fromSnapshotTime(v.StartedAt)).Abs() > startTimeTolerance {
			continue // another process of it, or gone
		}
		s.concurrencyLimit, s.meanLatency, s.reportedLatency, s.reportedRate, s.limitReached = v.ConcurrencyLimit, v.MeanLatency, v.ReportedLatency, v.ReportedRate, v.LimitReached
		s.busyUntil, s.reportedAt = b.fromSnapshotTime(v.BusyUntil), b.fromSnapshotTime(v.ReportedAt)
		s.lastSentAt, s.lastResponseAt = b.fromSnapshotTime(v.LastSentAt), b.fromSnapshotTime(v.LastResponseAt)
		s.outlier = outlierState{failureScore: v.FailureScore, ejected: v.Ejected, ejectedUntil: b.fromSnapshotTime(v.EjectedUntil), ejections: v.Ejections}
		s.warmupBudget = warmupBudget{tokens: v.WarmupTokens, refilledAt: b.fromSnapshotTime(v.WarmupRefilledAt)}
	}
	b.rebuildOrder(nil)
	b.orderStale = true // a threshold that the other process had not set yet is set with the next list
}

// applySettings takes over settings. What was learned stays.
func (b *Balancer) applySettings(set Settings) {
	if !reflect.DeepEqual(set.Topology, b.settings.Topology) { // they are judged anew
		b.zones = nil
	}
	b.settings, b.retryBudget, b.orderStale = set, defaultRetryBudget, true
	b.settings.NodeCount = b.fleetSize.configure(set.NodeCount)
	if b.retainFor = maxRetainTime; set.Rules.DrainGrace > 0 {
		b.retainFor = min(maxRetainTime, set.Rules.DrainGrace/2)
	}
	if set.Rules.RetryBudget != nil {
		b.retryBudget = *set.Rules.RetryBudget
	}
	for i, name := range []string{reportLatency, reportUtil, reportRate} {
		b.reportColumns[i] = slices.Index(set.ReportFields, name)
	}
	b.formerClasses, b.classes, b.classOrder, b.maxPriorityWeight = b.classes, make(map[string]*class), nil, 0
	for _, c := range set.Classes {
		if c.LatencyObjective == 0 {
			c.LatencyObjective = c.Deadline
		}
		b.classOrder = append(b.classOrder, &class{Class: c, eligible: &b.serverPool, classStats: b.classStatsOf(c)})
		b.classes[c.Name] = b.classOrder[len(b.classOrder)-1]
		b.maxPriorityWeight = max(b.maxPriorityWeight, c.PriorityWeight)
	}
	b.divideQuotas()
}

// divideQuotas works out this node's part of each quota.
func (b *Balancer) divideQuotas() {
	set := b.settings
	b.tenantLimits, b.defaultLimit = make(map[string]Limit), set.Limits.Default
	for _, t := range set.Tenants { // a tenant that nobody agreed a share with counts as the smallest
		l := b.nodeLimit(t.Quota)
		b.tenantLimits[t.Name] = l
		if set.Limits.Default == nil && (b.defaultLimit == nil || l.PerWindow < b.defaultLimit.PerWindow) {
			b.defaultLimit = &l
		}
	}
}

// classStatsOf is what is known of c by its name.
func (b *Balancer) classStatsOf(c Class) *classStats {
	l := b.classStats[c.Name]
	if l == nil {
		l = &classStats{timerIndex: len(b.classesByTimer), tailLatency: c.LatencyObjective / 2}
		b.classStats[c.Name] = l
		b.classesByTimer = append(b.classesByTimer, l)
	}
	if was := b.formerClasses[c.Name]; was != nil && was.Deadline != c.Deadline {
		l.firstTryTimeout = 0 // a part of the deadline, and that is another now
	}
	l.tailLatency = min(l.tailLatency, c.LatencyObjective)
	return l
}

// classesInUse are the classes that requests may be in: those of the settings, of the former ones, and of what
// is open since before.
func (b *Balancer) classesInUse() map[*class]bool {
	all := make(map[*class]bool)
	for _, c := range b.classOrder {
		all[c] = true
	}
	for _, c := range b.formerClasses {
		all[c] = true
	}
	for _, r := range b.requests {
		if r.class.timerIndex >= 0 { // one that the settings don't name is open to all, and gives no trials
			all[r.class] = true
		}
	}
	return all
}
