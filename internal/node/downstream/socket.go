package downstream

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// hasPollEvent reports whether polling the socket returns event or an error condition, or whether the socket is
// closed. It returns false for a connection without a TCP socket. It doesn't block.
func (c *clientConn) hasPollEvent(event int16) (found bool) {
	conn := tcpConn(c)
	if conn == nil {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { found = pollNow(fd, event) }) != nil || found
}

// pollNow reports whether polling a descriptor returns event or an error condition. It doesn't block.
func pollNow(fd uintptr, event int16) bool {
	p := []unix.PollFd{{Fd: int32(fd), Events: event}}
	n, err := unix.Poll(p, 0)
	return n > 0 && err == nil
}

// underlyingConn returns the innermost connection that c wraps.
func underlyingConn(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// tcpConn returns the TCP connection that c wraps, or nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	socket, _ := underlyingConn(c).(*net.TCPConn)
	return socket
}

// closeQuietly closes c and ignores the error: the descriptor is released in any case, and no caller could act on the
// error. Package upstream has the same function.
func closeQuietly(c io.Closer) { _ = c.Close() }
