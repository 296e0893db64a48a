// Package peertest has servers and clients that behave badly on their connections, and a meter of processes' memory. Tests
// run nodes as real processes between them. Nodes don't use it.
package peertest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pieceInterval is the time between two pieces of a message that is read or written at a limited rate.
const pieceInterval = 20 * time.Millisecond

// Attempt is a request as a server received it.
type Attempt struct {
	ID       string
	Key      string // idempotency key
	BeganAt  time.Time
	Complete bool // its last byte arrived, so the server ran it

	HeadAt   time.Time // when the head of the response was sent; zero if it wasn't, as are the other times
	BodyAt   time.Time // when the first bytes of its body were sent
	EndAt    time.Time // when its end was sent
	CutOffAt time.Time // when a write failed, since the node had closed the connection
	BrokenAt time.Time // when the server broke it off
	Given    []Given   // the body's bytes, in the order of time
}

// Given is how much of a response body had been sent at a time.
type Given struct {
	At    time.Time
	Bytes int
}

// Describe tells the steps of the attempt, with their times from a start on.
func (a Attempt) Describe(start time.Time) string {
	var steps []string
	add := func(name string, at time.Time) {
		if !at.IsZero() {
			steps = append(steps, fmt.Sprintf("%s at %.3f s", name, at.Sub(start).Seconds()))
		}
	}
	add("began", a.BeganAt)
	add("head", a.HeadAt)
	add("body", a.BodyAt)
	if n := len(a.Given); n > 0 {
		add(fmt.Sprintf("byte %d", a.Given[n-1].Bytes), a.Given[n-1].At)
	}
	add("end", a.EndAt)
	add("broken off", a.BrokenAt)
	add("closed by the node", a.CutOffAt)
	return fmt.Sprintf("attempt, whole request %t: %s", a.Complete, strings.Join(steps, ", "))
}

// GivenBy returns how many bytes of the response's body were sent by a time.
func (a Attempt) GivenBy(at time.Time) (bytes int) {
	for _, g := range a.Given {
		if g.At.After(at) {
			break
		}
		bytes = g.Bytes
	}
	return bytes
}

// responseByte fills the servers' response bodies.
const responseByte = 'a'

// Framing is how a response tells where its body ends.
type Framing int

// Values of Framing.
const (
	ContentLength Framing = iota
	Chunked
	UntilClose // the end of the connection ends the body
)

// ServerBehavior tells a server how to treat one request. It travels in the request's query.
type ServerBehavior struct {
	EarlyHead   bool          // the response's head is sent before the request's body is read
	EarlyBody   int           // bytes of the response body that are sent with an early head
	Delay       time.Duration // between the end of the request and the response or, with EarlyHead, the response's body
	BodyDelay   time.Duration // between the response's head and its body
	Size        int           // length of the response body in bytes
	Framing     Framing       // of the response
	WriteRate   int           // bytes of the response body a second; 0 for no limit
	WritePiece  int           // bytes of the response body written at once; 0 for as many as WriteRate gives in pieceInterval
	ReadRate    int           // bytes of the request body read a second; 0 for no limit
	StopReading int           // the server hangs once it has read so many bytes of the request body; 0 for never
	BreakAfter  int           // the first attempt's connection breaks off after so many bytes of the response body; 0 for never
}

// Path returns the path and query of a request that is treated so.
func (b ServerBehavior) Path() string {
	return fmt.Sprintf("/api?early=%t&start=%d&delay=%d&late=%d&size=%d&framing=%d&write=%d&piece=%d&read=%d&stop=%d&break=%d",
		b.EarlyHead, b.EarlyBody, b.Delay.Milliseconds(), b.BodyDelay.Milliseconds(), b.Size, b.Framing, b.WriteRate, b.WritePiece, b.ReadRate, b.StopReading,
		b.BreakAfter)
}

// parseBehavior reads the query that Path writes. Absent values are zero.
func parseBehavior(query url.Values) ServerBehavior {
	number := func(name string) int {
		n, _ := strconv.Atoi(query.Get(name))
		return n
	}
	millis := func(name string) time.Duration { return time.Duration(number(name)) * time.Millisecond }
	return ServerBehavior{EarlyHead: query.Get("early") == "true", EarlyBody: number("start"), Delay: millis("delay"), BodyDelay: millis("late"),
		Size: number("size"), Framing: Framing(number("framing")), WriteRate: number("write"), WritePiece: number("piece"),
		ReadRate: number("read"), StopReading: number("stop"), BreakAfter: number("break")}
}

