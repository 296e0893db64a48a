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

	"golang.org/x/sys/unix"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
)

const (
	// headTimeout bounds the reading of a request's head, from its first byte or, for a first request, from the connect.
	headTimeout = 2300 * time.Millisecond
	// IdleTimeout is how long a connection may have no request.
	IdleTimeout = 60 * time.Second
	// earlyResponseLinger is how long a client may continue to send its request after an early response, which is one sent
	// before the end of the request.
	earlyResponseLinger = 2 * time.Second
	// maxBusyTime is how long a connection's goroutine works without a pause of busyPause. A wait of minWait is a pause too.
	maxBusyTime = 2 * time.Millisecond
	busyPause   = 6 * time.Millisecond
	minWait     = time.Millisecond
	// lastResponseLinger is how long the node still reads from a connection after its last response. The client may not
	// expect the connection to end, and may send more before it reads the response.
	lastResponseLinger = 500 * time.Millisecond
)

const (
	// connectionBytes is what a connection holds: its buffer for reading, the stacks of its goroutines, its descriptor.
	connectionBytes = 16 << 10
	// requestBytes is what a request holds beyond its head and bodies: the stacks of its attempt, buffers, the request itself.
	requestBytes = 24 << 10
	// MaxConnectionShare is the part of the memory for clients that connections may hold at most, without their requests.
	MaxConnectionShare = 0.5
)

// MaxConnections returns how many connections a limit on the memory for clients permits.
func MaxConnections(memoryBytes int64) int {
	return max(1, int(MaxConnectionShare*float64(memoryBytes))/connectionBytes)
}

// clientConn is a client's connection. One goroutine reads the requests one after the other, and so notices if the client
// disconnects before its response. Another writes the responses. Both end with the connection.
type clientConn struct {
	net.Conn
	server          *Server
	tracked         *trackedConn
	held            *memory.Reservation // by the connection; what its requests hold is in their Exchange
	lastReceived    atomic.Int64        // when bytes last arrived, in Unix nanoseconds; 0 for never
	lastArrival     arrival             // of the bytes last read; used by the goroutine that reads
	reader          *bufio.Reader
	heads           http1.HeadReader
	ahead           readAhead
	readDeadline    time.Time     // zero for none
	reply           chan Response // from the handler, for the current request
	openedAt        time.Time
	endedBy         atomic.Pointer[closeReason]
	lastID          string        // ID of the last request
	busySince       time.Time     // when the goroutine that reads last waited or paused
	responseWritten chan bool     // from the writer, after each response: whether the connection stays open
	closed          chan struct{} // closed when the connection ends

	// The reader's goroutine uses the fields below until it passes a request to the handler. Once the handler responds,
	// the writer's goroutine uses them until the response is written. Both use responsePending at any time.
	exchange              *Exchange
	closeAfterResponse    bool
	http10                bool // the request is HTTP/1.0
	responsePending       atomic.Bool
	streaming             atomic.Bool // a streamed response is being written
	writeDeadline         time.Time
	bytesSent             int64 // over the connection's life, without streamed responses
	requiresWriteDeadline bool  // set by a streamed response, since bytesSent doesn't count it
}

// arrival is the arrival of bytes from a client.
type arrival struct {
	at    time.Time
	rules RequestRules // those in force then
}

var readBuffers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// newClientConn returns a clientConn for conn and tracks it. The caller must then call serve.
func (s *Server) newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, server: s, reader: readBuffers.Get().(*bufio.Reader), reply: make(chan Response, 1),
		responseWritten: make(chan bool, 1), closed: make(chan struct{}), openedAt: time.Now()}
	c.tracked = s.clientConns.add(c)
	c.held = s.Memory.NewReservation()
	c.held.Add(connectionBytes)
	c.heads.Held = c.held
	c.reader.Reset(c)
	return c
}

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	s := c.server
	defer s.conns.Done()
	var writer sync.WaitGroup
	defer func() {
		if cause := recover(); cause != nil { // a panic ends this connection only, not the node
			slog.Error("panic while serving a client connection", "cause", cause, "stack", string(debug.Stack()))
		}
		closeQuietly(c)
		c.logClose()
		close(c.closed)
		writer.Wait()
		c.finishRequest()
		c.held.Release()
		s.clientConns.remove(c)
		c.reader.Reset(nil)
		readBuffers.Put(c.reader)
	}()
	c.updateReadDeadline(time.Now().Add(headTimeout))
	c.busySince = time.Now()
	for first := true; ; first = false {
		if _, err := c.reader.Peek(1); err != nil {
			c.end(closeReasonOf(err))
			return
		}
		began := c.lastArrival // of the request's first byte: the rest of the head may arrive under other rules
		h, err := c.heads.Read(c.reader, http1.MaxHeadBytes)
		if err != nil {
			c.end(closeReasonOf(err))
			c.rejectUnreadable(err)
			return
		}
		if s.clientConns.setState(c.tracked, http.StateActive) { // evicted, but the request came first: it stays open
			c.updateReadDeadline(time.Time{})
		}
		m, problem := parseRequest(h)
		m.detach()
		c.heads.Discard()
		if problem != nil {
			c.end(closedInvalid)
			c.sendError(problem, true)
			return
		}
		c.lastID = m.id
		m.began = began
		if first {
			writer.Go(c.writeResponses)
		}
		if !c.handle(m) {
			return
		}
		s.clientConns.startRequest(c.tracked)
		c.startHeadTimeout()
		if c.reader.Buffered() > 0 {
			c.pauseIfBusy()
		}
	}
}

