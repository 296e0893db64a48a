package nodetest

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// Bubble runs a test in virtual time, over an in-memory network: waits take no real time, and the load of the machine
// doesn't affect the result.
func Bubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := &memNet{listeners: make(map[string]*memListener), port: 10_000}
		memNets.Store(t, n)
		defer memNets.Delete(t)
		test(t)
	})
}

var memNets sync.Map // from the *testing.T of a bubble to its *memNet

// Dialer returns the dial function of the test's in-memory network, or nil outside a Bubble.
func Dialer(t testing.TB) func(ctx context.Context, network, addr string) (net.Conn, error) {
	if n, ok := memNets.Load(t); ok {
		return n.(*memNet).dial
	}
	return nil
}

// Dial connects to addr on the test's in-memory network, or over TCP outside a Bubble.
func Dial(t testing.TB, addr string) Conn {
	t.Helper()
	connect := Dialer(t)
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	c, err := connect(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return c.(Conn)
}

// Conn is a connection whose write side can be closed alone: an in-memory connection or a *net.TCPConn.
type Conn interface {
	net.Conn
	CloseWrite() error
}

// memNet is the in-memory network of one Bubble.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	port      int
}

func (n *memNet) listen() *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.port++
	l := &memListener{net: n, addr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.port},
		queue: make(chan net.Conn, 4096), closed: make(chan struct{})}
	n.listeners[l.addr.String()] = l
	return l
}

func (n *memNet) dial(_ context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.port++
	from := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.port}
	n.mu.Unlock()
	if l != nil {
		toServer, toClient := newStream(), newStream()
		client := &memConn{in: toClient, out: toServer, local: from, remote: l.addr}
		select {
		case l.queue <- &memConn{in: toServer, out: toClient, local: l.addr, remote: from}:
			return client, nil
		case <-l.closed:
		default:
		}
	}
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

type memListener struct {
	net    *memNet
	addr   net.Addr
	queue  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *memListener) Addr() net.Addr { return l.addr }

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() (err error) {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr.String())
		l.net.mu.Unlock()
		close(l.closed)
		for len(l.queue) > 0 {
			err = errors.Join(err, (<-l.queue).Close())
		}
	})
	return err
}

// streamSize is the most bytes that a stream buffers; further writes block.
const streamSize = 256 << 10

// stream is one direction of a connection.
type stream struct {
	mu                          sync.Mutex
	changed                     *sync.Cond
	buffered                    []byte
	writeClosed                 bool // the writer has closed: reads return io.EOF after the buffer
	readClosed                  bool // the reader has closed: writes fail with ECONNRESET
	readDeadline, writeDeadline deadline
}

// deadline is a read or write deadline of a stream. Its timer wakes the calls that wait on the stream.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func newStream() *stream {
	s := new(stream)
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.readClosed:
			return 0, net.ErrClosed
		case s.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(s.buffered) > 0:
			n := copy(p, s.buffered)
			s.buffered = s.buffered[n:]
			s.changed.Broadcast()
			return n, nil
		case s.writeClosed:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.writeClosed:
			return n, net.ErrClosed
		case s.readClosed:
			return n, syscall.ECONNRESET
		case s.writeDeadline.passed():
			return n, os.ErrDeadlineExceeded
		}
		part := p[n:min(len(p), n+streamSize-len(s.buffered))]
		s.buffered = append(s.buffered, part...)
		s.changed.Broadcast()
		if n += len(part); n == len(p) {
			return n, nil
		}
		s.changed.Wait()
	}
}

// setFlag sets one of the stream's flags and wakes the calls that wait on the stream.
func (s *stream) setFlag(flag *bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*flag = true
	s.changed.Broadcast()
}

// setDeadline sets one of the stream's deadlines; a zero time removes it.
func (s *stream) setDeadline(d *deadline, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if d.at = at; !at.IsZero() && time.Until(at) > 0 {
		d.timer = time.AfterFunc(time.Until(at), s.changed.Broadcast)
	}
	s.changed.Broadcast()
}

// memConn is one end of an in-memory connection.
type memConn struct {
	in, out       *stream
	local, remote net.Addr
}

func (c *memConn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *memConn) Write(p []byte) (int, error) { return c.out.write(p) }
func (c *memConn) LocalAddr() net.Addr         { return c.local }
func (c *memConn) RemoteAddr() net.Addr        { return c.remote }

func (c *memConn) CloseWrite() error {
	c.out.setFlag(&c.out.writeClosed)
	return nil
}

func (c *memConn) Close() error {
	c.in.setFlag(&c.in.readClosed)
	return errors.Join(c.SetDeadline(time.Time{}), c.CloseWrite())
}

func (c *memConn) SetReadDeadline(at time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, at)
	return nil
}

func (c *memConn) SetWriteDeadline(at time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, at)
	return nil
}

func (c *memConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}
