package registry

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	tickInterval = 200 * time.Millisecond // of the leader's time, to all
	writeTime    = 2 * time.Second        // for a command to be kept by most replicas
	gatherFor    = 20 * time.Millisecond  // changes that come together are told together
	raftTime     = time.Second            // for a call between replicas
	raftPool     = 3                      // connections to each
	keepShots    = 2                      // snapshots
	shotEvery    = 2 * time.Minute        // a look at whether one is due,
	shotAfter    = 8192                   // after so many commands
	trailing     = 4096                   // commands kept for a replica that lags
	heartbeat    = 500 * time.Millisecond // without one, a follower asks to be elected
	leaderLease  = 250 * time.Millisecond // without an answer of most, a leader is none
	logName      = "commands.db"
	askEvery     = 250 * time.Millisecond // how far the leader has got
	keptWords    = 64
	freshPath    = "/registry/fresh"
)

// ReplicaConfig says what a replica is.
type ReplicaConfig struct {
	ID              string
	RaftAddress     string // host:port for the other replicas, as they reach it
	RaftBindAddress string // where that is bound, if it is elsewhere
	APIAddress      string // host:port where this one answers calls, as others reach it
	DataDir         string
	InitialReplicas map[string]string // id and Raft of the first replicas, this one among them; only a fresh folder reads it
	NewEpoch        bool              // the folder is a copy of an older one
	transport       raft.Transport    // nil for sockets
}

// Replica keeps one copy of the list. Its methods may be called from any goroutine.
type Replica struct {
	c    ReplicaConfig
	raft *raft.Raft
	log  *raftboltdb.BoltStore
	net  io.Closer

	mu      sync.Mutex
	state   *Store
	changed chan struct{} // closed once there is something new to tell
	scoped  watcherGroup  // of watches of a part of the list
	due     *time.Timer   // that tells both; nil while nothing is new
	ticked  time.Time     // when this replica's last tick as the leader was begun; zero for never
	freshAt time.Time     // as of when a follower has all that its leader had; zero for never
	asked   []word        // of the leader, which this replica hasn't got as far as yet, oldest first
	encoded map[int64][]byte

	stop  context.CancelFunc
	parts sync.WaitGroup
}

// NotLeaderError says where the leader answers calls; empty where there is none now.
type NotLeaderError struct{ LeaderAddress string }

func (e NotLeaderError) Error() string { return "this replica is not the leader" }

// ErrNotCommitted is for a command that may or may not be carried out later: a repeat of its request finds out.
var ErrNotCommitted = errors.New("not kept by most replicas in time")

// Open starts a replica in its folder.
func Open(c ReplicaConfig) (*Replica, error) {
	if err := os.MkdirAll(c.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	r := &Replica{c: c, state: NewStore(), changed: make(chan struct{}), encoded: make(map[int64][]byte)}
	path := filepath.Join(c.DataDir, logName)
	log, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	r.log = log
	checked := &checkedLog{BoltStore: log, path: path}
	if err := checked.verify(); err != nil {
		log.Close()
		return nil, err
	}
	if err := r.join(checked); err != nil {
		log.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.parts.Go(func() { r.lead(ctx) })
	r.parts.Go(func() { r.follow(ctx) })
	return r, nil
}

// join brings up raft.
func (r *Replica) join(log *checkedLog) error {
	quiet := hclog.New(&hclog.LoggerOptions{Output: logWriter{}, Level: hclog.Warn, DisableTime: true})
	shots, err := raft.NewFileSnapshotStoreWithLogger(r.c.DataDir, keepShots, quiet)
	if err != nil {
		return fmt.Errorf("%s: snapshots: %w", r.c.DataDir, err)
	}
	t := r.c.transport
	if t == nil {
		streams, err := listenStreams(cmp.Or(r.c.RaftBindAddress, r.c.RaftAddress), r.c.RaftAddress)
		if err != nil {
			return fmt.Errorf("raft: %w", err)
		}
		tcp := raft.NewNetworkTransportWithLogger(streams, raftPool, raftTime, quiet)
		t, r.net = tcp, tcp
	}
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(r.c.ID), quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = heartbeat, heartbeat, leaderLease
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = shotEvery, shotAfter, trailing
	fresh, err := raft.HasExistingState(log, r.log, shots)
	if err != nil {
		return fmt.Errorf("%s: %w", r.c.DataDir, err)
	}
	if !fresh && len(r.c.InitialReplicas) > 0 {
		var first raft.Configuration
		for id, at := range r.c.InitialReplicas {
			first.Servers = append(first.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(at)})
		}
		if err := raft.BootstrapCluster(c, log, r.log, shots, t, first); err != nil {
			return fmt.Errorf("%s: %w", r.c.DataDir, err)
		}
	}
	r.raft, err = raft.NewRaft(c, (*machine)(r), log, r.log, shots, t)
	if err != nil {
		return fmt.Errorf("%s: %w", r.c.DataDir, err)
	}
	return nil
}

// streams are the connections between replicas. They leave from the address that is bound, so that others can
// tell by it who calls.
type streams struct {
	net.Listener
	from      net.IP
	advertise net.Addr
}

func listenStreams(bind, advertise string) (*streams, error) {
	at, err := net.ResolveTCPAddr("tcp", advertise)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", bind)
	if err != nil {
		return nil, err
	}
	return &streams{l, l.Addr().(*net.TCPAddr).IP, at}, nil
}

// Addr is where others reach this replica.
func (s *streams) Addr() net.Addr { return s.advertise }

// Dial opens a connection to another.
func (s *streams) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !s.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: s.from}
	}
	return d.Dial("tcp", string(to))
}

