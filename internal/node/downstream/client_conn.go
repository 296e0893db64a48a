package downstream

import (
	"bufio"
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
)

const (
	// headTimeout is for the head of a request from its first byte, or from the connect.
	headTimeout = 2300 * time.Millisecond
	// IdleTimeout is how long a connection may be without a request.
	IdleTimeout = 60 * time.Second
	// earlyResponseLinger is how long a client may go on sending after a response that came before its body's end.
	earlyResponseLinger = 2 * time.Second
	// lastResponseLinger is how long a client may take to read the last response of a connection that it may not expect
	// to end.
	lastResponseLinger = 500 * time.Millisecond
)

// clientConn is a client's connection. One goroutine reads it, request after request, and so sees the client leave while
// its response is awaited. Another writes the responses; both end with the connection.
type clientConn struct {
	net.Conn
	server          *Server
	tracked         *trackedConn
	lastReceived    atomic.Int64 // when bytes last came, in Unix nanoseconds; 0 for never
	reader          *bufio.Reader
	heads           http1.HeadReader
	readDeadline    time.Time     // zero for none
	reply           chan Response // from the handler, for the current request
	responseWritten chan bool     // from the writer, after each response: whether the connection stays open
	closed          chan struct{} // closed at the connection's end

	// The current request: set before the handler has it, and read by the writer once that has answered.
	exchange           *Exchange
	closeAfterResponse bool
	http10             bool // the request is HTTP/1.0
	responsePending    atomic.Bool
	writeBuffer        []byte
	writeDeadline      time.Time
	bytesSent          int64 // over the connection's life, streamed responses left out
	boundsEveryWrite   bool  // set by a streamed response, which bytesSent doesn't count
}

var readBuffers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// newClientConn tracks a connection. serve has to follow.
func (s *Server) newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, server: s, reader: readBuffers.Get().(*bufio.Reader), reply: make(chan Response, 1),
		responseWritten: make(chan bool, 1), closed: make(chan struct{})}
	c.tracked = s.clientConns.add(c)
	c.reader.Reset(c)
	return c
}

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	s := c.server
	defer s.conns.Done()
	var writer sync.WaitGroup
	defer func() {
		if cause := recover(); cause != nil { // ends this connection, and not the node
			slog.Error("a client's connection panicked", "cause", cause, "stack", string(debug.Stack()))
		}
		closeQuietly(c)
		close(c.closed)
		writer.Wait()
		c.finishRequest()
		s.clientConns.remove(c)
		c.reader.Reset(nil)
		readBuffers.Put(c.reader)
	}()
	c.boundRead(time.Now().Add(headTimeout))
	for first := true; ; first = false {
		h, err := c.heads.Read(c.reader, http1.MaxHeadBytes)
		if err != nil {
			c.rejectUnreadable(err)
			return
		}
		if s.clientConns.setState(c.tracked, http.StateActive) { // the request has come in time for the connection to stay
			c.boundRead(time.Time{})
		}
		m, problem := parseRequest(h)
		if problem != nil {
			c.sendError(problem, true)
			return
		}
		if first {
			writer.Go(c.writeResponses)
		}
		if !c.handle(m) {
			return
		}
		s.clientConns.startRequest(c.tracked)
		c.boundHead()
	}
}

// NetConn returns the connection that c wraps.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Read notes when bytes come.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// boundRead sets the deadline for reading; zero for none.
func (c *clientConn) boundRead(deadline time.Time) {
	c.readDeadline = deadline
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection, where the next read fails too
}

// boundHead bounds the reading of a further head, whose first byte is there.
func (c *clientConn) boundHead() {
	if b, _ := c.reader.Peek(c.reader.Buffered()); !bytes.Contains(b, headEnd) { // nearly always all of it is there
		c.boundRead(time.Now().Add(headTimeout))
	}
}

var headEnd = []byte("\r\n\r\n")

