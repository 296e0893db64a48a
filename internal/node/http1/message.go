// Package http1 reads and writes the parts of HTTP/1.1 messages that both sides of a node share: heads, the framing
// of bodies, and chunks. Readers of HTTP/1.1 differ on odd heads, and what one takes for a body another takes for a
// request (request smuggling); so odd heads are errors here.
package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

var (
	// ErrMalformedHead is a first line or a field that is not HTTP/1.1.
	ErrMalformedHead = errors.New("malformed head")
	// ErrHeadTooLong is a head, or the trailer of a chunked body, over its limit.
	ErrHeadTooLong = errors.New("the head is too long")
	// ErrAmbiguousFraming is a head by which a body may end in more than one place.
	ErrAmbiguousFraming = errors.New("the head leaves open where its body ends")
)

// Head is the first line and the fields of a message. Its strings are parts of one text.
type Head struct {
	FirstLine string
	Fields    []Field
}

// Field is one header field.
type Field struct{ Name, Value string }

// HeadReader reads heads one after the other, and reuses its buffers for that.
type HeadReader struct {
	text []byte
	head Head
}

// Read reads a head up to its blank line, of at most maxBytes. The head is valid until the next call. It returns
// ErrMalformedHead, ErrHeadTooLong, io.ErrUnexpectedEOF for a head that breaks off, or the error of r.
func (h *HeadReader) Read(r *bufio.Reader, maxBytes int) (*Head, error) {
	h.text = h.text[:0]
	for start := 0; ; {
		piece, err := r.ReadSlice('\n')
		h.text = append(h.text, piece...)
		if len(h.text) > maxBytes {
			return nil, ErrHeadTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(h.text) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if line := h.text[start:]; blank(line) {
			if start > 0 {
				return h.parse(string(h.text[:start]))
			}
			h.text = h.text[:0] // stray line ends before a message
			if maxBytes -= len(line); maxBytes <= 0 {
				return nil, ErrHeadTooLong
			}
		}
		start = len(h.text)
	}
}

func (h *HeadReader) parse(text string) (*Head, error) {
	h.head.FirstLine, text = cutLine(text)
	h.head.Fields = h.head.Fields[:0]
	for text != "" {
		var line string
		line, text = cutLine(text)
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		// A folded line has no name to begin with, or one with a space in it.
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, ErrMalformedHead
		}
		h.head.Fields = append(h.head.Fields, Field{name, value})
	}
	return &h.head, nil
}

// blank reports whether a line, its end included, has nothing in it.
func blank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

func cutLine(text string) (line, remaining string) {
	line, remaining, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), remaining
}

// Get returns the first value of a field, or "". The case of the name doesn't matter.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if len(h.Fields[i].Name) == len(name) && strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// ParseVersion returns the minor version of HTTP/1.0 and HTTP/1.1; ok is false for any other version.
func ParseVersion(text string) (minor int, ok bool) {
	switch text {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// Framing is what a head says of the message's body and of its connection.
type Framing struct {
	Length    int64 // in bytes; -1 where the head has no Content-Length
	Chunked   bool
	Close     bool // Connection: close
	KeepAlive bool // Connection: keep-alive
}

// Framing reads the fields that frame the body. Two lengths, or a length beside chunks, are ErrAmbiguousFraming.
func (h *Head) Framing() (f Framing, err error) {
	f.Length = -1
	codings := 0
	for _, field := range h.Fields {
		switch {
		case strings.EqualFold(field.Name, "Content-Length"):
			n, err := strconv.ParseUint(field.Value, 10, 63)
			if err != nil || f.Length >= 0 {
				return f, ErrAmbiguousFraming
			}
			f.Length = int64(n)
		case strings.EqualFold(field.Name, "Transfer-Encoding"):
			if codings++; !strings.EqualFold(field.Value, "chunked") {
				return f, ErrAmbiguousFraming
			}
		case strings.EqualFold(field.Name, "Connection"):
			f.Close = f.Close || hasToken(field.Value, "close")
			f.KeepAlive = f.KeepAlive || hasToken(field.Value, "keep-alive")
		}
	}
	f.Chunked = codings > 0
	if codings > 1 || f.Chunked && f.Length >= 0 {
		return f, ErrAmbiguousFraming
	}
	return f, nil
}

func hasToken(list, token string) bool {
	if len(list) == len(token) { // nearly always
		return strings.EqualFold(list, token)
	}
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.Trim(part, " \t"), token) {
			return true
		}
	}
	return false
}

const (
	maxTrailerBytes       = 4 << 10  // after the last chunk
	maxCoalescedBodyBytes = 16 << 10 // of a body that goes into one write with its head
)

// LastChunk ends a chunked body that has no trailer.
const LastChunk = "0\r\n\r\n"

// AppendField appends the line end before a field and the field; nothing where the value is empty.
func AppendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

// AppendBodyFraming appends Content-Length, or Transfer-Encoding: chunked for a length below 0.
func AppendBodyFraming(b []byte, length int64) []byte {
	if length < 0 {
		return append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	return strconv.AppendInt(append(b, "\r\nContent-Length: "...), length, 10)
}

// WriteMessage writes a message; a small body goes into one write with its head. It returns the head's buffer,
// which may have grown, for reuse.
func WriteMessage(w io.Writer, head, body []byte) ([]byte, error) {
	if len(body) <= maxCoalescedBodyBytes {
		head, body = append(head, body...), nil
	}
	_, err := w.Write(head)
	if err == nil && len(body) > 0 {
		_, err = w.Write(body)
	}
	return head, err
}

// ChunkWriter writes each piece as a chunk. LastChunk ends the body.
type ChunkWriter struct{ net.Conn }

// Write writes p as one chunk.
func (w ChunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	head := append(strconv.AppendInt(make([]byte, 0, 24), int64(len(p)), 16), "\r\n"...)
	pieces := net.Buffers{head, p, []byte("\r\n")}
	if _, err := pieces.WriteTo(w.Conn); err != nil {
		return 0, err
	}
	return len(p), nil
}

// ChunkedBody reads a chunked body and its trailer, and nothing beyond.
type ChunkedBody struct {
	r    *bufio.Reader
	data io.Reader
	end  error
}

// NewChunkedBody reads a chunked body from r.
func NewChunkedBody(r *bufio.Reader) *ChunkedBody {
	return &ChunkedBody{r: r, data: httputil.NewChunkedReader(r)}
}

// Read reads the content of the chunks. It returns io.EOF only after a complete trailer.
func (b *ChunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.data.Read(p)
	if err == io.EOF {
		err = b.trailer()
	}
	b.end = err
	return n, err
}

// trailer reads on to the blank line that ends a body.
func (b *ChunkedBody) trailer() error {
	for left, start := maxTrailerBytes, true; ; {
		line, err := b.r.ReadSlice('\n')
		if left -= len(line); left < 0 {
			return ErrHeadTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			start = false
			continue
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case start && blank(line):
			return io.EOF
		}
		start = true
	}
}

// SizedBody reads a body of a known length.
type SizedBody struct {
	Reader    io.Reader
	Remaining int64
}

// Read returns io.ErrUnexpectedEOF where Reader ends before the body.
func (b *SizedBody) Read(p []byte) (int, error) {
	if b.Remaining <= 0 {
		return 0, io.EOF
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.Remaining)])
	b.Remaining -= int64(n)
	switch {
	case b.Remaining == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
