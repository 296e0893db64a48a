package policy

import (
	"time"
)

// Event is something that happened at a node: one of the types below, or Settings. ProbeResult and
// PeerMessage have no effect yet.
type Event interface{ isEvent() }

func (Request) isEvent()         {}
func (RequestComplete) isEvent() {}
func (FirstByte) isEvent()       {}
func (Outcome) isEvent()         {}
func (ClientCancelled) isEvent() {}
func (EndpointList) isEvent()    {}
func (Settings) isEvent()        {}
func (FleetSize) isEvent()       {}
func (HandedOver) isEvent()      {}
func (Timer) isEvent()           {}
func (ProbeResult) isEvent()     {}
func (PeerMessage) isEvent()     {}

// Availability is the state of a server's process according to the list.
type Availability uint8

// States of a listed server.
const (
	Running Availability = iota
	Draining
	Removed
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	ID           string
	Zone         string
	Kind         string
	Cell         int64 // servers of a cell drop duplicates of each other's requests
	Weight       float64
	StartedAt    Time // when its process last started; 0 if long ago
	Availability Availability
}

// ListKind says how to apply an EndpointList.
type ListKind uint8

// Kinds of EndpointList.
const (
	ListReplace     ListKind = iota // the whole list
	ListUpdate                      // only the changed entries
	ListCached                      // the whole list as last seen, possibly stale
	ListUnavailable                 // no entries: the list couldn't be fetched, or the subscription has ended
)

// EndpointList is a version of the server list, or a change to it. Nodes may share Endpoints, which must not
// be modified.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// Request is a client's request. It gets exactly one final response, unless its client disconnects.
type Request struct {
	ID, Class, Tenant, Key string
	// Accepted is the class named Class by the settings under which the request was accepted. It binds the
	// request for as long as it is open, however often the settings change. If Accepted is nil, the settings in
	// force at the Request event do.
	Accepted           *AcceptedClass
	Timeout            time.Duration // how long the client waits in this try
	EstimatedWork      time.Duration // expected CPU time; 0 if unknown
	ClientRetry, Write bool
	Incomplete         bool // its last byte is yet to arrive, and Timeout counts from RequestComplete
}

// RequestComplete reports that the last byte of an Incomplete request has arrived.
type RequestComplete struct{ ID string }

// FirstByte reports that a streamed response has begun. The request can no longer be retried.
type FirstByte struct {
	ID, Server string
	Attempt    int
	Latency    time.Duration
}

// Code says how an attempt ended.
type Code uint8

// Outcome codes. ProvesNotRun reports which of them prove that the request never ran.
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

// Outcome reports the end of one attempt.
type Outcome struct {
	ID, Server   string
	Attempt      int
	Code         Code
	Latency      time.Duration
	RequestEnded bool      // the request has its final response, or its client has disconnected
	BodyConsumed bool      // part of the request body has left the node, so the request can't be sent again
	LoadReport   []float64 // values in the order of Settings.ReportFields; nil without a report
}

// ClientCancelled reports that the client has disconnected and needs no response.
type ClientCancelled struct{ ID string }

// HandedOver reports that the successor, the process that replaces this one in a hot restart, takes over. If
// Active is false, it reports that the successor has ended, and SuccessorServed tells whether the successor
// had begun to serve.
type HandedOver struct{ Active, SuccessorServed bool }

// FleetSize reports how many nodes of the fleet this node reaches, including itself, according to membership.
// Until the first FleetSize event, Settings.NodeCount is the number of nodes.
type FleetSize struct {
	ReachableNodes  int
	ReachableInZone int // reachable nodes in this node's zone; 0 if unknown
}

// Timer reports that a timer set by SetTimer is due.
type Timer struct{ Token uint64 }

// ProbeResult reports the end of a Probe.
type ProbeResult struct {
	Server     string
	Code       Code
	Latency    time.Duration
	LoadReport []float64
}

// PeerMessage is a message from another node. Messages may be lost, late or corrupt.
type PeerMessage struct {
	From int
	Body string
}
