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
	asks := set.SubscribeList && !b.settings.SubscribeList
	b.applySettings(set)
	b.refreshOrder()
	if asks {
		b.subscribeList()
	}
}

// ---- Admission: a token bucket for each tenant, and class where told ----

const (
	rateWindow   = time.Second // of limits made from quotas; also the retry-after of a quota of zero
	burstSeconds = 0.5         // seconds of a quota's rate in its bucket: the bursts within a share
	minBurst     = 3           // tokens, so that a sliver of a quota still passes a few at once
	maxBuckets   = 4096        // where clients name tenants freely; further ones without a quota share one
	// refillCompensation makes up for the fractions lost in whole-token refill, which let Poisson arrivals pass
	// only up to ln 2 of the rate. Far above it 1/(1/r + 1/a) still passes, of refill r and arrivals a.
	refillCompensation = 1 / math.Ln2
)

// refill adds the whole tokens of the time gone by, which resets the refill time, up to the burst.
func (k *bucket) refill(now Time, perSecond float64, burst int64) {
	add := math.Floor((now - k.refilledAt).Seconds() * perSecond)
	if add >= 1 {
		k.tokens, k.refilledAt = min(burst, k.tokens+int64(min(add, float64(burst)))), now
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

// nodeLimit is this node's part of a quota that holds over all nodes.
func (b *Balancer) nodeLimit(quota float64) Limit {
	rate := quota / float64(b.settings.NodeCount) * refillCompensation
	return Limit{PerWindow: rate * rateWindow.Seconds(), Window: rateWindow,
		Burst: max(minBurst, int64(math.Ceil(rate*burstSeconds)))}
}

// resolveLimit resolves the layers: tenant's share or default, override for the class, platform maximum.
func (b *Balancer) resolveLimit(tenant, class string) (l Limit, key bucketKey, ok bool) {
	key.tenant = tenant
	if o, found := b.settings.Limits.PerClass[class]; found {
		key.class, l, ok = class, o, true
	} else if l, ok = b.tenantLimits[tenant]; !ok && b.defaultLimit != nil {
		l, ok = *b.defaultLimit, true
	}
	if most := b.settings.Limits.Max; most > 0 {
		l.PerWindow, l.Burst = min(l.PerWindow, most), min(l.Burst, int64(most))
	}
	return l, key, ok
}

// admit takes a token, or says how long the client should wait.
func (b *Balancer) admit(tenant, class string) (bool, time.Duration) {
	l, key, ok := b.resolveLimit(tenant, class)
	if !ok {
		return true, 0
	}
	l.PerWindow *= b.rateMultiplier
	b.dropFullBuckets()
	_, told := b.tenantLimits[tenant]
	if !told && b.buckets[key] == nil && len(b.buckets) >= maxBuckets {
		key = bucketKey{}
	}
	k := b.bucketOf(key, l.Burst)
	if !b.handedOver {
		k.refill(b.now, l.perSecond(), l.Burst)
	}
	if k.tokens <= 0 {
		b.bucketRejected = true
		return false, l.retryAfter()
	}
	k.tokens--
	return true, 0
}

func (b *Balancer) onRequest(e Request) {
	if b.requests[e.ID] != nil {
		return // a duplicate of a request in hand
	}
	c := b.classes[e.Class]
	if was := b.formerClasses[e.Class]; e.FormerClass && was != nil {
		c = was
	}
	if c == nil { // not in the settings: one safe try, never repeated
		c = &class{Class: Class{LatencyObjective: e.Timeout, LateWeight: 1}, eligible: &b.serverPool, classStats: &classStats{timerIndex: -1}}
	}
	r := &request{Request: e, class: c, maxAttempts: max(1, b.settings.Allowed.MaxAttempts)}
	b.setDeadlines(r)
	b.requests[r.ID] = r
	b.acceptedAt = append(b.acceptedAt, b.now)
	b.trimRetryBudget()
	if b.shouldShed(c) {
		b.reject(r, 0)
		return
	}
	if ok, wait := b.admit(e.Tenant, e.Class); !ok {
		b.reject(r, wait)
		return
	}
	b.dispatch(r)
}

// shouldShed draws whether a request is given up at once, since the dearest find no room: the more of them, and the
// less it is worth, the likelier. Where reports tell of room, the crowd limits do that.
func (b *Balancer) shouldShed(c *class) bool {
	if b.usesLoadReports() || b.highPriorityShortage == 0 || c.PriorityWeight >= b.maxPriorityWeight {
		return false
	}
	return b.rng.Float64() < min(maxShedProbability, shortageFactor*b.highPriorityShortage*(1-c.PriorityWeight/b.maxPriorityWeight))
}

// setDeadlines sets by when r is to be answered. A request that isn't whole has time: the node sees to it that
// its bytes keep coming, and until the last of them no server works on it.
func (b *Balancer) setDeadlines(r *request) {
	aim := r.class.LatencyObjective + time.Duration(r.class.ObjectivePerWork*float64(r.EstimatedWork)) - r.class.waitedBefore(r.Request)
	r.deadline = b.now + r.Timeout
	r.queueUntil, r.usefulUntil = min(r.deadline, b.now+aim/2), r.deadline
	if r.class.LateWeight <= 0 {
		r.usefulUntil = min(r.deadline, b.now+aim)
	}
	if r.Incomplete {
		r.deadline, r.usefulUntil = b.now+maxUploadTime, b.now+maxUploadTime
	}
}

// onRequestComplete starts the time of a request that was sent on while it came in.
func (b *Balancer) onRequestComplete(e RequestComplete) {
	r := b.requests[e.ID]
	if r == nil || !r.Incomplete {
		return
	}
	r.Incomplete = false
	b.setDeadlines(r)
	if n := len(r.attempts) - 1; r.pendingAttempts > 0 {
		b.emit(Action{Kind: SetAttemptDeadline, ID: r.ID, Attempt: n, AttemptDeadline: r.usefulUntil})
		if r.attempts[n].sentAt = b.now; r.attempts[n].uncounted {
			b.occupy(&r.attempts[n], 1)
		}
		b.watchLatency(r)
	}
}

const maxUploadTime = 15 * time.Minute // for a request to come in, at the least pace that a node bears

// waitedBefore tells for how long the client of e has been asking: its aim counts from the first try, and work
// for an answer after that is lost. A first try is open for a part of the deadline that is the same for
// all; one that is open for less ends with the deadline, which tells when the first began.
func (c *class) waitedBefore(e Request) time.Duration {
	if !e.ClientRetry {
		c.firstTryTimeout = max(c.firstTryTimeout, e.Timeout)
		return 0
	}
	if c.Deadline > 0 && e.Timeout < c.firstTryTimeout-firstTryTolerance {
		return max(0, c.Deadline-e.Timeout)
	}
	return c.LatencyObjective / 4
}

const firstTryTolerance = 50 * time.Millisecond // of the time that a first try is open, on its way here

const (
	rateIncreaseStep, rateDecreaseStep = 0.02, 0.02 // steps of the bucket rates at each choice: half may find no room
	minRateMultiplier                  = 0.3        // below, in-share traffic starves by faults that shedding can't mend
	cautiousRateMultiplier             = 1.5        // above, only while few answers are bad
	maxBadRatio, badRatioGain          = 0.06, 0.01 // of the answers, and the weight of one
	lostRatioGain                      = 0.05       // the same among those that came too late, or of servers that were full
	maxShedProbability                 = 0.9        // of a class: some go on, lest room that comes back stay unseen
	maxRateMultiplier                  = 3.0        // above, there is little worth left to win
)

// adjustRateMultiplier scales all bucket rates alike by whether the servers have room: without it a slowdown of the
// fleet sheds nothing, and a node that sees more than its even part of a quota refuses in-share traffic. Lost
// attempts tell of room where nodes are so many that their least thresholds for a server jam it together.
func (b *Balancer) adjustRateMultiplier(room bool) {
	switch {
	case !room && b.usesLoadReports(): // what is worth least is given up first, not a part of all
		b.rateMultiplier = max(1, b.rateMultiplier*(1-rateDecreaseStep))
	case !room || b.lostRatio > maxBadRatio && !b.usesLoadReports() && minLimitFraction*float64(b.settings.NodeCount) > initialFleetLimit:
		b.rateMultiplier = max(minRateMultiplier, b.rateMultiplier*(1-rateDecreaseStep))
	case b.rateMultiplier > cautiousRateMultiplier && b.badRatio > maxBadRatio:
		b.rateMultiplier *= 1 - rateDecreaseStep
	case b.bucketRejected && (b.rateMultiplier < cautiousRateMultiplier || b.badRatio < maxBadRatio): // only a rate that was felt is raised
		b.rateMultiplier = min(b.rateMultiplierCap(), b.rateMultiplier*(1+rateIncreaseStep))
	}
	b.bucketRejected = false
}

// ---- Choice: packing in id order under a learned threshold ----

const (
	maxSmallFleet                = 3         // nodes; more would jam the first server, so each walks from elsewhere
	initialFleetLimit            = 10.0      // attempts first trusted to a server by all nodes
	minLimitFraction             = 0.25      // part of its start below which no threshold falls
	limitIncrease                = 0.05      // attempts a good answer adds; against slowCut, a sixth may be slow
	slowResponseDecrease         = 0.25      // attempts a slow answer takes off
	failureDecrease              = 0.3       // attempts a full answer or a failure takes off
	maxOvercommitLearned         = 2.0       // times its limit, the least busy is filled by the dearest class,
	maxOvercommitReported        = 1.5       // or this where reports make it: own answers tell too little of room,
	minOvercommit                = 0.8       // and down to this by one that is worth next to nothing
	shortageGain, shortageFactor = 0.05, 4.0 // weight of one of the dearest without room; times that comes off
	slowObjectiveFraction        = 0.4       // part of the aim from which an answer waited about as long as it ran
)

// pickServer chooses a server: the first ready one in id order that holds fewer of this node's attempts
// than its threshold, else the least busy; nil where none may be used. Room is also reported where
// the least busy was never cut: what it takes is not known yet.
func (b *Balancer) pickServer(r *request) (s *server, room bool) {
	crowd, most := b.windowOvercommit(), b.maxOvercommit(r.class)
	b.chooseZones(r)
	if s = b.pickWarmingUp(r); s != nil {
		return s, true
	}
	var least *server
	for s := range r.class.eligible.all {
		if !b.isUsable(r, s) {
			continue
		}
		if (crowd < min(1, most) || b.paceBoundByWarmup(s)) && b.hasCapacity(s) {
			return s, true
		}
		if least == nil || b.serverOvercommit(s) < b.serverOvercommit(least) && (!isNearer(least, s) || b.serverOvercommit(least) >= 1) {
			least = s
		}
	}
	b.capacityWanted = true
	if least != nil && max(crowd, b.serverOvercommit(least)) > most {
		return nil, !least.limitReached
	}
	return least, least != nil && !least.limitReached
}

// pickWarmingUp returns a cold server of the nearest that may get a request now: the walk meets those behind
// servers with room too seldom for them to use their part, and they are missed when others fail. The dearest
// class goes there once it is short of room, and no further attempt does. Only a few cold ones are looked at.
func (b *Balancer) pickWarmingUp(r *request) (best *server) {
	dearest := r.class.PriorityWeight >= b.maxPriorityWeight && b.highPriorityShortage < maxShortageForSlowStart
	if b.promoteWarm(); b.usesLoadReports() || dearest || len(r.attempts) > 0 {
		return nil
	}
	for _, e := range b.warmupQueue[:min(len(b.warmupQueue), maxWarmingUpScanned)] {
		if s := e.server; s.segment != nil && s.segment == b.segments[0] && b.isUsable(r, s) && b.hasCapacity(s) &&
			(best == nil || s.warmupBudget.tokens > best.warmupBudget.tokens) {
			best = s
		}
	}
	return best
}

// maxOvercommit is how many times its limit the least busy server is filled for a class. Without room for
// all, what is worth less is given up first; beyond the most, answers would only be late.
func (b *Balancer) maxOvercommit(c *class) float64 {
	most := maxOvercommitLearned
	if b.usesLoadReports() {
		most = maxOvercommitReported
	}
	if b.maxPriorityWeight <= 0 { // the site states no worth
		return most
	}
	least := max(0, minOvercommit-shortageFactor*b.highPriorityShortage)
	return least + (most-least)*c.PriorityWeight/b.maxPriorityWeight
}

// initialLimit is what each server is first trusted with by this node: a part of its fair one by reports.
func (b *Balancer) initialLimit() float64 {
	if b.usesLoadReports() {
		return 1
	}
	return max(1, initialFleetLimit/float64(b.settings.NodeCount))
}

// serverOvercommit sets attempts in flight against what s was seen to take, lest one that others fill look idle.
// A threshold under one is kept in time, and so is crowding then.
func (b *Balancer) serverOvercommit(s *server) float64 {
	limit := b.effectiveLimit(s)
	if limit < 1 && s.totalInFlight() == 0 && b.usesLoadReports() {
		return s.meanLatency / limit / (s.meanLatency + (b.now - s.lastSentAt).Seconds())
	}
	return float64(s.totalInFlight()+1) / limit
}

// effectiveLimit is how many attempts this node holds at s while there is room elsewhere.
func (b *Balancer) effectiveLimit(s *server) float64 {
	if b.usesLoadReports() {
		return b.fairLimit(s)
	}
	return s.concurrencyLimit
}

// hasCapacity tells whether a server is under its threshold. A threshold under one is kept in time.
func (b *Balancer) hasCapacity(s *server) bool {
	if b.now < s.busyUntil {
		return false
	}
	limit := b.effectiveLimit(s)
	if limit >= 1 {
		return float64(s.totalInFlight()) < limit
	}
	return s.totalInFlight() == 0 && b.now-s.lastSentAt >= seconds(s.meanLatency*(1/limit-1))
}

// isUsable tells whether r may go to s now: s is in service, the rules allow it, and, if cold, it has room.
func (b *Balancer) isUsable(r *request, s *server) bool {
	return !s.outlier.ejected && !s.zone.isClosed() && b.mayRunOn(r, s) && b.answersInTime(r, s) && b.hasWarmupBudget(s)
}

// answersInTime tells whether s would likely answer r while that is worth something: a cold or choked server
// takes several times as long as a warm one, and work for an answer that comes late is lost.
func (b *Balancer) answersInTime(r *request, s *server) bool {
	k := b.loadByKind[s.Kind]
	if k == nil || !b.usesLoadReports() {
		return true
	}
	takes := k.latency / b.warmFraction(s)
	if s.reportedAt > 0 { // as it said, the less so the longer ago that was
		takes += (s.reportedLatency - takes) * math.Exp(-(b.now-s.reportedAt).Seconds()/reportDecayTime.Seconds())
	}
	return takes <= maxLatencyFraction*(r.usefulUntil-b.now).Seconds()
}

// permits guards the fifth rule: a class bound to zones or kinds of server goes nowhere else.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone)) &&
		(len(c.Regions) == 0 || slices.Contains(c.Regions, s.zone.regionName()))
}

// mayRunOn guards the fifth rule, and the second: what may have run only goes where repeats are dropped.
func (b *Balancer) mayRunOn(r *request, s *server) bool {
	if !r.class.permits(s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if r.mayHaveRun == nil || r.class.RetrySafety == Idempotent {
		return true
	}
	if r.class.RetrySafety != IdempotencyKeyed || b.now >= r.mayHaveRun.sentAt+r.class.DedupWindow {
		return false
	}
	switch r.class.DedupScope {
	case DedupEverywhere:
		return true
	case DedupPerZone:
		return s.Zone == r.mayHaveRun.server.Zone
	}
	return s.Cell == r.mayHaveRun.server.Cell
}

// updateConcurrencyLimit moves the threshold of s by one outcome. Steps shrink with a threshold under one, so that it
// settles where thresholdGrow/(thresholdGrow+slowCut) of the answers are slow, at any size.
func (b *Balancer) updateConcurrencyLimit(s *server, c *class, code Code, latency time.Duration, blame float64) {
	step := 0.0
	switch {
	case code != OK:
		step = -failureDecrease * blame
	case latency > seconds(slowObjectiveFraction*c.LatencyObjective.Seconds()):
		step = -slowResponseDecrease
	case float64(s.totalInFlight()+1) >= b.effectiveLimit(s): // answered well, and the threshold was felt
		step = limitIncrease
	}
	updateRatio(&b.badRatio, badRatioGain, step < 0)
	if b.usesLoadReports() {
		b.penalizeFailure(s, code, latency, blame)
		return
	}
	updateRatio(&b.lostRatio, lostRatioGain, code == TimedOut || code == Overloaded)
	s.limitReached = s.limitReached || step < 0
	s.concurrencyLimit = max(minLimitFraction*b.initialLimit(), s.concurrencyLimit+step*min(1, s.concurrencyLimit))
}

// ---- Load reports: what servers say of themselves ----

const (
	reportLatency, reportUtil, reportRate = "latency_ms", "util", "qps"

	reportGain              = 0.5             // weight of one report in what is known of its server,
	kindLoadGain            = 0.05            // and of the warm ones of its kind
	minTellingUtilization   = 0.3             // busy part of the cores below which a report tells little of them,
	maxTellingUtilization   = 0.8             // and above which they say more of the crowd than of the server
	maxPlausibleUtilization = 1.5             // busy part and
	maxPlausibleRate        = 1e6             // rate above which a report is rubbish
	maxKinds                = 64              // that are told apart; servers of further ones count as the usual
	reportDecayTime         = 5 * time.Second // in which what a server said of its latency is forgotten
	maxLatencyFraction      = 0.5             // part of the time left that the usual answer of a server may take
	utilizationGain         = 0.1             // weight of one report in how busy servers are: one alone is far off either way
	targetUtilization       = 0.8             // busy part that all nodes together aim at
	windowTimeConstant      = 3 * time.Second // in which the trust follows the busy part: reports come a second or two late
	windowDecreaseFactor    = 3.0             // how much faster it falls than it rises
	initialWindowScale      = 1.0             // of every node,
	initialReportedLimit    = 6.0             // in attempts at a server by all nodes together
	minWindowScale          = 0.2             // least trust
	fairLimitSpread         = 1.25            // times an even part of its window that a node may hold at a server at least
	minFairLimit            = 0.7             // attempts that a node may hold at the usual server, whatever the nodes
	overloadSlope           = 4.0             // times what is busy beyond the aim comes off a server's threshold
	minLimitScale           = 0.1             // part of it that stays
	ejectLatencyFactor      = 4.0             // times the usual latency of its kind from which a busy server needs a rest
	maxKindRateFactor       = 1.5             // times the rate of its kind, and no server counts for more
	slowLatencyFactor       = 2.0             // times the usual latency of its kind from which a server is eased
)

// usesLoadReports tells whether thresholds rest on load reports: of many nodes each sees too little of a server to
// learn by its own answers, while a report tells how many cores it has and how fast it is, whoever fills it.
func (b *Balancer) usesLoadReports() bool {
	return b.isLargeFleet() && min(b.reportColumns[0], b.reportColumns[1], b.reportColumns[2]) >= 0
}

// fairLimit is what this node may hold at s: its part of all that it may have out, by what s can serve, and one
// worth keeping a connection for: so a node walks over few servers and hears of each often.
func (b *Balancer) fairLimit(s *server) float64 {
	size := b.warmFraction(s)
	if b.typicalLoad.samples > 0 {
		size = b.serviceRate(s) / b.typicalLoad.rate
	}
	return s.concurrencyLimit * size * max(minFairLimit, fairLimitSpread*b.concurrencyWindow()/max(1, b.warmWeight())*b.fairParts(s))
}

// concurrencyWindow is how many attempts this node may have out: its part of what servers are first trusted with,
// scaled by the trust.
func (b *Balancer) concurrencyWindow() float64 {
	return max(1, b.windowScale*initialReportedLimit*b.warmWeight()/float64(b.settings.NodeCount))
}

// serviceRate is how many attempts a second s can serve: by its own reports, or as others of its kind.
func (b *Balancer) serviceRate(s *server) float64 {
	k := b.loadByKind[s.Kind]
	if k == nil {
		k = &b.typicalLoad
	}
	if s.reportedRate > 0 {
		return min(maxKindRateFactor*k.rate, s.reportedRate)
	}
	return k.rate * b.warmFraction(s)
}

// paceBoundByWarmup tells whether s is cold: the pace that its age allows bounds what it gets, and the window doesn't.
func (b *Balancer) paceBoundByWarmup(s *server) bool {
	return b.usesLoadReports() && b.warmFraction(s) < 1
}

// windowOvercommit sets all attempts of this node in flight against its window.
func (b *Balancer) windowOvercommit() float64 {
	if !b.usesLoadReports() {
		return 0
	}
	return float64(b.inFlight+b.siblingInFlight) / b.concurrencyWindow()
}

// onLoadReport learns from the report in a good answer of s: what it can serve, and whether it is far slower than
// others of its kind. How busy servers are moves the trust: down where too busy, up where no room was found.
func (b *Balancer) onLoadReport(s *server, row []float64) {
	if !b.usesLoadReports() || len(row) < len(b.settings.ReportFields) {
		return
	}
	latency, util, rate := row[b.reportColumns[0]]/1000, row[b.reportColumns[1]], row[b.reportColumns[2]]
	if !(latency > 0 && util > 0 && util <= maxPlausibleUtilization && rate > 0 && rate < maxPlausibleRate) { // rubbish, or idle
		return
	}
	if util >= minTellingUtilization && util <= maxTellingUtilization {
		b.recordServiceRate(s, serverLoad{rate: rate / util, latency: latency})
	}
	s.reportedLatency, s.reportedAt, s.limitReached = latency, b.now, true // what it takes is known
	ease := 1.0
	if k := b.loadByKind[s.Kind]; k != nil {
		ease = max(minLimitScale, min(1, slowLatencyFactor*k.latency/latency, 1-overloadSlope*(util-targetUtilization)))
		if util > targetUtilization && latency > ejectLatencyFactor*k.latency && !s.outlier.ejected && b.mayEject(s) {
			b.eject(s)
		}
	}
	s.concurrencyLimit += reportGain * (ease - s.concurrencyLimit)
	if k := b.loadByKind[s.Kind]; k == nil || b.warmFraction(s) < 1 || latency > ejectLatencyFactor*k.latency {
		return // a cold or choked server says nothing of the others
	}
	if b.lastReportAt == 0 {
		b.utilization = util
	}
	b.utilization += utilizationGain * (util - b.utilization)
	err, dt := targetUtilization-b.utilization, min(b.now-b.lastReportAt, time.Second)
	if err < 0 {
		err *= windowDecreaseFactor
	}
	if err < 0 || b.capacityWanted {
		b.scaleWindow(math.Exp(err * dt.Seconds() / windowTimeConstant.Seconds()))
	}
	b.capacityWanted, b.lastReportAt = false, b.now
}

func (b *Balancer) scaleWindow(factor float64) {
	b.windowScale = min(float64(b.settings.NodeCount), max(minWindowScale, b.windowScale*factor))
}

// penalizeFailure learns from an outcome what reports don't tell.
func (b *Balancer) penalizeFailure(s *server, code Code, latency time.Duration, blame float64) {
	switch code {
	case OK:
		return
	case TimedOut: // it still waits or runs there, though it is not in flight for this node any more
		s.busyUntil = b.now + latency
	}
	s.limitReached, s.concurrencyLimit = true, max(minLimitScale, s.concurrencyLimit*(1-failureDecrease*blame))
}

// recordServiceRate takes over what s can serve, and what the warm ones of its kind can.
func (b *Balancer) recordServiceRate(s *server, now serverLoad) {
	if b.warmFraction(s) >= 1 {
		if b.loadByKind[s.Kind] == nil && len(b.loadByKind) < maxKinds {
			b.loadByKind[s.Kind] = &serverLoad{}
		}
		if k := b.loadByKind[s.Kind]; k != nil {
			k.add(now)
		}
		b.typicalLoad.add(now)
	}
	if s.reportedRate == 0 { // its first report
		s.reportedRate = now.rate
	}
	s.reportedRate += reportGain * (now.rate - s.reportedRate)
}

// ---- Attempts: sending, retries, holding ----

const (
	queuePollInterval  = 20 * time.Millisecond // between looks at held requests
	tailQuantile       = 0.95                  // latency quantile of a class at which attempts are looked at again
	tailStep           = 0.1                   // part by which the estimate of it moves
	tailMargin         = 1.2                   // times that quantile, an attempt counts as slow
	latencyGain        = 0.2                   // weight of one answer in the mean latency of a server
	completionRateTime = 3 * time.Second       // memory of the rate of answers: holds a few at a quiet node

	queueTimerToken, listTimerToken, fleetSizeTimerToken, retainTimerToken, firstClassTimerToken = 1, 2, 3, 4, 8 // of timers; the classes' follow
)

var defaultRetryBudget = RetryBudget{MinRetries: 20, RetryRatio: 0.2, Window: 10 * time.Second} // where the site states none

// dispatch sends r to a server, or holds it while one may still turn up, or gives up.
func (b *Balancer) dispatch(r *request) {
	if b.attemptsExhausted(r) || len(r.attempts) > 0 && !b.mayRetry() {
		b.giveUp(r)
		return
	}
	s := b.pickProbation(r)
	if s == nil {
		s = b.pickZoneProbe(r)
	}
	trial, room := s != nil, false
	if !trial {
		s, room = b.pickServer(r)
	}
	if !trial && !r.wasQueued { // each request tells of room once, however long it is held
		b.adjustRateMultiplier(room)
		if r.class.PriorityWeight >= b.maxPriorityWeight {
			updateRatio(&b.highPriorityShortage, shortageGain, s == nil)
		}
	}
	switch {
	case s != nil:
		b.sendAttempt(r, s, trial)
	case r.mayHaveRun == nil && b.now+queuePollInterval < r.queueUntil:
		b.enqueue(r)
	default:
		b.giveUp(r)
	}
}

// attemptsExhausted tells whether r has had its attempts, or its time to be worth another.
func (b *Balancer) attemptsExhausted(r *request) bool {
	return len(r.attempts) >= min(r.maxAttempts, max(1, b.settings.Allowed.MaxAttempts)) || b.now >= r.usefulUntil
}

// mayRetry guards the sixth rule: attempts beyond each request's first stay within the site's budget, or the
// default one. It is counted exactly over its sliding span, and on the safe side at its edges.
func (b *Balancer) mayRetry() bool {
	if b.handedOver {
		return false
	}
	b.trimRetryBudget()
	return float64(len(b.retriesAt)+1) <= b.retryBudget.MinRetries+b.retryBudget.RetryRatio*float64(len(b.acceptedAt))-1e-9 // of rounding
}

func (b *Balancer) sendAttempt(r *request, s *server, trial bool) {
	if len(r.attempts) > 0 {
		b.retriesAt = append(b.retriesAt, b.now)
	}
	b.emit(Action{Kind: Send, ID: r.ID, Server: s.ID, AttemptDeadline: r.usefulUntil})
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, probation: trial,
		warmingUp: b.paceBoundByWarmup(s), uncounted: r.Incomplete})
	r.pendingAttempts++
	s.lastSentAt = b.now
	s.warmupBudget.tokens--
	r.updateMayHaveRun()
	if !r.Incomplete {
		b.occupy(&r.attempts[len(r.attempts)-1], 1)
		b.watchLatency(r)
	}
}

