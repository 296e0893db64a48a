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
	defaultConnIdle = 60 * time.Second // a connection is kept unused where the settings name no limit
	lookEvery       = 5 * time.Second  // at an idle connection, for whether its server closed it
	// answerRest is how long a connection rests after an answer: a server may answer twice, the second time some
	// milliseconds late, and nothing tells that from the answer to the next request.
	answerRest = 10 * time.Millisecond
)

var (
	errUnknown   = errors.New("not in the list")
	errLeaving   = errors.New("the server was told to leave since it was chosen")
	errNoSockets = errors.New("no descriptor is left for another connection")
)

// upstream makes attempts at servers, over connections that it holds itself: http.Transport sends a GET,
// or a request with an Idempotency-Key, again on its own when a reused connection breaks, and each such
// copy would be an attempt that the module never decided on.
type upstream struct {
	dialer  dialFunc
	idleFor time.Duration // an idle connection is dropped after this
	report  []string      // names of the figures of a load report, in order
	eases   bool          // the module may send for a moment to what the list lacks
	relayed *metrics.Counter
	sockets *sockets
	waits   time.Duration // for a descriptor

	mu      sync.Mutex
	pools   map[string]*pool
	open    int // connections, those being made among them
	most    int // that may be open, besides what the clients leave; 0 for no such limit
	waiting socketQueue
}

// pool holds the idle connections to one process of one server, the last used at the end.
type pool struct {
	addr    string
	upSince int64
	idle    []*conn
	gone    time.Time // when the list lacked it, where the module may still send to it
	leaving bool      // it drains, as the list says
}

// conn is a connection to a server. One attempt at a time has it.
type conn struct {
	net.Conn
	pool   *pool
	used   time.Time
	looked time.Time // when it was last known to be open
	raw    syscall.RawConn
	look   func(fd uintptr)
	quiet  bool
}

func newConn(c net.Conn, p *pool) *conn {
	made := &conn{Conn: c, pool: p}
	if socket, ok := c.(syscall.Conn); ok {
		made.raw, _ = socket.SyscallConn()
	}
	made.look = func(fd uintptr) {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		made.quiet = err == unix.EAGAIN
	}
	return made
}

// open tells whether a connection that is idle may be written to: the server has neither closed it nor said
// anything unasked. It doesn't wait.
func (c *conn) open() bool {
	if c.raw == nil {
		return true
	}
	c.quiet = false
	return c.raw.Control(c.look) == nil && c.quiet
}

func newUpstream(c Config, shared *sockets, fig *figures) *upstream {
	u := &upstream{relayed: fig.relayed, pools: make(map[string]*pool), sockets: shared, waits: socketWait}
	u.retune(c)
	return u
}

// retune takes over what a configuration says of connections and reports.
func (u *upstream) retune(c Config) {
	u.mu.Lock()
	defer u.mu.Unlock()
	idle := c.Settings.Allowed.IdleTimeout
	if idle == 0 {
		idle = defaultConnIdle
	}
	u.dialer = c.dialer(c.ConnectTimeout)
	u.idleFor = idle / 2 // what is written just as the server closes would end as a reset
	u.report, u.eases = c.Settings.ReportFields, c.Settings.RetainMissing
}

// reportNames are the figures of a load report.
func (u *upstream) reportNames() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report
}

// dial opens a connection, until f ends.
func (u *upstream) dial(f *flight, addr string) (net.Conn, error) {
	u.mu.Lock()
	dialer := u.dialer
	u.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if due := f.dials(cancel); !due.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, due)
		defer cancel()
	}
	return dialer(ctx, "tcp", addr)
}

// update follows the list. A server that moved or started anew gets a new pool: what was open to its
// former process is of no use.
func (u *upstream) update(n discovery.Update) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(n.Endpoints))
	for _, m := range n.Endpoints {
		p := u.pools[m.ID]
		listed[m.ID] = true
		switch {
		case m.Availability == policy.Removed:
			u.miss(m.ID)
		case p == nil || p.addr != m.Address || p.upSince != m.StartedAtMillis:
			u.forget(m.ID)
			u.pools[m.ID] = &pool{addr: m.Address, upSince: m.StartedAtMillis}
		default:
			p.gone = time.Time{}
		}
		if p := u.pools[m.ID]; p != nil {
			p.leaving = m.Availability == policy.Draining
		}
	}
	if n.Kind == policy.ListUpdate {
		return
	}
	for id := range u.pools {
		if !listed[id] {
			u.miss(id)
		}
	}
}

// goneFor is how long the way to a server is kept that the list lacks, where lists are eased: longer than the
// module does so at most.
const goneFor = 10 * time.Second

// miss forgets a server that the list lacks, later where lists are eased.
func (u *upstream) miss(id string) {
	switch p := u.pools[id]; {
	case p == nil:
	case !u.eases:
		u.forget(id)
	case p.gone.IsZero():
		p.gone = time.Now()
	}
}

