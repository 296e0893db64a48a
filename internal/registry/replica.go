package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	commitTimeout      = 2 * time.Second        // for raft to accept a command
	heartbeatTimeout   = 500 * time.Millisecond // after which a follower without a heartbeat starts an election
	leaderLeaseTimeout = 250 * time.Millisecond // after which a leader without responses from a quorum steps down

	retainedSnapshots = 2               // on disk: the older one is used if the newest can't be read
	snapshotInterval  = 2 * time.Minute // between checks for whether a snapshot is due
	snapshotThreshold = 8192            // commands after which a snapshot is due
	trailingCommands  = 4096            // kept in the log after a snapshot, for replicas that lag
)

// ReplicaConfig is the configuration of a replica.
type ReplicaConfig struct {
	ID              string
	RaftAddress     string // host:port where the other replicas reach this one
	RaftBindAddress string // host:port to listen on for the other replicas; if empty, RaftAddress is used
	APIAddress      string // host:port where clients reach this one
	DataDir         string

	// InitialReplicas maps the ID of each initial replica, including this one, to its RaftAddress. It is used only if
	// the data directory is empty.
	InitialReplicas map[string]string

	NewEpoch bool // the data directory was restored from an older copy

	transport raft.Transport // if nil, TCP is used
}

// Replica holds one copy of the list. Its methods are safe for concurrent use.
type Replica struct {
	config    ReplicaConfig
	raft      *raft.Raft
	log       *checksummedLog
	transport io.Closer // nil if it was passed in ReplicaConfig
	store     *watchableStore
	freshness *freshness
	newEpoch  bool // begin an epoch when this replica next becomes the leader; used by runLeader only

	cancel     context.CancelFunc // stops the background goroutines
	background sync.WaitGroup
}

