// Package http1 reads and writes the parts of HTTP/1.1 messages that both sides of a node share: heads, body framing and
// chunks. It rejects irregular heads: parsers interpret them differently, so that one may take for a request what another
// takes for a body (request smuggling).
package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"sloerail/internal/node/memory"
)

var (
	// ErrMalformedHead is returned for a first line or a field that is not valid HTTP/1.1.
	ErrMalformedHead = errors.New("malformed head")
	// ErrHeadTooLong is returned for a head, or the trailer of a chunked body, that is over its limit.
	ErrHeadTooLong = errors.New("head or trailer too long")
	// ErrTooManyFields is returned for a head with more than MaxFields fields.
	ErrTooManyFields = errors.New("too many header fields")
	// ErrNoMemory is returned for a head that HeadReader.Held doesn't permit to buffer.
	ErrNoMemory = errors.New("no memory for the head")
	// ErrAmbiguousFraming is returned for a head that doesn't determine where the body ends. Clients get its text.
	ErrAmbiguousFraming = errors.New("the head leaves open where its body ends")
)

// Head is the first line and the header fields of a message. Its strings are slices of a single string.
type Head struct {
	FirstLine string
	Fields    []Field
	Bytes     int // length of the head
}

// Field is one header field.
type Field struct{ Name, Value string }

// HeadReader reads successive heads and reuses its buffers, but not those of a long head.
type HeadReader struct {
	// Held counts the buffer beyond retainedHeadBytes, until the next call of Read or Discard; nil for no count.
	Held *memory.Reservation

	buf  []byte
	head Head
	held int
}

const (
	// retainedHeadBytes and retainedFields bound the buffers that a HeadReader keeps for the next head.
	retainedHeadBytes = 1 << 10
	retainedFields    = 24
)

// Discard drops the buffers of a long head, whose Head is no longer valid then.
func (h *HeadReader) Discard() {
	if cap(h.buf) > retainedHeadBytes {
		h.buf = nil
	}
	if cap(h.head.Fields) > retainedFields {
		h.head = Head{}
	}
	h.Held.Return(h.held)
	h.held = 0
}

// grow makes room for n more bytes in the buffer, and reports whether it may.
func (h *HeadReader) grow(n int) bool {
	if len(h.buf)+n <= cap(h.buf) {
		return true
	}
	size := max(retainedHeadBytes, 2*cap(h.buf), len(h.buf)+n)
	if size > retainedHeadBytes {
		more := size - h.held
		if !h.Held.Take(more, memory.Admission) {
			return false
		}
		h.held += more
	}
	h.buf = append(make([]byte, 0, size), h.buf...)
	return true
}

// Read reads a head of at most maxBytes, up to its blank line. The head is valid until the next call. Read returns
// ErrMalformedHead, ErrHeadTooLong, ErrTooManyFields, ErrNoMemory, io.ErrUnexpectedEOF for an incomplete head, or the error
// of r.
func (h *HeadReader) Read(r *bufio.Reader, maxBytes int) (*Head, error) {
	h.Discard()
	h.buf = h.buf[:0]
	for start := 0; ; {
		piece, err := r.ReadSlice('\n')
		if len(h.buf)+len(piece) > maxBytes {
			return nil, ErrHeadTooLong
		}
		if !h.grow(len(piece)) {
			return nil, ErrNoMemory
		}
		h.buf = append(h.buf, piece...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if err == io.EOF && len(h.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if line := h.buf[start:]; isBlankLine(line) {
			if start > 0 {
				return h.parse(string(h.buf[:start]))
			}
			h.buf = h.buf[:0] // skip empty lines before a message
			if maxBytes -= len(line); maxBytes <= 0 {
				return nil, ErrHeadTooLong
			}
		}
		start = len(h.buf)
	}
}

func (h *HeadReader) parse(text string) (*Head, error) {
	h.head.Bytes = len(text)
	h.head.FirstLine, text = cutLine(text)
	h.head.Fields = h.head.Fields[:0]
	for text != "" {
		var line string
		line, text = cutLine(text)
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		// This also rejects folded lines, which have no name or one that contains a space.
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, ErrMalformedHead
		}
		if len(h.head.Fields) == MaxFields {
			return nil, ErrTooManyFields
		}
		h.head.Fields = append(h.head.Fields, Field{name, value})
	}
	return &h.head, nil
}

// isBlankLine reports whether a line, given with its line end, is empty.
func isBlankLine(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

// cutLine splits text after its first line, and removes the line end.
func cutLine(text string) (line, remaining string) {
	line, remaining, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), remaining
}

// Get returns the value of the first field with the name, or "". The case of the name doesn't matter.
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

// Framing describes how a head frames the body, and whether it asks to close the connection or to keep it open.
type Framing struct {
	Length    int64 // in bytes; -1 without Content-Length
	Chunked   bool
	Close     bool // Connection: close
	KeepAlive bool // Connection: keep-alive
}

// Framing evaluates the fields Content-Length, Transfer-Encoding and Connection. It returns ErrAmbiguousFraming for an
// invalid or repeated length, for a length together with chunks, and for a transfer coding that is repeated or not
// chunked.
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
	if len(list) == len(token) { // the usual case
		return strings.EqualFold(list, token)
	}
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.Trim(part, " \t"), token) {
			return true
		}
	}
	return false
}

// maxCoalescedBodyBytes bounds a body that is written together with its head.
const maxCoalescedBodyBytes = 16 << 10

// LastChunk ends a chunked body that has no trailer.
const LastChunk = "0\r\n\r\n"

// AppendField appends a line end and the field. It appends nothing if the value is empty.
func AppendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

// AppendBodyFraming appends Content-Length, or Transfer-Encoding: chunked if length is negative.
func AppendBodyFraming(b []byte, length int64) []byte {
	if length < 0 {
		return append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	return strconv.AppendInt(append(b, "\r\nContent-Length: "...), length, 10)
}

// WriteMessage writes a message. It writes a small body together with the head. It returns the buffer of the head, which
// may have grown, for reuse.
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

// ChunkWriter writes a chunked body, one chunk per Write. LastChunk must follow to end the body. A chunk is one system call if
// Conn is a TCP connection that nothing wraps.
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

// SizedBody reads a body of a known length.
type SizedBody struct {
	Reader    io.Reader
	Remaining int64
}

// Read reads the body. It returns io.ErrUnexpectedEOF if Reader ends before the body does.
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
