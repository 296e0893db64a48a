package upstream

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
)

// ErrClientDisconnected marks a response that its client didn't take, or a request whose client left before it was sent.
var ErrClientDisconnected = errors.New("the client has left")

// ResponseStream is the part of a response that reaches its client as it comes. The attempt that reads it ends with it.
type ResponseStream struct {
	body       io.Reader
	stallTimer *time.Timer // runs while the server is waited for
	state      atomic.Int32
	done       chan error // takes one: nil, or why the response is not complete
}

// The states of a ResponseStream. It is created in streamPending; the first change stands.
const (
	streamPending   = iota
	streamCopying   // CopyTo was called
	streamAbandoned // the attempt was cancelled before that
)

func newResponseStream(body io.Reader, cancel func(cause error)) *ResponseStream {
	t := time.AfterFunc(stallTimeout, func() { cancel(errAttemptTimeout) })
	t.Stop()
	return &ResponseStream{body: body, stallTimer: t, done: make(chan error, 1)}
}

// abandon keeps CopyTo from starting, and reports whether it did.
func (s *ResponseStream) abandon() bool {
	return s.state.CompareAndSwap(streamPending, streamAbandoned)
}

// CopyTo writes buffered, which is what has come of the body, and then the rest as it comes, to w, which writes to the
// client and bounds each write. It is called once at most. An error that wraps ErrClientDisconnected is the client's; any
// other is the server's, or that the attempt was cancelled.
func (s *ResponseStream) CopyTo(w io.Writer, buffered []byte) (err error) {
	if !s.state.CompareAndSwap(streamPending, streamCopying) {
		return errAttemptTimeout
	}
	defer func() { s.done <- err }()
	block := http1.GetCopyBuffer()
	defer http1.PutCopyBuffer(block)
	for piece := buffered; ; {
		if _, err := w.Write(piece); err != nil {
			return errors.Join(ErrClientDisconnected, err)
		}
		n, err := s.read(block[:])
		if piece = block[:n]; n > 0 {
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			continue // an io.EOF comes again
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// read reads from the server, for stallTimeout at most: it may give the next piece only seconds later.
func (s *ResponseStream) read(p []byte) (int, error) {
	s.stallTimer.Reset(stallTimeout)
	defer s.stallTimer.Stop()
	return s.body.Read(p)
}
