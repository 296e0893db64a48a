// Package discovery keeps a node's endpoint list up to date: it watches the list service, and caches the list on disk.
//
// A Client watches one replica of the list service at a time, by long polls from one goroutine (client.go, watch.go).
// Each answer becomes an Update for the node. After a failure it tries the next replica (backoff.go, timeouts.go). The
// scope of a configuration bounds which servers the list service names (scope.go). The JSON of the list service is read
// and written in wire.go alone. The cached list serves a start without the list service (cache.go).
package discovery
