package upstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/internal/node/http1"
)

var (
	errBodyClosed     = errors.New("upstream: request body read after the attempt ended")
	errAttemptAborted = errors.New("upstream: request body written after the attempt ended")
)

// requestWriter writes one request to a connection, and tells whether the request's last byte was written: a server may have
// run the request then.
//
// While the rest of a body is written, another goroutine reads the response, and may find the connection broken before the
// write of the last byte has returned. So a failed attempt asks abort, which first ends the writing.
type requestWriter struct {
	conn         *serverConn
	requestsSent *metrics.Counter
	complete     atomic.Bool // the last byte is written

	mu      sync.Mutex // held during each write of the rest of the body
	aborted bool       // nothing more is written
}

// abort ends the writing and closes the connection. It reports whether the request's last byte was written, which no longer
// changes then.
func (w *requestWriter) abort() (complete bool) {
	closeQuietly(w.conn) // ends a write in progress
	w.mu.Lock()
	defer w.mu.Unlock()
	w.aborted = true
	return w.complete.Load()
}

var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// writeBuffered writes the head and the buffered part of the body. If it fails, the last byte is not written.
func (w *requestWriter) writeBuffered(a Attempt) error {
	b := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(b)
	*b = appendRequestHead((*b)[:0], a)
	var err error
	if a.Request.isChunked() {
		if _, err = w.conn.Write(*b); err == nil {
			_, err = http1.ChunkWriter{Conn: w.conn.Conn}.Write(a.Request.Body)
		}
	} else {
		*b, err = http1.WriteMessage(w.conn, *b, a.Request.Body)
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

// isDelivered reports whether the server's machine has received the whole request. What is written may still wait in this
// machine's send buffer, for a server that reads slowly.
func (w *requestWriter) isDelivered() bool { return w.complete.Load() && w.conn.unsentBytes() == 0 }

// streamBody starts a goroutine that writes the rest of the body as it arrives, while the response is read. After stop
// returns, no further read of the body begins. The goroutine ends at the end of the body, or when a read of the body
// or a write to the connection fails.
func (w *requestWriter) streamBody(a Attempt) (stop func()) {
	body := newBodyReader(a.Request.Stream, a.Lifetime)
	go func() {
		if err := w.writeRest(body, a.Request); err != nil && body.clientFailed { // after a failed write, the server's response may still arrive
			a.Lifetime.cancelWith(errAttemptTimeout)
		}
	}()
	return body.close
}

// writeRest writes the rest of the body as it arrives.
func (w *requestWriter) writeRest(body *bodyReader, r *Request) error {
	dst := io.Writer(w.conn)
	if r.isChunked() {
		dst = http1.ChunkWriter{Conn: w.conn.Conn}
	}
	written := int64(len(r.Body))
	for {
		bytes, err := body.next()
		if errors.Is(err, io.EOF) && r.isChunked() {
			return w.writePart(w.conn, []byte(http1.LastChunk), true)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		written += int64(len(bytes))
		if err := w.writePart(dst, bytes, written == r.Length); err != nil { // never so in chunks, which have no length
			return err
		}
	}
}

// writePart writes a part of the rest of the request to dst, which writes to the connection. last is whether it ends with the
// request's last byte. That byte counts as written if the connection has taken it, whatever else the write returns.
func (w *requestWriter) writePart(dst io.Writer, part []byte, last bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.aborted {
		return errAttemptAborted
	}
	n, err := dst.Write(part)
	if last && n == len(part) {
		w.markComplete()
	}
	return err
}

// bodyReader reads a BodyStream for one attempt. The time of the attempt's stallWatch runs from the end of a read to the next.
type bodyReader struct {
	stream       BodyStream
	lifetime     *Lifetime
	clientFailed bool // reading from the client failed

	mu           sync.Mutex
	awaitsServer bool // bytes were read and are being written
	closed       bool
}

func newBodyReader(stream BodyStream, l *Lifetime) *bodyReader {
	return &bodyReader{stream: stream, lifetime: l}
}

// next returns the next bytes from the client.
func (r *bodyReader) next() ([]byte, error) {
	if !r.begin() {
		return nil, errBodyClosed
	}
	bytes, err := r.stream.Next()
	r.end(err == nil)
	if err == nil {
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

// begin reports whether the attempt may still read. If so, it calls Begin of the stream.
func (r *bodyReader) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endWriteLocked()
	if !r.closed {
		r.stream.Begin()
		r.lifetime.stall.setClientWait(true)
	}
	return !r.closed
}

// end ends what begin has begun. written is whether bytes were read, which are written next.
func (r *bodyReader) end(written bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifetime.stall.setClientWait(false)
	if written && !r.closed {
		r.awaitsServer = true
		r.lifetime.awaitServer()
	}
}

// endWriteLocked ends the wait for the server to take what was read last. r.mu is held.
func (r *bodyReader) endWriteLocked() {
	if r.awaitsServer {
		r.awaitsServer = false
		r.lifetime.stall.endServerWait()
	}
}

// close prevents further reads. A read in progress may still complete.
func (r *bodyReader) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.endWriteLocked()
}
