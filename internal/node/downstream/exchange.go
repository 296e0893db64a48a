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

// Exchange is one request of a client and the way back for its response. Its exported fields aren't changed once a Handler
// has it. Its methods may be called from any goroutine.
type Exchange struct {
	Request    policy.Request
	Forwarded  upstream.Request // what servers get of it
	ReceivedAt policy.Time      // when its last byte was read; of a streamed body, when its start was
	Timeout    time.Duration    // that the client waits from then
	Terms      Terms            // by which it was read
	Reply      chan Response    // takes one response, without blocking

	upload           *upload // Forwarded.Stream; nil where the body is buffered
	tally            Tally   // of its class
	disconnected     atomic.Bool
	isClosedByClient func() bool // asks the client's socket; nil where there is none
}

// Disconnected reports whether the client is known to have left.
func (x *Exchange) Disconnected() bool { return x.disconnected.Load() }

// BodyConsumed reports whether an attempt has read of a streamed body: the request can't be sent again then.
func (x *Exchange) BodyConsumed() bool { return x.upload != nil && x.upload.consumed.Load() }

// CheckDisconnected reports whether the client has left, and asks its socket: the connection's reader doesn't see that while the
// body waits for a server, behind bytes of a further request, or before its goroutine is scheduled.
func (x *Exchange) CheckDisconnected() bool {
	if x.isClosedByClient != nil && x.isClosedByClient() {
		x.disconnected.Store(true)
	}
	return x.disconnected.Load()
}

// Response is what a client gets. An empty field or a zero is left out of the head, but for Status and Length.
type Response struct {
	Status        int
	Body          []byte
	Stream        *upstream.ResponseStream // what follows Body as it comes; nil for nothing
	Length        int64                    // of the complete body in bytes, where there is a Stream; -1 where it is unknown
	ContentType   string
	RetryAfter    time.Duration
	AllowedMethod string // beside http.StatusMethodNotAllowed
}

// requestError is what is wrong with a request, and how that is answered.
type requestError struct {
	status        int
	text          string
	allowedMethod string // beside http.StatusMethodNotAllowed
	incomplete    bool   // it never came completely, so it isn't counted among its class's
}

// readRequest checks a request and reads its body, or the start of a long one. What it returns may reach servers.
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
	body, u, err := s.readBody(c, r)
	if err != nil {
		status, text := BodyErrorStatus(err)
		return nil, &requestError{status: status, text: text, incomplete: true}
	}
	if method == http.MethodGet && len(body) > 0 {
		return nil, &requestError{status: http.StatusBadRequest, text: "a GET has no body"}
	}
	hint, _ := strconv.ParseUint(r.costHint, 10, 32) // an estimate: one that can't be read counts as none
	x = &Exchange{
		Request: policy.Request{ID: id, Class: class.Name, Tenant: r.tenant, Key: r.affinityKey,
			EstimatedWork: time.Duration(hint) * time.Microsecond, ClientRetry: r.retry == "1",
			Incomplete: u != nil, FormerClass: former},
		Forwarded: upstream.Request{ID: id, Method: method, Path: r.path, Host: r.host, IdempotencyKey: r.idempotencyKey,
			ContentType: r.contentType, Body: body, Length: r.Length},
		upload: u, ReceivedAt: s.handler.Now(),
		Timeout: time.Duration(timeout) * time.Millisecond, Terms: terms,
		tally: s.handler.Tally(class.Name), Reply: c.reply, isClosedByClient: c.isClosedByClient,
	}
	if u != nil {
		x.Forwarded.Stream = u
		u.onEnd = func(err error) { s.handler.HandleBodyEnd(x, err) }
	}
	return x, nil
}

// readBody reads a body, or the start of a long one, whose remainder an attempt reads from the upload.
func (s *Server) readBody(c *clientConn, r *requestHead) (body []byte, _ *upload, err error) {
	if r.Length == 0 {
		return nil, nil, nil
	}
	if r.Length > MaxBodyBytes {
		return nil, nil, ErrBodyTooLong
	}
	cameWithHead := int64(c.reader.Buffered()) >= r.Length
	if cameWithHead && r.Length > 0 && r.Length <= http1.MaxBufferedBodyBytes {
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
	body, complete, err := u.buffer(maxBytes, r.Length)
	if complete || err != nil {
		return body, nil, err
	}
	return body, u, nil
}

// isValidRequestID reports whether an ID can be a key of the open requests and stand in a header field.
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
