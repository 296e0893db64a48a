package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/http1"
	"sloerail/policy"
)

const (
	defaultIdleTimeout = 60 * time.Second // a connection is kept unused where the settings name no limit
	idleCheckInterval  = 5 * time.Second  // at an idle connection, for whether its server closed it
	// minReuseDelay is how long a connection rests after an answer: a server may answer twice, the second time some
	// milliseconds late, and nothing tells that from the answer to the next request.
	minReuseDelay = 10 * time.Millisecond
)

var (
	errUnknownServer  = errors.New("not in the list")
	errServerDraining = errors.New("the server was told to leave since it was chosen")
	errNoDescriptor   = errors.New("no descriptor is left for another connection")
)

// Transport makes attempts at servers, over connections that it holds itself: http.Transport sends a GET,
// or a request with an Idempotency-Key, again on its own when a reused connection breaks, and each such
// copy would be an attempt that the module never decided on.
type Transport struct {
	dialContext      dialFunc
	idleTimeout      time.Duration // an idle connection is dropped after this
	loadReportFields []string      // names of the figures of a load report, in order
	retainMissing    bool          // the module may send for a moment to what the list lacks
	requestsSent     *metrics.Counter
	descriptors      *Descriptors
	descriptorWait   time.Duration // for a descriptor

	mu        sync.Mutex
	pools     map[string]*serverPool
	openConns int // connections, those being made among them
	maxConns  int // that may be open, besides what the clients leave; 0 for no such limit
	waiters   descriptorQueue
}

// serverPool holds the idle connections to one process of one server, the last used at the end.
type serverPool struct {
	address         string
	startedAtMillis int64
	idle            []*serverConn
	missingSince    time.Time // when the list lacked it, where the module may still send to it
	draining        bool      // it drains, as the list says
}

// serverConn is a connection to a server. One attempt at a time has it.
type serverConn struct {
	net.Conn
	pool          *serverPool
	lastUsed      time.Time
	lastChecked   time.Time // when it was last known to be open
	rawConn       syscall.RawConn
	readOne       func(fd uintptr)
	nothingToRead bool
}

func newServerConn(c net.Conn, p *serverPool) *serverConn {
	made := &serverConn{Conn: c, pool: p}
	if socket, ok := c.(syscall.Conn); ok {
		made.rawConn, _ = socket.SyscallConn()
	}
	made.readOne = func(fd uintptr) {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		made.nothingToRead = err == unix.EAGAIN
	}
	return made
}

// isUsable tells whether a connection that is idle may be written to: the server has neither closed it nor said
// anything unasked. It doesn't wait.
func (c *serverConn) isUsable() bool {
	if c.rawConn == nil {
		return true
	}
	c.nothingToRead = false
	return c.rawConn.Control(c.readOne) == nil && c.nothingToRead
}

func NewTransport(c Config, shared *Descriptors, fig *figures) *Transport {
	u := &Transport{requestsSent: fig.relayed, pools: make(map[string]*serverPool), descriptors: shared, descriptorWait: descriptorWaitTimeout}
	u.Configure(c)
	return u
}

// Configure takes over what a configuration says of connections and reports.
func (u *Transport) Configure(c Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	idle := c.Settings.Allowed.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	u.dialContext = c.dialer(c.ConnectTimeout)
	u.idleTimeout = idle / 2 // what is written just as the server closes would end as a reset
	u.loadReportFields, u.retainMissing = c.Settings.ReportFields, c.Settings.RetainMissing
}

// reportFields are the figures of a load report.
func (u *Transport) reportFields() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loadReportFields
}

// dial opens a connection, until f ends.
func (u *Transport) dial(f *Lifetime, addr string) (net.Conn, error) {
	u.mu.Lock()
	dialer := u.dialContext
	u.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if due := f.startDial(cancel); !due.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, due)
		defer cancel()
	}
	return dialer(ctx, "tcp", addr)
}

// UpdateEndpoints follows the list. A server that moved or started anew gets a new pool: what was open to its
// former process is of no use.
func (u *Transport) UpdateEndpoints(n discovery.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(n.Endpoints))
	for _, m := range n.Endpoints {
		p := u.pools[m.ID]
		listed[m.ID] = true
		switch {
		case m.Availability == policy.Removed:
			u.markMissing(m.ID)
		case p == nil || p.address != m.Address || p.startedAtMillis != m.StartedAtMillis:
			u.removePool(m.ID)
			u.pools[m.ID] = &serverPool{address: m.Address, startedAtMillis: m.StartedAtMillis}
		default:
			p.missingSince = time.Time{}
		}
		if p := u.pools[m.ID]; p != nil {
			p.draining = m.Availability == policy.Draining
		}
	}
	if n.Kind == policy.ListUpdate {
		return
	}
	for id := range u.pools {
		if !listed[id] {
			u.markMissing(id)
		}
	}
}

