package policy

import (
	"time"
)

// Time is a time on the host's monotonic clock, measured from any fixed origin.
type Time = time.Duration

// RetrySafety says whether a request of a class may be retried after it may have run.
type RetrySafety uint8

// The zero value is the strictest, so requests of an unknown class are never retried after they may have run.
const (
	NonIdempotent    RetrySafety = iota // must never run twice
	IdempotencyKeyed                    // the servers of a DedupScope drop repeats within the DedupWindow
	Idempotent                          // safe to run again on any server
)

// DedupScope says which servers drop repeats of an IdempotencyKeyed request.
type DedupScope uint8

// The zero value is the narrowest scope. The cell or zone is that of the server of the first attempt that may
// have run.
const (
	DedupPerCell DedupScope = iota
	DedupPerZone
	DedupEverywhere
)

// Class describes one kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within it has its full value; 0: the deadline is used
	ObjectivePerWork float64       // the objective grows by this multiple of the request's EstimatedWork
	Deadline         time.Duration // total time that a client waits, over all its tries
	RetrySafety      RetrySafety
	DedupScope       DedupScope    // only for IdempotencyKeyed
	DedupWindow      time.Duration // only for IdempotencyKeyed; begins with the first attempt that may have run
	LateWeight       float64       // fraction of its value that a response between objective and deadline keeps
	PriorityWeight   float64       // value of a response; requests with a lower value are shed first
	Streaming        bool          // the response is a stream, announced by FirstByte
	Kinds            []string      // kinds of server that requests may be sent to; any if empty
	Zones            []string      // zones that requests may be sent to; any if empty
	Regions          []string      // regions of Settings.Topology that requests may be sent to; any if empty
}

// AcceptedClass is a class as it binds the requests that were accepted under it. Many requests may share one;
// it must not be modified.
type AcceptedClass struct {
	Class
	MaxAttempts int // Allowed.MaxAttempts of the same settings; 0 counts as 1
}

// RestrictedBy returns the class with the bounds on its attempts that both c and other set: the smaller dedup
// scope, the shorter dedup window, and the lower number of attempts. Both must have the same RetrySafety.
func (c *AcceptedClass) RestrictedBy(other *AcceptedClass) *AcceptedClass {
	restricted := *c
	restricted.DedupScope = min(c.DedupScope, other.DedupScope)
	restricted.DedupWindow = min(c.DedupWindow, other.DedupWindow)
	restricted.MaxAttempts = min(attemptsPerRequest(c.MaxAttempts), attemptsPerRequest(other.MaxAttempts))
	return &restricted
}

// Tenant is one customer with its quota over all nodes.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all nodes
	Share float64 // fraction of the service, 0 to 1
}

// Limit is one layer of rate limits: PerWindow requests in each Window, with a bucket of Burst tokens.
type Limit struct {
	PerWindow float64
	Window    time.Duration
	Burst     int64
}

// RateLimits holds the limits besides the tenants' quotas. All are optional.
type RateLimits struct {
	Default  *Limit           // for tenants without a quota; nil: the smallest quota applies, if there is any
	PerClass map[string]Limit // by class, replaces the tenant's limit; each tenant has a separate bucket for it
	Max      float64          // maximum of PerWindow and Burst of every limit; 0 means no maximum
}

// Allowed says what a node is permitted to do. Only Cancel and MaxAttempts affect decisions. The caller uses
// IdleTimeout. Probe, Peers, RetryAfter and MaxRetryAfter are part of the wire format.
type Allowed struct {
	Cancel, Probe, Peers, RetryAfter bool
	MaxAttempts                      int           // attempts per request; 0 counts as 1
	MaxRetryAfter                    time.Duration // maximum Retry-After that clients follow
	IdleTimeout                      time.Duration // after which idle connections are closed; 0 if unknown
}

// attemptsPerRequest returns MaxAttempts, or 1 if it is lower.
func (a Allowed) attemptsPerRequest() int { return attemptsPerRequest(a.MaxAttempts) }

func attemptsPerRequest(maxAttempts int) int { return max(1, maxAttempts) }

// RetryBudget bounds a node's retries: in any Window, it makes fewer retries than MinRetries plus RetryRatio
// times the requests that it received in the Window.
type RetryBudget struct {
	MinRetries float64
	RetryRatio float64
	Window     time.Duration
}

// Rules holds the parameters of the service's rules. "Wire format only" means that no decision depends on it.
type Rules struct {
	AnswerGrace          time.Duration // how long after the deadline a response is in time; wire format only
	DrainGrace           time.Duration // requests may be sent to a server for this long after it begins to drain
	SlowStartMinCapacity float64       // fraction of its capacity, 0 to 1, that a server has when it starts
	SlowStartDuration    time.Duration // time after its start at which a server has its full capacity
	// A server that is warming up collapses if it is sent more than OverloadMultiple times its current capacity
	// for OverloadDuration.
	OverloadMultiple float64
	OverloadDuration time.Duration
	PollInterval     time.Duration // a node that doesn't subscribe to the list must poll it at least this often
	RetryBudget      *RetryBudget  // nil: the default of retry_budget.go applies
}

// Topology contains the region of each zone and the cost, in any unit, of sending a request from one zone to
// another. A zone that RegionOfZone lacks is a separate region.
type Topology struct {
	RegionOfZone    map[string]string
	SameRegionCost  float64                       // between zones of one region
	OtherRegionCost float64                       // between regions
	ZoneCosts       map[string]map[string]float64 // exceptions: cost by sending zone, then receiving zone
}

// cost returns the cost of sending a request from one zone to another. Within a zone it is 0, unless
// ZoneCosts sets it.
func (t *Topology) cost(from, to string) float64 {
	if cost, found := t.ZoneCosts[from][to]; found || from == to {
		return cost
	}
	if t.region(from) == t.region(to) {
		return t.SameRegionCost
	}
	return t.OtherRegionCost
}

// region returns the region of a zone. A zone without one, or any zone if t is nil, is a separate region.
func (t *Topology) region(zone string) string {
	if t != nil && t.RegionOfZone[zone] != "" {
		return t.RegionOfZone[zone]
	}
	return zone
}

// Settings holds the settings of a node. It is passed to New, and as an Event when the settings change.
type Settings struct {
	NodeIndex, NodeCount int // index of this node, from 0, and number of nodes
	Zone                 string
	Classes              []Class
	Tenants              []Tenant
	Topology             *Topology // nil: the node only tells its own zone from others, and monitors no zones
	Limits               RateLimits
	Allowed              Allowed
	Rules                Rules
	SubscribeList        bool     // the node must subscribe to the list of servers
	RetainMissing        bool     // if the list lacks most of a zone, its servers are retained for a while
	WeightByWork         bool     // PriorityWeight is per unit of work, not per request; affects no decision
	ReportFields         []string // names of the values in a load report, in order
}