// NetConn returns the connection that c wraps.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and records the arrival of bytes.
func (c *clientConn) Read(p []byte) (int, error) {
	if n := c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordArrival()
	}
	return n, err
}

func (c *clientConn) recordArrival() {
	c.lastArrival = arrival{at: time.Now(), rules: c.server.handler.RequestRules()}
	c.lastReceived.Store(c.lastArrival.at.UnixNano())
}

// updateReadDeadline sets the read deadline; zero means none.
func (c *clientConn) updateReadDeadline(deadline time.Time) {
	c.readDeadline = deadline
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection, where the next read fails too
}

// mustAwaitClient reports whether a read of the connection waits for the client: nothing it sent is unread.
func (c *clientConn) mustAwaitClient() bool {
	return c.reader.Buffered() == 0 && !c.hasReadAhead() && !c.hasPollEvent(unix.POLLIN)
}

// startHeadTimeout bounds the reading of a further request's head, whose first byte has arrived. It sets no deadline if
// the whole head has arrived.
func (c *clientConn) startHeadTimeout() {
	if b, _ := c.reader.Peek(c.reader.Buffered()); !bytes.Contains(b, headEnd) { // usually the whole head has arrived
		c.updateReadDeadline(time.Now().Add(headTimeout))
	}
}

var headEnd = []byte("\r\n\r\n")

