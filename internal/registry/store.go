// Package registry is a list service: which servers there are, with leases, watches and versions, replicated by
// raft. It speaks the platform's list protocol, so that a node uses it as it uses the platform's. It is never in
// the way of a request: nodes go on by the last list that they had.
//
// state.go is a pure state machine: commands go in, a new state comes out. It has no clock (time comes in as a
// command of the leader) and does no I/O, so all replicas go through the same states.
package registry

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"
)

// Phases of an instance, as the platform names them.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed" // among changes only
)

// Bounds on what others can make grow.
const (
	maxInstances       = 150_000
	maxHistoryChanges  = 4096 // changes kept for watches; older ones get the whole list
	maxCachedResponses = 8192 // answers kept for requests that come again
	maxFieldBytes      = 256  // bytes of one field

	MinTTL     = time.Second
	MaxTTL     = 10 * time.Minute
	DefaultTTL = 15 * time.Second

	// maxExpiringFraction of the instances may lose their leases within massSpan; more than that is more often the
	// service's fault than the servers', and nobody is removed then.
	maxExpiringFraction = 0.3
	expirationAllowance = 3
	expirationWindow    = 30 * time.Second

	maxClockStep = 5 * time.Second // that one tick counts for, however late it is
	epochBits    = 32              // of a revision: a new epoch's are all beyond the former's
)

// Endpoint is one server, in the platform's form.
type Endpoint struct {
	ID          string  `json:"id" cbor:"1,keyasint"`
	Address     string  `json:"host_port" cbor:"2,keyasint"`
	Zone        string  `json:"locality" cbor:"3,keyasint"`
	Kind        string  `json:"flavor" cbor:"4,keyasint"`
	Cell        int64   `json:"cell" cbor:"5,keyasint"`
	Phase       string  `json:"phase" cbor:"6,keyasint"`
	Size        float64 `json:"size" cbor:"7,keyasint"`
	StartTimeMs int64   `json:"up_since_ms" cbor:"8,keyasint"`
	Service     string  `json:"service,omitempty" cbor:"9,keyasint,omitempty"` // empty for none
}

// Validate says which field can't be.
func (e Endpoint) Validate() error {
	for field, text := range map[string]string{"id": e.ID, "locality": e.Zone, "flavor": e.Kind} {
		if len(text) > maxFieldBytes {
			return fmt.Errorf("%s: over %d bytes", field, maxFieldBytes)
		}
	}
	host, port, err := net.SplitHostPort(e.Address)
	_, perr := strconv.ParseUint(port, 10, 16)
	switch {
	case e.ID == "":
		return errors.New("id: missing")
	case err != nil || perr != nil || host == "" || len(host) > maxFieldBytes:
		return fmt.Errorf("host_port: want host:port, got %q", e.Address)
	case e.Phase != PhaseUp && e.Phase != PhaseDraining:
		return fmt.Errorf("phase: want %s or %s, got %q", PhaseUp, PhaseDraining, e.Phase)
	case !(e.Size >= 0 && e.Size <= 1e6):
		return fmt.Errorf("size: want 0 to a million, got %v", e.Size)
	case e.StartTimeMs < 0 || e.StartTimeMs >= 1<<53:
		return errors.New("up_since_ms: out of range")
	case e.Service != "":
		return checkService(e.Service)
	}
	return nil
}

// Instance is an entry with its lease.
type Instance struct {
	Endpoint Endpoint      `cbor:"1,keyasint"`
	Version  int64         `cbor:"2,keyasint"` // the revision that last changed it
	TTL      time.Duration `cbor:"3,keyasint"`
	Deadline time.Duration `cbor:"4,keyasint"`           // by the state's clock
	Slot     int           `cbor:"5,keyasint,omitempty"` // unique within its service, the lowest that was free
}

// CommandKind says what a command does.
type CommandKind uint8

// The commands.
const (
	RegisterInstance   CommandKind = iota + 1 // Entry, Lease: a new instance, or another state of one
	RenewLease                                // ID
	SetInstancePhase                          // ID, Phase
	DeregisterInstance                        // ID
	AdvanceClock                              // Span: so much time has passed at the leader
	RestartLeases                             // a new leader: all leases run anew
	BeginEpoch                                // the state is a copy of an older one
	SetReplicaAddress                         // ID, Entry.HostPort: where a replica answers calls; empty: it is none any more
)

// Command is one change. Request, where given, makes a repeat harmless; IfMatch, where above 0, is the version
// that the instance has to have.
type Command struct {
	Kind      CommandKind   `cbor:"1,keyasint"`
	RequestID string        `cbor:"2,keyasint,omitempty"`
	ID        string        `cbor:"3,keyasint,omitempty"`
	IfMatch   int64         `cbor:"4,keyasint,omitempty"`
	Endpoint  Endpoint      `cbor:"5,keyasint,omitempty"`
	TTL       time.Duration `cbor:"6,keyasint,omitempty"`
	Phase     string        `cbor:"7,keyasint,omitempty"`
	Elapsed   time.Duration `cbor:"8,keyasint,omitempty"`
}

