// Package simulation plays scenarios of nodes, servers and clients in virtual time, measures their outcomes, and compares
// two programs by them. Servers, clients and the checker are those of internal/emulator; nodes are instances of package
// policy. Nothing here is linked into a node.
package simulation

import (
	"embed"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/scenario"
)

// Duration is a time.Duration that a file spells as "2.5s".
type Duration struct{ time.Duration }

// UnmarshalText reads a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Scenario describes a fleet and the faults in it. Absent keys are the middle of the operators' ranges.
type Scenario struct {
	Name        string         `toml:"name"`
	Description string         `toml:"what"`
	Length      Duration       `toml:"for"`
	Rate        float64        `toml:"rate"`    // requests a second near each node
	WorkScale   float64        `toml:"work"`    // multiplies the work of the classes; 1 unless given
	Topology    bool           `toml:"places"`  // the nodes have the regions, and evaluate zones
	Quota       float64        `toml:"quota"`   // requests a second of all tenants; ten times the rate unless given
	Reports     *bool          `toml:"reports"` // servers send load reports; true unless given
	Zones       []Zone         `toml:"zones"`
	Faults      []Fault        `toml:"faults"`
	Bindings    []ClassBinding `toml:"bound"`
}

// Zone is a zone with its servers and nodes.
type Zone struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Servers int    `toml:"boxes"`
	Nodes   int    `toml:"nodes"`
}

// ClassBinding restricts a class to regions or zones.
type ClassBinding struct {
	Class   string   `toml:"class"`
	Regions []string `toml:"regions"`
	Zones   []string `toml:"zones"`
}

//go:embed scenarios/*.toml
var shipped embed.FS

// library holds the scenarios that come with the program.
var library = scenario.Library{Files: shipped}

// Shipped are the names of the scenarios that come with the program.
func Shipped() []string { return library.Names() }

// Read reads a scenario: one that comes with the program by its name, or a file.
func Read(name string) (Scenario, error) { return scenario.Read(library, name, Parse) }

// Parse reads a scenario. Unknown keys are errors, because a misspelt one would play another scenario.
func Parse(raw []byte) (Scenario, error) {
	s := Scenario{WorkScale: 1}
	if err := scenario.Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.Check()
}

// Bounds of a scenario.
const (
	maxNodes      = 400 // in all zones
	maxServers    = 400 // in all zones
	maxDuration   = time.Hour
	maxRate       = 1e5 // requests a second near each node
	maxWorkScale  = 1e3
	serversOfCell = 4
)

// Check returns an error that names the first key that is invalid.
func (s *Scenario) Check() error {
	zones, err := checkZones(s.Zones)
	switch {
	case err != nil:
		return err
	case s.Length.Duration <= 0 || s.Length.Duration > maxDuration:
		return fmt.Errorf("for: want up to %v, got %v", maxDuration, s.Length)
	case !(s.Rate > 0) || s.Rate > maxRate:
		return fmt.Errorf("rate: want more than 0, got %v", s.Rate)
	case !(s.WorkScale > 0) || s.WorkScale > maxWorkScale:
		return fmt.Errorf("work: want more than 0, got %v", s.WorkScale)
	}
	for i, f := range s.Faults {
		if err := f.check(zones); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return nil
}

// checkZones checks the zones, and returns their names.
func checkZones(zones []Zone) (names []string, err error) {
	nodes, servers := 0, 0
	for i, z := range zones {
		if z.Name == "" || slices.Contains(names, z.Name) {
			return nil, fmt.Errorf("zones[%d].name: missing or named twice", i)
		}
		if z.Nodes < 0 || z.Servers < 0 {
			return nil, fmt.Errorf("zones[%d]: nodes and boxes: want 0 or more", i)
		}
		names, nodes, servers = append(names, z.Name), nodes+z.Nodes, servers+z.Servers
	}
	if nodes < 1 || nodes > maxNodes {
		return nil, fmt.Errorf("zones: want 1 to %d nodes in all, got %d", maxNodes, nodes)
	}
	if servers < 1 || servers > maxServers {
		return nil, fmt.Errorf("zones: want 1 to %d boxes in all, got %d", maxServers, servers)
	}
	return names, nil
}

// ServerSpecs are the servers of a scenario, with speeds drawn from a seed.
func (s Scenario) ServerSpecs(seed uint64) (all []emulator.ServerSpec) {
	rng := rand.New(rand.NewPCG(seed, 0xb0e5))
	for zone, z := range s.Zones {
		for i := range z.Servers {
			spec := emulator.DefaultServer(fmt.Sprintf("%s-%02d", z.Name, i), z.Name)
			spec.Cell = int64(100*zone + i/serversOfCell)
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

// Tenants are the same in all scenarios.
func (s Scenario) Tenants() []emulator.Tenant {
	return []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
}

// Clients are those near so many nodes, whose requests begin until a time.
func (s Scenario) Clients(nodes int, until time.Duration) emulator.ClientSpec {
	return emulator.ClientSpec{Rate: s.Rate * float64(nodes), Classes: emulator.Classes(), WorkScale: s.WorkScale, Tenants: s.Tenants(),
		MaxRetries: 3, RetryDelay: 100 * time.Millisecond, Until: until}
}

// quotaPerRate is the quota of a scenario that gives none, as a multiple of its rate: no tenant is limited by it.
const quotaPerRate = 10

// QuotaFor is the quota of all tenants over so many nodes.
func (s Scenario) QuotaFor(nodes int) float64 {
	if s.Quota > 0 {
		return s.Quota
	}
	return quotaPerRate * s.Rate * float64(nodes)
}
