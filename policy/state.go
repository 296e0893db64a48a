package policy

import (
	"math/rand/v2"
	"time"
)

// The state that the decisions in policy.go keep; no decisions here.

// Balancer is one node's decisions. It isn't safe for concurrent use. Make one with New.
type Balancer struct {
	set       Settings
	now       Time
	rng       *rand.Rand
	out       []Action
	classes   map[string]*class
	tenants   map[string]Limit
	ranked    []*class // in the order of the settings
	other     *Limit   // for tenants without a quota; nil: no limit
	buckets   map[bucketKey]*bucket
	pace      float64          // scale of all bucket rates
	dearest   float64          // the most that a class is worth
	kinds     map[string]*load // what the warm servers of a kind report on average
	usual     load             // and all warm servers
	inflight  int              // attempts out at warm servers
	reports   [3]int           // where latency, busy part and rate stand in a report; -1 where they don't
	busy      float64          // how busy warm servers are by their last reports
	heardAt   Time             // when the last of those came
	wanted    bool             // a choice found no room since then
	trust     float64          // scale of the thresholds of servers that other nodes mostly use
	fullPart  float64          // part of full answers among the bad ones lately
	bad       float64          // part of bad answers lately
	lost      float64          // part of time-outs among all but full answers lately
	refused   bool             // a bucket refused since the last choice
	listFails int              // calls for the list that failed in a row
	servers   map[string]*server
	pool          // all servers in service
	zones     int // zones that have servers
	avoided   int // listed servers that drain or are ejected
	reqs      map[string]*request
	held      []*request // waiting for a usable server, oldest first
	holding   bool       // the hold timer is set
	budget    Budget     // of attempts beyond the first of each request
	owed      float64    // part of an attempt not yet booked
	took      []Time     // requests taken in the span of the budget of attempts, oldest first
	extra     []Time     // attempts beyond a request's first in it
	done      float64    // answers a second, as of doneAt
	doneAt    Time
	silent    [6]float64 // part of sends unanswered, by how long the connection was idle, in octaves
}

// Servers counts those in the list, and of them those that get no work now: they drain, or are ejected
// and at most tried out.
func (b *Balancer) Servers() (listed, avoided int) { return len(b.servers), b.avoided }

// pool is a set of servers in packing order.
type pool struct {
	order   []*server // own zone first, each part in id order
	zoned   int       // servers of order in the own zone
	ejected int       // servers of order that are ejected
}

// class is a request class with what was learned of it.
type class struct {
	Class
	open     *pool // the servers that it may be sent to
	index    int
	tail     time.Duration // estimate of a high quantile of its latency
	watched  []watch       // attempts to look at when they are slow, oldest first
	firstTry time.Duration // the longest that a first try was open
	armed    bool          // the timer for the head of watched is set
}

// server is one listed server as this node sees it.
type server struct {
	Member
	hash      uint64
	safest    Repeat  // of the classes that it is open to: those give the trials
	inflight  int     // this node's attempts out
	threshold float64 // packing threshold, in attempts in flight
	own       bool    // at the start of this node's own walk
	felt      bool    // the threshold was cut at least once
	busyTo    Time    // until then it likely works off an attempt that timed out
	reported  float64 // latency in its last report, in seconds,
	heardAt   Time    // and when that came; 0 before the first
	rate      float64 // attempts a second that it can serve by its reports; 0 before the first
	used      []Time  // when so many connections were last in use
	lastSend  Time
	lastDone  Time    // when it last answered anything
	latency   float64 // mean latency of its answers, in seconds
	health    health
	cold      coldBudget
}

// request is one client request until its answer is given and its attempts are over.
type request struct {
	id       string
	class    *class
	deadline Time
	worthTo  Time   // later answers earn nothing
	giveUp   Time   // when it is refused if still held
	key      uint64 // hash of what the request is about; 0 for none
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
	idle   int  // octave of the time that its connection was idle; 0 for one in use
}

type bucketKey struct{ tenant, class string }

// load is what n reports tell: how many attempts a second servers can serve, and in what time each.
type load struct{ n, rate, latency float64 }

// bucket holds whole tokens and the time they were last added.
type bucket struct {
	tokens int64
	last   Time
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
