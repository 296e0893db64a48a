package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"
)

// Bodies are read as net/http/httputil reads them, however they are split, whether they are sound or not.
func TestChunkedBodyReadsLikeTheStandardLibrary(t *testing.T) {
	piece := rapid.SampledFrom([]string{"0", "1", "a", "A", "g", "10", "\r\n", "\r", "\n", ";", ";x=y", " ", "\t", "+", "-", "_", "x",
		"1\r\nb\r\n", "3\r\nabc\r\n", "0\r\n\r\n", "0\r\nX: y\r\n\r\n", "10\r\n0123456789abcdef\r\n",
		"ffffffffffffffffff", strings.Repeat("0", 20), ";" + strings.Repeat("e", 5000), "1;" + strings.Repeat("e", 4000) + "\r\nb\r\n"})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces"), "")
		size := rapid.IntRange(1, 40).Draw(t, "bytes at a time")
		length := rapid.IntRange(1, 20).Draw(t, "length of the buffer")
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		body := NewChunkedBody(bufio.NewReader(&fixedSizeReader{text, size}))
		var got []byte
		var err error
		for err == nil {
			p := make([]byte, length)
			var n int
			n, err = body.Read(p)
			got = append(got, p[:n]...)
		}
		if string(got) != string(want) {
			t.Fatalf("%q: got %q, want %q", text, got, want)
		}
		if err == io.EOF && wantErr != nil {
			t.Fatalf("%q: got the end of the body, want error %v", text, wantErr)
		}
		if err == ErrMalformedChunk && wantErr == nil { // any other error may be of the trailer, which the library leaves
			t.Fatalf("%q: got error %v, want none", text, err)
		}
	})
}

// A body is read to its end, and nothing after it, in any pieces. Once the last bytes and the trailer are there, no further
// read is needed.
func TestChunkedBodyEndsWithItsTrailer(t *testing.T) {
	for _, trailer := range []string{"\r\n", "X: y\r\nZ: " + strings.Repeat("z", 200) + "\r\n\r\n"} {
		text := "3;extension\r\nabc\r\n2\r\nde\r\n0\r\n" + trailer
		whole := bufio.NewReader(strings.NewReader(text + "next"))
		p := make([]byte, 10)
		if n, err := NewChunkedBody(whole).Read(p); string(p[:n]) != "abcde" || err != io.EOF {
			t.Errorf("whole body: got %q and error %v, want abcde and io.EOF", p[:n], err)
		}
		pieces := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text + "next")))
		if got, err := io.ReadAll(NewChunkedBody(pieces)); string(got) != "abcde" || err != nil {
			t.Errorf("byte by byte: got %q and error %v, want abcde and none", got, err)
		}
		for _, r := range []*bufio.Reader{whole, pieces} {
			if next, err := io.ReadAll(r); string(next) != "next" || err != nil {
				t.Errorf("after the body: got %q and error %v, want next and none", next, err)
			}
		}
	}
}

// testTimeout bounds each wait. Only a failing test reaches it.
const testTimeout = 30 * time.Second

// Guards against content that is held back while the sender pauses: wherever the pause is, a read returns what has arrived.
func TestChunkedBodyHoldsNothingBack(t *testing.T) {
	const text = "4\r\nabcd\r\n3\r\nefg\r\n0\r\nX: y\r\n\r\n"
	for pause := range len(text) {
		sender, receiver := net.Pipe()
		arrived, resume := make(chan struct{}), make(chan struct{})
		go func() {
			_, _ = io.WriteString(sender, text[:pause])
			<-resume
			_, _ = io.WriteString(sender, text[pause:])
		}()
		var content []byte
		body := NewChunkedBody(bufio.NewReader(receiver))
		want := contentOf(text[:pause])
		go func() {
			defer close(arrived)
			for len(content) < len(want) {
				p := make([]byte, 100)
				n, err := body.Read(p)
				if content = append(content, p[:n]...); err != nil {
					return
				}
			}
		}()
		select { // the sender still pauses
		case <-arrived:
		case <-time.After(testTimeout):
			t.Fatalf("pause after %d bytes: the content %q is held back", pause, want)
		}
		close(resume)
		rest, err := io.ReadAll(body)
		if string(content) != want || string(rest) != "abcdefg"[len(want):] || err != nil {
			t.Errorf("pause after %d bytes: got %q, then %q, error %v; want %q, then the rest", pause, content, rest, err, want)
		}
		_ = sender.Close()
	}
}

// contentOf returns the letters of the chunks in text, which has no others before its trailer.
func contentOf(text string) (content string) {
	for _, c := range text {
		if c >= 'a' && c <= 'g' {
			content += fmt.Sprintf("%c", c)
		}
	}
	return content
}
