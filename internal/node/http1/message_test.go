package http1

import (
	"bufio"
	"io"
	"strings"
	"testing"
)

// A header that comes in pieces is judged as a whole, and its body is read to its end.
func TestFramingAcrossReads(t *testing.T) {
	const good = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct {
		second string
		wants  error
	}{
		"good":              {good, nil},
		"length and chunks": {"POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody", ErrAmbiguousFraming},
		"a space in a name": {"POST /a HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody", ErrMalformedHead},
		"no name":           {"POST /a HTTP/1.1\r\nno field\r\n\r\nbody", ErrMalformedHead},
		"a bare return":     {"POST /a HTTP/1.1\r\nX: a\rContent-Length: 4\r\n\r\nbody", ErrMalformedHead},
		"cut short":         {"POST /a HTTP/1.1\r\nX: a\r\n", io.ErrUnexpectedEOF},
		"too long":          {"POST /a HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n", ErrHeadTooLong},
		"stray lines only":  {strings.Repeat("\r\n", MaxHeadBytes), ErrHeadTooLong},
	} {
		for size := 1; size <= len(good); size += 1 + size/8 {
			r := bufio.NewReaderSize(&pieces{good + c.second, size}, 16)
			for n, want := range []error{nil, c.wants} {
				var heads HeadReader
				h, err := heads.Read(r, MaxHeadBytes)
				var f Framing
				if err == nil {
					f, err = h.Framing()
				}
				if err != want {
					t.Errorf("%s, in pieces of %d: head %d: %v, want %v", name, size, n, err, want)
				}
				if err != nil {
					continue
				}
				if body, err := io.ReadAll(&SizedBody{Reader: r, Remaining: f.Length}); err != nil || string(body) != "body" {
					t.Errorf("%s, in pieces of %d: body %q, %v", name, size, body, err)
				}
			}
		}
	}
}

// pieces gives a text a few bytes at a time.
type pieces struct {
	text string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.text)
	p.text = p.text[n:]
	return n, nil
}
