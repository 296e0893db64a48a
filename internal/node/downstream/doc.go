// Package downstream is the client side of a node: it reads HTTP/1.1 requests and writes their responses.
//
// The steps of a request: a ConnectionLimiter (connection_limiter.go) accepts a connection, which ClientConns
// (client_conns.go) tracks. One goroutine (client_conn.go) reads requests from it (request_head.go, request_body.go) and
// passes each to a Handler (server.go) as an Exchange (exchange.go). Another goroutine (response_writer.go) writes the
// responses that the Handler sends on Exchange.Reply.
//
// The package decides which requests are valid and when a connection ends. The Handler decides how a request is served.
package downstream
