package upstream

import (
	"errors"
	"io"
	"math"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
)

// StreamStartBytes is how much of a response body is read before the response is passed to the client, if its status is
// 200 and its Content-Length is over http1.MaxBufferedBodyBytes.
//
// At the end of its startHold, less is passed on: what has arrived of a body with such a Content-Length, and StreamStartBytes
// of one without a length. A body without a length may be short, and is worth nothing to a client that gets the end of it
// late.
const StreamStartBytes = 4 << 10

const (
	// maxStartHold is how long the start of a long response is held back at most, to retry a response that breaks.
	maxStartHold = time.Second
	// maxSmallStartHold is the same for a start under StreamStartBytes of a body without a length.
	maxSmallStartHold = 1500 * time.Millisecond
	// maxStartMargin is the time from the end of a hold to a deadline that would end it. The margin is at most the time left
	// divided by startMarginDivisor.
	maxStartMargin     = 100 * time.Millisecond
	startMarginDivisor = 4
)

// readStart reads the start of a body that is long, has no length, or may not be buffered whole for lack of memory. A body
// that turns out to be short is read to its end. The rest of any other one is streamed.
//
// A read may wait for the server for any time, so that each one has a goroutine of its own. When what has arrived is to be
// passed on, the read goes on as the first one of the stream.
func (r *responseReader) readStart(resp *response, body io.Reader, a Attempt, w *requestWriter) error {
	wanted := StreamStartBytes
	if resp.Length < 0 {
		wanted = http1.MaxBufferedBodyBytes + 1
	}
	hold := newStartHold(resp, a.Lifetime, w.isDelivered)
	defer hold.stop()
	buffered := make([]byte, 0, StreamStartBytes)
	for len(buffered) < wanted {
		if hold.add(len(buffered)); hold.isOver() {
			break
		}
		if len(buffered) == cap(buffered) {
			if !a.Request.Held.Take(cap(buffered), memory.Ongoing) {
				break
			}
			buffered = append(make([]byte, 0, 2*cap(buffered)), buffered...)
		}
		read := startRead(body, buffered[len(buffered):min(cap(buffered), wanted)])
		if !hold.await(read.ended) {
			r.pending = read
			body = &continuedBody{pending: read, body: body}
			break
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
	hold.add(len(buffered))
	resp.Body, resp.remaining = buffered, body
	return nil
}

// commitBytes returns how much of the body must arrive before the rest is owed however long the server takes. Until then, the
// response may be short and is owed in time.
func (resp *response) commitBytes() int {
	switch {
	case resp.Length > http1.MaxBufferedBodyBytes:
		return 0
	case resp.Length < 0:
		return StreamStartBytes
	}
	return math.MaxInt // it is short
}

// startHold tells how long the start of a response is held back.
type startHold struct {
	response    *response
	lifetime    *Lifetime
	isDelivered func() bool     // whether the server has the whole request
	moved       <-chan struct{} // has a value once a deadline was moved or the hold was ended
	since       time.Time
	timer       *time.Timer // of await; nil until it is needed
	arrived     int         // bytes of the body
	delivered   bool        // isDelivered was true once
	headLate    bool        // a head alone is no longer passed on
}

func newStartHold(resp *response, l *Lifetime, isDelivered func() bool) *startHold {
	return &startHold{response: resp, lifetime: l, isDelivered: isDelivered, moved: l.whenMoved(), since: time.Now()}
}

// stop frees the timer.
func (h *startHold) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// add notes how much of the body has arrived.
func (h *startHold) add(total int) {
	h.arrived = total
	h.commitIfEnough()
}

// commitIfEnough commits the attempt to the rest of the response if it is owed however long the server takes, and reports
// whether it is. A head alone is not enough while the server has not received the whole request: it can't have begun to run it.
func (h *startHold) commitIfEnough() bool {
	if h.arrived < h.response.commitBytes() || h.arrived == 0 && !h.checkDelivered() {
		return false
	}
	h.lifetime.enter(Committed)
	return true
}

func (h *startHold) checkDelivered() bool {
	h.delivered = h.delivered || h.isDelivered()
	return h.delivered
}

// end returns when what has arrived is passed on; zero means not before more arrives. With a head alone nothing is held back
// that the client waits for, but it is owed by the client's deadline.
func (h *startHold) end() time.Time {
	begin, end := h.lifetime.deadlines()
	isLong := h.arrived >= h.response.commitBytes() && (h.arrived > 0 || !h.headLate)
	switch {
	case isLong && h.lifetime.isStartHoldEnded():
		return h.since
	case isLong && h.arrived > 0:
		return earlier(h.since.Add(maxStartHold), h.before(begin))
	case isLong:
		return h.before(end)
	case h.arrived > 0 && h.response.Length < 0 && h.checkDelivered():
		return h.since.Add(maxSmallStartHold)
	}
	return time.Time{}
}

// before returns a time shortly before a deadline; zero means none.
func (h *startHold) before(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return deadline.Add(-min(maxStartMargin, max(0, deadline.Sub(h.since))/startMarginDivisor))
}

// isOver reports whether what has arrived is to be passed on now.
func (h *startHold) isOver() bool {
	end := h.end()
	switch {
	case end.IsZero() || time.Now().Before(end):
		return false
	case h.arrived > 0:
		return true
	}
	h.headLate = !h.commitIfEnough()
	return !h.headLate
}

// await waits for a read to end. It returns false if what has arrived before is to be passed on first.
func (h *startHold) await(readEnded <-chan struct{}) bool {
	for !h.isOver() {
		var over <-chan time.Time
		if end := h.end(); !end.IsZero() {
			over = h.after(time.Until(end))
		}
		select {
		case <-readEnded:
			return true
		case <-over:
		case <-h.moved:
		}
	}
	return false
}

func (h *startHold) after(d time.Duration) <-chan time.Time {
	if h.timer == nil {
		h.timer = time.NewTimer(d)
	} else {
		h.timer.Reset(d)
	}
	return h.timer.C
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
