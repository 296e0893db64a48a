package simulation

import (
	"slices"

	"sloerail/internal/emulator"
)

// beginFault starts a fault, and sets the time of its end.
func (w *Simulation) beginFault(f Fault) {
	w.outcome.RecordTimeline(w.now, "", f.Describe(true))
	struck := w.affected(f)
	for _, b := range struck {
		w.outcome.Interrupted += len(b.attempts)
	}
	w.applyFault(f, struck, true)
	if f.Length.Duration > 0 {
		w.after(f.Length.Duration, func() {
			w.outcome.RecordTimeline(w.now, "", f.Describe(false))
			w.applyFault(f, struck, false)
		})
	}
}

// affected are the servers that a fault is about.
func (w *Simulation) affected(f Fault) (all []*server) {
	for _, spec := range f.Affected(w.ServerSpecs(w.seed)) {
		all = append(all, w.serversByID[spec.ID])
	}
	return all
}

func (w *Simulation) applyFault(f Fault, servers []*server, on bool) {
	switch f.Kind {
	case LoadIncrease:
		w.setLoadFactor(f, on)
	case NodesDown:
		w.setNodesDown(f.Zone, on)
	case Partition:
		w.setPartition(f, on)
	case Unlisted:
		w.setPhase(servers, on, emulator.Removed)
		w.notifyNodes(0, servers)
	case Drain:
		w.drain(servers, on)
	case Crash, CrashRestart:
		for _, b := range servers {
			w.setDown(b, on, f.Kind == CrashRestart)
		}
		if f.Kind == CrashRestart && !on {
			w.notifyNodes(0, servers)
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
func (w *Simulation) setPartition(f Fault, on bool) {
	if on {
		w.partitions = append(w.partitions, f)
	} else if i := slices.Index(w.partitions, f); i >= 0 {
		w.partitions = slices.Delete(w.partitions, i, i+1)
	}
}
