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
	maxInboundStreams  = 12                    // open at a time; further ones are closed, and their senders retry
	maxOutboundStreams = 4                     // opened by memberlist at a time
	acceptRetryDelay   = 50 * time.Millisecond // after a failed accept; leaves scarce descriptors to clients
	listenerCount      = 2                     // one for datagrams, one for streams
)

// MaxDescriptors is the maximum number of file descriptors that membership uses.
const MaxDescriptors = listenerCount + maxInboundStreams + maxOutboundStreams

// transport implements memberlist.NodeAwareTransport. It differs from memberlist's own transport in three ways: outbound
// streams use the bound IP as their source, so that peers can identify the sender; a datagram occupies only its own size
// in memory, not 64 KiB; and the transport counts bytes. Several goroutines of memberlist call its methods.
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
	loops          sync.WaitGroup // receive and accept; they end on Shutdown
	shutdownOnce   sync.Once
	shutdownErr    error
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

// listen binds the sockets for datagrams and streams and starts to receive.
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
	_ = t.udp.SetReadBuffer(receiveBufferBytes) // a smaller buffer loses more datagrams, which gossip tolerates
	t.loops.Go(t.receive)
	t.loops.Go(t.accept)
	return t, nil
}

// receive passes received datagrams to memberlist until Shutdown.
func (t *transport) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.udp.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 { // for example an ICMP error because a member's process has ended
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

// accept passes inbound streams to memberlist until Shutdown.
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

// FinalAdvertiseAddr returns the address under which others reach this member.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip := t.advertise.IP
	if v4 := ip.To4(); v4 != nil {
		ip = v4
	}
	return ip, t.advertise.Port, nil
}

// WriteTo sends a datagram, and a copy of it while the probe loss is high. A failed write is ignored like a lost datagram,
// because probes detect the loss; an invalid address is an error.
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

// DialTimeout opens a stream. It blocks for at most timeout.
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

// DialAddressTimeout opens a stream to a member. It blocks for at most timeout.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown closes the sockets, waits for the loops to end, and closes the streams that memberlist hasn't taken.
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

// countedConn counts the bytes read from and written to a stream.
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

// inboundStream decrements the count of open inbound streams when it is closed.
type inboundStream struct {
	countedConn
	open      *atomic.Int64
	closeOnce sync.Once
}

func (s *inboundStream) Close() error {
	s.closeOnce.Do(func() { s.open.Add(-1) })
	return s.countedConn.Close()
}
