package simulation

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"sloerail/internal/emulator"
)

// Fault is a failure or a change of load. It lasts for Length, and may repeat.
type Fault struct {
	At       Duration  `toml:"at"`
	Length   Duration  `toml:"for"` // 0 means until the end of the run
	Kind     FaultKind `toml:"do"`
	Zone     string    `toml:"zone"`  // affected zone; empty means all zones, but no zone for NodesDown
	Fraction float64   `toml:"part"`  // affected fraction of the requests (Errors) or of the servers (other faults of servers); 0 means 1
	Factor   float64   `toml:"times"` // multiplies the service times (Slow) or the request rate (LoadIncrease)

	RepeatEvery Duration `toml:"every"` // time between starts
	Repeats     int      `toml:"count"` // total number of starts; 0 means 1
}

// FaultKind is the kind of a fault, as scenario files name it.
type FaultKind string

// Kinds of fault.
const (
	Crash          FaultKind = "lost"   // servers refuse connections, and return with their old start times, so that they begin no new slow start
	CrashRestart   FaultKind = "cold"   // like Crash, but the servers return as new processes, in slow start
	ConnectTimeout FaultKind = "silent" // connection attempts to servers time out, and responses are lost
	ResponseLost   FaultKind = "mute"   // requests reach servers, but responses are lost
	Partition      FaultKind = "apart"  // a zone is cut off from the others, in both directions; without a zone, all zones are cut off from each other
	Errors         FaultKind = "errors" // a fraction of the requests fails immediately
	Slow           FaultKind = "slow"   // servers are several times slower
	Unlisted       FaultKind = "vanish" // servers are removed from the list, but keep running
	Drain          FaultKind = "drain"  // servers drain, are removed from the list, and return as new processes
	NodesDown      FaultKind = "nodes"  // nodes are killed
	LoadIncrease   FaultKind = "load"   // clients send requests at a multiple of their rate
)

var faultKinds = []FaultKind{Crash, CrashRestart, ConnectTimeout, ResponseLost, Partition, Errors, Slow, Unlisted, Drain, NodesDown, LoadIncrease}

// check returns an error that names the first invalid key, given the names of the scenario's zones.
func (f Fault) check(zones []string) error {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return fmt.Errorf("do: unknown kind of fault %q", f.Kind)
	case f.Zone != "" && !slices.Contains(zones, f.Zone):
		return fmt.Errorf("zone: unknown zone %q", f.Zone)
	}
	if err := f.checkTimes(); err != nil {
		return err
	}
	switch {
	case f.Fraction < 0 || f.Fraction > 1:
		return fmt.Errorf("part: want 0 to 1, got %v", f.Fraction)
	case f.Factor < 0 || (f.Kind == Slow || f.Kind == LoadIncrease) && f.Factor == 0:
		return fmt.Errorf("times: want 0 or more, and more than 0 for slow and load; got %v", f.Factor)
	}
	return nil
}

func (f Fault) checkTimes() error {
	if f.At.Duration < 0 || f.Length.Duration < 0 {
		return errors.New("at, for: want durations of 0 or more")
	}
	if f.RepeatEvery.Duration < 0 || f.Repeats < 0 || f.Repeats > 1 && f.RepeatEvery.Duration <= f.Length.Duration {
		return errors.New("every, count: want 0 or more; with a count above 1, want every > for")
	}
	return nil
}

// fraction returns Fraction, or 1 if it is absent.
func (f Fault) fraction() float64 {
	if f.Fraction == 0 {
		return 1
	}
	return f.Fraction
}

// StartTimes returns the times at which the fault starts, relative to the start of the scenario.
func (f Fault) StartTimes() (times []time.Duration) {
	for i := range max(1, f.Repeats) {
		times = append(times, f.At.Duration+time.Duration(i)*f.RepeatEvery.Duration)
	}
	return times
}

// Describe returns the text of the timeline entry for the start or the end of the fault.
func (f Fault) Describe(on bool) string {
	if on {
		return fmt.Sprintf("%s %s begins", f.Kind, f.Zone)
	}
	return fmt.Sprintf("%s %s ends", f.Kind, f.Zone)
}

// ApplyTo starts or ends a fault of kind Errors or Slow in a server. For other kinds it does nothing.
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

// Separates reports whether a Partition cuts two zones off from each other.
func (f Fault) Separates(a, b string) bool {
	return a != b && (f.Zone == "" || f.Zone == a || f.Zone == b)
}

// Affected returns the servers that the fault affects. For Errors these are all servers of the zone, because Fraction is
// then a fraction of the requests. For other kinds they are the first of these servers: Fraction of their number, rounded up.
func (f Fault) Affected(servers []emulator.ServerSpec) (affected []emulator.ServerSpec) {
	for _, server := range servers {
		if f.Zone == "" || server.Zone == f.Zone {
			affected = append(affected, server)
		}
	}
	if f.Kind != Errors {
		affected = affected[:int(math.Ceil(f.fraction()*float64(len(affected))))]
	}
	return affected
}
