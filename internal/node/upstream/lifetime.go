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

const (
	// maxStartHold is how long the start of a streamed response is held back at most, to retry a response that breaks.
	maxStartHold = time.Second
	// maxStartMargin is the time from the end of that hold to the attempt's deadline. The margin is at most the time left
	// divided by startMarginDivisor.
	maxStartMargin     = 100 * time.Millisecond
	startMarginDivisor = 4
)

// Lifetime bounds one attempt by a deadline and by cancellation. Unlike the deadline of a context, this deadline can be
// moved. Its methods may be called from any goroutine and don't block.
type Lifetime struct {
	mu         sync.Mutex
	deadline   time.Time     // zero for none
	cause      error         // why it was cancelled; only the first cause is kept
	conn       net.Conn      // the attempt's connection; nil while it has none
	cancelDial func()        // cancels the dial in progress
	cancelled  chan struct{} // closed when cause is set; nil until whenCancelled is called
	heldSince  time.Time     // when holdStart was called
	startTimer *time.Timer   // of holdStart; nil while nothing is held
	startKept  bool          // keepStart was called
}

// NewLifetime returns a Lifetime with a deadline; zero means none.
func NewLifetime(deadline time.Time) *Lifetime { return &Lifetime{deadline: deadline} }

// SetDeadline moves the deadline; zero means none.
func (l *Lifetime) SetDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deadline = deadline
	switch { // a call fails only on a closed connection, whose attempt ends anyway
	case l.conn == nil || l.cause != nil:
	case l.startKept:
		_ = l.conn.SetWriteDeadline(deadline)
	default:
		_ = l.conn.SetDeadline(deadline)
	}
	if l.startTimer != nil {
		l.startTimer.Reset(time.Until(l.startDue()))
	}
}

// left returns the time until the deadline, at most timeout.
func (l *Lifetime) left(timeout time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deadline.IsZero() {
		return timeout
	}
	return min(timeout, time.Until(l.deadline))
}

// holdStart returns a channel that is closed when what has arrived of a streamed response is to be passed on, which is before
// the deadline. If the deadline is moved, so is that time. stop frees the timer.
func (l *Lifetime) holdStart(now time.Time) (due <-chan struct{}, stop func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := make(chan struct{})
	closeOnce := sync.OnceFunc(func() { close(c) })
	l.heldSince = now
	l.startTimer = time.AfterFunc(l.startDue().Sub(now), closeOnce)
	return c, l.releaseStart
}

// startDue returns the time at which what has arrived of a response held since heldSince is to be passed on. l.mu is held.
func (l *Lifetime) startDue() time.Time {
	latest := l.heldSince.Add(maxStartHold)
	if l.deadline.IsZero() {
		return latest
	}
	margin := min(maxStartMargin, max(0, l.deadline.Sub(l.heldSince))/startMarginDivisor)
	if due := l.deadline.Add(-margin); due.Before(latest) {
		return due
	}
	return latest
}

// keepStart says that enough of a response has arrived to be passed on when it is due. From then on the deadline ends no read,
// so that a server that still sends isn't cut off, however late the node notices that the start is due.
func (l *Lifetime) keepStart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startKept = true; l.conn != nil && l.cause == nil {
		_ = l.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// releaseStart ends the effect of holdStart.
func (l *Lifetime) releaseStart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startTimer.Stop()
	l.startTimer = nil
}

// limitWrite makes the writing of the request fail at a time, if that comes before the deadline.
func (l *Lifetime) limitWrite(by time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.cause == nil && (l.deadline.IsZero() || by.Before(l.deadline)) {
		_ = l.conn.SetWriteDeadline(by) // fails only on a closed connection, whose attempt ends anyway
	}
}

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
	return l.deadline
}

// attach sets the attempt's connection and applies the deadline to it. If the Lifetime is already cancelled, it returns
// the cause.
func (l *Lifetime) attach(c net.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelDial = nil
	if l.cause != nil {
		return l.cause
	}
	l.conn = c
	return c.SetDeadline(l.deadline)
}

// detach releases the connection from the Lifetime. It returns false if the Lifetime was cancelled: reads and writes
// may then have been cut short.
func (l *Lifetime) detach() bool {
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
