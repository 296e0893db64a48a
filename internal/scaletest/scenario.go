package scaletest

import (
	"embed"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"sloerail/internal/scenario"
	"sloerail/internal/simulation"
)

// Dimension is what grows in a scenario while all else is held.
type Dimension string

// The dimensions that are measured.
const (
	Servers Dimension = "servers" // in the list that a node holds
	Tenants Dimension = "tenants" // in a node's configuration
	Nodes   Dimension = "nodes"   // that watch one replica of the list service
	Changes Dimension = "changes" // of the list, a minute
)

// NotMeasured are the dimensions of which there is no run yet.
var NotMeasured = []Dimension{"services", "routes", "restarts", "requests", "members"}

var measuredDimensions = append([]Dimension{Servers, Tenants, Nodes, Changes}, realDimensions()...)

const (
	minSizes            = 5 // a slope is claimed of no fewer
	maxSizes            = 16
	maxRuns             = 20
	maxScenarioDuration = time.Hour // that a whole scenario may take

	maxFixedRequests = 100_000   // a second at one node
	maxTenants       = 1_000_000 // a bound on what a scenario may ask for, beside the machine's memory
	maxServers       = 1_000_000
	maxWatchers      = 4000   // that one replica holds, and this process has sockets for
	maxInstances     = 10_000 // that the list service takes
	maxChangeRate    = 60_000 // changes a minute
)

// Scenario says what is measured and at which sizes.
type Scenario struct {
	Name        string              `toml:"name" json:"name"`
	What        string              `toml:"what" json:"what"`
	Dimension   Dimension           `toml:"dimension" json:"dimension"`
	Sizes       []int               `toml:"sizes" json:"sizes"`
	Runs        int                 `toml:"runs" json:"runs"`
	Seed        uint64              `toml:"seed" json:"seed"`
	MaxDuration simulation.Duration `toml:"for" json:"for"`   // the whole scenario takes no longer
	Span        simulation.Duration `toml:"span" json:"span"` // of one point, where time has to pass
	Fixed       FixedSizes          `toml:"held" json:"held"`
	Replicas    int                 `toml:"replicas" json:"replicas"` // of the list service; 0 for 1
	Fault       Fault               `toml:"fault" json:"fault"`       // of the list service; empty for none
	Outage      simulation.Duration `toml:"away" json:"away"`         // how long replicas are away
	Target      float64             `toml:"target" json:"target"`     // the size that the laws are reckoned for
	Budgets     []Limit             `toml:"budgets" json:"budgets"`
}

// FixedSizes are the sizes that don't grow. The one that does is ignored.
type FixedSizes struct {
	Servers  int     `toml:"servers" json:"servers"`
	Tenants  int     `toml:"tenants" json:"tenants"`
	Nodes    int     `toml:"nodes" json:"nodes"`       // among whom quotas are divided; running ones where they watch
	Requests float64 `toml:"requests" json:"requests"` // a second at a node
	Changes  float64 `toml:"changes" json:"changes"`   // of the list, a minute
}

// Limit is what a measure may come to at the target.
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

