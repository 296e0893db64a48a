package emulator

import (
	"fmt"
	"time"
)

// Rules are the figures of the rules that the checker holds nodes to.
type Rules struct {
	AnswerGrace      time.Duration // beyond a try's time, for its final answer
	DrainGrace       time.Duration // after a node was told, for its last send to a server that drains
	OverloadMultiple float64       // of the capacity of a cold server at the moment,
	OverloadDuration time.Duration // sent for so long by all nodes together
}

// DefaultRules are those of the operators' pages, with the slack of sockets.
func DefaultRules() Rules {
	return Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: 1550 * time.Millisecond, OverloadMultiple: 2.5,
		OverloadDuration: 3 * time.Second}
}

const maxViolations = 100

// Checker reads what happened, in order, and says which rules were broken.
type Checker struct {
	rules          Rules
	requests       map[string]*requestRecord
	drainingSince  map[[2]string]Time // node and server: since when the node knows that it drains
	slowStartWork  map[string]*workWindow
	violations     []string
	violationCount int

	Accepted, Answered, Unanswered, Attempts, ConnectionFailures int
	ConnectionErrors                                             []string // of those at nodes that weren't killed
}

type requestRecord struct {
	attempt  *ClientAttempt
	deadline Time
	answers  int
	attempts []attemptRecord
}

type attemptRecord struct {
	server, cell string
	arrivedAt    Time
	ended        bool
	notRun       bool
}

// NewChecker makes a checker that has seen nothing.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, requests: make(map[string]*requestRecord), drainingSince: make(map[[2]string]Time),
		slowStartWork: make(map[string]*workWindow)}
}

// Violations are the rules broken so far, each with what broke it; count is how many there were, for only so
// many are kept.
func (c *Checker) Violations() (all []string, count int) { return c.violations, c.violationCount }

func (c *Checker) violate(now Time, format string, args ...any) {
	c.violationCount++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// RequestAccepted books that a try's last byte was written to a connection that a node had accepted.
func (c *Checker) RequestAccepted(now Time, t *ClientAttempt) {
	c.Accepted++
	seen := c.requests[t.ID]
	if seen == nil {
		seen = &requestRecord{}
		c.requests[t.ID] = seen
	}
	seen.attempt, seen.deadline = t, now+t.Timeout+c.rules.AnswerGrace
}

// ResponseReceived books a final answer that a client got whole.
func (c *Checker) ResponseReceived(now Time, id string, status int) {
	t := c.requests[id]
	if t == nil {
		c.violate(now, "%s: answered, and never taken", id)
		return
	}
	c.Answered++
	if t.answers++; t.answers > 1 {
		c.violate(now, "%s: a second final answer, %d", id, status)
	}
	if now > t.deadline {
		c.violate(now, "%s: answered %v late", id, now-t.deadline)
	}
	if status == 200 && !t.mayHaveRun() {
		c.violate(now, "%s: 200, and no server served it", id)
	}
	if refused := status == 429 || status == 503; refused && t.mayHaveRun() && t.attempt.Class.RetrySafety != Idempotent {
		c.violate(now, "%s: refused though it may have run", id)
	}
}

// ConnectionBroken books that the connection of a try ended without a whole answer: a violation unless its node was killed.
func (c *Checker) ConnectionBroken(now Time, id string, killed bool) {
	c.Unanswered++
	if killed {
		return
	}
	c.violate(now, "%s: its connection ended with no answer", id)
}

// ConnectionFailed books a try that found no node: its connection was refused, or ended with no answer.
func (c *Checker) ConnectionFailed(now Time, id string, why error, killed bool) {
	if c.ConnectionFailures++; !killed && len(c.ConnectionErrors) < maxViolations {
		c.ConnectionErrors = append(c.ConnectionErrors, fmt.Sprintf("%.3f s: %s: %v", now.Seconds(), id, why))
	}
}

// RequestTimedOut books that a try had no answer when its time, with the grace, was over: it has failed.
func (c *Checker) RequestTimedOut(now Time, id string) {
	if t := c.requests[id]; t != nil && t.answers == 0 {
		c.Unanswered++
	}
}

func (t *requestRecord) mayHaveRun() bool {
	for _, a := range t.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

// AttemptArrived books an attempt whose last byte has reached a server.
func (c *Checker) AttemptArrived(now Time, node, id string, server *Server) {
	c.Attempts++
	if since, ok := c.drainingSince[[2]string{node, server.Spec.ID}]; ok && now-since > c.rules.DrainGrace {
		c.violate(now, "%s: %s sends to %s, which drains since %v", id, node, server.Spec.ID, now-since)
	}
	t := c.requests[id]
	if t == nil { // the client's last byte may be booked only after the node has sent it on
		t = &requestRecord{}
		c.requests[id] = t
	}
	cell := fmt.Sprint(server.Spec.Zone, "/", server.Spec.Cell)
	for _, a := range t.attempts {
		if !a.ended {
			c.violate(now, "%s: an attempt at %s while one at %s is out", id, server.Spec.ID, a.server)
		}
		if a.notRun || t.attempt == nil {
			continue
		}
		switch k := t.attempt.Class; {
		case k.RetrySafety == NonIdempotent:
			c.violate(now, "%s: a second copy at %s of what may have run at %s", id, server.Spec.ID, a.server)
		case k.RetrySafety == IdempotencyKeyed && (a.cell != cell || now-a.arrivedAt > k.DedupWindow):
			c.violate(now, "%s: a copy at %s, outside of the group and window of %s", id, server.Spec.ID, a.server)
		}
	}
	t.attempts = append(t.attempts, attemptRecord{server: server.Spec.ID, cell: cell, arrivedAt: now})
	c.checkSlowStart(now, id, server, t)
}

// checkSlowStart holds the sum of all nodes to what a cold server bears.
func (c *Checker) checkSlowStart(now Time, id string, server *Server, t *requestRecord) {
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
	if t.attempt != nil {
		work = t.attempt.Work
	}
	sum := w.add(now, work, c.rules.OverloadDuration)
	full := server.Spec.Speed * float64(server.Spec.Cores) * capacity * c.rules.OverloadMultiple
	if most := time.Duration(full * float64(c.rules.OverloadDuration)); sum > most {
		c.violate(now, "%s: the cold %s was sent %v of work in %v, and bears %v", id, server.Spec.ID, sum, c.rules.OverloadDuration, most)
	}
}

// AttemptEnded books the end of an attempt: answered, or given up by the node. notRun is for one that was turned away.
func (c *Checker) AttemptEnded(id, server string, notRun bool) {
	t := c.requests[id]
	if t == nil {
		return
	}
	for i := len(t.attempts) - 1; i >= 0; i-- {
		if a := &t.attempts[i]; a.server == server && !a.ended {
			a.ended, a.notRun = true, notRun
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
