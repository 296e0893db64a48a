package scaletest

import (
	"embed"
	"slices"
	"strings"
	"time"

	"sloerail/internal/scenario"
	"sloerail/internal/simulation"
)

// Dimension is what grows in a scenario while all else is fixed.
type Dimension string

// The dimensions that are measured.
const (
	Servers Dimension = "servers" // in the list that a node holds
	Tenants Dimension = "tenants" // in a node's configuration
	Nodes   Dimension = "nodes"   // that watch one replica of a registry
	Changes Dimension = "changes" // of the list, a minute
)

// NotMeasured are the dimensions that can't be measured yet.
var NotMeasured = []Dimension{"services", "routes", "restarts", "requests", "members"}

var measuredDimensions = append([]Dimension{Servers, Tenants, Nodes, Changes}, realDimensions()...)

// Bounds of a scenario.
const (
	minSizes            = 5 // that a law is fitted to
	maxSizes            = 16
	maxRuns             = 20
	maxScenarioDuration = time.Hour

	maxFixedRequests = 100_000   // a second at one node
	maxTenants       = 1_000_000 // where the machine's memory allows it
	maxServers       = 1_000_000 // the same
	maxWatchers      = 4000      // of one replica, with the sockets of this process
	maxInstances     = 10_000    // that a registry accepts
	maxChangeRate    = 60_000    // changes a minute
)

// Scenario describes what is measured, and at which sizes.
type Scenario struct {
	Name        string              `toml:"name" json:"name"`
	What        string              `toml:"what" json:"what"`
	Dimension   Dimension           `toml:"dimension" json:"dimension"`
	Sizes       []int               `toml:"sizes" json:"sizes"`
	Runs        int                 `toml:"runs" json:"runs"`
	Seed        uint64              `toml:"seed" json:"seed"`
	MaxDuration simulation.Duration `toml:"for" json:"for"`   // of the whole scenario, which is stopped then
	Span        simulation.Duration `toml:"span" json:"span"` // of one point, where time has to pass
	Fixed       FixedSizes          `toml:"held" json:"held"`
	Replicas    int                 `toml:"replicas" json:"replicas"` // of the registry; 0 counts as 1
	Fault       Fault               `toml:"fault" json:"fault"`       // of the registry; empty for none
	Outage      simulation.Duration `toml:"away" json:"away"`         // of ReplicasDown
	Target      float64             `toml:"target" json:"target"`     // the size to which laws are extrapolated; 0 for none
	Budgets     []Limit             `toml:"budgets" json:"budgets"`
}

// FixedSizes are the sizes that don't grow. That of the scenario's dimension is ignored.
type FixedSizes struct {
	Servers  int     `toml:"servers" json:"servers"`
	Tenants  int     `toml:"tenants" json:"tenants"`
	Nodes    int     `toml:"nodes" json:"nodes"`       // that share the quotas; of dimension Changes: that run
	Requests float64 `toml:"requests" json:"requests"` // a second at a node
	Changes  float64 `toml:"changes" json:"changes"`   // of the list, a minute
}

// Limit is the most that a measure may be at the target.
type Limit struct {
	Measure string  `toml:"measure" json:"measure"`
	Max     float64 `toml:"most" json:"most"`
}

//go:embed scenarios/*.toml
var shipped embed.FS

// library holds the scenarios that come with the program.
var library = scenario.Library{Files: shipped}

// Shipped are the names of the scenarios that come with the program.
func Shipped() []string { return library.Names() }

// Read reads a scenario: one that comes with the program by its name, or a file.
func Read(name string) (Scenario, error) {
	if slices.Contains(NotMeasured, Dimension(name)) {
		return Scenario{}, errNotMeasured(Dimension(name))
	}
	return scenario.Read(library, name, Parse)
}

// Parse reads a scenario. Unknown keys are errors, because a misspelt one would measure something else.
func Parse(raw []byte) (Scenario, error) {
	var s Scenario
	if err := scenario.Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.Check()
}

func dimensions() string {
	var all []string
	for _, d := range measuredDimensions {
		all = append(all, string(d))
	}
	return strings.Join(all, ", ")
}

// needsSpan tells whether time has to pass at a point.
func (s *Scenario) needsSpan() bool { return s.watchesRegistry() || s.isReal() }

// watchesRegistry tells whether the scenario's nodes watch a registry.
func (s *Scenario) watchesRegistry() bool { return s.Dimension == Nodes || s.Dimension == Changes }

// isReal tells whether the scenario measures the programs as they ship.
func (s *Scenario) isReal() bool {
	_, found := realDimension(s.Dimension)
	return found
}

// At returns the scenario's fixed sizes, with that of its dimension set to size.
func (s *Scenario) At(size int) FixedSizes {
	h := s.Fixed
	switch s.Dimension {
	case Servers:
		h.Servers = size
	case Tenants:
		h.Tenants = size
	case Nodes:
		h.Nodes = size
	case Changes:
		h.Changes = float64(size)
	}
	return h
}
