package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxTrailerBytes bounds the trailer after the last chunk.
	maxTrailerBytes = 4 << 10
	// maxChunkOverhead bounds how many bytes the lines of a body may take beyond freeOverheadPerChunk for each chunk and
	// twice the content.
	maxChunkOverhead     = 16 << 10
	freeOverheadPerChunk = 16
	// maxChunkSizeDigits bounds the hexadecimal digits of a chunk's size.
	maxChunkSizeDigits = 16
)

// ErrMalformedChunk is returned for a chunked body that is not valid HTTP/1.1, or whose lines are long beside its content.
var ErrMalformedChunk = errors.New("malformed chunk")

// ChunkedBody reads a chunked body and its trailer, and nothing after them.
//
// The reader of net/http/httputil can't be used: in the middle of a chunk it waits until it has filled the caller's buffer,
// and so holds back what has arrived for as long as the sender pauses.
type ChunkedBody struct {
	r         *bufio.Reader
	remaining uint64 // bytes of the chunk's content that are unread
	inChunk   bool   // the line end after the chunk's content is unread
	ended     bool   // the last chunk was read, but not the trailer
	overhead  int    // bytes that count towards maxChunkOverhead
	readErr   error
}

// NewChunkedBody returns a ChunkedBody that reads from r.
func NewChunkedBody(r *bufio.Reader) *ChunkedBody { return &ChunkedBody{r: r} }

// Read reads the content of the chunks. It returns what has arrived: once it has read a byte, it doesn't wait for more. It
// returns io.EOF only after a complete trailer, and together with the last bytes if the trailer has arrived with them.
func (b *ChunkedBody) Read(p []byte) (n int, err error) {
	for n < len(p) && b.readErr == nil && (n == 0 || b.isBuffered()) {
		switch {
		case b.ended:
			b.readErr = b.readTrailer()
		case b.remaining == 0:
			b.readErr = b.startChunk()
		default:
			var read int
			read, b.readErr = b.readContent(p[n:])
			n += read
		}
	}
	return n, b.readErr
}

// isBuffered reports whether the next step of Read doesn't wait.
func (b *ChunkedBody) isBuffered() bool {
	buffered, err := b.r.Peek(b.r.Buffered())
	switch {
	case err != nil:
		return false
	case b.ended:
		return isTrailer(buffered)
	case b.remaining > 0:
		return len(buffered) > 0
	case b.inChunk:
		_, afterContent, _ := bytes.Cut(buffered, lineFeed)
		return bytes.Contains(afterContent, lineFeed)
	}
	return bytes.Contains(buffered, lineFeed)
}

var lineFeed = []byte{'\n'}

// isTrailer reports whether text begins with a complete trailer: fields up to a blank line.
func isTrailer(text []byte) bool {
	for {
		line, after, found := bytes.Cut(text, lineFeed)
		if !found {
			return false
		}
		if isBlankLine(text[:len(line)+1]) {
			return true
		}
		text = after
	}
}

// readContent reads content of the current chunk.
func (b *ChunkedBody) readContent(p []byte) (n int, err error) {
	n, err = b.r.Read(p[:min(uint64(len(p)), b.remaining)])
	b.remaining -= uint64(n)
	return n, UnexpectedEOF(err)
}

// startChunk reads up to the content of the next chunk, or to the end of the last one.
func (b *ChunkedBody) startChunk() error {
	if b.inChunk {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return ErrMalformedChunk
		}
		b.inChunk = false
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	permitted := freeOverheadPerChunk + 2*int(min(size, maxChunkOverhead)) // a larger size permits no more
	b.overhead = max(0, b.overhead+len(line)+len("\r\n")-permitted)
	if b.overhead > maxChunkOverhead {
		return ErrMalformedChunk
	}
	b.remaining, b.inChunk, b.ended = size, size > 0, size == 0
	return nil
}

// readLine reads a line that ends with CR and LF, and returns it without them. The line is valid until the next read.
func (b *ChunkedBody) readLine() ([]byte, error) {
	line, err := b.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, ErrMalformedChunk
	}
	if err != nil {
		return nil, UnexpectedEOF(err)
	}
	line, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found || bytes.IndexByte(line, '\r') >= 0 {
		return nil, ErrMalformedChunk
	}
	return line, nil
}

// parseChunkSize returns the size in a line before a chunk. Extensions are ignored.
func parseChunkSize(line []byte) (uint64, error) {
	digits, _, _ := bytes.Cut(bytes.TrimRight(line, " \t"), []byte{';'})
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, ErrMalformedChunk
	}
	size, err := strconv.ParseUint(string(digits), 16, 64) // rejects signs
	if err != nil {
		return 0, ErrMalformedChunk
	}
	return size, nil
}

// UnexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, and any other err unchanged.
func UnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readTrailer reads up to the blank line that ends the body, and returns io.EOF there.
func (b *ChunkedBody) readTrailer() error {
	for remaining, lineStart := maxTrailerBytes, true; ; {
		line, err := b.r.ReadSlice('\n')
		if remaining -= len(line); remaining < 0 {
			return ErrHeadTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			lineStart = false
			continue
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case lineStart && isBlankLine(line):
			return io.EOF
		}
		lineStart = true
	}
}
