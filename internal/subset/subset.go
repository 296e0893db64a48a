// Package subset chooses the servers of a large service that a client connects to, without coordination: the choice
// depends only on the servers and on the client's position among the clients, so everyone who knows these computes the
// same subset.
//
// Servers and clients are placed on a circle, servers by their slots and clients by their positions. A client takes the
// servers that follow its point. docs/subsetting.md describes the guarantees, the limitations and the alternatives
// compared.
package subset

// Server is a candidate server. Its Slot is a small number that is unique within its service and reused after removal.
type Server struct {
	ID, Zone string
	Slot     int
}

// Client is a node that connects to a subset of a service's servers. It is number Position, counted from 0, of Count
// clients.
type Client struct {
	Position, Count int
	Zone            string
}

// Choose returns the IDs of the servers that the client connects to, at most size of them, in ID order. It returns all
// servers if there are at most size, and none if size is below 1. The order of servers doesn't matter; of several
// servers with the same ID only one counts. A Position outside of 0 to Count-1 is taken modulo Count, and a Count below
// 1 as 1, so that a client with stale numbers still gets a full subset. The client's zone doesn't affect the choice;
// docs/subsetting.md gives the reason.
//
// It takes O(n log n) for n servers. To choose for many clients, build a Ring once.
func Choose(servers []Server, client Client, size int) []string {
	return NewRing(servers, size).Choose(client)
}
