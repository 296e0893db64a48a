package registry

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxWatchWait      = time.Minute // the platform's bound on how long a watch waits
	maxListResponses  = 256         // lists sent concurrently
	maxWrites         = 64          // commands in flight; has its own limit, so that lists take no capacity from writes
	defaultMaxWatches = 4096
	defaultMaxAge     = 2 * time.Second

	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second // for a caller to read a list

	retryAfterSeconds = "1"
)

// ServerConfig holds limits of a Server.
type ServerConfig struct {
	MaxWatches int           // concurrent watches; 0 means 4,096
	MaxAge     time.Duration // of a list that is served; 0 means 2 s
}

// Server serves the HTTP calls of nodes, agents, operators and the other replicas.
type Server struct {
	replica *Replica
	config  ServerConfig

	watches       limiter
	listResponses limiter
	writes        limiter
	scopedLists   limiter // scoped lists being computed, at most one per core
	counters      counters
}

// counters counts the calls of a Server since its start, and the watches that wait now.
type counters struct {
	watches                           atomic.Int64 // waiting now: the only counter that decreases
	lists, writes                     atomic.Uint64
	callsRejected, callsRejectedStale atomic.Uint64
}

// limiter bounds the number of operations in progress.
type limiter chan struct{}

func newLimiter(limit int) limiter { return make(limiter, limit) }

// tryAcquire doesn't block. If it returns true, the caller must call release.
func (l limiter) tryAcquire() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// acquire blocks until there is capacity. The caller must call release.
func (l limiter) acquire() { l <- struct{}{} }

func (l limiter) release() { <-l }

// NewServer returns a server for a replica.
func NewServer(r *Replica, c ServerConfig) *Server {
	if c.MaxAge == 0 {
		c.MaxAge = defaultMaxAge
	}
	if c.MaxWatches == 0 {
		c.MaxWatches = defaultMaxWatches
	}
	return &Server{replica: r, config: c, watches: newLimiter(c.MaxWatches), listResponses: newLimiter(maxListResponses),
		writes: newLimiter(maxWrites), scopedLists: newLimiter(runtime.GOMAXPROCS(0))}
}

// HTTPServer returns an HTTP server for an address. It disconnects callers that are slow or idle, or send large headers.
func (s *Server) HTTPServer(address string) *http.Server {
	return &http.Server{Addr: address, Handler: s, MaxHeaderBytes: maxBodyBytes, ReadHeaderTimeout: readTimeout,
		IdleTimeout: 2 * maxWatchWait, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
}

// ServeHTTP dispatches a call to its handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	path, isGet := req.URL.Path, req.Method == http.MethodGet
	instance, isInstance := strings.CutPrefix(path, instancesPath+"/")
	replica, isReplica := strings.CutPrefix(path, replicasPath+"/")
	switch {
	case path == instancesPath && isGet:
		s.handleList(w, req)
	case path == statusPath && isGet:
		s.handleStatus(w)
	case path == progressPath && isGet:
		s.handleProgress(w)
	case isInstance:
		setReadDeadline(w)
		s.handleInstance(w, req, instance)
	case isReplica:
		setReadDeadline(w)
		s.handleReplica(w, req, replica)
	default:
		http.NotFound(w, req)
	}
}

// setReadDeadline bounds how long a caller may take to send its body.
func setReadDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		slog.Debug("registry: setting a read deadline failed", "error", err)
	}
}

// setWriteDeadline bounds how long a caller may take to read the response.
func setWriteDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		slog.Debug("registry: setting a write deadline failed", "error", err)
	}
}

// acquire takes capacity of a limiter, or rejects the call and returns false.
func (s *Server) acquire(w http.ResponseWriter, l limiter) bool {
	if l.tryAcquire() {
		return true
	}
	s.counters.callsRejected.Add(1)
	unavailable(w, ErrTooManyCalls)
	return false
}

// checkAge rejects the call and returns false if this replica's list may be too old to serve. Otherwise it sets the header
// with the age of the list.
func (s *Server) checkAge(w http.ResponseWriter) bool {
	age, known := s.replica.Age()
	if !s.isFresh(age, known) {
		s.counters.callsRejectedStale.Add(1)
		unavailable(w, ErrStale)
		return false
	}
	w.Header().Set(ageHeader, formatInt(age.Milliseconds()))
	return true
}

func (s *Server) isFresh(age time.Duration, known bool) bool { return known && age <= s.config.MaxAge }

// unavailable responds 503: another replica, or this one later, may serve the call.
func unavailable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, errorText(err), http.StatusServiceUnavailable)
}

func badRequest(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func respondJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		slog.Debug("registry: sending a response failed", "error", err)
	}
}
