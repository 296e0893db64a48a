package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"sloerail/internal/testcluster"
)

// ErrBeyondMachine is a size that would take too much of the machine's memory.
var ErrBeyondMachine = errors.New("over half of this machine's memory")

// Options bound a run, beside what its scenario says.
type Options struct {
	MaxDuration time.Duration  // the whole run takes no longer; 0 for what the scenario says
	MaxSize     int            // larger sizes are left out; 0 for none
	Progress    func(Progress) // is told of each point before it begins, and of the end; nil for nobody
	Compare     Comparison     // measures the same point otherwise; nil for nothing
}

// Comparison measures a size in one run by other means than hollow nodes, real processes say. Its values stand beside those
// of the hollow nodes that have the same measure.
type Comparison func(ctx context.Context, s Scenario, size, run int) ([]Measurement, error)

// Progress is how far a run has come.
type Progress struct {
	Done, Points int
	Size, Run    int // of the point that begins; 0 at the end
}

// measureFuncs measure one point of a dimension.
var measureFuncs = map[Dimension]func(context.Context, *point) error{
	Servers: measureServers, Tenants: measureTenants, Nodes: measureWatchers, Changes: measureWatchers,
}

// What a size may take at most, for the look before it is run: taken from runs, and doubled.
const (
	serverMemory   = 4 << 10   // bytes of each server in a list, as text, as read and as known
	realMemory     = 8 << 10   // of each server, tenant or watcher of a real process, in it and in the measuring
	tenantMemory   = 6 << 10   // of each tenant in a configuration, the same
	nodeMemory     = 512 << 10 // of each hollow node, beside those
	steppedCopies  = 1         // nodes at a time
	baselineMemory = 64 << 20
)

// memoryAt is what a point takes at most.
func (s *Scenario) memoryAt(size int) float64 {
	if _, isReal := realDimension(s.Dimension); isReal {
		return baselineMemory + float64(realMemory*size)
	}
	h, nodes := s.At(size), steppedCopies
	if s.needsSpan() {
		nodes = h.Nodes
	}
	each := float64(serverMemory*h.Servers) + float64(tenantMemory*h.Tenants) + nodeMemory
	return baselineMemory + float64(nodes)*each
}

// checkMemory names the first size that this machine is too small for.
func (s *Scenario) checkMemory(sizes []int, m Machine) error {
	for i, size := range sizes {
		if need := s.memoryAt(size); need > memoryShare*float64(m.Memory) {
			return fmt.Errorf("sizes[%d]: %d %s may take %.1f GB, %w of %.1f GB", i, size, s.Dimension, need/1e9,
				ErrBeyondMachine, float64(m.Memory)/1e9)
		}
	}
	return nil
}

// Run measures a scenario. Where it is called off, or its time is up, it returns what was measured until then, and the
// report says why it stopped.
func Run(ctx context.Context, s Scenario, o Options) (*Report, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	machine, err := thisMachine()
	if err != nil {
		return nil, err
	}
	var sizes []int
	for _, size := range s.Sizes {
		if o.MaxSize == 0 || size <= o.MaxSize {
			sizes = append(sizes, size)
		}
	}
	if err := s.checkMemory(sizes, machine); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "sloerail-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // it is a temporary one
	defer testcluster.Clean()
	limit := s.MaxDuration.Duration
	if o.MaxDuration > 0 {
		limit = o.MaxDuration
	}
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("the time of %v is up", limit))
	defer cancel()
	report := &Report{Scenario: s, Machine: machine, Began: time.Now().UTC().Truncate(time.Second)}
	report.Measurements, err = s.measureAll(ctx, sizes, dir, machine, o)
	if err != nil && ctx.Err() != nil {
		report.Stopped, err = context.Cause(ctx).Error(), nil
	}
	report.fit()
	return report, err
}

// measureAll goes through all sizes in each run, so that what drifts meanwhile falls on all sizes alike.
func (s *Scenario) measureAll(ctx context.Context, sizes []int, dir string, machine Machine, o Options) ([]Measurement, error) {
	tell := func(Progress) {}
	if o.Progress != nil {
		tell = o.Progress
	}
	var all []Measurement
	progress := Progress{Points: s.Runs * len(sizes)}
	for run := 1; run <= s.Runs; run++ {
		for _, size := range sizes {
			progress.Size, progress.Run = size, run
			tell(progress)
			got, err := s.measure(ctx, size, run, dir)
			if err != nil {
				return all, fmt.Errorf("%s %d, run %d: %w", s.Dimension, size, run, err)
			}
			if o.Compare != nil {
				beside, err := o.Compare(ctx, *s, size, run)
				if err != nil {
					return all, fmt.Errorf("%s %d, run %d, beside: %w", s.Dimension, size, run, err)
				}
				got = append(got, beside...)
			}
			all = append(all, got...)
			progress.Done++
			resident, err := ownResident()
			if err != nil {
				return all, err
			}
			if resident > memoryShare*float64(machine.Memory) {
				return all, fmt.Errorf("%s %d: the run holds %.1f GB, %w", s.Dimension, size, resident/1e9, ErrBeyondMachine)
			}
		}
	}
	progress.Size, progress.Run = 0, 0
	tell(progress)
	return all, nil
}

// measure measures one point. One that isn't whole counts for nothing.
func (s *Scenario) measure(ctx context.Context, size, run int, dir string) ([]Measurement, error) {
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("%d-%d-", size, run))
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // it is a temporary one
	if d, isReal := realDimension(s.Dimension); isReal {
		return d.Measure(ctx, ProcessSpec{Seed: s.Seed + uint64(run), Window: s.Span.Duration}, size, run)
	}
	held := s.At(size)
	p := &point{scenario: *s, fixed: held, fleet: newFleet(held, dir, s.Seed, run), run: run, dir: dir,
		record: NewRecorder(string(s.Dimension), size, run, Hollow)}
	if err := measureFuncs[s.Dimension](ctx, p); err != nil {
		return nil, err
	}
	return p.record.Measurements(), nil
}
