package upstream

import (
	"errors"
	"io"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
)

// StreamStartBytes is how much of a response body is read before the response is passed to the client, if its status is
// 200 and its Content-Length is over http1.MaxBufferedBodyBytes.
//
// At the time that Lifetime.holdStart tells, less is passed on: what has arrived of a body with such a Content-Length, and
// StreamStartBytes of one without a length. A body without a length may be short, and is worth nothing to a client that
// gets the end of it late.
const StreamStartBytes = 4 << 10

// readStart reads the start of a body that is long, has no length, or may not be buffered whole for lack of memory. A body
// that turns out to be short is read to its end. The rest of any other one is streamed.
//
// A read may wait for the server for any time, so that each one has a goroutine of its own. When what has arrived is to be
// passed on, the read goes on as the first one of the stream.
func (r *responseReader) readStart(resp *response, body io.Reader, a Attempt) error {
	wanted := StreamStartBytes
	if resp.Length < 0 {
		wanted = http1.MaxBufferedBodyBytes + 1
	}
	due, stop := a.Lifetime.holdStart(time.Now())
	defer stop()
	buffered := make([]byte, 0, StreamStartBytes)
	for len(buffered) < wanted {
		enough := resp.isStartEnough(len(buffered))
		if enough {
			a.Lifetime.keepStart()
		}
		if enough && isClosed(due) {
			break
		}
		if len(buffered) == cap(buffered) {
			if !a.Request.Held.Take(cap(buffered), memory.Ongoing) {
				break
			}
			buffered = append(make([]byte, 0, 2*cap(buffered)), buffered...)
		}
		read := startRead(body, buffered[len(buffered):min(cap(buffered), wanted)])
		select {
		case <-read.ended:
		case <-due:
			if enough {
				r.pending = read
				resp.Body, resp.remaining = buffered, &continuedBody{pending: read, body: body}
				return nil
			}
			<-read.ended
		}
		buffered = buffered[:len(buffered)+read.n]
		if errors.Is(read.err, io.EOF) {
			resp.Body = buffered
			return nil
		}
		if read.err != nil {
			return read.err
		}
	}
	resp.Body, resp.remaining = buffered, body
	return nil
}

// isStartEnough reports whether a response of which n bytes of the body have arrived is passed on when its start is due.
func (resp *response) isStartEnough(n int) bool {
	return n >= StreamStartBytes || resp.Length > http1.MaxBufferedBodyBytes
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// pendingRead is a read in a goroutine of its own.
type pendingRead struct {
	into  []byte
	ended chan struct{} // closed when the read has returned
	n     int           // bytes read; set before ended is closed, as is err
	err   error
}

// startRead starts a read of body. Nothing else may read body until the read has ended.
func startRead(body io.Reader, into []byte) *pendingRead {
	r := &pendingRead{into: into, ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		r.n, r.err = body.Read(into)
	}()
	return r
}

// continuedBody is a body of which a read is still pending.
type continuedBody struct {
	pending *pendingRead // nil once its result is taken
	unread  []byte       // the result's bytes
	err     error        // the result's error
	body    io.Reader
}

// Read returns the result of the pending read, and then reads on.
func (b *continuedBody) Read(p []byte) (int, error) {
	if r := b.pending; r != nil {
		<-r.ended
		b.pending, b.unread, b.err = nil, r.into[:r.n], r.err
	}
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.body.Read(p)
}
