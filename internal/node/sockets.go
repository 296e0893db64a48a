package node

import "sync/atomic"

// leastPart of the descriptors for connections is either side's, whatever the other wants: each request in
// hand needs one on both. Beyond, each side has what the other leaves.
const leastPart = 3

// sockets shares descriptors out between the clients' and the servers' side. The counts may be off by
// those that come at the same moment; ownSockets has room for them.
type sockets struct{ total, clients, servers atomic.Int64 }

func (s *sockets) least() int { return int(s.total.Load()) / leastPart }

func (s *sockets) forClients() int {
	return int(s.total.Load()) - max(s.least(), int(s.servers.Load()))
}

// forServers is the servers' least also where more clients are in than have a place: the node's own descriptors
// pay for those.
func (s *sockets) forServers() int {
	return max(s.least(), int(s.total.Load())-int(s.clients.Load()))
}

// mostClients is what forClients is at best.
func (s *sockets) mostClients() int { return int(s.total.Load()) - s.least() }
