package registry

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Bounds on the TTL of a lease.
const (
	MinTTL     = time.Second
	MaxTTL     = 10 * time.Minute
	DefaultTTL = 15 * time.Second
)

// CommandKind says what a command does. Its values are stored.
type CommandKind uint8

// The kinds of commands, with the fields that each reads.
const (
	RegisterInstance   CommandKind = iota + 1 // Endpoint, TTL: a new instance, or new values of one, with a new lease
	RenewLease                                // ID
	SetInstancePhase                          // ID, Phase
	DeregisterInstance                        // ID
	AdvanceClock                              // Elapsed: lease time that passed at the leader
	RestartLeases                             // a leader was elected: each lease gets its whole TTL again
	BeginEpoch                                // the state was restored from a copy of an older one
	SetReplicaAddress                         // ID, Endpoint.Address: where a replica serves HTTP; empty to delete it
)

// Command is one change of the Store. Its CBOR form is what the raft log holds.
type Command struct {
	Kind      CommandKind   `cbor:"1,keyasint"`
	RequestID string        `cbor:"2,keyasint,omitempty"` // a retry with the same id gets the first response
	ID        string        `cbor:"3,keyasint,omitempty"` // of an instance or a replica
	IfMatch   int64         `cbor:"4,keyasint,omitempty"` // version that the instance must have; 0 for any
	Endpoint  Endpoint      `cbor:"5,keyasint,omitempty"`
	TTL       time.Duration `cbor:"6,keyasint,omitempty"`
	Phase     string        `cbor:"7,keyasint,omitempty"`
	Elapsed   time.Duration `cbor:"8,keyasint,omitempty"`
}

func encodeCommand(c Command) ([]byte, error) { return cbor.Marshal(c) }

func decodeCommand(raw []byte) (c Command, err error) {
	err = cbor.Unmarshal(raw, &c)
	return c, err
}

// ResultCode is the outcome of a command. Its values are stored, and are the text of HTTP responses.
type ResultCode string

// The outcomes. All but ResultOK left the state unchanged.
const (
	ResultOK               ResultCode = ""
	ResultNotFound         ResultCode = "not found"
	ResultVersionMismatch  ResultCode = "another version"
	ResultTooManyInstances ResultCode = "too many instances"
	ResultUnknownCommand   ResultCode = "unknown command"
)

// Errors that a command was rejected with.
var (
	ErrInstanceNotFound = errors.New("registry: instance not found")
	ErrVersionMismatch  = errors.New("registry: instance has another version")
	ErrTooManyInstances = errors.New("registry: too many instances")
	ErrUnknownCommand   = errors.New("registry: unknown command")
)

// Err returns the error for an outcome, nil for ResultOK.
func (c ResultCode) Err() error {
	switch c {
	case ResultOK:
		return nil
	case ResultNotFound:
		return ErrInstanceNotFound
	case ResultVersionMismatch:
		return ErrVersionMismatch
	case ResultTooManyInstances:
		return ErrTooManyInstances
	default:
		return ErrUnknownCommand
	}
}

// Result is the outcome of a command.
type Result struct {
	Code     ResultCode `cbor:"1,keyasint,omitempty"`
	Instance Instance   `cbor:"2,keyasint"` // after the command; on ResultVersionMismatch as it is
	Revision int64      `cbor:"3,keyasint"` // of the Store after the command
}
