// Package hotrestart hands a node over from one process to another that listens on the same socket, so that clients can
// connect at any time.
//
// A serving process awaits its successor at a Unix socket (socket.go). A successor that connects there receives the
// clients' listening socket and the State of its predecessor: the endpoint list and what policy has learned, including
// quotas and budgets (state.go). Once the successor serves, it notifies the predecessor, which stops accepting clients.
// From then on the predecessor sends its Progress: how many of the shared descriptors the successor may hold, and the
// predecessor's attempts in flight at each server. Serve is the predecessor's side (serve.go), TakeOver and Follow are
// the successor's (takeover.go). The two processes may run different versions of the program.
package hotrestart
