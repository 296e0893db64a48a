// Package registry implements a service registry: a replicated list of endpoints with leases, versions and watches over
// HTTP. It speaks the platform's list protocol, so that nodes use it in the same way as the platform's registry.
//
// A write passes through these files:
//
//	http_write.go   parses the call into a Command (wire.go defines the bodies)
//	replica.go      proposes the Command to raft, on the leader only
//	raft_log.go     stores it with a checksum at each replica
//	raft_fsm.go     passes it to the store once a quorum has stored it
//	store.go        applies it: a state machine without a clock or I/O
//
// A watch waits in http_list.go until watchableStore.notify in watchable_store.go wakes it. Scoped watches, which cover
// only some services, are woken through watcher_group.go. The watch then responds with the changes, or with the whole
// list if the history lacks some of the changes.
//
// These types own the state:
//
//	Store           instances and the next four types of this list; no clock and no I/O, so that all replicas agree
//	lessor          lease time, and whether expiry is suspended
//	history         the changes from which watches can be resumed
//	responseCache   results by request ID, so that a retried write is carried out once
//	serviceIndex    slots and changes of one service, for scoped lists
//	watchableStore  the lock around the Store, encoded lists, waiting watches
//	freshness       how old this replica's list may be
//	Replica         raft, its log, and the goroutines that act while it is the leader or a follower
//	Server          limits and counters of the HTTP handlers
//
// Raft calls the fsm, and through it the Store, from a goroutine of its own. HTTP handlers read the Store under
// watchableStore's lock. Replica starts two goroutines, runLeader and runFollower, and stops them in Close. freshness
// has a lock of its own.
//
// A lease expires in lessor.expire. A follower learns how far it lags in Replica.pollLeader. Server.checkAge rejects
// calls if the list is too old, and Server.acquire rejects them for lack of capacity.
package registry
