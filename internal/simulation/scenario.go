// Package simulation asks questions of the decision module: a world of nodes, servers and clients in virtual time,
// scenarios for it, and paired comparisons with their statistics. The servers, clients and the checker are those of
// internal/emulator; the module is called as it ships. Nothing here is linked into a node.
package simulation

import (
	"embed"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/scenario"
)

// Duration is a time.Duration that a file writes as "2.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads what a file says.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Scenario is a world and what goes wrong in it. Figures that are absent are the operators' middle ones.
type Scenario struct {
	Name        string         `toml:"name"`
	Description string         `toml:"what"`
	Length      Duration       `toml:"for"`
	Rate        float64        `toml:"rate"`    // first tries a second near each node
	WorkScale   float64        `toml:"work"`    // scale of the work of the classes; 1 unless given
	Topology    bool           `toml:"places"`  // the nodes are told the regions, and judge places
	Quota       float64        `toml:"quota"`   // requests a second of all tenants; ten times the rate unless given
	Reports     *bool          `toml:"reports"` // servers tell their load; true unless given
	Zones       []Zone         `toml:"zones"`
	Faults      []Fault        `toml:"faults"`
	Bindings    []ClassBinding `toml:"bound"`
}

// Zone is a zone with what stands in it.
type Zone struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Servers int    `toml:"boxes"`
	Nodes   int    `toml:"nodes"`
}

// ClassBinding holds a class to regions or zones.
type ClassBinding struct {
	Class   string   `toml:"class"`
	Regions []string `toml:"regions"`
	Zones   []string `toml:"zones"`
}

// Fault is something that goes wrong for a time.
type Fault struct {
	At       Duration  `toml:"at"`
	Length   Duration  `toml:"for"`
	Kind     FaultKind `toml:"do"`
	Zone     string    `toml:"zone"`  // whose servers or nodes; empty for all zones
	Fraction float64   `toml:"part"`  // of the requests that fail, or of the servers that are affected; 1 unless given
	Factor   float64   `toml:"times"` // slower, or more load

	RepeatEvery Duration `toml:"every"` // it begins again after this
	Repeats     int      `toml:"count"` // so often in all; 1 unless given
}

// FaultKind names what goes wrong.
type FaultKind string

// The faults.
const (
	Crash          FaultKind = "lost"   // the servers are gone: connections are refused; they return warm
	CrashRestart   FaultKind = "cold"   // the same, and they return as new processes, cold
	ConnectTimeout FaultKind = "silent" // nothing reaches the servers: connections don't come up
	ResponseLost   FaultKind = "mute"   // requests reach them, and no answer comes back
	Partition      FaultKind = "apart"  // the zone is cut off from the others, both ways
	Errors         FaultKind = "errors" // a part of the requests fails fast
	Slow           FaultKind = "slow"   // servers take several times as long
	Unlisted       FaultKind = "vanish" // the list lacks the servers, which run on
	Drain          FaultKind = "drain"  // the list drains the servers and then lacks them; they return cold
	NodesDown      FaultKind = "nodes"  // the nodes of the zone are gone
	LoadIncrease   FaultKind = "load"   // the clients of the zone, or all, ask several times as much
)

var faultKinds = []FaultKind{Crash, CrashRestart, ConnectTimeout, ResponseLost, Partition, Errors, Slow, Unlisted, Drain, NodesDown, LoadIncrease}

//go:embed scenarios/*.toml
var shipped embed.FS

// library holds the scenarios that come with the program.
var library = scenario.Library{Files: shipped}

// Shipped are the names of the scenarios that come with the program.
func Shipped() []string { return library.Names() }

// Read reads a scenario: one that comes with the program by its name, or a file.
func Read(name string) (Scenario, error) { return scenario.Read(library, name, Parse) }

// Parse reads a scenario strictly: a key that is misspelt would play another one.
func Parse(raw []byte) (Scenario, error) {
	s := Scenario{WorkScale: 1}
	if err := scenario.Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.Check()
}

const (
	maxNodes    = 400
	maxServers  = 400
	maxDuration = time.Hour
)