// watchLatency queues r's newest attempt: a class waits about equally long, so one timer serves for all.
func (b *Balancer) watchLatency(r *request) {
	if c := r.class; c.timerIndex >= 0 {
		due := b.now + time.Duration(tailMargin*float64(c.tailLatency))
		c.watched = append(c.watched, attemptWatch{r, len(r.attempts) - 1, due})
		b.armSlowTimer(c.classStats)
	}
}

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

// checkSlowAttempts looks at the attempts of a class that have been out for long: a server silent since then
// gets a strike. No second copy goes out: an attempt at a time is the rule.
func (b *Balancer) checkSlowAttempts(c *classStats) {
	c.timerSet = false
	for len(c.watched) > 0 && c.watched[0].dueAt <= b.now {
		w := c.watched[0]
		c.watched[0] = attemptWatch{}
		c.watched = c.watched[1:]
		a := &w.request.attempts[w.attempt]
		if a.finished || a.server.lastResponseAt >= a.sentAt {
			continue // a server that answers others has a heavy request
		}
		b.recordFailure(a.server, silenceWeight)
		b.recordEvidence(a, 1)
	}
	b.armSlowTimer(c)
}

// giveUp ends r unserved: refused where that is allowed, else failed.
func (b *Balancer) giveUp(r *request) {
	if r.mayHaveRun == nil || r.class.RetrySafety == Idempotent || r.class.RetrySafety == IdempotencyKeyed && r.class.DedupScope == DedupEverywhere {
		b.reject(r, 0)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.ID})
	b.finish(r)
}

