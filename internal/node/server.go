package node

import (
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

const (
	maxID         = 128 // bytes; the protocol's own ids are far shorter
	maxDeadlineMs = 3_600_000
	maxHeader     = 16 << 10
	headerTimeout = 2300 * time.Millisecond // for a request's header from its first byte, or from the connect
	clientIdle    = 60 * time.Second
	writeTimeout  = 5 * time.Second // for an answer to a client that doesn't read
	readyPath     = "/health/ready"
)

// exchange is one client request, which is not changed once the loop has it.
type exchange struct {
	req         policy.Request
	method      string
	url         *url.URL
	host        string
	header      http.Header
	body        []byte      // as much of it as is kept
	rest        *upload     // what an attempt reads beyond; nil where that is all
	length      int64       // of the whole body; -1 where it isn't told
	came        policy.Time // when its last byte had been read, but for one with a rest
	clientWaits time.Duration
	terms       *terms      // that it was read by
	reply       chan answer // holds one, so the loop never waits for the client
}

// answer is what a client gets.
type answer struct {
	status      int
	body        []byte
	rest        *download // what follows the body as it comes; nil for nothing
	length      int64     // of both; -1 where it isn't told
	contentType string
	retryAfter  time.Duration
}

// server takes requests from clients, hands them to the loop, and writes the loop's answers.
type server struct {
	loop     *loop
	stopping atomic.Bool // the front is told that the node isn't ready
	draining atomic.Bool // and answers end their connections
	peers    *peers
	http     http.Server
}

func newServer(l *loop) *server {
	s := &server{loop: l, peers: newPeers(l.up.sockets.forClients, &l.up.sockets.clients, l.up.yield)}
	s.http = http.Server{
		Handler: s, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: clientIdle, DisableGeneralOptionsHandler: true,
		ConnContext: s.peers.admit, ConnState: s.peers.follow,
	}
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Over its part of the descriptors the node still answers, and gets the descriptor back.
	full := overLimit(r.Context())
	// What comes after chunks is not followed by framedConn, so it must not be read as a request.
	// A node that stops gets no new connections, and its clients are best kept: the others have to bear
	// whoever leaves.
	crowded := !s.stopping.Load() && s.peers.crowded(r.Context())
	if full || s.draining.Load() || crowded || len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	giveWrite(w, writeTimeout) // the last answer on this connection had another deadline
	if r.URL.Path == readyPath && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		s.health(w)
		return
	}
	class, _, known := s.loop.terms.Load().class(r)
	if status := s.serve(w, r, full); known && status != 0 {
		s.loop.fig.class(class.Name).count(status)
	}
}