// rejectUnreadable answers a request whose head can't be read. A client that sent nothing, or is too slow, gets no response.
func (c *clientConn) rejectUnreadable(err error) {
	switch {
	case errors.Is(err, http1.ErrMalformedHead):
		c.sendError(&requestError{status: http.StatusBadRequest, text: "malformed request"}, true)
	case errors.Is(err, http1.ErrHeadTooLong):
		c.sendError(&requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is over 16 KiB"}, true)
	}
}

// handle serves one request, and waits for the next. It reports whether there is one.
func (c *clientConn) handle(m requestHead) bool {
	s := c.server
	// Over its share of the descriptors the node still answers, and gets the descriptor back.
	full := !s.awaitCapacity(c.tracked)
	c.http10 = m.minor == 0
	c.closeAfterResponse = full || c.isLastRequest(&m)
	if m.isReadinessCheck() {
		return c.handleReadinessCheck(m)
	}
	if full {
		c.rejectRequest(&m, &requestError{status: http.StatusServiceUnavailable, text: "too many connections"})
		return false
	}
	x, problem := s.readRequest(c, &m)
	if problem != nil {
		c.rejectRequest(&m, problem)
		return false
	}
	s.handler.AddOpenRequests(1)
	c.responsePending.Store(true)
	c.exchange = x
	s.handler.HandleRequest(x)
	if x.upload != nil && !c.awaitUpload(x.upload) {
		return false
	}
	if !c.awaitNextRequest(x) {
		return false
	}
	open := <-c.responseWritten
	if !open {
		c.linger(lastResponseLinger) // bytes of a further request may be unread
	}
	return open
}

// isLastRequest reports whether the connection ends with the response to m.
func (c *clientConn) isLastRequest(m *requestHead) bool {
	// Clients of a stopping node keep their connections: closing them would move their load to the other nodes.
	crowded := !c.server.Stopping.Load() && c.server.clientConns.isCrowded(c.tracked)
	return m.Close || c.http10 && !m.KeepAlive || m.Chunked || crowded
}

// rejectRequest answers a request that isn't handed on.
func (c *clientConn) rejectRequest(m *requestHead, problem *requestError) {
	handler := c.server.handler
	class, _, known := handler.Terms().Class(m.class, m.method, m.idempotencyKey != "")
	if known && !problem.incomplete {
		handler.Tally(class.Name).Count(problem.status)
	}
	c.sendError(problem, m.Chunked || m.Length > int64(c.reader.Buffered()))
}

// awaitUpload waits until an attempt has read the body, and reports whether that is complete.
func (c *clientConn) awaitUpload(u *upload) bool {
	<-u.done
	if u.complete.Load() {
		return true
	}
	if <-c.responseWritten { // the handler knows that the body is incomplete, and answers
		c.linger(earlyResponseLinger)
	}
	return false
}

// handleReadinessCheck tells a load balancer whether the node takes clients.
func (c *clientConn) handleReadinessCheck(m requestHead) bool {
	a := Response{Status: http.StatusOK}
	if !c.server.handler.NodeReady() {
		a.Status = http.StatusServiceUnavailable
	}
	c.closeAfterResponse = c.closeAfterResponse || m.Length != 0 // a body isn't read
	if err := c.sendResponse(a); err != nil || c.closeAfterResponse {
		return false
	}
	c.server.clientConns.setState(c.tracked, http.StateIdle)
	return c.awaitNextRequest(nil)
}

// awaitNextRequest waits for the next request, and tells the handler if the client of x leaves before it is answered. It
// reports whether there is a next one. x is nil where the last request needed no handler.
func (c *clientConn) awaitNextRequest(x *Exchange) bool {
	if c.readDeadline.IsZero() {
		c.boundRead(time.Now().Add(IdleTimeout / 2))
	}
	for c.reader.Buffered() == 0 {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			if c.responsePending.Load() && x != nil {
				x.disconnected.Store(true)
				c.server.handler.HandleDisconnect(x)
			}
			return false // also a client that only stopped sending has left
		case c.server.clientConns.isExpired(c.tracked, time.Now()) || c.server.closing.Load() && !c.responsePending.Load():
			return false
		}
		// The deadline was that of an earlier wait, or the current request takes long.
		c.boundRead(time.Now().Add(IdleTimeout / 2))
	}
	return true
}

// finishRequest counts the current request as ended, once.
func (c *clientConn) finishRequest() {
	if c.responsePending.CompareAndSwap(true, false) {
		c.server.handler.AddOpenRequests(-1)
	}
}

// linger reads for a while what a client still sends after its last response: closing over unread bytes would reset the
// connection, and the client might lose the response.
func (c *clientConn) linger(d time.Duration) {
	half, ok := underlyingConn(c).(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.boundRead(time.Now().Add(d))
	block := http1.GetCopyBuffer()
	defer http1.PutCopyBuffer(block)
	for {
		if _, err := c.Conn.Read(block[:]); err != nil {
			return
		}
	}
}