// Close ends the replica.
func (r *Replica) Close() error {
	r.stop()
	err := r.raft.Shutdown().Error()
	r.parts.Wait()
	if r.net != nil {
		err = errors.Join(err, r.net.Close())
	}
	return errors.Join(err, r.log.Close())
}

// lead gives out the time while this replica is the leader. A new leader begins with all leases anew, for
// nobody can have renewed while there was none.
func (r *Replica) lead(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var last time.Time // when this leader's last tick was kept; zero while it isn't one
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r.raft.State() != raft.Leader {
			last = time.Time{}
			continue
		}
		now := time.Now()
		if last.IsZero() {
			if err := r.begin(); err != nil {
				slog.Warn("registry: leading", "err", err)
				continue
			}
			slog.Info("registry: this replica leads", "id", r.c.ID)
		} else if _, err := r.apply(Command{Kind: AdvanceClock, Elapsed: now.Sub(last)}); err != nil {
			continue // the next tick counts for both
		}
		last = now
		r.mu.Lock()
		r.ticked = now // most replicas still took this one for their leader
		r.mu.Unlock()
	}
}

// begin says what a new leader has to say first.
func (r *Replica) begin() error {
	first := Command{Kind: RestartLeases}
	if r.c.NewEpoch {
		first.Kind = BeginEpoch
	}
	if _, err := r.apply(first); err != nil {
		return err
	}
	r.c.NewEpoch = false
	_, err := r.apply(Command{Kind: SetReplicaAddress, ID: r.c.ID, Endpoint: Endpoint{Address: r.c.APIAddress}})
	return err
}

// Propose has most replicas keep a command, and returns what came of it.
func (r *Replica) Propose(c Command) (Result, error) {
	if r.raft.State() != raft.Leader {
		return Result{}, r.elsewhere()
	}
	return r.apply(c)
}

func (r *Replica) apply(c Command) (Result, error) {
	raw, err := encodeCommand(c)
	if err != nil {
		return Result{}, err
	}
	f := r.raft.Apply(raw, writeTime)
	switch err := f.Error(); {
	case err == nil:
		return f.Response().(Result), nil
	case errors.Is(err, raft.ErrNotLeader):
		return Result{}, r.elsewhere()
	default:
		return Result{}, fmt.Errorf("%w: %w", ErrNotCommitted, err)
	}
}

// elsewhere says where the leader is.
func (r *Replica) elsewhere() error {
	_, id := r.raft.LeaderWithID()
	r.mu.Lock()
	defer r.mu.Unlock()
	if string(id) == r.c.ID {
		return NotLeaderError{} // it is just becoming the leader, or ceasing to be
	}
	return NotLeaderError{LeaderAddress: r.state.replicaAddresses[string(id)]}
}

