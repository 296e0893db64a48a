package policy

import (
	"time"
)

// Time is a moment on the host's monotonic clock, measured from any fixed origin.
type Time = time.Duration

// RetrySafety says how far a request of a class may be sent again once it may have run.
type RetrySafety uint8

// The zero value is the strictest: a class nobody described is never repeated.
const (
	NonIdempotent    RetrySafety = iota // must never run twice
	IdempotencyKeyed                    // a group of servers drops repeats for a window
	Idempotent                          // safe to repeat
)

// DedupScope names the servers that drop the repeats of a Guarded request.
type DedupScope uint8

// The zero value is the narrowest group.
const (
	DedupPerCell DedupScope = iota
	DedupPerZone
	DedupEverywhere
)

// Class describes one kind of request.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within Aim earns the full worth
	ObjectivePerWork float64       // Aim grows by this multiple of the request's own work; 0 for none
	Deadline         time.Duration // how long a client waits in all, over all its tries
	RetrySafety      RetrySafety
	DedupScope       DedupScope    // for Guarded
	DedupWindow      time.Duration // for Guarded: counted from the first attempt that may have run
	LateWeight       float64       // part of the worth left between Aim and Deadline
	PriorityWeight   float64
	Streaming        bool     // the answer is a stream, announced by FirstByte
	Kinds            []string // the only kinds of server it may be sent to; empty for any
	Zones            []string // the only zones it may be sent to; empty for any
	Regions          []string // the only regions, where Settings.Places tells them; empty for any
}

// Tenant is one customer with its agreed share, over all nodes.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over the whole fleet of nodes
	Share float64 // part of the service, 0 to 1
}

// Limit is one layer of rate limits: PerWindow requests each Window, and a burst on top.
type Limit struct {
	PerWindow float64
	Window    time.Duration
	Burst     int64
}

// RateLimits holds the layers that apply to every tenant. All are optional.
type RateLimits struct {
	Default  *Limit           // for tenants without a quota; nil: the smallest quota, or no limit
	PerClass map[string]Limit // override; such a class has a bucket of its own for each tenant
	Max      float64          // platform maximum for PerWindow and Burst; 0 for none
}

// Allowed says what the site lets a node do.
type Allowed struct {
	Cancel, Probe, Peers, RetryAfter bool
	MaxAttempts                      int           // for one request; 0 counts as 1
	MaxRetryAfter                    time.Duration // longest wait a client follows
	IdleTimeout                      time.Duration // idle connections are closed after this; 0 if not told
}

// RetryBudget rations a node's attempts beyond each request's first: in any Span they number at most
// Least plus Share of the requests that the node took in it.
type RetryBudget struct {
	MinRetries float64
	RetryRatio float64
	Window     time.Duration
}

// Rules holds the figures of the rules.
type Rules struct {
	AnswerGrace          time.Duration // a final answer is still in time this long after the deadline
	DrainGrace           time.Duration // sends to a draining server must end within this time
	SlowStartMinCapacity float64       // a server starts at this part of its capacity or more
	SlowStartDuration    time.Duration // and is warm within this time
	OverloadMultiple     float64       // sent more than this multiple of its present capacity
	OverloadDuration     time.Duration // for this long, a cold server falls over
	PollInterval         time.Duration // an unsubscribed node must ask for the list this often
	RetryBudget          *RetryBudget  // of further attempts; nil where none is stated
}

// Topology says where zones lie, and what crossing from one to another costs, in any unit. A zone that Region
// doesn't name is a region of its own.
type Topology struct {
	RegionOfZone                    map[string]string // of each zone
	SameRegionCost, OtherRegionCost float64           // the usual costs
	// from one zone to another, where it isn't the usual
	ZoneCosts map[string]map[string]float64
}

// cost is that of crossing from one zone to another.
func (p *Topology) cost(from, to string) float64 {
	if c, ok := p.ZoneCosts[from][to]; ok || from == to {
		return c
	}
	if p.region(from) == p.region(to) {
		return p.SameRegionCost
	}
	return p.OtherRegionCost
}

// region is where a zone lies; one that nobody named lies alone.
func (p *Topology) region(zone string) string {
	if p != nil && p.RegionOfZone[zone] != "" {
		return p.RegionOfZone[zone]
	}
	return zone
}

// Settings is what a node is told at its start, and as an event when it changes.
type Settings struct {
	NodeIndex, NodeCount int // this node's number, and how many there are
	Zone                 string
	Classes              []Class
	Tenants              []Tenant
	Topology             *Topology // nil: a node knows its own zone from the others, and judges none
	Limits               RateLimits
	Allowed              Allowed
	Rules                Rules
	SubscribeList        bool // the list of servers must be asked for
	RetainMissing        bool // servers that a list takes away in a mass are kept for a moment
	WeightByWork         bool // worth is counted for each unit of work, not for each request
	// ReportFields names the values in load reports, in order. No decision reads them.
	ReportFields []string
}
