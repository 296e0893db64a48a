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
	set            Settings
	now            Time
	rng            *rand.Rand
	out            []Action
	classes        map[string]*class
	former         map[string]*class      // as they were before the last settings
	classStats     map[string]*classStats // of all classes ever named,
	watches        []*classStats          // and in the order of their timers
	tenants        map[string]Limit
	ranked         []*class // in the order of the settings
	other          *Limit   // for tenants without a quota; nil: no limit
	buckets        map[bucketKey]*bucket
	ring           bucketRing
	pace           float64          // scale of all bucket rates
	dearest        float64          // the most that a class is worth
	kinds          map[string]*load // what the warm servers of a kind report on average
	usual          load             // and all warm servers
	inflight       int              // attempts out at warm servers
	beside         int              // and those of the node's other process
	reports        [3]int           // where latency, busy part and rate stand in a report; -1 where they don't
	busy           float64          // how busy warm servers are by their last reports
	heardAt        Time             // when the last of those came
	wanted         bool             // a choice found no room since then
	trust          float64          // scale of this node's window
	refused        bool             // a bucket refused since the last choice
	listFails      int              // calls for the list that failed in a row
	servers        map[string]*server
	pool                           // all servers in service,
	zones          map[string]int  // how many of them are in each zone,
	placed         map[*class]bool // and the classes whose pools they are also in
	changed        []*server       // servers that may stand otherwise in the order, or not at all
	stale          bool            // the order has to be made anew as a whole
	avoided        int             // listed servers that drain or are ejected
	ejectedServers []*server       // those of the order
	faults         fixed           // sum of the parts of broken connections over the order
	warmUnjudged   [2]int          // warm servers that are in no judged place: far, and near
	warming        timeline        // servers that will be warm
	expiring       timeline        // servers whose evidence will be too old
	reqs           map[string]*request
	held           []*request // waiting for a usable server, oldest first
	holding        bool       // the hold timer is set
	budget         Budget     // of attempts beyond the first of each request
	took           []Time     // requests taken in the span of the budget of attempts, oldest first
	extra          []Time     // attempts beyond a request's first in it
	done           float64    // answers of warm servers a second, as of doneAt
	doneAt         Time
	carriedMost    float64 // answers a second by a warm server at most of late, as of carriedAt
	carriedAt      Time
	handedOver     bool // another process of this node has taken over
	fleet          presence
	bad            float64       // part of bad answers lately,
	lost           float64       // and of time-outs and full answers, where nothing is reported
	starved        float64       // part of the dearest requests lately that found no room
	places         []*place      // in order of their zones; none where the settings name none
	troubled       bool          // one of them has less than its whole share,
	lookFrom       Time          // and since when they are compared
	easeFor        time.Duration // that servers are kept which a list takes away in a mass
	near           float64       // nodes near this one, itself included; 0 where not known
}

// New returns a node's decisions for the given settings. The seed drives its random choices.
func New(set Settings, now Time, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	b := &Balancer{
		now: now, rng: rand.New(rand.NewPCG(seed, uint64(set.Node))), classStats: make(map[string]*classStats),
		buckets: make(map[bucketKey]*bucket), pace: 1, trust: trustFirst,
		servers: make(map[string]*server), reqs: make(map[string]*request), kinds: make(map[string]*load),
	}
	b.configure(set)
	return b, nil
}

// Handle takes one event and returns the actions it calls for. The next call reuses the slice.
func (b *Balancer) Handle(now Time, ev Event) []Action {
	b.now, b.out = max(now, b.now), b.out[:0]
	switch e := ev.(type) {
	case Request:
		b.onRequest(e)
	case Outcome:
		b.onOutcome(e)
	case FirstByte:
		b.onFirstByte(e)
	case Complete:
		b.onComplete(e)
	case Lapsed:
		if r := b.reqs[e.ID]; r != nil {
			b.end(r)
		}
	case Timer:
		b.onTimer(e.Token)
	case MemberList:
		b.onList(e)
	case Settings:
		b.onSettings(e)
	case Ceded:
		b.onHandOver(e)
	case Fleet:
		b.onFleet(e)
	}
	return b.out
}