// Age is how old at most what this replica has may be; ok is false where it can't say. A leader without most of
// the others keeps no tick. A follower goes by its leader's word (see ask): the time of the last contact would
// say nothing of what it lags behind, and a replica that has just started knows of no contact what it lacks.
func (r *Replica) Age() (age time.Duration, ok bool) {
	leads := r.raft.State() == raft.Leader
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.freshAt
	if leads {
		at = r.ticked
	}
	return time.Since(at), !at.IsZero()
}

// freshnessResponse is what a leader tells a follower: the last command that it has carried out, and how old that may be.
type freshnessResponse struct {
	Index uint64 `json:"index"`
	AgeMs int64  `json:"age_ms"`
}

// Fresh is a leader's word to followers.
func (r *Replica) Fresh() (freshnessResponse, error) {
	age, ok := r.Age()
	if r.raft.State() != raft.Leader {
		return freshnessResponse{}, r.elsewhere()
	}
	if !ok {
		return freshnessResponse{}, ErrNotCommitted
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return freshnessResponse{r.state.appliedIndex, age.Milliseconds() + 1}, nil
}

// follow asks the leader, while this replica isn't one, how far its list has got.
func (r *Replica) follow(ctx context.Context) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	caller := &http.Client{Timeout: raftTime}
	defer caller.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if r.raft.State() != raft.Leader {
				r.ask(ctx, caller)
			}
		}
	}
}

// ask hears the leader's word, and once this replica has got as far it is as fresh as that was when asked.
func (r *Replica) ask(ctx context.Context, caller *http.Client) {
	var other NotLeaderError
	if !errors.As(r.elsewhere(), &other) || other.LeaderAddress == "" {
		return
	}
	asked := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+other.LeaderAddress+freshPath, nil)
	if err != nil {
		return
	}
	resp, err := caller.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var f freshnessResponse
	if resp.StatusCode != http.StatusOK || json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&f) != nil || f.AgeMs < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = append(r.asked, word{f.Index, asked.Add(-time.Duration(f.AgeMs) * time.Millisecond)})
	if len(r.asked) > keptWords {
		r.asked = r.asked[1:]
	}
	r.reached()
}

// word is how far the leader had got at a time.
type word struct {
	index uint64
	at    time.Time
}

// reached notes the words that this replica has got as far as. The lock is held.
func (r *Replica) reached() {
	for len(r.asked) > 0 && r.asked[0].index <= r.state.appliedIndex {
		r.freshAt = r.asked[0].at
		r.asked = r.asked[1:]
	}
}

// View calls do with the state, which it must not keep.
func (r *Replica) View(do func(*Store)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(r.state)
}

// Changed returns a channel that is closed at the next change that is told.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// subscribe returns a channel that gets a value after each change of one of the services, until cancel is called.
func (r *Replica) subscribe(services []string) (news <-chan struct{}, cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.scoped.add(services)
	return s.notify, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.scoped.remove(s)
	}
}

// Configuration are the replicas by raft's own account, and the leader's id.
func (r *Replica) Configuration() (all []raft.Server, leader string, err error) {
	f := r.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, "", err
	}
	_, id := r.raft.LeaderWithID()
	return f.Configuration().Servers, string(id), nil
}

// AddReplica makes another replica one of those that keep the list; RemoveReplica ends that.
func (r *Replica) AddReplica(id, at, calls string) error {
	if err := r.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(at), 0, writeTime).Error(); err != nil {
		return r.peerError(err)
	}
	_, err := r.Propose(Command{Kind: SetReplicaAddress, ID: id, Endpoint: Endpoint{Address: calls}})
	return err
}

// RemoveReplica takes a replica out.
func (r *Replica) RemoveReplica(id string) error {
	if err := r.raft.RemoveServer(raft.ServerID(id), 0, writeTime).Error(); err != nil {
		return r.peerError(err)
	}
	_, err := r.Propose(Command{Kind: SetReplicaAddress, ID: id})
	return err
}