// missingRetention is how long the way to a server is kept that the list lacks, where lists are eased: longer than the
// module does so at most.
const missingRetention = 10 * time.Second

// markMissing forgets a server that the list lacks, later where lists are eased.
func (u *Transport) markMissing(id string) {
	switch p := u.pools[id]; {
	case p == nil:
	case !u.retainMissing:
		u.removePool(id)
	case p.missingSince.IsZero():
		p.missingSince = time.Now()
	}
}

func (u *Transport) removePool(id string) {
	if p := u.pools[id]; p != nil {
		u.closeOldest(p, len(p.idle))
		delete(u.pools, id)
	}
}

// closeOldest closes the n connections of p that were idle longest.
func (u *Transport) closeOldest(p *serverPool, n int) {
	for _, c := range p.idle[:n] {
		c.Close()
	}
	p.idle = append([]*serverConn(nil), p.idle[n:]...)
	u.addOpen(-n)
}

// CloseExpired drops the connections that were idle for too long, and those that the server closed.
func (u *Transport) CloseExpired(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, p := range u.pools {
		if !p.missingSince.IsZero() && now.Sub(p.missingSince) >= missingRetention {
			u.removePool(id)
			continue
		}
		var kept []*serverConn
		for _, c := range p.idle {
			keep := now.Sub(c.lastUsed) < u.idleTimeout
			if keep && now.Sub(c.lastChecked) >= idleCheckInterval {
				c.lastChecked, keep = now, c.isUsable()
			}
			if keep {
				kept = append(kept, c)
				continue
			}
			c.Close()
			u.addOpen(-1)
		}
		p.idle = kept
	}
}

// CloseIdle drops all idle connections; those in use end with their attempts.
func (u *Transport) CloseIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id := range u.pools {
		u.removePool(id)
	}
}

// acquire takes an idle connection to the server, or makes one, for f.
func (u *Transport) acquire(f *Lifetime, id string) (*serverConn, error) {
	p, c, err := u.reserve(id)
	if err == errNoDescriptor {
		p, c, err = u.awaitDescriptor(f, id)
	}
	if err != nil {
		return nil, err
	}
	if c == nil {
		conn, err := u.dial(f, p.address)
		if err != nil {
			u.releaseReservation()
			return nil, err
		}
		c = newServerConn(conn, p)
		if !u.isCurrent(id, p) {
			u.release(c, id, false)
			return nil, errServerDraining
		}
	}
	if err := f.attach(c.Conn); err != nil {
		u.release(c, id, true) // nothing was written
		return nil, err
	}
	return c, nil
}

// reserve returns an idle connection, or counts one that the caller is to make.
func (u *Transport) reserve(id string) (*serverPool, *serverConn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	switch {
	case p == nil:
		return nil, nil, errUnknownServer
	case p.draining: // told since the module chose it
		return nil, nil, errServerDraining
	}
	now := time.Now()
	for at := len(p.idle) - 1; at >= 0; at-- {
		c := p.idle[at]
		idle := now.Sub(c.lastUsed)
		if idle < minReuseDelay {
			continue
		}
		p.idle = slices.Delete(p.idle, at, at+1)
		if idle < u.idleTimeout && c.isUsable() {
			return p, c, nil
		}
		c.Close()
		u.addOpen(-1)
	}
	if u.openConns >= u.connLimit() && !u.evictOldest() {
		return nil, nil, errNoDescriptor
	}
	u.addOpen(1)
	return p, nil, nil
}

// isCurrent tells whether the list still has the process that a connection was made for, to send to: making one may take
// longer than the settings' grace.
func (u *Transport) isCurrent(id string, p *serverPool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pools[id] == p && !p.draining
}

func (u *Transport) releaseReservation() {
	u.mu.Lock()
	u.addOpen(-1)
	u.mu.Unlock()
}

// addOpen books connections that come or go.
func (u *Transport) addOpen(n int) {
	u.openConns += n
	u.descriptors.servers.Store(int64(u.openConns))
	if n < 0 {
		u.waiters.wake()
	}
}

