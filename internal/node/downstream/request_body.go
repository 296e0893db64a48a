package downstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
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
)

var (
	// ErrBodyTooLong is returned for a request body over MaxBodyBytes.
	ErrBodyTooLong = errors.New("downstream: request body over 32 MiB")

	errAlreadyResponded = errors.New("downstream: request body read after the response")
)

// upload is the body of a client's request. One goroutine at a time reads it: first the connection's, which reads the
// buffered part, and then an attempt's, which reads the rest through the interface upstream.BodyStream.
type upload struct {
	body         io.Reader
	conn         *clientConn
	headTimeLeft time.Duration // the part of requestTimeout that remained after the head
	complete     atomic.Bool
	consumed     atomic.Bool // an attempt has read from it, so it can't be sent again
	stopped      atomic.Bool
	done         chan struct{} // closed once nothing more is read
	onEnd        func(error)   // called once: with nil when an attempt has read the last byte, else with the reason

	mu         sync.Mutex
	received   int64         // bytes
	clientTime time.Duration // time spent waiting for the client; waiting for a server doesn't count
	err        error         // why nothing more is read; io.EOF at the end of the body
}

// newUpload returns an upload that reads body from the connection c. The request's first byte arrived at startedAt.
func newUpload(c *clientConn, body io.Reader, startedAt time.Time) *upload {
	return &upload{body: body, conn: c, headTimeLeft: requestTimeout - time.Since(startedAt), done: make(chan struct{})}
}

// Read reads from the body. It fails once the client has exceeded its time.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	start := time.Now()
	timeout := max(u.headTimeLeft, bodyGrace+time.Duration(u.received)*time.Second/minBodyBytesPerSecond) - u.clientTime
	err := u.conn.SetReadDeadline(start.Add(timeout))
	if err == nil && u.stopped.Load() { // checked after the deadline is set, which may replace the one set by stop
		err = errAlreadyResponded
	}
	n := 0
	if err == nil {
		n, err = u.body.Read(p)
	}
	u.received += int64(n)
	u.clientTime += time.Since(start)
	if u.received > MaxBodyBytes {
		n, err = 0, ErrBodyTooLong
	}
	if err != nil {
		u.end(err)
	}
	return n, err
}

// end records why nothing more is read.
func (u *upload) end(err error) {
	u.err = err
	if errors.Is(err, io.EOF) {
		u.complete.Store(true)
		u.conn.updateReadDeadline(time.Time{}) // reading continues, to notice if the client disconnects
	}
	close(u.done)
}

// buffer reads up to maxBytes of a body, and reports whether the body is complete. length is the length of the body, or
// -1 if it is unknown.
func (u *upload) buffer(maxBytes int, length int64) (body []byte, complete bool, err error) {
	if length < 0 || length >= int64(maxBytes) {
		length = min(int64(maxBytes), UploadStartBytes) - 1
	}
	body = make([]byte, 0, length+1)
	for len(body) < maxBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := u.Read(body[len(body):min(cap(body), maxBytes)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// stop ends the reading of a body whose response is about to be sent, and waits for a read in progress.
func (u *upload) stop() {
	u.stopped.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.end(errAlreadyResponded)
	}
}

// Begin records that an attempt reads the body, so that the request isn't sent again.
func (u *upload) Begin() { u.consumed.Store(true) }

// End reports to onEnd that an attempt can read nothing more, unless stop was called.
func (u *upload) End(err error) {
	if u.onEnd != nil && !u.stopped.Load() {
		u.onEnd(err)
	}
}

// Complete reports whether the whole body was read.
func (u *upload) Complete() bool { return u.complete.Load() }

// BodyErrorStatus returns the status and text of the response to a request whose body couldn't be read.
func BodyErrorStatus(err error) (status int, problem string) {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return http.StatusRequestEntityTooLarge, "the body is over 32 MiB"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body comes too slowly"
	}
	return http.StatusBadRequest, "the body can't be read"
}
