package simulation

import (
	"maps"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/policy"
)

type server struct {
	*emulator.Server
	attempts       map[string]*attempt // by job
	seed           uint64
	incarnation    int // of its process
	down           bool
	connectTimeout bool
	responseLost   bool
	phase          string
	reports        []timedReport
}

type timedReport struct {
	at   time.Duration
	load emulator.LoadReport
}

func (w *Simulation) addServers(specs []emulator.ServerSpec, seed uint64) {
	for i, spec := range specs {
		b := &server{attempts: make(map[string]*attempt), seed: seed*1000 + uint64(i), phase: emulator.Up}
		b.Server = emulator.NewServer(spec, 0, b.seed)
		w.servers, w.serversByID[spec.ID] = append(w.servers, b), b
	}
}

// scheduleCompletions finishes a server's jobs when they are due.
func (w *Simulation) scheduleCompletions(b *server) {
	at, ok := b.Next()
	if !ok {
		return
	}
	epoch := b.incarnation
	w.at(at, func() {
		if b.incarnation != epoch {
			return
		}
		for _, d := range b.Advance(w.now) {
			f := b.attempts[d.ID]
			delete(b.attempts, d.ID)
			if f != nil && !f.finished {
				w.Checker.AttemptEnded(f.request.client.ID, b.Spec.ID, false)
				w.reply(f.request.node, f, latencyBetween(f.request.node.zone, b.Spec.Zone), policy.OK)
			}
		}
		w.scheduleCompletions(b)
	})
}

// loadReport is what a server says of its load: as it was some time ago.
func (w *Simulation) loadReport(b *server) []float64 {
	if w.Reports != nil && !*w.Reports {
		return nil
	}
	now := b.LoadReport(w.now)
	if n := len(b.reports); n == 0 || b.reports[n-1].load != now {
		b.reports = append(b.reports, timedReport{w.now, now})
	}
	for len(b.reports) > 1 && b.reports[1].at <= w.now-reportDelay {
		b.reports = b.reports[1:]
	}
	if r := b.reports[0]; r.at <= w.now-reportDelay {
		return []float64{r.load.LatencyMs, r.load.Util, r.load.QPS}
	}
	return nil
}

// endpoints is what the list service says now.
func (w *Simulation) endpoints() (all []policy.Endpoint) {
	for _, b := range w.servers {
		if m := b.endpoint(); m.Availability != policy.Removed {
			all = append(all, m)
		}
	}
	return all
}

func (b *server) endpoint() policy.Endpoint {
	phases := map[string]policy.Availability{emulator.Up: policy.Running, emulator.Draining: policy.Draining,
		emulator.Removed: policy.Removed}
	return policy.Endpoint{ID: b.Spec.ID, Zone: b.Spec.Zone, Kind: b.Spec.Kind, Cell: b.Spec.Cell, Weight: 1,
		StartedAt: b.Started(), Availability: phases[b.phase]}
}

// notifyNodes tells all nodes of these servers after a time.
func (w *Simulation) notifyNodes(after time.Duration, servers []*server) {
	for _, n := range w.nodes {
		w.after(after+time.Duration(w.rng.Int64N(int64(maxListDelay))), func() {
			var news []policy.Endpoint
			for _, b := range servers {
				news = append(news, b.endpoint())
				w.Checker.ChangeNotified(w.now, n.name, b.Spec.ID, b.phase)
			}
			w.deliver(n, policy.EndpointList{Kind: policy.ListUpdate, Endpoints: news})
		})
	}
}

func (w *Simulation) setPhase(servers []*server, on bool, to string) {
	for _, b := range servers {
		if b.phase = emulator.Up; on {
			b.phase = to
		}
	}
}

// drain has servers drain and leave the list, or return as new processes.
func (w *Simulation) drain(servers []*server, on bool) {
	if !on {
		for _, b := range servers {
			w.restart(b, w.now)
		}
		w.setPhase(servers, false, "")
		w.notifyNodes(0, servers)
		return
	}
	w.setPhase(servers, true, emulator.Draining)
	w.notifyNodes(0, servers)
	w.after(5*time.Second, func() {
		w.setPhase(servers, true, emulator.Removed)
		w.notifyNodes(0, servers)
	})
}

// setDown ends a server's process, with all that it has in work, or starts one.
func (w *Simulation) setDown(b *server, on, cold bool) {
	b.down = on
	if !on {
		if cold {
			w.restart(b, w.now)
		}
		return
	}
	for _, job := range slices.Sorted(maps.Keys(b.attempts)) { // in one order, for a seed's run to be one
		f := b.attempts[job]
		w.Checker.AttemptEnded(f.request.client.ID, b.Spec.ID, false)
		w.after(latencyBetween(f.request.node.zone, b.Spec.Zone), func() { w.finish(f, policy.Reset, nil) })
	}
	w.restart(b, b.Started())
}

func (w *Simulation) restart(b *server, started time.Duration) {
	b.incarnation++
	b.Server = emulator.NewServer(b.Spec, started, b.seed+uint64(b.incarnation))
	b.attempts, b.reports = make(map[string]*attempt), nil
}
