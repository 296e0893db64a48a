package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
	"golang.org/x/sys/unix"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/upstream"
)

const (
	lastAnswerLinger   = 500 * time.Millisecond // after a last answer that the client may not expect, to read it
	minAcceptBackoff   = 5 * time.Millisecond   // after a failed accept, doubled up to acceptMost
	maxAcceptBackoff   = 250 * time.Millisecond
	minSendBufferBytes = 4 << 10 // bytes that the kernel takes for a client who reads nothing
)

// requestHead is a client's request as it came: the head, and how its body is framed.
type requestHead struct {
	http1.Framing
	minor           int    // of HTTP/1
	method          string // and what else of it is used; empty where it isn't there
	path            string // and query
	host            string
	expectsContinue bool // to be told to send the body

	id, class, tenant, deadlineMillis, idempotencyKey, warmKey, costHint, retry, contentType string
}

// clientConn is one connection on the clients' side. One goroutine reads it, request after request, and so
// sees the client leave while an answer is awaited. Another writes the loop's answers.
type clientConn struct {
	net.Conn
	server       *Server
	tracked      *trackedConn
	lastReceived atomic.Int64 // when something last came, in Unix nanoseconds; 0 for never
	reader       *bufio.Reader
	heads        http1.HeadReader
	readDeadline time.Time     // the deadline for reading; zero for none
	reply        chan Answer   // from the loop, for the request in hand
	answered     chan bool     // from the writer, after each answer: whether the connection goes on
	closed       chan struct{} // closed at the connection's end

	// The request in hand; set before the loop has it, and read by the writer once the loop has answered.
	exchange         *Exchange
	closeAfterAnswer bool // the answer ends the connection
	http10           bool // HTTP/1.0
	answerPending    atomic.Bool
	writeBuffer      []byte
	writeDeadline    time.Time // the deadline for writing
	bytesSent        int64     // bytes of answers, over the connection
}

var readBuffers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// Accept serves the connections that come at l until it is closed.
func (s *Server) Accept(l net.Listener) error {
	s.conns.Add(1) // so that shutdown, which comes after l is closed, waits for what is accepted last
	defer s.conns.Done()
	pause := minAcceptBackoff
	for {
		conn, err := l.Accept()
		switch ne := net.Error(nil); {
		case err == nil:
			pause = minAcceptBackoff
			s.conns.Add(1)
			go s.newClientConn(conn).serve()
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &ne): // no descriptor is left, or the client has gone again
			slog.Warn("accepting a client", "err", err)
			time.Sleep(pause)
			pause = min(maxAcceptBackoff, 2*pause)
		default:
			return err
		}
	}
}

// Shutdown ends the connections that have no request, waits for the others until end, and closes what is
// still open then.
func (s *Server) Shutdown(end time.Time) {
	s.closing.Store(true)
	s.clientConns.closeIdle()
	closed := make(chan struct{})
	go func() {
		s.conns.Wait()
		close(closed)
	}()
	timeout := time.NewTimer(time.Until(end))
	defer timeout.Stop()
	select {
	case <-closed:
	case <-timeout.C:
		s.clientConns.closeAll()
		<-closed
	}
}

// newClientConn takes a connection in.
func (s *Server) newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, server: s, reader: readBuffers.Get().(*bufio.Reader), reply: make(chan Answer, 1),
		answered: make(chan bool, 1), closed: make(chan struct{})}
	c.tracked = s.clientConns.add(c)
	c.reader.Reset(c)
	return c
}

// serve reads the connection to its end.
func (c *clientConn) serve() {
	s := c.server
	defer s.conns.Done()
	var writer sync.WaitGroup
	defer func() {
		if problem := recover(); problem != nil { // costs this client, and not the node
			slog.Error("serving a client", "problem", problem, "stack", string(debug.Stack()))
		}
		c.Close()
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
		if s.clientConns.setState(c.tracked, http.StateActive) { // it was to give way, and has come in time
			c.boundRead(time.Time{})
		}
		m, bad := parseRequest(h)
		if bad != nil {
			c.sendError(bad, true)
			return
		}
		if first {
			writer.Go(c.writeAnswers)
		}
		if !c.handle(m) {
			return
		}
		s.clientConns.startRequest(c.tracked)
		c.boundHead()
	}
}

// NetConn is the connection that c wraps.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Read notes when something comes.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// boundRead sets when reading ends; zero for never.
func (c *clientConn) boundRead(to time.Time) {
	c.readDeadline = to
	_ = c.SetReadDeadline(to)
}

