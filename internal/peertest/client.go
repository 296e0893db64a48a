package peertest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID         string
	Class      string
	Method     string
	Key        string // idempotency key; empty for none
	Tenant     string
	Wait       time.Duration // how long the client waits, counted from the last byte that it wrote
	Behavior   ServerBehavior
	BodySize   int
	Chunked    bool // the body has no Content-Length
	WriteRate  int  // bytes of the body written a second; 0 for no limit
	WritePiece int  // bytes of the body written at once; 0 for as many as WriteRate gives in pieceInterval
	ReadRate   int  // bytes of the response read a second; 0 for no limit
	BufferSize int  // size of the client's socket buffers in bytes; 0 for the system's
}

// Result is what a client saw of its request.
type Result struct {
	Status    int   // 0 without a response
	Written   bool  // the whole request was written
	Bytes     int64 // of the response's body
	Foreign   bool  // the body has bytes that no server of the package sends
	Whole     bool
	KeepAlive bool      // the connection stays open
	SentAt    time.Time // when the last byte was written; EndedAt if the response ended before
	BeganAt   time.Time // when the response's first byte arrived
	EndedAt   time.Time
	Err       error
}

// String describes the result for a failed test.
func (r Result) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %t, first byte %v and end %v after the request's last byte, error %v", r.Status, r.Bytes, r.Whole,
		r.BeganAt.Sub(r.SentAt).Round(time.Millisecond), r.EndedAt.Sub(r.SentAt).Round(time.Millisecond), r.Err)
}

// finalAnswerSlack is how long after a client's time its final answer may still come.
const finalAnswerSlack = 550 * time.Millisecond

// IsAnsweredInTime reports whether a final answer began by the client's time and the slack that the operators' pages give.
func (r Result) IsAnsweredInTime(wait time.Duration) bool {
	return r.Status != 0 && r.BeganAt.Sub(r.SentAt) <= wait+finalAnswerSlack
}

// Head returns the head of the request.
func (r Request) Head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		r.Method, r.Behavior.Path(), r.ID, r.Class, r.Tenant, r.Wait.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	switch {
	case r.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.BodySize > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.BodySize)
	}
	b.WriteString("\r\n")
	return b.String()
}

// Connect opens a connection to a node.
func Connect(ctx context.Context, address string, bufferSize int) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok && bufferSize > 0 {
		err = errors.Join(tcp.SetReadBuffer(bufferSize), tcp.SetWriteBuffer(bufferSize))
	}
	return c, err
}

// Do sends the request on a new connection and reads its response. It gives up some seconds after the client's time.
func (r Request) Do(ctx context.Context, address string) Result {
	c, err := Connect(ctx, address, r.BufferSize)
	if err != nil {
		return Result{SentAt: time.Now(), EndedAt: time.Now(), Err: err}
	}
	defer func() { _ = c.Close() }() // nothing is owed to the peer
	return r.DoOn(ctx, c)
}

// maxResponseTime bounds how long a client reads a response that has begun.
const maxResponseTime = 120 * time.Second

// DoOn sends the request on c and reads its response, which may come before the request's end.
func (r Request) DoOn(ctx context.Context, c net.Conn) (result Result) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	w := requestWriter{conn: c, giveUpAfter: r.Wait + 6*finalAnswerSlack, written: make(chan struct{})}
	go w.write(ctx, r)
	response := bufio.NewReader(c)
	_, result.Err = response.Peek(1)
	result.BeganAt = time.Now()
	if result.Err == nil {
		w.responseBegan()
		r.readResponse(ctx, response, &result)
	}
	result.EndedAt = time.Now()
	if result.Status == 0 {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress; fails only on a closed connection
		<-w.written                             // tells whether the node had the whole request
	}
	select {
	case <-w.written:
		result.SentAt, result.Written = w.endedAt, w.err == nil
		if result.Status == 0 {
			result.Err = errors.Join(w.err, result.Err)
		}
	default: // the rest of the request is still being written
		result.SentAt, result.KeepAlive = result.EndedAt, false
	}
	return result
}

// requestWriter writes a request while its response is awaited.
type requestWriter struct {
	conn        net.Conn
	giveUpAfter time.Duration // after the request's last byte without a response
	written     chan struct{} // closed when the writing has ended
	endedAt     time.Time     // set before written is closed, as is err
	err         error

	mu    sync.Mutex
	began bool // the response has begun
}

func (w *requestWriter) write(ctx context.Context, r Request) {
	defer close(w.written)
	w.err = r.write(ctx, w.conn)
	w.endedAt = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.began {
		_ = w.conn.SetReadDeadline(w.endedAt.Add(w.giveUpAfter)) // a closed connection fails the read too
	}
}

func (w *requestWriter) responseBegan() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began = true
	_ = w.conn.SetReadDeadline(time.Now().Add(maxResponseTime)) // as above
}

func (r Request) readResponse(ctx context.Context, from *bufio.Reader, result *Result) {
	response, err := http.ReadResponse(from, nil)
	if err != nil {
		result.Err = err
		return
	}
	result.Status = response.StatusCode
	body := &bodyChecker{}
	if r.ReadRate > 0 {
		result.Bytes, err = copyAtRate(ctx, body, response.Body, r.ReadRate, 0)
	} else {
		result.Bytes, err = io.Copy(body, response.Body)
	}
	result.Whole, result.Foreign, result.Err = err == nil, body.foreign, err
	result.KeepAlive = err == nil && !response.Close && from.Buffered() == 0
}

// bodyChecker checks the bytes of a response body.
type bodyChecker struct{ foreign bool }

func (b *bodyChecker) Write(p []byte) (int, error) {
	b.foreign = b.foreign || bytes.Count(p, []byte{responseByte}) != len(p)
	return len(p), nil
}

func (r Request) write(ctx context.Context, c net.Conn) error {
	if _, err := io.WriteString(c, r.Head()); err != nil {
		return err
	}
	if r.BodySize == 0 && !r.Chunked {
		return nil
	}
	w := io.Writer(c)
	if r.Chunked {
		w = chunkWriter{c}
	}
	body := io.LimitReader(repeated('b'), int64(r.BodySize))
	var err error
	if r.WriteRate > 0 {
		_, err = copyAtRate(ctx, w, body, r.WriteRate, r.WritePiece)
	} else {
		_, err = io.Copy(w, body)
	}
	if err == nil && r.Chunked {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}
