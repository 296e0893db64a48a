package downstream

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/memory"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

// MaxRequestIDBytes bounds the length of a request ID. IDs made according to the protocol are far shorter.
const MaxRequestIDBytes = 128

// maxTimeoutMillis bounds the timeout that a client may set, in milliseconds.
const maxTimeoutMillis = 3_600_000

// Exchange is one request of a client and the channel for its response. Its exported fields must not change once it is
// passed to a Handler. Its methods may be called from any goroutine.
type Exchange struct {
	Request    policy.Request
	Forwarded  upstream.Request // the request as sent to servers
	ReceivedAt policy.Time      // when the request was read; with a streamed body, when the buffered part was
	Timeout    time.Duration    // how long the client waits, counted from ReceivedAt
	Reply      chan Response    // takes one response without blocking

	held            *memory.Reservation // by the handler and the connection, until both have ended the request
	upload          *upload             // equals Forwarded.Stream; nil if the body is buffered
	counter         ResponseCounter     // counts the responses to the request's class
	disconnected    atomic.Bool
	hasDisconnected func() bool // polls the client's socket; nil if there is no socket
}

// Disconnected reports whether the client is known to have disconnected.
func (x *Exchange) Disconnected() bool { return x.disconnected.Load() }

// BodyConsumed reports whether an attempt has read from a streamed body. The request can't be sent again after that.
func (x *Exchange) BodyConsumed() bool { return x.upload != nil && x.upload.isConsumed() }

// Release frees what the request holds. The Handler calls it once, when it and all attempts have ended the request.
func (x *Exchange) Release() { x.held.Release() }

// CheckDisconnected polls the client's socket and reports whether the client has disconnected. The goroutine
// that reads the connection may not have noticed the disconnect, for one of two reasons: it stops at the first byte of a
// further request, or it has not been scheduled yet. A client counts as disconnected too if it has sent so much that
// nothing could be read for a while: its disconnect would be unseen.
func (x *Exchange) CheckDisconnected() bool {
	if x.hasDisconnected != nil && x.hasDisconnected() {
		x.disconnected.Store(true)
	}
	return x.disconnected.Load() || x.upload != nil && x.upload.isUnobserved()
}

// Response is a response to a client. If ContentType, RetryAfter or AllowedMethod is empty or zero, its header field is
// omitted.
type Response struct {
	Status        int
	Body          []byte
	Stream        *upstream.ResponseStream // the rest of the body, streamed after Body; nil if Body is complete
	Length        int64                    // length of the complete body in bytes if Stream is set; -1 if unknown
	ContentType   string
	RetryAfter    time.Duration
	AllowedMethod string // set with http.StatusMethodNotAllowed
}

// requestError is the error response to an invalid request.
type requestError struct {
	status        int
	text          string
	allowedMethod string // set with http.StatusMethodNotAllowed
	incomplete    bool   // the request didn't arrive completely, and isn't counted by its class's ResponseCounter
}

