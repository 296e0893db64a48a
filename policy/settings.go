package policy

import (
	"time"
)

// Time is a moment on the host's monotonic clock, measured from any fixed origin.
type Time = time.Duration

// RetrySafety says whether a request of a class may be sent again once it may have run.
type RetrySafety uint8

// The zero value is the strictest, so a class that nobody described is never repeated.
const (
	NonIdempotent    RetrySafety = iota // must never run twice
	IdempotencyKeyed                    // the servers of a DedupScope drop repeats within the DedupWindow
	Idempotent                          // safe to repeat anywhere
)

// DedupScope names the servers that drop repeats of an IdempotencyKeyed request.
type DedupScope uint8

// The zero value is the narrowest scope. The scope is counted from the server of the first attempt that may
// have run.
const (
	DedupPerCell DedupScope = iota
	DedupPerZone
	DedupEverywhere
)

// Class describes one kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within it has its full value; 0 for the deadline
	ObjectivePerWork float64       // the objective grows by this multiple of the request's EstimatedWork
	Deadline         time.Duration // how long a client waits in all, over all its tries
	RetrySafety      RetrySafety
	DedupScope       DedupScope    // for IdempotencyKeyed
	DedupWindow      time.Duration // for IdempotencyKeyed: from the first attempt that may have run
	LateWeight       float64       // part of the value that a response between objective and deadline has
	PriorityWeight   float64       // value of a response; lower ones give way under overload
	Streaming        bool          // the response is a stream, announced by FirstByte
	Kinds            []string      // the only kinds of server it may be sent to; empty for any
	Zones            []string      // the only zones; empty for any
	Regions          []string      // the only regions, where Settings.Topology names them; empty for any
}

// Tenant is one customer with its agreed share, over all nodes.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all nodes
	Share float64 // part of the service, 0 to 1
}

// Limit is one layer of rate limits: PerWindow requests in each Window, with a bucket of Burst tokens.
type Limit struct {
	PerWindow float64
	Window    time.Duration
	Burst     int64
}

// RateLimits holds the layers that apply to every tenant. All are optional.
type RateLimits struct {
	Default  *Limit           // of tenants without a quota; nil: the smallest quota, or no limit
	PerClass map[string]Limit // by class, instead of the tenant's; each tenant has a bucket of its own for it
	Max      float64          // bounds PerWindow and Burst of every limit; 0 for no bound
}

// Allowed says what a node is permitted to do. Probe, Peers, RetryAfter and MaxRetryAfter are part of the
// wire and not used by a decision.
type Allowed struct {
	Cancel, Probe, Peers, RetryAfter bool
	MaxAttempts                      int           // for one request; 0 counts as 1
	MaxRetryAfter                    time.Duration // longest Retry-After that clients follow
	IdleTimeout                      time.Duration // idle connections are closed after this; 0 if unknown
}

// attemptsPerRequest is MaxAttempts, and at least one.
func (a Allowed) attemptsPerRequest() int { return max(1, a.MaxAttempts) }

// RetryBudget bounds a node's retries: in any Window they number fewer than MinRetries plus RetryRatio of
// the requests that the node received in it.
type RetryBudget struct {
	MinRetries float64
	RetryRatio float64
	Window     time.Duration
}

// Rules holds the figures of the service's rules.
type Rules struct {
	AnswerGrace          time.Duration // a response is in time so long after the deadline; part of the wire only
	DrainGrace           time.Duration // nothing may be sent to a server later than this after it drains
	SlowStartMinCapacity float64       // part of its capacity, 0 to 1, that a server has when it starts
	SlowStartDuration    time.Duration // after which it has its whole capacity
	OverloadMultiple     float64       // a server that is sent more than this multiple of its present capacity
	OverloadDuration     time.Duration // for this long, while it warms up, collapses
	PollInterval         time.Duration // an unsubscribed node must poll the list this often
	RetryBudget          *RetryBudget  // nil where none is stated
}

// Topology says in which region each zone lies, and what it costs, in any unit, to send a request from one
// zone to another. A zone that RegionOfZone lacks is a region of its own.
type Topology struct {
	RegionOfZone    map[string]string
	SameRegionCost  float64                       // between zones of one region
	OtherRegionCost float64                       // between regions
	ZoneCosts       map[string]map[string]float64 // from one zone to another, where the cost is another
}

// cost is that of sending a request from one zone to another.
func (t *Topology) cost(from, to string) float64 {
	if cost, found := t.ZoneCosts[from][to]; found || from == to {
		return cost
	}
	if t.region(from) == t.region(to) {
		return t.SameRegionCost
	}
	return t.OtherRegionCost
}

// region is the region of a zone.
func (t *Topology) region(zone string) string {
	if t != nil && t.RegionOfZone[zone] != "" {
		return t.RegionOfZone[zone]
	}
	return zone
}

// Settings is what a node gets at its start, and as an event when it changes.
type Settings struct {
	NodeIndex, NodeCount int // number of this node, from 0, and how many there are
	Zone                 string
	Classes              []Class
	Tenants              []Tenant
	Topology             *Topology // nil: the node only tells its own zone from others, and monitors none
	Limits               RateLimits
	Allowed              Allowed
	Rules                Rules
	SubscribeList        bool     // the node has to subscribe to the list of servers
	RetainMissing        bool     // servers that vanish with most of their zone are retained for a moment
	WeightByWork         bool     // PriorityWeight is per unit of work, not per request; part of the wire only
	ReportFields         []string // names of the values in a load report, in order
}