// seconds turns a number of seconds into a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (b *Balancer) emit(a Action) { b.out = append(b.out, a) }

// Servers counts those in the list, and of them those that get no work now: they drain, or are ejected
// and at most tried out.
func (b *Balancer) Servers() (listed, avoided int) { return len(b.servers), b.avoided }

// Tail is how long slow answers take, in the slowest class.
func (b *Balancer) Tail() (longest time.Duration) {
	for _, c := range b.ranked {
		longest = max(longest, c.tail)
	}
	return longest
}

// presence is what is known of how many nodes there are.
type presence struct {
	told   int  // by the settings
	known  bool // there is a membership
	agreed int  // that quotas are divided by
	heard  int  // that this node hears, itself included,
	near   int  // and those of them in its zone; 0 for not known
	below  Time // since when more than half of the agreed are heard and not all; 0 for not
	most   int  // that were heard since
}

// Fleet tells how many nodes quotas are divided by, how many of them this node hears, and whether it takes
// itself as cut off from the others.
func (b *Balancer) Fleet() (agreed, heard int, cutOff bool) {
	f := b.fleet
	return b.set.Nodes, f.heard, f.known && 2*f.heard <= f.agreed
}

// class is a request class with what was learned of it.
type class struct {
	Class
	open *pool // the servers that it may be sent to
	*classStats
}

// classStats is what is known of a class by its name, also when the settings change it.
type classStats struct {
	index    int              // of its timer; below 0 for a class that the settings don't name
	tail     time.Duration    // estimate of a high quantile of its latency
	watched  []watch          // attempts to look at when they are slow, oldest first
	firstTry time.Duration    // the longest that a first try was open
	usual    map[string]*load // what its answers take, by kind of server, where places are judged
	armed    bool             // the timer for the head of watched is set
}

// server is one listed server as this node sees it.
type server struct {
	Member
	safest    Repeat  // of the classes that it is open to: those give the trials
	inflight  int     // this process's attempts out
	beside    int     // and those of the node's other process
	threshold float64 // packing threshold, in attempts in flight
	busyTo    Time    // until then it likely works off an attempt that timed out
	reported  float64 // latency in its last report, in seconds,
	heardAt   Time    // and when that came; 0 before the first
	rate      float64 // attempts a second that it can serve by its reports; 0 before the first
	lastSend  Time
	lastDone  Time    // when it last answered anything
	latency   float64 // mean latency of its answers, in seconds
	health    health
	faults    float64  // part of its answers lately that were broken connections
	place     *place   // nil where the settings name none
	segment   *segment // of the packing order; nil where it isn't in it
	counted   counted
	felt      bool    // the threshold was cut at least once, or a report told
	doubt     float64 // evidence against its place
	judged    Time    // and when that was last added to
	gone      Time    // since when the list lacks it, which is eased; 0 for not
	cold      coldBudget
}

// request is one client request until its answer is given and its attempts are over.
type request struct {
	Request
	most     int // attempts by the settings when it came
	class    *class
	deadline Time
	worthTo  Time // later answers earn nothing
	giveUp   Time // when it is refused if still held
	attempts []attempt
	pending  int
	ranOn    *attempt // the first attempt that may have run
	ended    bool     // the final answer is given
	stream   bool     // the answer has begun
	held     bool     // it waited for a server at least once
}

type attempt struct {
	server *server
	sent   Time
	over   bool
	notRun bool // an outcome proved that it never ran
	trial  bool
	paced  bool // to a cold server
	light  bool // no work of its server's: the request isn't whole yet, or its answer has begun
}

type bucketKey struct{ tenant, class string }

// load is what n reports tell: how many attempts a second servers can serve, and in what time each.
type load struct{ n, rate, latency float64 }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	key    bucketKey
	tokens int64
	last   Time
}

// perSecond is the refill rate of a limit.
func (l Limit) perSecond() float64 {
	if l.Window <= 0 {
		return 0
	}
	return l.PerWindow / l.Window.Seconds()
}