// connLimit is how many connections may be open now.
func (u *Transport) connLimit() int {
	if u.maxConns > 0 {
		return min(u.maxConns, u.descriptors.ForServers())
	}
	return u.descriptors.ForServers()
}

// LiftLimit ends the limit that shrink set.
func (u *Transport) LiftLimit() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxConns = 0
	u.waiters.wakeAll()
}

// CloseExcessIdle closes idle connections beyond the part that is the servers' in any case.
func (u *Transport) CloseExcessIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.openConns > u.descriptors.MinPerSide() && u.evictOldest() {
	}
}

// LimitConnections closes idle connections while more than least are open, and allows but a few more than that.
func (u *Transport) LimitConnections(least, spare int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.openConns > least && u.evictOldest() {
	}
	u.maxConns = max(least, u.openConns) + spare
	return u.maxConns
}

// evictOldest closes the connection that was idle longest, if there is one.
func (u *Transport) evictOldest() bool {
	var oldest *serverPool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].lastUsed.Before(oldest.idle[0].lastUsed)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	u.closeOldest(oldest, 1)
	return true
}

// release puts a connection back if it can serve another request, else closes it.
func (u *Transport) release(c *serverConn, id string, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reusable && u.pools[id] == c.pool {
		c.lastUsed = time.Now()
		c.lastChecked = c.lastUsed
		c.pool.idle = append(c.pool.idle, c)
		u.waiters.wake() // it may be closed for another
		return
	}
	c.Close()
	u.addOpen(-1)
}

// Result is how an attempt ended.
type Result struct {
	Code       policy.Code
	Response   answer // for OK
	LoadReport []float64
}

// Attempt is one attempt's request.
type Attempt struct {
	*exchange
	Timeout  time.Duration // for the answer
	Lifetime *Lifetime
	begin    func(answer) // takes an answer that is passed on as it comes
	left     func()       // hears that the client has gone
}

// Do sends x to the server once, and waits for the whole answer until its flight ends. That closes the
// connection, which is how a server learns that nobody waits.
func (u *Transport) Do(id string, x Attempt) Result {
	c, err := u.acquire(x.Lifetime, id)
	if err != nil {
		return Result{Code: x.Lifetime.failureCode(err, false)}
	}
	if x.clientLeft() {
		x.Lifetime.detach()
		u.release(c, id, true)
		x.left()
		return Result{Code: policy.Cancelled}
	}
	r, reusable := u.roundTrip(c, x)
	u.release(c, id, x.Lifetime.detach() && reusable)
	return r
}

// roundTrip writes x to c and reads the answer. It tells whether c can serve another request then.
func (u *Transport) roundTrip(c *serverConn, x Attempt) (Result, bool) {
	sent := &requestWriter{requestsSent: u.requestsSent}
	if err := sent.writeBuffered(c, x); err != nil {
		return Result{Code: x.Lifetime.failureCode(err, false)}, false
	}
	if x.rest != nil {
		defer sent.streamBody(c, x)()
	}
	r := responseReaders.Get().(*responseReader)
	defer r.release()
	r.buf.Reset(c)
	a, err := r.readResponse()
	if err != nil {
		return Result{Code: x.Lifetime.failureCode(err, sent.complete.Load())}, false
	}
	if a.remaining != nil {
		if err := x.streamResponse(c, a); err != nil {
			if errors.Is(err, ErrClientGone) {
				return Result{Code: policy.Cancelled}, false
			}
			return Result{Code: x.Lifetime.failureCode(err, true)}, false
		}
	}
	reusable := a.keepAlive && r.buf.Buffered() == 0 && (x.rest == nil || x.rest.whole.Load())
	res := Result{Code: policy.ServerError, LoadReport: parseLoadReport(a.head.Get("X-Load"), u.reportFields())}
	switch a.status {
	case http.StatusOK:
		res.Code, res.Response = policy.OK, a.answer
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if a.head.Get("X-Not-Run") == "1" { // without it, it may have run
			res.Code = policy.Overloaded
		}
	}
	return res, reusable
}

// streamResponse hands over an answer that is passed on as it comes, and waits until it is over.
func (x Attempt) streamResponse(c *serverConn, a response) error {
	d := newResponseStream(a.remaining, x.Lifetime.cancelWith)
	first := a.answer
	first.rest = d
	over := x.Lifetime.done()
	x.begin(first)
	select {
	case err := <-d.done:
		return err
	case <-over:
		c.Close()
		if d.abandon() {
			return errAttemptTimeout // or called off; the flight knows
		}
		return <-d.done
	}
}

