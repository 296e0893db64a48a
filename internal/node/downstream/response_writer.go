package downstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/upstream"
)

const (
	// responseWriteTimeout is the minimum time that a client gets to read a buffered response or the head of a streamed
	// one. extendWriteDeadline may allow up to twice as long, so that it sets fewer deadlines.
	responseWriteTimeout = 5 * time.Second
	// readPeriod is how long a client may read nothing of a streamed response.
	readPeriod = 10 * time.Second
	// minSendBufferBytes is how much the kernel accepts at least on a new connection whose client reads nothing.
	minSendBufferBytes = 4 << 10
	// clientSendBufferBytes is the size of the kernel's send buffer for a streamed response. It is small so that the
	// writes reflect the client's progress.
	clientSendBufferBytes = 64 << 10
)

var writeBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// writeResponses writes responses until the connection ends.
func (c *clientConn) writeResponses() {
	for {
		select {
		case resp := <-c.reply:
			complete, early := c.writeResponse(resp)
			open := complete && (early || !c.closeAfterResponse)
			if !complete {
				c.end(closedIncomplete)
			}
			c.finishRequest()
			if open && !c.closeAfterResponse {
				c.server.clientConns.setState(c.tracked, http.StateIdle)
			}
			if !open && (!complete || !c.hasPollEvent(unix.POLLIN)) { // otherwise the reader finds the bytes and lingers
				closeQuietly(c)
			}
			c.responseWritten <- open
			if !open {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// writeResponse writes a response. It reports whether the response was written completely, and whether it was an early
// one: before the end of the request's body. The connection then lingers, so that the client gets the response.
//
// The server of a streamed response may still need the rest of the request, so the body is read until the response ends.
func (c *clientConn) writeResponse(resp Response) (complete, early bool) {
	x := c.exchange
	if resp.Stream != nil {
		c.closeAfterResponse = c.closeAfterResponse || x.upload != nil && !x.upload.isReceived()
		complete = c.streamResponse(resp)
		return complete, x.upload != nil && x.upload.stop()
	}
	early = x.upload != nil && x.upload.stop()
	c.closeAfterResponse = c.closeAfterResponse || early
	if !early || resp.Status >= http.StatusInternalServerError {
		x.counter.Count(resp.Status)
	}
	resp.Length = int64(len(resp.Body))
	return c.sendResponse(resp) == nil, early
}

// streamResponse writes a streamed response, and reports whether it was complete. An incomplete response ends the
// connection, so that the client notices.
func (c *clientConn) streamResponse(resp Response) bool {
	c.streaming.Store(true)
	defer c.streaming.Store(false)
	conn := tcpConn(c)
	if conn != nil {
		_ = conn.SetWriteBuffer(clientSendBufferBytes) // if this fails, a slow client is only noticed later
	}
	body := io.Writer(c.Conn)
	if resp.Length < 0 && c.http10 {
		c.closeAfterResponse = true // HTTP/1.0 has no chunked bodies: the end of the connection ends the body
	} else if resp.Length < 0 {
		body = http1.ChunkWriter{Conn: underlyingConn(c)}
	}
	c.writeDeadline, c.requiresWriteDeadline = time.Time{}, true
	c.extendWriteDeadline(responseWriteTimeout)
	if _, err := c.Write(c.appendResponseHead(nil, resp)); err != nil {
		closeQuietly(c) // so that no body is sent after an incomplete head
	}
	_ = c.SetWriteDeadline(time.Time{}) // from here on the watch ends a write; fails only on a closed connection
	watch := &readerWatch{conn: c, period: readPeriod}
	err := resp.Stream.CopyTo(blockWriter{watch, body}, resp.Body)
	if err == nil && resp.Length < 0 && !c.http10 {
		_, err = io.WriteString(blockWriter{watch, c}, http1.LastChunk)
	}
	c.writeDeadline = time.Time{}
	switch {
	case err == nil || errors.Is(err, upstream.ErrClientDisconnected):
		c.exchange.counter.Count(resp.Status)
	default:
		c.exchange.counter.Count(http.StatusBadGateway)
		if conn != nil && resp.Length < 0 && c.http10 { // a normal close would mark the body as complete
			_ = conn.SetLinger(0) // makes the close reset the connection; fails only on a closed one
		}
	}
	return err == nil
}

// blockWriter writes the blocks of a streamed response under a readerWatch.
type blockWriter struct {
	watch *readerWatch
	body  io.Writer // writes to the watch's connection
}

func (w blockWriter) Write(block []byte) (int, error) {
	w.watch.begin()
	defer w.watch.end()
	return w.body.Write(block)
}

// extendWriteDeadline ensures that the next write has a deadline at least d away, so that a client that reads nothing
// can't block the writer forever. To set fewer deadlines, it sets them 2*d ahead. It sets none for the first
// minSendBufferBytes of a connection unless requiresWriteDeadline is set.
func (c *clientConn) extendWriteDeadline(d time.Duration) {
	if !c.requiresWriteDeadline && c.bytesSent <= minSendBufferBytes {
		return
	}
	now := time.Now()
	if c.writeDeadline.Before(now.Add(d)) {
		c.writeDeadline = now.Add(2 * d)
		_ = c.SetWriteDeadline(c.writeDeadline) // fails only on a closed connection, where the write fails too
	}
}

// sendResponse writes a response whose body is buffered.
func (c *clientConn) sendResponse(resp Response) error {
	b := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(b)
	*b = c.appendResponseHead((*b)[:0], resp)
	c.bytesSent += int64(len(*b) + len(resp.Body))
	c.extendWriteDeadline(responseWriteTimeout)
	var err error
	*b, err = http1.WriteMessage(c, *b, resp.Body)
	return err
}

// appendResponseHead appends the head of a response. It decides here whether the connection stays open, not when the request
// arrives, because a node that began to drain in between must not take another request.
func (c *clientConn) appendResponseHead(b []byte, resp Response) []byte {
	c.closeAfterResponse = c.closeAfterResponse || c.server.Draining.Load()
	b = append(b, "HTTP/1."...)
	if c.http10 {
		b = append(b, '0')
	} else {
		b = append(b, '1')
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(resp.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(resp.Status)...)
	b = append(b, "\r\nDate: "...)
	b = append(b, formatDate(time.Now())...)
	b = http1.AppendField(b, "Content-Type", resp.ContentType)
	b = http1.AppendField(b, "Allow", resp.AllowedMethod)
	if resp.RetryAfter > 0 {
		b = http1.AppendField(b, "Retry-After", strconv.FormatFloat(resp.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if resp.Length >= 0 || !c.http10 {
		b = http1.AppendBodyFraming(b, resp.Length)
	}
	switch {
	case c.closeAfterResponse:
		b = append(b, "\r\nConnection: close"...)
	case c.http10:
		b = append(b, "\r\nConnection: keep-alive"...)
	}
	return append(b, "\r\n\r\n"...)
}

// cachedDate is the value of the Date field for one second.
type cachedDate struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[cachedDate]

// formatDate returns the value of the Date field.
func formatDate(now time.Time) string {
	d := lastDate.Load()
	if d == nil || d.second != now.Unix() {
		d = &cachedDate{now.Unix(), now.UTC().Format(http.TimeFormat)}
		lastDate.Store(d)
	}
	return d.text
}

// sendError responds to an invalid request. The connection ends afterwards: at once to free its descriptor, unless bytes
// of the client are unread.
func (c *clientConn) sendError(problem *requestError, unread bool) {
	c.closeAfterResponse = true
	resp := Response{Status: problem.status, Body: []byte(problem.text + "\n"), ContentType: "text/plain; charset=utf-8",
		AllowedMethod: problem.allowedMethod}
	resp.Length = int64(len(resp.Body))
	if c.sendResponse(resp) != nil || problem.status == http.StatusRequestTimeout { // a timed-out client gets no more time
		return
	}
	if unread || c.hasPollEvent(unix.POLLIN) {
		c.linger(lastResponseLinger)
	}
}

// sendContinue sends 100 Continue if the client waits for it.
func (c *clientConn) sendContinue(m *requestHead) error {
	if !m.expectsContinue || m.minor == 0 || c.reader.Buffered() > 0 {
		return nil
	}
	const text = "HTTP/1.1 100 Continue\r\n\r\n"
	c.bytesSent += int64(len(text))
	c.extendWriteDeadline(responseWriteTimeout)
	_, err := io.WriteString(c, text)
	return err
}