// add follows the average over servers, plainly at first.
func (l *load) add(now load) {
	l.n++
	gain := max(kindGain, 1/l.n)
	l.rate += gain * (now.rate - l.rate)
	l.latency += gain * (now.latency - l.latency)
}

// watch is one attempt to look at when it has been out for long.
type watch struct {
	req     *request
	attempt int
	due     Time
}

// health is the state of one server's circuit breaker.
type health struct {
	score    float64
	out      bool // ejected, or half-open once until has passed
	until    Time
	times    int // ejections in a row
	trials   int // good trials in a row
	trialOut bool
}

// coldBudget is a token bucket in fractions, which fills as fast as this node may send.
type coldBudget struct {
	tokens float64
	last   Time
}

// occupy counts an attempt as in flight at its server, or no longer.
func (b *Balancer) occupy(a *attempt, by int) {
	a.light = by < 0
	if a.server.inflight += by; !a.paced {
		b.inflight += by
	}
}

// out is how many attempts this node has out at s.
func (s *server) out() int { return s.inflight + s.beside }

// answers counts those of a place lately, and the ill ones among them.
type answers struct {
	ill, heard float64
	at         Time
}

func (a *answers) fade(now Time) {
	part := math.Exp(-(now - a.at).Seconds() / heardSpan.Seconds())
	a.ill, a.heard, a.at = a.ill*part, a.heard*part, now
}

func (a *answers) add(ill bool) {
	if a.heard++; ill {
		a.ill++
	}
}

// place is a zone as its servers show it.
type place struct {
	answers
	zone, in     string               // and its region
	judged       bool                 // it is one of those that are judged
	warm         int                  // its warm servers
	doubts       fixed                // sum of the evidence of its servers,
	doubtsByKind map[string]*evidence // and by their kinds
	cost         float64              // of crossing to it
	share        float64              // of the requests that would go there by order and room
	shut         bool                 // to the request in hand
	until        Time                 // left, and not tried before; 0 for not left
	scouted      Time                 // when a request last tried it
	scouts       int                  // good tries in a row
	vanished     bool                 // the list took its servers away in a mass
	returning    bool
	growth       time.Duration // in which the share grows e-fold then
	grown        Time          // as of when the share is
	whole        Time          // since when it is whole again
	times        int           // it was left lately
	why          string        // it was left last
}

func (p *place) left() bool   { return p != nil && p.until > 0 }
func (p *place) closed() bool { return p != nil && p.shut }

func (p *place) region() string {
	if p == nil {
		return ""
	}
	return p.in
}

// placeOf is the place that a zone is; nil where the settings name none.
func (b *Balancer) placeOf(zone string) *place {
	if b.set.Places == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(b.places, zone, func(p *place, z string) int { return strings.Compare(p.zone, z) })
	switch {
	case found:
		return b.places[i]
	case len(b.places) >= maxPlaces:
		return &place{zone: zone, in: b.set.Places.region(zone), share: 1} // served, and not judged
	}
	p := &place{zone: zone, in: b.set.Places.region(zone), share: 1, judged: true}
	b.places = slices.Insert(b.places, i, p)
	return p
}

const maxPlaces = 1024 // that are judged

// PlaceState is what a node makes of a place.
type PlaceState struct {
	Zone, Region, State string // well, suspect, left, returning
	Cost, Share         float64
	Servers, Times      int
	Ill, Heard          float64 // answers lately
	TriedIn             time.Duration
	Why                 string // it was left last
}

// Places tells what the node makes of each place; none where the settings name none.
func (b *Balancer) Places(now Time) (all []PlaceState) {
	if b.set.Places != nil {
		all = []PlaceState{}
	}
	for _, p := range b.places {
		p.fade(max(now, b.now))
		s := PlaceState{Zone: p.zone, Region: p.in, State: "well", Cost: p.cost, Share: p.share,
			Times: p.times, Ill: p.ill, Heard: p.heard, Why: p.why}
		switch {
		case p.left():
			s.State, s.TriedIn = "left", max(0, p.until-now)
		case p.returning:
			s.State = "returning"
		case p.share < 1:
			s.State = "suspect"
		}
		for o := range b.all {
			if o.place == p {
				s.Servers++
			}
		}
		all = append(all, s)
	}
	return all
}