// Check says what makes no sense.
func (s *Scenario) Check() error {
	zones, err := checkZones(s.Zones)
	switch {
	case err != nil:
		return err
	case s.Length.Duration <= 0 || s.Length.Duration > maxDuration:
		return fmt.Errorf("for: want up to %v, got %v", maxDuration, s.Length)
	case !(s.Rate > 0) || s.Rate > 1e5:
		return fmt.Errorf("rate: want more than 0, got %v", s.Rate)
	case !(s.WorkScale > 0) || s.WorkScale > 1e3:
		return fmt.Errorf("work: want more than 0, got %v", s.WorkScale)
	}
	for i, f := range s.Faults {
		if err := f.check(zones); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return nil
}

// checkZones returns the names of the zones.
func checkZones(zones []Zone) (names []string, err error) {
	nodes, boxes := 0, 0
	for i, z := range zones {
		if z.Name == "" || slices.Contains(names, z.Name) {
			return nil, fmt.Errorf("zones[%d].name: missing or named twice", i)
		}
		if z.Nodes < 0 || z.Servers < 0 {
			return nil, fmt.Errorf("zones[%d]: nodes and boxes: want 0 or more", i)
		}
		names, nodes, boxes = append(names, z.Name), nodes+z.Nodes, boxes+z.Servers
	}
	if nodes < 1 || nodes > maxNodes {
		return nil, fmt.Errorf("zones: want 1 to %d nodes in all, got %d", maxNodes, nodes)
	}
	if boxes < 1 || boxes > maxServers {
		return nil, fmt.Errorf("zones: want 1 to %d boxes in all, got %d", maxServers, boxes)
	}
	return names, nil
}

func (f Fault) check(zones []string) error {
	switch {
	case !slices.Contains(faultKinds, f.Kind):
		return fmt.Errorf("do: unknown trouble %q", f.Kind)
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

// fraction is what is affected.
func (f Fault) fraction() float64 {
	if f.Fraction == 0 {
		return 1
	}
	return f.Fraction
}

// ServerSpecs are the servers of a scenario, their speeds drawn from a seed.
func (s Scenario) ServerSpecs(seed uint64) (all []emulator.ServerSpec) {
	rng := rand.New(rand.NewPCG(seed, 0xb0e5))
	for at, z := range s.Zones {
		for i := range z.Servers {
			spec := emulator.DefaultServer(fmt.Sprintf("%s-%02d", z.Name, i), z.Name)
			spec.Cell = int64(100*at + i/4)
			if i%5 == 1 || i%5 == 3 { // two in five, in every zone
				spec.Kind, spec.Cores, spec.MaxRequests = "small-box", 5, 56
				spec.Speed = 0.77 + 0.23*rng.Float64()
			} else {
				spec.Speed = 1.5 + 0.6*rng.Float64()
			}
			all = append(all, spec)
		}
	}
	return all
}

// StartTimes are when a fault begins, counted from the scenario's begin.
func (f Fault) StartTimes() (all []time.Duration) {
	for i := range max(1, f.Repeats) {
		all = append(all, f.At.Duration+time.Duration(i)*f.RepeatEvery.Duration)
	}
	return all
}

// Describe is what is booked of a fault's begin, or its end.
func (f Fault) Describe(on bool) string {
	if on {
		return fmt.Sprintf("%s %s begins", f.Kind, f.Zone)
	}
	return fmt.Sprintf("%s %s ends", f.Kind, f.Zone)
}

// ApplyTo makes a server that is affected fail or slow, or ends that; other faults don't.
func (f Fault) ApplyTo(b *emulator.ServerFault, on bool) {
	switch f.Kind {
	case Errors:
		if b.ErrorFraction = 0; on {
			b.ErrorFraction = f.fraction()
		}
	case Slow:
		if b.Slowdown = 0; on {
			b.Slowdown = f.Factor
		}
	}
}

// Separates tells whether a fault that cuts zones off cuts the way between two of them.
func (f Fault) Separates(a, b string) bool {
	return a != b && (f.Zone == "" || f.Zone == a || f.Zone == b)
}

// Tenants are those of all scenarios.
func (s Scenario) Tenants() []emulator.Tenant {
	return []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
}

// Clients are those near so many nodes, who ask until a time.
func (s Scenario) Clients(nodes int, until time.Duration) emulator.ClientSpec {
	return emulator.ClientSpec{Rate: s.Rate * float64(nodes), Classes: emulator.Classes(), WorkScale: s.WorkScale, Tenants: s.Tenants(),
		MaxRetries: 3, RetryDelay: 100 * time.Millisecond, Until: until}
}

// QuotaFor is the quota of all tenants over so many nodes.
func (s Scenario) QuotaFor(nodes int) float64 {
	if s.Quota > 0 {
		return s.Quota
	}
	return 10 * s.Rate * float64(nodes)
}

// Affected are those of the servers that a fault is about.
func (f Fault) Affected(boxes []emulator.ServerSpec) (all []emulator.ServerSpec) {
	for _, b := range boxes {
		if f.Zone == "" || b.Zone == f.Zone {
			all = append(all, b)
		}
	}
	if f.Kind != Errors {
		all = all[:int(math.Ceil(f.fraction()*float64(len(all))))]
	}
	return all
}
