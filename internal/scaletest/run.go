package scaletest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"sloerail/internal/testcluster"
)

// ErrBeyondMachine reports a size that needs, or a run that uses, too much of the machine's memory.
var ErrBeyondMachine = errors.New("more than half of this machine's memory")

// Options limit a run beyond its scenario, and add progress reports and comparisons.
type Options struct {
	MaxDuration time.Duration  // of the whole run; 0 means the scenario's
	MaxSize     int            // larger sizes are left out; 0 means no limit
	Progress    func(Progress) // called before each point and at the end; may be nil
	Compare     Comparison     // also measures each point; may be nil
}

// Comparison measures one point by other means than hollow nodes (a node's code in this process, without sockets for
// requests), such as real processes. The report compares its values with those of hollow nodes for the same measure.
type Comparison func(ctx context.Context, s Scenario, size, run int) ([]Measurement, error)

// Progress reports how many points of a run are done.
type Progress struct {
	Done, Points int
	Size, Run    int // of the point that starts; 0 at the end
}

// measureFuncs holds, for each dimension of hollow nodes, the function that measures one point.
var measureFuncs = map[Dimension]func(context.Context, *point) error{
	Servers: measureServers, Tenants: measureTenants, Nodes: measureWatchers, Changes: measureWatchers,
}

// Upper bounds of the memory that a size needs, in bytes. They are checked before a run starts.
const (
	serverMemory   = 4 << 10   // for each server in a list: as text, decoded, and in the node
	realMemory     = 8 << 10   // for each server, tenant or watcher, in the real processes and in this process
	tenantMemory   = 6 << 10   // for each tenant in a configuration: as text, decoded, and in the node
	nodeMemory     = 512 << 10 // for each hollow node, without its servers and tenants
	steppedCopies  = 1         // number of hollow nodes at a time for dimensions Servers and Tenants
	baselineMemory = 64 << 20
)

// memoryAt returns an upper bound of the memory that a point of a size needs, in bytes.
func (s *Scenario) memoryAt(size int) float64 {
	if _, isReal := realDimension(s.Dimension); isReal {
		return baselineMemory + float64(realMemory*size)
	}
	fixed, nodes := s.At(size), steppedCopies
	if s.needsSpan() {
		nodes = fixed.Nodes
	}
	each := float64(serverMemory*fixed.Servers) + float64(tenantMemory*fixed.Tenants) + nodeMemory
	return baselineMemory + float64(nodes)*each
}

// checkMemory returns an error that names the first size that needs too much of the machine's memory.
func (s *Scenario) checkMemory(sizes []int, m Machine) error {
	for i, size := range sizes {
		if need := s.memoryAt(size); need > maxMemoryFraction*float64(m.Memory) {
			return fmt.Errorf("sizes[%d]: %d %s may need %.1f GB, %w of %.1f GB", i, size, s.Dimension, need/1e9,
				ErrBeyondMachine, float64(m.Memory)/1e9)
		}
	}
	return nil
}

// Run measures a scenario. If ctx ends or the time limit is exceeded, it returns a report that has the measurements so far
// and says why the run stopped.
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
	defer func() { _ = os.RemoveAll(dir) }() // an undeleted temporary directory is not an error
	defer testcluster.Clean()
	limit := s.MaxDuration.Duration
	if o.MaxDuration > 0 {
		limit = o.MaxDuration
	}
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("time limit of %v exceeded", limit))
	defer cancel()
	report := &Report{Scenario: s, Machine: machine, Began: time.Now().UTC().Truncate(time.Second)}
	report.Measurements, err = s.measureAll(ctx, sizes, dir, machine, o)
	if err != nil && ctx.Err() != nil {
		report.Stopped, err = context.Cause(ctx).Error(), nil
	}
	report.fit()
	return report, err
}

// measureAll measures all sizes in each run, rather than all runs of each size, so that a drift of the machine's speed
// affects all sizes alike.
func (s *Scenario) measureAll(ctx context.Context, sizes []int, dir string, machine Machine, o Options) ([]Measurement, error) {
	reportProgress := func(Progress) {}
	if o.Progress != nil {
		reportProgress = o.Progress
	}
	var all []Measurement
	progress := Progress{Points: s.Runs * len(sizes)}
	for run := 1; run <= s.Runs; run++ {
		for _, size := range sizes {
			progress.Size, progress.Run = size, run
			reportProgress(progress)
			got, err := s.measure(ctx, size, run, dir)
			if err != nil {
				return all, fmt.Errorf("%s %d, run %d: %w", s.Dimension, size, run, err)
			}
			if o.Compare != nil {
				compared, err := o.Compare(ctx, *s, size, run)
				if err != nil {
					return all, fmt.Errorf("%s %d, run %d, comparison: %w", s.Dimension, size, run, err)
				}
				got = append(got, compared...)
			}
			all = append(all, got...)
			progress.Done++
			resident, err := ownResident()
			if err != nil {
				return all, err
			}
			if resident > maxMemoryFraction*float64(machine.Memory) {
				return all, fmt.Errorf("%s %d: the run uses %.1f GB, %w", s.Dimension, size, resident/1e9, ErrBeyondMachine)
			}
		}
	}
	progress.Size, progress.Run = 0, 0
	reportProgress(progress)
	return all, nil
}

// measure measures one point. It returns either all of its measurements or an error.
func (s *Scenario) measure(ctx context.Context, size, run int, dir string) ([]Measurement, error) {
	dir, err := os.MkdirTemp(dir, fmt.Sprintf("%d-%d-", size, run))
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // an undeleted temporary directory is not an error
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
