package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
)

const (
	maxTransfer      = 32 << 20 // bytes of a request's body
	firstPart        = 16 << 10 // of a body known to be over maxBody is read before a server is asked for
	StreamStartBytes = 4 << 10  // of an answer that says it is over maxBody has to come before it counts as begun

	// A request may take wholeTimeout from its first byte, or from the connect. Its body may take longer
	// while it comes at the pace of slowestBody, and bodySlack. Who sends half a request, or drips, is so
	// ended within 3 s of the connect.
	wholeTimeout = 2600 * time.Millisecond
	bodySlack    = 600 * time.Millisecond
	slowestBody  = 51_200 // bytes a second: four fifths of what clients may be counted on to send

	stallTimeout       = 5 * time.Second  // of a server in the middle of a body, either way
	clientWriteTimeout = 10 * time.Second // for a client to take one block
	lingerFor          = 2 * time.Second  // after an early answer, for the client to stop sending and read it
	clientBuffer       = 64 << 10         // bytes in the kernel for a slow client, so that its progress is seen
)

var (
	errAttemptTimeout = errors.New("the attempt's time is up")
	errAnswered       = errors.New("the client has its answer")
	errTooLong        = errors.New("the body is over 32 MiB")
)

// upload is the body of a client's request, read at the client's pace. One goroutine reads at a time:
// the connection's what is kept, then an attempt the rest.
type upload struct {
	body    io.Reader
	conn    *client
	slack   time.Duration // of wholeTimeout, what the header has left
	whole   atomic.Bool
	begun   atomic.Bool // an attempt has read of the rest: it can't be written again
	stopped atomic.Bool
	over    chan struct{} // closed once nothing more of it is read
	ended   func(error)   // called once, when an attempt has read the last byte, or can't

	mu     sync.Mutex
	got    int64
	waited time.Duration // for the client; what a server takes is not the client's time
	err    error         // that ended it
}

func newUpload(c *client, body io.Reader, began time.Time) *upload {
	return &upload{body: body, conn: c, slack: wholeTimeout - time.Since(began), over: make(chan struct{})}
}

func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	from := time.Now()
	left := max(u.slack, bodySlack+time.Duration(u.got)*time.Second/slowestBody) - u.waited
	err := u.conn.SetReadDeadline(from.Add(left))
	if err == nil && u.stopped.Load() { // after the deadline is set: stop sets its own
		err = errAnswered
	}
	n := 0
	if err == nil {
		n, err = u.body.Read(p)
	}
	u.got += int64(n)
	u.waited += time.Since(from)
	if u.got > maxTransfer {
		n, err = 0, errTooLong
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
		u.whole.Store(true)
		u.conn.readUntil(time.Time{}) // the connection is read on, to see the client leave
	}
	close(u.over)
}

// keep reads up to most bytes, and tells whether that was all.
func (u *upload) keep(most int, length int64) (body []byte, whole bool, err error) {
	if length < 0 || length >= int64(most) {
		length = min(int64(most), firstPart) - 1
	}
	body = make([]byte, 0, length+1)
	for len(body) < most {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := u.Read(body[len(body):min(cap(body), most)])
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
		u.end(errAnswered)
	}
}

// bodyReader is an attempt's view of an upload. The server has to keep taking what it brings.
type bodyReader struct {
	*upload
	stallTimer   *time.Timer
	clientFailed bool // the client's side did

	mu     sync.Mutex
	closed bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.begin() {
		return 0, errAnswered
	}
	n, err := r.upload.Read(p)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.closed {
			r.stallTimer.Reset(stallTimeout)
		}
		return n, nil
	}
	r.clientFailed = err != io.EOF
	if r.ended != nil && !r.stopped.Load() {
		if r.clientFailed {
			r.ended(err)
		} else {
			r.ended(nil)
		}
	}
	return n, err
}

// begin begins to read, unless the attempt is over.
func (r *bodyReader) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stallTimer.Stop()
	if !r.closed {
		r.begun.Store(true)
	}
	return !r.closed
}

// close ends the attempt's reading; what it reads just now is the last.
func (r *bodyReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.stallTimer.Stop()
}

// uploadStatus is what a client gets whose body can't be taken.
func uploadStatus(err error) (status int, problem string) {
	switch {
	case errors.Is(err, errTooLong):
		return http.StatusRequestEntityTooLarge, "the body is over 32 MiB"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "the body comes too slowly"
	}
	return http.StatusBadRequest, "the body can't be read"
}

// ResponseStream is the part of a server's answer that is passed on as it comes.
type ResponseStream struct {
	body       io.Reader
	stallTimer *time.Timer
	state      atomic.Int32 // who has it: nobody, its client's connection, or nobody any more
	done       chan error   // holds one: nil, or why the answer is not whole
}

const streamCopying, streamAbandoned = 1, 2

// ErrClientGone marks a download that its client didn't take.
var ErrClientGone = errors.New("the client has left")

func newResponseStream(body io.Reader, cancel func(error)) *ResponseStream {
	t := time.AfterFunc(stallTimeout, func() { cancel(errAttemptTimeout) })
	t.Stop()
	return &ResponseStream{body: body, stallTimer: t, done: make(chan error, 1)}
}

// abandon keeps a download that was not yet begun from being passed on, and tells whether it was so.
func (d *ResponseStream) abandon() bool { return d.state.CompareAndSwap(0, streamAbandoned) }

// CopyTo writes the rest of an answer to a client as it comes: a server may give the next piece only seconds
// later.
func (d *ResponseStream) CopyTo(to io.Writer, c net.Conn, first []byte) (err error) {
	if !d.state.CompareAndSwap(0, streamCopying) {
		return errAttemptTimeout
	}
	defer func() { d.done <- err }()
	block := http1.GetCopyBuffer()
	defer http1.PutCopyBuffer(block)
	for piece := first; ; {
		if err := c.SetWriteDeadline(time.Now().Add(clientWriteTimeout)); err != nil {
			return errors.Join(ErrClientGone, err)
		}
		if _, err := to.Write(piece); err != nil {
			return errors.Join(ErrClientGone, err)
		}
		d.stallTimer.Reset(stallTimeout)
		n, err := d.body.Read(block[:])
		d.stallTimer.Stop()
		if piece = block[:n]; n > 0 {
			if err != nil && err != io.EOF {
				return err
			}
			continue
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// under is the connection that a client's is made of.
func under(c net.Conn) net.Conn {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = outer.NetConn()
	}
}

// tcp is the socket under a client's connection; nil where there is none.
func tcp(c net.Conn) *net.TCPConn {
	socket, _ := under(c).(*net.TCPConn)
	return socket
}
