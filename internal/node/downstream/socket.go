package downstream

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// isClosedByClient asks the socket whether the client has closed or reset the connection, also behind bytes that are unread.
func (c *clientConn) isClosedByClient() bool { return c.hasPollEvent(unix.POLLRDHUP) }

// hasPollEvent asks the socket for a sign, as poll names it.
func (c *clientConn) hasPollEvent(event int16) (there bool) {
	conn := tcpConn(c)
	if conn == nil {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	look := func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: event}}
		n, err := unix.Poll(p, 0)
		there = n > 0 && err == nil
	}
	return raw.Control(look) != nil || there
}

// underlyingConn is the connection that a client's is made of.
func underlyingConn(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// tcpConn is the socket under a client's connection; nil where there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	socket, _ := underlyingConn(c).(*net.TCPConn)
	return socket
}

// closeQuietly closes what is of no more use. The descriptor is released whatever Close returns, and nobody could act
// on the error.
func closeQuietly(c io.Closer) { _ = c.Close() }
