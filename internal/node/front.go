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
	closeLinger = 500 * time.Millisecond // after a last answer that the client may not expect, to read it
	acceptPause = 5 * time.Millisecond   // after a failed accept, doubled up to acceptMost
	acceptMost  = 250 * time.Millisecond
	fitsAlways  = 4 << 10 // bytes that the kernel takes for a client who reads nothing
)

// message is a client's request as it came: the head, and how its body is framed.
type message struct {
	http1.Framing
	minor   int    // of HTTP/1
	method  string // and what else of it is used; empty where it isn't there
	path    string // and query
	host    string
	expects bool // to be told to send the body

	id, class, tenant, deadline, key, warmKey, hint, retry, contentType string
}

// client is one connection on the clients' side. One goroutine reads it, request after request, and so
// sees the client leave while an answer is awaited. Another writes the loop's answers.
type client struct {
	net.Conn
	s      *server
	peer   *peer
	heard  atomic.Int64 // when something last came, in Unix nanoseconds; 0 for never
	r      *bufio.Reader
	heads  http1.HeadReader
	readTo time.Time     // the deadline for reading; zero for none
	reply  chan answer   // from the loop, for the request in hand
	done   chan bool     // from the writer, after each answer: whether the connection goes on
	gone   chan struct{} // closed at the connection's end

	// The request in hand; set before the loop has it, and read by the writer once the loop has answered.
	x     *exchange
	last  bool // the answer ends the connection
	old   bool // HTTP/1.0
	owed  atomic.Bool
	out   []byte
	outTo time.Time // the deadline for writing
	sent  int64     // bytes of answers, over the connection
}

var inBuffers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// accept serves the connections that come at l until it is closed.
func (s *server) accept(l net.Listener) error {
	s.open.Add(1) // so that shutdown, which comes after l is closed, waits for what is accepted last
	defer s.open.Done()
	pause := acceptPause
	for {
		conn, err := l.Accept()
		switch ne := net.Error(nil); {
		case err == nil:
			pause = acceptPause
			s.open.Add(1)
			go s.newClient(conn).serve()
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &ne): // no descriptor is left, or the client has gone again
			slog.Warn("accepting a client", "err", err)
			time.Sleep(pause)
			pause = min(acceptMost, 2*pause)
		default:
			return err
		}
	}
}

// shutdown ends the connections that have no request, waits for the others until end, and closes what is
// still open then.
func (s *server) shutdown(end time.Time) {
	s.closing.Store(true)
	s.peers.end()
	closed := make(chan struct{})
	go func() {
		s.open.Wait()
		close(closed)
	}()
	timeout := time.NewTimer(time.Until(end))
	defer timeout.Stop()
	select {
	case <-closed:
	case <-timeout.C:
		s.peers.closeAll()
		<-closed
	}
}

// newClient takes a connection in.
func (s *server) newClient(conn net.Conn) *client {
	c := &client{Conn: conn, s: s, r: inBuffers.Get().(*bufio.Reader), reply: make(chan answer, 1),
		done: make(chan bool, 1), gone: make(chan struct{})}
	c.peer = s.peers.enter(c)
	c.r.Reset(c)
	return c
}

// serve reads the connection to its end.
func (c *client) serve() {
	s := c.s
	defer s.open.Done()
	var writer sync.WaitGroup
	defer func() {
		if problem := recover(); problem != nil { // costs this client, and not the node
			slog.Error("serving a client", "problem", problem, "stack", string(debug.Stack()))
		}
		c.Close()
		close(c.gone)
		writer.Wait()
		c.settle()
		s.peers.leave(c)
		c.r.Reset(nil)
		inBuffers.Put(c.r)
	}()
	c.readUntil(time.Now().Add(headerTimeout))
	for first := true; ; first = false {
		h, err := c.heads.Read(c.r, http1.MaxHeadBytes)
		if err != nil {
			c.reject(err)
			return
		}
		if s.peers.become(c.peer, http.StateActive) { // it was to give way, and has come in time
			c.readUntil(time.Time{})
		}
		m, bad := parseRequest(h)
		if bad != nil {
			c.refuse(bad, true)
			return
		}
		if first {
			writer.Go(c.write)
		}
		if !c.handle(m) {
			return
		}
		s.peers.begin(c.peer)
		c.boundHead()
	}
}

