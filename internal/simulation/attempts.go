package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// attempt is one attempt of a node at a server.
type attempt struct {
	request *request
	number  int // from 0, of the request
	server  *server
	sentAt  time.Duration
	jobID   string // at the server
	ended   bool   // at the node
}

// latencyBetween is the latency one way between two zones.
func latencyBetween(a, b string) time.Duration {
	if a == b {
		return sameZoneLatency
	}
	return crossZoneLatency
}

func (a *attempt) latency() time.Duration {
	return latencyBetween(a.request.node.zone, a.server.Spec.Zone)
}

// unreachable tells whether nothing passes between a zone and a server.
func (s *Simulation) unreachable(zone string, to *server) bool {
	return to.connectTimeout ||
		slices.ContainsFunc(s.partitions, func(f Fault) bool { return f.Separates(zone, to.Spec.Zone) })
}

func (s *Simulation) sendAttempt(n *node, action policy.Action) {
	r, to := n.requests[action.ID], s.serversByID[action.Server]
	if r == nil || to == nil {
		s.outcome.Errors++
		return
	}
	a := &attempt{request: r, number: r.attemptCount, server: to, sentAt: s.now, jobID: fmt.Sprintf("%s/%d", action.ID, r.attemptCount)}
	r.attemptCount++
	r.attempt = a
	s.outcome.RecordAttempt(s.now, r.clientAttempt.Class.Name, n.zone, to.Spec.Zone)
	deadline := r.clientAttempt.SendAt + r.clientAttempt.Timeout
	if action.AttemptDeadline != 0 {
		deadline = max(s.now, min(action.AttemptDeadline, deadline))
	}
	s.at(deadline, func() { s.endAttempt(a, policy.TimedOut, nil) })
	if s.unreachable(n.zone, to) {
		s.after(connectTimeout, func() { s.endAttempt(a, policy.ConnectFailed, nil) })
		return
	}
	s.after(a.latency(), func() { s.arrive(a) })
}

// arrive is the arrival of an attempt's last byte at its server.
func (s *Simulation) arrive(a *attempt) {
	n, to := a.request.node, a.server
	switch {
	case a.ended, s.unreachable(n.zone, to):
		return
	case to.down:
		s.after(a.latency(), func() { s.endAttempt(a, policy.ConnectFailed, nil) })
		return
	}
	client := a.request.clientAttempt
	s.Checker.AttemptArrived(s.now, n.name, client.ID, to.Server)
	switch to.Offer(s.now, emulator.Job{ID: a.jobID, Key: client.Key, Work: client.Work}) {
	case emulator.Rejected:
		s.Checker.AttemptEnded(client.ID, to.Spec.ID, true)
		s.reply(a, policy.Overloaded)
	case emulator.Failed:
		s.Checker.AttemptEnded(client.ID, to.Spec.ID, false)
		s.reply(a, policy.ServerError)
	default:
		to.attempts[a.jobID] = a
		s.scheduleCompletions(to)
	}
}

// reply carries a server's response to the node.
func (s *Simulation) reply(a *attempt, code policy.Code) {
	if a.server.responseLost || s.unreachable(a.request.node.zone, a.server) {
		return
	}
	report := s.loadReport(a.server)
	s.after(a.latency(), func() { s.endAttempt(a, code, report) })
}

// endAttempt ends an attempt at its node; only the first end counts.
func (s *Simulation) endAttempt(a *attempt, code policy.Code, report []float64) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	r.attempt = nil
	if code == policy.TimedOut || code == policy.Cancelled { // it may still run
		s.Checker.AttemptEnded(r.clientAttempt.ID, a.server.Spec.ID, false)
	}
	requestEnded := r.answered
	if code == policy.OK && !requestEnded {
		s.respond(r.node, r.clientAttempt.ID, http.StatusOK, 0)
	}
	if r.node.down {
		return
	}
	s.deliver(r.node, policy.Outcome{ID: r.clientAttempt.ID, Server: a.server.Spec.ID, Attempt: a.number, Code: code,
		Latency: s.now - a.sentAt, RequestEnded: requestEnded || code == policy.OK, LoadReport: report})
	s.releaseIfDone(r)
}
