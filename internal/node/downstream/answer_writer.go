package downstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/upstream"
)

const (
	// answerWriteTimeout is for an answer to a client that doesn't read.
	answerWriteTimeout = 5 * time.Second
	// minSendBufferBytes is what the kernel takes for a client that reads nothing, from a new connection.
	minSendBufferBytes = 4 << 10
	// clientSendBufferBytes is the kernel's buffer for a streamed answer: small, so that a client's progress is seen.
	clientSendBufferBytes = 64 << 10
)

// writeAnswers writes the answers to what is read, until the connection's end.
func (c *clientConn) writeAnswers() {
	for {
		select {
		case a := <-c.reply:
			whole, early := c.writeAnswer(a)
			goesOn := whole && (early || !c.closeAfterAnswer)
			c.finishRequest()
			if goesOn && !c.closeAfterAnswer {
				c.server.clientConns.setState(c.tracked, http.StateIdle)
			}
			if !goesOn && (!whole || !c.hasPollEvent(unix.POLLIN)) { // else its reader sees that, and closes
				closeQuietly(c)
			}
			c.answered <- goesOn
			if !goesOn {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// writeAnswer writes the client's answer, and tells whether that is whole, and whether it came early: then the connection
// is read on all the same, so that the client gets it.
func (c *clientConn) writeAnswer(a Answer) (whole, early bool) {
	x := c.exchange
	early = x.upload != nil && !x.upload.complete.Load()
	if early {
		x.upload.stop()
		c.closeAfterAnswer = true
	}
	if a.Stream != nil {
		return c.streamAnswer(a), false
	}
	if !early || a.Status >= http.StatusInternalServerError {
		x.tally.Count(a.Status)
	}
	a.Length = int64(len(a.Body))
	return c.sendAnswer(a) == nil, early
}

// streamAnswer passes a long answer on. One that breaks off ends the connection, so that the client can tell.
func (c *clientConn) streamAnswer(a Answer) bool {
	conn := tcpConn(c)
	if conn != nil {
		_ = conn.SetWriteBuffer(clientSendBufferBytes)
	}
	to := io.Writer(c.Conn)
	if a.Length < 0 && c.http10 {
		c.closeAfterAnswer = true // its end is the connection's
	} else if a.Length < 0 {
		to = http1.ChunkWriter{Conn: c}
	}
	c.writeDeadline, c.bytesSent = time.Time{}, minSendBufferBytes+1
	c.boundWrite(answerWriteTimeout)
	if _, err := c.Write(c.answerHead(a)); err != nil {
		c.Close() // so that nothing is passed on behind half a head
	}
	err := a.Stream.CopyTo(to, c, a.Body)
	if err == nil && a.Length < 0 && !c.http10 {
		_, err = io.WriteString(c, http1.LastChunk)
	}
	c.writeDeadline = time.Time{}
	switch {
	case err == nil || errors.Is(err, upstream.ErrClientGone):
		c.exchange.tally.Count(a.Status)
	default:
		c.exchange.tally.Count(http.StatusBadGateway)
		if conn != nil && a.Length < 0 && c.http10 { // a plain close would mean the end
			_ = conn.SetLinger(0)
		}
	}
	return err == nil
}

// boundWrite bounds what is written next: a client that reads nothing must not hold the writer for ever. A
// deadline that ends at most twice as late is as good, and the first few bytes of a connection need none.
func (c *clientConn) boundWrite(d time.Duration) {
	if c.bytesSent <= minSendBufferBytes {
		return
	}
	now := time.Now()
	if c.writeDeadline.Before(now.Add(d)) {
		c.writeDeadline = now.Add(2 * d)
		_ = c.SetWriteDeadline(c.writeDeadline)
	}
}

// sendAnswer writes a whole answer.
func (c *clientConn) sendAnswer(a Answer) error {
	b := c.answerHead(a)
	c.bytesSent += int64(len(b) + len(a.Body))
	c.boundWrite(answerWriteTimeout)
	var err error
	c.writeBuffer, err = http1.WriteMessage(c, b, a.Body)
	return err
}

// answerHead writes the head of an answer. Whether the connection goes on is settled here, and not when the request
// came: a node that was told to stop since has no more time for another one.
func (c *clientConn) answerHead(a Answer) []byte {
	c.closeAfterAnswer = c.closeAfterAnswer || c.server.Draining.Load()
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
	case c.closeAfterAnswer:
		b = append(b, "\r\nConnection: close"...)
	case c.http10:
		b = append(b, "\r\nConnection: keep-alive"...)
	}
	b = append(b, "\r\n\r\n"...)
	c.writeBuffer = b
	return b
}

// dated is the text of one second.
type dated struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[dated]

func dateText(now time.Time) string {
	d := lastDate.Load()
	if d == nil || d.second != now.Unix() {
		d = &dated{now.Unix(), now.UTC().Format(http.TimeFormat)}
		lastDate.Store(d)
	}
	return d.text
}

// sendError answers what isn't taken, and ends the connection, at once where nothing is left unread: no client
// of ours sends such, and its descriptor is wanted.
func (c *clientConn) sendError(problem *requestError, unread bool) {
	c.closeAfterAnswer = true
	a := Answer{Status: problem.status, Body: []byte(problem.text + "\n"), ContentType: "text/plain; charset=utf-8", AllowedMethod: problem.allowedMethod}
	a.Length = int64(len(a.Body))
	if c.sendAnswer(a) != nil || problem.status == http.StatusRequestTimeout { // its time is up
		return
	}
	if unread || c.hasPollEvent(unix.POLLIN) {
		c.linger(lastAnswerLinger)
	}
}

// sendContinue tells a client that waits for it to send its body.
func (c *clientConn) sendContinue(m *requestHead) error {
	if !m.expectsContinue || m.minor == 0 || c.reader.Buffered() > 0 {
		return nil
	}
	const text = "HTTP/1.1 100 Continue\r\n\r\n"
	c.bytesSent += int64(len(text))
	c.boundWrite(answerWriteTimeout)
	_, err := io.WriteString(c, text)
	return err
}