// NetConn is the connection that c wraps.
func (c *client) NetConn() net.Conn { return c.Conn }

// Read notes when something comes.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// readUntil sets when reading ends; zero for never.
func (c *client) readUntil(to time.Time) {
	c.readTo = to
	_ = c.SetReadDeadline(to)
}

// boundHead bounds the reading of a further head, the first of which is there.
func (c *client) boundHead() {
	if b, _ := c.r.Peek(c.r.Buffered()); !bytes.Contains(b, headEnd) { // it nearly always is there whole
		c.readUntil(time.Now().Add(headerTimeout))
	}
}

var headEnd = []byte("\r\n\r\n")

// reject ends a connection whose next request can't be read. Whoever sent nothing of one, or is too slow,
// gets no answer.
func (c *client) reject(err error) {
	switch {
	case errors.Is(err, http1.ErrMalformedHead):
		c.refuse(&fault{status: http.StatusBadRequest, text: "malformed request"}, true)
	case errors.Is(err, http1.ErrHeadTooLong):
		c.refuse(&fault{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is over 16 KiB"}, true)
	}
}

// parseRequest reads a head, or says what is wrong with it.
func parseRequest(h *http1.Head) (m message, bad *fault) {
	bad = &fault{status: http.StatusBadRequest, text: "malformed request line"}
	method, line, _ := strings.Cut(h.FirstLine, " ")
	target, version, ok := strings.Cut(line, " ")
	if !ok || !httpguts.ValidHeaderFieldName(method) || !strings.HasPrefix(version, "HTTP/") {
		return m, bad
	}
	if m.minor, ok = http1.ParseVersion(version); !ok {
		return m, &fault{status: http.StatusHTTPVersionNotSupported, text: "want HTTP/1.1"}
	}
	var err error
	if m.Framing, err = h.Framing(); err != nil || m.Chunked && m.minor == 0 {
		return m, &fault{status: http.StatusBadRequest, text: http1.ErrAmbiguousFraming.Error()}
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
			if m.expects = strings.EqualFold(f.Value, "100-continue"); !m.expects {
				return m, &fault{status: http.StatusExpectationFailed, text: "Expect: want 100-continue"}
			}
		}
	}
	m.host = h.Get("Host")
	if hosts > 1 || hosts == 0 && m.minor > 0 || !httpguts.ValidHostHeader(m.host) {
		return m, &fault{status: http.StatusBadRequest, text: "Host: want exactly one"}
	}
	if !m.target(target) {
		return m, bad
	}
	m.id, m.class, m.tenant = h.Get("X-Request-Id"), h.Get("X-Class"), h.Get("X-Tenant")
	m.deadline, m.key, m.warmKey = h.Get("X-Deadline-Ms"), h.Get("Idempotency-Key"), h.Get("X-Key")
	m.hint, m.retry, m.contentType = h.Get("X-Cost-Hint"), h.Get("X-Retry"), h.Get("Content-Type")
	return m, nil
}

// target takes in what the request is for. It goes on as it came.
func (m *message) target(target string) bool {
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

// body reads the body of m from r.
func (m *message) body(r *bufio.Reader) io.Reader {
	if m.Chunked {
		return http1.NewChunkedBody(r)
	}
	return &http1.SizedBody{Reader: r, Remaining: m.Length}
}

// handle serves one request, and waits for what comes next. It tells whether there is something.
func (c *client) handle(m message) bool {
	s := c.s
	// Over its part of the descriptors the node still answers, and gets the descriptor back.
	full := !s.place(c.peer)
	// A node that stops gets no new connections, and its clients are best kept: the others have to bear
	// whoever leaves.
	crowded := !s.stopping.Load() && s.peers.crowded(c.peer)
	c.old = m.minor == 0
	c.last = m.Close || c.old && !m.KeepAlive || m.Chunked || full || crowded
	if path, _, _ := strings.Cut(m.path, "?"); path == readyPath &&
		(m.method == http.MethodGet || m.method == http.MethodHead) {
		return c.health(m)
	}
	bad := &fault{status: http.StatusServiceUnavailable, text: "too many connections"}
	var x *exchange
	if !full {
		x, bad = s.read(c, &m)
	}
	if bad != nil {
		class, _, known := s.loop.terms.Load().class(m.class, m.method, m.key != "")
		if known && !bad.cut {
			s.loop.fig.class(class.Name).count(bad.status)
		}
		c.refuse(bad, m.Chunked || m.Length > int64(c.r.Buffered()))
		return false
	}
	s.loop.fig.open.Add(1)
	c.owed.Store(true)
	c.x = x
	s.loop.send(arrival{x})
	if x.rest != nil {
		<-x.rest.over
		if !x.rest.whole.Load() { // the loop knows why, and answers
			if <-c.done {
				c.linger(lingerFor)
			}
			return false
		}
	}
	if !c.watch(x) {
		return false
	}
	goesOn := <-c.done
	if !goesOn {
		c.linger(closeLinger) // for what is behind the request
	}
	return goesOn
}

// health tells the front whether the node may be taken in.
func (c *client) health(m message) bool {
	a := answer{status: http.StatusOK}
	if !c.s.ready() {
		a.status = http.StatusServiceUnavailable
	}
	c.last = c.last || m.Length != 0 // nobody reads that body
	if err := c.send(a); err != nil || c.last {
		return false
	}
	c.s.peers.become(c.peer, http.StateIdle)
	return c.watch(nil)
}

// watch waits for the next request, and sees the client of x leave before it is answered. It tells whether
// there is a next one.
func (c *client) watch(x *exchange) bool {
	if c.readTo.IsZero() {
		c.readUntil(time.Now().Add(clientIdle / 2))
	}
	for c.r.Buffered() == 0 {
		_, err := c.r.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			if c.owed.Load() && x != nil {
				x.left.Store(true)
				c.s.loop.send(departure{x})
			}
			return false // to be answered now would be to be served, where only one side was closed
		case c.s.peers.expired(c.peer, time.Now()) || c.s.closing.Load() && !c.owed.Load():
			return false
		}
		// The deadline was that of an earlier wait, or the request in hand takes long.
		c.readUntil(time.Now().Add(clientIdle / 2))
	}
	return true
}

// hungUp asks the socket whether the client has closed or reset the connection, also behind bytes that are unread.
func (c *client) hungUp() bool { return c.polled(unix.POLLRDHUP) }

// polled asks the socket for a sign, as poll names it.
func (c *client) polled(sign int16) (there bool) {
	conn := tcp(c)
	if conn == nil {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	look := func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: sign}}
		n, err := unix.Poll(p, 0)
		there = n > 0 && err == nil
	}
	return raw.Control(look) != nil || there
}