// Parse reads a scenario strictly: a key that is misspelt would measure something else.
func Parse(raw []byte) (Scenario, error) {
	var s Scenario
	if err := scenario.Decode(raw, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.Check()
}

func errNotMeasured(d Dimension) error {
	return fmt.Errorf("dimension: %s is not measured yet, of the dimensions there are %s", d, dimensions())
}

func dimensions() string {
	var all []string
	for _, d := range measuredDimensions {
		all = append(all, string(d))
	}
	return strings.Join(all, ", ")
}

// Check says which key makes no sense.
func (s *Scenario) Check() error {
	if slices.Contains(NotMeasured, s.Dimension) {
		return errNotMeasured(s.Dimension)
	}
	if !slices.Contains(measuredDimensions, s.Dimension) {
		return fmt.Errorf("dimension: unknown, want one of %s, got %q", dimensions(), s.Dimension)
	}
	if err := s.checkSizes(); err != nil {
		return err
	}
	switch {
	case s.Name == "":
		return errors.New("name: missing")
	case s.Runs < 1 || s.Runs > maxRuns:
		return fmt.Errorf("runs: want 1 to %d, got %d", maxRuns, s.Runs)
	case s.MaxDuration.Duration <= 0 || s.MaxDuration.Duration > maxScenarioDuration:
		return fmt.Errorf("for: want more than 0 and up to %v, got %v", maxScenarioDuration, s.MaxDuration)
	case s.needsSpan() && (s.Span.Duration <= 0 || s.Span.Duration > s.MaxDuration.Duration):
		return fmt.Errorf("span: want more than 0 and up to for, %v, got %v", s.MaxDuration, s.Span)
	case math.IsNaN(s.Target) || math.IsInf(s.Target, 0) || s.Target < 0:
		return fmt.Errorf("target: want 0 or more, got %v", s.Target)
	}
	if n := s.Replicas; n < 0 || n > maxReplicas || n > 0 && n%2 == 0 {
		return fmt.Errorf("replicas: want an odd number up to %d, got %d", maxReplicas, n)
	}
	if err := s.checkFault(); err != nil {
		return err
	}
	if _, isReal := realDimension(s.Dimension); isReal {
		return s.checkBudgets()
	}
	if err := s.Fixed.check(s.Dimension); err != nil {
		return fmt.Errorf("held.%w", err)
	}
	return s.checkBudgets()
}

func (s *Scenario) checkBudgets() error {
	for i, b := range s.Budgets {
		if !slices.ContainsFunc(Measures(), func(m Measure) bool { return m.Name == b.Measure }) {
			return fmt.Errorf("budgets[%d].measure: there is no measure %q", i, b.Measure)
		}
		if !(b.Max > 0) || math.IsInf(b.Max, 0) {
			return fmt.Errorf("budgets[%d].most: want more than 0, got %v", i, b.Max)
		}
	}
	return nil
}

// needsSpan tells whether time has to pass at a point.
func (s *Scenario) needsSpan() bool {
	_, isReal := realDimension(s.Dimension)
	return s.Dimension == Nodes || s.Dimension == Changes || isReal
}

func (s *Scenario) checkSizes() error {
	if len(s.Sizes) < minSizes || len(s.Sizes) > maxSizes {
		return fmt.Errorf("sizes: want %d to %d, got %d", minSizes, maxSizes, len(s.Sizes))
	}
	most := map[Dimension]int{Servers: maxServers, Tenants: maxTenants, Nodes: maxWatchers, Changes: maxChangeRate}[s.Dimension]
	if d, isReal := realDimension(s.Dimension); isReal {
		most = d.MaxSize
	}
	for i, n := range s.Sizes {
		switch {
		case n < 1:
			return fmt.Errorf("sizes[%d]: want 1 or more, got %d", i, n)
		case i > 0 && n <= s.Sizes[i-1]:
			return fmt.Errorf("sizes[%d]: want more than the one before, %d, got %d", i, s.Sizes[i-1], n)
		case n > most:
			return fmt.Errorf("sizes[%d]: want at most %d %s, got %d", i, most, s.Dimension, n)
		}
	}
	return nil
}

// check says which held size makes no sense, leaving out the one that grows.
func (h FixedSizes) check(grows Dimension) error {
	watched := grows == Nodes || grows == Changes
	listed := maxServers
	if watched {
		listed = maxInstances
	}
	switch {
	case grows != Servers && (h.Servers < 1 || h.Servers > listed):
		return fmt.Errorf("servers: want 1 to %d, got %d", listed, h.Servers)
	case grows != Tenants && (h.Tenants < 1 || h.Tenants > maxTenants):
		return fmt.Errorf("tenants: want 1 to %d, got %d", maxTenants, h.Tenants)
	case grows != Nodes && (h.Nodes < 1 || watched && h.Nodes > maxWatchers):
		return fmt.Errorf("nodes: want 1 or more, and at most %d where they watch, got %d", maxWatchers, h.Nodes)
	case grows == Nodes && !(h.Changes > 0 && h.Changes <= maxChangeRate):
		return fmt.Errorf("changes: want more than 0 and at most %d a minute, got %v", maxChangeRate, h.Changes)
	case !watched && !(h.Requests > 0 && h.Requests <= maxFixedRequests):
		return fmt.Errorf("requests: want more than 0 and at most %d a second, got %v", maxFixedRequests, h.Requests)
	}
	return nil
}

// At is the scenario's held sizes with the one that grows set.
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