func (u *upstream) forget(id string) {
	if p := u.pools[id]; p != nil {
		u.trim(p, len(p.idle))
		delete(u.pools, id)
	}
}

// trim closes the n connections of p that were idle longest.
func (u *upstream) trim(p *pool, n int) {
	for _, c := range p.idle[:n] {
		c.Close()
	}
	p.idle = append([]*conn(nil), p.idle[n:]...)
	u.count(-n)
}

// sweep drops the connections that were idle for too long, and those that the server closed.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, p := range u.pools {
		if !p.gone.IsZero() && now.Sub(p.gone) >= goneFor {
			u.forget(id)
			continue
		}
		var kept []*conn
		for _, c := range p.idle {
			keep := now.Sub(c.used) < u.idleFor
			if keep && now.Sub(c.looked) >= lookEvery {
				c.looked, keep = now, c.open()
			}
			if keep {
				kept = append(kept, c)
				continue
			}
			c.Close()
			u.count(-1)
		}
		p.idle = kept
	}
}

// close drops all idle connections; those in use end with their attempts.
func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id := range u.pools {
		u.forget(id)
	}
}

// acquire takes an idle connection to the server, or makes one, for f.
func (u *upstream) acquire(f *flight, id string) (*conn, error) {
	p, c, err := u.reserve(id)
	if err == errNoSockets {
		p, c, err = u.awaitSocket(f, id)
	}
	if err != nil {
		return nil, err
	}
	if c == nil {
		conn, err := u.dial(f, p.addr)
		if err != nil {
			u.unreserve()
			return nil, err
		}
		c = newConn(conn, p)
		if !u.wanted(id, p) {
			u.release(c, id, false)
			return nil, errLeaving
		}
	}
	if err := f.board(c.Conn); err != nil {
		u.release(c, id, true) // nothing was written
		return nil, err
	}
	return c, nil
}

// reserve returns an idle connection, or counts one that the caller is to make.
func (u *upstream) reserve(id string) (*pool, *conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	switch {
	case p == nil:
		return nil, nil, errUnknown
	case p.leaving: // told since the module chose it
		return nil, nil, errLeaving
	}
	now := time.Now()
	for at := len(p.idle) - 1; at >= 0; at-- {
		c := p.idle[at]
		idle := now.Sub(c.used)
		if idle < answerRest {
			continue
		}
		p.idle = slices.Delete(p.idle, at, at+1)
		if idle < u.idleFor && c.open() {
			return p, c, nil
		}
		c.Close()
		u.count(-1)
	}
	if u.open >= u.limit() && !u.evict() {
		return nil, nil, errNoSockets
	}
	u.count(1)
	return p, nil, nil
}

// wanted tells whether the list still has the process that a connection was made for, to send to: making one may take
// longer than the settings' grace.
func (u *upstream) wanted(id string, p *pool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pools[id] == p && !p.leaving
}

func (u *upstream) unreserve() {
	u.mu.Lock()
	u.count(-1)
	u.mu.Unlock()
}

// count books connections that come or go.
func (u *upstream) count(n int) {
	u.open += n
	u.sockets.servers.Store(int64(u.open))
	if n < 0 {
		u.waiting.wake()
	}
}

// limit is how many connections may be open now.
func (u *upstream) limit() int {
	if u.most > 0 {
		return min(u.most, u.sockets.forServers())
	}
	return u.sockets.forServers()
}

// unbound ends the limit that shrink set.
func (u *upstream) unbound() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = 0
	u.waiting.wakeAll()
}

// yield closes idle connections beyond the part that is the servers' in any case.
func (u *upstream) yield() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.open > u.sockets.least() && u.evict() {
	}
}

// shrink closes idle connections while more than least are open, and allows but a few more than that.
func (u *upstream) shrink(least, spare int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.open > least && u.evict() {
	}
	u.most = max(least, u.open) + spare
	return u.most
}

// evict closes the connection that was idle longest, if there is one.
func (u *upstream) evict() bool {
	var oldest *pool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].used.Before(oldest.idle[0].used)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	u.trim(oldest, 1)
	return true
}

// release puts a connection back if it can serve another request, else closes it.
func (u *upstream) release(c *conn, id string, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reusable && u.pools[id] == c.pool {
		c.used = time.Now()
		c.looked = c.used
		c.pool.idle = append(c.pool.idle, c)
		u.waiting.wake() // it may be closed for another
		return
	}
	c.Close()
	u.count(-1)
}

// result is how an attempt ended.
type result struct {
	code   policy.Code
	answer answer // for OK
	report []float64
}

