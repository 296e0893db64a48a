package discovery

import "sloerail/policy"

// List is the full endpoint list, or a set of changes to it.
type List struct {
	Revision  int64 // increases with each change
	Complete  bool  // the full list, not a set of changes
	Endpoints []Endpoint
}

// Endpoint is a server in a list. StartedAt of its policy.Endpoint is unset: the node sets it by its own clock.
type Endpoint struct {
	policy.Endpoint
	Address         string // host:port
	StartedAtMillis int64  // when the server last started, in Unix milliseconds; 0 if long ago
}

// Update reports a full list, changes to the list, or a failed watch to the node.
type Update struct {
	Kind      policy.ListKind
	Endpoints []Endpoint // empty for policy.ListUnavailable
}

// UnknownRevision is the revision of a list to which changes can't be applied. The next call asks for the full list.
const UnknownRevision = -1
