package emulator

import (
	"fmt"
	"time"
)

// Rules are the figures of the rules that the judge holds nodes to.
type Rules struct {
	Grace        time.Duration // beyond a try's time, for its final answer
	DrainGrace   time.Duration // after a node was told, for its last send to a server that drains
	FallMultiple float64       // of the capacity of a cold server at the moment,
	FallFor      time.Duration // sent for so long by all nodes together
}

// DefaultRules are those of the operators' pages, with the slack of sockets.
func DefaultRules() Rules {
	return Rules{Grace: 50 * time.Millisecond, DrainGrace: 1550 * time.Millisecond, FallMultiple: 2.5,
		FallFor: 3 * time.Second}
}

const keptBreaches = 100

// Judge reads what happened, in order, and says which rules were broken.
type Judge struct {
	rules    Rules
	tries    map[string]*judged
	told     map[[2]string]Time // node and server: since when the node knows that it drains
	cold     map[string]*window
	breaches []string
	count    int

	Taken, Answered, Lost, Sent, Turned int
	TurnedWhy                           []string // of those at nodes that weren't killed
}

type judged struct {
	try      *Try
	due      Time
	answers  int
	attempts []sent
}

type sent struct {
	box, cell string
	at        Time
	over      bool
	notRun    bool
}

// NewJudge makes a judge that has seen nothing.
func NewJudge(rules Rules) *Judge {
	return &Judge{rules: rules, tries: make(map[string]*judged), told: make(map[[2]string]Time),
		cold: make(map[string]*window)}
}

// Breaches are the rules broken so far, each with what broke it; count is how many there were, for only so
// many are kept.
func (j *Judge) Breaches() (all []string, count int) { return j.breaches, j.count }

func (j *Judge) breach(now Time, format string, args ...any) {
	j.count++
	if len(j.breaches) < keptBreaches {
		j.breaches = append(j.breaches, fmt.Sprintf("%.3f s: ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// Took books that a try's last byte was written to a connection that a node had accepted.
func (j *Judge) Took(now Time, t *Try) {
	j.Taken++
	seen := j.tries[t.ID]
	if seen == nil {
		seen = &judged{}
		j.tries[t.ID] = seen
	}
	seen.try, seen.due = t, now+t.Expires+j.rules.Grace
}

// Answer books a final answer that a client got whole.
func (j *Judge) Answer(now Time, id string, status int) {
	t := j.tries[id]
	if t == nil {
		j.breach(now, "%s: answered, and never taken", id)
		return
	}
	j.Answered++
	if t.answers++; t.answers > 1 {
		j.breach(now, "%s: a second final answer, %d", id, status)
	}
	if now > t.due {
		j.breach(now, "%s: answered %v late", id, now-t.due)
	}
	if status == 200 && !t.ran() {
		j.breach(now, "%s: 200, and no server served it", id)
	}
	if refused := status == 429 || status == 503; refused && t.ran() && t.try.Class.Repeat != Free {
		j.breach(now, "%s: refused though it may have run", id)
	}
}

// Broke books that the connection of a try ended without a whole answer: a breach unless its node was killed.
func (j *Judge) Broke(now Time, id string, killed bool) {
	j.Lost++
	if killed {
		return
	}
	j.breach(now, "%s: its connection ended with no answer", id)
}

// TurnedBack books a try that found no node: its connection was refused, or ended with no answer.
func (j *Judge) TurnedBack(now Time, id string, why error, killed bool) {
	if j.Turned++; !killed && len(j.TurnedWhy) < keptBreaches {
		j.TurnedWhy = append(j.TurnedWhy, fmt.Sprintf("%.3f s: %s: %v", now.Seconds(), id, why))
	}
}

// Silent books that a try had no answer when its time, with the grace, was over: it has failed.
func (j *Judge) Silent(now Time, id string) {
	if t := j.tries[id]; t != nil && t.answers == 0 {
		j.Lost++
	}
}

func (t *judged) ran() bool {
	for _, a := range t.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

// Arrived books an attempt whose last byte has reached a server.
func (j *Judge) Arrived(now Time, node, id string, box *Box) {
	j.Sent++
	if since, ok := j.told[[2]string{node, box.Spec.ID}]; ok && now-since > j.rules.DrainGrace {
		j.breach(now, "%s: %s sends to %s, which drains since %v", id, node, box.Spec.ID, now-since)
	}
	t := j.tries[id]
	if t == nil { // the client's last byte may be booked only after the node has sent it on
		t = &judged{}
		j.tries[id] = t
	}
	cell := fmt.Sprint(box.Spec.Zone, "/", box.Spec.Cell)
	for _, a := range t.attempts {
		if !a.over {
			j.breach(now, "%s: an attempt at %s while one at %s is out", id, box.Spec.ID, a.box)
		}
		if a.notRun || t.try == nil {
			continue
		}
		switch k := t.try.Class; {
		case k.Repeat == Never:
			j.breach(now, "%s: a second copy at %s of what may have run at %s", id, box.Spec.ID, a.box)
		case k.Repeat == Guarded && (a.cell != cell || now-a.at > k.Window):
			j.breach(now, "%s: a copy at %s, outside of the group and window of %s", id, box.Spec.ID, a.box)
		}
	}
	t.attempts = append(t.attempts, sent{box: box.Spec.ID, cell: cell, at: now})
	j.warm(now, id, box, t)
}

// warm holds the sum of all nodes to what a cold server bears.
func (j *Judge) warm(now Time, id string, box *Box, t *judged) {
	capacity := box.Capacity(now)
	if capacity >= 1 {
		delete(j.cold, box.Spec.ID)
		return
	}
	w := j.cold[box.Spec.ID]
	if w == nil {
		w = &window{}
		j.cold[box.Spec.ID] = w
	}
	var work time.Duration
	if t.try != nil {
		work = t.try.Work
	}
	sum := w.add(now, work, j.rules.FallFor)
	full := box.Spec.Speed * float64(box.Spec.Cores) * capacity * j.rules.FallMultiple
	if most := time.Duration(full * float64(j.rules.FallFor)); sum > most {
		j.breach(now, "%s: the cold %s was sent %v of work in %v, and bears %v", id, box.Spec.ID, sum, j.rules.FallFor, most)
	}
}

// Over books the end of an attempt: answered, or given up by the node. notRun is for one that was turned away.
func (j *Judge) Over(id, box string, notRun bool) {
	t := j.tries[id]
	if t == nil {
		return
	}
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := &t.attempts[i]; a.box == box && !a.over {
			a.over, a.notRun = true, notRun
			return
		}
	}
}

// Told books that a node was told what a server does now.
func (j *Judge) Told(now Time, node, server, phase string) {
	key := [2]string{node, server}
	if phase == Up {
		delete(j.told, key)
	} else if _, ok := j.told[key]; !ok {
		j.told[key] = now
	}
}

// window sums work over a time.
type window struct {
	at   []Time
	work []time.Duration
	sum  time.Duration
}

func (w *window) add(now Time, work, span time.Duration) time.Duration {
	w.at, w.work, w.sum = append(w.at, now), append(w.work, work), w.sum+work
	for w.at[0] < now-span {
		w.sum -= w.work[0]
		w.at, w.work = w.at[1:], w.work[1:]
	}
	return w.sum
}