// Servers is a group of servers that share one record of attempts.
type Servers struct {
	ctx       context.Context
	addresses []string

	mu       sync.Mutex
	attempts []*Attempt
}

// serverBufferBytes is the size of the servers' receive buffers. It is small, so that a server that doesn't read soon stops
// the node's writes.
const serverBufferBytes = 8 << 10

// StartServers starts n servers on loopback, which run until ctx ends.
func StartServers(ctx context.Context, n int) (*Servers, error) {
	s := &Servers{ctx: ctx}
	for range n {
		l, err := (&net.ListenConfig{Control: limitReceiveBuffer}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = l.Close() })
		s.addresses = append(s.addresses, l.Addr().String())
		go s.accept(l)
	}
	return s, nil
}

// Addresses returns the addresses of the servers.
func (s *Servers) Addresses() []string { return s.addresses }

// Attempts returns the attempts so far whose request has the ID.
func (s *Servers) Attempts(id string) (all []Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.ID == id {
			copied := *a
			copied.Given = slices.Clone(a.Given)
			all = append(all, copied)
		}
	}
	return all
}

// BegunAfter returns the attempts that began after a time.
func (s *Servers) BegunAfter(at time.Time) (all []Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.BeganAt.After(at) {
			all = append(all, *a)
		}
	}
	return all
}

// Runs returns how often the request of each ID ran.
func (s *Servers) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int)
	for _, a := range s.attempts {
		if a.Complete {
			runs[a.ID]++
		}
	}
	return runs
}

func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	var err error
	controlErr := socket.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, serverBufferBytes)
	})
	return errors.Join(controlErr, err)
}

// UnreachableServer listens on loopback until ctx ends, but no connection to it comes up.
func UnreachableServer(ctx context.Context) (address string, err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	if err := unix.Listen(fd, 0); err != nil {
		return "", err
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	bound, ok := name.(*unix.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("address of a socket: got a %T", name)
	}
	address = net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.Port))
	for { // fill the queue of connections that wait to be accepted
		dialCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		c, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
		cancel()
		if err != nil {
			return address, nil
		}
		context.AfterFunc(ctx, func() { _ = c.Close() })
	}
}

func (s *Servers) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(s.ctx, func() { _ = c.Close() })
		go func() {
			defer stop()
			defer func() { _ = c.Close() }() // the context's end may have closed it
			for r := bufio.NewReader(c); s.serve(c, r) == nil; {
			}
		}()
	}
}

// serve reads one request and answers it. Any error ends the connection.
func (s *Servers) serve(c net.Conn, r *bufio.Reader) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	b := parseBehavior(request.URL.Query())
	a := &Attempt{ID: request.Header.Get("X-Request-Id"), Key: request.Header.Get("Idempotency-Key"), BeganAt: time.Now()}
	if len(s.Attempts(a.ID)) > 0 {
		b.BreakAfter = 0
	}
	s.record(func() { s.attempts = append(s.attempts, a) })
	w := &responseWriter{servers: s, conn: c, attempt: a, behavior: b}
	if b.EarlyHead {
		w.writeHead()
		w.writeBody(b.EarlyBody)
	}
	if err := s.readBody(request.Body, b); err != nil {
		return err
	}
	s.record(func() { a.Complete = true })
	if err := sleep(s.ctx, b.Delay); err != nil {
		return err
	}
	if !b.EarlyHead {
		w.writeHead()
	}
	if err := sleep(s.ctx, b.BodyDelay); err != nil {
		return err
	}
	w.writeBody(b.Size)
	return w.end()
}