// readRequest validates a request and reads its body, or the start of a long one. The returned Exchange is safe to
// forward to servers.
func (s *Server) readRequest(c *clientConn, r *requestHead) (x *Exchange, problem *requestError) {
	id := r.id
	if !isValidRequestID(id) {
		return nil, &requestError{status: http.StatusBadRequest, text: "X-Request-Id: missing or malformed"}
	}
	class, ok := r.acceptedClass()
	if !ok {
		return nil, &requestError{status: http.StatusBadRequest, text: "X-Class: unknown"}
	}
	timeout, err := strconv.ParseUint(r.timeoutMillis, 10, 64)
	if err != nil || timeout == 0 || timeout > maxTimeoutMillis {
		return nil, &requestError{status: http.StatusBadRequest, text: "X-Deadline-Ms: want whole milliseconds above 0"}
	}
	method := MethodFor(class.Class)
	if r.method != method {
		return nil, &requestError{status: http.StatusMethodNotAllowed, text: "this class takes " + method, allowedMethod: method}
	}
	// Servers drop repeated requests with the same key. Without a key, a second attempt could make the request take effect
	// twice.
	if class.RetrySafety == policy.IdempotencyKeyed && r.idempotencyKey == "" {
		return nil, &requestError{status: http.StatusBadRequest, text: "Idempotency-Key: missing"}
	}
	held := s.Memory.NewReservation()
	if !held.Take(requestBytes+r.headBytes, memory.Admission) {
		return nil, errNoMemory()
	}
	body, u, err := s.readBody(c, r, held)
	if err != nil {
		held.Release()
		status, text := BodyErrorStatus(err)
		return nil, &requestError{status: status, text: text, incomplete: true}
	}
	if method == http.MethodGet && len(body) > 0 {
		held.Release()
		return nil, &requestError{status: http.StatusBadRequest, text: "a GET has no body"}
	}
	hint, _ := strconv.ParseUint(r.costHint, 10, 32) // only an estimate: malformed counts as 0, too large as the maximum
	x = &Exchange{
		Request: policy.Request{ID: id, Class: class.Name, Accepted: class, Tenant: r.tenant, Key: r.affinityKey,
			EstimatedWork: time.Duration(hint) * time.Microsecond, ClientRetry: r.retry == "1", Incomplete: u != nil},
		Forwarded: upstream.Request{Held: held, ID: id, Method: method, Path: r.path, Host: r.host, IdempotencyKey: r.idempotencyKey,
			ContentType: r.contentType, Body: body, Length: r.Length},
		held: held, upload: u, ReceivedAt: s.handler.Now(),
		Timeout: time.Duration(timeout) * time.Millisecond,
		counter: s.handler.ResponseCounter(class.Name), Reply: c.reply, hasDisconnected: c.hasDisconnected,
	}
	held.AddOwner() // the connection and the handler
	if u != nil {
		x.Forwarded.Stream = u
		u.onEnd = func(err error) { s.handler.HandleBodyEnd(x, err) }
		u.onReceived = func() { s.handler.HandleBodyReceived(x, u.awaitedAt) }
		u.clientWaits = x.Timeout - min(maxOverdueMargin, x.Timeout/overdueMarginDivisor)
	}
	return x, nil
}

// readBody reads a body. It reads only the start of a long one, and returns an upload from which an attempt reads the
// rest.
func (s *Server) readBody(c *clientConn, r *requestHead, held *memory.Reservation) (body []byte, _ *upload, err error) {
	if r.Length == 0 {
		return nil, nil, nil
	}
	if r.Length > MaxBodyBytes {
		return nil, nil, ErrBodyTooLong
	}
	cameWithHead := int64(c.reader.Buffered()) >= r.Length
	if cameWithHead && r.Length > 0 && r.Length <= http1.MaxBufferedBodyBytes {
		if !held.Take(int(r.Length), memory.Admission) {
			return nil, nil, errBodyNoMemory
		}
		body = make([]byte, r.Length)
		_, err = c.reader.Read(body)
		return body, nil, err
	}
	if err := c.sendContinue(r); err != nil {
		return nil, nil, err
	}
	s.clientConns.setAwaitsInput(c.tracked, true)
	defer s.clientConns.setAwaitsInput(c.tracked, false)
	maxBytes := http1.MaxBufferedBodyBytes + 1
	if r.Length > http1.MaxBufferedBodyBytes {
		maxBytes = UploadStartBytes
	}
	u := newUpload(c, r.openBody(c.reader), s.clientConns.requestStartTime(c.tracked), held)
	body, complete, err := u.buffer(maxBytes, r.Length)
	if complete || err != nil {
		return body, nil, err
	}
	return body, u, nil
}

// errNoMemory returns the problem of a request for which there is no memory now.
func errNoMemory() *requestError {
	return &requestError{status: http.StatusServiceUnavailable, text: "too much memory in use"}
}

// isValidRequestID reports whether an ID can be used as the key of an open request and in a header field.
func isValidRequestID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxRequestIDBytes
}

// MethodFor returns the method that requests of a class must use: GET if they are idempotent, else POST.
func MethodFor(c policy.Class) string {
	if c.RetrySafety == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// RetrySafetyOf returns the retry safety of the classes whose requests have a method and either have an idempotency key
// or don't. ok is false if there are no such classes.
func RetrySafetyOf(method string, hasKey bool) (s policy.RetrySafety, ok bool) {
	switch {
	case method == http.MethodGet && !hasKey:
		return policy.Idempotent, true
	case method == http.MethodPost && hasKey:
		return policy.IdempotencyKeyed, true
	case method == http.MethodPost:
		return policy.NonIdempotent, true
	}
	return 0, false
}