// ---- Outcomes ----

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.streaming = true
		if a := &r.attempts[e.Attempt]; !a.uncounted && !a.finished { // the server has done its work
			b.occupy(a, -1)
		}
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].finished {
		return // late or twice
	}
	a := &r.attempts[e.Attempt]
	a.finished, a.provenNotRun = true, e.Code.ProvesNotRun()
	r.pendingAttempts--
	if !a.uncounted {
		b.occupy(a, -1)
	}
	r.updateMayHaveRun()
	b.observeOutcome(r, a, e)
	switch {
	case e.RequestEnded || r.answered || e.Code == OK:
		b.finish(r)
	case e.Code == NotAttempted || b.now >= r.deadline || r.streaming || e.BodyConsumed ||
		r.mayHaveRun != nil && r.class.RetrySafety == NonIdempotent:
		b.giveUp(r)
	default:
		b.dispatch(r)
	}
}

// observeOutcome learns from an outcome: latency, threshold and health.
func (b *Balancer) observeOutcome(r *request, a *attempt, e Outcome) {
	s, c := a.server, r.class
	if a.probation {
		s.outlier.probationInFlight = false
	}
	switch e.Code {
	case NotAttempted:
		return
	case Cancelled:
		if !a.probation { // our own doing; but a trial that its client didn't wait for has failed
			return
		}
	case OK, ServerError, Overloaded:
		s.lastResponseAt = b.now
	}
	if s.zone != nil && e.Code != Overloaded && e.Code != Cancelled { // a full one has work
		b.recordEvidence(a, b.failureLevel(s, c, e.Code, e.Latency.Seconds()))
	}
	blame := b.failureWeight(s, e.Code)
	b.updateConcurrencyLimit(s, c, e.Code, e.Latency, blame)
	if e.Code == OK || e.Code == TimedOut {
		s.meanLatency += latencyGain * (e.Latency.Seconds() - s.meanLatency)
	}
	b.onLoadReport(s, e.LoadReport)
	if e.Code == OK && b.warmFraction(s) >= 1 {
		b.completionRate, b.completionRateAt = b.currentCompletionRate()+1/completionRateTime.Seconds(), b.now
		b.peakRate()
	}
	if e.Code == OK {
		c.observeLatency(e.Latency)
	}
	b.updateOutlierState(a, e.Code, blame)
}