// settle books the end of the request in hand, once.
func (c *client) settle() {
	if c.owed.CompareAndSwap(true, false) {
		c.s.loop.fig.open.Add(-1)
	}
}

// write writes the answers to what is read, until the connection's end.
func (c *client) write() {
	for {
		select {
		case a := <-c.reply:
			whole, early := c.answer(a)
			goesOn := whole && (early || !c.last)
			c.settle()
			if goesOn && !c.last {
				c.s.peers.become(c.peer, http.StateIdle)
			}
			if !goesOn && (!whole || !c.polled(unix.POLLIN)) { // else its reader sees that, and closes
				c.Close()
			}
			c.done <- goesOn
			if !goesOn {
				return
			}
		case <-c.gone:
			return
		}
	}
}

// answer writes the client's answer, and tells whether that is whole, and whether it came early: then the connection
// is read on all the same, so that the client gets it.
func (c *client) answer(a answer) (whole, early bool) {
	x := c.x
	early = x.rest != nil && !x.rest.whole.Load()
	if early {
		x.rest.stop()
		c.last = true
	}
	if a.rest != nil {
		return c.stream(a), false
	}
	if !early || a.status >= http.StatusInternalServerError {
		x.tally.count(a.status)
	}
	a.length = int64(len(a.body))
	return c.send(a) == nil, early
}

