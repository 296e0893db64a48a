package upstream

import "sync/atomic"

// minSideDivisor makes a third of the descriptors for connections either side's, whatever the other wants: each request
// in flight needs one on both. Beyond that, each side has what the other leaves.
const minSideDivisor = 3

// Descriptors shares descriptors out between the connections of clients and of servers. The counts may be off by the
// connections that open at the same moment; the node sets descriptors aside for that.
type Descriptors struct{ total, clients, servers atomic.Int64 }

// SetTotal sets how many descriptors both sides may have together; one for each side at least.
func (d *Descriptors) SetTotal(n int) { d.total.Store(int64(max(minSideDivisor, n))) }

// SetClients sets how many connections clients have now.
func (d *Descriptors) SetClients(n int) { d.clients.Store(int64(n)) }

// MinPerSide is how many connections either side may have in any case.
func (d *Descriptors) MinPerSide() int { return int(d.total.Load()) / minSideDivisor }

// ForClients is how many connections clients may have now.
func (d *Descriptors) ForClients() int {
	return int(d.total.Load()) - max(d.MinPerSide(), int(d.servers.Load()))
}

// ForServers is how many connections to servers may be open now. It is MinPerSide also where more clients are connected
// than ForClients: the descriptors that the node sets aside for itself pay for those.
func (d *Descriptors) ForServers() int {
	return max(d.MinPerSide(), int(d.total.Load())-int(d.clients.Load()))
}

// MaxClients is what ForClients is at best.
func (d *Descriptors) MaxClients() int { return int(d.total.Load()) - d.MinPerSide() }

// addOpen counts connections that open or, below 0, close. t.mu is held.
func (t *Transport) addOpen(n int) {
	t.openConns += n
	t.descriptors.servers.Store(int64(t.openConns))
	if n < 0 {
		t.waiters.wake()
	}
}

// connLimit is how many connections may be open now. t.mu is held.
func (t *Transport) connLimit() int {
	if t.maxConns > 0 {
		return min(t.maxConns, t.descriptors.ForServers())
	}
	return t.descriptors.ForServers()
}

// CloseExcessIdle closes idle connections beyond MinPerSide, for clients that want the descriptors.
func (t *Transport) CloseExcessIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.openConns > t.descriptors.MinPerSide() && t.evictOldest() {
	}
}

// LimitConnections closes idle connections while more than target are open, and sets and returns a limit of spare
// connections above what is open then, or above target if that is more. It stands until LiftLimit.
func (t *Transport) LimitConnections(target, spare int) (limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.openConns > target && t.evictOldest() {
	}
	t.maxConns = max(target, t.openConns) + spare
	return t.maxConns
}

// LiftLimit ends the limit that LimitConnections set.
func (t *Transport) LiftLimit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = 0
	t.waiters.wakeAll()
}
