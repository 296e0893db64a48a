// Package lab asks questions of the decision module: a world of nodes, app boxes and clients in virtual time,
// scenarios for it, and paired comparisons with their statistics. The boxes, clients and the judge are those of
// internal/emulator; the module is called as it ships. Nothing here is linked into a node.
package lab

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloerail/internal/emulator"
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
	Name    string   `toml:"name"`
	What    string   `toml:"what"`
	For     Duration `toml:"for"`
	Rate    float64  `toml:"rate"`    // first tries a second near each node
	Work    float64  `toml:"work"`    // scale of the work of the classes; 1 unless given
	Places  bool     `toml:"places"`  // the nodes are told the regions, and judge places
	Quota   float64  `toml:"quota"`   // requests a second of all tenants; ten times the rate unless given
	Reports *bool    `toml:"reports"` // servers tell their load; true unless given
	Zones   []Zone   `toml:"zones"`
	Faults  []Fault  `toml:"faults"`
	Bound   []Bound  `toml:"bound"`
}

// Zone is a zone with what stands in it.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Boxes  int    `toml:"boxes"`
	Nodes  int    `toml:"nodes"`
}

// Bound holds a class to regions or zones.
type Bound struct {
	Class   string   `toml:"class"`
	Regions []string `toml:"regions"`
	Zones   []string `toml:"zones"`
}

// Fault is something that goes wrong for a time.
type Fault struct {
	At   Duration `toml:"at"`
	For  Duration `toml:"for"`
	Do   Trouble  `toml:"do"`
	Zone string   `toml:"zone"`  // whose boxes or nodes; empty for all zones
	Part float64  `toml:"part"`  // of the requests that fail, or of the boxes that are struck; 1 unless given
	By   float64  `toml:"times"` // slower, or more load

	Every Duration `toml:"every"` // it begins again after this
	Count int      `toml:"count"` // so often in all; 1 unless given
}

// Trouble names what goes wrong.
type Trouble string

// The troubles.
const (
	Lost   Trouble = "lost"   // the boxes are gone: connections are refused; they return warm
	Cold   Trouble = "cold"   // the same, and they return as new processes, cold
	Silent Trouble = "silent" // nothing reaches the boxes: connections don't come up
	Mute   Trouble = "mute"   // requests reach them, and no answer comes back
	Apart  Trouble = "apart"  // the zone is cut off from the others, both ways
	Errors Trouble = "errors" // a part of the requests fails fast
	Slow   Trouble = "slow"   // boxes take several times as long
	Vanish Trouble = "vanish" // the list lacks the boxes, which run on
	Drain  Trouble = "drain"  // the list drains the boxes and then lacks them; they return cold
	Nodes  Trouble = "nodes"  // the nodes of the zone are gone
	Load   Trouble = "load"   // the clients of the zone, or all, ask several times as much
)

var troubles = []Trouble{Lost, Cold, Silent, Mute, Apart, Errors, Slow, Vanish, Drain, Nodes, Load}

//go:embed scenarios/*.toml
var shipped embed.FS

// Shipped are the names of the scenarios that come with the program.
func Shipped() (all []string) {
	files, err := fs.Glob(shipped, "scenarios/*.toml")
	if err != nil { // the pattern is fixed
		panic(err)
	}
	for _, f := range files {
		all = append(all, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return all
}

// Read reads a scenario: one that comes with the program by its name, or a file.
func Read(name string) (Scenario, error) {
	raw, err := shipped.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if raw, err = os.ReadFile(name); errors.Is(err, fs.ErrNotExist) {
			return Scenario{}, fmt.Errorf("scenario %q: no such file, nor one of %s", name, strings.Join(Shipped(), ", "))
		}
	}
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %q: %w", name, err)
	}
	s, err := Parse(raw)
	if err != nil {
		return Scenario{}, fmt.Errorf("scenario %q: %w", name, err)
	}
	return s, nil
}

// Parse reads a scenario strictly: a key that is misspelt would play another one.
func Parse(raw []byte) (Scenario, error) {
	s := Scenario{Work: 1}
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		if strict := (*toml.StrictMissingError)(nil); errors.As(err, &strict) {
			return Scenario{}, fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
		}
		return Scenario{}, err
	}
	return s, s.Check()
}

const (
	mostNodes = 400
	mostBoxes = 400
	longest   = time.Hour
)

// Check says what makes no sense.
func (s *Scenario) Check() error {
	zones, err := checkZones(s.Zones)
	switch {
	case err != nil:
		return err
	case s.For.Duration <= 0 || s.For.Duration > longest:
		return fmt.Errorf("for: want up to %v, got %v", longest, s.For)
	case !(s.Rate > 0) || s.Rate > 1e5:
		return fmt.Errorf("rate: want more than 0, got %v", s.Rate)
	case !(s.Work > 0) || s.Work > 1e3:
		return fmt.Errorf("work: want more than 0, got %v", s.Work)
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
		if z.Nodes < 0 || z.Boxes < 0 {
			return nil, fmt.Errorf("zones[%d]: nodes and boxes: want 0 or more", i)
		}
		names, nodes, boxes = append(names, z.Name), nodes+z.Nodes, boxes+z.Boxes
	}
	if nodes < 1 || nodes > mostNodes {
		return nil, fmt.Errorf("zones: want 1 to %d nodes in all, got %d", mostNodes, nodes)
	}
	if boxes < 1 || boxes > mostBoxes {
		return nil, fmt.Errorf("zones: want 1 to %d boxes in all, got %d", mostBoxes, boxes)
	}
	return names, nil
}

