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
	Up       = "up"
	Draining = "draining"
	Removed  = "removed" // among changes only
)

// Bounds on what others can make grow.
const (
	mostInstances = 150_000
	mostHistory   = 4096 // changes kept for watches; older ones get the whole list
	mostRequests  = 8192 // answers kept for requests that come again
	mostText      = 256  // bytes of one field

	LeaseLeast   = time.Second
	LeaseMost    = 10 * time.Minute
	LeaseDefault = 15 * time.Second

	// massShare of the instances may lose their leases within massSpan; more than that is more often the
	// service's fault than the servers', and nobody is removed then.
	massShare = 0.3
	massLeast = 3
	massSpan  = 30 * time.Second

	tickMost  = 5 * time.Second // that one tick counts for, however late it is
	epochBits = 32              // of a revision: a new epoch's are all beyond the former's
)

// Entry is one server, in the platform's form.
type Entry struct {
	ID       string  `json:"id" cbor:"1,keyasint"`
	HostPort string  `json:"host_port" cbor:"2,keyasint"`
	Locality string  `json:"locality" cbor:"3,keyasint"`
	Flavor   string  `json:"flavor" cbor:"4,keyasint"`
	Cell     int64   `json:"cell" cbor:"5,keyasint"`
	Phase    string  `json:"phase" cbor:"6,keyasint"`
	Size     float64 `json:"size" cbor:"7,keyasint"`
	UpSince  int64   `json:"up_since_ms" cbor:"8,keyasint"`
	Service  string  `json:"service,omitempty" cbor:"9,keyasint,omitempty"` // empty for none
}

// Check says which field can't be.
func (e Entry) Check() error {
	for field, text := range map[string]string{"id": e.ID, "locality": e.Locality, "flavor": e.Flavor} {
		if len(text) > mostText {
			return fmt.Errorf("%s: over %d bytes", field, mostText)
		}
	}
	host, port, err := net.SplitHostPort(e.HostPort)
	_, perr := strconv.ParseUint(port, 10, 16)
	switch {
	case e.ID == "":
		return errors.New("id: missing")
	case err != nil || perr != nil || host == "" || len(host) > mostText:
		return fmt.Errorf("host_port: want host:port, got %q", e.HostPort)
	case e.Phase != Up && e.Phase != Draining:
		return fmt.Errorf("phase: want %s or %s, got %q", Up, Draining, e.Phase)
	case !(e.Size >= 0 && e.Size <= 1e6):
		return fmt.Errorf("size: want 0 to a million, got %v", e.Size)
	case e.UpSince < 0 || e.UpSince >= 1<<53:
		return errors.New("up_since_ms: out of range")
	case e.Service != "":
		return checkService(e.Service)
	}
	return nil
}

// Instance is an entry with its lease.
type Instance struct {
	Entry   Entry         `cbor:"1,keyasint"`
	Version int64         `cbor:"2,keyasint"` // the revision that last changed it
	Lease   time.Duration `cbor:"3,keyasint"`
	Expires time.Duration `cbor:"4,keyasint"`           // by the state's clock
	Slot    int           `cbor:"5,keyasint,omitempty"` // unique within its service, the lowest that was free
}

// Kind says what a command does.
type Kind uint8

// The commands.
const (
	Register Kind = iota + 1 // Entry, Lease: a new instance, or another state of one
	Renew                    // ID
	SetPhase                 // ID, Phase
	Remove                   // ID
	Tick                     // Span: so much time has passed at the leader
	Lead                     // a new leader: all leases run anew
	NewEpoch                 // the state is a copy of an older one
	SetPeer                  // ID, Entry.HostPort: where a replica answers calls; empty: it is none any more
)

// Command is one change. Request, where given, makes a repeat harmless; IfMatch, where above 0, is the version
// that the instance has to have.
type Command struct {
	Kind    Kind          `cbor:"1,keyasint"`
	Request string        `cbor:"2,keyasint,omitempty"`
	ID      string        `cbor:"3,keyasint,omitempty"`
	IfMatch int64         `cbor:"4,keyasint,omitempty"`
	Entry   Entry         `cbor:"5,keyasint,omitempty"`
	Lease   time.Duration `cbor:"6,keyasint,omitempty"`
	Phase   string        `cbor:"7,keyasint,omitempty"`
	Span    time.Duration `cbor:"8,keyasint,omitempty"`
}

// Fault is why a command changed nothing.
type Fault string