// rejectUnreadable responds to a malformed or too long head. After any other read error, such as a timeout, the client
// gets no response.
func (c *clientConn) rejectUnreadable(err error) {
	switch {
	case errors.Is(err, http1.ErrMalformedHead):
		c.sendError(&requestError{status: http.StatusBadRequest, text: "malformed request"}, true)
	case errors.Is(err, http1.ErrHeadTooLong):
		c.sendError(&requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is over 16 KiB"}, true)
	case errors.Is(err, http1.ErrTooManyFields):
		c.sendError(&requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head has over 128 fields"}, true)
	case errors.Is(err, http1.ErrNoMemory):
		c.sendError(errNoMemory(), true)
	}
}

// handle serves one request and waits for the next. It reports whether there is a next one.
func (c *clientConn) handle(m requestHead) bool {
	s := c.server
	// A connection over the limit still gets a response, and closes with it to free its descriptor.
	overLimit := !s.awaitCapacity(c.tracked)
	c.http10 = m.minor == 0
	c.closeAfterResponse = overLimit || c.isLastRequest(&m)
	if m.isReadinessCheck() {
		return c.handleReadinessCheck(m)
	}
	if overLimit {
		c.rejectRequest(&m, &requestError{status: http.StatusServiceUnavailable, text: "too many connections"})
		return c.end(closedOverLimit)
	}
	x, problem := s.readRequest(c, &m)
	if problem != nil {
		c.rejectRequest(&m, problem)
		return c.end(closedRejected)
	}
	s.handler.AddOpenRequests(1)
	c.responsePending.Store(true)
	c.exchange = x
	s.handler.HandleRequest(x)
	if x.upload != nil && !x.upload.receive() {
		if <-c.responseWritten { // the handler responds to the incomplete body
			c.linger(earlyResponseLinger)
		}
		return c.end(closedBodyUnread)
	}
	if !c.awaitNextRequest(x) {
		return false
	}
	open := c.awaitResponse()
	if !open {
		c.linger(lastResponseLinger) // part of a further request may be unread
		c.end(closedLastResponse)
	}
	return open
}

// isLastRequest reports whether the connection ends after the response to m.
func (c *clientConn) isLastRequest(m *requestHead) bool {
	// A stopping node keeps its connections, since closing them would move their load to the other nodes.
	crowded := !c.server.Stopping.Load() && c.server.clientConns.isCrowded(c.tracked)
	return m.Close || c.http10 && !m.KeepAlive || m.Chunked || crowded
}

// rejectRequest responds with an error to a request that isn't passed to the handler.
func (c *clientConn) rejectRequest(m *requestHead, problem *requestError) {
	if class, known := m.acceptedClass(); known && !problem.incomplete {
		c.server.handler.ResponseCounter(class.Name).Count(problem.status)
	}
	c.sendError(problem, m.Chunked || m.Length > int64(c.reader.Buffered()))
}

// handleReadinessCheck responds to a load balancer's readiness check and waits for the next request. It reports whether
// there is a next one.
func (c *clientConn) handleReadinessCheck(m requestHead) bool {
	resp := Response{Status: http.StatusOK}
	if !c.server.handler.NodeReady() {
		resp.Status = http.StatusServiceUnavailable
	}
	c.closeAfterResponse = c.closeAfterResponse || m.Length != 0 // the body stays unread
	if err := c.sendResponse(resp); err != nil || c.closeAfterResponse {
		return c.end(closedLastResponse)
	}
	c.server.clientConns.setState(c.tracked, http.StateIdle)
	return c.awaitNextRequest(nil)
}

// awaitNextRequest waits for the next request and reports whether there is one. It notifies the handler if the client
// disconnects before the response to x. x is nil if the last request needed no handler.
func (c *clientConn) awaitNextRequest(x *Exchange) bool {
	if c.readDeadline.IsZero() {
		c.updateReadDeadline(time.Now().Add(IdleTimeout / 2))
	}
	for c.reader.Buffered() == 0 {
		_, err := c.reader.Peek(1)
		c.busySince = c.lastArrival.at // the client sends one request at a time
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			if c.responsePending.Load() && x != nil {
				x.disconnected.Store(true)
				c.server.handler.HandleDisconnect(x)
			}
			return c.end(closedByClient) // a client that only closed its sending side counts as disconnected too
		case c.server.clientConns.isExpired(c.tracked, time.Now()) || c.server.closing.Load() && !c.responsePending.Load():
			return c.end(closedIdle)
		}
		// The connection isn't expired: the deadline was set by an earlier wait, or the current request takes long.
		c.updateReadDeadline(time.Now().Add(IdleTimeout / 2))
	}
	return true
}

// finishRequest counts the current request as ended, unless it was already counted.
func (c *clientConn) finishRequest() {
	if !c.responsePending.CompareAndSwap(true, false) {
		return
	}
	c.server.handler.AddOpenRequests(-1)
	if c.exchange.upload != nil {
		c.exchange.upload.close()
	}
	c.exchange.held.Release()
}

// linger closes the sending side and discards, for up to d, what the client still sends after the last response.
// Closing with unread bytes would reset the connection, and the client might lose the response.
func (c *clientConn) linger(d time.Duration) {
	closer, ok := underlyingConn(c).(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	c.updateReadDeadline(time.Now().Add(d))
	buf := http1.GetCopyBuffer()
	defer http1.PutCopyBuffer(buf)
	for {
		waitedFrom := time.Now()
		_, err := c.Conn.Read(buf[:])
		if err != nil {
			return
		}
		c.recordWait(waitedFrom)
		c.pauseIfBusy()
	}
}

// awaitResponse waits until the response is written, while a further request has begun to arrive. It reports whether the
// connection stays open.
func (c *clientConn) awaitResponse() (open bool) {
	select {
	case open = <-c.responseWritten: // usually, since the client had the response before it sent the further request
		return open
	default:
	}
	waitedFrom := c.allowReadAhead()
	open = <-c.responseWritten
	c.forbidReadAhead()
	c.recordWait(waitedFrom)
	return open
}

// recordWait records that the connection's goroutine has waited since a time, so that others had their turn.
func (c *clientConn) recordWait(from time.Time) {
	if now := time.Now(); now.Sub(from) >= minWait {
		c.busySince = now
	}
}

// pauseIfBusy pauses the connection's goroutine if it has worked for long without waiting: its client sends faster than the
// node can read. With few cores the other connections would hardly be served otherwise.
func (c *clientConn) pauseIfBusy() {
	if time.Since(c.busySince) < maxBusyTime {
		return
	}
	time.Sleep(busyPause)
	c.busySince = time.Now()
}
