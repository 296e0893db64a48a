package upstream

import (
	"errors"
	"time"

	"sloerail/policy"
)

// Result is the outcome of an attempt.
type Result struct {
	Code       policy.Code
	Response   Response  // set if Code is policy.OK
	Err        error     // why the attempt failed, for logs; nil if a complete response was read
	Phase      Phase     // how far the attempt came
	Sent       bool      // a part of the request was written, so the server may run it
	LoadReport []float64 // values of TransportConfig.LoadReportFields, NaN if absent or invalid; nil without a report
}

// Attempt describes one request to one server.
type Attempt struct {
	Request  *Request
	Timeout  time.Duration // how long the server may take to respond; it is told no more than is left when it is written
	WriteBy  time.Time     // the request's last byte isn't written later; zero for no bound
	Lifetime *Lifetime     // ends the attempt at its deadline or by cancellation
	Observer Observer
}

// Observer tells an attempt whether its client is still connected, and receives streamed responses. Its methods are
// called by the goroutine that runs Transport.Do.
type Observer interface {
	// ClientDisconnected reports whether the client has disconnected. It doesn't block.
	ClientDisconnected() bool
	// NotSent is called when nothing was sent because the client had disconnected.
	NotSent()
	// ResponseStarted receives a response whose body is streamed. Do returns when ResponseStream.CopyTo has returned, or
	// when the attempt is cancelled before CopyTo is called.
	ResponseStarted(Response)
}

// Do makes one attempt at a server. It returns when the response has been read or, if it is streamed, copied to the
// client. It returns earlier if the attempt fails, the client is found to have disconnected, or the Lifetime ends.
func (t *Transport) Do(server string, a Attempt) Result {
	c, err := t.acquire(a.Lifetime, server)
	if err != nil {
		return Result{Code: a.Lifetime.failureCode(err, false), Err: err}
	}
	if a.Observer.ClientDisconnected() {
		a.Lifetime.detach()
		t.release(c, server, true) // reusable: nothing was written
		a.Observer.NotSent()
		return Result{Code: policy.Cancelled}
	}
	if !a.WriteBy.IsZero() {
		if !time.Now().Before(a.WriteBy) {
			a.Lifetime.detach()
			t.release(c, server, true) // as above
			return Result{Code: policy.ConnectFailed}
		}
		a.Lifetime.limitWrite(a.WriteBy)
	}
	result, reusable := t.roundTrip(c, a)
	result.Sent, result.Phase = true, a.Lifetime.Phase()
	t.release(c, server, a.Lifetime.detach() && reusable)
	return result
}

// roundTrip writes the request to c and reads the response. It reports whether c can be reused for another request.
func (t *Transport) roundTrip(c *serverConn, a Attempt) (_ Result, reusable bool) {
	w := &requestWriter{conn: c, requestsSent: t.requestsSent}
	if err := w.writeBuffered(a); err != nil {
		return Result{Code: a.Lifetime.failureCode(err, false), Err: err}, false
	}
	if a.Request.Stream != nil {
		defer w.streamBody(a)()
	}
	r := acquireResponseReader(c)
	defer r.release()
	resp, err := r.readResponse(a, w)
	if err != nil {
		return Result{Code: a.Lifetime.failureCode(err, w.abort()), Err: err}, false
	}
	if resp.remaining != nil {
		err := streamResponse(c, a, resp)
		if err != nil {
			closeQuietly(c) // ends a pending read of the rest
		}
		if errors.Is(err, ErrClientDisconnected) {
			return Result{Code: policy.Cancelled, Err: err}, false
		}
		if err != nil {
			return Result{Code: a.Lifetime.failureCode(err, true), Err: err}, false
		}
	}
	reusable = resp.keepAlive && r.buf.Buffered() == 0 && w.complete.Load()
	result := Result{Code: resp.outcome(), LoadReport: resp.loadReport(t.loadReportFields())}
	if result.Code == policy.OK {
		result.Response = resp.Response
	}
	return result, reusable
}

// streamResponse passes a streamed response to the Observer, and waits until the stream ends.
func streamResponse(c *serverConn, a Attempt, resp response) error {
	stream := newResponseStream(resp, a)
	started := resp.Response
	started.Stream = stream
	a.Lifetime.enter(Started)
	cancelled := a.Lifetime.whenCancelled()
	a.Observer.ResponseStarted(started)
	select {
	case err := <-stream.done:
		return err
	case <-cancelled:
		closeQuietly(c)
		if stream.abandon() {
			return errAttemptTimeout // a placeholder: failureCode uses the cause recorded in the Lifetime
		}
		return <-stream.done
	}
}
