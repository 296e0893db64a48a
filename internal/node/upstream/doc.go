// Package upstream makes attempts. An attempt sends one request to one server, over a pooled connection.
//
// The steps of an attempt: Transport.Do (attempt.go) takes a connection from the server's pool or dials one
// (server_pool.go), after waiting for a free descriptor if necessary (descriptors.go, descriptor_queue.go). It writes the
// request (request.go, wire.go) and streams the rest of a long body. It reads the response (response.go) and streams a
// long one to the client (response_start.go, response_stream.go). A Lifetime (lifetime.go) owns the deadlines of the attempt,
// phase by phase, and ends it when it is cancelled or its server stalls (stall.go).
//
// The caller decides which server gets a request and whether to retry it. The package depends on neither the event loop
// nor client connections: an attempt reaches its client through Observer and BodyStream.
package upstream
