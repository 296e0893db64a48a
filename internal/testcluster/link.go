package testcluster

import (
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// Faults describes the faults of a path, which is one direction of a link. The zero value has none.
type Faults struct {
	Latency   time.Duration
	Jitter    time.Duration // upper bound of additional latency, uniformly distributed
	Loss      float64       // fraction of datagrams that are dropped, and of new streams that are reset
	Duplicate float64       // fraction of datagrams that are delivered twice
	Replay    time.Duration // additional delay of the duplicate
	Reorder   float64       // fraction of datagrams that later ones may overtake
	Bandwidth int           // bytes per second of a stream; 0 for no limit; datagrams ignore it
	Cut       bool          // nothing passes, and neither end is notified: streams stay open without data
	Reset     bool          // new streams are reset at once, open ones when they next carry data or end
}

// deliveryDelay returns how long n bytes take at the bandwidth of the path.
func (f Faults) deliveryDelay(n int) time.Duration {
	if f.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(f.Bandwidth)
}

// path is one direction between two parties, which are nodes, servers, registry replicas or the list service.
type path struct{ from, to string }

func (p path) reverse() path { return path{p.to, p.from} }

// links holds the faults of all paths, and the sockets and goroutines of the relays.
type links struct {
	relays sync.WaitGroup // goroutines of the relays

	mu      sync.Mutex
	rng     *rand.Rand
	faults  map[path]Faults
	closers map[io.Closer]bool // open sockets
	closed  bool
}

func newLinks(seed uint64) *links {
	return &links{rng: rand.New(rand.NewPCG(seed, 0x11)), faults: make(map[path]Faults), closers: make(map[io.Closer]bool)}
}

// SetLinkFaults sets the faults of the path from one party to another, in that direction only.
func (c *Cluster) SetLinkFaults(from, to string, f Faults) {
	c.links.update(path{from, to}, func(faults *Faults) { *faults = f })
}

// LinkFaults returns the faults of the path from one party to another.
func (c *Cluster) LinkFaults(from, to string) Faults { return c.links.faultsOf(path{from, to}) }

// update calls change with the faults of a path and stores the result.
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

// occurs returns true with the given probability.
func (l *links) occurs(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < fraction
}

// delay returns a random latency for one datagram, or for one read from a stream.
func (l *links) delay(f Faults) time.Duration {
	if f.Jitter <= 0 {
		return f.Latency
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.Latency + time.Duration(l.rng.Int64N(int64(f.Jitter)))
}

// track registers a socket to be closed by close. If close was called already, it closes the socket and returns false.
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

// untrack closes a socket and unregisters it.
func (l *links) untrack(socket io.Closer) {
	l.mu.Lock()
	delete(l.closers, socket)
	l.mu.Unlock()
	_ = socket.Close()
}

// close closes all sockets and waits for the goroutines of the relays.
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
