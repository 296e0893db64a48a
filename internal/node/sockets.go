package node

import "sync/atomic"

// minSideDivisor of the descriptors for connections is either side's, whatever the other wants: each request in
// hand needs one on both. Beyond, each side has what the other leaves.
const minSideDivisor = 3

// Descriptors shares descriptors out between the clients' and the servers' side. The counts may be off by
// those that come at the same moment; ownSockets has room for them.
type Descriptors struct{ total, clients, servers atomic.Int64 }

func (s *Descriptors) MinPerSide() int { return int(s.total.Load()) / minSideDivisor }

func (s *Descriptors) ForClients() int {
	return int(s.total.Load()) - max(s.MinPerSide(), int(s.servers.Load()))
}

// ForServers is the servers' least also where more clients are in than have a place: the node's own descriptors
// pay for those.
func (s *Descriptors) ForServers() int {
	return max(s.MinPerSide(), int(s.total.Load())-int(s.clients.Load()))
}

// MaxClients is what forClients is at best.
func (s *Descriptors) MaxClients() int { return int(s.total.Load()) - s.MinPerSide() }
