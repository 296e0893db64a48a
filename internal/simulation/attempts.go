package simulation

import (
	"fmt"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// attempt is one sending of a request to a server.
type attempt struct {
	request  *request
	number   int
	server   *server
	sent     time.Duration
	job      string
	finished bool
}

func latencyBetween(a, b string) time.Duration {
	if a == b {
		return sameZoneLatency
	}
	return crossZoneLatency
}

// unreachable tells whether nothing passes between a zone and a server.
func (w *Simulation) unreachable(zone string, b *server) bool {
	return b.connectTimeout || slices.ContainsFunc(w.partitions, func(f Fault) bool { return f.Separates(zone, b.Spec.Zone) })
}

func (w *Simulation) sendAttempt(n *node, a policy.Action) {
	o, b := n.requests[a.ID], w.serversByID[a.Server]
	if o == nil || b == nil {
		w.outcome.Errors++
		return
	}
	f := &attempt{request: o, number: o.attemptCount, server: b, sent: w.now, job: fmt.Sprintf("%s/%d", a.ID, o.attemptCount)}
	o.attemptCount++
	o.attempt = f
	w.outcome.RecordAttempt(w.now, o.client.Class.Name, n.zone, b.Spec.Zone)
	way := latencyBetween(n.zone, b.Spec.Zone)
	until := max(w.now, min(a.AttemptDeadline, o.client.SendAt+o.client.Timeout))
	if a.AttemptDeadline == 0 {
		until = o.client.SendAt + o.client.Timeout
	}
	w.at(until, func() { w.finish(f, policy.TimedOut, nil) })
	if w.unreachable(n.zone, b) {
		w.after(connectTimeout, func() { w.finish(f, policy.ConnectFailed, nil) })
		return
	}
	w.after(way, func() { w.arrive(n, f, way) })
}

// arrive is when an attempt's last byte reaches its server.
func (w *Simulation) arrive(n *node, f *attempt, way time.Duration) {
	b := f.server
	switch {
	case f.finished, w.unreachable(n.zone, b):
		return
	case b.down:
		w.after(way, func() { w.finish(f, policy.ConnectFailed, nil) })
		return
	}
	t := f.request.client
	w.Checker.AttemptArrived(w.now, n.name, t.ID, b.Server)
	switch b.Offer(w.now, emulator.Job{ID: f.job, Key: t.Key, Work: t.Work}) {
	case emulator.Rejected:
		w.Checker.AttemptEnded(t.ID, b.Spec.ID, true)
		w.reply(n, f, way, policy.Overloaded)
	case emulator.Failed:
		w.Checker.AttemptEnded(t.ID, b.Spec.ID, false)
		w.reply(n, f, way, policy.ServerError)
	default:
		b.attempts[f.job] = f
		w.scheduleCompletions(b)
	}
}

// reply carries an answer to its node.
func (w *Simulation) reply(n *node, f *attempt, way time.Duration, code policy.Code) {
	if f.server.responseLost || w.unreachable(n.zone, f.server) {
		return
	}
	row := w.loadReport(f.server)
	w.after(way, func() { w.finish(f, code, row) })
}

// finish is the end of an attempt at its node.
func (w *Simulation) finish(f *attempt, code policy.Code, row []float64) {
	if f.finished {
		return
	}
	f.finished = true
	o := f.request
	o.attempt = nil
	if code == policy.TimedOut || code == policy.Cancelled { // what was sent may yet run
		w.Checker.AttemptEnded(o.client.ID, f.server.Spec.ID, false)
	}
	ended := o.answered
	if code == policy.OK && !ended {
		w.respond(o.node, o.client.ID, 200, 0)
	}
	if o.node.down {
		return
	}
	w.deliver(o.node, policy.Outcome{ID: o.client.ID, Server: f.server.Spec.ID, Attempt: f.number, Code: code, Latency: w.now - f.sent,
		RequestEnded: ended || code == policy.OK, LoadReport: row})
	w.releaseIfDone(o)
}
