package discovery

import "sloerail/policy"

// List is the whole endpoint list, or what changed in it.
type List struct {
	Revision  int64 // grows with each change
	Complete  bool  // the whole list, and not only changes
	Endpoints []Endpoint
}

// Endpoint is one server of a list. Its policy.Endpoint has no start time: the node sets that by its own clock.
type Endpoint struct {
	policy.Endpoint
	Address         string // host:port
	StartedAtMillis int64  // when the server last started, in Unix milliseconds; 0: long ago
}

// Update is what a client passes to the node.
type Update struct {
	Kind      policy.ListKind
	Endpoints []Endpoint // none for policy.ListUnavailable
}

// UnknownRevision is the revision of a list that changes can't be added to. The next call asks for the whole list.
const UnknownRevision = -1