// crossing is what sending to s costs beyond sending to the own zone.
func (b *Balancer) crossing(s *server) float64 {
	switch {
	case s.place != nil:
		s.place.cost = b.set.Places.cost(b.set.Zone, s.Zone)
		return s.place.cost
	case s.Zone == b.set.Zone:
		return 0
	}
	return 1
}

// nearer tells whether crossing to one server costs less than to another.
func nearer(a, b *server) bool { return a.place != nil && a.place.cost < b.place.cost }

// ramp is the part of its capacity that s has at least, or 1 once it is warm.
func (b *Balancer) ramp(s *server) float64 {
	age := b.now - s.OnlineSince
	if s.OnlineSince <= 0 || age >= b.set.Rules.ColdFor {
		return 1
	}
	share := b.set.Rules.ColdShare
	return share + (1-share)*max(0, age.Seconds())/b.set.Rules.ColdFor.Seconds()
}

// tell has a line written to the log.
func (b *Balancer) tell(format string, args ...any) {
	b.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// listed takes over one entry of the list.
func (b *Balancer) listed(m Member) {
	s := b.servers[m.Server]
	if s == nil || s.OnlineSince != m.OnlineSince { // new, or a new process: forget the old one
		if s != nil {
			b.changed = append(b.changed, s)
		}
		s = &server{latency: b.set.Classes[0].Aim.Seconds() / 4}
		// A random part of a token, so that nodes who hear of a cold server together don't all send.
		s.cold = coldBudget{tokens: b.rng.Float64(), last: b.now}
		b.servers[m.Server] = s
	}
	p := b.placeOf(m.Zone)
	if s.Member != m || s.place != p {
		b.changed = append(b.changed, s)
	}
	if s.segment != nil && s.Zone != m.Zone {
		b.zones[s.Zone]--
		b.zones[m.Zone]++
	}
	if s.Member, s.gone, s.place = m, 0, p; s.place.missed() {
		b.comeBack(s.place)
	}
}

// missing are the servers that a whole list lacks.
func (b *Balancer) missing(list []Member) (gone []*server) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		if m.Availability != Removed {
			named[m.Server] = true
		}
	}
	for id, s := range b.servers {
		if !named[id] {
			gone = append(gone, s)
		}
	}
	return gone
}

// missed tells, once, whether the place's servers had vanished from the list.
func (p *place) missed() (was bool) {
	if p != nil {
		was, p.vanished = p.vanished, false
	}
	return was
}

// usually is what answers of a class from a kind of server usually take.
func (c *classStats) usually(kind string) *load {
	u := c.usual[kind]
	if u == nil {
		if c.usual == nil {
			c.usual = make(map[string]*load)
		}
		if u = new(load); len(c.usual) < maxKinds {
			c.usual[kind] = u
		}
	}
	return u
}

// Out tells how many attempts this process has out at each server.
func (b *Balancer) Out() map[string]int {
	all := make(map[string]int)
	for id, s := range b.servers {
		if s.inflight > 0 {
			all[id] = s.inflight
		}
	}
	return all
}

// Beside takes over how many attempts the node's other process has out at each server: thresholds hold for
// both together, or a server would be filled twice while one process replaces the other.
func (b *Balancer) Beside(out map[string]int) {
	b.beside = 0
	for id, s := range b.servers {
		if s.beside = max(0, out[id]); !b.paced(s) {
			b.beside += s.beside
		}
	}
}

// arm sets the timer of a class for the head of its queue.
func (b *Balancer) arm(c *classStats) {
	if !c.armed && len(c.watched) > 0 {
		c.armed = true
		b.emit(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.watched[0].due-b.now),
			Token: watchToken + uint64(c.index)})
	}
}

