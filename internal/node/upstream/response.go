package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
)

// Response is the part of a server's response that is passed to the client.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Stream      *ResponseStream // the rest of the body, streamed after Body; nil if Body is complete
	Length      int64           // length of the complete body in bytes; -1 if unknown
}

// response is a server's response while it is read.
type response struct {
	Response
	remaining io.Reader // the part of the body to stream; nil for none
	keepAlive bool      // the connection stays open
	head      *http1.Head
}

// responseReader reads responses. Idle connections don't hold one.
type responseReader struct {
	buf     *bufio.Reader
	heads   http1.HeadReader
	pending *pendingRead // from buf, begun by readStart and not ended then; nil for none
}

var responseReaders = sync.Pool{New: func() any { return &responseReader{buf: bufio.NewReader(nil)} }}

func acquireResponseReader(from io.Reader) *responseReader {
	r := responseReaders.Get().(*responseReader)
	r.buf.Reset(from)
	return r
}

// release returns r to the pool. A pending read must have ended, or be about to end by the close of the connection.
func (r *responseReader) release() {
	if r.pending != nil {
		<-r.pending.ended
		r.pending = nil
	}
	r.buf.Reset(nil)
	responseReaders.Put(r)
}

// readResponse reads the head of the final response, and the part of its body that is buffered. w may still write the request.
func (r *responseReader) readResponse(a Attempt, w *requestWriter) (resp response, err error) {
	for resp.Status < http.StatusOK { // skip interim responses
		if err := r.awaitBeginning(a.Lifetime); err != nil {
			return resp, http1.UnexpectedEOF(err)
		}
		if resp.head, err = r.heads.Read(r.buf, http1.MaxHeadBytes); err != nil {
			return resp, http1.UnexpectedEOF(err)
		}
		minor, status, err := parseStatusLine(resp.head.FirstLine)
		if err != nil {
			return resp, err
		}
		resp.Status, resp.keepAlive = status, minor == 1
		if status == http.StatusSwitchingProtocols { // requests never ask for an upgrade
			return resp, http1.ErrMalformedHead
		}
	}
	f, err := resp.head.Framing()
	if err != nil {
		return resp, err
	}
	resp.ContentType, resp.Length = resp.head.Get("Content-Type"), f.Length
	resp.keepAlive = (resp.keepAlive || f.KeepAlive) && !f.Close
	var body io.Reader
	switch {
	case resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified || f.Length == 0:
		return resp, nil
	case f.Chunked:
		body = http1.NewChunkedBody(r.buf)
	case f.Length > 0:
		body = &http1.SizedBody{Reader: r.buf, Remaining: f.Length}
	default: // the end of the connection ends the body
		body, resp.keepAlive = r.buf, false
	}
	err = r.readBody(&resp, body, a, w)
	return resp, err
}

// awaitBeginning waits for the first bytes of a response. If the rest of its head has not come with them, it takes as long as
// the client waits.
func (r *responseReader) awaitBeginning(l *Lifetime) error {
	if _, err := r.buf.Peek(1); err != nil {
		return err
	}
	if begun, err := r.buf.Peek(r.buf.Buffered()); err != nil || !bytes.Contains(begun, headEnd) {
		l.enter(Responding)
	}
	return nil
}

var headEnd = []byte("\r\n\r\n")

// readBody buffers a body of up to http1.MaxBufferedBodyBytes, or the start of a longer one. The rest of a longer one is
// streamed if the status is 200. Otherwise it is discarded together with the connection.
func (r *responseReader) readBody(resp *response, body io.Reader, a Attempt, w *requestWriter) (err error) {
	short := resp.Length >= 0 && resp.Length <= http1.MaxBufferedBodyBytes
	if resp.Status == http.StatusOK && (!short || int64(r.buf.Buffered()) < resp.Length) { // otherwise no read waits
		a.Lifetime.enter(Responding)
	}
	switch {
	case short && (a.Request.Held.Take(int(resp.Length), memory.Ongoing) || resp.Status != http.StatusOK):
		resp.Body = make([]byte, resp.Length)
		_, err = io.ReadFull(body, resp.Body)
		return err
	case resp.Status == http.StatusOK:
		return r.readStart(resp, body, a, w)
	}
	resp.Body, err = io.ReadAll(io.LimitReader(body, http1.MaxBufferedBodyBytes+1))
	if len(resp.Body) > http1.MaxBufferedBodyBytes {
		resp.keepAlive = false // the rest stays unread; error bodies are not passed to clients
	}
	return err
}

// parseStatusLine parses the first line of a response.
func parseStatusLine(line string) (minor, status int, err error) {
	version, line, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(line, " ")
	minor, ok := http1.ParseVersion(version)
	status, err = strconv.Atoi(code)
	if !ok || err != nil || len(code) != 3 || status < 100 {
		return 0, 0, http1.ErrMalformedHead
	}
	return minor, status, nil
}
