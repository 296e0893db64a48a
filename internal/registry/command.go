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

// CommandKind selects what a command does. Its values are stored in the raft log.
type CommandKind uint8

// The kinds of commands, with the fields that each uses. RequestID applies to all kinds, IfMatch to the first four.
const (
	RegisterInstance   CommandKind = iota + 1 // Endpoint, TTL: add or replace an instance, with a new lease
	RenewLease                                // ID
	SetInstancePhase                          // ID, Phase
	DeregisterInstance                        // ID
	AdvanceClock                              // Elapsed: time that passed at the leader; add it to lease time, expire leases
	RestartLeases                             // a leader was elected: renew each lease for its full TTL
	BeginEpoch                                // begin an epoch after a restore from an older copy, and renew each lease
	SetReplicaAddress                         // ID, Endpoint.Address: HTTP address of a replica; empty to delete it
)

// Command is one change to the Store. The raft log holds it in CBOR.
type Command struct {
	Kind      CommandKind   `cbor:"1,keyasint"`
	RequestID string        `cbor:"2,keyasint,omitempty"` // a retry with the same ID gets the first result
	ID        string        `cbor:"3,keyasint,omitempty"` // of an instance or a replica
	IfMatch   int64         `cbor:"4,keyasint,omitempty"` // required version of the instance; 0 for any
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

// ResultCode is the outcome of a command. Its values are stored, and sent as the text of HTTP responses.
type ResultCode string

// The result codes. Unless the code is ResultOK, the command left the list and the leases unchanged.
const (
	ResultOK               ResultCode = ""
	ResultNotFound         ResultCode = "not found"
	ResultVersionMismatch  ResultCode = "another version"
	ResultTooManyInstances ResultCode = "too many instances"
	ResultUnknownCommand   ResultCode = "unknown command"
)

// Errors of rejected commands.
var (
	ErrInstanceNotFound = errors.New("registry: instance not found")
	ErrVersionMismatch  = errors.New("registry: instance has another version")
	ErrTooManyInstances = errors.New("registry: too many instances")
	ErrUnknownCommand   = errors.New("registry: unknown command")
)

// Err returns the error for the result code, nil for ResultOK.
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
	Instance Instance   `cbor:"2,keyasint"` // after the command; for DeregisterInstance, before it
	Revision int64      `cbor:"3,keyasint"` // of the Store after the command
}
