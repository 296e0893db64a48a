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
	maxDatagram  = 64 << 10
	maxQueued    = 4096                  // datagrams on their way in one direction; more are lost, as at a full queue
	maxStreams   = 4096                  // at one relay
	streamBlock  = 16 << 10              // bytes carried at a time
	silenceLook  = 20 * time.Millisecond // between looks at whether a cut has healed
	reorderAfter = 5 * time.Millisecond  // that a datagram is held back so that others overtake it
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

type pair struct{ from, to string }

// links knows the faults of all directions, and the relays.
type links struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults map[pair]Faults
	all    map[io.Closer]bool
	closed bool
	open   sync.WaitGroup
}

func newLinks(seed uint64) *links {
	return &links{rng: rand.New(rand.NewPCG(seed, 0x11)), faults: make(map[pair]Faults), all: make(map[io.Closer]bool)}
}

// SetLink sets what is wrong with the path from one party to another, in that direction.
func (r *Cluster) SetLink(from, to string, f Faults) {
	l := r.links
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[pair{from, to}] = f
}

// Link tells what is wrong with the path from one party to another.
func (r *Cluster) Link(from, to string) Faults { return r.links.at(pair{from, to}) }

func (l *links) at(p pair) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[p]
}

// chance is true in a part of the cases.
func (l *links) chance(part float64) bool {
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
	l.all[c] = true
	return true
}

func (l *links) untrack(c io.Closer) {
	l.mu.Lock()
	delete(l.all, c)
	l.mu.Unlock()
	_ = c.Close()
}

func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.all {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.open.Wait()
}

func (l *links) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// RelayTCP carries streams from one party to the address of another, and returns where the first has to
// call for that.
func (r *Cluster) RelayTCP(from, to, address string) (at string, err error) {
	ln, err := net.Listen("tcp", r.anyPort())
	if err != nil {
		return "", err
	}
	r.links.relay(ln, func(net.Addr) string { return from }, to, address)
	return ln.Addr().String(), nil
}

// relay carries the streams that come at ln.
func (l *links) relay(ln net.Listener, from func(net.Addr) string, to, address string) {
	if !l.track(ln) {
		return
	}
	l.open.Go(func() {
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
			l.open.Go(func() {
				defer func() { <-places }()
				l.relayStream(conn.(*net.TCPConn), pair{from(conn.RemoteAddr()), to}, address)
			})
		}
	})
}

// relayStream passes one stream on. Over a cut path its opening waits, silently; the caller's time limits see to
// the rest.
func (l *links) relayStream(in *net.TCPConn, p pair, address string) {
	if !l.track(in) {
		return
	}
	defer l.untrack(in)
	f := l.at(p)
	if f.Reset || l.chance(f.Loss) || l.chance(l.at(p.back()).Loss) {
		_ = in.SetLinger(0)
		return
	}
	if !l.waitWhileCut(p) || !l.waitWhileCut(p.back()) {
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
	both.Go(func() { l.copyStream(in, out, p.back()) })
	both.Wait()
}

func (p pair) back() pair { return pair{p.to, p.from} }

// waitWhileCut waits until the path isn't cut; it tells whether there is still a rig.
func (l *links) waitWhileCut(p pair) bool {
	for l.at(p).Cut {
		if l.isClosed() {
			return false
		}
		time.Sleep(silenceLook)
	}
	return true
}

// copyStream copies one direction of a stream, with what is wrong with its path.
func (l *links) copyStream(to, from *net.TCPConn, p pair) {
	block := make([]byte, streamBlock)
	for {
		n, err := from.Read(block)
		f := l.at(p)
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
func (r *Cluster) RelayGossip(to, bound string, names func(host string) string) (at string, err error) {
	host := r.Host()
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
	r.links.relay(ln, from, to, bound)
	r.links.datagrams(conn, from, to, target)
	return at, nil
}

func byHost(names func(host string) string) func(net.Addr) string {
	return func(a net.Addr) string {
		host, _, _ := net.SplitHostPort(a.String())
		return names(host)
	}
}

// RelayStreams is RelayGossip for a party that is reached by streams alone.
func (r *Cluster) RelayStreams(to, bound string, names func(host string) string) (at string, err error) {
	ln, err := net.Listen("tcp", r.anyPort())
	if err != nil {
		return "", err
	}
	r.links.relay(ln, byHost(names), to, bound)
	return ln.Addr().String(), nil
}

// datagrams passes on what comes at conn.
func (l *links) datagrams(conn *net.UDPConn, from func(net.Addr) string, to string, target *net.UDPAddr) {
	if !l.track(conn) {
		return
	}
	l.open.Go(func() {
		block := make([]byte, maxDatagram)
		places := make(chan struct{}, maxQueued)
		for {
			size, addr, err := conn.ReadFromUDP(block)
			if err != nil {
				return
			}
			f := l.at(pair{from(addr), to})
			if f.Cut || l.chance(f.Loss) {
				continue
			}
			for n := range l.copies(f) {
				wait := l.delay(f) + time.Duration(n)*f.Replay
				if l.chance(f.Reorder) {
					wait += reorderAfter
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
	if l.chance(f.Duplicate) {
		return 2
	}
	return 1
}
