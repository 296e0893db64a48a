package node

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloerail/internal/node/http1"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	maxID         = 128 // bytes; the protocol's own ids are far shorter
	maxDeadlineMs = 3_600_000
	headerTimeout = 2300 * time.Millisecond // for a request's header from its first byte, or from the connect
	clientIdle    = 60 * time.Second
	writeTimeout  = 5 * time.Second      // for an answer to a client that doesn't read
	placePoll     = 5 * time.Millisecond // between looks for a place
	readyPath     = "/health/ready"
)

// exchange is one client request, which is not changed once the loop has it, but for whether its client has left.
type exchange struct {
	req         policy.Request
	forwarded   upstream.Request // what servers get of it
	rest        *upload          // forwarded.Stream; nil where the body is complete
	came        policy.Time      // when its last byte had been read, but for one with a rest
	clientWaits time.Duration
	terms       *terms      // that it was read by
	tally       *tally      // of its class
	reply       chan answer // holds one, so the loop never waits for the client
	left        atomic.Bool // its client has gone
	hungUp      func() bool // asks the client's socket for that; nil where there is none
}

// clientLeft tells whether the client has gone, and asks its socket: nobody reads that while its body waits for a
// server, with bytes of a further request read already, or where its reader has had no turn since.
func (x *exchange) clientLeft() bool {
	if x.hungUp != nil && x.hungUp() {
		x.left.Store(true)
	}
	return x.left.Load()
}

// answer is what a client gets.
type answer struct {
	status      int
	body        []byte
	rest        *upstream.ResponseStream // what follows the body as it comes; nil for nothing
	length      int64                    // of both; -1 where it isn't told
	contentType string
	retryAfter  time.Duration
	allow       string // the methods that are, of one that isn't
}

// server takes requests from clients, hands them to the loop, and writes the loop's answers.
type server struct {
	loop       *loop
	first      chan struct{} // closed once new clients come to this process alone
	stopping   atomic.Bool   // the front is told that the node isn't ready
	draining   atomic.Bool   // and answers end their connections
	closing    atomic.Bool   // and connections end as soon as they have no request
	superseded atomic.Bool   // another process of this node serves
	heir       bool          // another one served before this
	sharing    atomic.Bool   // another one still holds descriptors that come to this one bit by bit
	peers      *peers
	open       sync.WaitGroup // connections
}

func newServer(l *loop) *server {
	return &server{loop: l, first: make(chan struct{}), peers: newPeers(l.up.Descriptors().ForClients, l.up.Descriptors().SetClients, l.up.CloseExcessIdle)}
}

// taking tells whether this process takes clients.
func (s *server) taking() bool {
	select {
	case <-s.first: // and so the list is in
		return !s.stopping.Load()
	default:
		return false
	}
}

// ready tells whether the node takes clients, in this process or in another of it.
func (s *server) ready() bool {
	if s.stopping.Load() {
		return s.superseded.Load()
	}
	select {
	case <-s.loop.ready:
		return true
	default:
		return s.heir
	}
}

// place tells whether a client has a place. One that came over the limit while descriptors come from the process
// before this one waits for the next few of them.
func (s *server) place(p *peer) bool {
	for end := time.Now().Add(2 * handoverTell); p.over && !s.peers.fits(p); time.Sleep(placePoll) {
		if !s.sharing.Load() || !time.Now().Before(end) {
			return false
		}
	}
	return true
}

// fault is what is wrong with a request.
type fault struct {
	status int
	text   string
	allow  string // the method that is
	cut    bool   // it never came whole, so it was not taken
}

// read takes in a whole request, or says what is wrong with it. What it lets through reaches servers.
func (s *server) read(c *client, r *message) (x *exchange, bad *fault) {
	id := r.id
	if !usableID(id) {
		return nil, &fault{status: http.StatusBadRequest, text: "X-Request-Id: missing or malformed"}
	}
	terms := s.loop.terms.Load()
	class, former, ok := terms.class(r.class, r.method, r.key != "")
	if !ok {
		return nil, &fault{status: http.StatusBadRequest, text: "X-Class: unknown"}
	}
	waits, err := strconv.ParseUint(r.deadline, 10, 64)
	if err != nil || waits == 0 || waits > maxDeadlineMs {
		return nil, &fault{status: http.StatusBadRequest, text: "X-Deadline-Ms: want whole milliseconds above 0"}
	}
	method := methodOf(class)
	if r.method != method {
		return nil, &fault{status: http.StatusMethodNotAllowed, text: "this class takes " + method, allow: method}
	}
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.RetrySafety == policy.IdempotencyKeyed && r.key == "" {
		return nil, &fault{status: http.StatusBadRequest, text: "Idempotency-Key: missing"}
	}
	body, rest, err := s.takeBody(c, r)
	if err != nil {
		status, text := uploadStatus(err)
		return nil, &fault{status: status, text: text, cut: true}
	}
	if method == http.MethodGet && len(body) > 0 {
		return nil, &fault{status: http.StatusBadRequest, text: "a GET has no body"}
	}
	hint, _ := strconv.ParseUint(r.hint, 10, 32) // a guess; none is as good as a bad one
	x = &exchange{
		req: policy.Request{ID: id, Class: class.Name, Tenant: r.tenant, Key: r.warmKey,
			EstimatedWork: time.Duration(hint) * time.Microsecond, ClientRetry: r.retry == "1",
			Incomplete: rest != nil, FormerClass: former},
		forwarded: upstream.Request{ID: id, Method: method, Path: r.path, Host: r.host, IdempotencyKey: r.key,
			ContentType: r.contentType, Body: body, Length: r.Length},
		rest: rest, came: s.loop.clock.now(),
		clientWaits: time.Duration(waits) * time.Millisecond, terms: terms,
		tally: s.loop.fig.class(class.Name), reply: c.reply, hungUp: c.hungUp,
	}
	if rest != nil {
		x.forwarded.Stream = rest
		rest.ended = func(err error) { s.loop.send(uploaded{x, err}) }
	}
	return x, nil
}

// takeBody reads a body up to what is kept; the rest is an attempt's to read.
func (s *server) takeBody(c *client, r *message) (body []byte, rest *upload, err error) {
	if r.Length == 0 {
		return nil, nil, nil
	}
	if r.Length > maxTransfer {
		return nil, nil, errTooLong
	}
	if r.Length > 0 && r.Length <= http1.MaxBufferedBodyBytes && int64(c.r.Buffered()) >= r.Length { // came with the head
		body = make([]byte, r.Length)
		_, err = c.r.Read(body)
		return body, nil, err
	}
	if err := c.wantBody(r); err != nil {
		return nil, nil, err
	}
	s.peers.reading(c.peer, true)
	defer s.peers.reading(c.peer, false)
	most := http1.MaxBufferedBodyBytes + 1
	if r.Length > http1.MaxBufferedBodyBytes {
		most = firstPart
	}
	u := newUpload(c, r.body(c.r), s.peers.begunAt(c.peer))
	body, whole, err := u.keep(most, r.Length)
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
