// Package node puts the decision module on real sockets. It decides nothing: events go in to a policy.Balancer, and the
// actions that come out are carried out.
//
// Run (node.go) starts the parts and ends them: the listeners (listeners.go), the loop, the clients' side, the operators'
// side (admin.go), the part in a fleet (fleet.go) and hand-overs to another process (hot_restart.go; drain.go is the
// shutdown, resources.go divides descriptors and memory). One goroutine runs the loop (loop.go), which owns the balancer,
// the open requests and the timers (timers.go, clock.go). All others send it events, whose types and handlers are in
// events.go; actions.go executes the balancer's actions. requests.go holds a request from its arrival to its last attempt.
// service.go joins the loop to the clients' connections (package downstream), attempts.go to those to servers (package
// upstream), endpoints.go to the list service (package discovery). reload.go goes over to a changed configuration,
// figures.go has the metrics, zones.go the states of zones for operators, and hollow.go a node without sockets of clients
// and servers, for measurements.
package node