// serve answers a client's request, and returns the status that it gave; 0 for one that never came whole.
func (s *server) serve(w http.ResponseWriter, r *http.Request, full bool) int {
	if full {
		leaveBody(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return http.StatusServiceUnavailable
	}
	x, bad := s.read(w, r)
	if bad != nil {
		if !bad.cut { // else its time is up
			leaveBody(w)
		}
		w.Header().Set("Connection", "close") // no client of ours sends such: its descriptor is wanted
		http.Error(w, bad.text, bad.status)
		if bad.cut {
			return 0
		}
		return bad.status
	}
	s.loop.fig.open.Add(1)
	defer s.loop.fig.open.Add(-1)
	if x.rest != nil {
		_ = http.NewResponseController(w).EnableFullDuplex() // the answer may come first
		defer x.rest.stop()
	}
	s.loop.send(arrival{x})
	for gone := r.Context().Done(); ; {
		select {
		case a := <-x.reply:
			s.answer(w, r, x, a)
			if a.status < http.StatusInternalServerError && x.rest != nil && !x.rest.whole.Load() {
				return 0
			}
			return a.status
		case <-gone:
			if x.rest != nil && !x.rest.whole.Load() {
				gone = nil // so net/http takes any read that fails, also by its deadline; the reply tells
				continue
			}
			s.loop.send(departure{x})
			panic(http.ErrAbortHandler) // to return would send 200 to a client that closed only its side
		case <-s.loop.done:
			w.WriteHeader(http.StatusBadGateway)
			return http.StatusBadGateway
		}
	}
}

// answer writes the client's answer. One that breaks off ends the connection, so that the client can tell.
func (s *server) answer(w http.ResponseWriter, r *http.Request, x *exchange, a answer) {
	early := x.rest != nil && !x.rest.whole.Load()
	if early {
		x.rest.stop()
		w.Header().Set("Connection", "close")
	}
	if a.rest == nil {
		write(w, a)
		if early {
			_ = http.NewResponseController(w).Flush()
			x.rest.linger()
		}
		return
	}
	conn := tcp(connOf(r.Context()))
	if conn != nil {
		_ = conn.SetWriteBuffer(clientBuffer)
	}
	head(w, a)
	err := a.rest.pass(w, a.body)
	if err == nil {
		return
	}
	if !errors.Is(err, errClient) {
		s.loop.fig.class(x.req.Class).count(http.StatusBadGateway)
		if conn != nil && a.length < 0 && !r.ProtoAtLeast(1, 1) { // a plain close would mean the end
			_ = conn.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// health tells the front that the node may be taken in.
func (s *server) health(w http.ResponseWriter) {
	if !s.taking() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// taking tells whether the node takes clients.
func (s *server) taking() bool {
	select {
	case <-s.loop.ready:
		return !s.stopping.Load()
	default:
		return false
	}
}

// leaveBody bounds what net/http does for a body that nobody read: it reads on, lest a close at once takes
// the answer with it.
func leaveBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(silentLeast))
}

// fault is what is wrong with a request.
type fault struct {
	status int
	text   string
	cut    bool // it never came whole, so it was not taken
}

// read takes in a whole request, or says what is wrong with it. What it lets through reaches servers.
func (s *server) read(w http.ResponseWriter, r *http.Request) (x *exchange, bad *fault) {
	h := r.Header
	id := h.Get("X-Request-Id")
	if !usableID(id) {
		return nil, &fault{status: http.StatusBadRequest, text: "X-Request-Id: missing or malformed"}
	}
	terms := s.loop.terms.Load()
	class, former, ok := terms.class(r)
	if !ok {
		return nil, &fault{status: http.StatusBadRequest, text: "X-Class: unknown"}
	}
	waits, err := strconv.ParseUint(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || waits == 0 || waits > maxDeadlineMs {
		return nil, &fault{status: http.StatusBadRequest, text: "X-Deadline-Ms: want whole milliseconds above 0"}
	}
	method := methodOf(class)
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, &fault{status: http.StatusMethodNotAllowed, text: "this class takes " + method}
	}
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.Repeat == policy.Guarded && h.Get("Idempotency-Key") == "" {
		return nil, &fault{status: http.StatusBadRequest, text: "Idempotency-Key: missing"}
	}
	s.peers.reading(r.Context(), true)
	body, rest, err := takeBody(w, r, s.peers.begunAt(r.Context()))
	s.peers.reading(r.Context(), false)
	if err != nil {
		status, text := uploadStatus(err)
		return nil, &fault{status: status, text: text, cut: true}
	}
	if method == http.MethodGet && len(body) > 0 {
		return nil, &fault{status: http.StatusBadRequest, text: "a GET has no body"}
	}
	hint, _ := strconv.ParseUint(h.Get("X-Cost-Hint"), 10, 32) // a guess; none is as good as a bad one
	x = &exchange{
		req: policy.Request{ID: id, Class: class.Name, Tenant: h.Get("X-Tenant"), Key: h.Get("X-Key"),
			Hint: time.Duration(hint) * time.Microsecond, Retry: h.Get("X-Retry") == "1",
			Partial: rest != nil, Former: former},
		method: method, url: r.URL, host: r.Host, header: h, body: body, rest: rest,
		length: r.ContentLength, came: s.loop.clock.now(),
		clientWaits: time.Duration(waits) * time.Millisecond, terms: terms, reply: make(chan answer, 1),
	}
	if rest != nil {
		rest.ended = func(err error) { s.loop.send(uploaded{x, err}) }
	}
	return x, nil
}

// takeBody reads a body up to what is kept; the rest is an attempt's to read.
func takeBody(w http.ResponseWriter, r *http.Request, began time.Time) (body []byte, rest *upload, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if r.ContentLength > maxTransfer {
		return nil, nil, &http.MaxBytesError{Limit: maxTransfer}
	}
	most := maxBody + 1
	if r.ContentLength > maxBody {
		most = firstPart
	}
	u := newUpload(w, r, began)
	body, whole, err := u.keep(most, r.ContentLength)
	if whole || err != nil {
		return body, nil, err
	}
	return body, u, nil
}

// usableID guards the table of requests and the header it goes on in.
func usableID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxID
}

func write(w http.ResponseWriter, a answer) {
	giveWrite(w, writeTimeout)
	a.length = int64(len(a.body))
	head(w, a)
	_, _ = w.Write(a.body) // the client may have left; the request is over either way
}

// giveWrite bounds what is written next: a client that reads nothing must not hold the handler for ever.
func giveWrite(w http.ResponseWriter, d time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d))
}

func head(w http.ResponseWriter, a answer) {
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
}
