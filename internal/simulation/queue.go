package simulation

import "time"

// event is something to run at a time. Events of one time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// Before orders events by time, and then by sequence.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// at schedules an event; one in the past runs next.
func (s *Simulation) at(t time.Duration, run func()) {
	s.sequence++
	s.queue.Add(event{max(t, s.now), s.sequence, run})
}

// after schedules an event at a time from now.
func (s *Simulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }
