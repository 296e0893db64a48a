package http1

import (
	"bufio"
	"io"
	"strings"
	"testing"
)

// Heads and bodies are parsed correctly however the bytes are split across reads.
func TestFramingAcrossReads(t *testing.T) {
	const good = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	for name, tc := range map[string]struct {
		second    string // the message that follows a good one
		secondErr error
	}{
		"good":              {good, nil},
		"length and chunks": {"POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody", ErrAmbiguousFraming},
		"space in a name":   {"POST /a HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody", ErrMalformedHead},
		"no name":           {"POST /a HTTP/1.1\r\nno field\r\n\r\nbody", ErrMalformedHead},
		"a bare CR":         {"POST /a HTTP/1.1\r\nX: a\rContent-Length: 4\r\n\r\nbody", ErrMalformedHead},
		"cut short":         {"POST /a HTTP/1.1\r\nX: a\r\n", io.ErrUnexpectedEOF},
		"too long":          {"POST /a HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeadBytes) + "\r\n\r\n", ErrHeadTooLong},
		"empty lines only":  {strings.Repeat("\r\n", MaxHeadBytes), ErrHeadTooLong},
	} {
		for size := 1; size <= len(good); size += 1 + size/8 {
			r := bufio.NewReaderSize(&fixedSizeReader{good + tc.second, size}, 16)
			for n, wantErr := range []error{nil, tc.secondErr} {
				var heads HeadReader
				h, err := heads.Read(r, MaxHeadBytes)
				var f Framing
				if err == nil {
					f, err = h.Framing()
				}
				if err != wantErr {
					t.Errorf("%s, reads of %d bytes: head %d: got error %v, want %v", name, size, n, err, wantErr)
				}
				if err != nil {
					continue
				}
				if body, err := io.ReadAll(&SizedBody{Reader: r, Remaining: f.Length}); err != nil || string(body) != "body" {
					t.Errorf("%s, reads of %d bytes: got body %q and error %v, want the text body and no error", name, size, body, err)
				}
			}
		}
	}
}

// fixedSizeReader returns a text size bytes at a time.
type fixedSizeReader struct {
	text string
	size int
}

func (p *fixedSizeReader) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), p.size)], p.text)
	p.text = p.text[n:]
	return n, nil
}
