package registry

import (
	"errors"
	"fmt"
)

var (
	// ErrNotLeader is returned if a replica that isn't the leader gets a write or another call that only the leader
	// serves. A *NotLeaderError wraps it.
	ErrNotLeader = errors.New("registry: not the leader")

	// ErrNotCommitted is returned if raft fails to commit a command, for example because raft doesn't accept it within
	// commitTimeout, or because this replica loses the leadership before a quorum has stored it. The command may still
	// be carried out later. A retry with the same RequestID is safe: it gets the result of the first command if that
	// was carried out.
	ErrNotCommitted = errors.New("registry: not committed by a quorum in time")

	// ErrNoTick wraps ErrNotCommitted. The leader proposes a command, the tick, at each tickInterval: the first restarts
	// the leases, the later ones advance lease time. A leader that has not committed a tick since it was started returns
	// ErrNoTick, because it can't tell how old its list is.
	ErrNoTick = fmt.Errorf("%w: first tick of the new leader", ErrNotCommitted)

	// ErrStale is returned if the list is older than a replica may serve, or if its age is unknown.
	ErrStale = errors.New("registry: list is too old or of unknown age")

	// ErrTooManyCalls is returned for a call over one of the limits on concurrent calls.
	ErrTooManyCalls = errors.New("registry: too many calls")
)

// NotLeaderError wraps ErrNotLeader and carries the leader's address.
type NotLeaderError struct {
	LeaderAddress string // HTTP host:port of the leader; empty if there is no leader or its address is unknown
}

func (e *NotLeaderError) Error() string { return ErrNotLeader.Error() }

// Unwrap returns ErrNotLeader.
func (e *NotLeaderError) Unwrap() error { return ErrNotLeader }

// CommitError wraps ErrNotCommitted and raft's reason.
type CommitError struct{ Reason error }

func (e *CommitError) Error() string { return ErrNotCommitted.Error() + ": " + e.Reason.Error() }

// Unwrap returns ErrNotCommitted and the reason.
func (e *CommitError) Unwrap() []error { return []error{ErrNotCommitted, e.Reason} }
