package discovery

import (
	"errors"
	"fmt"
)

// Conditions of a watch that callers and the retry loop tell apart by errors.Is.
var (
	// ErrRetargeted ends a watch because the configuration names another list service or scope.
	ErrRetargeted = errors.New("the list service was changed")
	// ErrTimeout is a watch whose answer did not come in time.
	ErrTimeout = errors.New("no answer in time")
	// ErrStaleReplica is an answer of a replica that is behind the list held.
	ErrStaleReplica = errors.New("the replica lags behind")
	// ErrScopeMismatch is an answer that can't be added to the list held: only one of the two is scoped.
	ErrScopeMismatch = errors.New("the answer is of another scope than the list held")
	// ErrListTooLong is an answer over maxListBytes.
	ErrListTooLong = fmt.Errorf("the list is over %d bytes", maxListBytes)
	// ErrMalformedList is an answer that is no list. What it wraps names the field.
	ErrMalformedList = errors.New("malformed list")
	// ErrCacheVersion is a cached list of an unknown version.
	ErrCacheVersion = errors.New("no list of this version")
	// ErrCacheChecksum is a cached list that was damaged.
	ErrCacheChecksum = errors.New("the checksum doesn't match")
	// ErrCacheAge is a cached list that is too old, or from the future.
	ErrCacheAge = errors.New("out of date")
)

// WatchError is a watch that brought no list.
type WatchError struct {
	Address string // host:port of the replica
	Err     error
}

// Error names the replica and the cause.
func (e *WatchError) Error() string { return "discovery: watch " + e.Address + ": " + e.Err.Error() }

// Unwrap is the cause.
func (e *WatchError) Unwrap() error { return e.Err }

// StatusError is an answer of the list service with another status than 200.
type StatusError struct {
	Status string // for example "404 Not Found"
	Reason string // the first line of the body, for calls with a scope
}

// Error names the status, and the reason if there is one.
func (e *StatusError) Error() string {
	if e.Reason == "" {
		return "answered " + e.Status
	}
	return "answered " + e.Status + ": " + e.Reason
}