// hold keeps r until a server may turn up, or its time is up.
func (b *Balancer) hold(r *request) {
	r.held = true
	b.held = append(b.held, r)
	if !b.holding {
		b.holding = true
		b.emit(Action{Kind: SetTimer, Wait: holdPoll, Token: holdToken})
	}
}

// trimBudget forgets what has left the span of the budget of attempts.
func (b *Balancer) trimBudget() {
	from := b.now - b.budget.Span
	for len(b.took) > 0 && b.took[0] <= from {
		b.took = b.took[1:]
	}
	for len(b.extra) > 0 && b.extra[0] < from {
		b.extra = b.extra[1:]
	}
}

// release tries all held requests again.
func (b *Balancer) release() {
	held := b.held
	b.held = nil
	for _, r := range held {
		if !r.ended {
			b.dispatch(r)
		}
	}
}

// carried is how many requests a second a warm server was seen to answer for this node, at most of late. What
// is answered now falls with the servers that fail, and those that return would be kept cold by that.
func (b *Balancer) carried() float64 {
	now := b.doneRate() / max(1, float64(b.warmServers()))
	b.carriedMost = max(now, b.carriedMost*math.Exp(-(b.now-b.carriedAt).Seconds()/carriedSpan.Seconds()))
	b.carriedAt = b.now
	return b.carriedMost
}

// refuse ends r with a wait that its client is told; 0 for none.
func (b *Balancer) refuse(r *request, wait time.Duration) {
	b.emit(Action{Kind: Refuse, ID: r.ID, Wait: wait})
	b.end(r)
}

// end marks r as answered and calls its attempt off; r is kept until that is over.
func (b *Balancer) end(r *request) {
	if n := len(r.attempts) - 1; !r.ended && r.pending > 0 && b.set.Allowed.Cancel {
		b.emit(Action{Kind: Cancel, ID: r.ID, Attempt: n})
	}
	if r.ended = true; r.pending == 0 {
		delete(b.reqs, r.ID)
	}
}

// doneRate is how many answers a second came lately.
func (b *Balancer) doneRate() float64 {
	return b.done * math.Exp(-(b.now-b.doneAt).Seconds()/doneSpan.Seconds())
}

// settle works out which attempt of r may have run first; one without an outcome may have.
func (r *request) settle() {
	r.ranOn = nil
	for i := range r.attempts {
		if !r.attempts[i].notRun {
			r.ranOn = &r.attempts[i]
			return
		}
	}
}

// track moves the part of hits lately by one more.
func track(part *float64, gain float64, hit bool) {
	*part -= gain * *part
	if hit {
		*part += gain
	}
}

// Knowledge is what a process of a node leaves to the one that takes over. Its times are counted from
// the moment it was taken, for each process has a clock of its own; 0 stands for never.
type Knowledge struct {
	Buckets []KnownBucket          `json:"Buckets"`
	Classes map[string]KnownClass  `json:"Classes"`
	Servers map[string]KnownServer `json:"Servers"`
	Kinds   map[string]KnownLoad   `json:"Kinds"`
	Usual   KnownLoad              `json:"Usual"`
	Took    []Time                 `json:"Took"`
	Extra   []Time                 `json:"Extra"`
	Pace    float64                `json:"Pace"`
	Trust   float64                `json:"Trust"`
	Busy    float64                `json:"Busy"`
	Bad     float64                `json:"Bad"`
	Done    float64                `json:"Done"`
	HeardAt Time                   `json:"HeardAt"`
	DoneAt  Time                   `json:"DoneAt"`
}

// KnownBucket is one bucket.
type KnownBucket struct {
	Tenant string `json:"Tenant"`
	Class  string `json:"Class"`
	Tokens int64  `json:"Tokens"`
	Last   Time   `json:"Last"`
}

// KnownClass is what was learned of a class.
type KnownClass struct {
	Tail     time.Duration `json:"Tail"`
	FirstTry time.Duration `json:"FirstTry"`
}

// KnownLoad is what reports said of a kind of server.
type KnownLoad struct {
	N       float64 `json:"N"`
	Rate    float64 `json:"Rate"`
	Latency float64 `json:"Latency"`
}

