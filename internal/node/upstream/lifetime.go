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

// errAttemptTimeout cancels an attempt whose server has stalled, or whose time is up.
var errAttemptTimeout = errors.New("upstream: the attempt's time is up")

// Lifetime bounds one attempt: it ends at its deadline, or is cancelled. Unlike that of a context, its deadline can
// be moved. CancelUnlessConnected ends only an attempt that has no connection. Its methods may be called from any
// goroutine; none blocks.
type Lifetime struct {
	mu         sync.Mutex
	deadline   time.Time     // zero for none
	cause      error         // why it was cancelled; the first cause stands
	conn       net.Conn      // while the attempt has one
	cancelDial func()        // while a connection is dialed
	cancelled  chan struct{} // closed with the cause; nil until whenCancelled is called
}

// NewLifetime makes a Lifetime with a deadline; zero for none.
func NewLifetime(deadline time.Time) *Lifetime { return &Lifetime{deadline: deadline} }

// SetDeadline moves the deadline; zero for none.
func (l *Lifetime) SetDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deadline = deadline; l.conn != nil && l.cause == nil {
		_ = l.conn.SetDeadline(deadline) // fails only on a closed connection, whose attempt ends anyway
	}
}

// Cancel ends the attempt: its reads and writes fail, and it then closes its connection, which tells the server that
// nobody waits.
func (l *Lifetime) Cancel() { l.cancelWith(context.Canceled) }

// CancelUnlessConnected ends the attempt if it has no connection: nothing was written then.
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

// startDial notes how to cancel dialing, and returns the deadline.
func (l *Lifetime) startDial(cancel func()) (deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelDial = cancel; l.cause != nil {
		cancel()
	}
	return l.deadline
}

// attach binds the connection that the attempt uses to the deadline. It returns the cause of a Lifetime that was
// cancelled before.
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

// detach gives up the connection, and reports whether it may serve others: the Lifetime was not cancelled.
func (l *Lifetime) detach() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = nil
	return l.cause == nil
}

// whenCancelled returns a channel that is closed once the Lifetime is cancelled. It replaces that of an earlier call.
func (l *Lifetime) whenCancelled() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled = make(chan struct{}); l.cause != nil {
		close(l.cancelled)
	}
	return l.cancelled
}

// failureCode is the outcome of an attempt that ended with err and no response. One whose last byte was never written
// can't have run, also where its time is up; when unsure, it may have run.
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
