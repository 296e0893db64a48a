package emulator

import (
	"fmt"
	"time"
)

// Rules are the figures of the rules that the checker holds nodes to.
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

const maxViolations = 100

// Checker reads what happened, in order, and says which rules were broken.
type Checker struct {
	rules         Rules
	tries         map[string]*tryRecord
	drainingSince map[[2]string]Time // node and server: since when the node knows that it drains
	slowStartWork map[string]*workWindow
	violations    []string
	count         int

	Accepted, Answered, Unanswered, Sent, TurnedAway int
	TurnedWhy                                        []string // of those at nodes that weren't killed
}

type tryRecord struct {
	try      *Try
	due      Time
	answers  int
	attempts []attemptRecord
}

type attemptRecord struct {
	server, cell string
	at           Time
	over         bool
	notRun       bool
}

// NewChecker makes a checker that has seen nothing.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, tries: make(map[string]*tryRecord), drainingSince: make(map[[2]string]Time),
		slowStartWork: make(map[string]*workWindow)}
}

// Violations are the rules broken so far, each with what broke it; count is how many there were, for only so
// many are kept.
func (c *Checker) Violations() (all []string, count int) { return c.violations, c.count }

func (c *Checker) violate(now Time, format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// RequestAccepted books that a try's last byte was written to a connection that a node had accepted.
func (c *Checker) RequestAccepted(now Time, t *Try) {
	c.Accepted++
	seen := c.tries[t.ID]
	if seen == nil {
		seen = &tryRecord{}
		c.tries[t.ID] = seen
	}
	seen.try, seen.due = t, now+t.Expires+c.rules.Grace
}

// Answer books a final answer that a client got whole.
func (c *Checker) Answer(now Time, id string, status int) {
	t := c.tries[id]
	if t == nil {
		c.violate(now, "%s: answered, and never taken", id)
		return
	}
	c.Answered++
	if t.answers++; t.answers > 1 {
		c.violate(now, "%s: a second final answer, %d", id, status)
	}
	if now > t.due {
		c.violate(now, "%s: answered %v late", id, now-t.due)
	}
	if status == 200 && !t.mayHaveRun() {
		c.violate(now, "%s: 200, and no server served it", id)
	}
	if refused := status == 429 || status == 503; refused && t.mayHaveRun() && t.try.Class.RetrySafety != Idempotent {
		c.violate(now, "%s: refused though it may have run", id)
	}
}

// Broke books that the connection of a try ended without a whole answer: a violation unless its node was killed.
func (c *Checker) Broke(now Time, id string, killed bool) {
	c.Unanswered++
	if killed {
		return
	}
	c.violate(now, "%s: its connection ended with no answer", id)
}

// TurnedBack books a try that found no node: its connection was refused, or ended with no answer.
func (c *Checker) TurnedBack(now Time, id string, why error, killed bool) {
	if c.TurnedAway++; !killed && len(c.TurnedWhy) < maxViolations {
		c.TurnedWhy = append(c.TurnedWhy, fmt.Sprintf("%.3f s: %s: %v", now.Seconds(), id, why))
	}
}

// WatchSilent books that a try had no answer when its time, with the grace, was over: it has failed.
func (c *Checker) WatchSilent(now Time, id string) {
	if t := c.tries[id]; t != nil && t.answers == 0 {
		c.Unanswered++
	}
}

func (t *tryRecord) mayHaveRun() bool {
	for _, a := range t.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

// Arrived books an attempt whose last byte has reached a server.
func (c *Checker) Arrived(now Time, node, id string, server *Server) {
	c.Sent++
	if since, ok := c.drainingSince[[2]string{node, server.Spec.ID}]; ok && now-since > c.rules.DrainGrace {
		c.violate(now, "%s: %s sends to %s, which drains since %v", id, node, server.Spec.ID, now-since)
	}
	t := c.tries[id]
	if t == nil { // the client's last byte may be booked only after the node has sent it on
		t = &tryRecord{}
		c.tries[id] = t
	}
	cell := fmt.Sprint(server.Spec.Zone, "/", server.Spec.Cell)
	for _, a := range t.attempts {
		if !a.over {
			c.violate(now, "%s: an attempt at %s while one at %s is out", id, server.Spec.ID, a.server)
		}
		if a.notRun || t.try == nil {
			continue
		}
		switch k := t.try.Class; {
		case k.RetrySafety == NonIdempotent:
			c.violate(now, "%s: a second copy at %s of what may have run at %s", id, server.Spec.ID, a.server)
		case k.RetrySafety == IdempotencyKeyed && (a.cell != cell || now-a.at > k.DedupWindow):
			c.violate(now, "%s: a copy at %s, outside of the group and window of %s", id, server.Spec.ID, a.server)
		}
	}
	t.attempts = append(t.attempts, attemptRecord{server: server.Spec.ID, cell: cell, at: now})
	c.checkSlowStart(now, id, server, t)
}

// checkSlowStart holds the sum of all nodes to what a cold server bears.
func (c *Checker) checkSlowStart(now Time, id string, server *Server, t *tryRecord) {
	capacity := server.Capacity(now)
	if capacity >= 1 {
		delete(c.slowStartWork, server.Spec.ID)
		return
	}
	w := c.slowStartWork[server.Spec.ID]
	if w == nil {
		w = &workWindow{}
		c.slowStartWork[server.Spec.ID] = w
	}
	var work time.Duration
	if t.try != nil {
		work = t.try.Work
	}
	sum := w.add(now, work, c.rules.FallFor)
	full := server.Spec.Speed * float64(server.Spec.Cores) * capacity * c.rules.FallMultiple
	if most := time.Duration(full * float64(c.rules.FallFor)); sum > most {
		c.violate(now, "%s: the cold %s was sent %v of work in %v, and bears %v", id, server.Spec.ID, sum, c.rules.FallFor, most)
	}
}

// Over books the end of an attempt: answered, or given up by the node. notRun is for one that was turned away.
func (c *Checker) Over(id, server string, notRun bool) {
	t := c.tries[id]
	if t == nil {
		return
	}
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := &t.attempts[i]; a.server == server && !a.over {
			a.over, a.notRun = true, notRun
			return
		}
	}
}

// ChangeNotified books that a node was told what a server does now.
func (c *Checker) ChangeNotified(now Time, node, server, phase string) {
	key := [2]string{node, server}
	if phase == Up {
		delete(c.drainingSince, key)
	} else if _, ok := c.drainingSince[key]; !ok {
		c.drainingSince[key] = now
	}
}

// workWindow sums work over a time.
type workWindow struct {
	at   []Time
	work []time.Duration
	sum  time.Duration
}

func (w *workWindow) add(now Time, work, span time.Duration) time.Duration {
	w.at, w.work, w.sum = append(w.at, now), append(w.work, work), w.sum+work
	for w.at[0] < now-span {
		w.sum -= w.work[0]
		w.at, w.work = w.at[1:], w.work[1:]
	}
	return w.sum
}
