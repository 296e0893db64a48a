package simulation

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// Row is a measure over several seeds, with nodes that evaluate zones and with nodes that evaluate servers alone.
type Row struct {
	Measure
	WithTopology, WithoutTopology []float64 // by seed
	Broken                        int       // rules, over all runs with topology
}

// Reached tells whether the mean is within the measure's bounds, and no rule was broken.
func (r Row) Reached() bool {
	mean, _, _ := MeanMinMax(r.WithTopology)
	return mean >= r.Min && mean <= r.Max && r.Broken == 0
}

// MeanMinMax returns the mean, the least and the greatest of some figures.
func MeanMinMax(figures []float64) (mean, least, greatest float64) {
	for _, figure := range figures {
		mean += figure / float64(len(figures))
	}
	return mean, slices.Min(figures), slices.Max(figures)
}

// runKey names one run of MeasureZones.
type runKey struct {
	scenario string
	seed     uint64
	topology bool
}

// MeasureZones plays all scenarios that the measures need, with each seed, on all cores: with topology and, if that is
// asked for, without it too.
func MeasureZones(measures []Measure, seeds []uint64, withoutTopology bool) ([]Row, error) {
	topologies := []bool{true, false}
	if !withoutTopology {
		topologies = topologies[:1]
	}
	runs, err := playAll(runKeys(measures, seeds, topologies))
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
				if figure := m.Of(run); topology {
					row.WithTopology = append(row.WithTopology, figure)
					row.Broken += run.Broken
				} else {
					row.WithoutTopology = append(row.WithoutTopology, figure)
				}
			}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// runKeys are the runs that the measures need, each once.
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

func playAll(keys []runKey) (map[runKey]Run, error) {
	played := make([]Run, len(keys))
	err := onAllCores(len(keys), func(i int) (err error) {
		played[i], err = playOnce(keys[i].scenario, keys[i].seed, keys[i].topology)
		return err
	})
	if err != nil {
		return nil, err
	}
	runs := make(map[runKey]Run, len(keys))
	for i, key := range keys {
		runs[key] = played[i]
	}
	return runs, nil
}

func playOnce(name string, seed uint64, topology bool) (Run, error) {
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

// onAllCores calls do for 0 to n-1, as many at a time as there are cores, and returns the first error. After an error
// no further call begins.
func onAllCores(n int, do func(i int) error) error {
	var mu sync.Mutex
	var failed error
	next := 0
	take := func() (i int, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if failed != nil || next >= n {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var workers sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i, ok := take(); ok; i, ok = take() {
				if err := do(i); err != nil {
					mu.Lock()
					failed = cmp.Or(failed, err)
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	return failed
}