// outgoing is one attempt's request.
type outgoing struct {
	*exchange
	waits  time.Duration // for the answer
	flight *flight
	begin  func(answer) // takes an answer that is passed on as it comes
	left   func()       // hears that the client has gone
}

// attempt sends x to the server once, and waits for the whole answer until its flight ends. That closes the
// connection, which is how a server learns that nobody waits.
func (u *upstream) attempt(id string, x outgoing) result {
	c, err := u.acquire(x.flight, id)
	if err != nil {
		return result{code: x.flight.broken(err, false)}
	}
	if x.clientLeft() {
		x.flight.land()
		u.release(c, id, true)
		x.left()
		return result{code: policy.Cancelled}
	}
	r, reusable := u.exchange(c, x)
	u.release(c, id, x.flight.land() && reusable)
	return r
}

// exchange writes x to c and reads the answer. It tells whether c can serve another request then.
func (u *upstream) exchange(c *conn, x outgoing) (result, bool) {
	sent := &sending{relayed: u.relayed}
	if err := sent.write(c, x); err != nil {
		return result{code: x.flight.broken(err, false)}, false
	}
	if x.rest != nil {
		defer sent.passOn(c, x)()
	}
	r := readers.Get().(*reader)
	defer r.put()
	r.buf.Reset(c)
	a, err := r.answer()
	if err != nil {
		return result{code: x.flight.broken(err, sent.whole.Load())}, false
	}
	if a.rest != nil {
		if err := x.pass(c, a); err != nil {
			if errors.Is(err, errClient) {
				return result{code: policy.Cancelled}, false
			}
			return result{code: x.flight.broken(err, true)}, false
		}
	}
	reusable := a.kept && r.buf.Buffered() == 0 && (x.rest == nil || x.rest.whole.Load())
	res := result{code: policy.ServerError, report: loadReport(a.head.Get("X-Load"), u.reportNames())}
	switch a.status {
	case http.StatusOK:
		res.code, res.answer = policy.OK, a.answer
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if a.head.Get("X-Not-Run") == "1" { // without it, it may have run
			res.code = policy.Overloaded
		}
	}
	return res, reusable
}

// pass hands over an answer that is passed on as it comes, and waits until it is over.
func (x outgoing) pass(c *conn, a incoming) error {
	d := newDownload(a.rest, x.flight.stop)
	first := a.answer
	first.rest = d
	over := x.flight.ends()
	x.begin(first)
	select {
	case err := <-d.done:
		return err
	case <-over:
		c.Close()
		if d.abandon() {
			return errTimeUp // or called off; the flight knows
		}
		return <-d.done
	}
}

// sending is a request on its way to a server.
type sending struct {
	relayed *metrics.Counter
	whole   atomic.Bool // its last byte is written: the server may have begun it
}

// write writes x: all of it, or as much as is kept.
func (s *sending) write(c *conn, x outgoing) error {
	b := requests.Get().(*[]byte)
	defer requests.Put(b)
	*b = x.appendHead((*b)[:0])
	var err error
	if x.unsized() {
		if _, err = c.Write(*b); err == nil {
			_, err = http1.ChunkWriter{Conn: c}.Write(x.body)
		}
	} else {
		*b, err = http1.WriteMessage(c, *b, x.body)
	}
	if err == nil && x.rest == nil {
		s.finish()
	}
	return err
}

func (s *sending) finish() {
	s.whole.Store(true)
	s.relayed.Inc()
}

// unsized tells whether x goes on in chunks.
func (x outgoing) unsized() bool { return x.rest != nil && x.length < 0 }

// passOn writes the rest of x as it comes, while the answer is read. The returned function ends that: where
// nothing of the rest was taken by then, nothing will be.
func (s *sending) passOn(c *conn, x outgoing) (end func()) {
	from := &rest{upload: x.rest, silence: time.AfterFunc(peerSilence, func() { x.flight.stop(errTimeUp) })}
	go func() {
		to := io.Writer(c.Conn)
		if x.unsized() {
			to = http1.ChunkWriter{Conn: c}
		}
		block := http1.GetCopyBuffer()
		defer http1.PutCopyBuffer(block)
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, from, block[:])
		if err == nil && x.unsized() {
			_, err = io.WriteString(c, http1.LastChunk)
		}
		switch {
		case err == nil:
			s.finish()
		case from.failed: // where it is the server that takes no more, its answer may still come
			x.flight.stop(errTimeUp)
		}
	}()
	return from.revoke
}

