// Package policy decides, for one node of a reverse proxy, which requests to admit, which server gets each
// attempt, and when to retry, reject or fail. It is an event-driven state machine: a caller hands in each
// [Event] with the time, and carries out the [Action] values that [Balancer.Handle] returns. Time and the
// random seed come from outside, and the package starts no goroutines and does no I/O, so the same events
// give the same actions.
//
// # The way of a request
//
//   - [Balancer.Handle] in balancer.go hands each event to the mechanism that it belongs to.
//   - onRequest in admission.go finds the request's class (class.go) and sets its deadlines (deadlines.go).
//     It rejects the request if load of its priority is shed (load_shedding.go), or if its token bucket is
//     empty (rateLimiter.admit in admission.go, token_buckets.go). The refill rates follow the servers'
//     capacity (rate_multiplier.go) and the number of nodes (fleet_size.go).
//   - dispatch in attempts.go ends a request that has had its attempts, its time, or the node's retries
//     (retry_budget.go). It prefers a server that needs a probe: an ejected one (outlier_detection.go) or one
//     of an evacuated zone (zone_failover.go).
//   - pickServer in server_selection.go walks the servers in packing order (packing_order.go,
//     server_pool.go): the first with capacity gets the attempt. concurrency_limit.go says what each server
//     has capacity for, concurrency_window.go what this node may have in flight in all and
//     capacity_share.go its part of a server, overcommit.go how far a class may go beyond the limits,
//     slow_start.go what a server gets that is warming up, by the rate in completion_rate.go.
//   - sendAttempt in attempts.go emits the Send action, and slow_attempts.go watches the attempt. Without a
//     server, the request waits in request_queue.go.
//   - onOutcome in attempts.go ends the attempt. observeResponse feeds the outcome to what is measured of its
//     server (concurrency_limit.go, load_reports.go, outlier_detection.go, completion_rate.go), of its zone
//     (zone_evidence.go, zone_health.go; weighEvidence in zone_failover.go decides) and of its class
//     (class.go). A request that isn't answered is dispatched again if request.mayRetryAfter in request.go
//     permits it; else giveUp in attempts.go rejects or fails it.
//
// # Other events
//
//   - EndpointList: endpoint_list.go takes over the servers, and packing_order.go follows.
//   - Settings: applySettings in balancer.go hands them to each mechanism; validation.go checks those of New.
//   - FleetSize: fleet_size.go.
//   - HandedOver: hot_restart.go; snapshot.go holds the state that passes to the successor.
//   - Timer: onTimer in balancer.go.
//
// # What may be changed where
//
// Each mechanism has one file with its constants, its state and its rule. A constant may be changed by
// itself: its comment says what it means, in which unit. The recorded events of recorded_events_test.go then
// give other actions, on purpose, and their file of hashes has to be written anew in the same commit. Three
// things bind the rules together:
//
//   - The order of random draws and of the sums of floats decides which actions a seed gives.
//   - The JSON keys of [Snapshot] are frozen: processes of different versions read each other's.
//   - What a mechanism counts for its servers has to be exact: packing_order_test.go compares it with a count
//     made anew.
package policy