// boundHead bounds the reading of a further head, the first of which is there.
func (c *clientConn) boundHead() {
	if b, _ := c.reader.Peek(c.reader.Buffered()); !bytes.Contains(b, headEnd) { // it nearly always is there whole
		c.boundRead(time.Now().Add(headTimeout))
	}
}

var headEnd = []byte("\r\n\r\n")

// rejectUnreadable ends a connection whose next request can't be read. Whoever sent nothing of one, or is too slow,
// gets no answer.
func (c *clientConn) rejectUnreadable(err error) {
	switch {
	case errors.Is(err, http1.ErrMalformedHead):
		c.sendError(&requestError{status: http.StatusBadRequest, text: "malformed request"}, true)
	case errors.Is(err, http1.ErrHeadTooLong):
		c.sendError(&requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is over 16 KiB"}, true)
	}
}

// parseRequest reads a head, or says what is wrong with it.
func parseRequest(h *http1.Head) (m requestHead, problem *requestError) {
	problem = &requestError{status: http.StatusBadRequest, text: "malformed request line"}
	method, line, _ := strings.Cut(h.FirstLine, " ")
	target, version, ok := strings.Cut(line, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) || !strings.HasPrefix(version, "HTTP/") {
		return m, problem
	}
	if m.minor, ok = http1.ParseVersion(version); !ok {
		return m, &requestError{status: http.StatusHTTPVersionNotSupported, text: "want HTTP/1.1"}
	}
	var err error
	if m.Framing, err = h.Framing(); err != nil || m.Chunked && m.minor == 0 {
		return m, &requestError{status: http.StatusBadRequest, text: http1.ErrAmbiguousFraming.Error()}
	}
	if !m.Chunked && m.Length < 0 {
		m.Length = 0
	}
	m.method = method
	hosts := 0
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, "Host") {
			hosts++
		} else if strings.EqualFold(f.Name, "Expect") {
			if m.expectsContinue = strings.EqualFold(f.Value, "100-continue"); !m.expectsContinue {
				return m, &requestError{status: http.StatusExpectationFailed, text: "Expect: want 100-continue"}
			}
		}
	}
	m.host = h.Get("Host")
	if hosts > 1 || hosts == 0 && m.minor > 0 || !httpguts.ValidHostHeader(m.host) {
		return m, &requestError{status: http.StatusBadRequest, text: "Host: want exactly one"}
	}
	if !m.setTarget(target) {
		return m, problem
	}
	m.id, m.class, m.tenant = h.Get("X-Request-Id"), h.Get("X-Class"), h.Get("X-Tenant")
	m.deadlineMillis, m.idempotencyKey, m.warmKey = h.Get("X-Deadline-Ms"), h.Get("Idempotency-Key"), h.Get("X-Key")
	m.costHint, m.retry, m.contentType = h.Get("X-Cost-Hint"), h.Get("X-Retry"), h.Get("Content-Type")
	return m, nil
}

// setTarget takes in what the request is for. It goes on as it came.
func (m *requestHead) setTarget(target string) bool {
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] > '~' {
			return false
		}
	}
	if strings.HasPrefix(target, "/") {
		m.path = target
		if !strings.Contains(target, "%") {
			return true
		}
		_, err := url.ParseRequestURI(target)
		return err == nil
	}
	u, err := url.ParseRequestURI(target) // a whole URL, as sent to a proxy
	if err != nil || u.Host == "" {
		return false
	}
	m.host, m.path = u.Host, u.RequestURI()
	return true
}

// openBody reads the body of m from r.
func (m *requestHead) openBody(r *bufio.Reader) io.Reader {
	if m.Chunked {
		return http1.NewChunkedBody(r)
	}
	return &http1.SizedBody{Reader: r, Remaining: m.Length}
}

