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
	maxQueuedDatagrams = 4096                  // limit of delayed datagrams at one relay; further ones are dropped
	maxStreams         = 4096                  // limit of open streams at one relay
	streamBufferBytes  = 16 << 10              // size of a read from a stream
	cutPollInterval    = 20 * time.Millisecond // between checks whether a path is still cut
	reorderDelay       = 5 * time.Millisecond  // additional delay of a reordered datagram, so that later ones overtake it
)

// RelayTCP relays TCP streams from one party to the address of another. It returns the relay's address, to which the
// first party must connect.
func (c *Cluster) RelayTCP(from, to, address string) (relayAddress string, err error) {
	return c.relayStreamsOf(func(net.Addr) string { return from }, to, address)
}

// RelayStreams relays TCP streams from several parties to the address of another. It identifies a party by the host that
// it connects from.
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

// RelayGossip relays datagrams and streams from several parties to the address that another party is bound to. It
// identifies a sender by its host, so each party must send from its own host.
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

// byHost returns a function that finds the party by the host of an address.
func byHost(partyOfHost func(host string) string) func(net.Addr) string {
	return func(a net.Addr) string {
		host, _, _ := net.SplitHostPort(a.String())
		return partyOfHost(host)
	}
}

// relayStreams relays the streams that a listener accepts, until the listener is closed. Streams beyond maxStreams are
// closed.
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

// relayStream relays one stream. If the path or its reverse is cut, a new stream stays open without data until the
// cut ends or the cluster is closed.
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

// waitWhileCut waits until the path isn't cut. It returns false if the cluster is closed meanwhile.
func (l *links) waitWhileCut(p path) bool {
	for l.faultsOf(p).Cut {
		if l.isClosed() {
			return false
		}
		time.Sleep(cutPollInterval)
	}
	return true
}

// copyStream copies one direction of a stream and applies the faults of its path.
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

// reset closes a connection so that its peer sees a reset instead of EOF.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// relayDatagrams relays the datagrams that arrive at a socket, until the socket is closed.
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

// datagramRelay forwards datagrams to one target.
type datagramRelay struct {
	links  *links
	socket *net.UDPConn
	target *net.UDPAddr
	slots  chan struct{} // holds one element per delayed datagram
}

// send forwards a datagram and applies the faults of its path. It does not retain the packet.
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

// sendLater forwards a datagram after a delay, or drops it if the queue is full. It retains the packet.
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
