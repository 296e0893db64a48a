// Package hotrestart hands a node over from one process to another that listens on the same socket, so that clients can
// connect at any time.
//
// A process that serves awaits its successor at a Unix socket (socket.go). A successor that connects there gets the
// clients' listening socket and the State of its predecessor: the endpoint list and what policy has learned, quotas and
// budgets among it (state.go). Once the successor serves it says so, and the predecessor accepts nothing more. From then
// on the predecessor sends its Progress: what it still holds of the descriptors that both share, and its attempts at each
// server. Either side is one function: Serve for the predecessor (serve.go), TakeOver and Follow for the successor
// (takeover.go). Either may be another version of the program.
package hotrestart
