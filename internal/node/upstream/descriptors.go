package upstream

import "sync/atomic"

// minSideDivisor guarantees a third of the connection descriptors to each side, clients and servers, since each request
// in flight needs one on both. Beyond that, each side may use what the other leaves.
const minSideDivisor = 3

// Descriptors divides the file descriptors between client connections and server connections. Connections that open at
// the same moment can exceed the limits; the node reserves further descriptors for them.
type Descriptors struct{ total, clients, servers atomic.Int64 }

// SetTotal sets the number of descriptors that both sides share. It is raised to minSideDivisor if n is less, so that
// each side has at least one.
func (d *Descriptors) SetTotal(n int) { d.total.Store(int64(max(minSideDivisor, n))) }

// SetClients sets the number of open client connections.
func (d *Descriptors) SetClients(n int) { d.clients.Store(int64(n)) }

// MinPerSide returns the number of connections that each side may always have.
func (d *Descriptors) MinPerSide() int { return int(d.total.Load()) / minSideDivisor }

// ForClients returns the current limit of client connections.
func (d *Descriptors) ForClients() int {
	return int(d.total.Load()) - max(d.MinPerSide(), int(d.servers.Load()))
}

// ForServers returns the current limit of server connections. It is at least MinPerSide, even while there are more
// client connections than ForClients allows: the excess ones use descriptors that the node reserves for itself.
func (d *Descriptors) ForServers() int {
	return max(d.MinPerSide(), int(d.total.Load())-int(d.clients.Load()))
}

// MaxClients returns the highest possible value of ForClients.
func (d *Descriptors) MaxClients() int { return int(d.total.Load()) - d.MinPerSide() }

// addOpen adds n to the number of open connections; n is negative when connections close. t.mu is held.
func (t *Transport) addOpen(n int) {
	t.openConns += n
	t.descriptors.servers.Store(int64(t.openConns))
	if n < 0 {
		t.waiters.wake()
	}
}

// connLimit returns the current limit of open connections. t.mu is held.
func (t *Transport) connLimit() int {
	if t.maxConns > 0 {
		return min(t.maxConns, t.descriptors.ForServers())
	}
	return t.descriptors.ForServers()
}

// CloseExcessIdle closes idle connections while more than MinPerSide are open, to free descriptors for clients.
func (t *Transport) CloseExcessIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.openConns > t.descriptors.MinPerSide() && t.evictOldest() {
	}
}

// LimitConnections closes idle connections while more than target are open. It then sets and returns a limit of open
// connections, which applies until LiftLimit: target plus spare or, if more than target remain open, their number plus
// spare.
func (t *Transport) LimitConnections(target, spare int) (limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.openConns > target && t.evictOldest() {
	}
	t.maxConns = max(target, t.openConns) + spare
	return t.maxConns
}

// LiftLimit removes the limit set by LimitConnections.
func (t *Transport) LiftLimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = 0
	t.waiters.wakeAll()
}