// handle serves one request, and waits for what comes next. It tells whether there is something.
func (c *clientConn) handle(m requestHead) bool {
	s := c.server
	// Over its part of the descriptors the node still answers, and gets the descriptor back.
	full := !s.awaitCapacity(c.tracked)
	// A node that stops gets no new connections, and its clients are best kept: the others have to bear
	// whoever leaves.
	crowded := !s.Stopping.Load() && s.clientConns.isCrowded(c.tracked)
	c.http10 = m.minor == 0
	c.closeAfterAnswer = m.Close || c.http10 && !m.KeepAlive || m.Chunked || full || crowded
	if path, _, _ := strings.Cut(m.path, "?"); path == ReadyPath &&
		(m.method == http.MethodGet || m.method == http.MethodHead) {
		return c.answerReadiness(m)
	}
	bad := &requestError{status: http.StatusServiceUnavailable, text: "too many connections"}
	var x *Exchange
	if !full {
		x, bad = s.readRequest(c, &m)
	}
	if bad != nil {
		class, _, known := s.loop.terms.Load().class(m.class, m.method, m.idempotencyKey != "")
		if known && !bad.incomplete {
			s.loop.fig.class(class.Name).count(bad.status)
		}
		c.sendError(bad, m.Chunked || m.Length > int64(c.reader.Buffered()))
		return false
	}
	s.loop.fig.open.Add(1)
	c.answerPending.Store(true)
	c.exchange = x
	s.loop.send(arrival{x})
	if x.upload != nil {
		<-x.upload.done
		if !x.upload.complete.Load() { // the loop knows why, and answers
			if <-c.answered {
				c.linger(earlyAnswerLinger)
			}
			return false
		}
	}
	if !c.awaitNextRequest(x) {
		return false
	}
	goesOn := <-c.answered
	if !goesOn {
		c.linger(lastAnswerLinger) // for what is behind the request
	}
	return goesOn
}

// answerReadiness tells the front whether the node may be taken in.
func (c *clientConn) answerReadiness(m requestHead) bool {
	a := Answer{Status: http.StatusOK}
	if !c.server.ready() {
		a.Status = http.StatusServiceUnavailable
	}
	c.closeAfterAnswer = c.closeAfterAnswer || m.Length != 0 // nobody reads that body
	if err := c.sendAnswer(a); err != nil || c.closeAfterAnswer {
		return false
	}
	c.server.clientConns.setState(c.tracked, http.StateIdle)
	return c.awaitNextRequest(nil)
}

// awaitNextRequest waits for the next request, and sees the client of x leave before it is answered. It tells whether
// there is a next one.
func (c *clientConn) awaitNextRequest(x *Exchange) bool {
	if c.readDeadline.IsZero() {
		c.boundRead(time.Now().Add(clientIdleTimeout / 2))
	}
	for c.reader.Buffered() == 0 {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			if c.answerPending.Load() && x != nil {
				x.clientGone.Store(true)
				c.server.loop.send(departure{x})
			}
			return false // to be answered now would be to be served, where only one side was closed
		case c.server.clientConns.isExpired(c.tracked, time.Now()) || c.server.closing.Load() && !c.answerPending.Load():
			return false
		}
		// The deadline was that of an earlier wait, or the request in hand takes long.
		c.boundRead(time.Now().Add(clientIdleTimeout / 2))
	}
	return true
}

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

// finishRequest books the end of the request in hand, once.
func (c *clientConn) finishRequest() {
	if c.answerPending.CompareAndSwap(true, false) {
		c.server.loop.fig.open.Add(-1)
	}
}

