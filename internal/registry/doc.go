// Package registry is a service registry: a replicated list of endpoints with leases, versions and watches over
// HTTP. It speaks the platform's list protocol, so that a node uses it as it uses the platform's.
//
// A write goes through these files:
//
//	http_write.go   reads the call into a Command (wire.go has the bodies)
//	replica.go      proposes the Command to raft, on the leader alone
//	raft_log.go     stores it with a checksum at each replica
//	raft_fsm.go     hands it to the store once a quorum has it
//	store.go        carries it out: a pure state machine
//
// A watch waits in http_list.go until watchableStore.notify in watchable_store.go wakes it; that of a scope until
// watcher_group.go does. It then answers with the changes, or with the whole list where the history lacks some.
//
// Who owns which state:
//
//	Store           instances and the parts below; no clock and no I/O, so that all replicas agree
//	lessor          lease time, and whether expiry is suspended
//	history         the changes that watches can be resumed from
//	responseCache   responses by request id, so that a retried write is carried out once
//	serviceIndex    slots and changes of one service, for scoped lists
//	watchableStore  the lock around the Store, encoded lists, waiting watches
//	freshness       how old this replica's list may be
//	Replica         raft, its log, and the goroutines of the leader and the follower
//	Server          limits and counters of the HTTP side
//
// Raft calls the fsm, and through it the Store, from one goroutine of its own. HTTP handlers read the Store under
// watchableStore's lock. Replica starts two goroutines, runLeader and runFollower, and ends them in Close; freshness has
// a lock of its own.
//
// A lease expires in lessor.expire. A follower learns how far it lags in Replica.pollLeader. Calls are rejected for a
// stale list in Server.checkAge, and for lack of capacity in Server.acquire.
package registry
