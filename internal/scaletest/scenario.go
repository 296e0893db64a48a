package scaletest

import (
	"embed"
	"slices"
	"strings"
	"time"

	"sloerail/internal/scenario"
	"sloerail/internal/simulation"
)

// Dimension is the quantity that grows in a scenario while all others are fixed.
type Dimension string

// The dimensions that are measured.
const (
	Servers Dimension = "servers" // in a node's list
	Tenants Dimension = "tenants" // in a node's configuration
	Nodes   Dimension = "nodes"   // that watch a registry
	Changes Dimension = "changes" // of the list, in changes a minute
)

// NotMeasured lists the dimensions that can't be measured yet.
var NotMeasured = []Dimension{"services", "routes", "restarts", "requests", "members"}

var measuredDimensions = append([]Dimension{Servers, Tenants, Nodes, Changes}, realDimensions()...)

// Bounds of a scenario.
const (
	minSizes            = 5 // needed to fit a law
	maxSizes            = 16
	maxRuns             = 20
	maxScenarioDuration = time.Hour

	maxFixedRequests = 100_000   // requests a second at one node
	maxTenants       = 1_000_000 // if the machine's memory allows it
	maxServers       = 1_000_000 // if the machine's memory allows it
	maxWatchers      = 4000      // of a registry, all with sockets of this process
	maxInstances     = 10_000    // servers in a registry, except for dimensions whose node has a scope
	maxChangeRate    = 60_000    // changes a minute
)

// Scenario describes which dimension is measured, and at which sizes.
type Scenario struct {
	Name        string              `toml:"name" json:"name"`
	What        string              `toml:"what" json:"what"`
	Dimension   Dimension           `toml:"dimension" json:"dimension"`
	Sizes       []int               `toml:"sizes" json:"sizes"`
	Runs        int                 `toml:"runs" json:"runs"`
	Seed        uint64              `toml:"seed" json:"seed"`
	MaxDuration simulation.Duration `toml:"for" json:"for"`   // time limit of the whole scenario
	Span        simulation.Duration `toml:"span" json:"span"` // measured time of a point; with a fault, before it and after it
	Fixed       FixedSizes          `toml:"held" json:"held"`
	Replicas    int                 `toml:"replicas" json:"replicas"` // of the registry; 0 means 1
	Fault       Fault               `toml:"fault" json:"fault"`       // of the registry; empty means none
	Outage      simulation.Duration `toml:"away" json:"away"`         // how long the replicas are down, for ReplicasDown
	Target      float64             `toml:"target" json:"target"`     // size to which laws are extrapolated; 0 means none
	Budgets     []Limit             `toml:"budgets" json:"budgets"`
}

// FixedSizes holds the sizes of the dimensions that don't grow. The size of the scenario's own dimension is ignored.
type FixedSizes struct {
	Servers  int     `toml:"servers" json:"servers"`
	Tenants  int     `toml:"tenants" json:"tenants"`
	Nodes    int     `toml:"nodes" json:"nodes"`       // nodes that share the tenants' quotas; for dimension Changes, also the nodes that run
	Requests float64 `toml:"requests" json:"requests"` // requests a second at one node
	Changes  float64 `toml:"changes" json:"changes"`   // changes of the list a minute
}

// Limit is the budget of a measure: the largest value allowed at the target size.
type Limit struct {
	Measure string  `toml:"measure" json:"measure"`
	Max     float64 `toml:"most" json:"most"`
}

//go:embed scenarios/*.toml
var shipped embed.FS

// library holds the scenarios that are built into the program.
var library = scenario.Library{Files: shipped}

// BuiltinNames returns the names of the scenarios that are built into the program.
func BuiltinNames() []string { return library.Names() }

// Read reads a built-in scenario by its name, or a scenario file by its path.
func Read(name string) (Scenario, error) {
	if slices.Contains(NotMeasured, Dimension(name)) {
		return Scenario{}, errNotMeasured(Dimension(name))
	}
	return scenario.Read(library, name, Parse)
}

// Parse decodes and checks a scenario. Unknown keys are errors, because a scenario with a misspelt key would measure
// something else.
func Parse(raw []byte) (Scenario, error) {
	var s Scenario
	if err := scenario.Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.Check()
}

func dimensionNames() string {
	var all []string
	for _, d := range measuredDimensions {
		all = append(all, string(d))
	}
	return strings.Join(all, ", ")
}

// needsSpan reports whether points are measured over the scenario's span. Those of dimensions Servers and Tenants aren't.
func (s *Scenario) needsSpan() bool { return s.watchesRegistry() || s.isReal() }

// watchesRegistry reports whether the scenario's nodes watch a registry.
func (s *Scenario) watchesRegistry() bool { return s.Dimension == Nodes || s.Dimension == Changes }

// isReal reports whether the scenario measures the shipped programs in processes of their own.
func (s *Scenario) isReal() bool {
	_, found := realDimension(s.Dimension)
	return found
}

// At returns the scenario's fixed sizes, with its own dimension set to size unless that is a dimension of real processes.
func (s *Scenario) At(size int) FixedSizes {
	fixed := s.Fixed
	switch s.Dimension {
	case Servers:
		fixed.Servers = size
	case Tenants:
		fixed.Tenants = size
	case Nodes:
		fixed.Nodes = size
	case Changes:
		fixed.Changes = float64(size)
	}
	return fixed
}
