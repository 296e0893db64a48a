package simulation

import "time"

// event is something to run at a time; events of one time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// Before orders events by time, and then by sequence.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// at schedules an event; one of the past runs next.
func (w *Simulation) at(t time.Duration, run func()) {
	w.sequence++
	w.queue.Add(event{max(t, w.now), w.sequence, run})
}

// after schedules an event from now.
func (w *Simulation) after(d time.Duration, run func()) { w.at(w.now+d, run) }
