// Every decision of sloerail, in the order in which a request lives: admission, choice, attempts, outcomes,
// health, cold start, list; fleet.go decides how many nodes share a quota, places.go on zones.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// onSettings goes on by other settings with all that was learned. Open requests keep their class.
func (b *Balancer) onSettings(set Settings) {
	asks := set.Subscribe && !b.set.Subscribe
	b.configure(set)
	b.reorder()
	if asks {
		b.askList()
	}
}

// ---- Admission: a token bucket for each tenant, and class where told ----

const (
	rateWindow = time.Second // of limits made from quotas; also the retry-after of a quota of zero
	burst      = 0.5         // seconds of a quota's rate in its bucket: the bursts within a share
	minBurst   = 3           // tokens, so that a sliver of a quota still passes a few at once
	maxBuckets = 4096        // where clients name tenants freely; further ones without a quota share one
	// refillLoss makes up for the fractions lost in whole-token refill, which let Poisson arrivals pass
	// only up to ln 2 of the rate. Far above it 1/(1/r + 1/a) still passes, of refill r and arrivals a.
	refillLoss = 1 / math.Ln2
)

// refill adds the whole tokens of the time gone by, which resets the refill time, up to the burst.
func (k *bucket) refill(now Time, perSecond float64, burst int64) {
	add := math.Floor((now - k.last).Seconds() * perSecond)
	if add >= 1 {
		k.tokens, k.last = min(burst, k.tokens+int64(min(add, float64(burst)))), now
	}
}

// retryAfter is the wait, in whole seconds, that a refused client is told.
func (l Limit) retryAfter() time.Duration {
	rate := l.perSecond()
	if rate <= 0 {
		return l.Window
	}
	return max(1, time.Duration(math.Ceil(min(1/rate, math.MaxInt32)))) * time.Second
}

// shareOf is this node's part of a quota that holds over all nodes.
func (b *Balancer) shareOf(quota float64) Limit {
	rate := quota / float64(b.set.Nodes) * refillLoss
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*burst)))}
}

// limitFor resolves the layers: tenant's share or default, override for the class, platform maximum.
func (b *Balancer) limitFor(tenant, class string) (l Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if o, found := b.set.Limits.PerClass[class]; found {
		key.class, l, ok = class, o, true
	} else if l, ok = b.tenants[tenant]; !ok && b.other != nil {
		l, ok = *b.other, true
	}
	if most := b.set.Limits.Max; most > 0 {
		l.PerWindow, l.Burst = min(l.PerWindow, most), min(l.Burst, int64(most))
	}
	return l, key, ok
}

// admit takes a token, or says how long the client should wait.
func (b *Balancer) admit(tenant, class string) (bool, time.Duration) {
	l, key, ok := b.limitFor(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow *= b.pace
	b.dropBuckets()
	_, told := b.tenants[tenant]
	if !told && b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
		key = bucketKey{}
	}
	k := b.bucketOf(key, l.Burst)
	if !b.handedOver {
		k.refill(b.now, l.perSecond(), l.Burst)
	}
	if k.tokens <= 0 {
		b.refused = true
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

func (b *Balancer) onRequest(e Request) {
	if b.reqs[e.ID] != nil {
		return // a duplicate of a request in hand
	}
	c := b.classes[e.Class]
	if was := b.former[e.Class]; e.Former && was != nil {
		c = was
	}
	if c == nil { // not in the settings: one safe try, never repeated
		c = &class{Class: Class{Aim: e.ExpiresIn, LateWorth: 1}, open: &b.pool, classStats: &classStats{index: -1}}
	}
	r := &request{Request: e, class: c, most: max(1, b.set.Allowed.MaxAttempts)}
	b.due(r)
	b.reqs[r.ID] = r
	b.took = append(b.took, b.now)
	b.trimBudget()
	if b.shed(c) {
		b.refuse(r, 0)
		return
	}
	if ok, wait := b.admit(e.Tenant, e.Class); !ok {
		b.refuse(r, wait)
		return
	}
	b.dispatch(r)
}

// shed draws whether a request is given up at once, since the dearest find no room: the more of them, and the
// less it is worth, the likelier. Where reports tell of room, the crowd limits do that.
func (b *Balancer) shed(c *class) bool {
	if b.measured() || b.starved == 0 || c.Worth >= b.dearest {
		return false
	}
	return b.rng.Float64() < min(shedMost, starveCut*b.starved*(1-c.Worth/b.dearest))
}

// due sets by when r is to be answered. A request that isn't whole has time: the node sees to it that
// its bytes keep coming, and until the last of them no server works on it.
func (b *Balancer) due(r *request) {
	aim := r.class.Aim + time.Duration(r.class.AimStretch*float64(r.Hint)) - r.class.waited(r.Request)
	r.deadline = b.now + r.ExpiresIn
	r.giveUp, r.worthTo = min(r.deadline, b.now+aim/2), r.deadline
	if r.class.LateWorth <= 0 {
		r.worthTo = min(r.deadline, b.now+aim)
	}
	if r.Partial {
		r.deadline, r.worthTo = b.now+partialMost, b.now+partialMost
	}
}

// onComplete starts the time of a request that was sent on while it came in.
func (b *Balancer) onComplete(e Complete) {
	r := b.reqs[e.ID]
	if r == nil || !r.Partial {
		return
	}
	r.Partial = false
	b.due(r)
	if n := len(r.attempts) - 1; r.pending > 0 {
		b.emit(Action{Kind: Bound, ID: r.ID, Attempt: n, Until: r.worthTo})
		if r.attempts[n].sent = b.now; r.attempts[n].light {
			b.occupy(&r.attempts[n], 1)
		}
		b.watch(r)
	}
}

const partialMost = 15 * time.Minute // for a request to come in, at the least pace that a node bears

// waited tells for how long the client of e has been asking: its aim counts from the first try, and work
// for an answer after that is lost. A first try is open for a part of the deadline that is the same for
// all; one that is open for less ends with the deadline, which tells when the first began.
func (c *class) waited(e Request) time.Duration {
	if !e.Retry {
		c.firstTry = max(c.firstTry, e.ExpiresIn)
		return 0
	}
	if c.Deadline > 0 && e.ExpiresIn < c.firstTry-firstTrySlack {
		return max(0, c.Deadline-e.ExpiresIn)
	}
	return c.Aim / 4
}

const firstTrySlack = 50 * time.Millisecond // of the time that a first try is open, on its way here

const (
	paceGrow, paceCut = 0.02, 0.02 // steps of the bucket rates at each choice: half may find no room
	paceLeast         = 0.3        // below, in-share traffic starves by faults that shedding can't mend
	paceShare         = 1.5        // above, only while few answers are bad
	paceBad, badGain  = 0.06, 0.01 // of the answers, and the weight of one
	lostGain          = 0.05       // the same among those that came too late, or of servers that were full
	shedMost          = 0.9        // of a class: some go on, lest room that comes back stay unseen
	paceMost          = 3.0        // above, there is little worth left to win
)

// follow scales all bucket rates alike by whether the servers have room: without it a slowdown of the
// fleet sheds nothing, and a node that sees more than its even part of a quota refuses in-share traffic. Lost
// attempts tell of room where nodes are so many that their least thresholds for a server jam it together.
func (b *Balancer) follow(room bool) {
	switch {
	case !room && b.measured(): // what is worth least is given up first, not a part of all
		b.pace = max(1, b.pace*(1-paceCut))
	case !room || b.lost > paceBad && !b.measured() && leastPart*float64(b.set.Nodes) > startFew:
		b.pace = max(paceLeast, b.pace*(1-paceCut))
	case b.pace > paceShare && b.bad > paceBad:
		b.pace *= 1 - paceCut
	case b.refused && (b.pace < paceShare || b.bad < paceBad): // only a rate that was felt is raised
		b.pace = min(b.paceTop(), b.pace*(1+paceGrow))
	}
	b.refused = false
}

// ---- Choice: packing in id order under a learned threshold ----

const (
	manyNodes             = 3         // nodes; more would jam the first server, so each walks from elsewhere
	startFew              = 10.0      // attempts first trusted to a server by all nodes
	leastPart             = 0.25      // part of its start below which no threshold falls
	thresholdGrow         = 0.05      // attempts a good answer adds; against slowCut, a sixth may be slow
	slowCut               = 0.25      // attempts a slow answer takes off
	failureCut            = 0.3       // attempts a full answer or a failure takes off
	crowdLimit            = 2.0       // times its limit, the least busy is filled by the dearest class,
	toldLimit             = 1.5       // or this where reports make it: own answers tell too little of room,
	crowdLeast            = 0.8       // and down to this by one that is worth next to nothing
	starveGain, starveCut = 0.05, 4.0 // weight of one of the dearest without room; times that comes off
	slowPart              = 0.4       // part of the aim from which an answer waited about as long as it ran
)

// pick chooses a server: the first ready one in id order that holds fewer of this node's attempts
// than its threshold, else the least busy; nil where none may be used. Room is also reported where
// the least busy was never cut: what it takes is not known yet.
func (b *Balancer) pick(r *request) (s *server, room bool) {
	crowd, most := b.crowd(), b.crowdMost(r.class)
	b.choosePlaces(r)
	if s = b.slowStart(r); s != nil {
		return s, true
	}
	var least *server
	for s := range r.class.open.all {
		if !b.usable(r, s) {
			continue
		}
		if (crowd < min(1, most) || b.paced(s)) && b.hasRoom(s) {
			return s, true
		}
		if least == nil || b.crowding(s) < b.crowding(least) && (!nearer(least, s) || b.crowding(least) >= 1) {
			least = s
		}
	}
	b.wanted = true
	if least != nil && max(crowd, b.crowding(least)) > most {
		return nil, !least.felt
	}
	return least, least != nil && !least.felt
}

// slowStart returns a cold server of the nearest that may get a request now: the walk meets those behind
// servers with room too seldom for them to use their part, and they are missed when others fail. The dearest
// class goes there once it is short of room, and no further attempt does. Only a few cold ones are looked at.
func (b *Balancer) slowStart(r *request) (best *server) {
	dearest := r.class.Worth >= b.dearest && b.starved < starvedLittle
	if b.settleWarm(); b.measured() || dearest || len(r.attempts) > 0 {
		return nil
	}
	for _, e := range b.warming[:min(len(b.warming), coldLooked)] {
		if s := e.server; s.segment != nil && s.segment == b.segments[0] && b.usable(r, s) && b.hasRoom(s) &&
			(best == nil || s.cold.tokens > best.cold.tokens) {
			best = s
		}
	}
	return best
}

// crowdMost is how many times its limit the least busy server is filled for a class. Without room for
// all, what is worth less is given up first; beyond the most, answers would only be late.
func (b *Balancer) crowdMost(c *class) float64 {
	most := crowdLimit
	if b.measured() {
		most = toldLimit
	}
	if b.dearest <= 0 { // the site states no worth
		return most
	}
	least := max(0, crowdLeast-starveCut*b.starved)
	return least + (most-least)*c.Worth/b.dearest
}

// start is what each server is first trusted with by this node: a part of its fair one by reports.
func (b *Balancer) start() float64 {
	if b.measured() {
		return 1
	}
	return max(1, startFew/float64(b.set.Nodes))
}

// crowding sets attempts in flight against what s was seen to take, lest one that others fill look idle.
// A threshold under one is kept in time, and so is crowding then.
func (b *Balancer) crowding(s *server) float64 {
	limit := b.limit(s)
	if limit < 1 && s.out() == 0 && b.measured() {
		return s.latency / limit / (s.latency + (b.now - s.lastSend).Seconds())
	}
	return float64(s.out()+1) / limit
}

// limit is how many attempts this node holds at s while there is room elsewhere.
func (b *Balancer) limit(s *server) float64 {
	if b.measured() {
		return b.fair(s)
	}
	return s.threshold
}

// hasRoom tells whether a server is under its threshold. A threshold under one is kept in time.
func (b *Balancer) hasRoom(s *server) bool {
	if b.now < s.busyTo {
		return false
	}
	limit := b.limit(s)
	if limit >= 1 {
		return float64(s.out()) < limit
	}
	return s.out() == 0 && b.now-s.lastSend >= seconds(s.latency*(1/limit-1))
}

// usable tells whether r may go to s now: s is in service, the rules allow it, and, if cold, it has room.
func (b *Balancer) usable(r *request, s *server) bool {
	return !s.health.out && !s.place.closed() && b.mayRun(r, s) && b.inTime(r, s) && b.coldRoom(s)
}

// inTime tells whether s would likely answer r while that is worth something: a cold or choked server
// takes several times as long as a warm one, and work for an answer that comes late is lost.
func (b *Balancer) inTime(r *request, s *server) bool {
	k := b.kinds[s.Kind]
	if k == nil || !b.measured() {
		return true
	}
	takes := k.latency / b.ramp(s)
	if s.heardAt > 0 { // as it said, the less so the longer ago that was
		takes += (s.reported - takes) * math.Exp(-(b.now-s.heardAt).Seconds()/slowSpan.Seconds())
	}
	return takes <= slowMost*(r.worthTo-b.now).Seconds()
}

// permits guards the fifth rule: a class bound to zones or kinds of server goes nowhere else.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone)) &&
		(len(c.Regions) == 0 || slices.Contains(c.Regions, s.place.region()))
}

// mayRun guards the fifth rule, and the second: what may have run only goes where repeats are dropped.
func (b *Balancer) mayRun(r *request, s *server) bool {
	if !r.class.permits(s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if r.ranOn == nil || r.class.Repeat == Free {
		return true
	}
	if r.class.Repeat != Guarded || b.now >= r.ranOn.sent+r.class.Window {
		return false
	}
	switch r.class.Group {
	case GroupAll:
		return true
	case GroupZone:
		return s.Zone == r.ranOn.server.Zone
	}
	return s.Cell == r.ranOn.server.Cell
}

// learn moves the threshold of s by one outcome. Steps shrink with a threshold under one, so that it
// settles where thresholdGrow/(thresholdGrow+slowCut) of the answers are slow, at any size.
func (b *Balancer) learn(s *server, c *class, code Code, latency time.Duration, blame float64) {
	step := 0.0
	switch {
	case code != OK:
		step = -failureCut * blame
	case latency > seconds(slowPart*c.Aim.Seconds()):
		step = -slowCut
	case float64(s.out()+1) >= b.limit(s): // answered well, and the threshold was felt
		step = thresholdGrow
	}
	track(&b.bad, badGain, step < 0)
	if b.measured() {
		b.fault(s, code, latency, blame)
		return
	}
	track(&b.lost, lostGain, code == TimedOut || code == Full)
	s.felt = s.felt || step < 0
	s.threshold = max(leastPart*b.start(), s.threshold+step*min(1, s.threshold))
}

// ---- Load reports: what servers say of themselves ----

const (
	reportLatency, reportUtil, reportRate = "latency_ms", "util", "qps"

	loadGain   = 0.5             // weight of one report in what is known of its server,
	kindGain   = 0.05            // and of the warm ones of its kind
	loadLeast  = 0.3             // busy part of the cores below which a report tells little of them,
	loadMost   = 0.8             // and above which they say more of the crowd than of the server
	utilMost   = 1.5             // busy part and
	rateMost   = 1e6             // rate above which a report is rubbish
	maxKinds   = 64              // that are told apart; servers of further ones count as the usual
	slowSpan   = 5 * time.Second // in which what a server said of its latency is forgotten
	slowMost   = 0.5             // part of the time left that the usual answer of a server may take
	busyGain   = 0.1             // weight of one report in how busy servers are: one alone is far off either way
	utilAim    = 0.8             // busy part that all nodes together aim at
	trustSpan  = 3 * time.Second // in which the trust follows the busy part: reports come a second or two late
	trustFall  = 3.0             // how much faster it falls than it rises
	trustFirst = 1.0             // of every node,
	startTold  = 6.0             // in attempts at a server by all nodes together
	trustLow   = 0.2             // least trust
	spread     = 1.25            // times an even part of its window that a node may hold at a server at least
	partLeast  = 0.7             // attempts that a node may hold at the usual server, whatever the nodes
	easeBy     = 4.0             // times what is busy beyond the aim comes off a server's threshold
	easeLeast  = 0.1             // part of it that stays
	restSlow   = 4.0             // times the usual latency of its kind from which a busy server needs a rest
	sizeMost   = 1.5             // times the rate of its kind, and no server counts for more
	crowdSlow  = 2.0             // times the usual latency of its kind from which a server is eased
)

// measured tells whether thresholds rest on load reports: of many nodes each sees too little of a server to
// learn by its own answers, while a report tells how many cores it has and how fast it is, whoever fills it.
func (b *Balancer) measured() bool {
	return b.staggered() && min(b.reports[0], b.reports[1], b.reports[2]) >= 0
}

// fair is what this node may hold at s: its part of all that it may have out, by what s can serve, and one
// worth keeping a connection for: so a node walks over few servers and hears of each often.
func (b *Balancer) fair(s *server) float64 {
	size := b.ramp(s)
	if b.usual.n > 0 {
		size = b.capacity(s) / b.usual.rate
	}
	return s.threshold * size * max(partLeast, spread*b.window()/max(1, b.warmWeight())*b.parts(s))
}

// window is how many attempts this node may have out: its part of what servers are first trusted with,
// scaled by the trust.
func (b *Balancer) window() float64 {
	return max(1, b.trust*startTold*b.warmWeight()/float64(b.set.Nodes))
}

// capacity is how many attempts a second s can serve: by its own reports, or as others of its kind.
func (b *Balancer) capacity(s *server) float64 {
	k := b.kinds[s.Kind]
	if k == nil {
		k = &b.usual
	}
	if s.rate > 0 {
		return min(sizeMost*k.rate, s.rate)
	}
	return k.rate * b.ramp(s)
}

// paced tells whether s is cold: the pace that its age allows bounds what it gets, and the window doesn't.
func (b *Balancer) paced(s *server) bool { return b.measured() && b.ramp(s) < 1 }

// crowd sets all attempts of this node in flight against its window.
func (b *Balancer) crowd() float64 {
	if !b.measured() {
		return 0
	}
	return float64(b.inflight+b.beside) / b.window()
}

// hear learns from the report in a good answer of s: what it can serve, and whether it is far slower than
// others of its kind. How busy servers are moves the trust: down where too busy, up where no room was found.
func (b *Balancer) hear(s *server, row []float64) {
	if !b.measured() || len(row) < len(b.set.Report) {
		return
	}
	latency, util, rate := row[b.reports[0]]/1000, row[b.reports[1]], row[b.reports[2]]
	if !(latency > 0 && util > 0 && util <= utilMost && rate > 0 && rate < rateMost) { // rubbish, or idle
		return
	}
	if util >= loadLeast && util <= loadMost {
		b.size(s, load{rate: rate / util, latency: latency})
	}
	s.reported, s.heardAt, s.felt = latency, b.now, true // what it takes is known
	ease := 1.0
	if k := b.kinds[s.Kind]; k != nil {
		ease = max(easeLeast, min(1, crowdSlow*k.latency/latency, 1-easeBy*(util-utilAim)))
		if util > utilAim && latency > restSlow*k.latency && !s.health.out && b.mayEject(s) {
			b.eject(s)
		}
	}
	s.threshold += loadGain * (ease - s.threshold)
	if k := b.kinds[s.Kind]; k == nil || b.ramp(s) < 1 || latency > restSlow*k.latency {
		return // a cold or choked server says nothing of the others
	}
	if b.heardAt == 0 {
		b.busy = util
	}
	b.busy += busyGain * (util - b.busy)
	err, dt := utilAim-b.busy, min(b.now-b.heardAt, time.Second)
	if err < 0 {
		err *= trustFall
	}
	if err < 0 || b.wanted {
		b.trustBy(math.Exp(err * dt.Seconds() / trustSpan.Seconds()))
	}
	b.wanted, b.heardAt = false, b.now
}

func (b *Balancer) trustBy(factor float64) {
	b.trust = min(float64(b.set.Nodes), max(trustLow, b.trust*factor))
}

// fault learns from an outcome what reports don't tell.
func (b *Balancer) fault(s *server, code Code, latency time.Duration, blame float64) {
	switch code {
	case OK:
		return
	case TimedOut: // it still waits or runs there, though it is not in flight for this node any more
		s.busyTo = b.now + latency
	}
	s.felt, s.threshold = true, max(easeLeast, s.threshold*(1-failureCut*blame))
}

// size takes over what s can serve, and what the warm ones of its kind can.
func (b *Balancer) size(s *server, now load) {
	if b.ramp(s) >= 1 {
		if b.kinds[s.Kind] == nil && len(b.kinds) < maxKinds {
			b.kinds[s.Kind] = &load{}
		}
		if k := b.kinds[s.Kind]; k != nil {
			k.add(now)
		}
		b.usual.add(now)
	}
	if s.rate == 0 { // its first report
		s.rate = now.rate
	}
	s.rate += loadGain * (now.rate - s.rate)
}

// ---- Attempts: sending, retries, holding ----

const (
	holdPoll    = 20 * time.Millisecond // between looks at held requests
	tailPart    = 0.95                  // latency quantile of a class at which attempts are looked at again
	tailStep    = 0.1                   // part by which the estimate of it moves
	tailMargin  = 1.2                   // times that quantile, an attempt counts as slow
	latencyGain = 0.2                   // weight of one answer in the mean latency of a server
	doneSpan    = 3 * time.Second       // memory of the rate of answers: holds a few at a quiet node

	holdToken, listToken, fleetToken, easeToken, watchToken = 1, 2, 3, 4, 8 // of timers; the classes' follow
)

var defaultBudget = Budget{Least: 20, Share: 0.2, Span: 10 * time.Second} // where the site states none

// dispatch sends r to a server, or holds it while one may still turn up, or gives up.
func (b *Balancer) dispatch(r *request) {
	if b.spent(r) || len(r.attempts) > 0 && !b.mayRepeat() {
		b.giveUp(r)
		return
	}
	s := b.trial(r)
	if s == nil {
		s = b.scout(r)
	}
	trial, room := s != nil, false
	if !trial {
		s, room = b.pick(r)
	}
	if !trial && !r.held { // each request tells of room once, however long it is held
		b.follow(room)
		if r.class.Worth >= b.dearest {
			track(&b.starved, starveGain, s == nil)
		}
	}
	switch {
	case s != nil:
		b.send(r, s, trial)
	case r.ranOn == nil && b.now+holdPoll < r.giveUp:
		b.hold(r)
	default:
		b.giveUp(r)
	}
}

// spent tells whether r has had its attempts, or its time to be worth another.
func (b *Balancer) spent(r *request) bool {
	return len(r.attempts) >= min(r.most, max(1, b.set.Allowed.MaxAttempts)) || b.now >= r.worthTo
}

// mayRepeat guards the sixth rule: attempts beyond each request's first stay within the site's budget, or the
// default one. It is counted exactly over its sliding span, and on the safe side at its edges.
func (b *Balancer) mayRepeat() bool {
	if b.handedOver {
		return false
	}
	b.trimBudget()
	return float64(len(b.extra)+1) <= b.budget.Least+b.budget.Share*float64(len(b.took))-1e-9 // of rounding
}

func (b *Balancer) send(r *request, s *server, trial bool) {
	if len(r.attempts) > 0 {
		b.extra = append(b.extra, b.now)
	}
	b.emit(Action{Kind: Send, ID: r.ID, Server: s.Server, Until: r.worthTo})
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now, trial: trial,
		paced: b.paced(s), light: r.Partial})
	r.pending++
	s.lastSend = b.now
	s.cold.tokens--
	r.settle()
	if !r.Partial {
		b.occupy(&r.attempts[len(r.attempts)-1], 1)
		b.watch(r)
	}
}

// watch queues r's newest attempt: a class waits about equally long, so one timer serves for all.
func (b *Balancer) watch(r *request) {
	if c := r.class; c.index >= 0 {
		due := b.now + time.Duration(tailMargin*float64(c.tail))
		c.watched = append(c.watched, watch{r, len(r.attempts) - 1, due})
		b.arm(c.classStats)
	}
}

func (b *Balancer) onTimer(token uint64) {
	switch {
	case token == holdToken:
		b.holding = false
		b.release()
	case token == listToken:
		b.askList()
	case token == fleetToken:
		b.settleFleet()
	case token == easeToken:
		b.letGo()
	case token >= watchToken && token < watchToken+uint64(len(b.watches)):
		b.sweep(b.watches[token-watchToken])
	}
}

// sweep looks at the attempts of a class that have been out for long: a server silent since then
// gets a strike. No second copy goes out: an attempt at a time is the rule.
func (b *Balancer) sweep(c *classStats) {
	c.armed = false
	for len(c.watched) > 0 && c.watched[0].due <= b.now {
		w := c.watched[0]
		c.watched[0] = watch{}
		c.watched = c.watched[1:]
		a := &w.req.attempts[w.attempt]
		if a.over || a.server.lastDone >= a.sent {
			continue // a server that answers others has a heavy request
		}
		b.strike(a.server, silenceWeight)
		b.witness(a, 1)
	}
	b.arm(c)
}

// giveUp ends r unserved: refused where that is allowed, else failed.
func (b *Balancer) giveUp(r *request) {
	if r.ranOn == nil || r.class.Repeat == Free || r.class.Repeat == Guarded && r.class.Group == GroupAll {
		b.refuse(r, 0)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.ID})
	b.end(r)
}

// ---- Outcomes ----

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.reqs[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.stream = true
		if a := &r.attempts[e.Attempt]; !a.light && !a.over { // the server has done its work
			b.occupy(a, -1)
		}
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].over {
		return // late or twice
	}
	a := &r.attempts[e.Attempt]
	a.over, a.notRun = true, e.Code.NotRun()
	r.pending--
	if !a.light {
		b.occupy(a, -1)
	}
	r.settle()
	b.observe(r, a, e)
	switch {
	case e.Ended || r.ended || e.Code == OK:
		b.end(r)
	case e.Code == Moot || b.now >= r.deadline || r.stream || e.Spent ||
		r.ranOn != nil && r.class.Repeat == Never:
		b.giveUp(r)
	default:
		b.dispatch(r)
	}
}

// observe learns from an outcome: latency, threshold and health.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	s, c := a.server, r.class
	if a.trial {
		s.health.trialOut = false
	}
	switch e.Code {
	case Moot:
		return
	case Cancelled:
		if !a.trial { // our own doing; but a trial that its client didn't wait for has failed
			return
		}
	case OK, ServerError, Full:
		s.lastDone = b.now
	}
	if s.place != nil && e.Code != Full && e.Code != Cancelled { // a full one has work
		b.witness(a, b.ill(s, c, e.Code, e.Latency.Seconds()))
	}
	blame := b.blame(s, e.Code)
	b.learn(s, c, e.Code, e.Latency, blame)
	if e.Code == OK || e.Code == TimedOut {
		s.latency += latencyGain * (e.Latency.Seconds() - s.latency)
	}
	b.hear(s, e.Report)
	if e.Code == OK && b.ramp(s) >= 1 {
		b.done, b.doneAt = b.doneRate()+1/doneSpan.Seconds(), b.now
		b.carried()
	}
	if e.Code == OK {
		c.observe(e.Latency)
	}
	b.judge(a, e.Code, blame)
}

// observe follows the slow tail of the latency of a class.
func (c *class) observe(latency time.Duration) {
	step := -(1 - tailPart)
	if latency > c.tail {
		step = tailPart
	}
	c.tail = min(c.Aim, c.tail+time.Duration(tailStep*step*float64(c.tail)))
}

// ---- Health: outlier ejection and half-open trials ----

const (
	failWeight    = 0.3             // of one failure in the score: two in a row eject, a lone one doesn't
	silenceWeight = 0.15            // of an attempt out for long at a silent server: it may just be heavy
	fullWeight    = 0.2             // of a full answer: a server that keeps giving those needs a rest
	failLimit     = 0.5             // score that ejects
	faultGain     = 0.1             // weight of one answer in the part of a server's that are faults
	faultTimes    = 2.0             // times that part at the others, one says nothing of its server
	ejectFirst    = time.Second     // first ejection, doubled each time
	ejectMost     = 8 * time.Second // up to this
	maxEjected    = 0.4             // part of the fleet; when more seems broken, the cause isn't the servers
	trialsNeeded  = 3               // good trials in a row: half of them pass at a server that fails half
)

// blame is how far a failure is its server's own: connections that break at all servers alike, as where the
// network resets them, would leave no server a threshold and eject as many as may be.
func (b *Balancer) blame(s *server, code Code) float64 {
	fault := code == Reset || code == ConnectFailed // an error is a server's own
	others := b.trackFaults(s, fault)
	if !fault || b.length < 2 {
		return 1
	}
	return max(0, 1-faultTimes*max(0, others)/float64(b.length-1)/s.faults)
}

// judge moves the breaker of an attempt's server by its outcome.
func (b *Balancer) judge(a *attempt, code Code, blame float64) {
	s, h := a.server, &a.server.health
	switch {
	case h.out && a.trial && code == OK:
		if h.trials++; h.trials >= trialsNeeded {
			*h, s.threshold = health{}, b.start()
			b.countEjected(s)
		}
	case h.out && a.trial: // full too: a hung server turns away what it has no room for
		b.eject(s)
	case code == OK:
		h.score -= failWeight * h.score
	case code == Full:
		b.strike(s, fullWeight)
	case code != TimedOut || s.lastDone < a.sent: // a server that answers others isn't hung
		b.strike(s, failWeight*blame)
	}
}

// strike counts a failure, or a silence, against a server.
func (b *Balancer) strike(s *server, weight float64) {
	h := &s.health
	h.score += weight * (1 - h.score)
	if !h.out && h.score > failLimit && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject keeps the cap on ejections for each class by itself: the few servers that one may be bound
// to are not all taken out while the fleet as a whole looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.ranked {
		if c.permits(s) && float64(c.open.ejected+1) > maxEjected*float64(c.open.length) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	h := &s.health
	span := min(ejectMost, ejectFirst<<min(h.times, 10))
	h.out, h.until, h.trials, h.times = true, b.now+span, 0, h.times+1
	b.countEjected(s)
}

// trial returns an ejected server whose time is up, if r can safely try it out: of the classes that
// the server is open to, one that may be repeated most freely.
func (b *Balancer) trial(r *request) *server {
	if r.class.open.ejected == 0 || len(r.attempts) > 0 {
		return nil
	}
	for s := range b.trialWalk(r.class) {
		h := &s.health
		if h.out && !h.trialOut && b.now >= h.until && !s.place.left() && r.class.Repeat >= s.safest &&
			b.coldRoom(s) {
			h.trialOut = true
			return s
		}
		if b.measured() && b.usable(r, s) && b.hasRoom(s) {
			return nil // the walk ends here: trials by all nodes would keep a choked server from its rest
		}
	}
	return nil
}

// ---- Cold start: each node's part of a young server's budget ----

const (
	coldMargin = 0.7 // of the multiple beyond one: that one is left to chance, heavy work and unequal servers
	coldFloor  = 1.0 // requests a second by all nodes to a cold server when nothing is known yet

	coldLooked    = 16          // cold servers that a choice looks at before its walk
	starvedLittle = 0.05        // part of the dearest without room up to which they keep to warm servers
	carriedSpan   = time.Minute // in which it is forgotten what a warm server carried at most
)

// coldRoom guards the fourth rule. What a warm server carries for this node, summed over the nodes, is what
// one can take; a cold one may get its present part of that, and no more. Where load is reported, what warm
// ones of its kind can serve stands in for that.
func (b *Balancer) coldRoom(s *server) bool {
	part := b.ramp(s)
	if part >= 1 || b.handedOver {
		return part >= 1
	}
	mean := b.carried()
	if k := b.kinds[s.Kind]; k != nil {
		mean = k.rate / float64(b.set.Nodes)
		part = max(part, min(1, utilAim*s.rate/k.rate))
	}
	mean = max(mean, coldFloor/float64(b.set.Nodes))
	rate := coldMargin * max(0.5, b.set.Rules.FallMultiple-1) * part * mean
	if b.measured() {
		rate = coldMargin * part * mean * s.threshold // eased where it is too busy or slow
	}
	k := &s.cold
	most := max(1, rate*b.set.Rules.FallFor.Seconds()/4)
	k.tokens, k.last = min(most, k.tokens+rate*(b.now-k.last).Seconds()), b.now
	return k.tokens >= 1
}