// observeLatency follows the slow tail of the latency of a class.
func (c *class) observeLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	c.tailLatency = min(c.LatencyObjective, c.tailLatency+time.Duration(tailStep*step*float64(c.tailLatency)))
}

// ---- Health: outlier ejection and half-open trials ----

const (
	attemptFailureWeight     = 0.3             // of one failure in the score: two in a row eject, a lone one doesn't
	silenceWeight            = 0.15            // of an attempt out for long at a silent server: it may just be heavy
	overloadedWeight         = 0.2             // of a full answer: a server that keeps giving those needs a rest
	ejectionScore            = 0.5             // score that ejects
	connectionFaultGain      = 0.1             // weight of one answer in the part of a server's that are faults
	sharedFaultFactor        = 2.0             // times that part at the others, one says nothing of its server
	baseEjectionTime         = time.Second     // first ejection, doubled each time
	maxEjectionTime          = 8 * time.Second // up to this
	maxEjectedFraction       = 0.4             // part of the fleet; when more seems broken, the cause isn't the servers
	probationSuccessesNeeded = 3               // good trials in a row: half of them pass at a server that fails half
)

// failureWeight is how far a failure is its server's own: connections that break at all servers alike, as where the
// network resets them, would leave no server a threshold and eject as many as may be.
func (b *Balancer) failureWeight(s *server, code Code) float64 {
	fault := code == Reset || code == ConnectFailed // an error is a server's own
	others := b.trackConnectionFaults(s, fault)
	if !fault || b.length < 2 {
		return 1
	}
	return max(0, 1-sharedFaultFactor*max(0, others)/float64(b.length-1)/s.connectionFaultRatio)
}