func (r *Replica) peerError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return r.elsewhere()
	}
	return fmt.Errorf("%w: %w", ErrNotCommitted, err)
}

// machine is the replica as raft sees it.
type machine Replica

// Apply carries out a command that most replicas keep.
func (m *machine) Apply(l *raft.Log) any {
	c, err := decodeCommand(l.Data)
	if err != nil {
		slog.Error("registry: a command can't be read, and changes nothing", "index", l.Index, "err", err)
		return Result{Code: ResultUnknownCommand}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before, held := m.state.revision, m.state.leases.suspended
	res := m.state.Apply(c)
	m.state.appliedIndex = l.Index
	(*Replica)(m).reached()
	if m.state.leases.suspended && !held {
		slog.Error("registry: leases run out in a mass: nobody is removed until they are renewed, or fewer are overdue",
			"instances", len(m.state.instances))
	}
	if m.state.revision != before {
		m.touch(before)
		m.news()
	}
	return res
}

// touch notes whose services a command changed, which began at a revision. The lock is held.
func (m *machine) touch(before int64) {
	if before < m.state.history.compactedRevision { // a new epoch, or more changes than are kept
		m.scoped.touchAll()
		return
	}
	m.scoped.touch(m.state.history.since(before))
}

// news tells watches, together with what else comes shortly. The lock is held.
func (m *machine) news() {
	clear(m.encoded)
	if m.due != nil {
		return
	}
	m.due = time.AfterFunc(gatherFor, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.due = nil
		close(m.changed)
		m.changed = make(chan struct{})
		m.scoped.notify()
	})
}

// Snapshot hands out an image of the state.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b shot
	if err := m.state.WriteSnapshot(&b); err != nil {
		return nil, err
	}
	return b, nil
}

// Restore takes a state over. One that doesn't fit its hash is no state.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	s, err := ReadSnapshot(from)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	(*Replica)(m).reached()
	m.scoped.touchAll()
	m.news()
	return nil
}

// shot is a state as written.
type shot []byte

func (b *shot) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// Persist writes it to raft's file.
func (b shot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(b); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release has nothing to free.
func (b shot) Release() {}

// checkedLog keeps a hash with each command, so that a flipped bit on disk is named and not carried out.
type checkedLog struct {
	*raftboltdb.BoltStore
	path string
}

func sumOf(l *raft.Log) []byte {
	d := xxhash.New()
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], l.Index)
	binary.BigEndian.PutUint64(head[8:], l.Term)
	head[16] = byte(l.Type)
	_, _ = d.Write(head[:])
	_, _ = d.Write(l.Data)
	return d.Sum(nil)
}

// StoreLog keeps one command.
func (c *checkedLog) StoreLog(l *raft.Log) error { return c.StoreLogs([]*raft.Log{l}) }

// StoreLogs keeps commands, each with its hash.
func (c *checkedLog) StoreLogs(all []*raft.Log) error {
	for _, l := range all {
		l.Extensions = sumOf(l)
	}
	return c.BoltStore.StoreLogs(all)
}

// GetLog reads a command, if it is as it was kept.
func (c *checkedLog) GetLog(index uint64, l *raft.Log) error {
	if err := c.BoltStore.GetLog(index, l); err != nil {
		return err
	}
	if string(l.Extensions) != string(sumOf(l)) {
		return fmt.Errorf("%s: command %d: the hash doesn't fit", c.path, index)
	}
	return nil
}

// verify reads all that is kept.
func (c *checkedLog) verify() error {
	first, err := c.FirstIndex()
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	last, err := c.LastIndex()
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	for i := first; i <= last && i > 0; i++ {
		var l raft.Log
		if err := c.GetLog(i, &l); errors.Is(err, raft.ErrLogNotFound) {
			return fmt.Errorf("%s: command %d is missing, of %d to %d", c.path, i, first, last)
		} else if err != nil {
			return err
		}
	}
	return nil
}

// logWriter passes raft's warnings on to the program's log.
type logWriter struct{}

func (logWriter) Write(p []byte) (int, error) {
	slog.Warn("registry: raft", "says", string(p[:max(0, len(p)-1)]))
	return len(p), nil
}
