// Package discovery keeps a node's endpoint list up to date: it watches the list service and caches the list on disk.
//
// A Client long-polls one replica of the list service at a time, from one goroutine (client.go, watch.go). Responses
// with changes become Updates for the node. After a failure the client tries the next replica (backoff.go,
// timeouts.go). The scope in the configuration limits the servers that the list service returns (scope.go). The JSON
// of the list service is read and written in wire.go only. With the cached list, a node can start while the list
// service is unreachable (cache.go).
package discovery