// requestWriter is a request on its way to a server.
type requestWriter struct {
	requestsSent *metrics.Counter
	complete     atomic.Bool // its last byte is written: the server may have begun it
}

// writeBuffered writes x: all of it, or as much as is kept.
func (s *requestWriter) writeBuffered(c *serverConn, x Attempt) error {
	b := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(b)
	*b = x.appendHead((*b)[:0])
	var err error
	if x.isChunked() {
		if _, err = c.Write(*b); err == nil {
			_, err = http1.ChunkWriter{Conn: c}.Write(x.body)
		}
	} else {
		*b, err = http1.WriteMessage(c, *b, x.body)
	}
	if err == nil && x.rest == nil {
		s.markComplete()
	}
	return err
}

func (s *requestWriter) markComplete() {
	s.complete.Store(true)
	s.requestsSent.Inc()
}

// isChunked tells whether x goes on in chunks.
func (x Attempt) isChunked() bool { return x.rest != nil && x.length < 0 }

// streamBody writes the rest of x as it comes, while the answer is read. The returned function ends that: where
// nothing of the rest was taken by then, nothing will be.
func (s *requestWriter) streamBody(c *serverConn, x Attempt) (end func()) {
	from := &bodyReader{upload: x.rest, stallTimer: time.AfterFunc(stallTimeout, func() { x.Lifetime.cancelWith(errAttemptTimeout) })}
	go func() {
		to := io.Writer(c.Conn)
		if x.isChunked() {
			to = http1.ChunkWriter{Conn: c}
		}
		block := http1.GetCopyBuffer()
		defer http1.PutCopyBuffer(block)
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, from, block[:])
		if err == nil && x.isChunked() {
			_, err = io.WriteString(c, http1.LastChunk)
		}
		switch {
		case err == nil:
			s.markComplete()
		case from.clientFailed: // where it is the server that takes no more, its answer may still come
			x.Lifetime.cancelWith(errAttemptTimeout)
		}
	}()
	return from.close
}

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// appendHead writes the head of the copy of x that a server gets; nothing is added in the client's name.
func (x Attempt) appendHead(b []byte) []byte {
	b = append(b, x.method...)
	b = append(b, ' ')
	b = append(b, x.path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, x.host...)
	b = http1.AppendField(b, "X-Request-Id", x.req.ID)
	b = http1.AppendField(b, "Idempotency-Key", x.key)
	b = http1.AppendField(b, "Content-Type", x.contentType)
	b = append(b, "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, x.Timeout.Milliseconds()), 10)
	length := int64(len(x.body))
	if x.rest != nil {
		length = x.length
	}
	if length != 0 || x.method != http.MethodGet {
		b = http1.AppendBodyFraming(b, length)
	}
	b = append(b, "\r\n\r\n"...)
	return b
}

// responseReader reads a server's answers. An idle connection has none.
type responseReader struct {
	buf  *bufio.Reader
	head http1.HeadReader
}

var responseReaders = sync.Pool{New: func() any { return &responseReader{buf: bufio.NewReader(nil)} }}

func (r *responseReader) release() {
	r.buf.Reset(nil)
	responseReaders.Put(r)
}

// response is a server's answer.
type response struct {
	answer
	remaining io.Reader // what of the body is to be passed on as it comes; nil for nothing
	keepAlive bool      // its connection
	head      *http1.Head
}

// readResponse reads the head of the final answer, and its body unless that is long and good.
func (r *responseReader) readResponse() (a response, err error) {
	var h *http1.Head
	for a.status < http.StatusOK { // interim answers come before it
		if h, err = r.head.Read(r.buf, http1.MaxHeadBytes); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return a, err
		}
		minor, status, err := parseStatusLine(h.FirstLine)
		if err != nil {
			return a, err
		}
		a.status, a.keepAlive = status, minor == 1
		if status == http.StatusSwitchingProtocols { // nobody asked for that
			return a, http1.ErrMalformedHead
		}
	}
	a.head = h
	f, err := h.Framing()
	if err != nil {
		return a, err
	}
	a.contentType, a.length = h.Get("Content-Type"), f.Length
	a.keepAlive = (a.keepAlive || f.KeepAlive) && !f.Close
	var body io.Reader
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified || f.Length == 0:
		return a, nil
	case f.Chunked:
		body = http1.NewChunkedBody(r.buf)
	case f.Length > 0:
		body = &http1.SizedBody{Reader: r.buf, Remaining: f.Length}
	default: // it ends with the connection
		body, a.keepAlive = r.buf, false
	}
	return a, a.readBody(body)
}

