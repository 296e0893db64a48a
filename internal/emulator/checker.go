package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// Rules are the limits that nodes must keep. The checker reports violations of them.
type Rules struct {
	AnswerGrace      time.Duration // how long after a client attempt's timeout the final response may arrive
	DrainGrace       time.Duration // how long a node may still send to a server after the node was notified that the server drains or was removed
	OverloadMultiple float64       // maximum work sent to a server in slow start, as a multiple of its capacity
	OverloadDuration time.Duration // window over which OverloadMultiple is measured
}

// DefaultRules returns the rules of the operators' documentation, with some slack for sockets.
func DefaultRules() Rules {
	return Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: 1550 * time.Millisecond, OverloadMultiple: 2.5,
		OverloadDuration: 3 * time.Second}
}

// maxMessages is the maximum number of violation messages that are retained, and the maximum number of connection errors.
const maxMessages = 100

// Checker receives the actions of clients, nodes and servers in order of time, and finds violations of the rules.
type Checker struct {
	Accepted, Answered, Unanswered int      // client attempts that a node accepted, and of these those with and without a final response
	ConnectionFailures             int      // client attempts that no node accepted
	ConnectionErrors               []string // errors of these failures, without those at killed nodes; at most maxMessages
	Attempts                       int      // attempts of nodes that reached servers

	rules          Rules
	requests       map[string]*requestRecord
	drainingSince  map[[2]string]Time     // when the node was notified that the server drains or was removed, by node and server
	slowStartWork  map[string]*workWindow // work sent to servers in slow start, by server
	violations     []string
	violationCount int
}

// requestRecord is the recorded state of a client attempt.
type requestRecord struct {
	attempt   *ClientAttempt // nil until RequestAccepted
	deadline  Time           // latest time of the final response
	responses int
	attempts  []attemptRecord
}

// attemptRecord is the recorded state of an attempt that a node sent to a server.
type attemptRecord struct {
	server, cell string
	arrivedAt    Time
	ended        bool
	notRun       bool // the server rejected the attempt
}

// NewChecker returns a checker without records.
func NewChecker(rules Rules) *Checker {
	return &Checker{rules: rules, requests: make(map[string]*requestRecord), drainingSince: make(map[[2]string]Time),
		slowStartWork: make(map[string]*workWindow)}
}

// Violations returns a message for each violation so far, up to maxMessages, and the count of all violations.
func (c *Checker) Violations() (messages []string, count int) { return c.violations, c.violationCount }

