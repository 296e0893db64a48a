package membership

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// path follows how good the way to the others is: while more than a few direct probes go unanswered each
// datagram is sent twice, apart. At three lost of ten, that leaves one failed probe of 400 in place of one of
// nine, and so few suspicions that a refutation gets through in time.
type path struct {
	mu   sync.Mutex
	lost float64 // part of this member's direct probes lately
}

const (
	pathGain = 1.0 / 16
	pathBad  = 0.05                  // part of lost probes from which datagrams go twice
	twiceIn  = 10 * time.Millisecond // what loses one loses the next as well, often
)

func (p *path) probed(answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost -= pathGain * p.lost
	if !answered {
		p.lost += pathGain
	}
}

func (p *path) bad() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost > pathBad
}

// send sends a datagram, and again where the path is bad. The second time may be after the network's end.
func (p *path) send(b []byte, write func([]byte)) {
	write(b)
	if p.bad() {
		again := append([]byte(nil), b...)
		time.AfterFunc(twiceIn, func() { write(again) })
	}
}

// MaxDescriptors is how many descriptors membership takes at most: two to listen, what others may open, and what
// this member opens itself.
const MaxDescriptors = 2 + streamsMost + 4

const (
	datagramMost = 64 << 10
	socketBuffer = 256 << 10
	queued       = 64 // datagrams between the socket and memberlist
	streamsMost  = 12 // that others may have open here at a time
	acceptPause  = 50 * time.Millisecond
)

// transport is memberlist's own network with three differences: streams leave from the address that is bound,
// so that others can tell by it who calls; a datagram takes the memory that it needs, not 64 KiB; and what is
// sent and received is counted.
type transport struct {
	bind      net.IP
	advertise *net.UDPAddr
	stats     *stats
	udp       *net.UDPConn
	tcp       *net.TCPListener
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	ended     chan struct{}
	once      sync.Once
	open      atomic.Int64 // streams that others have open here
	loops     sync.WaitGroup
}

// listen binds for datagrams and streams.
func listen(c Config, s *stats) (*transport, error) {
	at, err := net.ResolveUDPAddr("udp", c.Bind)
	if err != nil {
		return nil, err
	}
	advertise := at
	if c.Advertise != "" {
		if advertise, err = net.ResolveUDPAddr("udp", c.Advertise); err != nil {
			return nil, err
		}
	}
	t := &transport{bind: at.IP, advertise: advertise, stats: s, packets: make(chan *memberlist.Packet, queued),
		streams: make(chan net.Conn, streamsMost), ended: make(chan struct{})}
	if t.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP, Port: at.Port}); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", at); err != nil {
		_ = t.tcp.Close()
		return nil, err
	}
	_ = t.udp.SetReadBuffer(socketBuffer) // less is borne: what is lost is sent again
	t.loops.Go(t.receive)
	t.loops.Go(t.accept)
	return t, nil
}

func (t *transport) receive() {
	block := make([]byte, datagramMost)
	for {
		n, from, err := t.udp.ReadFromUDP(block)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 { // an ICMP error of a member that is gone
			continue
		}
		t.stats.received.Add(uint64(n))
		select {
		case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), block[:n]...), From: from, Timestamp: time.Now()}:
		case <-t.ended:
			return
		}
	}
}

func (t *transport) accept() {
	for {
		conn, err := t.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, say: clients go first
			select {
			case <-time.After(acceptPause):
			case <-t.ended:
				return
			}
			continue
		}
		if t.open.Add(1) > streamsMost { // members call rarely, and come again
			t.open.Add(-1)
			_ = conn.Close()
			continue
		}
		select {
		case t.streams <- &inbound{countedConn: countedConn{conn, t.stats}, open: &t.open}:
		case <-t.ended:
			_ = conn.Close()
		}
	}
}

// FinalAdvertiseAddr tells where others reach this member.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	ip := t.advertise.IP
	if v4 := ip.To4(); v4 != nil {
		ip = v4
	}
	return ip, t.advertise.Port, nil
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	t.stats.path.send(b, func(b []byte) {
		t.stats.sent.Add(uint64(len(b)))
		_, _ = t.udp.WriteToUDP(b, to) // what fails to leave is as good as lost: the probes tell
	})
	return time.Now(), nil
}

// WriteToAddress sends a datagram to a member.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// PacketCh brings datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh brings streams that others open.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !t.bind.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.bind}
	}
	conn, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t.stats}, nil
}

// DialAddressTimeout opens a stream to a member.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// Shutdown ends all of it.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.ended)
		_ = t.tcp.Close()
		_ = t.udp.Close()
		t.loops.Wait()
		for {
			select {
			case conn := <-t.streams:
				_ = conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

// countedConn counts what passes over a stream.
type countedConn struct {
	net.Conn
	stats *stats
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.received.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.sent.Add(uint64(n))
	return n, err
}

// inbound is a stream that another opened: it frees its place at its end.
type inbound struct {
	countedConn
	open *atomic.Int64
	once sync.Once
}

func (c *inbound) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.countedConn.Close()
}
