package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 25 * time.Millisecond
	// maxBackoff is short because operators count the grace period of a draining server from when the list service can
	// report the drain, even if the node is waiting for its backoff at that time. A Target with Subscribe doesn't use
	// this backoff: policy decides when to subscribe again (resubscribeBackoffBase in policy/endpoint_list.go).
	maxBackoff = 200 * time.Millisecond
)

// backoff is the pause after a failed call. It doubles with each failure in a row, up to maxBackoff. A pause of 0 means
// that there was no pause since the last reset.
type backoff struct {
	pause  time.Duration
	jitter *rand.Rand // spreads the retries of many nodes
}

// reset clears the pause, after a success, a reload or ErrScopeMismatch.
func (b *backoff) reset() { b.pause = 0 }

// firstFailure reports whether there was no pause since the last reset.
func (b *backoff) firstFailure() bool { return b.pause == 0 }

// wait increases the pause and sleeps for a random 50 to 100 % of it, or until ctx ends.
func (b *backoff) wait(ctx context.Context) {
	b.pause = nextBackoff(b.pause)
	timer := time.NewTimer(time.Duration((0.5 + 0.5*b.jitter.Float64()) * float64(b.pause)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextBackoff returns the backoff after another failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(maxBackoff, max(minBackoff, 2*last))
}