// updateOutlierState moves the breaker of an attempt's server by its outcome.
func (b *Balancer) updateOutlierState(a *attempt, code Code, blame float64) {
	s, h := a.server, &a.server.outlier
	switch {
	case h.ejected && a.probation && code == OK:
		if h.probationSuccesses++; h.probationSuccesses >= probationSuccessesNeeded {
			*h, s.concurrencyLimit = outlierState{}, b.initialLimit()
			b.countEjected(s)
		}
	case h.ejected && a.probation: // full too: a hung server turns away what it has no room for
		b.eject(s)
	case code == OK:
		h.failureScore -= attemptFailureWeight * h.failureScore
	case code == Overloaded:
		b.recordFailure(s, overloadedWeight)
	case code != TimedOut || s.lastResponseAt < a.sentAt: // a server that answers others isn't hung
		b.recordFailure(s, attemptFailureWeight*blame)
	}
}

// recordFailure counts a failure, or a silence, against a server.
func (b *Balancer) recordFailure(s *server, weight float64) {
	h := &s.outlier
	h.failureScore += weight * (1 - h.failureScore)
	if !h.ejected && h.failureScore > ejectionScore && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject keeps the cap on ejections for each class by itself: the few servers that one may be bound
// to are not all taken out while the fleet as a whole looks well.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.classOrder {
		if c.permits(s) && float64(c.eligible.ejected+1) > maxEjectedFraction*float64(c.eligible.length) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	h := &s.outlier
	span := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejected, h.ejectedUntil, h.probationSuccesses, h.ejections = true, b.now+span, 0, h.ejections+1
	b.countEjected(s)
}

