// Package downstream is the clients' side of a node: it reads HTTP/1.1 requests and writes their responses.
//
// The way of a request: a ConnectionLimiter (connection_limiter.go) accepts a connection, which ClientConns
// (client_conns.go) tracks; one goroutine (client_conn.go) reads requests from it (request_head.go, request_body.go) and
// makes an Exchange of each (exchange.go), which a Handler gets (server.go). Another goroutine (response_writer.go) writes
// the responses that come back on Exchange.Reply.
//
// The package decides what is a valid request and when a connection ends. What becomes of a request, the Handler decides.
package downstream
