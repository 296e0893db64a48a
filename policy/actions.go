package policy

import (
	"time"
)

// ActionKind names what an Action does.
type ActionKind uint8

// What a node can do; the comments name the fields of Action that count. Probe, SendPeerMessage, CloseIdle
// and FetchList are part of the wire; no decision emits them.
const (
	Send   ActionKind = iota // ID, Server, AttemptDeadline
	Reject                   // ID, Wait: the client may safely send the request again, after Wait
	Fail                     // ID: the request may or may not have run
	Cancel                   // ID, Attempt
	// SetAttemptDeadline replaces the deadline of an attempt whose request has now come whole.
	SetAttemptDeadline // ID, Attempt, AttemptDeadline
	SetTimer           // Wait, Token
	Probe              // Server
	SendPeerMessage    // Peer (-1 for all), Text
	CloseIdle          // Server
	Log                // Text
	WatchList          // Enabled
	FetchList          // no fields
)

// Action is one thing that the node is to do now.
type Action struct {
	Kind            ActionKind
	ID              string
	Server          string
	AttemptDeadline Time // when the attempt times out; 0: with the client's deadline
	Wait            time.Duration
	Token           uint64
	Attempt         int // index among the attempts of the request, from 0
	Peer            int
	Text            string
	Enabled         bool
}
