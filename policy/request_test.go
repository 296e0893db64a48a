package policy

import (
	"testing"
	"time"
)

// Guards against a repeat of a keyed request that may be written when servers no longer remember its key.
func TestRepeatMustBeWrittenWithinTheWindow(t *testing.T) {
	first := &attempt{sentAt: 10 * time.Second}
	for name, c := range map[string]struct {
		safety     RetrySafety
		mayHaveRun *attempt
		window     time.Duration
		want       Time
	}{
		"keyed":            {IdempotencyKeyed, first, 4 * time.Second, 14*time.Second - maxWriteDelay},
		"keyed, first":     {IdempotencyKeyed, nil, 4 * time.Second, 0},
		"keyed, no window": {IdempotencyKeyed, first, -time.Hour, 1},
		"idempotent":       {Idempotent, first, 4 * time.Second, 0},
	} {
		r := &request{class: &class{Class: Class{RetrySafety: c.safety, DedupWindow: c.window}}, mayHaveRun: c.mayHaveRun}
		if got := r.writeBy(); got != c.want {
			t.Errorf("%s: time by which the attempt must be written: got %v, want %v", name, got, c.want)
		}
	}
}
