// Package policy decides, for one node of a reverse proxy, which requests to admit, which server gets each
// attempt, and when to retry, reject or fail a request. It is an event-driven state machine: the caller
// passes each [Event] and its time to [Balancer.Handle], and carries out the [Action] values that it returns.
// Time and the random seed come from the caller, and the package starts no goroutines and does no I/O, so the
// same events give the same actions.
//
// # Life of a request
//
//   - [Balancer.Handle] in balancer.go passes each event to the mechanism that handles it.
//   - onRequest in admission.go finds the request's class (class.go) and sets its deadlines (deadlines.go).
//     It rejects the request to shed load (load_shedding.go), or if the request's token bucket is empty
//     (rateLimiter.admit in admission.go, token_buckets.go). The refill rates follow the servers' capacity
//     (rate_multiplier.go) and the number of nodes (fleet_size.go).
//   - dispatch in attempts.go ends a request that has no attempts or time left, or would need a retry that
//     the node's budget doesn't allow (retry_budget.go). For other requests, it first looks for a server to
//     test: an ejected server that is due for a probation request (outlier_detection.go), or a server of an
//     evacuated zone that is due for a zone probe (zone_failover.go).
//   - pickServer in server_selection.go walks the servers in packing order (packing_order.go,
//     server_pool.go); the first with capacity gets the attempt. The capacity depends on the limit of each
//     server (concurrency_limit.go), the node's limit for all servers (concurrency_window.go), the node's
//     share of a server (capacity_share.go), and how far a class may exceed the limits (overcommit.go). A
//     server that is warming up is limited by slow_start.go, which uses the rate in completion_rate.go.
//   - sendAttempt in attempts.go emits the Send action, and slow_attempts.go watches the attempt. If no
//     server may be used, the request may wait in request_queue.go.
//   - onOutcome in attempts.go ends the attempt. observeResponse updates the measurements of the server
//     (concurrency_limit.go, load_reports.go, outlier_detection.go, completion_rate.go), of its zone
//     (zone_evidence.go, zone_health.go) and of the class (class.go). weighEvidence in zone_failover.go
//     decides whether to evacuate the zone. A request without a final response is dispatched again if
//     request.mayRetryAfter in request.go permits it; otherwise giveUp in attempts.go rejects or fails it.
//
// # Other events
//
//   - EndpointList: endpoint_list.go updates the servers, and packing_order.go the packing order.
//   - Settings: applySettings in balancer.go passes them to each mechanism; validation.go checks the settings
//     that are passed to New.
//   - FleetSize: fleet_size.go.
//   - FirstByte and ClientCancelled: attempts.go. RequestComplete: deadlines.go.
//   - HandedOver: hot_restart.go; snapshot.go holds the state that passes to the successor, the process that
//     replaces this one in a hot restart.
//   - Timer: onTimer in balancer.go.
//
// # Making changes
//
// Most mechanisms have one file with their constants, state and rules. A constant may be changed on its own;
// its comment gives its meaning and unit. If a change gives other actions for the recorded events, the test
// in recorded_events_test.go fails. If that is intended, regenerate the file of action hashes in the same
// commit. Three constraints span the files:
//
//   - The order of random draws and of floating-point sums determines which actions a seed gives.
//   - The JSON keys of [Snapshot] are frozen: processes of different versions read each other's snapshots.
//   - The counts that a mechanism keeps for its servers must be exact: packing_order_test.go compares them
//     with counts computed from scratch.
package policy