// addViolation counts a violation, and retains its message if there are fewer than maxMessages.
func (c *Checker) addViolation(now Time, format string, args ...any) {
	c.violationCount++
	if len(c.violations) < maxMessages {
		c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// request returns the record of a client attempt, and creates it if it is missing. AttemptArrived can be called before
// RequestAccepted: a node's attempt can reach a server before the client has recorded its last byte.
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

// ResponseReceived records that a client received a complete final response.
func (c *Checker) ResponseReceived(now Time, id string, status int) {
	record := c.requests[id]
	if record == nil {
		c.addViolation(now, "%s: response to a request that no node accepted", id)
		return
	}
	c.Answered++
	if record.responses++; record.responses > 1 {
		c.addViolation(now, "%s: second final response, status %d", id, status)
	}
	if now > record.deadline {
		c.addViolation(now, "%s: response %v late", id, now-record.deadline)
	}
	if status == http.StatusOK && !record.mayHaveRun() {
		c.addViolation(now, "%s: status 200, but no server ran the request", id)
	}
	rejected := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if rejected && record.mayHaveRun() && record.attempt.Class.RetrySafety != Idempotent {
		c.addViolation(now, "%s: rejected with status 429 or 503, but may have run", id)
	}
}

// ConnectionBroken records that a client's connection was closed without a complete response. This is a violation unless
// the node was killed.
func (c *Checker) ConnectionBroken(now Time, id string, killed bool) {
	c.Unanswered++
	if !killed {
		c.addViolation(now, "%s: connection closed without a complete response", id)
	}
}

// ConnectionFailed records a client attempt that no node accepted: its connection was refused, or was closed before any
// response.
func (c *Checker) ConnectionFailed(now Time, id string, why error, killed bool) {
	if c.ConnectionFailures++; !killed && len(c.ConnectionErrors) < maxMessages {
		c.ConnectionErrors = append(c.ConnectionErrors, fmt.Sprintf("%.3f s: %s: %v", now.Seconds(), id, why))
	}
}

// RequestTimedOut records that a client stopped waiting for the response to an attempt. It has no effect if a response was
// received before, or if the attempt is unknown.
func (c *Checker) RequestTimedOut(id string) {
	if record := c.requests[id]; record != nil && record.responses == 0 {
		c.Unanswered++
	}
}

// mayHaveRun reports whether a server may have run the request: whether any of its attempts was not rejected.
func (r *requestRecord) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

// AttemptArrived records that the last byte of a node's attempt reached a server.
func (c *Checker) AttemptArrived(now Time, node, id string, server *Server) {
	c.Attempts++
	if since, ok := c.drainingSince[[2]string{node, server.Spec.ID}]; ok && now-since > c.rules.DrainGrace {
		c.addViolation(now, "%s: node %s sends to server %s, which has been draining for %v", id, node, server.Spec.ID, now-since)
	}
	record := c.request(id)
	attempt := attemptRecord{server: server.Spec.ID, cell: fmt.Sprint(server.Spec.Zone, "/", server.Spec.Cell), arrivedAt: now}
	for _, earlier := range record.attempts {
		c.checkRetry(id, record, earlier, attempt)
	}
	record.attempts = append(record.attempts, attempt)
	c.checkSlowStart(now, id, server, record)
}

// checkRetry checks a retry against an earlier attempt of the same request.
func (c *Checker) checkRetry(id string, record *requestRecord, earlier, retry attemptRecord) {
	now := retry.arrivedAt
	if !earlier.ended {
		c.addViolation(now, "%s: attempt at server %s while the attempt at server %s is in flight", id, retry.server, earlier.server)
	}
	if earlier.notRun || record.attempt == nil {
		return
	}
	class := record.attempt.Class
	switch outsideDedup := earlier.cell != retry.cell || now-earlier.arrivedAt > class.DedupWindow; {
	case class.RetrySafety == NonIdempotent:
		c.addViolation(now, "%s: retry at server %s of a non-idempotent request that may have run at server %s",
			id, retry.server, earlier.server)
	case class.RetrySafety == IdempotencyKeyed && outsideDedup:
		c.addViolation(now, "%s: retry at server %s, outside the cell or the dedup window of the attempt at server %s",
			id, retry.server, earlier.server)
	}
}

// checkSlowStart checks that all nodes together don't send too much work to a server in slow start.
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
		c.addViolation(now, "%s: server %s in slow start got %v of work in %v, want at most %v", id, server.Spec.ID, sum,
			c.rules.OverloadDuration, maxWork)
	}
}

// AttemptEnded records the end of a node's attempt: a response, or a timeout or cancellation by the node. notRun means
// that the server rejected the attempt.
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

// ChangeNotified records that a node was notified of a server's new phase.
func (c *Checker) ChangeNotified(now Time, node, server, phase string) {
	key := [2]string{node, server}
	if phase == Up {
		delete(c.drainingSince, key)
	} else if _, ok := c.drainingSince[key]; !ok {
		c.drainingSince[key] = now
	}
}

// workWindow sums work over a sliding time window.
type workWindow struct {
	at   []Time
	work []time.Duration
	sum  time.Duration
}

// add adds work, and returns the sum of all work that was added within the last span of time.
func (w *workWindow) add(now Time, work, span time.Duration) time.Duration {
	w.at, w.work, w.sum = append(w.at, now), append(w.work, work), w.sum+work
	for w.at[0] < now-span {
		w.sum -= w.work[0]
		w.at, w.work = w.at[1:], w.work[1:]
	}
	return w.sum
}