// ResultCode is why a command changed nothing.
type ResultCode string

// The faults.
const (
	ResultOK               ResultCode = ""
	ResultNotFound         ResultCode = "not found"
	ResultVersionMismatch  ResultCode = "another version"
	ResultTooManyInstances ResultCode = "too many instances"
	ResultUnknownCommand   ResultCode = "unknown command"
)

// Result is what came of a command.
type Result struct {
	Code     ResultCode `cbor:"1,keyasint,omitempty"`
	Instance Instance   `cbor:"2,keyasint"`
	Revision int64      `cbor:"3,keyasint"`
}

// change is one change of an instance.
type change struct {
	Revision int64      `cbor:"1,keyasint"`
	Endpoint Endpoint   `cbor:"2,keyasint"`           // as it is now; its phase is Removed if it is no more
	Previous *Placement `cbor:"3,keyasint,omitempty"` // as it was before; nil if it was not there
}

// touchedServices are those that the change touches.
func (c change) touchedServices() (all []string) {
	if c.Endpoint.Service != "" {
		all = append(all, c.Endpoint.Service)
	}
	if c.Previous != nil && c.Previous.Service != "" && c.Previous.Service != c.Endpoint.Service {
		all = append(all, c.Previous.Service)
	}
	return all
}

type cachedResponse struct {
	RequestID string `cbor:"1,keyasint"`
	Result    Result `cbor:"2,keyasint"`
}

// Store is the list. The zero value is not usable; make one with NewState. It isn't safe for concurrent use.
type Store struct {
	snapshotImage
	answers  map[string]Result // by request
	services services
}

// snapshotImage is what a snapshot holds.
type snapshotImage struct {
	Revision          int64               `cbor:"1,keyasint"`
	Clock             time.Duration       `cbor:"2,keyasint"` // the leaders' time, summed
	Instances         map[string]Instance `cbor:"3,keyasint"`
	History           []change            `cbor:"4,keyasint"`  // oldest first
	CompactedRevision int64               `cbor:"5,keyasint"`  // changes after this are all in History
	Responses         []cachedResponse    `cbor:"6,keyasint"`  // oldest first
	ReplicaAddresses  map[string]string   `cbor:"7,keyasint"`  // where replicas answer calls
	RecentExpirations []time.Duration     `cbor:"8,keyasint"`  // removals by lease within massSpan
	ExpirySuspended   bool                `cbor:"9,keyasint"`  // leases run out in a mass: nobody is removed
	AppliedIndex      uint64              `cbor:"10,keyasint"` // of the last command carried out
}

// NewStore is an empty list of the first epoch.
func NewStore() *Store {
	s := &Store{answers: make(map[string]Result), services: make(services)}
	s.Revision, s.Instances, s.ReplicaAddresses = 1<<epochBits, make(map[string]Instance), make(map[string]string)
	s.CompactedRevision = s.Revision
	return s
}

// Epoch is that of the state: no watcher sees a revision go back within it.
func (s *Store) Epoch() int64 { return s.Revision >> epochBits }

// Apply carries out a command. A repeat of a request gets the answer that it had.
func (s *Store) Apply(c Command) Result {
	if c.RequestID != "" {
		if r, ok := s.answers[c.RequestID]; ok {
			return r
		}
	}
	r := s.carryOut(c)
	r.Revision = s.Revision
	if c.RequestID != "" {
		s.remember(c.RequestID, r)
	}
	return r
}

func (s *Store) carryOut(c Command) Result {
	switch c.Kind {
	case RegisterInstance:
		return s.register(c)
	case RenewLease, SetInstancePhase, DeregisterInstance:
		return s.amend(c)
	case AdvanceClock:
		s.tick(min(max(0, c.Elapsed), maxClockStep))
	case RestartLeases:
		for id, i := range s.Instances {
			i.Deadline = s.Clock + i.TTL
			s.Instances[id] = i
		}
		s.RecentExpirations, s.ExpirySuspended = nil, false
	case BeginEpoch:
		s.Revision = (s.Epoch() + 1) << epochBits
		s.forget(len(s.History), s.Revision)
		s.carryOut(Command{Kind: RestartLeases})
	case SetReplicaAddress:
		if s.ReplicaAddresses[c.ID] = c.Endpoint.Address; c.Endpoint.Address == "" {
			delete(s.ReplicaAddresses, c.ID)
		}
	default:
		return Result{Code: ResultUnknownCommand}
	}
	return Result{}
}

func (s *Store) register(c Command) Result {
	was, there := s.Instances[c.Endpoint.ID]
	switch {
	case c.IfMatch > 0 && (!there || was.Version != c.IfMatch):
		return Result{Code: ResultVersionMismatch, Instance: was}
	case !there && len(s.Instances) >= maxInstances:
		return Result{Code: ResultTooManyInstances}
	}
	i := Instance{Endpoint: c.Endpoint, Version: was.Version, TTL: c.TTL, Deadline: s.Clock + c.TTL,
		Slot: was.Slot}
	return s.put(i, !there || was.Endpoint != c.Endpoint)
}

