package scaletest

import (
	"context"
	"runtime"
	"time"

	"sloerail/internal/node"
	"sloerail/internal/node/config"
	"sloerail/internal/registry"
)

const (
	unusedDiscovery     = "127.0.0.1:9" // for stepped nodes, whose list client never runs
	minChanges          = 20            // minimum number of list changes that are timed, at any size
	preparedChangeCount = 400           // list changes that are encoded before the timing, and repeated in turn
	warmUpRounds        = 2             // rounds of minTimedSteps untimed decisions, after which the node knows every kind of server
)

// point is the measurement of one size in one run.
type point struct {
	scenario Scenario
	fixed    FixedSizes
	fleet    *fleet
	record   *Recorder
	run      int
	dir      string
}

// steppedNode is a hollow node (a node's code in this process, without sockets for requests) that a single goroutine
// advances, with its list.
type steppedNode struct {
	*node.Hollow
	path       string // of the configuration file
	entries    []registry.Endpoint
	revision   int64
	heapBefore float64 // heap in bytes before the node was created
}

// newSteppedNode creates a node from its configuration and applies the list. It records the CPU time of this and the
// sizes of the configuration and the list.
func (p *point) newSteppedNode() (*steppedNode, error) {
	s := &steppedNode{entries: p.fleet.servers(), revision: 1}
	list := encodeList(s.revision, true, s.entries...)
	path, size, err := p.fleet.writeConfig(0, unusedDiscovery)
	if err != nil {
		return nil, err
	}
	s.path, s.heapBefore = path, heapInUse()
	cpu := ownCPU()
	nodeConfig, err := loadConfig(path)
	if err != nil {
		return nil, err
	}
	if s.Hollow, err = node.NewHollow(nodeConfig, nil); err != nil {
		return nil, err
	}
	s.Restore()
	if err := s.ApplyList(list); err != nil {
		return nil, err
	}
	p.record.Record(StartCPU, float64(ownCPU()-cpu))
	p.record.Record(ListBytes, float64(len(list)))
	p.record.Record(ConfigBytes, float64(size))
	return s, nil
}

// recordMemory records the heap of the node and the resident memory of this process.
func (p *point) recordMemory(s *steppedNode) error {
	p.record.Record(Heap, heapInUse()-s.heapBefore)
	resident, err := ownResident()
	p.record.Record(Resident, resident)
	runtime.KeepAlive(s)
	return err
}

// recordDecisions times decisions after warmUpRounds rounds of untimed decisions, when the node knows its servers.
func (p *point) recordDecisions(ctx context.Context, r *requestLoad) error {
	step := func() error {
		r.sendNext()
		return nil
	}
	for range warmUpRounds * minTimedSteps {
		r.sendNext()
	}
	r.requestCount, r.rejectedCount = 0, 0
	t, err := timeSteps(ctx, minTimedSteps, step)
	if err != nil {
		return err
	}
	p.record.Record(DecisionCPU, t.cpuPerStep())
	p.record.Record(DecisionP50, float64(t.histogram.ValueAtQuantile(50)))
	p.record.Record(DecisionP99, float64(t.histogram.ValueAtQuantile(99)))
	p.record.Record(DecisionRate, t.stepsPerCPUSecond())
	p.record.Record(Refused, 100*float64(r.rejectedCount)/float64(r.requestCount))
	return nil
}

// listChanges returns an even number of at least count deltas. Each pair drains a random server and brings it back.
func (p *point) listChanges(s *steppedNode, count int) [][]byte {
	changes := make([][]byte, 0, count)
	for len(changes) < count {
		entry := s.entries[p.fleet.rng.IntN(len(s.entries))]
		for _, phase := range []string{registry.PhaseDraining, registry.PhaseUp} {
			entry.Phase = phase
			s.revision++
			changes = append(changes, encodeList(s.revision, false, entry))
		}
	}
	return changes
}

// recordListChanges times the application of deltas of one server each.
func (p *point) recordListChanges(ctx context.Context, s *steppedNode) error {
	changes := p.listChanges(s, preparedChangeCount)
	next := 0
	t, err := timeSteps(ctx, minChanges, func() error {
		change := changes[next%len(changes)]
		next++
		return s.ApplyList(change)
	})
	if err != nil {
		return err
	}
	p.record.Record(ListChangeCPU, t.cpuPerStep())
	p.record.Record(ListChangeP99, float64(t.histogram.ValueAtQuantile(99)))
	return nil
}

// measureServers measures a node whose list has the number of servers of the point.
func measureServers(ctx context.Context, p *point) error {
	s, err := p.newSteppedNode()
	if err != nil {
		return err
	}
	r := newRequestLoad(s.Hollow, p.fixed, p.fleet.rng)
	if err := p.recordDecisions(ctx, r); err != nil {
		return err
	}
	r.finish()
	if err := p.recordMemory(s); err != nil {
		return err
	}
	return p.recordListChanges(ctx, s)
}

// measureTenants measures a node whose configuration has the number of tenants of the point. Each tenant sends one
// request before decisions are timed.
func measureTenants(ctx context.Context, p *point) error {
	s, err := p.newSteppedNode()
	if err != nil {
		return err
	}
	r := newRequestLoad(s.Hollow, p.fixed, p.fleet.rng)
	for i := range p.fixed.Tenants {
		if i%stepsPerCheck == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		r.sendRequest(tenantName(i))
	}
	if err := p.recordDecisions(ctx, r); err != nil {
		return err
	}
	r.finish()
	if err := p.recordMemory(s); err != nil {
		return err
	}
	return p.recordReload(s)
}

// recordReload records the CPU time of reloading the node's configuration.
func (p *point) recordReload(s *steppedNode) error {
	before, err := loadConfig(s.path)
	if err != nil {
		return err
	}
	cpu := ownCPU()
	next, err := config.Reload(configFileEnv(s.path), before)
	if err != nil {
		return err
	}
	s.Reconfigure(next)
	p.record.Record(ConfigCPU, float64(ownCPU()-cpu))
	s.Advance(time.Millisecond)
	return nil
}
