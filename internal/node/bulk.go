package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxTransfer = 32 << 20 // bytes of a request's body
	firstPart   = 16 << 10 // of a body known to be over maxBody is read before a server is asked for
	answerStart = 4 << 10  // of an answer that says it is over maxBody has to come before it counts as begun
	blockSize   = 16 << 10 // of what passes on

	// A request may take wholeTimeout from its first byte, or from the connect. Its body may take longer
	// while it comes at the pace of slowestBody, and bodySlack. Who sends half a request, or drips, is so
	// ended within 3 s of the connect.
	wholeTimeout = 2600 * time.Millisecond
	bodySlack    = 600 * time.Millisecond
	slowestBody  = 51_200 // bytes a second: four fifths of what clients may be counted on to send

	peerSilence  = 5 * time.Second  // of a server in the middle of a body, either way
	blockTimeout = 10 * time.Second // for a client to take one block
	lingerFor    = 2 * time.Second  // after an early answer, for the client to stop sending and read it
	clientBuffer = 64 << 10         // bytes in the kernel for a slow client, so that its progress is seen
)

var (
	errTimeUp   = errors.New("the attempt's time is up")
	errAnswered = errors.New("the client has its answer")
)

var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// upload is the body of a client's request, read at the client's pace. One goroutine reads at a time:
// the handler what is kept, then an attempt the rest.
type upload struct {
	body    io.Reader
	rc      *http.ResponseController
	slack   time.Duration // of wholeTimeout, what the header has left
	got     int64
	waited  time.Duration // for the client; what a server takes is not the client's time
	whole   atomic.Bool
	begun   atomic.Bool // an attempt has read of the rest: it can't be written again
	stopped atomic.Bool
	ended   func(error) // called once, when an attempt has read the last byte, or can't
}

func newUpload(w http.ResponseWriter, r *http.Request, began time.Time) *upload {
	return &upload{body: http.MaxBytesReader(w, r.Body, maxTransfer), rc: http.NewResponseController(w),
		slack: wholeTimeout - time.Since(began)}
}

func (u *upload) Read(p []byte) (int, error) {
	from := time.Now()
	left := max(u.slack, bodySlack+time.Duration(u.got)*time.Second/slowestBody) - u.waited
	if err := u.rc.SetReadDeadline(from.Add(left)); err != nil {
		return 0, err
	}
	if u.stopped.Load() { // after the deadline is set: stop sets its own
		return 0, errAnswered
	}
	n, err := u.body.Read(p)
	u.got += int64(n)
	u.waited += time.Since(from)
	if err == io.EOF {
		u.whole.Store(true)
		_ = u.rc.SetReadDeadline(time.Time{}) // net/http reads on, to see the client leave
	}
	return n, err
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

// stop ends reading once the client is answered.
func (u *upload) stop() {
	u.stopped.Store(true)
	_ = u.rc.SetReadDeadline(time.Unix(1, 0))
}

// linger reads what a client still sends after an early answer: a close at once would reset the
// connection, and the answer with it.
func (u *upload) linger() {
	if err := u.rc.SetReadDeadline(time.Now().Add(lingerFor)); err != nil {
		return
	}
	block := blocks.Get().(*[blockSize]byte)
	defer blocks.Put(block)
	for {
		if _, err := u.body.Read(block[:]); err != nil {
			return
		}
	}
}

// rest is an attempt's view of an upload. The server has to keep taking what it brings.
type rest struct {
	*upload
	silence *time.Timer
}

func (r rest) Read(p []byte) (int, error) {
	r.silence.Stop()
	r.begun.Store(true)
	n, err := r.upload.Read(p)
	if err == nil {
		r.silence.Reset(peerSilence)
	} else if r.ended != nil && !r.stopped.Load() {
		if err == io.EOF {
			r.ended(nil)
		} else {
			r.ended(err)
		}
	}
	return n, err
}

// uploadStatus is what a client gets whose body can't be taken.
func uploadStatus(err error) (status int, problem string) {
	var timeout net.Error
	switch tooLong := (*http.MaxBytesError)(nil); {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, "the body is over 32 MiB"
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout, "the body comes too slowly"
	}
	return http.StatusBadRequest, "the body can't be read"
}

// download is the part of a server's answer that is passed on as it comes.
type download struct {
	body    io.Reader
	silence *time.Timer
	done    chan error // holds one: nil, or why the answer is not whole
}

// errClient marks a download that its client didn't take.
var errClient = errors.New("the client has left")

func newDownload(body io.Reader, cancel context.CancelCauseFunc) *download {
	t := time.AfterFunc(peerSilence, func() { cancel(errTimeUp) })
	t.Stop()
	return &download{body: body, silence: t, done: make(chan error, 1)}
}

// pass writes the rest of an answer to a client as it comes. Whatever is there is flushed: a server may
// give the next piece only seconds later.
func (d *download) pass(w http.ResponseWriter, first []byte) (err error) {
	defer func() { d.done <- err }()
	rc := http.NewResponseController(w)
	block := blocks.Get().(*[blockSize]byte)
	defer blocks.Put(block)
	piece := first
	for {
		if err := rc.SetWriteDeadline(time.Now().Add(blockTimeout)); err != nil {
			return errors.Join(errClient, err)
		}
		if _, err := w.Write(piece); err != nil {
			return errors.Join(errClient, err)
		}
		if err := rc.Flush(); err != nil {
			return errors.Join(errClient, err)
		}
		d.silence.Reset(peerSilence)
		n, err := d.body.Read(block[:])
		d.silence.Stop()
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

// tcp is the socket under a client's connection; nil where there is none.
func tcp(c net.Conn) *net.TCPConn {
	for {
		switch v := c.(type) {
		case *framedConn:
			c = v.Conn
		case *gatedConn:
			c = v.Conn
		case *net.TCPConn:
			return v
		default:
			return nil
		}
	}
}
