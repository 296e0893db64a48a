// Package simulation runs scenarios of nodes, servers and clients in virtual time, measures their outcomes, and compares
// two builds of the sloerail program by these outcomes. Servers, clients and the checker come from internal/emulator; each
// node is a policy.Balancer. The package is not linked into the node program.
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

// Duration is a time.Duration that files hold as a string such as "2.5s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(text))
	return err
}

// MarshalText formats a duration for UnmarshalText.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Scenario describes a fleet and its faults. All else, such as the classes, has values in the middle of the ranges that
// the operators' documentation gives.
type Scenario struct {
	Name        string         `toml:"name"`
	Description string         `toml:"what"`
	Length      Duration       `toml:"for"`
	Rate        float64        `toml:"rate"`    // requests per second per node, from the clients of its zone
	WorkScale   float64        `toml:"work"`    // multiplies the work of the classes; the default is 1
	Topology    bool           `toml:"places"`  // nodes know the region of each zone, and evaluate zones
	Quota       float64        `toml:"quota"`   // total requests per second of all tenants; the default is ten times the total rate
	Reports     *bool          `toml:"reports"` // servers send load reports; the default is true
	Zones       []Zone         `toml:"zones"`
	Faults      []Fault        `toml:"faults"`
	Bindings    []ClassBinding `toml:"bound"`
}

// Zone describes a zone, with its numbers of servers and nodes.
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
var builtinFiles embed.FS

// builtin is the library of built-in scenarios.
var builtin = scenario.Library{Files: builtinFiles}

// BuiltinNames returns the names of the built-in scenarios.
func BuiltinNames() []string { return builtin.Names() }

// Read reads a built-in scenario by its name, or a scenario file by its path.
func Read(name string) (Scenario, error) { return scenario.Read(builtin, name, Parse) }

// Parse parses a scenario and checks it with Check. Unknown keys are errors, because ignoring a misspelt key would
// run a different scenario than the file intends.
func Parse(raw []byte) (Scenario, error) {
	s := Scenario{WorkScale: 1}
	if err := scenario.Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.Check()
}

// Bounds of a scenario, and the number of servers in a cell.
const (
	maxNodes       = 400 // in all zones
	maxServers     = 400 // in all zones
	maxDuration    = time.Hour
	maxRate        = 1e5 // requests per second per node
	maxWorkScale   = 1e3
	serversPerCell = 4
)

// Check returns an error that names the first invalid key among zones, for, rate, work and faults. The other keys, such
// as quota, places and bound, are not checked.
func (s *Scenario) Check() error {
	zones, err := checkZones(s.Zones)
	switch {
	case err != nil:
		return err
	case s.Length.Duration <= 0 || s.Length.Duration > maxDuration:
		return fmt.Errorf("for: want more than 0 and up to %v, got %v", maxDuration, s.Length)
	case !(s.Rate > 0) || s.Rate > maxRate:
		return fmt.Errorf("rate: want more than 0 and up to 1e5, got %v", s.Rate)
	case !(s.WorkScale > 0) || s.WorkScale > maxWorkScale:
		return fmt.Errorf("work: want more than 0 and up to 1e3, got %v", s.WorkScale)
	}
	for i, f := range s.Faults {
		if err := f.check(zones); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return nil
}

// checkZones checks the zones and returns their names.
func checkZones(zones []Zone) (names []string, err error) {
	nodes, servers := 0, 0
	for i, z := range zones {
		if z.Name == "" || slices.Contains(names, z.Name) {
			return nil, fmt.Errorf("zones[%d].name: missing or used by another zone", i)
		}
		if z.Nodes < 0 || z.Servers < 0 {
			return nil, fmt.Errorf("zones[%d]: nodes, boxes: want 0 or more", i)
		}
		names, nodes, servers = append(names, z.Name), nodes+z.Nodes, servers+z.Servers
	}
	if nodes < 1 || nodes > maxNodes {
		return nil, fmt.Errorf("zones: want 1 to %d nodes in total, got %d", maxNodes, nodes)
	}
	if servers < 1 || servers > maxServers {
		return nil, fmt.Errorf("zones: want 1 to %d boxes in total, got %d", maxServers, servers)
	}
	return names, nil
}

// ServerSpecs returns the servers of a scenario. The seed determines their speeds.
func (s Scenario) ServerSpecs(seed uint64) (specs []emulator.ServerSpec) {
	rng := rand.New(rand.NewPCG(seed, 0xb0e5))
	for zone, z := range s.Zones {
		for i := range z.Servers {
			spec := emulator.DefaultServer(fmt.Sprintf("%s-%02d", z.Name, i), z.Name)
			spec.Cell = int64(100*zone + i/serversPerCell)
			if i%5 == 1 || i%5 == 3 { // 2 of 5 servers in each zone
				spec.Kind, spec.Cores, spec.MaxRequests = "small-box", 5, 56
				spec.Speed = 0.77 + 0.23*rng.Float64()
			} else {
				spec.Speed = 1.5 + 0.6*rng.Float64()
			}
			specs = append(specs, spec)
		}
	}
	return specs
}

// Tenants returns the tenants, which are the same in all scenarios.
func (s Scenario) Tenants() []emulator.Tenant {
	return []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
}

// Clients returns the specification of the clients of the given number of nodes. No request starts later than until, a
// time on the clients' clock.
func (s Scenario) Clients(nodes int, until time.Duration) emulator.ClientSpec {
	return emulator.ClientSpec{Rate: s.Rate * float64(nodes), Classes: emulator.Classes(), WorkScale: s.WorkScale, Tenants: s.Tenants(),
		MaxRetries: 3, RetryDelay: 100 * time.Millisecond, Until: until}
}

// quotaPerRate is the default quota of a scenario, as a multiple of its rate. It is high enough to limit no tenant.
const quotaPerRate = 10

// QuotaFor returns the total quota of all tenants, in requests per second, for the given number of nodes.
func (s Scenario) QuotaFor(nodes int) float64 {
	if s.Quota > 0 {
		return s.Quota
	}
	return quotaPerRate * s.Rate * float64(nodes)
}
