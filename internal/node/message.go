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
	errHead     = errors.New("malformed head")
	errLongHead = errors.New("the head is too long")
	errFraming  = errors.New("the head leaves open where its body ends")
)

// head is the first line and the fields of a message, as parts of one text.
type head struct {
	first  string
	fields []field
}

type field struct{ name, value string }

// headReader reads heads one after the other, and keeps what it needs for that.
type headReader struct {
	text []byte
	head head
}

// read takes in a head up to its blank line. The fields stand until the next one is read. An error with
// nothing read is the reader's own; io.ErrUnexpectedEOF is a head that broke off.
func (h *headReader) read(r *bufio.Reader, most int) (*head, error) {
	h.text = h.text[:0]
	for start := 0; ; {
		part, err := r.ReadSlice('\n')
		h.text = append(h.text, part...)
		if len(h.text) > most {
			return nil, errLongHead
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
			if most -= len(line); most <= 0 {
				return nil, errLongHead
			}
		}
		start = len(h.text)
	}
}

func (h *headReader) parse(text string) (*head, error) {
	h.head.first, text = cutLine(text)
	h.head.fields = h.head.fields[:0]
	for text != "" {
		var line string
		line, text = cutLine(text)
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		// A folded line has no name to begin with, or one with a space in it.
		if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return nil, errHead
		}
		h.head.fields = append(h.head.fields, field{name, value})
	}
	return &h.head, nil
}

// blank tells whether a line, its end included, has nothing in it.
func blank(line []byte) bool { return len(line) == 1 || len(line) == 2 && line[0] == '\r' }

func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\n")
	return strings.TrimSuffix(line, "\r"), rest
}

// get is the first value of a field; empty where there is none. Its name is given in any case.
func (h *head) get(name string) string {
	for i := range h.fields {
		if len(h.fields[i].name) == len(name) && strings.EqualFold(h.fields[i].name, name) {
			return h.fields[i].value
		}
	}
	return ""
}

// proto is an HTTP version that is spoken here: 1.0 or 1.1.
func proto(text string) (minor int, ok bool) {
	switch text {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// framing is what a head says of its body and of its connection.
type framing struct {
	length  int64 // -1 where it isn't told
	chunked bool
	close   bool // said to be the connection's last message
	keep    bool // said to be not
}

// framing reads those fields. A length that is told twice, or beside chunks, is an error.
func (h *head) framing() (f framing, err error) {
	f.length = -1
	codings := 0
	for _, field := range h.fields {
		switch {
		case strings.EqualFold(field.name, "Content-Length"):
			n, err := strconv.ParseUint(field.value, 10, 63)
			if err != nil || f.length >= 0 {
				return f, errFraming
			}
			f.length = int64(n)
		case strings.EqualFold(field.name, "Transfer-Encoding"):
			if codings++; !strings.EqualFold(field.value, "chunked") {
				return f, errFraming
			}
		case strings.EqualFold(field.name, "Connection"):
			f.close = f.close || hasToken(field.value, "close")
			f.keep = f.keep || hasToken(field.value, "keep-alive")
		}
	}
	f.chunked = codings > 0
	if codings > 1 || f.chunked && f.length >= 0 {
		return f, errFraming
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
	maxTrailer = 4 << 10  // bytes after the last chunk
	copiedBody = 16 << 10 // bytes of a body that go into one write with its head
	lastChunk  = "0\r\n\r\n"
)

func appendField(b []byte, name, value string) []byte {
	if value == "" {
		return b
	}
	b = append(b, "\r\n"...)
	b = append(b, name...)
	b = append(b, ": "...)
	return append(b, value...)
}

// appendLength tells how a body is framed: by its length, or by chunks where that is below 0.
func appendLength(b []byte, length int64) []byte {
	if length < 0 {
		return append(b, "\r\nTransfer-Encoding: chunked"...)
	}
	return strconv.AppendInt(append(b, "\r\nContent-Length: "...), length, 10)
}

// writeWhole writes a message; a small body goes into one write with its head. It returns the head's buffer,
// which may have grown.
func writeWhole(w io.Writer, head, body []byte) ([]byte, error) {
	if len(body) <= copiedBody {
		head, body = append(head, body...), nil
	}
	_, err := w.Write(head)
	if err == nil && len(body) > 0 {
		_, err = w.Write(body)
	}
	return head, err
}

// chunkWriter writes each piece as a chunk.
type chunkWriter struct{ net.Conn }

func (w chunkWriter) Write(p []byte) (int, error) {
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

// chunkedBody reads a body in chunks, and what follows the last of them.
type chunkedBody struct {
	r     *bufio.Reader
	parts io.Reader
	end   error
}

func newChunkedBody(r *bufio.Reader) *chunkedBody {
	return &chunkedBody{r: r, parts: httputil.NewChunkedReader(r)}
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.parts.Read(p)
	if err == io.EOF {
		err = b.trailer()
	}
	b.end = err
	return n, err
}

// trailer reads on to the blank line that ends a body.
func (b *chunkedBody) trailer() error {
	for left, start := maxTrailer, true; ; {
		line, err := b.r.ReadSlice('\n')
		if left -= len(line); left < 0 {
			return errLongHead
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

// sizedBody reads a body of a length that was told; one that ends before is broken.
type sizedBody struct {
	r    io.Reader
	left int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
