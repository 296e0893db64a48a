package downstream

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

// MaxRequestIDBytes bounds the ID of a request; the protocol's own IDs are far shorter.
const MaxRequestIDBytes = 128

// maxTimeoutMillis bounds how long a client may say that it waits.
const maxTimeoutMillis = 3_600_000

// Exchange is one client request, which is not changed once the loop has it, but for whether its client has left.
type Exchange struct {
	Request          policy.Request
	Forwarded        upstream.Request // what servers get of it
	upload           *upload          // forwarded.Stream; nil where the body is complete
	ReceivedAt       policy.Time      // when its last byte had been read, but for one with a rest
	Timeout          time.Duration
	Terms            Terms       // that it was read by
	tally            Tally       // of its class
	Reply            chan Answer // holds one, so the loop never waits for the client
	clientGone       atomic.Bool // its client has gone
	isClosedByClient func() bool // asks the client's socket for that; nil where there is none
}

// HasLeft reports whether the client is known to have left.
func (x *Exchange) HasLeft() bool { return x.clientGone.Load() }

// BodyConsumed reports whether an attempt has read of a streamed body: the request can't be sent again then.
func (x *Exchange) BodyConsumed() bool { return x.upload != nil && x.upload.consumed.Load() }

// ClientGone tells whether the client has gone, and asks its socket: nobody reads that while its body waits for a
// server, with bytes of a further request read already, or where its reader has had no turn since.
func (x *Exchange) ClientGone() bool {
	if x.isClosedByClient != nil && x.isClosedByClient() {
		x.clientGone.Store(true)
	}
	return x.clientGone.Load()
}

// Answer is what a client gets.
type Answer struct {
	Status        int
	Body          []byte
	Stream        *upstream.ResponseStream // what follows the body as it comes; nil for nothing
	Length        int64                    // of both; -1 where it isn't told
	ContentType   string
	RetryAfter    time.Duration
	AllowedMethod string // the methods that are, of one that isn't
}

// requestError is what is wrong with a request.
type requestError struct {
	status        int
	text          string
	allowedMethod string // the method that is
	incomplete    bool   // it never came whole, so it was not taken
}

// readRequest takes in a whole request, or says what is wrong with it. What it lets through reaches servers.
func (s *Server) readRequest(c *clientConn, r *requestHead) (x *Exchange, problem *requestError) {
	id := r.id
	if !isValidRequestID(id) {
		return nil, &requestError{status: http.StatusBadRequest, text: "X-Request-Id: missing or malformed"}
	}
	terms := s.handler.Terms()
	class, former, ok := terms.Class(r.class, r.method, r.idempotencyKey != "")
	if !ok {
		return nil, &requestError{status: http.StatusBadRequest, text: "X-Class: unknown"}
	}
	timeout, err := strconv.ParseUint(r.timeoutMillis, 10, 64)
	if err != nil || timeout == 0 || timeout > maxTimeoutMillis {
		return nil, &requestError{status: http.StatusBadRequest, text: "X-Deadline-Ms: want whole milliseconds above 0"}
	}
	method := MethodFor(class)
	if r.method != method {
		return nil, &requestError{status: http.StatusMethodNotAllowed, text: "this class takes " + method, allowedMethod: method}
	}
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.RetrySafety == policy.IdempotencyKeyed && r.idempotencyKey == "" {
		return nil, &requestError{status: http.StatusBadRequest, text: "Idempotency-Key: missing"}
	}
	body, rest, err := s.readBody(c, r)
	if err != nil {
		status, text := BodyErrorStatus(err)
		return nil, &requestError{status: status, text: text, incomplete: true}
	}
	if method == http.MethodGet && len(body) > 0 {
		return nil, &requestError{status: http.StatusBadRequest, text: "a GET has no body"}
	}
	hint, _ := strconv.ParseUint(r.costHint, 10, 32) // a guess; none is as good as a bad one
	x = &Exchange{
		Request: policy.Request{ID: id, Class: class.Name, Tenant: r.tenant, Key: r.warmKey,
			EstimatedWork: time.Duration(hint) * time.Microsecond, ClientRetry: r.retry == "1",
			Incomplete: rest != nil, FormerClass: former},
		Forwarded: upstream.Request{ID: id, Method: method, Path: r.path, Host: r.host, IdempotencyKey: r.idempotencyKey,
			ContentType: r.contentType, Body: body, Length: r.Length},
		upload: rest, ReceivedAt: s.handler.Now(),
		Timeout: time.Duration(timeout) * time.Millisecond, Terms: terms,
		tally: s.handler.Tally(class.Name), Reply: c.reply, isClosedByClient: c.isClosedByClient,
	}
	if rest != nil {
		x.Forwarded.Stream = rest
		rest.onEnd = func(err error) { s.handler.HandleBodyEnd(x, err) }
	}
	return x, nil
}

// readBody reads a body up to what is kept; the rest is an attempt's to read.
func (s *Server) readBody(c *clientConn, r *requestHead) (body []byte, rest *upload, err error) {
	if r.Length == 0 {
		return nil, nil, nil
	}
	if r.Length > MaxBodyBytes {
		return nil, nil, ErrBodyTooLong
	}
	if r.Length > 0 && r.Length <= http1.MaxBufferedBodyBytes && int64(c.reader.Buffered()) >= r.Length { // came with the head
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
	u := newUpload(c, r.openBody(c.reader), s.clientConns.requestStartOf(c.tracked))
	body, whole, err := u.buffer(maxBytes, r.Length)
	if whole || err != nil {
		return body, nil, err
	}
	return body, u, nil
}

// isValidRequestID guards the table of requests and the header it goes on in.
func isValidRequestID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= MaxRequestIDBytes
}

// MethodFor is the method of the requests of a class: it follows from what a request may do.
func MethodFor(c policy.Class) string {
	if c.RetrySafety == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}
