package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"sloerail/policy"
)

// errAttemptTimeout cancels an attempt whose server stalled or whose deadline passed.
var errAttemptTimeout = errors.New("upstream: attempt timed out")

// Phase is how far an attempt has come. It says which limits end the attempt's reads and writes, besides Cancel:
//
//	phase       reads end at                        writes end at
//	requesting  the attempt's deadline or, if that  as reads, and by the time of limitWrite
//	            is sooner, the client's
//	responding  the client's deadline               as reads, and by the time of limitWrite
//	started     maxLateEnd after that               as reads, and by the time of limitWrite
//	committed   no time; a stall ends them          as reads, and by the time of limitWrite
//
// An attempt goes through the phases in this order, and may leave some out.
type Phase int

// Values of Phase.
const (
	// Requesting lasts until a response has begun that doesn't come at once. The server owes it by the time that the balancer
	// gave the attempt.
	Requesting Phase = iota
	// Responding lasts as long as the response may still be short. Its end is owed to the client by the client's deadline.
	Responding
	// Started is the same once the start of the response has been passed on. It ends as late as the client still takes an end for
	// an answer, since a long response may show that it is one by then.
	Started
	// Committed is the phase of a long response of which enough has arrived. The rest is owed for as long as the server sends it.
	Committed
)

// String returns the name of the phase, as logs and metrics have it.
func (p Phase) String() string {
	switch p {
	case Responding:
		return "responding"
	case Started:
		return "started"
	case Committed:
		return "committed"
	case Requesting:
	}
	return "requesting"
}

// Lifetime bounds one attempt by deadlines and by cancellation. Unlike the deadline of a context, these deadlines can be
// moved. It alone sets the deadlines of the attempt's connection. Its methods may be called from any goroutine and don't
// block.
type Lifetime struct {
	mu              sync.Mutex
	phase           Phase
	attemptDeadline time.Time     // zero for none, as are the other times
	clientDeadline  time.Time     // by which the client needs the end of a short response
	writeBy         time.Time     // by which the request's last byte must be written
	cause           error         // why it was cancelled; only the first cause is kept
	conn            net.Conn      // the attempt's connection; nil while it has none
	cancelDial      func()        // cancels the dial in progress
	cancelled       chan struct{} // closed when cause is set; nil until whenCancelled is called
	holdEnded       bool          // EndStartHold was called
	moved           chan struct{} // has a value once a deadline was moved or the hold was ended; nil until whenMoved is called

	stall stallWatch // of the server
}

// NewLifetime returns a Lifetime with the client's deadline; zero means none.
func NewLifetime(clientDeadline time.Time) *Lifetime {
	return &Lifetime{clientDeadline: clientDeadline}
}

// SetAttemptDeadline sets or moves the time by which the response must begin; zero means the client's deadline.
func (l *Lifetime) SetAttemptDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attemptDeadline = deadline
	l.applyLocked()
}

// SetClientDeadline moves the client's deadline; zero means none.
func (l *Lifetime) SetClientDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clientDeadline = deadline
	l.applyLocked()
}

// EndStartHold ends the hold of a long response's start, now or once there is one.
func (l *Lifetime) EndStartHold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdEnded = true
	l.applyLocked()
}

// isStartHoldEnded reports whether EndStartHold was called.
func (l *Lifetime) isStartHoldEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdEnded
}

// limitWrite makes the writing of the request fail at a time.
func (l *Lifetime) limitWrite(by time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeBy = by
	l.applyLocked()
}

// enter moves the attempt on to a phase. It does nothing if the attempt has come further already.
func (l *Lifetime) enter(next Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next > l.phase {
		l.phase = next
		l.applyLocked()
	}
}

// Phase returns how far the attempt has come.
func (l *Lifetime) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase
}

// IsCommitted reports whether so much of a long response has arrived that the rest is owed, and the attempt goes on.
func (l *Lifetime) IsCommitted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase == Committed && l.conn != nil && l.cause == nil
}

// deadlineLocked returns the time at which the reads of the present phase end. l.mu is held.
func (l *Lifetime) deadlineLocked() time.Time {
	switch l.phase {
	case Committed:
		return time.Time{}
	case Responding:
		return l.clientDeadline
	case Started:
		if !l.clientDeadline.IsZero() {
			return l.clientDeadline.Add(maxLateEnd)
		}
		return l.clientDeadline
	case Requesting:
	}
	return earlier(l.attemptDeadline, l.clientDeadline)
}

