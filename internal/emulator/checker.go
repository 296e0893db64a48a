package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// Rules are what the checker holds nodes to.
type Rules struct {
	AnswerGrace      time.Duration // beyond an attempt's timeout, for its final response
	DrainGrace       time.Duration // after a node was notified, for its last request to a server that drains
	OverloadMultiple float64       // times the capacity of a server in slow start: the most that nodes may send it
	OverloadDuration time.Duration // over which OverloadMultiple is measured
}

// DefaultRules are those of the operators' pages, with some slack for sockets.
func DefaultRules() Rules {
	return Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: 1550 * time.Millisecond, OverloadMultiple: 2.5,
		OverloadDuration: 3 * time.Second}
}

// maxMessages bounds the violations, and the errors of connections, whose texts are retained.
const maxMessages = 100

// Checker reads what clients, nodes and servers did, in order of time, and finds the rules that were broken.
type Checker struct {
	Accepted, Answered, Unanswered int      // attempts of clients
	ConnectionFailures             int      // the same: those that reached no node
	ConnectionErrors               []string // of them, at nodes that weren't killed
	Attempts                       int      // that reached servers

	rules          Rules
	requests       map[string]*requestRecord
	drainingSince  map[[2]string]Time // by node and server: when the node was notified
	slowStartWork  map[string]*workWindow
	violations     []string
	violationCount int
}

// requestRecord is what is known of one client attempt.
type requestRecord struct {
	attempt   *ClientAttempt // nil until RequestAccepted
	deadline  Time           // for its response
	responses int
	attempts  []attemptRecord
}

// attemptRecord is one attempt of a node at a server.
type attemptRecord struct {
	server, cell string
	arrivedAt    Time
	ended        bool
	notRun       bool // the server has rejected it
}

// NewChecker makes a checker that has seen nothing.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, requests: make(map[string]*requestRecord), drainingSince: make(map[[2]string]Time),
		slowStartWork: make(map[string]*workWindow)}
}

// Violations are the rules broken so far, each with what broke it; count includes those beyond maxMessages.
func (c *Checker) Violations() (messages []string, count int) { return c.violations, c.violationCount }

