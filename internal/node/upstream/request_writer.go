package upstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/internal/node/http1"
)

// stallTimeout is how long a server may take to read the next part of a request body, or to send the next part of a
// response body.
const stallTimeout = 5 * time.Second

var errBodyClosed = errors.New("upstream: request body read after the attempt ended")

// requestWriter writes one request.
type requestWriter struct {
	requestsSent *metrics.Counter
	complete     atomic.Bool // the last byte is written, so the server may have run the request
}

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// writeBuffered writes the head and the buffered part of the body.
func (w *requestWriter) writeBuffered(c *serverConn, a Attempt) error {
	b := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(b)
	*b = appendRequestHead((*b)[:0], a)
	var err error
	if a.Request.isChunked() {
		if _, err = c.Write(*b); err == nil {
			_, err = http1.ChunkWriter{Conn: c}.Write(a.Request.Body)
		}
	} else {
		*b, err = http1.WriteMessage(c, *b, a.Request.Body)
	}
	if err == nil && a.Request.Stream == nil {
		w.markComplete()
	}
	return err
}

func (w *requestWriter) markComplete() {
	w.complete.Store(true)
	w.requestsSent.Inc()
}

// streamBody starts a goroutine that writes the rest of the body as it arrives, while the response is read. After stop
// returns, no further read of the body begins. The goroutine ends at the end of the body, or when a read of the body
// or a write to c fails.
func (w *requestWriter) streamBody(c *serverConn, a Attempt) (stop func()) {
	body := newBodyReader(a.Request.Stream, a.Lifetime)
	go func() {
		dst := io.Writer(c.Conn)
		if a.Request.isChunked() {
			dst = http1.ChunkWriter{Conn: c}
		}
		err := body.copyTo(dst)
		if err == nil && a.Request.isChunked() {
			_, err = io.WriteString(c, http1.LastChunk)
		}
		switch {
		case err == nil:
			w.markComplete()
		case body.clientFailed: // after a failed write, the server's response may still arrive
			a.Lifetime.cancelWith(errAttemptTimeout)
		}
	}()
	return body.close
}

// bodyReader reads a BodyStream for one attempt. It cancels the attempt if the server takes nothing for stallTimeout.
type bodyReader struct {
	stream       BodyStream
	stallTimer   *time.Timer
	clientFailed bool // reading from the client failed

	mu     sync.Mutex
	closed bool
}

func newBodyReader(stream BodyStream, l *Lifetime) *bodyReader {
	return &bodyReader{stream: stream, stallTimer: time.AfterFunc(stallTimeout, func() { l.cancelWith(errAttemptTimeout) })}
}

// copyTo writes the rest of the body to w.
func (r *bodyReader) copyTo(w io.Writer) error {
	for {
		bytes, err := r.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := w.Write(bytes); err != nil {
			return err
		}
	}
}

// next returns the next bytes from the client. The stall timer is stopped meanwhile, so that a slow client doesn't count
// against the server.
func (r *bodyReader) next() ([]byte, error) {
	if !r.begin() {
		return nil, errBodyClosed
	}
	bytes, err := r.stream.Next()
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.closed {
			r.stallTimer.Reset(stallTimeout)
		}
		return bytes, nil
	}
	if errors.Is(err, io.EOF) {
		r.stream.End(nil)
		return nil, err
	}
	r.clientFailed = true
	r.stream.End(err)
	return nil, err
}

// begin stops the stall timer and reports whether the attempt may still read. If so, it calls Begin of the stream.
func (r *bodyReader) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stallTimer.Stop()
	if !r.closed {
		r.stream.Begin()
	}
	return !r.closed
}

// close prevents further reads. A read in progress may still complete.
func (r *bodyReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.stallTimer.Stop()
}