// stream passes a long answer on. One that breaks off ends the connection, so that the client can tell.
func (c *client) stream(a answer) bool {
	conn := tcp(c)
	if conn != nil {
		_ = conn.SetWriteBuffer(clientBuffer)
	}
	to := io.Writer(c.Conn)
	if a.length < 0 && c.old {
		c.last = true // its end is the connection's
	} else if a.length < 0 {
		to = http1.ChunkWriter{Conn: c}
	}
	c.outTo, c.sent = time.Time{}, fitsAlways+1
	c.writeBy(writeTimeout)
	if _, err := c.Write(c.head(a)); err != nil {
		c.Close() // so that nothing is passed on behind half a head
	}
	err := a.rest.CopyTo(to, c, a.body)
	if err == nil && a.length < 0 && !c.old {
		_, err = io.WriteString(c, http1.LastChunk)
	}
	c.outTo = time.Time{}
	switch {
	case err == nil || errors.Is(err, upstream.ErrClientGone):
		c.x.tally.count(a.status)
	default:
		c.x.tally.count(http.StatusBadGateway)
		if conn != nil && a.length < 0 && c.old { // a plain close would mean the end
			_ = conn.SetLinger(0)
		}
	}
	return err == nil
}

// writeBy bounds what is written next: a client that reads nothing must not hold the writer for ever. A
// deadline that ends at most twice as late is as good, and the first few bytes of a connection need none.
func (c *client) writeBy(d time.Duration) {
	if c.sent <= fitsAlways {
		return
	}
	now := time.Now()
	if c.outTo.Before(now.Add(d)) {
		c.outTo = now.Add(2 * d)
		_ = c.SetWriteDeadline(c.outTo)
	}
}

// send writes a whole answer.
func (c *client) send(a answer) error {
	b := c.head(a)
	c.sent += int64(len(b) + len(a.body))
	c.writeBy(writeTimeout)
	var err error
	c.out, err = http1.WriteMessage(c, b, a.body)
	return err
}

// head writes the head of an answer. Whether the connection goes on is settled here, and not when the request
// came: a node that was told to stop since has no more time for another one.
func (c *client) head(a answer) []byte {
	c.last = c.last || c.s.draining.Load()
	b := append(c.out[:0], "HTTP/1."...)
	if c.old {
		b = append(b, '0')
	} else {
		b = append(b, '1')
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(a.status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.status)...)
	b = append(b, "\r\nDate: "...)
	b = append(b, dateText(time.Now())...)
	b = http1.AppendField(b, "Content-Type", a.contentType)
	b = http1.AppendField(b, "Allow", a.allow)
	if a.retryAfter > 0 {
		b = http1.AppendField(b, "Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	if a.length >= 0 || !c.old {
		b = http1.AppendBodyFraming(b, a.length)
	}
	switch {
	case c.last:
		b = append(b, "\r\nConnection: close"...)
	case c.old:
		b = append(b, "\r\nConnection: keep-alive"...)
	}
	b = append(b, "\r\n\r\n"...)
	c.out = b
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

// refuse answers what isn't taken, and ends the connection, at once where nothing is left unread: no client
// of ours sends such, and its descriptor is wanted.
func (c *client) refuse(bad *fault, unread bool) {
	c.last = true
	a := answer{status: bad.status, body: []byte(bad.text + "\n"), contentType: "text/plain; charset=utf-8", allow: bad.allow}
	a.length = int64(len(a.body))
	if c.send(a) != nil || bad.status == http.StatusRequestTimeout { // its time is up
		return
	}
	if unread || c.polled(unix.POLLIN) {
		c.linger(closeLinger)
	}
}

// wantBody tells a client that waits for it to send its body.
func (c *client) wantBody(m *message) error {
	if !m.expects || m.minor == 0 || c.r.Buffered() > 0 {
		return nil
	}
	const text = "HTTP/1.1 100 Continue\r\n\r\n"
	c.sent += int64(len(text))
	c.writeBy(writeTimeout)
	_, err := io.WriteString(c, text)
	return err
}

// linger reads for a while what a client still sends after its last answer: a close at once would reset the
// connection, and the answer with it.
func (c *client) linger(d time.Duration) {
	half, ok := under(c).(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.readUntil(time.Now().Add(d))
	block := http1.GetCopyBuffer()
	defer http1.PutCopyBuffer(block)
	for {
		if _, err := c.Conn.Read(block[:]); err != nil {
			return
		}
	}
}
