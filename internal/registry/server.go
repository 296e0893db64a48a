package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	listPath     = "/registry/instances"
	progressPath = "/registry/fresh"

	maxWatchWait     = time.Minute // that a watch lasts, as the platform has it
	maxBodyBytes     = 16 << 10
	maxListResponses = 256 // lists being written at a time
	maxWrites        = 64  // commands under way at a time: registration has a share of its own
	readTime         = 5 * time.Second
	writeGrace       = 10 * time.Second // for a caller to take an answer; slower ones are dropped
	againIn          = "1"              // seconds, for a caller that was turned away
	defaultMaxAge    = 2 * time.Second  // older than that, a replica serves nothing
	epochHeader      = "X-Registry-Epoch"
	ageHeader        = "X-Registry-Age-Ms" // how old the list may be at most

	scopedHeader          = "X-Registry-Scoped"           // the list is of the scope that the call named
	unknownServicesHeader = "X-Registry-Unknown-Services" // those of the scope of which nothing is known
)

// ServerConfig bounds a replica's side for callers.
type ServerConfig struct {
	MaxWatches int           // held at a time; more are turned away
	MaxAge     time.Duration // how old a list may be at most; 0 for 2 s
}

// Server answers calls for the list and registrations.
type Server struct {
	r       *Replica
	c       ServerConfig
	watches chan struct{}
	reads   chan struct{}
	writes  chan struct{}
	choices chan struct{} // scoped lists that are made at a time
	stats   Stats
}

// Stats count what the server did.
type Stats struct {
	Watches                         atomic.Int64 // held now
	Lists, Writes, Shed, Stale, Bad atomic.Uint64
}

// NewServer makes a replica's side for callers.
func NewServer(r *Replica, c ServerConfig) *Server {
	if c.MaxAge == 0 {
		c.MaxAge = defaultMaxAge
	}
	if c.MaxWatches == 0 {
		c.MaxWatches = 4096
	}
	return &Server{r: r, c: c, watches: make(chan struct{}, c.MaxWatches), reads: make(chan struct{}, maxListResponses),
		writes: make(chan struct{}, maxWrites), choices: make(chan struct{}, runtime.GOMAXPROCS(0))}
}

// HTTP is an HTTP server for it, whose slow callers are dropped.
func (s *Server) HTTP() *http.Server {
	return &http.Server{Handler: s, MaxHeaderBytes: maxBodyBytes, ReadHeaderTimeout: readTime, IdleTimeout: 2 * maxWatchWait,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := http.NewResponseController(w)
	path, isInstance := strings.CutPrefix(req.URL.Path, listPath+"/")
	switch {
	case req.URL.Path == listPath && req.Method == http.MethodGet:
		s.list(w, req, c)
	case isInstance:
		_ = c.SetReadDeadline(time.Now().Add(readTime))
		s.instance(w, req, path)
	case req.URL.Path == "/registry/status" && req.Method == http.MethodGet:
		s.status(w)
	case req.URL.Path == progressPath && req.Method == http.MethodGet:
		f, err := s.r.progress()
		if err != nil {
			s.turnAway(w, errorText(err))
			return
		}
		s.json(w, f)
	case strings.HasPrefix(req.URL.Path, "/registry/replicas/"):
		_ = c.SetReadDeadline(time.Now().Add(readTime))
		s.replica(w, req, strings.TrimPrefix(req.URL.Path, "/registry/replicas/"))
	default:
		http.NotFound(w, req)
	}
}

// enter takes a place among so many, or turns the call away at once.
func (s *Server) enter(w http.ResponseWriter, places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	default:
		s.stats.Shed.Add(1)
		s.turnAway(w, "too many calls")
		return false
	}
}

func (s *Server) turnAway(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", againIn)
	http.Error(w, why, http.StatusServiceUnavailable)
}

// list answers with the whole list, or, for a watch, with what has changed once something has.
func (s *Server) list(w http.ResponseWriter, req *http.Request, c *http.ResponseController) {
	query := req.URL.Query()
	index, watch, err := number(query.Get("index"))
	ms, _, werr := number(query.Get("wait"))
	if err != nil || werr != nil {
		s.stats.Bad.Add(1)
		http.Error(w, "index, wait: want whole numbers", http.StatusBadRequest)
		return
	}
	scope, err := parseScope(query)
	if err != nil {
		s.bad(w, err)
		return
	}
	if scope != nil && !watch {
		s.tellScoped(w, c, scope, -1, true)
		return
	}
	if !watch {
		s.tell(w, c, fullListRevision, true)
		return
	}
	if !s.enter(w, s.watches) {
		return
	}
	s.stats.Watches.Add(1)
	defer func() { <-s.watches; s.stats.Watches.Add(-1) }()
	until := time.NewTimer(min(maxWatchWait, max(0, time.Duration(ms)*time.Millisecond)))
	defer until.Stop()
	if scope != nil {
		s.watchScoped(w, req, c, scope, index, until.C)
		return
	}
	for {
		news := s.r.store.nextChange() // before looking, so that no change is missed
		told := s.tell(w, c, index, false)
		if told {
			return
		}
		select {
		case <-news:
		case <-until.C:
			s.tell(w, c, index, true)
			return
		case <-req.Context().Done():
			return
		}
	}
}

func number(text string) (n int64, given bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	n, err = strconv.ParseInt(text, 10, 64)
	return n, true, err
}

// tell writes the list since a revision, unless it is unchanged since. It refuses where this replica can't tell that
// its list is fresh enough.
func (s *Server) tell(w http.ResponseWriter, c *http.ResponseController, since int64, evenUnchanged bool) bool {
	raw, epoch := s.r.store.encodedList(since, evenUnchanged)
	if raw == nil {
		return false
	}
	if s.fresh(w) {
		s.write(w, c, raw, epoch)
	}
	return true
}

// fresh refuses a call where this replica can't tell that its list is fresh enough.
func (s *Server) fresh(w http.ResponseWriter) bool {
	age, ok := s.r.Age()
	if !ok || age > s.c.MaxAge {
		s.stats.Stale.Add(1)
		s.turnAway(w, "this replica can't tell that its list is fresh")
		return false
	}
	w.Header().Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
	return true
}

// write sends a list.
func (s *Server) write(w http.ResponseWriter, c *http.ResponseController, raw []byte, epoch int64) {
	if !s.enter(w, s.reads) {
		return
	}
	defer func() { <-s.reads }()
	_ = c.SetWriteDeadline(time.Now().Add(writeGrace))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(epochHeader, strconv.FormatInt(epoch, 10))
	s.stats.Lists.Add(1)
	_, _ = w.Write(raw)
}

// registration is the body of a PUT.
type registration struct {
	Address     string   `json:"host_port"`
	Zone        string   `json:"locality"`
	Kind        string   `json:"flavor"`
	Cell        int64    `json:"cell"`
	Phase       string   `json:"phase"`
	Size        *float64 `json:"size"`
	StartTimeMs int64    `json:"up_since_ms"`
	TTLMs       int64    `json:"lease_ms"`
	Service     string   `json:"service,omitempty"` // left out for services that know no such key
}

// WriteResponse is what a write is answered with.
type WriteResponse struct {
	ID       string `json:"id"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	TTLMs    int64  `json:"lease_ms"`
	Phase    string `json:"phase"`
}

// instance takes a write: PUT of an instance, of its lease or of its phase, and DELETE.
func (s *Server) instance(w http.ResponseWriter, req *http.Request, path string) {
	id, what, _ := strings.Cut(path, "/")
	cmd := Command{ID: id, RequestID: req.Header.Get("X-Request-Id")}
	if match := strings.Trim(req.Header.Get("If-Match"), `"`); match != "" {
		v, err := strconv.ParseInt(match, 10, 64)
		if err != nil || v <= 0 {
			s.bad(w, errors.New("If-Match: want a version"))
			return
		}
		cmd.IfMatch = v
	}
	if len(cmd.RequestID) > maxFieldBytes {
		s.bad(w, fmt.Errorf("X-Request-Id: over %d bytes", maxFieldBytes))
		return
	}
	var err error
	switch {
	case req.Method == http.MethodPut && what == "":
		err = cmd.register(req, id)
	case req.Method == http.MethodPut && what == "lease":
		cmd.Kind, cmd.RequestID = RenewLease, "" // a repeat is harmless as it is
	case req.Method == http.MethodPut && what == "phase":
		err = cmd.phase(req)
	case req.Method == http.MethodDelete && what == "":
		cmd.Kind = DeregisterInstance
	default:
		http.Error(w, "want PUT of an instance, its lease or its phase, or DELETE", http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		s.bad(w, err)
		return
	}
	if !s.enter(w, s.writes) {
		return
	}
	defer func() { <-s.writes }()
	res, err := s.r.Propose(cmd)
	s.answer(w, req, id, res, err)
}

