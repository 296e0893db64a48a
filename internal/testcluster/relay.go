package testcluster

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxDatagramBytes   = 64 << 10
	maxQueuedDatagrams = 4096                  // delayed at one relay; more are dropped, as by a full queue
	maxStreams         = 4096                  // at one relay
	streamBufferBytes  = 16 << 10              // read at a time from a stream
	cutPollInterval    = 20 * time.Millisecond // between looks at whether a path is still cut
	reorderDelay       = 5 * time.Millisecond  // for which a datagram is held back, so that later ones overtake it
)

// RelayTCP relays streams from one party to the address of another. It returns the address that the first has to
// connect to.
func (c *Cluster) RelayTCP(from, to, address string) (relayAddress string, err error) {
	return c.relayStreamsOf(func(net.Addr) string { return from }, to, address)
}

// RelayStreams relays streams from several parties, which are told apart by the host that they connect from.
func (c *Cluster) RelayStreams(to, address string, partyOfHost func(host string) string) (relayAddress string, err error) {
	return c.relayStreamsOf(byHost(partyOfHost), to, address)
}

func (c *Cluster) relayStreamsOf(from func(net.Addr) string, to, address string) (relayAddress string, err error) {
	listener, err := net.Listen("tcp", c.anyPortAddress())
	if err != nil {
		return "", err
	}
	c.links.relayStreams(listener, from, to, address)
	return listener.Addr().String(), nil
}

// RelayGossip relays the datagrams and streams from several parties to the address that another is bound to. Parties
// are told apart by their hosts: each has to send from its own.
func (c *Cluster) RelayGossip(to, address string, partyOfHost func(host string) string) (relayAddress string, err error) {
	relayAddress = net.JoinHostPort(c.NewAddress(), fmt.Sprint(gossipPort))
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", relayAddress)
	if err != nil {
		return "", err
	}
	packets, err := net.ListenPacket("udp", relayAddress)
	if err != nil {
		_ = listener.Close()
		return "", err
	}
	from := byHost(partyOfHost)
	c.links.relayStreams(listener, from, to, address)
	c.links.relayDatagrams(packets.(*net.UDPConn), from, to, target)
	return relayAddress, nil
}

func byHost(partyOfHost func(host string) string) func(net.Addr) string {
	return func(a net.Addr) string {
		host, _, _ := net.SplitHostPort(a.String())
		return partyOfHost(host)
	}
}

// relayStreams relays the streams that a listener accepts, until close.
func (l *links) relayStreams(listener net.Listener, from func(net.Addr) string, to, address string) {
	if !l.track(listener) {
		return
	}
	l.relays.Go(func() {
		slots := make(chan struct{}, maxStreams)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			select {
			case slots <- struct{}{}:
			default:
				_ = conn.Close()
				continue
			}
			l.relays.Go(func() {
				defer func() { <-slots }()
				l.relayStream(conn.(*net.TCPConn), path{from(conn.RemoteAddr()), to}, address)
			})
		}
	})
}

// relayStream relays one stream. Over a cut path it stays open and silent until the caller's timeout or the end of
// the cut.
func (l *links) relayStream(in *net.TCPConn, p path, address string) {
	if !l.track(in) {
		return
	}
	defer l.untrack(in)
	if faults := l.faultsOf(p); faults.Reset || l.occurs(faults.Loss) || l.occurs(l.faultsOf(p.reverse()).Loss) {
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

// waitWhileCut waits until the path isn't cut; it returns false where the cluster was closed meanwhile.
func (l *links) waitWhileCut(p path) bool {
	for l.faultsOf(p).Cut {
		if l.isClosed() {
			return false
		}
		time.Sleep(cutPollInterval)
	}
	return true
}

// copyStream copies one direction of a stream, with the faults of its path.
func (l *links) copyStream(to, from *net.TCPConn, p path) {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := from.Read(buffer)
		faults := l.faultsOf(p)
		if faults.Reset {
			reset(from)
			reset(to)
			return
		}
		time.Sleep(l.delay(faults) + faults.deliveryDelay(n))
		if !l.waitWhileCut(p) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// reset closes a connection so that the other end sees a reset, not an end of input.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// relayDatagrams relays what comes at a socket, until close.
func (l *links) relayDatagrams(socket *net.UDPConn, from func(net.Addr) string, to string, target *net.UDPAddr) {
	if !l.track(socket) {
		return
	}
	l.relays.Go(func() {
		buffer := make([]byte, maxDatagramBytes)
		relay := datagramRelay{links: l, socket: socket, target: target, slots: make(chan struct{}, maxQueuedDatagrams)}
		for {
			n, sender, err := socket.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			relay.send(buffer[:n], l.faultsOf(path{from(sender), to}))
		}
	})
}

// datagramRelay sends datagrams on to one target.
type datagramRelay struct {
	links  *links
	socket *net.UDPConn
	target *net.UDPAddr
	slots  chan struct{} // one for each datagram that is delayed
}

// send sends a datagram with the faults of its path; the packet is the caller's again once it returns.
func (r *datagramRelay) send(packet []byte, faults Faults) {
	if faults.Cut || r.links.occurs(faults.Loss) {
		return
	}
	copies := 1
	if r.links.occurs(faults.Duplicate) {
		copies = 2
	}
	for i := range copies {
		delay := r.links.delay(faults) + time.Duration(i)*faults.Replay
		if r.links.occurs(faults.Reorder) {
			delay += reorderDelay
		}
		if delay <= 0 {
			_, _ = r.socket.WriteToUDP(packet, r.target)
			continue
		}
		r.sendLater(append([]byte(nil), packet...), delay)
	}
}

func (r *datagramRelay) sendLater(packet []byte, delay time.Duration) {
	select {
	case r.slots <- struct{}{}:
	default:
		return // the queue is full
	}
	time.AfterFunc(delay, func() {
		_, _ = r.socket.WriteToUDP(packet, r.target)
		<-r.slots
	})
}
