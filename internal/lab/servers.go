package lab

import (
	"maps"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

type box struct {
	*emulator.Box
	flights map[string]*flight // by job
	seed    uint64
	epoch   int // of its process
	lost    bool
	silent  bool
	mute    bool
	phase   string
	reports []report
}

type report struct {
	at time.Duration
	r  emulator.Report
}

func (w *World) addBoxes(specs []emulator.BoxSpec, seed uint64) {
	for i, spec := range specs {
		b := &box{flights: make(map[string]*flight), seed: seed*1000 + uint64(i), phase: emulator.Up}
		b.Box = emulator.NewBox(spec, 0, b.seed)
		w.boxes, w.byID[spec.ID] = append(w.boxes, b), b
	}
}

// work finishes a box's jobs when they are due.
func (w *World) work(b *box) {
	at, ok := b.Next()
	if !ok {
		return
	}
	epoch := b.epoch
	w.at(at, func() {
		if b.epoch != epoch {
			return
		}
		for _, d := range b.Advance(w.now) {
			f := b.flights[d.ID]
			delete(b.flights, d.ID)
			if f != nil && !f.over {
				w.Judge.Over(f.open.try.ID, b.Spec.ID, false)
				w.back(f.open.node, f, wayBetween(f.open.node.zone, b.Spec.Zone), policy.OK)
			}
		}
		w.work(b)
	})
}

// report is what a box says of its load: as it was some time ago.
func (w *World) report(b *box) []float64 {
	if w.Reports != nil && !*w.Reports {
		return nil
	}
	now := b.Load(w.now)
	if n := len(b.reports); n == 0 || b.reports[n-1].r != now {
		b.reports = append(b.reports, report{w.now, now})
	}
	for len(b.reports) > 1 && b.reports[1].at <= w.now-reportDelay {
		b.reports = b.reports[1:]
	}
	if r := b.reports[0]; r.at <= w.now-reportDelay {
		return []float64{r.r.LatencyMs, r.r.Util, r.r.QPS}
	}
	return nil
}

// list is what the list service says now.
func (w *World) list() (all []policy.Member) {
	for _, b := range w.boxes {
		if m := b.member(); m.Availability != policy.Removed {
			all = append(all, m)
		}
	}
	return all
}

func (b *box) member() policy.Member {
	phases := map[string]policy.Availability{emulator.Up: policy.Running, emulator.Draining: policy.Draining,
		emulator.Removed: policy.Removed}
	return policy.Member{Server: b.Spec.ID, Zone: b.Spec.Zone, Kind: b.Spec.Kind, Cell: b.Spec.Cell, Weight: 1,
		OnlineSince: b.Started(), Availability: phases[b.phase]}
}

// relist tells all nodes of these boxes after a time.
func (w *World) relist(after time.Duration, boxes []*box) {
	for _, n := range w.nodes {
		w.in(after+time.Duration(w.rng.Int64N(int64(listDelay))), func() {
			var news []policy.Member
			for _, b := range boxes {
				news = append(news, b.member())
				w.Judge.Told(w.now, n.name, b.Spec.ID, b.phase)
			}
			w.tell(n, policy.MemberList{Kind: policy.ListUpdate, Members: news})
		})
	}
}

func (w *World) phase(boxes []*box, on bool, to string) {
	for _, b := range boxes {
		if b.phase = emulator.Up; on {
			b.phase = to
		}
	}
}

// drain has boxes drain and leave the list, or return as new processes.
func (w *World) drain(boxes []*box, on bool) {
	if !on {
		for _, b := range boxes {
			w.restart(b, w.now)
		}
		w.phase(boxes, false, "")
		w.relist(0, boxes)
		return
	}
	w.phase(boxes, true, emulator.Draining)
	w.relist(0, boxes)
	w.in(5*time.Second, func() {
		w.phase(boxes, true, emulator.Removed)
		w.relist(0, boxes)
	})
}

// kill ends a box's process, with all that it has in work, or starts one.
func (w *World) kill(b *box, on, cold bool) {
	b.lost = on
	if !on {
		if cold {
			w.restart(b, w.now)
		}
		return
	}
	for _, job := range slices.Sorted(maps.Keys(b.flights)) { // in one order, for a seed's run to be one
		f := b.flights[job]
		w.Judge.Over(f.open.try.ID, b.Spec.ID, false)
		w.in(wayBetween(f.open.node.zone, b.Spec.Zone), func() { w.over(f, policy.Reset, nil) })
	}
	w.restart(b, b.Started())
}

func (w *World) restart(b *box, started time.Duration) {
	b.epoch++
	b.Box = emulator.NewBox(b.Spec, started, b.seed+uint64(b.epoch))
	b.flights, b.reports = make(map[string]*flight), nil
}
