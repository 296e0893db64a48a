package upstream

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/internal/node/http1"
)

// stallTimeout is how long a server may neither take nor send anything in the middle of a body.
const stallTimeout = 5 * time.Second

var errBodyClosed = errors.New("upstream: the attempt no longer reads the request's body")

// Request is what servers get of a client's request. It isn't changed while attempts use it.
type Request struct {
	ID             string
	Method         string
	Path           string // and query, as they came
	Host           string
	IdempotencyKey string // by which servers drop repeats; empty for none
	ContentType    string // empty for none
	Body           []byte // as much of it as is buffered
	Stream         BodyStream
	Length         int64 // of the complete body in bytes, where Stream is set; -1 where it is unknown
}

// BodyStream is the part of a request's body that is read while it is sent; a Request whose Body is complete has none.
// One attempt at a time reads it.
type BodyStream interface {
	// Read returns io.EOF at the end of the complete body.
	io.Reader
	// Begin hears that an attempt is about to read: the request can't be sent again from then on.
	Begin()
	// End hears why an attempt can read nothing more: nil for the end of the complete body.
	End(err error)
	// Complete reports whether all of it was read.
	Complete() bool
}

// isChunked reports whether the body is written in chunks.
func (r *Request) isChunked() bool { return r.Stream != nil && r.Length < 0 }

// contentLength is the length of the complete body in bytes; -1 where it is unknown.
func (r *Request) contentLength() int64 {
	if r.Stream != nil {
		return r.Length
	}
	return int64(len(r.Body))
}

// hasFraming reports whether the head says how long the body is. A GET without a body says nothing.
func (r *Request) hasFraming() bool { return r.contentLength() != 0 || r.Method != http.MethodGet }

// requestWriter writes one request.
type requestWriter struct {
	requestsSent *metrics.Counter
	complete     atomic.Bool // the last byte is written: the server may have begun it
}

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// writeBuffered writes the head and what is buffered of the body.
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

// streamBody writes the rest of the body as it comes, while the response is read. The returned function ends that: where
// nothing of the rest was read by then, nothing will be. The goroutine ends with the body, or once c is closed.
func (w *requestWriter) streamBody(c *serverConn, a Attempt) (stop func()) {
	body := newBodyReader(a.Request.Stream, a.Lifetime)
	go func() {
		to := io.Writer(c.Conn)
		if a.Request.isChunked() {
			to = http1.ChunkWriter{Conn: c}
		}
		block := http1.GetCopyBuffer()
		defer http1.PutCopyBuffer(block)
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, body, block[:])
		if err == nil && a.Request.isChunked() {
			_, err = io.WriteString(c, http1.LastChunk)
		}
		switch {
		case err == nil:
			w.markComplete()
		case body.clientFailed: // where it is the server that takes no more, its response may still come
			a.Lifetime.cancelWith(errAttemptTimeout)
		}
	}()
	return body.close
}

// bodyReader is an attempt's view of a BodyStream. It cancels the attempt if the server takes nothing for stallTimeout.
type bodyReader struct {
	stream       BodyStream
	stallTimer   *time.Timer
	clientFailed bool // reading did, as opposed to writing

	mu     sync.Mutex
	closed bool
}

func newBodyReader(stream BodyStream, l *Lifetime) *bodyReader {
	return &bodyReader{stream: stream, stallTimer: time.AfterFunc(stallTimeout, func() { l.cancelWith(errAttemptTimeout) })}
}

// Read reads from the client. Time that the client takes doesn't count as the server's.
func (r *bodyReader) Read(p []byte) (int, error) {
	if !r.begin() {
		return 0, errBodyClosed
	}
	n, err := r.stream.Read(p)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.closed {
			r.stallTimer.Reset(stallTimeout)
		}
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		r.stream.End(nil)
		return n, err
	}
	r.clientFailed = true
	r.stream.End(err)
	return n, err
}

// begin reports whether the attempt may still read.
func (r *bodyReader) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stallTimer.Stop()
	if !r.closed {
		r.stream.Begin()
	}
	return !r.closed
}

// close ends the attempt's reading. A read that is under way is the last.
func (r *bodyReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.stallTimer.Stop()
}
