package simulation

import "time"

// event is a function that is scheduled for a time. Events with the same time run in the order of their scheduling.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// Before orders events by time, and then by sequence.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// at schedules run for time t, or for the current time if t is in the past.
func (s *Simulation) at(t time.Duration, run func()) {
	s.sequence++
	s.queue.Add(event{max(t, s.now), s.sequence, run})
}

// after schedules run for d after the current time.
func (s *Simulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }
