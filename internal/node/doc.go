// Package node runs a policy.Balancer on real sockets. The package makes no routing decisions: it passes events to the
// balancer and executes the actions that the balancer returns.
//
// Run (node.go) starts and stops the parts of a node: the listeners (listeners.go), the event loop, the client side
// (service.go), the admin server (admin.go), the fleet membership (fleet.go) and hot restarts (hot_restart.go). drain.go
// is the graceful shutdown, and resources.go divides descriptors and memory.
//
// One goroutine runs the event loop (loop.go), which owns the balancer, the open requests (requests.go) and the timers
// (timers.go, clock.go). All other goroutines send events to the loop. events.go has the event types and their handlers,
// and actions.go executes the balancer's actions. service.go connects the loop to client connections (package
// downstream), attempts.go to server connections (package upstream), and endpoints.go to the list service (package
// discovery).
//
// reload.go applies a changed configuration, figures.go has the metrics, zones.go reports zone states to operators, and
// hollow.go is a node without client and server sockets, for measurements.
package node
