package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
)

// progressPollInterval is the interval at which a follower polls the leader's progress. It limits how fresh a
// follower's list is.
const progressPollInterval = 250 * time.Millisecond

// progress returns the index of the last command that this replica has applied, and the age of its list. The error is
// ErrNotLeader, or ErrNoTick if this leader has not committed a tick since it was started.
func (r *Replica) progress() (progressResponse, error) {
	age, known := r.Age()
	if !r.isLeader() {
		return progressResponse{}, r.notLeaderError()
	}
	if !known {
		return progressResponse{}, ErrNoTick
	}
	progress := progressResponse{AgeMs: age.Milliseconds() + 1} // rounded up
	r.store.view(func(s *Store) { progress.Index = s.appliedIndex })
	return progress, nil
}

// runFollower polls the leader's progress while this replica isn't the leader, until ctx ends.
func (r *Replica) runFollower(ctx context.Context) {
	ticker := time.NewTicker(progressPollInterval)
	defer ticker.Stop()
	client := &http.Client{Timeout: replicaCallTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.isLeader() {
			continue
		}
		if err := r.pollLeader(ctx, client); err != nil {
			slog.Debug("registry: polling the leader failed", "id", r.config.ID, "error", err)
		}
	}
}

// pollLeader fetches and records the leader's progress. It does nothing if no leader, or no address of it, is known.
func (r *Replica) pollLeader(ctx context.Context, client *http.Client) error {
	var notLeader *NotLeaderError
	if !errors.As(r.notLeaderError(), &notLeader) || notLeader.LeaderAddress == "" {
		return nil
	}
	polledAt := time.Now()
	progress, err := fetchProgress(ctx, client, notLeader.LeaderAddress)
	if err != nil {
		return err
	}
	r.freshness.progressReceived(progress.Index, polledAt.Add(-time.Duration(progress.AgeMs)*time.Millisecond))
	return nil
}

func fetchProgress(ctx context.Context, client *http.Client, address string) (progress progressResponse, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+progressPath, nil)
	if err != nil {
		return progress, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return progress, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return progress, fmt.Errorf("registry: progress of %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(&progress); err != nil {
		return progress, fmt.Errorf("registry: progress of %s: %w", address, err)
	}
	if progress.AgeMs < 0 {
		return progress, fmt.Errorf("registry: progress of %s: age_ms: %d is negative", address, progress.AgeMs)
	}
	return progress, nil
}
