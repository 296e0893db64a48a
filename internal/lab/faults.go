package lab

import (
	"slices"

	"sloerail/internal/emulator"
)

// begin starts a fault, and sets the time of its end.
func (w *World) begin(f Fault) {
	w.out.Mark(w.now, "", f.Says(true))
	struck := w.struck(f)
	for _, b := range struck {
		w.out.Struck += len(b.flights)
	}
	w.strike(f, struck, true)
	if f.For.Duration > 0 {
		w.in(f.For.Duration, func() {
			w.out.Mark(w.now, "", f.Says(false))
			w.strike(f, struck, false)
		})
	}
}

// struck are the boxes that a fault is about.
func (w *World) struck(f Fault) (all []*box) {
	for _, spec := range f.Struck(w.Specs(w.seed)) {
		all = append(all, w.byID[spec.ID])
	}
	return all
}

func (w *World) strike(f Fault, boxes []*box, on bool) {
	switch f.Do {
	case Load:
		w.changeLoad(f, on)
	case Nodes:
		w.strikeNodes(f.Zone, on)
	case Apart:
		w.part(f, on)
	case Vanish:
		w.phase(boxes, on, emulator.Removed)
		w.relist(0, boxes)
	case Drain:
		w.drain(boxes, on)
	case Lost, Cold:
		for _, b := range boxes {
			w.kill(b, on, f.Do == Cold)
		}
		if f.Do == Cold && !on {
			w.relist(0, boxes)
		}
	}
	for _, b := range boxes {
		switch f.Do {
		case Silent:
			b.silent = on
		case Mute:
			b.mute = on
		default:
			f.Hurt(&b.Fault, on)
		}
	}
}

// part cuts zones off, or ends that.
func (w *World) part(f Fault, on bool) {
	if on {
		w.apart = append(w.apart, f)
	} else if i := slices.Index(w.apart, f); i >= 0 {
		w.apart = slices.Delete(w.apart, i, i+1)
	}
}
