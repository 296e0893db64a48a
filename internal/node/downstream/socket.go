package downstream

import (
	"io"
	"net"

	"golang.org/x/sys/unix"
)

// isClosedByClient reports whether the client has closed or reset the connection, also behind unread bytes. It asks the socket.
func (c *clientConn) isClosedByClient() bool { return c.hasPollEvent(unix.POLLRDHUP) }

// hasPollEvent reports whether poll finds one of its events at the socket, or the socket is closed. It doesn't block.
func (c *clientConn) hasPollEvent(event int16) (found bool) {
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
		found = n > 0 && err == nil
	}
	return raw.Control(look) != nil || found
}

// underlyingConn unwraps a connection.
func underlyingConn(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// tcpConn is the TCP connection under c; nil where there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	socket, _ := underlyingConn(c).(*net.TCPConn)
	return socket
}

// closeQuietly closes what is of no more use. The descriptor is released whatever Close returns, and nobody could act
// on the error. Package upstream has the same function.
func closeQuietly(c io.Closer) { _ = c.Close() }