// writeAnswers writes the answers to what is read, until the connection's end.
func (c *clientConn) writeAnswers() {
	for {
		select {
		case a := <-c.reply:
			whole, early := c.writeAnswer(a)
			goesOn := whole && (early || !c.closeAfterAnswer)
			c.finishRequest()
			if goesOn && !c.closeAfterAnswer {
				c.server.clientConns.setState(c.tracked, http.StateIdle)
			}
			if !goesOn && (!whole || !c.hasPollEvent(unix.POLLIN)) { // else its reader sees that, and closes
				c.Close()
			}
			c.answered <- goesOn
			if !goesOn {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// writeAnswer writes the client's answer, and tells whether that is whole, and whether it came early: then the connection
// is read on all the same, so that the client gets it.
func (c *clientConn) writeAnswer(a Answer) (whole, early bool) {
	x := c.exchange
	early = x.upload != nil && !x.upload.complete.Load()
	if early {
		x.upload.stop()
		c.closeAfterAnswer = true
	}
	if a.Stream != nil {
		return c.streamAnswer(a), false
	}
	if !early || a.Status >= http.StatusInternalServerError {
		x.tally.count(a.Status)
	}
	a.Length = int64(len(a.Body))
	return c.sendAnswer(a) == nil, early
}

// streamAnswer passes a long answer on. One that breaks off ends the connection, so that the client can tell.
func (c *clientConn) streamAnswer(a Answer) bool {
	conn := tcpConn(c)
	if conn != nil {
		_ = conn.SetWriteBuffer(clientSendBufferBytes)
	}
	to := io.Writer(c.Conn)
	if a.Length < 0 && c.http10 {
		c.closeAfterAnswer = true // its end is the connection's
	} else if a.Length < 0 {
		to = http1.ChunkWriter{Conn: c}
	}
	c.writeDeadline, c.bytesSent = time.Time{}, minSendBufferBytes+1
	c.boundWrite(answerWriteTimeout)
	if _, err := c.Write(c.answerHead(a)); err != nil {
		c.Close() // so that nothing is passed on behind half a head
	}
	err := a.Stream.CopyTo(to, c, a.Body)
	if err == nil && a.Length < 0 && !c.http10 {
		_, err = io.WriteString(c, http1.LastChunk)
	}
	c.writeDeadline = time.Time{}
	switch {
	case err == nil || errors.Is(err, upstream.ErrClientGone):
		c.exchange.tally.count(a.Status)
	default:
		c.exchange.tally.count(http.StatusBadGateway)
		if conn != nil && a.Length < 0 && c.http10 { // a plain close would mean the end
			_ = conn.SetLinger(0)
		}
	}
	return err == nil
}

// boundWrite bounds what is written next: a client that reads nothing must not hold the writer for ever. A
// deadline that ends at most twice as late is as good, and the first few bytes of a connection need none.
func (c *clientConn) boundWrite(d time.Duration) {
	if c.bytesSent <= minSendBufferBytes {
		return
	}
	now := time.Now()
	if c.writeDeadline.Before(now.Add(d)) {
		c.writeDeadline = now.Add(2 * d)
		_ = c.SetWriteDeadline(c.writeDeadline)
	}
}

// sendAnswer writes a whole answer.
func (c *clientConn) sendAnswer(a Answer) error {
	b := c.answerHead(a)
	c.bytesSent += int64(len(b) + len(a.Body))
	c.boundWrite(answerWriteTimeout)
	var err error
	c.writeBuffer, err = http1.WriteMessage(c, b, a.Body)
	return err
}

// answerHead writes the head of an answer. Whether the connection goes on is settled here, and not when the request
// came: a node that was told to stop since has no more time for another one.
func (c *clientConn) answerHead(a Answer) []byte {
	c.closeAfterAnswer = c.closeAfterAnswer || c.server.Draining.Load()
	b := append(c.writeBuffer[:0], "HTTP/1."...)
	if c.http10 {
		b = append(b, '0')
	} else {
		b = append(b, '1')
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\nDate: "...)
	b = append(b, dateText(time.Now())...)
	b = http1.AppendField(b, "Content-Type", a.ContentType)
	b = http1.AppendField(b, "Allow", a.AllowedMethod)
	if a.RetryAfter > 0 {
		b = http1.AppendField(b, "Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if a.Length >= 0 || !c.http10 {
		b = http1.AppendBodyFraming(b, a.Length)
	}
	switch {
	case c.closeAfterAnswer:
		b = append(b, "\r\nConnection: close"...)
	case c.http10:
		b = append(b, "\r\nConnection: keep-alive"...)
	}
	b = append(b, "\r\n\r\n"...)
	c.writeBuffer = b
	return b
}

// dated is the text of one second.
type dated struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[dated]

func dateText(now time.Time) string {
	d := lastDate.Load()
	if d == nil || d.second != now.Unix() {
		d = &dated{now.Unix(), now.UTC().Format(http.TimeFormat)}
		lastDate.Store(d)
	}
	return d.text
}

// sendError answers what isn't taken, and ends the connection, at once where nothing is left unread: no client
// of ours sends such, and its descriptor is wanted.
func (c *clientConn) sendError(problem *requestError, unread bool) {
	c.closeAfterAnswer = true
	a := Answer{Status: problem.status, Body: []byte(problem.text + "\n"), ContentType: "text/plain; charset=utf-8", AllowedMethod: problem.allowedMethod}
	a.Length = int64(len(a.Body))
	if c.sendAnswer(a) != nil || problem.status == http.StatusRequestTimeout { // its time is up
		return
	}
	if unread || c.hasPollEvent(unix.POLLIN) {
		c.linger(lastAnswerLinger)
	}
}

// sendContinue tells a client that waits for it to send its body.
func (c *clientConn) sendContinue(m *requestHead) error {
	if !m.expectsContinue || m.minor == 0 || c.reader.Buffered() > 0 {
		return nil
	}
	const text = "HTTP/1.1 100 Continue\r\n\r\n"
	c.bytesSent += int64(len(text))
	c.boundWrite(answerWriteTimeout)
	_, err := io.WriteString(c, text)
	return err
}

// linger reads for a while what a client still sends after its last answer: a close at once would reset the
// connection, and the answer with it.
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