// The faults.
const (
	Fine     Fault = ""
	NotFound Fault = "not found"
	Mismatch Fault = "another version"
	Full     Fault = "too many instances"
	Unknown  Fault = "unknown command"
)

// Result is what came of a command.
type Result struct {
	Fault    Fault    `cbor:"1,keyasint,omitempty"`
	Instance Instance `cbor:"2,keyasint"`
	Revision int64    `cbor:"3,keyasint"`
}

// change is one change of an instance.
type change struct {
	Revision int64      `cbor:"1,keyasint"`
	Entry    Entry      `cbor:"2,keyasint"`           // as it is now; its phase is Removed if it is no more
	Former   *Placement `cbor:"3,keyasint,omitempty"` // as it was before; nil if it was not there
}

// services are those that the change touches.
func (c change) services() (all []string) {
	if c.Entry.Service != "" {
		all = append(all, c.Entry.Service)
	}
	if c.Former != nil && c.Former.Service != "" && c.Former.Service != c.Entry.Service {
		all = append(all, c.Former.Service)
	}
	return all
}

type answered struct {
	Request string `cbor:"1,keyasint"`
	Result  Result `cbor:"2,keyasint"`
}

// State is the list. The zero value is not usable; make one with NewState. It isn't safe for concurrent use.
type State struct {
	image
	answers  map[string]Result // by request
	services services
}

// image is what a snapshot holds.
type image struct {
	Revision  int64               `cbor:"1,keyasint"`
	Clock     time.Duration       `cbor:"2,keyasint"` // the leaders' time, summed
	Instances map[string]Instance `cbor:"3,keyasint"`
	History   []change            `cbor:"4,keyasint"`  // oldest first
	Floor     int64               `cbor:"5,keyasint"`  // changes after this are all in History
	Answers   []answered          `cbor:"6,keyasint"`  // oldest first
	Peers     map[string]string   `cbor:"7,keyasint"`  // where replicas answer calls
	Expired   []time.Duration     `cbor:"8,keyasint"`  // removals by lease within massSpan
	Held      bool                `cbor:"9,keyasint"`  // leases run out in a mass: nobody is removed
	Index     uint64              `cbor:"10,keyasint"` // of the last command carried out
}

// NewState is an empty list of the first epoch.
func NewState() *State {
	s := &State{answers: make(map[string]Result), services: make(services)}
	s.Revision, s.Instances, s.Peers = 1<<epochBits, make(map[string]Instance), make(map[string]string)
	s.Floor = s.Revision
	return s
}

// Epoch is that of the state: no watcher sees a revision go back within it.
func (s *State) Epoch() int64 { return s.Revision >> epochBits }

// Apply carries out a command. A repeat of a request gets the answer that it had.
func (s *State) Apply(c Command) Result {
	if c.Request != "" {
		if r, ok := s.answers[c.Request]; ok {
			return r
		}
	}
	r := s.carryOut(c)
	r.Revision = s.Revision
	if c.Request != "" {
		s.remember(c.Request, r)
	}
	return r
}

func (s *State) carryOut(c Command) Result {
	switch c.Kind {
	case Register:
		return s.register(c)
	case Renew, SetPhase, Remove:
		return s.amend(c)
	case Tick:
		s.tick(min(max(0, c.Span), tickMost))
	case Lead:
		for id, i := range s.Instances {
			i.Expires = s.Clock + i.Lease
			s.Instances[id] = i
		}
		s.Expired, s.Held = nil, false
	case NewEpoch:
		s.Revision = (s.Epoch() + 1) << epochBits
		s.forget(len(s.History), s.Revision)
		s.carryOut(Command{Kind: Lead})
	case SetPeer:
		if s.Peers[c.ID] = c.Entry.HostPort; c.Entry.HostPort == "" {
			delete(s.Peers, c.ID)
		}
	default:
		return Result{Fault: Unknown}
	}
	return Result{}
}

func (s *State) register(c Command) Result {
	was, there := s.Instances[c.Entry.ID]
	switch {
	case c.IfMatch > 0 && (!there || was.Version != c.IfMatch):
		return Result{Fault: Mismatch, Instance: was}
	case !there && len(s.Instances) >= mostInstances:
		return Result{Fault: Full}
	}
	i := Instance{Entry: c.Entry, Version: was.Version, Lease: c.Lease, Expires: s.Clock + c.Lease,
		Slot: was.Slot}
	return s.put(i, !there || was.Entry != c.Entry)
}

