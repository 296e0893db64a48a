package policy

import (
	"time"
)

// Event is anything that a node reacts to: Request, RequestComplete, FirstByte, Outcome, ClientCancelled,
// EndpointList, Settings, FleetSize, HandedOver or Timer. Others change nothing.
type Event any

// Availability is what the list says of a server's process.
type Availability uint8

// States of a listed server.
const (
	Running Availability = iota
	Draining
	Removed
)

// Endpoint is one entry of the list of servers.
type Endpoint struct {
	ID           string
	Zone         string
	Kind         string
	Cell         int64 // servers of one cell drop the repeats of each other's requests
	Weight       float64
	StartedAt    Time // when its process last started; 0 for long ago
	Availability Availability
}

// ListKind says how an EndpointList is to be read.
type ListKind uint8

// Kinds of list events.
const (
	ListReplace     ListKind = iota // the whole list
	ListUpdate                      // only what changed
	ListCached                      // the whole list as last seen, perhaps stale
	ListUnavailable                 // a call failed or a subscription ended; no entries
)

// EndpointList is a version of the list of servers, or a change of it. Nodes may share Endpoints: they are
// only read.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Request is a client's request. The node owes it exactly one final answer.
type Request struct {
	ID, Class, Tenant, Key string
	Timeout                time.Duration // after which the client gives up this try
	EstimatedWork          time.Duration // likely CPU time; 0 if unknown
	ClientRetry, Write     bool
	FormerClass            bool // its head came before the last Settings: its class is that of those before
	Incomplete             bool // its last byte is still to come, and Timeout counts from RequestComplete on
}

// RequestComplete says that the last byte of an Incomplete request has come.
type RequestComplete struct{ ID string }

// FirstByte says that a streamed response has begun: the request can't be retried any more.
type FirstByte struct {
	ID, Server string
	Attempt    int
	Latency    time.Duration
}

// Code says how an attempt ended.
type Code uint8

// The outcome codes. Code.ProvesNotRun says which of them prove that the request never ran.
const (
	OK Code = iota
	ServerError
	Overloaded
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotAttempted
)

// ProvesNotRun reports whether the code proves that the request never ran.
func (c Code) ProvesNotRun() bool { return c == Overloaded || c == ConnectFailed || c == NotAttempted }

// Outcome is the end of one attempt.
type Outcome struct {
	ID, Server   string
	Attempt      int
	Code         Code
	Latency      time.Duration
	RequestEnded bool      // the request has its final answer
	BodyConsumed bool      // a part of the request's body has left the node, so it can't be sent again
	LoadReport   []float64 // values in the order of Settings.ReportFields; nil for none
}

// ClientCancelled says that the client has left: it needs no answer any more.
type ClientCancelled struct{ ID string }

// HandedOver says that another process of this node takes over, or, if Active is false, that it has ended
// again; SuccessorServed then tells whether it had begun to serve.
type HandedOver struct{ Active, SuccessorServed bool }

// FleetSize says how many nodes of the fleet this one reaches by membership, itself included. Until the
// first such event the number of nodes is that of the settings.
type FleetSize struct {
	ReachableNodes  int
	ReachableInZone int // those of them in this node's zone; 0 where not known
}

// Timer is a timer of SetTimer that came due.
type Timer struct{ Token uint64 }

// ProbeResult is the end of one Probe.
type ProbeResult struct {
	Server     string
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// PeerMessage is bytes from another node; they may be lost, old or broken.
type PeerMessage struct {
	From int
	Body string
}
