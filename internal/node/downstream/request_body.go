package downstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 32 << 20
	// UploadStartBytes is how much of a body is read before the request is passed to the Handler, if its Content-Length is
	// over http1.MaxBufferedBodyBytes.
	UploadStartBytes = 16 << 10

	// A request may take requestTimeout from its first byte or, for the first request of a connection, from the connect.
	// Its body may take the time left or, if that is longer, bodyGrace plus the time that the bytes received so far take
	// at minBodyBytesPerSecond. So a client that sends only part of a request, or a few bytes at a time, is disconnected
	// within 3 s of the connect.
	requestTimeout        = 2600 * time.Millisecond
	bodyGrace             = 600 * time.Millisecond
	minBodyBytesPerSecond = 51_200 // four fifths of the lowest rate expected of clients

	// bodyStartBytes is the size of the buffer for a body whose first bytes are read. It grows with what arrives.
	bodyStartBytes = 4 << 10

	// maxOverdueMargin is the time from the end of a body that no server takes to its client's timeout. The margin is at most
	// the client's timeout divided by overdueMarginDivisor.
	maxOverdueMargin     = 50 * time.Millisecond
	overdueMarginDivisor = 5

	// maxUnobservedTime is how long nothing may have been read from a client that has sent more, when an attempt begins for
	// it: its disconnect can't be seen behind unread bytes.
	maxUnobservedTime = 50 * time.Millisecond
)

var (
	// ErrBodyTooLong is returned for a request body over MaxBodyBytes.
	ErrBodyTooLong = errors.New("downstream: request body over 32 MiB")

	errBodyNoMemory     = errors.New("downstream: no memory for the request body")
	errAlreadyResponded = errors.New("downstream: request body read after the response")
	// errClientTimeOver means that the servers took so little of a body that its client may have waited for long enough.
	errClientTimeOver = errors.New("downstream: the client's time is over before a server has taken the request body")
)

// upload is the long body of a client's request. The connection's goroutine reads it to its end, and an attempt takes it
// through the interface upstream.BodyStream. So the body's end and a disconnect are noticed while no server takes anything.
type upload struct {
	body         io.Reader
	conn         *clientConn
	headTimeLeft time.Duration // the part of requestTimeout that remained after the head
	stopped      atomic.Bool

	// The connection's goroutine uses these fields.
	received    int64         // bytes
	clientTime  time.Duration // time spent waiting for the client; waiting for a server doesn't count
	awaitedAt   time.Time     // when the client was last waited for: its last byte was not sent before
	clientWaits time.Duration // how long the client waits after its last byte

	onReceived func()      // called when the last byte has arrived
	onEnd      func(error) // called once: with nil when an attempt has taken the last byte, else with the reason
	endOnce    sync.Once

	mu        sync.Mutex
	changed   sync.Cond // of the fields below
	unread    bodyBuffer
	fullSince time.Time // when unread could not grow any more; zero while it can
	consumed  bool      // an attempt has taken from it, so it can't be sent again
	err       error     // why nothing more is received; io.EOF at the end of the body
	closed    bool      // the request has ended: nothing more is taken
}

// newUpload returns an upload that reads body from the connection c. The request's first byte arrived at startedAt.
func newUpload(c *clientConn, body io.Reader, startedAt time.Time, held *memory.Reservation) *upload {
	u := &upload{body: body, conn: c, headTimeLeft: requestTimeout - time.Since(startedAt), awaitedAt: time.Now(),
		unread: bodyBuffer{held: held}}
	u.changed.L = &u.mu
	return u
}

// readClient reads from the client. It fails once the client has exceeded its time. awaited is whether the read has to wait
// for the client. With a nil p it waits until there is something to read.
func (u *upload) readClient(p []byte, awaited bool) (n int, err error) {
	start := time.Now()
	timeout := max(u.headTimeLeft, bodyGrace+time.Duration(u.received)*time.Second/minBodyBytesPerSecond) - u.clientTime
	if err := u.conn.SetReadDeadline(start.Add(timeout)); err != nil {
		return 0, err
	}
	if u.stopped.Load() { // checked after the deadline is set, which may replace the one set by stop
		return 0, errAlreadyResponded
	}
	if p == nil {
		_, err = u.conn.reader.Peek(1)
	} else {
		n, err = u.body.Read(p)
	}
	now := time.Now()
	u.conn.recordWait(start)
	u.received, u.clientTime = u.received+int64(n), u.clientTime+now.Sub(start)
	if awaited {
		u.awaitedAt = now
	}
	if u.received > MaxBodyBytes {
		return 0, ErrBodyTooLong
	}
	return n, err
}

