package policy

import (
	"time"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Action kinds. The comments name the fields of Action that each kind uses. Probe, SendPeerMessage, CloseIdle
// and FetchList are part of the wire format, but no decision emits them.
const (
	Send   ActionKind = iota // ID, Server, AttemptDeadline, WriteBy
	Reject                   // ID, Wait: the client may safely send the request again after Wait
	Fail                     // ID: the request may or may not have run
	Cancel                   // ID, Attempt
	// SetAttemptDeadline replaces the deadline of an attempt whose request is now complete.
	SetAttemptDeadline // ID, Attempt, AttemptDeadline
	SetTimer           // Wait, Token
	Probe              // Server
	SendPeerMessage    // Peer (-1 for all), Text
	CloseIdle          // Server
	Log                // Text
	WatchList          // Enabled: subscribe to the list of servers
	FetchList          // no fields
)

// Action is one instruction to the node.
type Action struct {
	Kind            ActionKind
	ID              string
	Server          string
	AttemptDeadline Time // when the attempt times out if no response has begun; if 0, at the client's deadline
	WriteBy         Time // the attempt may not be written later; 0 for no bound
	Wait            time.Duration
	Token           uint64
	Attempt         int // index among the attempts of the request, from 0
	Peer            int
	Text            string
	Enabled         bool
}
