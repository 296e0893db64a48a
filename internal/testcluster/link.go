package testcluster

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are what is wrong with one direction of a path. The zero value is a good one.
type Faults struct {
	Latency   time.Duration
	Jitter    time.Duration // at most so much more latency, evenly distributed
	Loss      float64       // fraction of the datagrams that are lost, and of new streams that are reset
	Duplicate float64       // fraction of the datagrams that come twice
	Replay    time.Duration // after which the duplicate comes
	Reorder   float64       // fraction of the datagrams that later ones overtake
	Bandwidth int           // bytes a second; 0 for no limit
	Cut       bool          // nothing passes, and nobody is notified: streams stay open and silent
	Reset     bool          // streams are reset at once, new ones too
}

// deliveryDelay is how long n bytes take at the path's bandwidth.
func (f Faults) deliveryDelay(n int) time.Duration {
	if f.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(f.Bandwidth)
}

// path is one direction between two parties: nodes, servers, replicas, the list service.
type path struct{ from, to string }

func (p path) reverse() path { return path{p.to, p.from} }

// links owns the faults of all paths, and the sockets and goroutines of the relays.
type links struct {
	relays sync.WaitGroup // goroutines

	mu      sync.Mutex
	rng     *rand.Rand
	faults  map[path]Faults
	closers map[io.Closer]bool // sockets that are open
	closed  bool
}

func newLinks(seed uint64) *links {
	return &links{rng: rand.New(rand.NewPCG(seed, 0x11)), faults: make(map[path]Faults), closers: make(map[io.Closer]bool)}
}

// SetLinkFaults sets the faults of the path from one party to another, in that direction.
func (c *Cluster) SetLinkFaults(from, to string, f Faults) {
	c.links.update(path{from, to}, func(faults *Faults) { *faults = f })
}

// LinkFaults returns the faults of the path from one party to another.
func (c *Cluster) LinkFaults(from, to string) Faults { return c.links.faultsOf(path{from, to}) }

// update changes some of a path's faults, and leaves the others.
func (l *links) update(p path, change func(*Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := l.faults[p]
	change(&faults)
	l.faults[p] = faults
}

func (l *links) faultsOf(p path) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[p]
}

// occurs draws whether something happens that happens in a fraction of the cases.
func (l *links) occurs(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < fraction
}

// delay draws the latency of one datagram or block.
func (l *links) delay(f Faults) time.Duration {
	if f.Jitter <= 0 {
		return f.Latency
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.Latency + time.Duration(l.rng.Int64N(int64(f.Jitter)))
}

// track has close close a socket. It returns false, with the socket closed, where close was called already.
func (l *links) track(socket io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = socket.Close()
		return false
	}
	l.closers[socket] = true
	return true
}

func (l *links) untrack(socket io.Closer) {
	l.mu.Lock()
	delete(l.closers, socket)
	l.mu.Unlock()
	_ = socket.Close()
}

// close ends all relays and waits for their goroutines.
func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	for socket := range l.closers {
		_ = socket.Close()
	}
	l.mu.Unlock()
	l.relays.Wait()
}

func (l *links) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}