// buffer reads up to maxBytes of a body, and reports whether the body is complete. length is the length of the body, or
// -1 if it is unknown.
func (u *upload) buffer(maxBytes int, length int64) (body []byte, complete bool, err error) {
	if length < 0 || length >= int64(maxBytes) {
		length = min(int64(maxBytes), UploadStartBytes) - 1
	}
	for len(body) < maxBytes {
		if len(body) == cap(body) {
			size := min(max(bodyStartBytes, 2*cap(body)), max(int(length)+1, cap(body)+bodyStartBytes))
			if !u.unread.held.Take(size-cap(body), memory.Admission) {
				return nil, false, errBodyNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := u.readClient(body[len(body):min(cap(body), maxBytes)], u.conn.mustAwaitClient())
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			u.conn.updateReadDeadline(time.Time{}) // reading continues, to notice if the client disconnects
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// receive reads the rest of the body, ahead of the attempt that takes it, and reports whether the body is complete.
func (u *upload) receive() (complete bool) {
	for {
		n, err := u.receiveNext()
		if errors.Is(err, io.EOF) {
			u.conn.updateReadDeadline(time.Time{}) // reading continues, to notice if the client disconnects
			u.onReceived()                         // before an attempt can take the last byte
			return u.add(n, err)
		}
		if u.add(n, err); err != nil {
			u.End(err)
			return false
		}
	}
}

func (u *upload) receiveNext() (n int, err error) {
	u.conn.pauseIfBusy()
	if u.conn.mustAwaitClient() { // without holding a block meanwhile
		if _, err := u.readClient(nil, true); err != nil {
			return 0, http1.UnexpectedEOF(err)
		}
	}
	space, err := u.awaitSpace()
	if err != nil {
		return 0, err
	}
	return u.readClient(space, false) // there is something to read
}

// awaitSpace waits until there is room for more of the body. Meanwhile the client may have sent its last byte, unseen. So
// the wait ends with errClientTimeOver when the client may have waited for long enough since the node last waited for it,
// unless its response has begun.
func (u *upload) awaitSpace() ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if space := u.unread.space(); space != nil || u.err != nil {
		return space, u.err
	}
	u.fullSince = time.Now()
	overdue := u.awaitedAt.Add(u.clientWaits)
	wake := time.AfterFunc(time.Until(overdue), u.wake)
	defer wake.Stop()
	for {
		u.changed.Wait()
		space := u.unread.space()
		switch {
		case u.err != nil:
			return nil, u.err
		case space != nil:
			u.fullSince = time.Time{}
			return space, nil
		case !u.conn.streaming.Load() && !time.Now().Before(overdue):
			return nil, errClientTimeOver
		}
	}
}

func (u *upload) wake() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.changed.Broadcast()
}

// add adds n bytes that were received, and why nothing more is. It reports false after stop, when it does nothing.
func (u *upload) add(n int, err error) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return false
	}
	u.unread.add(n)
	u.err = err
	u.changed.Broadcast()
	return true
}

// stop ends the reading of a body whose response is about to be sent. It reports whether the body was incomplete.
func (u *upload) stop() (incomplete bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.err, io.EOF) {
		return false
	}
	if u.err == nil {
		u.err = errAlreadyResponded
	}
	u.stopped.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	u.changed.Broadcast()
	return true
}

// isReceived reports whether the whole body has arrived.
func (u *upload) isReceived() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.err, io.EOF)
}

// close ends the use of the body, and frees it.
func (u *upload) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	u.unread.discard()
	u.changed.Broadcast()
}

// Next implements upstream.BodyStream.
func (u *upload) Next() ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for {
		if u.closed {
			return nil, errAlreadyResponded
		}
		if u.err != nil && !errors.Is(u.err, io.EOF) {
			return nil, u.err
		}
		bytes := u.unread.next()
		u.changed.Broadcast() // there may be space now
		if len(bytes) > 0 {
			return bytes, nil
		}
		if u.err != nil {
			return nil, u.err
		}
		u.changed.Wait()
	}
}

// Begin implements upstream.BodyStream.
func (u *upload) Begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.consumed = true
}

// End implements upstream.BodyStream. It reports to onEnd that an attempt can take nothing more, unless stop was called.
func (u *upload) End(err error) {
	if u.onEnd != nil && !u.stopped.Load() {
		u.endOnce.Do(func() { u.onEnd(err) })
	}
}

// isConsumed reports whether an attempt has taken from the body.
func (u *upload) isConsumed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.consumed
}

// isUnobserved reports whether nothing could be read from the client for a while, so that a disconnect may be unseen.
func (u *upload) isUnobserved() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == nil && !u.fullSince.IsZero() && time.Since(u.fullSince) > maxUnobservedTime
}

// BodyErrorStatus returns the status and text of the response to a request whose body couldn't be read.
func BodyErrorStatus(err error) (status int, problem string) {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return http.StatusRequestEntityTooLarge, "the body is over 32 MiB"
	case errors.Is(err, errBodyNoMemory):
		return http.StatusServiceUnavailable, errNoMemory().text
	case errors.Is(err, errClientTimeOver):
		return http.StatusGatewayTimeout, "the servers take the body too slowly"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body comes too slowly"
	}
	return http.StatusBadRequest, "the body can't be read"
}