// Open starts a replica in its data directory, which it creates if it is missing. Close stops the replica. The error is
// ErrCorrupt if an entry of the log is missing or changed on disk.
func Open(c ReplicaConfig) (*Replica, error) {
	if err := os.MkdirAll(c.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	log, err := openLog(c.DataDir)
	if err != nil {
		return nil, err
	}
	r := &Replica{config: c, log: log, freshness: new(freshness), newEpoch: c.NewEpoch}
	r.store = newWatchableStore(r.freshness.applied)
	if err := r.startRaft(); err != nil {
		return nil, errors.Join(err, r.closeTransport(), log.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.background.Go(func() { r.runLeader(ctx) })
	r.background.Go(func() { r.runFollower(ctx) })
	return r, nil
}

// Close stops the replica and its goroutines, and blocks until they have ended.
func (r *Replica) Close() error {
	r.cancel()
	err := r.raft.Shutdown().Error()
	r.background.Wait()
	r.store.close()
	return errors.Join(err, r.closeTransport(), r.log.Close())
}

func (r *Replica) closeTransport() error {
	if r.transport == nil {
		return nil
	}
	return r.transport.Close()
}

func (r *Replica) startRaft() error {
	c := r.raftConfig()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(r.config.DataDir, retainedSnapshots, c.Logger)
	if err != nil {
		return fmt.Errorf("%s: snapshots: %w", r.config.DataDir, err)
	}
	transport := r.config.transport
	if transport == nil {
		tcp, err := newTransport(r.config, c.Logger)
		if err != nil {
			return fmt.Errorf("raft: %w", err)
		}
		transport, r.transport = tcp, tcp
	}
	if err := r.bootstrap(c, snapshots, transport); err != nil {
		return fmt.Errorf("%s: %w", r.config.DataDir, err)
	}
	r.raft, err = raft.NewRaft(c, fsm{r.store}, r.log, r.log.BoltStore, snapshots, transport)
	if err != nil {
		return fmt.Errorf("%s: %w", r.config.DataDir, err)
	}
	return nil
}

func (r *Replica) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(r.config.ID), newRaftLogger()
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = heartbeatTimeout, heartbeatTimeout, leaderLeaseTimeout
	c.SnapshotInterval, c.SnapshotThreshold, c.TrailingLogs = snapshotInterval, snapshotThreshold, trailingCommands
	return c
}

// bootstrap stores the initial replicas in an empty data directory.
func (r *Replica) bootstrap(c *raft.Config, snapshots raft.SnapshotStore, transport raft.Transport) error {
	exists, err := raft.HasExistingState(r.log, r.log.BoltStore, snapshots)
	if err != nil || exists || len(r.config.InitialReplicas) == 0 {
		return err
	}
	var initial raft.Configuration
	for id, address := range r.config.InitialReplicas {
		initial.Servers = append(initial.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(address)})
	}
	return raft.BootstrapCluster(c, r.log, r.log.BoltStore, snapshots, transport, initial)
}

func (r *Replica) isLeader() bool { return r.raft.State() == raft.Leader }

// Propose replicates a command, and returns its result once a quorum has stored the command and this replica has carried
// it out. commitTimeout limits only the wait until raft accepts the command. The error is ErrNotLeader, ErrNotCommitted,
// or the error of the result's code.
func (r *Replica) Propose(c Command) (Result, error) {
	if !r.isLeader() {
		return Result{}, r.notLeaderError()
	}
	raw, err := encodeCommand(c)
	if err != nil {
		return Result{}, fmt.Errorf("registry: encode a command: %w", err)
	}
	future := r.raft.Apply(raw, commitTimeout)
	if err := future.Error(); err != nil {
		return Result{}, r.commitError(err)
	}
	result := future.Response().(Result)
	return result, result.Code.Err()
}

// commitError converts an error of raft to a *NotLeaderError or a *CommitError.
func (r *Replica) commitError(err error) error {
	if errors.Is(err, raft.ErrNotLeader) {
		return r.notLeaderError()
	}
	return &CommitError{Reason: err}
}

// notLeaderError returns a *NotLeaderError with the leader's address, if this replica knows it.
func (r *Replica) notLeaderError() error {
	_, id := r.raft.LeaderWithID()
	if string(id) == r.config.ID {
		return &NotLeaderError{} // this replica is about to become the leader, or to step down
	}
	return &NotLeaderError{LeaderAddress: r.apiAddress(string(id))}
}

// apiAddress returns the HTTP address of a replica, empty if it is unknown.
func (r *Replica) apiAddress(id string) (address string) {
	r.store.view(func(s *Store) { address = s.replicaAddresses[id] })
	return address
}

// Age returns the maximum age of this replica's list; known is false if the replica can't tell.
func (r *Replica) Age() (age time.Duration, known bool) { return r.freshness.age(r.isLeader()) }

// AddReplica makes a replica a voting member. Only the leader can. commitTimeout limits the wait until raft accepts each
// of its two commands.
func (r *Replica) AddReplica(id, raftAddress, apiAddress string) error {
	future := r.raft.AddVoter(raft.ServerID(id), raft.ServerAddress(raftAddress), 0, commitTimeout)
	if err := future.Error(); err != nil {
		return r.commitError(err)
	}
	_, err := r.Propose(Command{Kind: SetReplicaAddress, ID: id, Endpoint: Endpoint{Address: apiAddress}})
	return err
}

// RemoveReplica ends a replica's membership. Only the leader can. commitTimeout limits the wait until raft accepts each
// of its two commands.
func (r *Replica) RemoveReplica(id string) error {
	if err := r.raft.RemoveServer(raft.ServerID(id), 0, commitTimeout).Error(); err != nil {
		return r.commitError(err)
	}
	_, err := r.Propose(Command{Kind: SetReplicaAddress, ID: id})
	return err
}

// Configuration returns the replicas of raft's configuration, and the leader's ID, empty if none is known.
func (r *Replica) Configuration() (replicas []raft.Server, leader string, err error) {
	future := r.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, "", err
	}
	_, id := r.raft.LeaderWithID()
	return future.Configuration().Servers, string(id), nil
}
