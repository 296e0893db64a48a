package membership

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxDatagramBytes   = 64 << 10
	receiveBufferBytes = 256 << 10
	maxQueuedDatagrams = 64                    // between the socket and memberlist
	maxInboundStreams  = 12                    // open at a time; more are closed at once, and their senders try again
	maxOutboundStreams = 4                     // that memberlist opens at a time
	acceptRetryDelay   = 50 * time.Millisecond // leaves descriptors that run short to clients
	listenerCount      = 2                     // one for datagrams, one for streams
)

// MaxDescriptors is how many file descriptors membership uses at most.
const MaxDescriptors = listenerCount + maxInboundStreams + maxOutboundStreams

// transport implements memberlist.NodeAwareTransport. It differs from memberlist's own in three ways: outbound streams
// leave from the bound address, so that others can tell who connects; a datagram takes the memory that it needs, not
// 64 KiB; and bytes are counted. memberlist calls its methods from any of its goroutines.
type transport struct {
	bindIP    net.IP
	advertise *net.UDPAddr
	stats     *networkStats
	udp       *net.UDPConn
	tcp       *net.TCPListener
	packets   chan *memberlist.Packet
	streams   chan net.Conn

	inboundStreams atomic.Int64
	closing        chan struct{}
	loops          sync.WaitGroup // receive and accept, which end at Shutdown
	shutdownOnce   sync.Once
	shutdownErr    error
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// listen binds for datagrams and streams.
func listen(c Config, stats *networkStats) (*transport, error) {
	bind, err := net.ResolveUDPAddr("udp", c.Bind)
	if err != nil {
		return nil, err
	}
	advertise := bind
	if c.Advertise != "" {
		if advertise, err = net.ResolveUDPAddr("udp", c.Advertise); err != nil {
			return nil, err
		}
	}
	t := &transport{
		bindIP:    bind.IP,
		advertise: advertise,
		stats:     stats,
		packets:   make(chan *memberlist.Packet, maxQueuedDatagrams),
		streams:   make(chan net.Conn, maxInboundStreams),
		closing:   make(chan struct{}),
	}
	if t.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: bind.IP, Port: bind.Port}); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", bind); err != nil {
		return nil, errors.Join(err, t.tcp.Close())
	}
	_ = t.udp.SetReadBuffer(receiveBufferBytes) // with a smaller buffer more is lost, which gossip makes up for
	t.loops.Go(t.receive)
	t.loops.Go(t.accept)
	return t, nil
}

// receive passes datagrams on until Shutdown.
func (t *transport) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 { // for example an ICMP error of a member whose process ended
			continue
		}
		t.stats.receivedBytes.Add(uint64(n))
		datagram := append([]byte(nil), buffer[:n]...)
		select {
		case t.packets <- &memberlist.Packet{Buf: datagram, From: from, Timestamp: time.Now()}:
		case <-t.closing:
			return
		}
	}
}

// accept passes inbound streams on until Shutdown.
func (t *transport) accept() {
	for {
		conn, err := t.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(acceptRetryDelay):
			case <-t.closing:
				return
			}
			continue
		}
		if t.inboundStreams.Add(1) > maxInboundStreams {
			t.inboundStreams.Add(-1)
			_ = conn.Close()
			continue
		}
		stream := &inboundStream{countedConn: countedConn{conn, t.stats}, open: &t.inboundStreams}
		select {
		case t.streams <- stream:
		case <-t.closing:
			_ = stream.Close()
		}
	}
}

// FinalAdvertiseAddr returns where others reach this member.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip := t.advertise.IP
	if v4 := ip.To4(); v4 != nil {
		ip = v4
	}
	return ip, t.advertise.Port, nil
}

// WriteTo sends a datagram. One that can't be sent counts as lost: the probes find out.
func (t *transport) WriteTo(datagram []byte, address string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return time.Time{}, err
	}
	t.stats.probeLoss.send(datagram, func(datagram []byte) {
		t.stats.sentBytes.Add(uint64(len(datagram)))
		_, _ = t.udp.WriteToUDP(datagram, to)
	})
	return time.Now(), nil
}

// WriteToAddress sends a datagram to a member.
func (t *transport) WriteToAddress(datagram []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(datagram, a.Addr)
}

// PacketCh returns the channel of received datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of inbound streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout opens a stream; it blocks for timeout at most.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !t.bindIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.bindIP}
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t.stats}, nil
}

// DialAddressTimeout opens a stream to a member; it blocks for timeout at most.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown closes the sockets and waits for the loops to end. Streams that memberlist hasn't taken are closed.
func (t *transport) Shutdown() error {
	t.shutdownOnce.Do(func() {
		close(t.closing)
		t.shutdownErr = errors.Join(t.tcp.Close(), t.udp.Close())
		t.loops.Wait()
		t.closeQueuedStreams()
	})
	return t.shutdownErr
}

func (t *transport) closeQueuedStreams() {
	for {
		select {
		case conn := <-t.streams:
			_ = conn.Close()
		default:
			return
		}
	}
}

// countedConn counts the bytes of a stream.
type countedConn struct {
	net.Conn
	stats *networkStats
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.receivedBytes.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.sentBytes.Add(uint64(n))
	return n, err
}

// inboundStream counts as open until it is closed.
type inboundStream struct {
	countedConn
	open      *atomic.Int64
	closeOnce sync.Once
}

func (s *inboundStream) Close() error {
	s.closeOnce.Do(func() { s.open.Add(-1) })
	return s.countedConn.Close()
}
