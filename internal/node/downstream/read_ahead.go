package downstream

import (
	"errors"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/memory"
)

const (
	// maxPipelinedBytes bounds what is read of further requests while a connection's current request is open.
	maxPipelinedBytes = 64 << 10
	readAheadBytes    = 4 << 10 // read at once
)

// readAhead holds the bytes of further requests that were read while the connection's current request was open. A close
// behind unread bytes can't be seen, so an attempt's goroutine reads them, to learn whether the client is still there.
type readAhead struct {
	mu         sync.Mutex
	bytes      []byte
	held       int       // bytes counted in the connection's Reservation
	allowed    bool      // the connection's goroutine doesn't read
	observedAt time.Time // when a disconnect would have been seen last
	closed     bool      // the client has disconnected
}

// allowReadAhead lets attempts read ahead until forbidReadAhead. The connection's goroutine must not read meanwhile. It
// returns the time.
func (c *clientConn) allowReadAhead() (now time.Time) {
	now = time.Now()
	c.ahead.mu.Lock()
	defer c.ahead.mu.Unlock()
	c.ahead.allowed, c.ahead.observedAt = true, now
	return now
}

func (c *clientConn) forbidReadAhead() {
	c.ahead.mu.Lock()
	defer c.ahead.mu.Unlock()
	c.ahead.allowed = false
}

func (c *clientConn) hasReadAhead() bool {
	c.ahead.mu.Lock()
	defer c.ahead.mu.Unlock()
	return len(c.ahead.bytes) > 0
}

// takeReadAhead moves bytes that were read ahead to p, and returns their number.
func (c *clientConn) takeReadAhead(p []byte) int {
	c.ahead.mu.Lock()
	defer c.ahead.mu.Unlock()
	if len(c.ahead.bytes) == 0 {
		return 0
	}
	n := copy(p, c.ahead.bytes)
	if c.ahead.bytes = c.ahead.bytes[n:]; len(c.ahead.bytes) == 0 {
		c.held.Return(c.ahead.held)
		c.ahead.bytes, c.ahead.held = nil, 0
	}
	return n
}

// hasDisconnected reports whether the client has closed or reset the connection, or may have done so unseen for longer than
// maxUnobservedTime because it has sent more than may be read ahead. It polls the socket and doesn't block.
func (c *clientConn) hasDisconnected() bool {
	if c.hasPollEvent(unix.POLLRDHUP) {
		return true
	}
	c.ahead.mu.Lock()
	defer c.ahead.mu.Unlock()
	if !c.ahead.allowed || c.ahead.closed { // otherwise the connection's goroutine notices a disconnect
		return c.ahead.closed
	}
	for {
		switch n, err := c.readNow(); {
		case errors.Is(err, unix.EAGAIN):
			c.ahead.observedAt = time.Now()
			return c.hasPollEvent(unix.POLLRDHUP)
		case errors.Is(err, errReadAheadFull):
			return time.Since(c.ahead.observedAt) > maxUnobservedTime
		case errors.Is(err, errNoSocket):
			return false
		case n <= 0:
			c.ahead.closed = true
			return true
		}
	}
}

var (
	errReadAheadFull = errors.New("downstream: no more may be read ahead")
	errNoSocket      = errors.New("downstream: the connection has no socket")
)

// readNow reads ahead what the socket has, without waiting. c.ahead.mu is held.
func (c *clientConn) readNow() (n int, err error) {
	socket := tcpConn(c)
	if socket == nil {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errNoSocket
	}
	size := len(c.ahead.bytes)
	if size+readAheadBytes > maxPipelinedBytes || !c.held.Take(readAheadBytes, memory.ReadAhead) {
		return 0, errReadAheadFull
	}
	grown := append(c.ahead.bytes, make([]byte, readAheadBytes)...)
	if controlErr := raw.Control(func(fd uintptr) { n, err = unix.Read(int(fd), grown[size:]) }); controlErr != nil {
		err = errNoSocket
	}
	if n <= 0 {
		c.held.Return(readAheadBytes)
		return n, err
	}
	c.ahead.held += readAheadBytes
	c.ahead.bytes = grown[:size+n]
	c.recordArrival()
	return n, err
}