// pickProbation returns an ejected server whose time is up, if r can safely try it out: of the classes that
// the server is open to, one that may be repeated most freely.
func (b *Balancer) pickProbation(r *request) *server {
	if r.class.eligible.ejected == 0 || len(r.attempts) > 0 {
		return nil
	}
	for s := range b.probationCandidates(r.class) {
		h := &s.outlier
		if h.ejected && !h.probationInFlight && b.now >= h.ejectedUntil && !s.zone.evacuated() && r.class.RetrySafety >= s.retrySafety &&
			b.hasWarmupBudget(s) {
			h.probationInFlight = true
			return s
		}
		if b.usesLoadReports() && b.isUsable(r, s) && b.hasCapacity(s) {
			return nil // the walk ends here: trials by all nodes would keep a choked server from its rest
		}
	}
	return nil
}

// ---- Cold start: each node's part of a young server's budget ----

const (
	warmupMargin  = 0.7 // of the multiple beyond one: that one is left to chance, heavy work and unequal servers
	minWarmupRate = 1.0 // requests a second by all nodes to a cold server when nothing is known yet

	maxWarmingUpScanned     = 16          // cold servers that a choice looks at before its walk
	maxShortageForSlowStart = 0.05        // part of the dearest without room up to which they keep to warm servers
	peakRateDecayTime       = time.Minute // in which it is forgotten what a warm server carried at most
)

