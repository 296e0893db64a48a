package lab

import (
	"fmt"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

// flight is one attempt.
type flight struct {
	open   *open
	number int
	box    *box
	sent   time.Duration
	job    string
	over   bool
}

func wayBetween(a, b string) time.Duration {
	if a == b {
		return nearPath
	}
	return farPath
}

// cut tells whether nothing passes between a zone and a box.
func (w *World) cut(zone string, b *box) bool {
	return b.silent || slices.ContainsFunc(w.apart, func(f Fault) bool { return f.Parts(zone, b.Spec.Zone) })
}

func (w *World) send(n *node, a policy.Action) {
	o, b := n.open[a.ID], w.byID[a.Server]
	if o == nil || b == nil {
		w.out.Errors++
		return
	}
	f := &flight{open: o, number: o.attempts, box: b, sent: w.now, job: fmt.Sprintf("%s/%d", a.ID, o.attempts)}
	o.attempts++
	o.flight = f
	w.out.Sent(w.now, o.try.Class.Name, n.zone, b.Spec.Zone)
	way := wayBetween(n.zone, b.Spec.Zone)
	until := max(w.now, min(a.Until, o.try.At+o.try.Expires))
	if a.Until == 0 {
		until = o.try.At + o.try.Expires
	}
	w.at(until, func() { w.over(f, policy.TimedOut, nil) })
	if w.cut(n.zone, b) {
		w.in(connectFor, func() { w.over(f, policy.ConnectFailed, nil) })
		return
	}
	w.in(way, func() { w.reach(n, f, way) })
}

// reach is when an attempt's last byte reaches its box.
func (w *World) reach(n *node, f *flight, way time.Duration) {
	b := f.box
	switch {
	case f.over, w.cut(n.zone, b):
		return
	case b.lost:
		w.in(way, func() { w.over(f, policy.ConnectFailed, nil) })
		return
	}
	t := f.open.try
	w.Judge.Arrived(w.now, n.name, t.ID, b.Box)
	switch b.Offer(w.now, emulator.Job{ID: f.job, Key: t.Key, Work: t.Work}) {
	case emulator.Turned:
		w.Judge.Over(t.ID, b.Spec.ID, true)
		w.back(n, f, way, policy.Full)
	case emulator.Failed:
		w.Judge.Over(t.ID, b.Spec.ID, false)
		w.back(n, f, way, policy.ServerError)
	default:
		b.flights[f.job] = f
		w.work(b)
	}
}

// back carries an answer to its node.
func (w *World) back(n *node, f *flight, way time.Duration, code policy.Code) {
	if f.box.mute || w.cut(n.zone, f.box) {
		return
	}
	row := w.report(f.box)
	w.in(way, func() { w.over(f, code, row) })
}

// over is the end of an attempt at its node.
func (w *World) over(f *flight, code policy.Code, row []float64) {
	if f.over {
		return
	}
	f.over = true
	o := f.open
	o.flight = nil
	if code == policy.TimedOut || code == policy.Cancelled { // what was sent may yet run
		w.Judge.Over(o.try.ID, f.box.Spec.ID, false)
	}
	ended := o.answered
	if code == policy.OK && !ended {
		w.answer(o.node, o.try.ID, 200, 0)
	}
	if o.node.down {
		return
	}
	w.tell(o.node, policy.Outcome{ID: o.try.ID, Server: f.box.Spec.ID, Attempt: f.number, Code: code, Latency: w.now - f.sent,
		Ended: ended || code == policy.OK, Report: row})
	w.drop(o)
}