func (c *Checker) violate(now Time, format string, args ...any) {
	c.violationCount++
	if len(c.violations) < maxMessages {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// request returns the record of a client attempt. It may be made by what a node sends to a server: that can be
// recorded before the client's own last byte.
func (c *Checker) request(id string) *requestRecord {
	record := c.requests[id]
	if record == nil {
		record = &requestRecord{}
		c.requests[id] = record
	}
	return record
}

// RequestAccepted records that the last byte of a client attempt was written to a connection that a node accepted.
func (c *Checker) RequestAccepted(now Time, a *ClientAttempt) {
	c.Accepted++
	record := c.request(a.ID)
	record.attempt, record.deadline = a, now+a.Timeout+c.rules.AnswerGrace
}

// ResponseReceived records a complete final response at a client.
func (c *Checker) ResponseReceived(now Time, id string, status int) {
	record := c.requests[id]
	if record == nil {
		c.violate(now, "%s: answered, and never taken", id)
		return
	}
	c.Answered++
	if record.responses++; record.responses > 1 {
		c.violate(now, "%s: a second final answer, %d", id, status)
	}
	if now > record.deadline {
		c.violate(now, "%s: answered %v late", id, now-record.deadline)
	}
	if status == http.StatusOK && !record.mayHaveRun() {
		c.violate(now, "%s: 200, and no server served it", id)
	}
	rejected := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if rejected && record.mayHaveRun() && record.attempt.Class.RetrySafety != Idempotent {
		c.violate(now, "%s: refused though it may have run", id)
	}
}

// ConnectionBroken records that a client's connection ended without a complete response: a violation unless its node
// was killed.
func (c *Checker) ConnectionBroken(now Time, id string, killed bool) {
	c.Unanswered++
	if !killed {
		c.violate(now, "%s: its connection ended with no answer", id)
	}
}

// ConnectionFailed records a client attempt that reached no node: its connection was refused, or ended before any
// response.
func (c *Checker) ConnectionFailed(now Time, id string, why error, killed bool) {
	if c.ConnectionFailures++; !killed && len(c.ConnectionErrors) < maxMessages {
		c.ConnectionErrors = append(c.ConnectionErrors, fmt.Sprintf("%.3f s: %s: %v", now.Seconds(), id, why))
	}
}

// RequestTimedOut records that a client attempt had no response by its timeout and the grace.
func (c *Checker) RequestTimedOut(id string) {
	if record := c.requests[id]; record != nil && record.responses == 0 {
		c.Unanswered++
	}
}

func (r *requestRecord) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

// AttemptArrived records that the last byte of a node's attempt has reached a server.
func (c *Checker) AttemptArrived(now Time, node, id string, server *Server) {
	c.Attempts++
	if since, ok := c.drainingSince[[2]string{node, server.Spec.ID}]; ok && now-since > c.rules.DrainGrace {
		c.violate(now, "%s: %s sends to %s, which drains since %v", id, node, server.Spec.ID, now-since)
	}
	record := c.request(id)
	attempt := attemptRecord{server: server.Spec.ID, cell: fmt.Sprint(server.Spec.Zone, "/", server.Spec.Cell), arrivedAt: now}
	for _, earlier := range record.attempts {
		c.checkRetry(id, record, earlier, attempt)
	}
	record.attempts = append(record.attempts, attempt)
	c.checkSlowStart(now, id, server, record)
}

// checkRetry checks an attempt against an earlier one of the same request.
func (c *Checker) checkRetry(id string, record *requestRecord, earlier, retry attemptRecord) {
	now := retry.arrivedAt
	if !earlier.ended {
		c.violate(now, "%s: an attempt at %s while one at %s is out", id, retry.server, earlier.server)
	}
	if earlier.notRun || record.attempt == nil {
		return
	}
	class := record.attempt.Class
	switch outside := earlier.cell != retry.cell || now-earlier.arrivedAt > class.DedupWindow; {
	case class.RetrySafety == NonIdempotent:
		c.violate(now, "%s: a second copy at %s of what may have run at %s", id, retry.server, earlier.server)
	case class.RetrySafety == IdempotencyKeyed && outside:
		c.violate(now, "%s: a copy at %s, outside of the group and window of %s", id, retry.server, earlier.server)
	}
}

// checkSlowStart checks what all nodes together send to a server in slow start.
func (c *Checker) checkSlowStart(now Time, id string, server *Server, record *requestRecord) {
	capacity := server.Capacity(now)
	if capacity >= 1 {
		delete(c.slowStartWork, server.Spec.ID)
		return
	}
	window := c.slowStartWork[server.Spec.ID]
	if window == nil {
		window = &workWindow{}
		c.slowStartWork[server.Spec.ID] = window
	}
	var work time.Duration
	if record.attempt != nil {
		work = record.attempt.Work
	}
	sum := window.add(now, work, c.rules.OverloadDuration)
	maxRate := server.Spec.Speed * float64(server.Spec.Cores) * capacity * c.rules.OverloadMultiple
	if maxWork := time.Duration(maxRate * float64(c.rules.OverloadDuration)); sum > maxWork {
		c.violate(now, "%s: the cold %s was sent %v of work in %v, and bears %v", id, server.Spec.ID, sum,
			c.rules.OverloadDuration, maxWork)
	}
}

// AttemptEnded records the end of a node's attempt: a response, or a timeout or cancellation by the node. notRun says
// that the server has rejected it.
func (c *Checker) AttemptEnded(id, server string, notRun bool) {
	record := c.requests[id]
	if record == nil {
		return
	}
	for i := len(record.attempts) - 1; i >= 0; i-- {
		if a := &record.attempts[i]; a.server == server && !a.ended {
			a.ended, a.notRun = true, notRun
			return
		}
	}
}

// ChangeNotified records that a node was notified of a server's phase.
func (c *Checker) ChangeNotified(now Time, node, server, phase string) {
	key := [2]string{node, server}
	if phase == Up {
		delete(c.drainingSince, key)
	} else if _, ok := c.drainingSince[key]; !ok {
		c.drainingSince[key] = now
	}
}

// workWindow sums work over a sliding window of time.
type workWindow struct {
	at   []Time
	work []time.Duration
	sum  time.Duration
}

// add returns the sum of the work within the last span, with what is added.
func (w *workWindow) add(now Time, work, span time.Duration) time.Duration {
	w.at, w.work, w.sum = append(w.at, now), append(w.work, work), w.sum+work
	for w.at[0] < now-span {
		w.sum -= w.work[0]
		w.at, w.work = w.at[1:], w.work[1:]
	}
	return w.sum
}
