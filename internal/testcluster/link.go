package testcluster

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxDatagramBytes   = 64 << 10
	maxQueuedDatagrams = 4096                  // datagrams on their way in one direction; more are lost, as at a full queue
	maxStreams         = 4096                  // at one relay
	streamBufferBytes  = 16 << 10              // bytes carried at a time
	cutPollInterval    = 20 * time.Millisecond // between looks at whether a cut has healed
	reorderDelay       = 5 * time.Millisecond  // that a datagram is held back so that others overtake it
)

// Faults are what is wrong with one direction of a path. The zero value is a good one.
type Faults struct {
	Latency   time.Duration
	Jitter    time.Duration // up to so much more, evenly
	Loss      float64       // part of the datagrams lost, and of new streams that are reset
	Duplicate float64       // part of the datagrams that come twice,
	Replay    time.Duration // the second time so much later
	Reorder   float64       // part of the datagrams that others overtake
	Bandwidth int           // bytes a second; 0 for no limit
	Cut       bool          // nothing passes and nothing is told: streams stay open and silent
	Reset     bool          // streams are reset at once, new ones too
}

type path struct{ from, to string }

// links knows the faults of all directions, and the relays.
type links struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  map[path]Faults
	closers map[io.Closer]bool
	closed  bool
	relays  sync.WaitGroup
}

func newLinks(seed uint64) *links {
	return &links{rng: rand.New(rand.NewPCG(seed, 0x11)), faults: make(map[path]Faults), closers: make(map[io.Closer]bool)}
}

// SetLinkFaults sets what is wrong with the path from one party to another, in that direction.
func (c *Cluster) SetLinkFaults(from, to string, f Faults) {
	l := c.links
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[path{from, to}] = f
}

// LinkFaults tells what is wrong with the path from one party to another.
func (c *Cluster) LinkFaults(from, to string) Faults { return c.links.faultsOf(path{from, to}) }

func (l *links) faultsOf(p path) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[p]
}

// occurs is true in a part of the cases.
func (l *links) occurs(part float64) bool {
	if part <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < part
}

// delay draws how long something is on its way.
func (l *links) delay(f Faults) time.Duration {
	if f.Jitter <= 0 {
		return f.Latency
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.Latency + time.Duration(l.rng.Int64N(int64(f.Jitter)))
}

// track has close end c; it tells whether there is still time for that.
func (l *links) track(c io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = c.Close()
		return false
	}
	l.closers[c] = true
	return true
}

func (l *links) untrack(c io.Closer) {
	l.mu.Lock()
	delete(l.closers, c)
	l.mu.Unlock()
	_ = c.Close()
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.closers {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.relays.Wait()
}

func (l *links) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// RelayTCP carries streams from one party to the address of another, and returns where the first has to
// call for that.
func (c *Cluster) RelayTCP(from, to, address string) (at string, err error) {
	ln, err := net.Listen("tcp", c.anyPortAddress())
	if err != nil {
		return "", err
	}
	c.links.relayStreams(ln, func(net.Addr) string { return from }, to, address)
	return ln.Addr().String(), nil
}

// relayStreams carries the streams that come at ln.
func (l *links) relayStreams(ln net.Listener, from func(net.Addr) string, to, address string) {
	if !l.track(ln) {
		return
	}
	l.relays.Go(func() {
		places := make(chan struct{}, maxStreams)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			select {
			case places <- struct{}{}:
			default:
				_ = conn.Close()
				continue
			}
			l.relays.Go(func() {
				defer func() { <-places }()
				l.relayStream(conn.(*net.TCPConn), path{from(conn.RemoteAddr()), to}, address)
			})
		}
	})
}

// relayStream passes one stream on. Over a cut path its opening waits, silently; the caller's time limits see to
// the rest.
func (l *links) relayStream(in *net.TCPConn, p path, address string) {
	if !l.track(in) {
		return
	}
	defer l.untrack(in)
	f := l.faultsOf(p)
	if f.Reset || l.occurs(f.Loss) || l.occurs(l.faultsOf(p.reverse()).Loss) {
		_ = in.SetLinger(0)
		return
	}
	if !l.waitWhileCut(p) || !l.waitWhileCut(p.reverse()) {
		return
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	if !l.track(out) {
		return
	}
	defer l.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { l.copyStream(out, in, p) })
	both.Go(func() { l.copyStream(in, out, p.reverse()) })
	both.Wait()
}

