package node

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

// How a message is read, on either side. Readers of HTTP/1.1 differ on odd heads, and what one takes
// for a body another takes for a request; so the odd ones are refused.

var (
	ErrMalformedHead    = errors.New("malformed head")
	ErrHeadTooLong      = errors.New("the head is too long")
	ErrAmbiguousFraming = errors.New("the head leaves open where its body ends")
)

// Head is the first line and the fields of a message, as parts of one text.
type Head struct {
	FirstLine string
	Fields    []Field
}

type Field struct{ Name, Value string }

// HeadReader reads heads one after the other, and keeps what it needs for that.
type HeadReader struct {
	text []byte
	head Head
}

// Read takes in a head up to its blank line. The fields stand until the next one is read. An error with
// nothing read is the reader's own; io.ErrUnexpectedEOF is a head that broke off.
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

// blank tells whether a line, its end included, has nothing in it.
func blank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

func cutLine(text string) (line, remaining string) {
	line, remaining, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), remaining
}

// Get is the first value of a field; empty where there is none. Its name is given in any case.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if len(h.Fields[i].Name) == len(name) && strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// ParseVersion is an HTTP version that is spoken here: 1.0 or 1.1.
func ParseVersion(text string) (minor int, ok bool) {
	switch text {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// Framing is what a head says of its body and of its connection.
type Framing struct {
	Length    int64 // -1 where it isn't told
	Chunked   bool
	Close     bool // said to be the connection's last message
	KeepAlive bool // said to be not
}

// Framing reads those fields. A length that is told twice, or beside chunks, is an error.
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
	maxTrailerBytes       = 4 << 10  // bytes after the last chunk
	maxCoalescedBodyBytes = 16 << 10 // bytes of a body that go into one write with its head
	LastChunk             = "0\r\n\r\n"
)

func AppendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

// AppendBodyFraming tells how a body is framed: by its length, or by chunks where that is below 0.
func AppendBodyFraming(b []byte, length int64) []byte {
	if length < 0 {
		return append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	return strconv.AppendInt(append(b, "\r\nContent-Length: "...), length, 10)
}

// WriteMessage writes a message; a small body goes into one write with its head. It returns the head's buffer,
// which may have grown.
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

// ChunkWriter writes each piece as a chunk.
type ChunkWriter struct{ net.Conn }

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

// ChunkedBody reads a body in chunks, and what follows the last of them.
type ChunkedBody struct {
	r    *bufio.Reader
	data io.Reader
	end  error
}

func NewChunkedBody(r *bufio.Reader) *ChunkedBody {
	return &ChunkedBody{r: r, data: httputil.NewChunkedReader(r)}
}

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

// SizedBody reads a body of a length that was told; one that ends before is broken.
type SizedBody struct {
	Reader    io.Reader
	Remaining int64
}

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
