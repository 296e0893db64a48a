package discovery

import (
	"errors"
	"fmt"
)

// Errors of a watch or of the cached list, for use with errors.Is.
var (
	// ErrTimeout means that the list service did not respond within the timeout.
	ErrTimeout = errors.New("no response within the timeout")
	// ErrStaleReplica means that the list of the replica is older than the current list.
	ErrStaleReplica = errors.New("stale replica")
	// ErrScopeMismatch means that changes can't be applied to the current list: either the changes or the list are limited
	// to the scope, but not both.
	ErrScopeMismatch = errors.New("the changes and the current list have different scopes")
	// ErrListTooLong means that a response exceeds maxListBytes.
	ErrListTooLong = fmt.Errorf("list exceeds %d bytes", maxListBytes)
	// ErrMalformedList means that a response is not a valid list. The wrapped error names the field.
	ErrMalformedList = errors.New("malformed list")
	// ErrCacheVersion means that the format of a cached list is unknown.
	ErrCacheVersion = errors.New("unknown format or version")
	// ErrCacheChecksum means that a cached list is damaged.
	ErrCacheChecksum = errors.New("checksum mismatch")
	// ErrCacheAge means that a cached list is too old, or from the future.
	ErrCacheAge = errors.New("age out of range")
)

// WatchError is the error of a failed watch.
type WatchError struct {
	Address string // host:port of the replica
	Err     error
}

// Error returns the address of the replica and the cause.
func (e *WatchError) Error() string { return "discovery: watch " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *WatchError) Unwrap() error { return e.Err }

// StatusError is a response of the list service with a status other than 200.
type StatusError struct {
	Status string // for example "404 Not Found"
	Reason string // the first line of the body, for calls with a scope
}

// Error returns the status, and the reason if there is one.
func (e *StatusError) Error() string {
	if e.Reason == "" {
		return "unexpected status " + e.Status
	}
	return "unexpected status " + e.Status + ": " + e.Reason
}