// applyLocked sets the deadlines of the connection after a change. l.mu is held. A call fails only on a closed connection,
// whose attempt ends anyway.
func (l *Lifetime) applyLocked() {
	if l.moved != nil {
		select {
		case l.moved <- struct{}{}:
		default:
		}
	}
	if l.conn == nil || l.cause != nil {
		return
	}
	deadline := l.deadlineLocked()
	_ = l.conn.SetDeadline(deadline)
	if by := earlier(deadline, l.writeBy); !by.Equal(deadline) {
		_ = l.conn.SetWriteDeadline(by)
	}
}

// earlier returns the earlier of two times, of which zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// left returns the time until the deadline, at most timeout.
func (l *Lifetime) left(timeout time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline := l.deadlineLocked()
	if deadline.IsZero() {
		return timeout
	}
	return min(timeout, time.Until(deadline))
}

// whenMoved returns a channel that receives a value when a deadline is moved or EndStartHold is called. Only one goroutine may call it.
func (l *Lifetime) whenMoved() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.moved == nil {
		l.moved = make(chan struct{}, 1)
	}
	return l.moved
}

// deadlines returns the times by which the response must begin, and by which a short one must end; zero means none.
func (l *Lifetime) deadlines() (begin, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return earlier(l.attemptDeadline, l.clientDeadline), l.clientDeadline
}

// awaitServer says that the node waits for the server to read or to send. The attempt ends if that stalls. The caller ends
// the wait by a call of stall.endServerWait.
func (l *Lifetime) awaitServer() { l.stall.beginServerWait(l) }

// Cancel ends the attempt. Its reads and writes fail, and the attempt then closes its connection, which tells the server
// that the response is no longer wanted.
func (l *Lifetime) Cancel() { l.cancelWith(context.Canceled) }

// CancelUnlessConnected ends the attempt if it has no connection, and so has written nothing.
func (l *Lifetime) CancelUnlessConnected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		l.cancelLocked(context.Canceled)
	}
}

func (l *Lifetime) cancelWith(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelLocked(cause)
}

func (l *Lifetime) cancelLocked(cause error) {
	if l.cause != nil {
		return
	}
	l.cause = cause
	if l.cancelDial != nil {
		l.cancelDial()
	}
	if l.conn != nil {
		_ = l.conn.SetDeadline(time.Unix(1, 0)) // ends reads and writes; fails only on a closed connection
	}
	if l.cancelled != nil {
		close(l.cancelled)
	}
}

// startDial sets the function that cancels the dial, and returns the deadline. If the Lifetime is already cancelled, it
// calls cancel at once.
func (l *Lifetime) startDial(cancel func()) (deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelDial = cancel; l.cause != nil {
		cancel()
	}
	return l.deadlineLocked()
}

// attach sets the attempt's connection and applies the deadlines to it. If the Lifetime is already cancelled, it returns
// the cause.
func (l *Lifetime) attach(c net.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelDial = nil
	if l.cause != nil {
		return l.cause
	}
	l.conn = c
	return c.SetDeadline(l.deadlineLocked())
}

// detach releases the connection from the Lifetime. It returns false if the Lifetime was cancelled: reads and writes
// may then have been cut short.
func (l *Lifetime) detach() bool {
	l.stall.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	return l.cause == nil
}

// whenCancelled returns a channel that is closed when the Lifetime is cancelled. Only the channel of the last call is
// closed.
func (l *Lifetime) whenCancelled() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled = make(chan struct{}); l.cause != nil {
		close(l.cancelled)
	}
	return l.cancelled
}

// failureCode returns the outcome of an attempt that ended with err and no complete response. mayHaveRun is false only
// if the request's last byte was never written. The server can't have run the request then, so the outcome is
// policy.ConnectFailed, even after a timeout. An attempt that was cancelled is policy.Cancelled in any case.
func (l *Lifetime) failureCode(err error, mayHaveRun bool) policy.Code {
	l.mu.Lock()
	defer l.mu.Unlock()
	timedOut := errors.Is(l.cause, errAttemptTimeout)
	switch {
	case l.cause != nil && !timedOut:
		return policy.Cancelled
	case !mayHaveRun:
		return policy.ConnectFailed
	case timedOut || errors.Is(err, os.ErrDeadlineExceeded):
		return policy.TimedOut
	}
	return policy.Reset
}
