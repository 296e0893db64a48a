package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"sloerail/internal/testcluster"
)

// ErrBeyondMachine is for a size that would need too much of the machine's memory.
var ErrBeyondMachine = errors.New("over half of this machine's memory")

// Options bound a run further than its scenario does.
type Options struct {
	MaxDuration time.Duration  // of the whole run; 0 for the scenario's
	MaxSize     int            // larger sizes are left out; 0 for none
	Progress    func(Progress) // called before each point, and at the end; may be nil
	Compare     Comparison     // measures each point by other means too; may be nil
}

// Comparison measures a size in one run by other means than hollow nodes, such as real processes. Its values are compared
// with those of hollow nodes that have the same measure.
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

// Upper bounds of the memory that a size needs, to check before it is run.
const (
	serverMemory   = 4 << 10   // bytes of each server in a list, as text, as read and as known
	realMemory     = 8 << 10   // of each server, tenant or watcher of a real process, in it and in the measuring
	tenantMemory   = 6 << 10   // of each tenant in a configuration, the same
	nodeMemory     = 512 << 10 // of each hollow node, beside those
	steppedCopies  = 1         // nodes at a time
	baselineMemory = 64 << 20
)

// memoryAt is an upper bound of the memory of a point, in bytes.
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

// Run measures a scenario. If ctx ends, or the time is up, it returns the measurements until then in a report that says why
// it stopped.
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

// measureAll goes through all sizes in each run, so that a drift of the machine affects all sizes alike.
func (s *Scenario) measureAll(ctx context.Context, sizes []int, dir string, machine Machine, o Options) ([]Measurement, error) {
	report := func(Progress) {}
	if o.Progress != nil {
		report = o.Progress
	}
	var all []Measurement
	progress := Progress{Points: s.Runs * len(sizes)}
	for run := 1; run <= s.Runs; run++ {
		for _, size := range sizes {
			progress.Size, progress.Run = size, run
			report(progress)
			got, err := s.measure(ctx, size, run, dir)
			if err != nil {
				return all, fmt.Errorf("%s %d, run %d: %w", s.Dimension, size, run, err)
			}
			if o.Compare != nil {
				compared, err := o.Compare(ctx, *s, size, run)
				if err != nil {
					return all, fmt.Errorf("%s %d, run %d, beside: %w", s.Dimension, size, run, err)
				}
				got = append(got, compared...)
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
	report(progress)
	return all, nil
}

// measure measures one point, completely or not at all.
func (s *Scenario) measure(ctx context.Context, size, run int, dir string) ([]Measurement, error) {
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("%d-%d-", size, run))
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // it is a temporary one
	if d, isReal := realDimension(s.Dimension); isReal {
		return d.Measure(ctx, ProcessSpec{Seed: s.Seed + uint64(run), Window: s.Span.Duration}, size, run)
	}
	fixed := s.At(size)
	p := &point{scenario: *s, fixed: fixed, fleet: newFleet(fixed, dir, s.Seed, run), run: run, dir: dir,
		record: NewRecorder(string(s.Dimension), size, run, Hollow)}
	if err := measureFuncs[s.Dimension](ctx, p); err != nil {
		return nil, err
	}
	return p.record.Measurements(), nil
}