func (p path) reverse() path { return path{p.to, p.from} }

// waitWhileCut waits until the path isn't cut; it tells whether there is still a rig.
func (l *links) waitWhileCut(p path) bool {
	for l.faultsOf(p).Cut {
		if l.isClosed() {
			return false
		}
		time.Sleep(cutPollInterval)
	}
	return true
}

// copyStream copies one direction of a stream, with what is wrong with its path.
func (l *links) copyStream(to, from *net.TCPConn, p path) {
	block := make([]byte, streamBufferBytes)
	for {
		n, err := from.Read(block)
		f := l.faultsOf(p)
		if f.Reset {
			_ = from.SetLinger(0)
			_ = to.SetLinger(0)
			_ = from.Close()
			_ = to.Close()
			return
		}
		time.Sleep(l.delay(f) + f.deliveryDelay(n))
		if !l.waitWhileCut(p) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(block[:n]); werr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// deliveryDelay is how long n bytes take at the path's bandwidth.
func (f Faults) deliveryDelay(n int) time.Duration {
	if f.Bandwidth <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(f.Bandwidth)
}

// RelayGossip stands where others reach a party by datagrams and streams, and passes both on to where it
// is bound. Callers are told apart by their host, which names knows: a party has to send from its own.
func (c *Cluster) RelayGossip(to, bound string, names func(host string) string) (at string, err error) {
	host := c.NewAddress()
	at = net.JoinHostPort(host, fmt.Sprint(gossipPort))
	target, err := net.ResolveUDPAddr("udp", bound)
	if err != nil {
		return "", err
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	laddr, err := net.ResolveUDPAddr("udp", at)
	if err != nil {
		_ = ln.Close()
		return "", err
	}
	conn, err := net.ListenUDP("udp", laddr)
	if err != nil {
		_ = ln.Close()
		return "", err
	}
	from := byHost(names)
	c.links.relayStreams(ln, from, to, bound)
	c.links.relayDatagrams(conn, from, to, target)
	return at, nil
}

func byHost(names func(host string) string) func(net.Addr) string {
	return func(a net.Addr) string {
		host, _, _ := net.SplitHostPort(a.String())
		return names(host)
	}
}

// RelayStreams is RelayGossip for a party that is reached by streams alone.
func (c *Cluster) RelayStreams(to, bound string, names func(host string) string) (at string, err error) {
	ln, err := net.Listen("tcp", c.anyPortAddress())
	if err != nil {
		return "", err
	}
	c.links.relayStreams(ln, byHost(names), to, bound)
	return ln.Addr().String(), nil
}

// relayDatagrams passes on what comes at conn.
func (l *links) relayDatagrams(conn *net.UDPConn, from func(net.Addr) string, to string, target *net.UDPAddr) {
	if !l.track(conn) {
		return
	}
	l.relays.Go(func() {
		block := make([]byte, maxDatagramBytes)
		places := make(chan struct{}, maxQueuedDatagrams)
		for {
			size, addr, err := conn.ReadFromUDP(block)
			if err != nil {
				return
			}
			f := l.faultsOf(path{from(addr), to})
			if f.Cut || l.occurs(f.Loss) {
				continue
			}
			for n := range l.copies(f) {
				wait := l.delay(f) + time.Duration(n)*f.Replay
				if l.occurs(f.Reorder) {
					wait += reorderDelay
				}
				if wait <= 0 {
					_, _ = conn.WriteToUDP(block[:size], target)
					continue
				}
				select {
				case places <- struct{}{}:
				default:
					continue
				}
				packet := append([]byte(nil), block[:size]...)
				time.AfterFunc(wait, func() {
					_, _ = conn.WriteToUDP(packet, target)
					<-places
				})
			}
		}
	})
}

func (l *links) copies(f Faults) int {
	if l.occurs(f.Duplicate) {
		return 2
	}
	return 1
}