// readBody takes in a body up to what is kept of a good answer.
func (a *response) readBody(body io.Reader) (err error) {
	switch {
	case a.length > http1.MaxBufferedBodyBytes && a.status == http.StatusOK:
		a.body = make([]byte, StreamStartBytes)
		_, err = io.ReadFull(body, a.body)
	case a.length >= 0 && a.length <= http1.MaxBufferedBodyBytes:
		a.body = make([]byte, a.length)
		_, err = io.ReadFull(body, a.body)
		return err
	default:
		if a.body, err = io.ReadAll(io.LimitReader(body, http1.MaxBufferedBodyBytes+1)); err == nil && len(a.body) <= http1.MaxBufferedBodyBytes {
			return nil
		}
	}
	if a.remaining = body; a.status != http.StatusOK { // nobody wants it
		a.remaining, a.keepAlive = nil, false
	}
	return err
}

// parseStatusLine reads the first line of an answer.
func parseStatusLine(line string) (minor, status int, err error) {
	version, line, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	minor, ok := http1.ParseVersion(version)
	status, err = strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 {
		return 0, 0, http1.ErrMalformedHead
	}
	return minor, status, nil
}

// Lifetime is the time of one attempt: it ends when that is due, or is called off. Its methods may be called
// from any goroutine.
type Lifetime struct {
	mu         sync.Mutex
	deadline   time.Time // zero for none
	cause      error     // why it was ended early
	conn       net.Conn  // while the attempt has one
	cancelDial func()    // of the dialling
	ended      chan struct{}
}

// SetDeadline sets when the attempt is to end; zero for never.
func (f *Lifetime) SetDeadline(due time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.deadline = due; f.conn != nil && f.cause == nil {
		_ = f.conn.SetDeadline(due)
	}
}

// cancelWith ends the attempt. The first cause stands.
func (f *Lifetime) cancelWith(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLocked(cause)
}

// CancelUnlessConnected ends the attempt if it has no connection: nothing of it is written then.
func (f *Lifetime) CancelUnlessConnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil {
		f.endLocked(context.Canceled)
	}
}

func (f *Lifetime) endLocked(cause error) {
	if f.cause != nil {
		return
	}
	f.cause = cause
	if f.cancelDial != nil {
		f.cancelDial()
	}
	if f.conn != nil {
		_ = f.conn.SetDeadline(time.Unix(1, 0))
	}
	if f.ended != nil {
		close(f.ended)
	}
}

// startDial notes how to end the dialling, and returns when it is due to end.
func (f *Lifetime) startDial(cancel func()) (due time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelDial = cancel; f.cause != nil {
		cancel()
	}
	return f.deadline
}

// attach takes the connection that the attempt goes over; one that has been stopped gets none.
func (f *Lifetime) attach(c net.Conn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelDial = nil
	if f.cause != nil {
		return f.cause
	}
	f.conn = c
	return c.SetDeadline(f.deadline)
}

// detach gives up the connection, and tells whether it may serve others: the flight was not stopped.
func (f *Lifetime) detach() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	return f.cause == nil
}

// done returns what is closed once the attempt is stopped.
func (f *Lifetime) done() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended = make(chan struct{}); f.cause != nil {
		close(f.ended)
	}
	return f.ended
}

// failureCode names the outcome of an attempt that brought no answer. One whose last byte was never
// written can't have run, also where its time is up; when unsure, it may have run.
func (f *Lifetime) failureCode(err error, mayRun bool) policy.Code {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cause != nil && f.cause != errAttemptTimeout:
		return policy.Cancelled
	case !mayRun:
		return policy.ConnectFailed
	case f.cause != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Reset
}

// parseLoadReport reads `name=value,name=value` into the order of names; nil where there is none.
func parseLoadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	values := make([]float64, len(names))
	for i, name := range names {
		values[i] = math.NaN() // absent
		for _, pair := range strings.Split(text, ",") {
			k, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if n, err := strconv.ParseFloat(v, 64); k == name && err == nil {
				values[i] = n
			}
		}
	}
	return values
}
