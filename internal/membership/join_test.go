package membership

import (
	"testing"
	"time"
)

// takeWithin counts the exchanges that a schedule allows in a period, looked at ten times a second.
func takeWithin(s *exchangeSchedule, now *time.Time, period time.Duration, peers int, lossIsHigh bool) (taken int) {
	for end := now.Add(period); now.Before(end); *now = now.Add(100 * time.Millisecond) {
		if s.take(*now, peers, lossIsHigh) {
			taken++
		}
	}
	return taken
}

func TestExchangeSchedule(t *testing.T) {
	const peers = 40 // an interval is 2 to 6 s
	now := time.Unix(1000, 0)
	var s exchangeSchedule
	if n := takeWithin(&s, &now, time.Minute, peers, false); n != 0 {
		t.Errorf("%d exchanges without a change", n)
	}
	s.membersChanged(now)
	if n := takeWithin(&s, &now, time.Second, peers, false); n != 0 {
		t.Errorf("%d exchanges in the first second after a change", n)
	}
	if n := takeWithin(&s, &now, time.Minute, peers, false); n != exchangesAfterChange {
		t.Errorf("%d exchanges after a change, want %d", n, exchangesAfterChange)
	}
	if n := takeWithin(&s, &now, time.Minute, peers, true); n < 10 || n > 30 {
		t.Errorf("%d exchanges in a minute of high loss, want 10 to 30", n)
	}
}