var requests = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// appendHead writes the head of the copy of x that a server gets; nothing is added in the client's name.
func (x outgoing) appendHead(b []byte) []byte {
	b = append(b, x.method...)
	b = append(b, ' ')
	b = append(b, x.path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, x.host...)
	b = http1.AppendField(b, "X-Request-Id", x.req.ID)
	b = http1.AppendField(b, "Idempotency-Key", x.key)
	b = http1.AppendField(b, "Content-Type", x.contentType)
	b = append(b, "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(1, x.waits.Milliseconds()), 10)
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

// reader reads a server's answers. An idle connection has none.
type reader struct {
	buf  *bufio.Reader
	head http1.HeadReader
}

var readers = sync.Pool{New: func() any { return &reader{buf: bufio.NewReader(nil)} }}

func (r *reader) put() {
	r.buf.Reset(nil)
	readers.Put(r)
}

// incoming is a server's answer.
type incoming struct {
	answer
	rest io.Reader // what of the body is to be passed on as it comes; nil for nothing
	kept bool      // its connection
	head *http1.Head
}

// answer reads the head of the final answer, and its body unless that is long and good.
func (r *reader) answer() (a incoming, err error) {
	var h *http1.Head
	for a.status < http.StatusOK { // interim answers come before it
		if h, err = r.head.Read(r.buf, http1.MaxHeadBytes); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return a, err
		}
		minor, status, err := statusLine(h.FirstLine)
		if err != nil {
			return a, err
		}
		a.status, a.kept = status, minor == 1
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
	a.kept = (a.kept || f.KeepAlive) && !f.Close
	var body io.Reader
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified || f.Length == 0:
		return a, nil
	case f.Chunked:
		body = http1.NewChunkedBody(r.buf)
	case f.Length > 0:
		body = &http1.SizedBody{Reader: r.buf, Remaining: f.Length}
	default: // it ends with the connection
		body, a.kept = r.buf, false
	}
	return a, a.read(body)
}

// read takes in a body up to what is kept of a good answer.
func (a *incoming) read(body io.Reader) (err error) {
	switch {
	case a.length > http1.MaxBufferedBodyBytes && a.status == http.StatusOK:
		a.body = make([]byte, answerStart)
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
	if a.rest = body; a.status != http.StatusOK { // nobody wants it
		a.rest, a.kept = nil, false
	}
	return err
}

// statusLine reads the first line of an answer.
func statusLine(line string) (minor, status int, err error) {
	version, line, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	minor, ok := http1.ParseVersion(version)
	status, err = strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 {
		return 0, 0, http1.ErrMalformedHead
	}
	return minor, status, nil
}

// flight is the time of one attempt: it ends when that is due, or is called off. Its methods may be called
// from any goroutine.
type flight struct {
	mu     sync.Mutex
	due    time.Time // zero for none
	cause  error     // why it was ended early
	conn   net.Conn  // while the attempt has one
	cancel func()    // of the dialling
	over   chan struct{}
}

// bound sets when the attempt is to end; zero for never.
func (f *flight) bound(due time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.due = due; f.conn != nil && f.cause == nil {
		_ = f.conn.SetDeadline(due)
	}
}

// stop ends the attempt. The first cause stands.
func (f *flight) stop(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(cause)
}

// ground ends the attempt if it has no connection: nothing of it is written then.
func (f *flight) ground() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn == nil {
		f.end(context.Canceled)
	}
}

func (f *flight) end(cause error) {
	if f.cause != nil {
		return
	}
	f.cause = cause
	if f.cancel != nil {
		f.cancel()
	}
	if f.conn != nil {
		_ = f.conn.SetDeadline(time.Unix(1, 0))
	}
	if f.over != nil {
		close(f.over)
	}
}

// dials notes how to end the dialling, and returns when it is due to end.
func (f *flight) dials(cancel func()) (due time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel = cancel; f.cause != nil {
		cancel()
	}
	return f.due
}

// board takes the connection that the attempt goes over; one that has been stopped gets none.
func (f *flight) board(c net.Conn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = nil
	if f.cause != nil {
		return f.cause
	}
	f.conn = c
	return c.SetDeadline(f.due)
}

// land gives up the connection, and tells whether it may serve others: the flight was not stopped.
func (f *flight) land() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	return f.cause == nil
}

// ends returns what is closed once the attempt is stopped.
func (f *flight) ends() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over = make(chan struct{}); f.cause != nil {
		close(f.over)
	}
	return f.over
}

// broken names the outcome of an attempt that brought no answer. One whose last byte was never
// written can't have run, also where its time is up; when unsure, it may have run.
func (f *flight) broken(err error, mayRun bool) policy.Code {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cause != nil && f.cause != errTimeUp:
		return policy.Cancelled
	case !mayRun:
		return policy.ConnectFailed
	case f.cause != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Reset
}

// loadReport reads `name=value,name=value` into the order of names; nil where there is none.
func loadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	row := make([]float64, len(names))
	for i, name := range names {
		row[i] = math.NaN() // absent
		for _, pair := range strings.Split(text, ",") {
			k, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if n, err := strconv.ParseFloat(v, 64); k == name && err == nil {
				row[i] = n
			}
		}
	}
	return row
}