func (s *Server) bad(w http.ResponseWriter, err error) {
	s.stats.Bad.Add(1)
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// register reads an instance.
func (c *Command) register(req *http.Request, id string) error {
	var in registration
	if err := readJSON(req, &in); err != nil {
		return err
	}
	e := Endpoint{ID: id, Address: in.Address, Zone: in.Zone, Kind: in.Kind, Cell: in.Cell, Phase: in.Phase,
		Size: 1, StartTimeMs: in.StartTimeMs, Service: in.Service}
	if e.Phase == "" {
		e.Phase = PhaseUp
	}
	if in.Size != nil {
		e.Size = *in.Size
	}
	c.Kind, c.Endpoint, c.TTL = RegisterInstance, e, DefaultTTL
	if in.TTLMs != 0 {
		c.TTL = time.Duration(in.TTLMs) * time.Millisecond
	}
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return fmt.Errorf("lease_ms: want %d to %d", MinTTL.Milliseconds(), MaxTTL.Milliseconds())
	}
	return e.Validate()
}

func (c *Command) phase(req *http.Request) error {
	var in struct {
		Phase string `json:"phase"`
	}
	if err := readJSON(req, &in); err != nil {
		return err
	}
	if in.Phase != PhaseUp && in.Phase != PhaseDraining {
		return fmt.Errorf("phase: want %s or %s, got %q", PhaseUp, PhaseDraining, in.Phase)
	}
	c.Kind, c.Phase = SetInstancePhase, in.Phase
	return nil
}

func readJSON(req *http.Request, to any) error {
	d := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// answer tells what came of a write. A replica that isn't the leader names the one that is.
func (s *Server) answer(w http.ResponseWriter, req *http.Request, id string, res Result, err error) {
	var other *NotLeaderError
	switch {
	case errors.As(err, &other) && other.LeaderAddress != "":
		http.Redirect(w, req, "http://"+other.LeaderAddress+req.URL.RequestURI(), http.StatusTemporaryRedirect)
	case err != nil && res.Code == ResultOK:
		s.turnAway(w, errorText(err))
	case res.Code == ResultNotFound:
		http.Error(w, string(res.Code), http.StatusNotFound)
	case res.Code == ResultVersionMismatch:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(res.Instance.Version, 10)))
		http.Error(w, string(res.Code), http.StatusPreconditionFailed)
	case res.Code != ResultOK:
		http.Error(w, string(res.Code), http.StatusInsufficientStorage)
	default:
		s.stats.Writes.Add(1)
		w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(res.Instance.Version, 10)))
		s.json(w, WriteResponse{ID: id, Version: res.Instance.Version, Revision: res.Revision,
			TTLMs: res.Instance.TTL.Milliseconds(), Phase: res.Instance.Endpoint.Phase})
	}
}

func (s *Server) json(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		slog.Debug("registry: an answer", "err", err)
	}
}

