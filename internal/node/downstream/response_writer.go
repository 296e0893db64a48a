package downstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/upstream"
)

const (
	// responseWriteTimeout is the least time that a client has to read a buffered response or the head of a streamed one.
	// boundWrite may give it twice as long, to set fewer deadlines.
	responseWriteTimeout = 5 * time.Second
	// blockWriteTimeout is how long a client may take to read one block of a streamed response.
	blockWriteTimeout = 10 * time.Second
	// minSendBufferBytes is what the kernel takes for a client that reads nothing, from a new connection.
	minSendBufferBytes = 4 << 10
	// clientSendBufferBytes is the kernel's buffer for a streamed response: small, so that a client's progress is seen.
	clientSendBufferBytes = 64 << 10
)

// writeResponses writes responses until the connection ends.
func (c *clientConn) writeResponses() {
	for {
		select {
		case a := <-c.reply:
			complete, early := c.writeResponse(a)
			open := complete && (early || !c.closeAfterResponse)
			c.finishRequest()
			if open && !c.closeAfterResponse {
				c.server.clientConns.setState(c.tracked, http.StateIdle)
			}
			if !open && (!complete || !c.hasPollEvent(unix.POLLIN)) { // else the reader finds the bytes, and lingers
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

// writeResponse writes a response, and reports whether it was written completely, and whether it came before the end of the
// request's body: then the connection is read on, so that the client gets the response.
func (c *clientConn) writeResponse(a Response) (complete, early bool) {
	x := c.exchange
	early = x.upload != nil && !x.upload.complete.Load()
	if early {
		x.upload.stop()
		c.closeAfterResponse = true
	}
	if a.Stream != nil {
		return c.streamResponse(a), false
	}
	if !early || a.Status >= http.StatusInternalServerError {
		x.tally.Count(a.Status)
	}
	a.Length = int64(len(a.Body))
	return c.sendResponse(a) == nil, early
}

// streamResponse writes a response whose body comes bit by bit, and reports whether that was complete. One that breaks off
// ends the connection, so that the client can tell.
func (c *clientConn) streamResponse(a Response) bool {
	conn := tcpConn(c)
	if conn != nil {
		_ = conn.SetWriteBuffer(clientSendBufferBytes) // if this fails, a slow client's progress is noticed later
	}
	to := io.Writer(c.Conn)
	if a.Length < 0 && c.http10 {
		c.closeAfterResponse = true // HTTP/1.0 has no chunks: the body ends with the connection
	} else if a.Length < 0 {
		to = http1.ChunkWriter{Conn: c}
	}
	c.writeDeadline, c.boundsEveryWrite = time.Time{}, true
	c.boundWrite(responseWriteTimeout)
	if _, err := c.Write(c.responseHead(a)); err != nil {
		closeQuietly(c) // so that no body follows half a head
	}
	err := a.Stream.CopyTo(blockWriter{conn: c, to: to}, a.Body)
	if err == nil && a.Length < 0 && !c.http10 {
		_, err = io.WriteString(c, http1.LastChunk)
	}
	c.writeDeadline = time.Time{}
	switch {
	case err == nil || errors.Is(err, upstream.ErrClientDisconnected):
		c.exchange.tally.Count(a.Status)
	default:
		c.exchange.tally.Count(http.StatusBadGateway)
		if conn != nil && a.Length < 0 && c.http10 { // a plain close would mean a complete body
			_ = conn.SetLinger(0) // the close resets the connection then; fails only on a closed one
		}
	}
	return err == nil
}

// blockWriter writes the blocks of a streamed response, each bounded by blockWriteTimeout.
type blockWriter struct {
	conn net.Conn  // the client's
	to   io.Writer // writes to conn
}

func (w blockWriter) Write(block []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(blockWriteTimeout)); err != nil {
		return 0, err
	}
	return w.to.Write(block)
}

// boundWrite bounds the next write: a client that reads nothing must not block the writer for ever. To set fewer deadlines,
// one may end at up to twice the time, and the first few bytes of a connection have none.
func (c *clientConn) boundWrite(d time.Duration) {
	if !c.boundsEveryWrite && c.bytesSent <= minSendBufferBytes {
		return
	}
	now := time.Now()
	if c.writeDeadline.Before(now.Add(d)) {
		c.writeDeadline = now.Add(2 * d)
		_ = c.SetWriteDeadline(c.writeDeadline) // fails only on a closed connection, where the write fails too
	}
}

// sendResponse writes a response whose body is buffered.
func (c *clientConn) sendResponse(a Response) error {
	b := c.responseHead(a)
	c.bytesSent += int64(len(b) + len(a.Body))
	c.boundWrite(responseWriteTimeout)
	var err error
	c.writeBuffer, err = http1.WriteMessage(c, b, a.Body)
	return err
}

// responseHead makes the head of a response. Whether the connection stays open is decided here, and not when the request
// came: a node that began to drain since has no time for another one.
func (c *clientConn) responseHead(a Response) []byte {
	c.closeAfterResponse = c.closeAfterResponse || c.server.Draining.Load()
	b := append(c.writeBuffer[:0], "HTTP/1."...)
	if c.http10 {
		b = append(b, '0')
	} else {
		b = append(b, '1')
	}
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, "\r\nDate: "...)
	b = append(b, dateText(time.Now())...)
	b = http1.AppendField(b, "Content-Type", a.ContentType)
	b = http1.AppendField(b, "Allow", a.AllowedMethod)
	if a.RetryAfter > 0 {
		b = http1.AppendField(b, "Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if a.Length >= 0 || !c.http10 {
		b = http1.AppendBodyFraming(b, a.Length)
	}
	switch {
	case c.closeAfterResponse:
		b = append(b, "\r\nConnection: close"...)
	case c.http10:
		b = append(b, "\r\nConnection: keep-alive"...)
	}
	b = append(b, "\r\n\r\n"...)
	c.writeBuffer = b
	return b
}

// dated is the text of a Date field for one second.
type dated struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[dated]

// dateText is the text of a Date field.
func dateText(now time.Time) string {
	d := lastDate.Load()
	if d == nil || d.second != now.Unix() {
		d = &dated{now.Unix(), now.UTC().Format(http.TimeFormat)}
		lastDate.Store(d)
	}
	return d.text
}

// sendError answers an invalid request and ends the connection; at once where nothing is unread, since its descriptor
// is wanted.
func (c *clientConn) sendError(problem *requestError, unread bool) {
	c.closeAfterResponse = true
	a := Response{Status: problem.status, Body: []byte(problem.text + "\n"), ContentType: "text/plain; charset=utf-8",
		AllowedMethod: problem.allowedMethod}
	a.Length = int64(len(a.Body))
	if c.sendResponse(a) != nil || problem.status == http.StatusRequestTimeout { // its time is up
		return
	}
	if unread || c.hasPollEvent(unix.POLLIN) {
		c.linger(lastResponseLinger)
	}
}

// sendContinue answers Expect: 100-continue.
func (c *clientConn) sendContinue(m *requestHead) error {
	if !m.expectsContinue || m.minor == 0 || c.reader.Buffered() > 0 {
		return nil
	}
	const text = "HTTP/1.1 100 Continue\r\n\r\n"
	c.bytesSent += int64(len(text))
	c.boundWrite(responseWriteTimeout)
	_, err := io.WriteString(c, text)
	return err
}
