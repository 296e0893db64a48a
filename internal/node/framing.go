package node

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"
)

// errFraming makes net/http answer 400 and close: what follows such a header could be a body to one
// reader and a request to another.
var errFraming = errors.New("the header leaves open where its body ends")

// framingListener guards the framing of all that its connections bring. net/http takes
// Transfer-Encoding and drops the Content-Length beside it, takes a length that is stated twice, and
// drops the Transfer-Encoding of an HTTP/1.0 request, all without a word to the handler.
type framingListener struct{ net.Listener }

func (l framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c}, nil
}

// framedConn follows the headers and the bodies of stated length that are read from it. Only one
// goroutine reads from a connection at a time.
type framedConn struct {
	net.Conn
	heard    atomic.Int64 // when something last came, in Unix nanoseconds; 0 for never
	line     []byte       // of a header, as far as read
	lines    int          // of that header before it
	old      bool         // HTTP/1.0
	lengths  int
	length   uint64 // as stated in that header
	codings  int
	body     uint64 // bytes still to come before the next header
	lastHead bool   // nothing after it is read as a request: net/http refuses it, or the answer closes
	err      error
}

func (c *framedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	if c.err = c.follow(p[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// follow reports a header whose end is in p and that must not be acted on.
func (c *framedConn) follow(p []byte) error {
	for len(p) > 0 && !c.lastHead {
		if c.body > 0 {
			n := min(c.body, uint64(len(p)))
			c.body -= n
			p = p[n:]
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			end = len(p) - 1
		}
		c.line, p = append(c.line, p[:end+1]...), p[end+1:]
		if len(c.line) > 2*maxHeader { // net/http refuses it
			c.lastHead, c.line = true, nil
			return nil
		}
		if c.line[len(c.line)-1] != '\n' {
			return nil
		}
		if err := c.header(bytes.TrimRight(c.line, "\r\n")); err != nil {
			return err
		}
		c.line = c.line[:0]
	}
	return nil
}

// header takes in one line of a header.
func (c *framedConn) header(line []byte) error {
	if len(line) == 0 && c.lines == 0 {
		return nil // stray line ends before a request
	}
	c.lines++
	if len(line) == 0 {
		return c.endHeader()
	}
	if c.lines == 1 {
		c.old = !bytes.HasSuffix(line, []byte("HTTP/1.1"))
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' { // a folded line: readers differ on those
		return errFraming
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		c.codings++
	case bytes.EqualFold(name, []byte("Content-Length")):
		c.lengths++
		n, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		if err != nil {
			return errFraming
		}
		c.length = n
	}
	return nil
}

// endHeader judges a whole header and makes ready for the next.
func (c *framedConn) endHeader() error {
	if c.lengths+c.codings > 1 || c.old && c.codings > 0 {
		return errFraming
	}
	c.lastHead = c.codings > 0 // the handler ends the connection: chunks aren't followed here
	c.body = c.length
	c.lines, c.old, c.lengths, c.length, c.codings = 0, false, 0, 0, 0
	return nil
}