// hasWarmupBudget guards the fourth rule. What a warm server carries for this node, summed over the nodes, is what
// one can take; a cold one may get its present part of that, and no more. Where load is reported, what warm
// ones of its kind can serve stands in for that.
func (b *Balancer) hasWarmupBudget(s *server) bool {
	part := b.warmFraction(s)
	if part >= 1 || b.handedOver {
		return part >= 1
	}
	mean := b.peakRate()
	if k := b.loadByKind[s.Kind]; k != nil {
		mean = k.rate / float64(b.settings.NodeCount)
		part = max(part, min(1, targetUtilization*s.reportedRate/k.rate))
	}
	mean = max(mean, minWarmupRate/float64(b.settings.NodeCount))
	rate := warmupMargin * max(0.5, b.settings.Rules.OverloadMultiple-1) * part * mean
	if b.usesLoadReports() {
		rate = warmupMargin * part * mean * s.concurrencyLimit // eased where it is too busy or slow
	}
	k := &s.warmupBudget
	most := max(1, rate*b.settings.Rules.OverloadDuration.Seconds()/4)
	k.tokens, k.refilledAt = min(most, k.tokens+rate*(b.now-k.refilledAt).Seconds()), b.now
	return k.tokens >= 1
}

// ---- List: following the servers ----

