package membership

import (
	"testing"
	"time"
)

// countExchanges calls take ten times per second for a period, and returns the number of exchanges that were due.
func countExchanges(s *exchangeSchedule, now *time.Time, period time.Duration, peers int, lossIsHigh bool) (taken int) {
	for end := now.Add(period); now.Before(end); *now = now.Add(100 * time.Millisecond) {
		if s.take(*now, peers, lossIsHigh) {
			taken++
		}
	}
	return taken
}

func TestExchangeSchedule(t *testing.T) {
	const peers = 40 // an interval is 2 to 6 s long
	now := time.Unix(1000, 0)
	var s exchangeSchedule
	if n := countExchanges(&s, &now, time.Minute, peers, false); n != 0 {
		t.Errorf("exchanges without a change: got %d, want 0", n)
	}
	s.membersChanged(now)
	if n := countExchanges(&s, &now, time.Second, peers, false); n != 0 {
		t.Errorf("exchanges in the first second after a change: got %d, want 0", n)
	}
	if n := countExchanges(&s, &now, time.Minute, peers, false); n != exchangesAfterChange {
		t.Errorf("exchanges in the minute after a change: got %d, want %d", n, exchangesAfterChange)
	}
	if n := countExchanges(&s, &now, time.Minute, peers, true); n < 10 || n > 30 {
		t.Errorf("exchanges in a minute of high loss: got %d, want 10 to 30", n)
	}
}
