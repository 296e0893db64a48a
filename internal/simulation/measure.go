package simulation

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// Row holds the values of a measure over several seeds, with and without topology. Nodes with topology evaluate zones;
// nodes without it evaluate only servers.
type Row struct {
	Measure
	WithTopology, WithoutTopology []float64 // by seed
	Broken                        int       // total number of rule violations in the runs with topology
}

// Passed reports whether the mean with topology is within the measure's bounds and no run with topology broke a
// rule.
func (r Row) Passed() bool {
	mean, _, _ := MeanMinMax(r.WithTopology)
	return mean >= r.Min && mean <= r.Max && r.Broken == 0
}

// MeanMinMax returns the mean, the minimum and the maximum of values, which must not be empty.
func MeanMinMax(values []float64) (mean, minimum, maximum float64) {
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean, slices.Min(values), slices.Max(values)
}

// runKey identifies one simulation run within MeasureZones.
type runKey struct {
	scenario string
	seed     uint64
	topology bool
}

// MeasureZones runs all scenarios that the measures need with each seed, on all cores, and returns a row for each measure.
// If withoutTopology is set, it also runs them without topology.
func MeasureZones(measures []Measure, seeds []uint64, withoutTopology bool) ([]Row, error) {
	topologies := []bool{true, false}
	if !withoutTopology {
		topologies = topologies[:1]
	}
	runs, err := runAll(runKeys(measures, seeds, topologies))
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, m := range measures {
		row := Row{Measure: m}
		for _, seed := range seeds {
			for _, topology := range topologies {
				run := runs[runKey{m.Scenario, seed, topology}]
				if baseline, ok := runs[runKey{BaselineOf(m.Scenario), seed, topology}]; ok {
					run.Baseline = baseline.Outcome
				}
				if value := m.Compute(run); topology {
					row.WithTopology = append(row.WithTopology, value)
					row.Broken += run.Broken
				} else {
					row.WithoutTopology = append(row.WithoutTopology, value)
				}
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// runKeys returns the keys of all runs that the measures need, without duplicates.
func runKeys(measures []Measure, seeds []uint64, topologies []bool) (keys []runKey) {
	seen := make(map[runKey]bool)
	for _, m := range measures {
		for _, scenario := range []string{m.Scenario, BaselineOf(m.Scenario)} {
			if scenario == "" {
				continue
			}
			for _, seed := range seeds {
				for _, topology := range topologies {
					if key := (runKey{scenario, seed, topology}); !seen[key] {
						seen[key] = true
						keys = append(keys, key)
					}
				}
			}
		}
	}
	return keys
}

// runAll runs the scenarios of all keys on all cores, and returns the runs by key.
func runAll(keys []runKey) (map[runKey]Run, error) {
	results := make([]Run, len(keys))
	err := runParallel(len(keys), func(i int) (err error) {
		results[i], err = runScenario(keys[i].scenario, keys[i].seed, keys[i].topology)
		return err
	})
	if err != nil {
		return nil, err
	}
	runs := make(map[runKey]Run, len(keys))
	for i, key := range keys {
		runs[key] = results[i]
	}
	return runs, nil
}

// runScenario reads a scenario and runs it.
func runScenario(name string, seed uint64, topology bool) (Run, error) {
	scenario, err := Read(name)
	if err != nil {
		return Run{}, err
	}
	scenario.Topology = topology
	s, err := New(scenario, seed)
	if err != nil {
		return Run{}, fmt.Errorf("scenario %q: %w", name, err)
	}
	return Run{Scenario: scenario, Outcome: s.Run()}, nil
}

// runParallel calls do for each of 0 to n-1, up to GOMAXPROCS at a time, and returns the first error. It starts no calls
// after an error.
func runParallel(n int, do func(i int) error) error {
	var mu sync.Mutex
	var firstErr error
	next := 0
	nextIndex := func() (i int, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if firstErr != nil || next >= n {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var workers sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i, ok := nextIndex(); ok; i, ok = nextIndex() {
				if err := do(i); err != nil {
					mu.Lock()
					firstErr = cmp.Or(firstErr, err)
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	return firstErr
}