// KnownServer is what was learned of a server, and what of its cold budget is left.
type KnownServer struct {
	OnlineSince Time    `json:"OnlineSince"`
	Threshold   float64 `json:"Threshold"`
	Latency     float64 `json:"Latency"`
	Reported    float64 `json:"Reported"`
	Rate        float64 `json:"Rate"`
	Score       float64 `json:"Score"`
	ColdTokens  float64 `json:"ColdTokens"`
	Felt        bool    `json:"Felt"`
	Out         bool    `json:"Out"`
	Times       int     `json:"Times"`
	BusyTo      Time    `json:"BusyTo"`
	HeardAt     Time    `json:"HeardAt"`
	LastSend    Time    `json:"LastSend"`
	LastDone    Time    `json:"LastDone"`
	OutUntil    Time    `json:"OutUntil"`
	ColdAt      Time    `json:"ColdAt"`
}

// since and at turn times of this process's clock into those of Knowledge, and back.
func (b *Balancer) since(t Time) Time {
	switch t {
	case 0:
		return 0
	case b.now:
		return -1 // not never
	}
	return t - b.now
}

func (b *Balancer) at(t Time) Time {
	if t == 0 {
		return 0
	}
	return max(1, b.now+t)
}

func convert(times []Time, by func(Time) Time) []Time {
	all := make([]Time, len(times))
	for i, t := range times {
		all[i] = by(t)
	}
	return all
}

// Knowledge returns what the process that takes over from this one has to know.
func (b *Balancer) Knowledge(now Time) Knowledge {
	b.now = max(now, b.now)
	k := Knowledge{
		Classes: make(map[string]KnownClass), Servers: make(map[string]KnownServer),
		Kinds: make(map[string]KnownLoad), Usual: KnownLoad{b.usual.n, b.usual.rate, b.usual.latency},
		Took: convert(b.took, b.since), Extra: convert(b.extra, b.since),
		Pace: b.pace, Trust: b.trust, Busy: b.busy, Bad: b.bad, Done: b.done, HeardAt: b.since(b.heardAt), DoneAt: b.since(b.doneAt),
	}
	for key, v := range b.buckets {
		k.Buckets = append(k.Buckets, KnownBucket{key.tenant, key.class, v.tokens / 2, b.since(v.last)})
	}
	for _, c := range b.ranked {
		k.Classes[c.Name] = KnownClass{c.tail, c.firstTry}
	}
	for kind, l := range b.kinds {
		k.Kinds[kind] = KnownLoad{l.n, l.rate, l.latency}
	}
	for id, s := range b.servers {
		k.Servers[id] = KnownServer{
			OnlineSince: b.since(s.OnlineSince), Threshold: s.threshold, Latency: s.latency, Reported: s.reported,
			Rate: s.rate, Score: s.health.score, ColdTokens: s.cold.tokens, Felt: s.felt, Out: s.health.out,
			Times: s.health.times, BusyTo: b.since(s.busyTo), HeardAt: b.since(s.heardAt),
			LastSend: b.since(s.lastSend), LastDone: b.since(s.lastDone), OutUntil: b.since(s.health.until),
			ColdAt: b.since(s.cold.last),
		}
	}
	return k
}

// sameStart is how far two processes may differ on when a server started: each rounds its own clock.
const sameStart = 20 * time.Millisecond

