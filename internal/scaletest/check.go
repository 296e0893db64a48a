package scaletest

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// KeyError reports an invalid key of a scenario, or an invalid field of a ProcessSpec.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func keyError(key, format string, args ...any) error {
	return &KeyError{key, fmt.Sprintf(format, args...)}
}

// ErrNotMeasured reports a dimension that is listed in NotMeasured.
var ErrNotMeasured = errors.New("is not measured yet")

func errNotMeasured(d Dimension) error {
	return fmt.Errorf("dimension: %s %w, want one of %s", d, ErrNotMeasured, dimensionNames())
}

// Check validates the scenario. The error names the first invalid key.
func (s *Scenario) Check() error {
	for _, check := range []func() error{s.checkDimension, s.checkSizes, s.checkRuns, s.checkReplicas, s.checkFault, s.checkFixed,
		s.checkBudgets} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkDimension() error {
	if slices.Contains(NotMeasured, s.Dimension) {
		return errNotMeasured(s.Dimension)
	}
	if !slices.Contains(measuredDimensions, s.Dimension) {
		return keyError("dimension", "unknown, want one of %s, got %q", dimensionNames(), s.Dimension)
	}
	return nil
}

func (s *Scenario) checkSizes() error {
	if len(s.Sizes) < minSizes || len(s.Sizes) > maxSizes {
		return keyError("sizes", "want %d to %d, got %d", minSizes, maxSizes, len(s.Sizes))
	}
	maxSize := map[Dimension]int{Servers: maxServers, Tenants: maxTenants, Nodes: maxWatchers, Changes: maxChangeRate}[s.Dimension]
	if d, isReal := realDimension(s.Dimension); isReal {
		maxSize = d.MaxSize
	}
	for i, size := range s.Sizes {
		key := fmt.Sprintf("sizes[%d]", i)
		switch {
		case size < 1:
			return keyError(key, "want 1 or more, got %d", size)
		case i > 0 && size <= s.Sizes[i-1]:
			return keyError(key, "want more than the previous size, %d, got %d", s.Sizes[i-1], size)
		case size > maxSize:
			return keyError(key, "want at most %d %s, got %d", maxSize, s.Dimension, size)
		}
	}
	return nil
}

func (s *Scenario) checkRuns() error {
	switch {
	case s.Name == "":
		return keyError("name", "missing")
	case s.Runs < 1 || s.Runs > maxRuns:
		return keyError("runs", "want 1 to %d, got %d", maxRuns, s.Runs)
	case s.MaxDuration.Duration <= 0 || s.MaxDuration.Duration > maxScenarioDuration:
		return keyError("for", "want more than 0 and at most %v, got %v", maxScenarioDuration, s.MaxDuration)
	case s.needsSpan() && (s.Span.Duration <= 0 || s.Span.Duration > s.MaxDuration.Duration):
		return keyError("span", "want more than 0 and at most %v (key for), got %v", s.MaxDuration, s.Span)
	case math.IsNaN(s.Target) || math.IsInf(s.Target, 0) || s.Target < 0:
		return keyError("target", "want 0 or more, got %v", s.Target)
	}
	return nil
}

func (s *Scenario) checkReplicas() error {
	if n := s.Replicas; n < 0 || n > maxReplicas || n > 0 && n%2 == 0 {
		return keyError("replicas", "want an odd number up to %d, got %d", maxReplicas, n)
	}
	return nil
}

func (s *Scenario) checkFault() error {
	switch {
	case s.Fault == "":
		return nil
	case !slices.Contains(faults, s.Fault):
		return keyError("fault", "unknown, want one of %v, got %q", faults, s.Fault)
	case !s.watchesRegistry():
		return keyError("fault", "supported only for dimensions %s and %s, got %s", Nodes, Changes, s.Dimension)
	case s.Fault == LeaderKilled && s.Replicas < 3:
		return keyError("replicas", "want 3 or more for fault %s, got %d", s.Fault, s.Replicas)
	case s.Fault == ReplicasDown && (s.Outage.Duration <= 0 || s.Outage.Duration > s.MaxDuration.Duration):
		return keyError("away", "want more than 0 and at most %v (key for), got %v", s.MaxDuration, s.Outage)
	}
	return nil
}

// checkFixed checks the fixed sizes that the scenario uses. No scenario uses the size of its own dimension, only dimension
// Nodes uses Changes, only Servers and Tenants use Requests, and scenarios of real processes use none.
func (s *Scenario) checkFixed() error {
	if s.isReal() {
		return nil
	}
	if err := s.checkFixedCounts(); err != nil {
		return err
	}
	fixed := s.Fixed
	switch {
	case s.Dimension == Nodes && !(fixed.Changes > 0 && fixed.Changes <= maxChangeRate):
		return keyError("held.changes", "want more than 0 and at most %d a minute, got %v", maxChangeRate, fixed.Changes)
	case !s.watchesRegistry() && !(fixed.Requests > 0 && fixed.Requests <= maxFixedRequests):
		return keyError("held.requests", "want more than 0 and at most %d a second, got %v", maxFixedRequests, fixed.Requests)
	}
	return nil
}

func (s *Scenario) checkFixedCounts() error {
	maxListed, maxNodes := maxServers, math.MaxInt
	if s.watchesRegistry() {
		maxListed, maxNodes = maxInstances, maxWatchers
	}
	fixed := s.Fixed
	switch {
	case s.Dimension != Servers && (fixed.Servers < 1 || fixed.Servers > maxListed):
		return keyError("held.servers", "want 1 to %d, got %d", maxListed, fixed.Servers)
	case s.Dimension != Tenants && (fixed.Tenants < 1 || fixed.Tenants > maxTenants):
		return keyError("held.tenants", "want 1 to %d, got %d", maxTenants, fixed.Tenants)
	case s.Dimension != Nodes && (fixed.Nodes < 1 || fixed.Nodes > maxNodes):
		return keyError("held.nodes", "want 1 or more, and at most %d if they watch a registry, got %d", maxWatchers, fixed.Nodes)
	}
	return nil
}

func (s *Scenario) checkBudgets() error {
	for i, limit := range s.Budgets {
		if !slices.ContainsFunc(Measures(), func(m Measure) bool { return m.Name == limit.Measure }) {
			return keyError(fmt.Sprintf("budgets[%d].measure", i), "unknown measure %q", limit.Measure)
		}
		if !(limit.Max > 0) || math.IsInf(limit.Max, 0) {
			return keyError(fmt.Sprintf("budgets[%d].most", i), "want more than 0, got %v", limit.Max)
		}
	}
	return nil
}

// Bounds of a ProcessSpec.
const (
	minWindow       = 100 * time.Millisecond
	maxWindow       = 10 * time.Minute
	maxRoutes       = 1000
	maxSpecChanges  = 1000 // a second
	maxSpecRequests = 5000 // a second
)

// Check validates the spec. The error names the first invalid field.
func (s ProcessSpec) Check() error {
	s = s.withDefaults()
	switch {
	case s.Window < minWindow || s.Window > maxWindow:
		return keyError("window", "want 100 ms to 10 min, got %v", s.Window)
	case s.Routes < 1 || s.Routes > maxRoutes:
		return keyError("routes", "want 1 to %d, got %d", maxRoutes, s.Routes)
	case !(s.Changes > 0 && s.Changes <= maxSpecChanges):
		return keyError("changes", "want more than 0 and at most %d a second, got %v", maxSpecChanges, s.Changes)
	case !(s.Requests > 0 && s.Requests <= maxSpecRequests):
		return keyError("requests", "want more than 0 and at most %d a second, got %v", maxSpecRequests, s.Requests)
	case s.Replicas != 1 && s.Replicas != 3:
		return keyError("replicas", "want 1 or 3, got %d", s.Replicas)
	}
	return nil
}
