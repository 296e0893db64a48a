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
	MaxBodyBytes     = 32 << 20 // bytes of a request's body
	UploadStartBytes = 16 << 10 // of a body known to be over maxBody is read before a server is asked for

	// A request may take wholeTimeout from its first byte, or from the connect. Its body may take longer
	// while it comes at the pace of slowestBody, and bodySlack. Who sends half a request, or drips, is so
	// ended within 3 s of the connect.
	requestTimeout        = 2600 * time.Millisecond
	bodyGrace             = 600 * time.Millisecond
	minBodyBytesPerSecond = 51_200 // bytes a second: four fifths of what clients may be counted on to send

)

var (
	errAlreadyAnswered = errors.New("the client has its answer")
	ErrBodyTooLong     = errors.New("the body is over 32 MiB")
)

// upload is the body of a client's request, read at the client's pace. One goroutine reads at a time:
// the connection's what is kept, then an attempt the rest.
type upload struct {
	body         io.Reader
	conn         *clientConn
	headTimeLeft time.Duration // of wholeTimeout, what the header has left
	complete     atomic.Bool
	consumed     atomic.Bool // an attempt has read of the rest: it can't be written again
	stopped      atomic.Bool
	done         chan struct{} // closed once nothing more of it is read
	onEnd        func(error)   // called once, when an attempt has read the last byte, or can't

	mu         sync.Mutex
	received   int64
	clientTime time.Duration // for the client; what a server takes is not the client's time
	err        error         // that ended it
}

func newUpload(c *clientConn, body io.Reader, began time.Time) *upload {
	return &upload{body: body, conn: c, headTimeLeft: requestTimeout - time.Since(began), done: make(chan struct{})}
}

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
		err = errAlreadyAnswered
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
	if err == io.EOF {
		u.complete.Store(true)
		u.conn.boundRead(time.Time{}) // the connection is read on, to see the client leave
	}
	close(u.done)
}

// buffer reads up to most bytes, and tells whether that was all.
func (u *upload) buffer(maxBytes int, length int64) (body []byte, whole bool, err error) {
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
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// stop ends reading once the client is answered, and waits for what reads just now.
func (u *upload) stop() {
	u.stopped.Store(true)
	_ = u.conn.SetReadDeadline(time.Unix(1, 0))
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.end(errAlreadyAnswered)
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

// BodyErrorStatus is what a client gets whose body can't be taken.
func BodyErrorStatus(err error) (status int, problem string) {
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return http.StatusRequestEntityTooLarge, "the body is over 32 MiB"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body comes too slowly"
	}
	return http.StatusBadRequest, "the body can't be read"
}