// Status is what a replica says of itself.
type Status struct {
	ID                 string          `json:"id"`
	Leader             string          `json:"leader"` // empty for none that this replica knows
	Epoch              int64           `json:"epoch"`
	Revision           int64           `json:"revision"`
	Instances          int             `json:"instances"`
	ExpirySuspended    bool            `json:"leases_held"` // they run out in a mass, and nobody is removed
	AgeMs              int64           `json:"age_ms"`      // -1: it can't say, and serves no list
	Watches            int64           `json:"watches"`
	Lists              uint64          `json:"lists"`
	Writes             uint64          `json:"writes"`
	CallsRejected      uint64          `json:"calls_turned_away"`
	CallsRejectedStale uint64          `json:"calls_refused_stale"`
	Replicas           []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is one of the replicas.
type ReplicaStatus struct {
	ID          string `json:"id"`
	RaftAddress string `json:"raft"`
	APIAddress  string `json:"calls"`
}

// Status tells how the replica is.
func (s *Server) Status() (Status, error) {
	servers, leader, err := s.r.Configuration()
	out := Status{ID: s.r.config.ID, Leader: leader, AgeMs: -1, Watches: s.stats.Watches.Load(), Lists: s.stats.Lists.Load(),
		Writes: s.stats.Writes.Load(), CallsRejected: s.stats.Shed.Load(), CallsRejectedStale: s.stats.Stale.Load()}
	if age, ok := s.r.Age(); ok {
		out.AgeMs = age.Milliseconds()
	}
	s.r.store.view(func(st *Store) {
		out.Epoch, out.Revision, out.Instances, out.ExpirySuspended = st.Epoch(), st.revision, len(st.instances), st.leases.suspended
		for _, v := range servers {
			out.Replicas = append(out.Replicas, ReplicaStatus{string(v.ID), string(v.Address), st.replicaAddresses[string(v.ID)]})
		}
	})
	return out, err
}

func (s *Server) status(w http.ResponseWriter) {
	out, err := s.Status()
	if err != nil {
		s.turnAway(w, err.Error())
		return
	}
	s.json(w, out)
}

// replica adds a replica (PUT, with where it is) or takes one out (DELETE).
func (s *Server) replica(w http.ResponseWriter, req *http.Request, id string) {
	var err error
	switch req.Method {
	case http.MethodPut:
		var in struct {
			Raft  string `json:"raft"`
			Calls string `json:"calls"`
		}
		if err := readJSON(req, &in); err != nil {
			s.bad(w, err)
			return
		}
		if id == "" || len(id) > maxFieldBytes || in.Raft == "" || in.Calls == "" {
			s.bad(w, errors.New("want an id, raft and calls"))
			return
		}
		err = s.r.AddReplica(id, in.Raft, in.Calls)
	case http.MethodDelete:
		err = s.r.RemoveReplica(id)
	default:
		http.Error(w, "want PUT or DELETE", http.StatusMethodNotAllowed)
		return
	}
	s.answer(w, req, id, Result{}, err)
}

// Run serves at an address until ctx ends.
func Run(ctx context.Context, h *http.Server, addr string) error {
	h.Addr = addr
	stop := context.AfterFunc(ctx, func() { h.Close() })
	defer stop()
	if err := h.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// progressResponse is what the leader tells a follower: the last command that it has applied, and how old its list may
// be.
type progressResponse struct {
	Index uint64 `json:"index"`
	AgeMs int64  `json:"age_ms"`
}

// mustMarshalJSON encodes a list, whose types have no value that can't be encoded: sizes are validated.
func mustMarshalJSON(list EndpointList) []byte {
	raw, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return raw
}

// errorText returns the text of a 503 response, which is a part of the protocol.
func errorText(err error) string {
	const notLeader, notCommitted = "this replica is not the leader", "not kept by most replicas in time"
	var commit *CommitError
	switch {
	case errors.As(err, &commit):
		return notCommitted + ": " + commit.Reason.Error()
	case errors.Is(err, ErrNotCommitted):
		return notCommitted
	case errors.Is(err, ErrNotLeader):
		return notLeader
	case errors.Is(err, ErrStale):
		return "this replica can't tell that its list is fresh"
	case errors.Is(err, ErrTooManyCalls):
		return "too many calls"
	default:
		return err.Error()
	}
}
