// Package subset chooses which servers of a large service a client connects to, without asking anybody: every client
// that knows the same servers and its own position among the clients comes to the same answer.
//
// Servers and clients stand on a circle, servers by their slots and clients by their positions, and a client takes
// the next servers from its place on. docs/subsetting.md tells what that promises, where it falls short, and what it
// was compared with.
package subset

// Server is a candidate: its Slot is a small number that is unique within its service and reused after removal.
type Server struct {
	ID, Zone string
	Slot     int
}

// Client is a node that connects to a part of a service: the one at Position, from 0, of Count.
type Client struct {
	Position, Count int
	Zone            string
}

// Choose returns the IDs of the servers that the client connects to, at most size of them, in ID order: all of them
// if there are at most size, none if size is below 1. The order of the servers doesn't matter, and of several with one
// ID a single one counts. A position outside of 0 to Count-1 is taken modulo Count, and a Count below 1 as 1, so that
// a client with stale numbers still gets a whole subset. The client's zone has no influence on the choice:
// docs/subsetting.md tells why.
//
// It costs O(n log n) for n servers. A caller that answers many clients builds a Ring once and asks that.
func Choose(servers []Server, client Client, size int) []string {
	return NewRing(servers, size).Choose(client)
}
