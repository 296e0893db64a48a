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
	// UploadStartBytes is how much of a body that is longer than http1.MaxBufferedBodyBytes is read before the request
	// is handed on.
	UploadStartBytes = 16 << 10

	// A request may take requestTimeout from its first byte, or from the connect. Its body may take longer while it
	// comes at minBodyBytesPerSecond, and bodyGrace more. A client that sends half a request, or a few bytes at a time,
	// is so disconnected within 3 s of the connect.
	requestTimeout        = 2600 * time.Millisecond
	bodyGrace             = 600 * time.Millisecond
	minBodyBytesPerSecond = 51_200 // four fifths of what clients are expected to send at least
)

var (
	// ErrBodyTooLong is a request whose body is over MaxBodyBytes.
	ErrBodyTooLong = errors.New("downstream: the body is over 32 MiB")

	errAlreadyResponded = errors.New("downstream: the client has its response")
)

// upload is the body of a client's request. One goroutine at a time reads it: the connection's what is buffered, then that
// of an attempt the remainder, as upstream.BodyStream.
type upload struct {
	body         io.Reader
	conn         *clientConn
	headTimeLeft time.Duration // what the head has left of requestTimeout
	complete     atomic.Bool
	consumed     atomic.Bool // an attempt has read of it: it can't be written again
	stopped      atomic.Bool
	done         chan struct{} // closed once nothing more is read
	onEnd        func(error)   // called once: with nil when an attempt has read the last byte, else with why it can't

	mu         sync.Mutex
	received   int64         // bytes
	clientTime time.Duration // spent waiting for the client; what a server takes is not the client's time
	err        error         // why nothing more is read; io.EOF at the end of the body
}

// newUpload reads body from the connection c, for a request that began at a time.
func newUpload(c *clientConn, body io.Reader, began time.Time) *upload {
	return &upload{body: body, conn: c, headTimeLeft: requestTimeout - time.Since(began), done: make(chan struct{})}
}

// Read reads for as long as the client is within its time.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	from := time.Now()
	left := max(u.headTimeLeft, bodyGrace+time.Duration(u.received)*time.Second/minBodyBytesPerSecond) - u.clientTime
	err := u.conn.SetReadDeadline(from.Add(left))
	if err == nil && u.stopped.Load() { // after the deadline is set: stop sets its own
		err = errAlreadyResponded
	}
	n := 0
	if err == nil {
		n, err = u.body.Read(p)
	}
	u.received += int64(n)
	u.clientTime += time.Since(from)
	if u.received > MaxBodyBytes {
		n, err = 0, ErrBodyTooLong
	}
	if err != nil {
		u.end(err)
	}
	return n, err
}

// end notes why nothing more is read.
func (u *upload) end(err error) {
	u.err = err
	if errors.Is(err, io.EOF) {
		u.complete.Store(true)
		u.conn.boundRead(time.Time{}) // the connection is read on, to see the client leave
	}
	close(u.done)
}

// buffer reads up to maxBytes of a body of a length, -1 if that is unknown, and reports whether that was all.
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

// stop ends reading once the client is answered, and waits for a read that is under way.
func (u *upload) stop() {
	u.stopped.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.end(errAlreadyResponded)
	}
}

// Begin hears that an attempt reads: the request can't be sent again from then on.
func (u *upload) Begin() { u.consumed.Store(true) }

// End hears that an attempt can read nothing more.
func (u *upload) End(err error) {
	if u.onEnd != nil && !u.stopped.Load() {
		u.onEnd(err)
	}
}

// Complete reports whether all of the body was read.
func (u *upload) Complete() bool { return u.complete.Load() }

// BodyErrorStatus is the response to a request whose body couldn't be read.
func BodyErrorStatus(err error) (status int, problem string) {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return http.StatusRequestEntityTooLarge, "the body is over 32 MiB"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body comes too slowly"
	}
	return http.StatusBadRequest, "the body can't be read"
}
