package upstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
)

// ErrClientDisconnected means that the client disconnected before it received the whole response, or before its
// request was sent to a server.
var ErrClientDisconnected = errors.New("client disconnected")

// ResponseStream streams the rest of a response body to the client. The attempt ends when the stream does.
type ResponseStream struct {
	body     io.Reader
	lifetime *Lifetime
	length   int64     // of the complete body; -1 if unknown
	arrived  int       // bytes of the body, with its start
	commitAt int       // how many commit the attempt to the rest
	lastWait time.Time // when a read that had to wait for the server ended last
	held     *memory.Reservation
	state    atomic.Int32
	done     chan error // receives one value: nil, or why the response is incomplete
}

// The states of a ResponseStream. The state changes once: from streamPending to one of the others.
const (
	streamPending   = iota
	streamCopying   // CopyTo was called
	streamAbandoned // the attempt was cancelled before CopyTo was called
)

func newResponseStream(resp response, a Attempt) *ResponseStream {
	return &ResponseStream{body: resp.remaining, lifetime: a.Lifetime, length: resp.Length, arrived: len(resp.Body), commitAt: resp.commitBytes(),
		held: a.Request.Held, done: make(chan error, 1)}
}

// abandon prevents CopyTo from starting. It returns false if CopyTo has already started.
func (s *ResponseStream) abandon() bool {
	return s.state.CompareAndSwap(streamPending, streamAbandoned)
}

// CopyTo writes buffered, the start of the body, to w, and then the rest as it arrives. w writes to the client, and
// must bound the time of each write. CopyTo is called at most once. If a write to the client fails, the error wraps
// ErrClientDisconnected. Any other error means that the server failed or the attempt was cancelled.
func (s *ResponseStream) CopyTo(w io.Writer, buffered []byte) (err error) {
	if !s.state.CompareAndSwap(streamPending, streamCopying) {
		return errAttemptTimeout
	}
	defer func() { s.done <- err }()
	buf, release := s.copyBuffer()
	defer release()
	for next := buffered; ; {
		if _, err := w.Write(next); err != nil {
			return errors.Join(ErrClientDisconnected, err)
		}
		n, err := s.read(buf)
		if next = buf[:n]; n > 0 {
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			continue // the next read returns io.EOF again
		}
		if errors.Is(err, io.EOF) && s.endsLate() {
			return errLateEnd
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

const (
	// maxLateEnd is how long after the client's deadline a short response may end: the client takes the end of one that is later
	// for no answer, and a response that breaks off for a failed one.
	maxLateEnd = 400 * time.Millisecond
	// minServerWait is the time from which on a read counts as one that had to wait for the server.
	minServerWait = 10 * time.Millisecond
)

// errLateEnd means that the server ended a response without a length late, and that it was a short one.
var errLateEnd = fmt.Errorf("upstream: late end of a short response: %w", os.ErrDeadlineExceeded)

// endsLate reports whether the response, which has ended, is short and came too late. The time that its client took to read it
// doesn't count.
func (s *ResponseStream) endsLate() bool {
	_, deadline := s.lifetime.deadlines()
	isShort := s.length < 0 && s.arrived <= http1.MaxBufferedBodyBytes
	return isShort && !deadline.IsZero() && s.lastWait.After(deadline.Add(maxLateEnd))
}

// smallCopyBytes is the size of the buffer of a stream for which there is little memory.
const smallCopyBytes = 2 << 10

// copyBuffer returns a buffer for the stream, and a function that frees it.
func (s *ResponseStream) copyBuffer() (buf []byte, release func()) {
	if s.held.Take(http1.CopyBufferBytes, memory.Admission) {
		block := http1.GetCopyBuffer()
		return block[:], func() {
			http1.PutCopyBuffer(block)
			s.held.Return(http1.CopyBufferBytes)
		}
	}
	return make([]byte, smallCopyBytes), func() {}
}

// read reads from the server. The attempt ends if that stalls.
func (s *ResponseStream) read(p []byte) (n int, err error) {
	s.lifetime.awaitServer()
	defer s.lifetime.stall.endServerWait()
	begun := time.Now()
	n, err = s.body.Read(p)
	if now := time.Now(); now.Sub(begun) >= minServerWait {
		s.lastWait = now
	}
	if committedBefore := s.arrived >= s.commitAt; !committedBefore && s.arrived+n >= s.commitAt {
		s.lifetime.enter(Committed)
	}
	s.arrived += n
	return n, err
}