// Learn takes over what another process of this node knew. The list of servers comes first.
func (b *Balancer) Learn(now Time, k Knowledge) {
	b.now = max(now, b.now)
	b.usual = load{k.Usual.N, k.Usual.Rate, k.Usual.Latency}
	b.took, b.extra = convert(k.Took, b.at), convert(k.Extra, b.at)
	b.pace, b.trust, b.busy, b.bad, b.done = k.Pace, k.Trust, k.Busy, k.Bad, k.Done
	b.heardAt, b.doneAt = b.at(k.HeardAt), b.at(k.DoneAt)
	for _, v := range k.Buckets {
		bucket := b.bucketOf(bucketKey{v.Tenant, v.Class}, 0)
		bucket.tokens, bucket.last = v.Tokens, b.at(v.Last)
	}
	for _, c := range b.ranked {
		if known, ok := k.Classes[c.Name]; ok {
			c.tail, c.firstTry = known.Tail, known.FirstTry
		}
	}
	for kind, l := range k.Kinds {
		b.kinds[kind] = &load{l.N, l.Rate, l.Latency}
	}
	for id, v := range k.Servers {
		s := b.servers[id]
		if s == nil || (s.OnlineSince-b.at(v.OnlineSince)).Abs() > sameStart {
			continue // another process of it, or gone
		}
		s.threshold, s.latency, s.reported, s.rate, s.felt = v.Threshold, v.Latency, v.Reported, v.Rate, v.Felt
		s.busyTo, s.heardAt = b.at(v.BusyTo), b.at(v.HeardAt)
		s.lastSend, s.lastDone = b.at(v.LastSend), b.at(v.LastDone)
		s.health = health{score: v.Score, out: v.Out, until: b.at(v.OutUntil), times: v.Times}
		s.cold = coldBudget{tokens: v.ColdTokens, last: b.at(v.ColdAt)}
	}
	b.remake(nil)
	b.stale = true // a threshold that the other process had not set yet is set with the next list
}

// configure takes over settings. What was learned stays.
func (b *Balancer) configure(set Settings) {
	if !reflect.DeepEqual(set.Places, b.set.Places) { // they are judged anew
		b.places = nil
	}
	b.set, b.budget, b.stale = set, defaultBudget, true
	b.set.Nodes = b.fleet.configured(set.Nodes)
	if b.easeFor = easeMost; set.Rules.DrainGrace > 0 {
		b.easeFor = min(easeMost, set.Rules.DrainGrace/2)
	}
	if set.Rules.Attempts != nil {
		b.budget = *set.Rules.Attempts
	}
	for i, name := range []string{reportLatency, reportUtil, reportRate} {
		b.reports[i] = slices.Index(set.Report, name)
	}
	b.former, b.classes, b.ranked, b.dearest = b.classes, make(map[string]*class), nil, 0
	for _, c := range set.Classes {
		if c.Aim == 0 {
			c.Aim = c.Deadline
		}
		b.ranked = append(b.ranked, &class{Class: c, open: &b.pool, classStats: b.statsOf(c)})
		b.classes[c.Name] = b.ranked[len(b.ranked)-1]
		b.dearest = max(b.dearest, c.Worth)
	}
	b.divide()
}

// divide works out this node's part of each quota.
func (b *Balancer) divide() {
	set := b.set
	b.tenants, b.other = make(map[string]Limit), set.Limits.Default
	for _, t := range set.Tenants { // a tenant that nobody agreed a share with counts as the smallest
		l := b.shareOf(t.Quota)
		b.tenants[t.Name] = l
		if set.Limits.Default == nil && (b.other == nil || l.PerWindow < b.other.PerWindow) {
			b.other = &l
		}
	}
}

// statsOf is what is known of c by its name.
func (b *Balancer) statsOf(c Class) *classStats {
	l := b.classStats[c.Name]
	if l == nil {
		l = &classStats{index: len(b.watches), tail: c.Aim / 2}
		b.classStats[c.Name] = l
		b.watches = append(b.watches, l)
	}
	if was := b.former[c.Name]; was != nil && was.Deadline != c.Deadline {
		l.firstTry = 0 // a part of the deadline, and that is another now
	}
	l.tail = min(l.tail, c.Aim)
	return l
}

// inUse are the classes that requests may be in: those of the settings, of the former ones, and of what
// is open since before.
func (b *Balancer) inUse() map[*class]bool {
	all := make(map[*class]bool)
	for _, c := range b.ranked {
		all[c] = true
	}
	for _, c := range b.former {
		all[c] = true
	}
	for _, r := range b.reqs {
		if r.class.index >= 0 { // one that the settings don't name is open to all, and gives no trials
			all[r.class] = true
		}
	}
	return all
}
