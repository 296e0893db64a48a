package simulation

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"sloerail/internal/emulator"
)

// Fault is something that goes wrong for a time, once or several times.
type Fault struct {
	At       Duration  `toml:"at"`
	Length   Duration  `toml:"for"`
	Kind     FaultKind `toml:"do"`
	Zone     string    `toml:"zone"`  // of the servers or nodes; empty for all zones
	Fraction float64   `toml:"part"`  // of the requests that fail, or of the servers that are affected; 0 counts as 1
	Factor   float64   `toml:"times"` // how many times slower, or more load

	RepeatEvery Duration `toml:"every"` // between its begins
	Repeats     int      `toml:"count"` // begins in all; 0 counts as 1
}

// FaultKind names a fault.
type FaultKind string

// The kinds of faults.
const (
	Crash          FaultKind = "lost"   // servers refuse connections; they return past their slow start
	CrashRestart   FaultKind = "cold"   // the same, but they return as new processes, in slow start
	ConnectTimeout FaultKind = "silent" // connections to servers don't come up
	ResponseLost   FaultKind = "mute"   // requests reach servers, and responses are lost
	Partition      FaultKind = "apart"  // a zone is cut off from the others, both ways
	Errors         FaultKind = "errors" // a fraction of the requests fails at once
	Slow           FaultKind = "slow"   // servers are several times slower
	Unlisted       FaultKind = "vanish" // servers are removed from the list, and run on
	Drain          FaultKind = "drain"  // servers drain and are removed; they return as new processes
	NodesDown      FaultKind = "nodes"  // nodes are killed
	LoadIncrease   FaultKind = "load"   // clients send several times as many requests
)

var faultKinds = []FaultKind{Crash, CrashRestart, ConnectTimeout, ResponseLost, Partition, Errors, Slow, Unlisted, Drain, NodesDown, LoadIncrease}

func (f Fault) check(zones []string) error {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return fmt.Errorf("do: unknown fault %q", f.Kind)
	case f.Zone != "" && !slices.Contains(zones, f.Zone):
		return fmt.Errorf("zone: there is no zone %q", f.Zone)
	}
	if err := f.checkTimes(); err != nil {
		return err
	}
	switch {
	case f.Fraction < 0 || f.Fraction > 1:
		return fmt.Errorf("part: want 0 to 1, got %v", f.Fraction)
	case f.Factor < 0 || (f.Kind == Slow || f.Kind == LoadIncrease) && f.Factor == 0:
		return fmt.Errorf("times: want more than 0, got %v", f.Factor)
	}
	return nil
}

func (f Fault) checkTimes() error {
	if f.At.Duration < 0 || f.Length.Duration < 0 {
		return errors.New("at, for: want 0 or more")
	}
	if f.RepeatEvery.Duration < 0 || f.Repeats < 0 || f.Repeats > 1 && f.RepeatEvery.Duration <= f.Length.Duration {
		return errors.New("every, count: want a time longer than for, and 0 or more")
	}
	return nil
}

// fraction is Fraction, or 1 where that is absent.
func (f Fault) fraction() float64 {
	if f.Fraction == 0 {
		return 1
	}
	return f.Fraction
}

// StartTimes are when a fault begins, from the scenario's begin on.
func (f Fault) StartTimes() (all []time.Duration) {
	for i := range max(1, f.Repeats) {
		all = append(all, f.At.Duration+time.Duration(i)*f.RepeatEvery.Duration)
	}
	return all
}

// Describe is the timeline's text for the begin of a fault, or its end.
func (f Fault) Describe(on bool) string {
	if on {
		return fmt.Sprintf("%s %s begins", f.Kind, f.Zone)
	}
	return fmt.Sprintf("%s %s ends", f.Kind, f.Zone)
}

// ApplyTo begins or ends a fault that is the server's own; other kinds of fault change nothing.
func (f Fault) ApplyTo(server *emulator.ServerFault, on bool) {
	switch f.Kind {
	case Errors:
		if server.ErrorFraction = 0; on {
			server.ErrorFraction = f.fraction()
		}
	case Slow:
		if server.Slowdown = 0; on {
			server.Slowdown = f.Factor
		}
	}
}

// Separates tells whether a Partition cuts two zones off from each other.
func (f Fault) Separates(a, b string) bool {
	return a != b && (f.Zone == "" || f.Zone == a || f.Zone == b)
}

// Affected selects the servers that a fault is about.
func (f Fault) Affected(servers []emulator.ServerSpec) (all []emulator.ServerSpec) {
	for _, server := range servers {
		if f.Zone == "" || server.Zone == f.Zone {
			all = append(all, server)
		}
	}
	if f.Kind != Errors {
		all = all[:int(math.Ceil(f.fraction()*float64(len(all))))]
	}
	return all
}
