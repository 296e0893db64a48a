package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 25 * time.Millisecond
	// maxBackoff is short because the operators count the grace of a draining server from when the list service can
	// tell of it, also while the node pauses. A Target with Subscribe doesn't pause here: the node's policy decides when
	// to subscribe again (resubscribeBackoffBase in policy/endpoint_list.go).
	maxBackoff = 200 * time.Millisecond
)

// backoff is the pause between failed calls, which doubles up to maxBackoff. The zero pause means that the last call
// succeeded.
type backoff struct {
	pause  time.Duration
	jitter *rand.Rand // spreads the calls of many nodes
}

// reset starts over after a success.
func (b *backoff) reset() { b.pause = 0 }

// firstFailure reports whether no call has failed since the last success.
func (b *backoff) firstFailure() bool { return b.pause == 0 }

// wait pauses between half of the backoff and the whole, or until ctx ends.
func (b *backoff) wait(ctx context.Context) {
	b.pause = nextBackoff(b.pause)
	timer := time.NewTimer(time.Duration((0.5 + 0.5*b.jitter.Float64()) * float64(b.pause)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// nextBackoff is the backoff after one more failure in a row.
func nextBackoff(last time.Duration) time.Duration {
	return min(maxBackoff, max(minBackoff, 2*last))
}
