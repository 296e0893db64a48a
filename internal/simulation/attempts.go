package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// attempt is one attempt that a node sends to a server.
type attempt struct {
	request *request
	number  int // index among the attempts of the request, from 0
	server  *server
	sentAt  time.Duration
	jobID   string // ID of the attempt's job at the server
	ended   bool   // the node has the outcome of the attempt
}

// latencyBetween returns the one-way latency between two zones.
func latencyBetween(a, b string) time.Duration {
	if a == b {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// latency returns the one-way latency between the node and the server of the attempt.
func (a *attempt) latency() time.Duration {
	return latencyBetween(a.request.node.zone, a.server.Spec.Zone)
}

// unreachable reports whether a fault of kind ConnectTimeout or Partition cuts a server off from a zone.
func (s *Simulation) unreachable(zone string, target *server) bool {
	return target.connectTimeout ||
		slices.ContainsFunc(s.partitions, func(f Fault) bool { return f.Separates(zone, target.Spec.Zone) })
}

// sendAttempt sends an attempt of a request to the server that a node has chosen. If the node doesn't have the request, or
// there is no such server, it only counts an invalid send.
func (s *Simulation) sendAttempt(n *node, action policy.Action) {
	r, target := n.requests[action.ID], s.serversByID[action.Server]
	if r == nil || target == nil {
		s.outcome.InvalidSends++
		return
	}
	a := &attempt{request: r, number: r.attemptCount, server: target, sentAt: s.now, jobID: fmt.Sprintf("%s/%d", action.ID, r.attemptCount)}
	r.attemptCount++
	r.attempt = a
	s.outcome.RecordNodeAttempt(s.now, r.clientAttempt.Class.Name, n.zone, target.Spec.Zone)
	deadline := r.clientAttempt.SendAt + r.clientAttempt.Timeout
	if action.AttemptDeadline != 0 {
		deadline = max(s.now, min(action.AttemptDeadline, deadline))
	}
	s.at(deadline, func() { s.endAttempt(a, policy.TimedOut, nil) })
	if s.unreachable(n.zone, target) {
		s.after(connectTimeout, func() { s.endAttempt(a, policy.ConnectFailed, nil) })
		return
	}
	s.after(a.latency(), func() { s.arrive(a) })
}

// arrive delivers an attempt to its server when the last byte arrives. It drops the attempt if the attempt has ended, or
// if the server has become unreachable. If the server is down, the attempt ends with policy.ConnectFailed.
func (s *Simulation) arrive(a *attempt) {
	n, target := a.request.node, a.server
	switch {
	case a.ended, s.unreachable(n.zone, target):
		return
	case target.down:
		s.after(a.latency(), func() { s.endAttempt(a, policy.ConnectFailed, nil) })
		return
	}
	client := a.request.clientAttempt
	s.Checker.AttemptArrived(s.now, n.name, client.ID, target.Server)
	switch target.Offer(s.now, emulator.Job{ID: a.jobID, Key: client.Key, Work: client.Work}) {
	case emulator.Rejected:
		s.Checker.AttemptEnded(client.ID, target.Spec.ID, true)
		s.reply(a, policy.Overloaded)
	case emulator.Failed:
		s.Checker.AttemptEnded(client.ID, target.Spec.ID, false)
		s.reply(a, policy.ServerError)
	default:
		target.attempts[a.jobID] = a
		s.scheduleCompletions(target)
	}
}

// reply sends a server's response to the node, unless a fault drops the response.
func (s *Simulation) reply(a *attempt, code policy.Code) {
	if a.server.responseLost || s.unreachable(a.request.node.zone, a.server) {
		return
	}
	report := s.loadReport(a.server)
	s.after(a.latency(), func() { s.endAttempt(a, code, report) })
}

// endAttempt ends an attempt with an outcome. It sends the client the response if the code is OK, and reports the outcome
// to the node unless the node is down. Later outcomes of the same attempt have no effect.
func (s *Simulation) endAttempt(a *attempt, code policy.Code, report []float64) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	r.attempt = nil
	if code == policy.TimedOut || code == policy.Cancelled { // ended by the node; the server may still run the attempt
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
	s.removeIfDone(r)
}