func (f Fault) check(zones []string) error {
	switch {
	case !slices.Contains(troubles, f.Do):
		return fmt.Errorf("do: unknown trouble %q", f.Do)
	case f.Zone != "" && !slices.Contains(zones, f.Zone):
		return fmt.Errorf("zone: there is no zone %q", f.Zone)
	}
	if err := f.checkTimes(); err != nil {
		return err
	}
	switch {
	case f.Part < 0 || f.Part > 1:
		return fmt.Errorf("part: want 0 to 1, got %v", f.Part)
	case f.By < 0 || (f.Do == Slow || f.Do == Load) && f.By == 0:
		return fmt.Errorf("times: want more than 0, got %v", f.By)
	}
	return nil
}

func (f Fault) checkTimes() error {
	if f.At.Duration < 0 || f.For.Duration < 0 {
		return errors.New("at, for: want 0 or more")
	}
	if f.Every.Duration < 0 || f.Count < 0 || f.Count > 1 && f.Every.Duration <= f.For.Duration {
		return errors.New("every, count: want a time longer than for, and 0 or more")
	}
	return nil
}

// part is what is struck.
func (f Fault) part() float64 {
	if f.Part == 0 {
		return 1
	}
	return f.Part
}

// Specs are the boxes of a scenario, their speeds drawn from a seed.
func (s Scenario) Specs(seed uint64) (all []emulator.BoxSpec) {
	rng := rand.New(rand.NewPCG(seed, 0xb0e5))
	for at, z := range s.Zones {
		for i := range z.Boxes {
			spec := emulator.DefaultBox(fmt.Sprintf("%s-%02d", z.Name, i), z.Name)
			spec.Cell = int64(100*at + i/4)
			if i%5 == 1 || i%5 == 3 { // two in five, in every zone
				spec.Kind, spec.Cores, spec.Room = "small-box", 5, 56
				spec.Speed = 0.77 + 0.23*rng.Float64()
			} else {
				spec.Speed = 1.5 + 0.6*rng.Float64()
			}
			all = append(all, spec)
		}
	}
	return all
}

// Begins are when a fault begins, counted from the scenario's begin.
func (f Fault) Begins() (all []time.Duration) {
	for i := range max(1, f.Count) {
		all = append(all, f.At.Duration+time.Duration(i)*f.Every.Duration)
	}
	return all
}

// Says is what is booked of a fault's begin, or its end.
func (f Fault) Says(on bool) string {
	if on {
		return fmt.Sprintf("%s %s begins", f.Do, f.Zone)
	}
	return fmt.Sprintf("%s %s ends", f.Do, f.Zone)
}

// Hurt makes a box that is struck fail or slow, or ends that; other troubles don't.
func (f Fault) Hurt(b *emulator.BoxFault, on bool) {
	switch f.Do {
	case Errors:
		if b.Errors = 0; on {
			b.Errors = f.part()
		}
	case Slow:
		if b.Slow = 0; on {
			b.Slow = f.By
		}
	}
}

// Parts tells whether a fault that cuts zones off cuts the way between two of them.
func (f Fault) Parts(a, b string) bool { return a != b && (f.Zone == "" || f.Zone == a || f.Zone == b) }

// Tenants are those of all scenarios.
func (s Scenario) Tenants() []emulator.Tenant {
	return []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
}

// Clients are those near so many nodes, who ask until a time.
func (s Scenario) Clients(nodes int, until time.Duration) emulator.ClientSpec {
	return emulator.ClientSpec{Rate: s.Rate * float64(nodes), Classes: emulator.Classes(), Work: s.Work, Tenants: s.Tenants(),
		Tries: 3, Wait: 100 * time.Millisecond, Until: until}
}

// QuotaOver is the quota of all tenants over so many nodes.
func (s Scenario) QuotaOver(nodes int) float64 {
	if s.Quota > 0 {
		return s.Quota
	}
	return 10 * s.Rate * float64(nodes)
}

// Struck are those of the boxes that a fault is about.
func (f Fault) Struck(boxes []emulator.BoxSpec) (all []emulator.BoxSpec) {
	for _, b := range boxes {
		if f.Zone == "" || b.Zone == f.Zone {
			all = append(all, b)
		}
	}
	if f.Do != Errors {
		all = all[:int(math.Ceil(f.part()*float64(len(all))))]
	}
	return all
}