// record changes the record of attempts.
func (s *Servers) record(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *Servers) readBody(body io.Reader, b ServerBehavior) error {
	if b.StopReading > 0 {
		if _, err := io.CopyN(io.Discard, body, int64(b.StopReading)); err != nil {
			return err
		}
		<-s.ctx.Done()
		return s.ctx.Err()
	}
	if b.ReadRate > 0 {
		_, err := copyAtRate(s.ctx, io.Discard, body, b.ReadRate, 0)
		return err
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

// responseWriter writes one response. After an error it does nothing more.
type responseWriter struct {
	servers  *Servers
	conn     net.Conn
	attempt  *Attempt
	behavior ServerBehavior
	written  int // bytes of the body
	err      error
}

func (w *responseWriter) writeHead() {
	framing := map[Framing]string{ContentLength: "Content-Length: " + strconv.Itoa(w.behavior.Size), Chunked: "Transfer-Encoding: chunked",
		UntilClose: "Connection: close"}
	_, err := io.WriteString(w.conn, "HTTP/1.1 200 OK\r\n"+framing[w.behavior.Framing]+"\r\n\r\n")
	w.note(err, func(a *Attempt, now time.Time) { a.HeadAt = now })
}

// note records a step, or the error that kept it from being made.
func (w *responseWriter) note(err error, step func(a *Attempt, now time.Time)) {
	w.servers.record(func() {
		if w.err = err; err != nil {
			w.attempt.CutOffAt = time.Now()
			return
		}
		step(w.attempt, time.Now())
	})
}

// Write writes a part of the body in the response's framing.
func (w *responseWriter) Write(p []byte) (int, error) {
	out := io.Writer(w.conn)
	if w.behavior.Framing == Chunked {
		out = chunkWriter{w.conn}
	}
	n, err := out.Write(p)
	w.written += n
	w.note(err, func(a *Attempt, now time.Time) {
		if a.BodyAt.IsZero() {
			a.BodyAt = now
		}
		a.Given = append(a.Given, Given{now, w.written})
	})
	return n, err
}

// writeBody writes the body up to a total size, or to where it breaks off.
func (w *responseWriter) writeBody(size int) {
	if w.err != nil {
		return
	}
	b := w.behavior
	if b.BreakAfter > 0 {
		size = min(size, b.BreakAfter)
	}
	body := io.LimitReader(repeated(responseByte), int64(size-w.written))
	if b.WriteRate > 0 {
		_, w.err = copyAtRate(w.servers.ctx, w, body, b.WriteRate, b.WritePiece)
	} else {
		_, w.err = io.Copy(w, body)
	}
}

// errConnectionEnds ends a connection after its last response.
var errConnectionEnds = errors.New("the connection ends")

// end ends the response, or breaks it off.
func (w *responseWriter) end() error {
	switch {
	case w.err != nil:
		return w.err
	case w.behavior.BreakAfter > 0:
		w.note(nil, func(a *Attempt, now time.Time) { a.BrokenAt = now })
		if tcp, ok := w.conn.(*net.TCPConn); ok {
			return errors.Join(errConnectionEnds, tcp.SetLinger(0)) // the close then resets the connection
		}
		return errConnectionEnds
	}
	var err error
	if w.behavior.Framing == Chunked {
		_, err = io.WriteString(w.conn, "0\r\n\r\n")
	}
	w.note(err, func(a *Attempt, now time.Time) { a.EndAt = now })
	if w.behavior.Framing == UntilClose {
		return errConnectionEnds
	}
	return w.err
}

// chunkWriter writes each piece as one chunk.
type chunkWriter struct{ w io.Writer }

func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil // an empty chunk would end the body
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// repeated is an endless reader of one byte.
type repeated byte

func (r repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r)
	}
	return len(p), nil
}

// copyAtRate copies from r to w at a rate in bytes a second, until r ends. It copies pieceBytes at once; 0 means as many as the
// rate gives in pieceInterval.
func copyAtRate(ctx context.Context, w io.Writer, r io.Reader, rate, pieceBytes int) (total int64, err error) {
	piece, interval := max(1, int64(rate)*int64(pieceInterval)/int64(time.Second)), pieceInterval
	if pieceBytes > 0 {
		piece, interval = int64(pieceBytes), time.Duration(pieceBytes)*time.Second/time.Duration(rate)
	}
	for next := time.Now(); ; next = next.Add(interval) {
		if err := sleep(ctx, time.Until(next)); err != nil {
			return total, err
		}
		n, err := io.CopyN(w, r, piece)
		total += n
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// sleep waits for d, and returns early with an error if ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
