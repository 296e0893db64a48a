package registry

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader is a write, or a question to the leader, at a replica that isn't the leader. The error that wraps
	// it is a *NotLeaderError.
	ErrNotLeader = errors.New("registry: not the leader")

	// ErrNotCommitted is a command that a quorum didn't store in time. It may still be carried out later: a retry
	// with the same RequestID gets the result, whichever it was.
	ErrNotCommitted = errors.New("registry: not committed by a quorum in time")

	// ErrNoTick is an ErrNotCommitted: the leader is new, and no quorum has stored a tick of its lease time yet, so it
	// can't tell how old its list is.
	ErrNoTick = fmt.Errorf("%w: the leader's first tick", ErrNotCommitted)

	// ErrStale is a list that is older than a replica may serve, or whose age the replica can't tell.
	ErrStale = errors.New("registry: list not fresh")

	// ErrTooManyCalls is a call beyond what a replica serves at a time.
	ErrTooManyCalls = errors.New("registry: too many calls")
)

// NotLeaderError has where to go instead.
type NotLeaderError struct {
	LeaderAddress string // host:port where the leader serves HTTP; empty where there is none now
}

func (e *NotLeaderError) Error() string { return ErrNotLeader.Error() }

// Unwrap makes the error an ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }

// CommitError is an ErrNotCommitted with raft's reason.
type CommitError struct{ Reason error }

func (e *CommitError) Error() string { return ErrNotCommitted.Error() + ": " + e.Reason.Error() }

// Unwrap makes the error both an ErrNotCommitted and its reason.
func (e *CommitError) Unwrap() []error { return []error{ErrNotCommitted, e.Reason} }
