package simulation

import (
	"slices"

	"sloerail/internal/emulator"
)

// beginFault starts a fault, and sets the time of its end.
func (w *World) beginFault(f Fault) {
	w.outcome.Mark(w.now, "", f.Describe(true))
	struck := w.affected(f)
	for _, b := range struck {
		w.outcome.Interrupted += len(b.attempts)
	}
	w.applyFault(f, struck, true)
	if f.For.Duration > 0 {
		w.in(f.For.Duration, func() {
			w.outcome.Mark(w.now, "", f.Describe(false))
			w.applyFault(f, struck, false)
		})
	}
}

// affected are the servers that a fault is about.
func (w *World) affected(f Fault) (all []*server) {
	for _, spec := range f.Affected(w.ServerSpecs(w.seed)) {
		all = append(all, w.serversByID[spec.ID])
	}
	return all
}

func (w *World) applyFault(f Fault, servers []*server, on bool) {
	switch f.Kind {
	case Load:
		w.changeLoad(f, on)
	case Nodes:
		w.setNodesDown(f.Zone, on)
	case Partition:
		w.setPartition(f, on)
	case Vanish:
		w.setPhase(servers, on, emulator.Removed)
		w.announce(0, servers)
	case Drain:
		w.drain(servers, on)
	case Lost, Cold:
		for _, b := range servers {
			w.kill(b, on, f.Kind == Cold)
		}
		if f.Kind == Cold && !on {
			w.announce(0, servers)
		}
	}
	for _, b := range servers {
		switch f.Kind {
		case ConnectTimeout:
			b.connectTimeout = on
		case ResponseLost:
			b.responseLost = on
		default:
			f.ApplyTo(&b.Fault, on)
		}
	}
}

// setPartition cuts zones off, or ends that.
func (w *World) setPartition(f Fault, on bool) {
	if on {
		w.partitions = append(w.partitions, f)
	} else if i := slices.Index(w.partitions, f); i >= 0 {
		w.partitions = slices.Delete(w.partitions, i, i+1)
	}
}