// listBackoffBase is the mean wait before a failed call for the list is repeated, spread among nodes and doubled by
// each further failure up to askMost: a change counts as told 6 s after the service has it and can be reached
// (sooner where the settings say so), and a call that it turns away then has to leave time for further ones.
const listBackoffBase, listBackoffMax = 500 * time.Millisecond, time.Second

func (b *Balancer) subscribeList() { b.emit(Action{Kind: WatchList, Enabled: true}) }

// subscribeListAfter calls for the list after a wait.
func (b *Balancer) subscribeListAfter(wait time.Duration) {
	b.emit(Action{Kind: SetTimer, Wait: wait, Token: listTimerToken})
}

func (b *Balancer) onEndpointList(e EndpointList) {
	switch {
	case e.Kind == ListUnavailable:
		most := min(listBackoffMax, cmp.Or(b.settings.Rules.PollInterval/4, listBackoffMax))
		b.subscribeListAfter(time.Duration((0.5 + b.rng.Float64()) * float64(min(most, listBackoffBase<<min(b.listFailures, 8)))))
		b.listFailures++
		return
	case e.Kind == ListCached && b.settings.SubscribeList && b.isLargeFleet(): // many nodes may be starting at once
		b.subscribeListAfter(time.Duration(b.rng.Float64() * float64(min(2*listBackoffMax, b.settings.Rules.DrainGrace))))
	case e.Kind == ListCached && b.settings.SubscribeList:
		b.subscribeList()
	default:
		b.listFailures = 0
	}
	var gone []*server
	for _, m := range e.Endpoints {
		if s := b.servers[m.ID]; m.Availability != Removed {
			b.upsertEndpoint(m)
		} else if s != nil {
			gone = append(gone, s)
		}
	}
	if e.Kind != ListUpdate { // what a whole list lacks is gone
		gone = append(gone, b.missingEndpoints(e.Endpoints)...)
	}
	b.retainMissing(gone)
	b.refreshOrder()
	b.dispatchQueued()
}

// refreshOrder follows the list: servers are walked by what crossing costs, then by id, and draining ones aren't.
func (b *Balancer) refreshOrder() {
	for _, s := range b.updateOrder() {
		if s.concurrencyLimit == 0 {
			s.concurrencyLimit = b.initialLimit()
			s.lastSentAt = b.now - seconds(b.rng.Float64()*s.meanLatency/s.concurrencyLimit)
		}
	}
}

func (b *Balancer) isLargeFleet() bool { return b.settings.NodeCount > maxSmallFleet }

// walkStart is where this node's walk of n servers of one cost begins: at its own place, where they are many.
// Steps of the golden ratio lie evenly whichever of the nodes share a zone.
func (b *Balancer) walkStart(n int) int {
	if !b.isLargeFleet() {
		return 0
	}
	_, at := math.Modf(float64(b.settings.NodeIndex) / math.Phi)
	return int(at * float64(n))
}

// ---- Replacement: two processes as one node ----

// onHandedOver leaves to the process that takes over what both may spend only once: refills and half of the
// tokens of each bucket, further attempts, and all that goes to cold servers. Taken back from one that
// never served, it is as before; what one that served has spent is not known, so nothing is repeated while
// that may count.
func (b *Balancer) onHandedOver(e HandedOver) {
	b.handedOver = e.Active
	for _, k := range b.buckets {
		if e.Active {
			k.tokens -= k.tokens / 2
		}
	}
	for _, s := range b.servers {
		if !e.Active && e.SuccessorServed {
			s.warmupBudget.tokens = 0
		}
	}
	if !e.Active && e.SuccessorServed {
		for range int(b.retryBudget.MinRetries + b.retryBudget.RetryRatio*float64(len(b.acceptedAt))) {
			b.retriesAt = append(b.retriesAt, b.now)
		}
	}
}
