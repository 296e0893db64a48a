package registry

import (
	"context"
	"log/slog"
	"time"
)

// tickInterval is the interval at which the leader advances lease time. It limits how fresh a leader's list is.
const tickInterval = 200 * time.Millisecond

// runLeader advances lease time while this replica is the leader, until ctx ends. A newly elected leader first restarts
// all leases.
func (r *Replica) runLeader(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastTick time.Time // start of the last committed tick; zero while this replica isn't the leader
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.isLeader() {
			lastTick = time.Time{}
			continue
		}
		now := time.Now()
		if lastTick.IsZero() {
			if err := r.assumeLeadership(); err != nil {
				slog.Warn("registry: assuming leadership failed", "id", r.config.ID, "error", err)
				continue
			}
			slog.Info("registry: became leader", "id", r.config.ID)
		} else if _, err := r.Propose(Command{Kind: AdvanceClock, Elapsed: now.Sub(lastTick)}); err != nil {
			continue // the next tick covers both intervals
		}
		lastTick = now
		r.freshness.tickCommitted(now)
	}
}

// assumeLeadership restarts the leases and publishes this replica's HTTP address. It begins an epoch if newEpoch is set.
func (r *Replica) assumeLeadership() error {
	first := Command{Kind: RestartLeases}
	if r.newEpoch {
		first.Kind = BeginEpoch
	}
	if _, err := r.Propose(first); err != nil {
		return err
	}
	r.newEpoch = false
	_, err := r.Propose(Command{Kind: SetReplicaAddress, ID: r.config.ID, Endpoint: Endpoint{Address: r.config.APIAddress}})
	return err
}
