// Package upstream makes attempts at servers: one request to one server, over a connection that it pools.
//
// The way of an attempt: Transport.Do (attempt.go) takes a connection of the server's pool or dials one (server_pool.go),
// once a descriptor is free for it (descriptors.go, descriptor_queue.go); writes the request (request.go, wire.go) and
// streams the rest of a long body; reads the response (response.go), and hands a long one over as it comes
// (response_stream.go). A Lifetime (lifetime.go) ends the attempt at its deadline or when it is cancelled.
//
// The package decides nothing: which server gets a request, and whether it is tried again, are the caller's decisions.
// It knows neither the event loop nor clients: an attempt meets its client through Observer and BodyStream.
package upstream