// amend changes an instance that is there.
func (s *State) amend(c Command) Result {
	i, there := s.Instances[c.ID]
	switch {
	case !there:
		return Result{Fault: NotFound}
	case c.IfMatch > 0 && i.Version != c.IfMatch:
		return Result{Fault: Mismatch, Instance: i}
	}
	switch c.Kind {
	case Remove:
		s.drop(i)
		return Result{Instance: i}
	case SetPhase:
		told := i.Entry.Phase != c.Phase
		i.Entry.Phase = c.Phase
		return s.put(i, told)
	}
	i.Expires = s.Clock + i.Lease
	return s.put(i, false)
}

// put keeps an instance, and tells watches where its entry has changed.
func (s *State) put(i Instance, told bool) Result {
	if told {
		var former *Placement
		was, there := s.Instances[i.Entry.ID]
		if there {
			former = was.placement()
		}
		i.Slot = was.Slot
		if !there || was.Entry.Service != i.Entry.Service {
			s.services.release(was.Entry.Service, was.Slot)
			i.Slot = s.services.take(i.Entry.Service, i.Entry.ID)
		}
		i.Version = s.tell(i.Entry, former)
	}
	s.Instances[i.Entry.ID] = i
	return Result{Instance: i}
}

func (s *State) drop(i Instance) {
	delete(s.Instances, i.Entry.ID)
	s.services.release(i.Entry.Service, i.Slot)
	former := i.placement()
	i.Entry.Phase = Removed
	s.tell(i.Entry, former)
}

// tell makes a revision of a change.
func (s *State) tell(e Entry, former *Placement) int64 {
	s.Revision++
	c := change{s.Revision, e, former}
	s.services.note(c)
	if s.History = append(s.History, c); len(s.History) > mostHistory {
		cut := len(s.History) - mostHistory/2
		s.forget(cut, s.History[cut-1].Revision)
	}
	return s.Revision
}

// forget drops the oldest changes; what a watch at a revision below the floor missed is no longer known.
func (s *State) forget(oldest int, floor int64) {
	dropped := s.History[:oldest]
	s.History, s.Floor = slices.Clone(s.History[oldest:]), floor
	s.services.forget(dropped, floor)
}

// tick lets time pass: who hasn't renewed is removed, unless that befalls a mass of them.
func (s *State) tick(span time.Duration) {
	s.Clock += span
	s.Expired = slices.DeleteFunc(s.Expired, func(at time.Duration) bool { return s.Clock-at > massSpan })
	var overdue []Instance
	for _, i := range s.Instances {
		if i.Expires <= s.Clock {
			overdue = append(overdue, i)
		}
	}
	of := len(s.Instances) + len(s.Expired)
	gone := len(overdue) + len(s.Expired)
	s.Held = len(overdue) > 0 && gone > massLeast && float64(gone) > massShare*float64(of)
	if s.Held {
		return
	}
	slices.SortFunc(overdue, func(a, b Instance) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	for _, i := range overdue {
		s.drop(i)
		s.Expired = append(s.Expired, s.Clock)
	}
}

// remember keeps the answer to a request for its repeats.
func (s *State) remember(request string, r Result) {
	s.answers[request] = r
	if s.Answers = append(s.Answers, answered{request, r}); len(s.Answers) > mostRequests {
		for _, a := range s.Answers[:mostRequests/2] {
			delete(s.answers, a.Request)
		}
		s.Answers = slices.Clone(s.Answers[mostRequests/2:])
	}
}

// List is an answer in the platform's form.
type List struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

// Whole is the list as it is.
func (s *State) Whole() List {
	l := List{Revision: s.Revision, Complete: true, Members: []Entry{}}
	for _, id := range slices.Sorted(maps.Keys(s.Instances)) {
		l.Members = append(l.Members, s.Instances[id].Entry)
	}
	return l
}

// Since is what changed after a revision; news is false where nothing did. Who has a revision of another epoch,
// one that never was, or one older than what is kept, gets the whole list.
func (s *State) Since(revision int64) (l List, news bool) {
	switch {
	case revision == s.Revision:
		return List{Revision: s.Revision, Members: []Entry{}}, false
	case revision > s.Revision || revision < s.Floor:
		return s.Whole(), true
	}
	newest := make(map[string]Entry)
	for _, c := range s.History {
		if c.Revision > revision {
			newest[c.Entry.ID] = c.Entry
		}
	}
	l = List{Revision: s.Revision, Members: []Entry{}}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		l.Members = append(l.Members, newest[id])
	}
	return l, true
}