// amend changes an instance that is there.
func (s *Store) amend(c Command) Result {
	i, there := s.Instances[c.ID]
	switch {
	case !there:
		return Result{Code: ResultNotFound}
	case c.IfMatch > 0 && i.Version != c.IfMatch:
		return Result{Code: ResultVersionMismatch, Instance: i}
	}
	switch c.Kind {
	case DeregisterInstance:
		s.drop(i)
		return Result{Instance: i}
	case SetInstancePhase:
		told := i.Endpoint.Phase != c.Phase
		i.Endpoint.Phase = c.Phase
		return s.put(i, told)
	}
	i.Deadline = s.Clock + i.TTL
	return s.put(i, false)
}

// put keeps an instance, and tells watches where its entry has changed.
func (s *Store) put(i Instance, told bool) Result {
	if told {
		var former *Placement
		was, there := s.Instances[i.Endpoint.ID]
		if there {
			former = was.placement()
		}
		i.Slot = was.Slot
		if !there || was.Endpoint.Service != i.Endpoint.Service {
			s.services.release(was.Endpoint.Service, was.Slot)
			i.Slot = s.services.take(i.Endpoint.Service, i.Endpoint.ID)
		}
		i.Version = s.tell(i.Endpoint, former)
	}
	s.Instances[i.Endpoint.ID] = i
	return Result{Instance: i}
}

func (s *Store) drop(i Instance) {
	delete(s.Instances, i.Endpoint.ID)
	s.services.release(i.Endpoint.Service, i.Slot)
	former := i.placement()
	i.Endpoint.Phase = PhaseRemoved
	s.tell(i.Endpoint, former)
}

// tell makes a revision of a change.
func (s *Store) tell(e Endpoint, former *Placement) int64 {
	s.Revision++
	c := change{s.Revision, e, former}
	s.services.note(c)
	if s.History = append(s.History, c); len(s.History) > maxHistoryChanges {
		cut := len(s.History) - maxHistoryChanges/2
		s.forget(cut, s.History[cut-1].Revision)
	}
	return s.Revision
}

// forget drops the oldest changes; what a watch at a revision below the floor missed is no longer known.
func (s *Store) forget(oldest int, floor int64) {
	dropped := s.History[:oldest]
	s.History, s.CompactedRevision = slices.Clone(s.History[oldest:]), floor
	s.services.forget(dropped, floor)
}

// tick lets time pass: who hasn't renewed is removed, unless that befalls a mass of them.
func (s *Store) tick(span time.Duration) {
	s.Clock += span
	s.RecentExpirations = slices.DeleteFunc(s.RecentExpirations, func(at time.Duration) bool { return s.Clock-at > expirationWindow })
	var overdue []Instance
	for _, i := range s.Instances {
		if i.Deadline <= s.Clock {
			overdue = append(overdue, i)
		}
	}
	of := len(s.Instances) + len(s.RecentExpirations)
	gone := len(overdue) + len(s.RecentExpirations)
	s.ExpirySuspended = len(overdue) > 0 && gone > expirationAllowance && float64(gone) > maxExpiringFraction*float64(of)
	if s.ExpirySuspended {
		return
	}
	slices.SortFunc(overdue, func(a, b Instance) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	for _, i := range overdue {
		s.drop(i)
		s.RecentExpirations = append(s.RecentExpirations, s.Clock)
	}
}

// remember keeps the answer to a request for its repeats.
func (s *Store) remember(request string, r Result) {
	s.answers[request] = r
	if s.Responses = append(s.Responses, cachedResponse{request, r}); len(s.Responses) > maxCachedResponses {
		for _, a := range s.Responses[:maxCachedResponses/2] {
			delete(s.answers, a.RequestID)
		}
		s.Responses = slices.Clone(s.Responses[maxCachedResponses/2:])
	}
}

// EndpointList is an answer in the platform's form.
type EndpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// FullList is the list as it is.
func (s *Store) FullList() EndpointList {
	l := EndpointList{Revision: s.Revision, Complete: true, Endpoints: []Endpoint{}}
	for _, id := range slices.Sorted(maps.Keys(s.Instances)) {
		l.Endpoints = append(l.Endpoints, s.Instances[id].Endpoint)
	}
	return l
}

// ChangesSince is what changed after a revision; news is false where nothing did. Who has a revision of another epoch,
// one that never was, or one older than what is kept, gets the whole list.
func (s *Store) ChangesSince(revision int64) (l EndpointList, news bool) {
	switch {
	case revision == s.Revision:
		return EndpointList{Revision: s.Revision, Endpoints: []Endpoint{}}, false
	case revision > s.Revision || revision < s.CompactedRevision:
		return s.FullList(), true
	}
	newest := make(map[string]Endpoint)
	for _, c := range s.History {
		if c.Revision > revision {
			newest[c.Endpoint.ID] = c.Endpoint
		}
	}
	l = EndpointList{Revision: s.Revision, Endpoints: []Endpoint{}}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		l.Endpoints = append(l.Endpoints, newest[id])
	}
	return l, true
}