// ---- List: following the servers ----

// askAgain is the mean wait before a failed call for the list is repeated, spread among nodes and doubled by
// each further failure up to askMost: a change counts as told 6 s after the service has it and can be reached
// (sooner where the settings say so), and a call that it turns away then has to leave time for further ones.
const askAgain, askMost = 500 * time.Millisecond, time.Second

func (b *Balancer) askList() { b.emit(Action{Kind: WatchList, On: true}) }

// askIn calls for the list after a wait.
func (b *Balancer) askIn(wait time.Duration) {
	b.emit(Action{Kind: SetTimer, Wait: wait, Token: listToken})
}

func (b *Balancer) onList(e MemberList) {
	switch {
	case e.Kind == ListUnavailable:
		most := min(askMost, cmp.Or(b.set.Rules.AskWithin/4, askMost))
		b.askIn(time.Duration((0.5 + b.rng.Float64()) * float64(min(most, askAgain<<min(b.listFails, 8)))))
		b.listFails++
		return
	case e.Kind == ListRestored && b.set.Subscribe && b.staggered(): // many nodes may be starting at once
		b.askIn(time.Duration(b.rng.Float64() * float64(min(2*askMost, b.set.Rules.DrainGrace))))
	case e.Kind == ListRestored && b.set.Subscribe:
		b.askList()
	default:
		b.listFails = 0
	}
	var gone []*server
	for _, m := range e.Members {
		if s := b.servers[m.Server]; m.Availability != Removed {
			b.listed(m)
		} else if s != nil {
			gone = append(gone, s)
		}
	}
	if e.Kind != ListUpdate { // what a whole list lacks is gone
		gone = append(gone, b.missing(e.Members)...)
	}
	b.ease(gone)
	b.reorder()
	b.release()
}

// reorder follows the list: servers are walked by what crossing costs, then by id, and draining ones aren't.
func (b *Balancer) reorder() {
	for _, s := range b.realign() {
		if s.threshold == 0 {
			s.threshold = b.start()
			s.lastSend = b.now - seconds(b.rng.Float64()*s.latency/s.threshold)
		}
	}
}

func (b *Balancer) staggered() bool { return b.set.Nodes > manyNodes }

// walkStart is where this node's walk of n servers of one cost begins: at its own place, where they are many.
// Steps of the golden ratio lie evenly whichever of the nodes share a zone.
func (b *Balancer) walkStart(n int) int {
	if !b.staggered() {
		return 0
	}
	_, at := math.Modf(float64(b.set.Node) / math.Phi)
	return int(at * float64(n))
}

// ---- Replacement: two processes as one node ----

// onHandOver leaves to the process that takes over what both may spend only once: refills and half of the
// tokens of each bucket, further attempts, and all that goes to cold servers. Taken back from one that
// never served, it is as before; what one that served has spent is not known, so nothing is repeated while
// that may count.
func (b *Balancer) onHandOver(e Ceded) {
	b.handedOver = e.On
	for _, k := range b.buckets {
		if e.On {
			k.tokens -= k.tokens / 2
		}
	}
	for _, s := range b.servers {
		if !e.On && e.Served {
			s.cold.tokens = 0
		}
	}
	if !e.On && e.Served {
		for range int(b.budget.Least + b.budget.Share*float64(len(b.took))) {
			b.extra = append(b.extra, b.now)
		}
	}
}
