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
	unusedDiscovery     = "127.0.0.1:9" // of a node that is stepped: its list client is never run
	minChanges          = 20            // of the list that are timed, at any size
	preparedChangeCount = 400           // that are made ready beforehand, and come in turn
	warmUpRounds        = 2             // times the decisions that every server's kind needs to be known
)

// point is one size in one run, under way.
type point struct {
	scenario Scenario
	fixed    FixedSizes
	fleet    *fleet
	record   *Recorder
	run      int
	dir      string
}

// steppedNode is a hollow node that one goroutine steps, with its list.
type steppedNode struct {
	*node.Hollow
	path       string // of its configuration
	entries    []registry.Endpoint
	revision   int64
	heapBefore float64 // the heap before there was anything of the node
}

// newStepped starts a node: configuration, then the list. What that takes is recorded.
func (p *point) newStepped() (*steppedNode, error) {
	s := &steppedNode{entries: p.fleet.servers(), revision: 1}
	list := encodeList(s.revision, true, s.entries...)
	path, size, err := p.fleet.configuration(0, unusedDiscovery)
	if err != nil {
		return nil, err
	}
	s.path, s.heapBefore = path, heapInUse()
	cpu := ownCPU()
	config, err := load(path)
	if err != nil {
		return nil, err
	}
	if s.Hollow, err = node.NewHollow(config, nil); err != nil {
		return nil, err
	}
	s.Restore()
	if err := s.TakeList(list); err != nil {
		return nil, err
	}
	p.record.Record(StartCPU, float64(ownCPU()-cpu))
	p.record.Record(ListBytes, float64(len(list)))
	p.record.Record(ConfigBytes, float64(size))
	return s, nil
}

// recordMemory records what the node holds.
func (p *point) recordMemory(s *steppedNode) error {
	p.record.Record(Heap, heapInUse()-s.heapBefore)
	resident, err := ownResident()
	p.record.Record(Resident, resident)
	runtime.KeepAlive(s)
	return err
}

// recordDecisions times decisions, once the node knows its servers.
func (p *point) recordDecisions(ctx context.Context, r *requests) error {
	step := func() error {
		r.next()
		return nil
	}
	for range warmUpRounds * minTimedSteps {
		r.next()
	}
	r.requestCount, r.rejectedCount = 0, 0
	t, err := timeSteps(ctx, minTimedSteps, step)
	if err != nil {
		return err
	}
	p.record.Record(DecisionCPU, t.cpuEach())
	p.record.Record(DecisionP50, float64(t.each.ValueAtQuantile(50)))
	p.record.Record(DecisionP99, float64(t.each.ValueAtQuantile(99)))
	p.record.Record(DecisionRate, t.perSecond())
	p.record.Record(Refused, 100*float64(r.rejectedCount)/float64(r.requestCount))
	return nil
}

// listChanges are so many deltas of one server each, drawn at random: it drains, and then it is back.
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

// recordListChanges times deltas of one server each.
func (p *point) recordListChanges(ctx context.Context, s *steppedNode) error {
	changes := p.listChanges(s, preparedChangeCount)
	next := 0
	t, err := timeSteps(ctx, minChanges, func() error {
		change := changes[next%len(changes)]
		next++
		return s.TakeList(change)
	})
	if err != nil {
		return err
	}
	p.record.Record(ListChangeCPU, t.cpuEach())
	p.record.Record(ListChangeP99, float64(t.each.ValueAtQuantile(99)))
	return nil
}

// measureServers measures a node by the servers in its list.
func measureServers(ctx context.Context, p *point) error {
	s, err := p.newStepped()
	if err != nil {
		return err
	}
	r := newRequests(s.Hollow, p.fixed, p.fleet.rng)
	if err := p.recordDecisions(ctx, r); err != nil {
		return err
	}
	r.finish()
	if err := p.recordMemory(s); err != nil {
		return err
	}
	return p.recordListChanges(ctx, s)
}

// measureTenants measures a node by the tenants in its configuration, each of which sends one request before decisions are
// timed.
func measureTenants(ctx context.Context, p *point) error {
	s, err := p.newStepped()
	if err != nil {
		return err
	}
	r := newRequests(s.Hollow, p.fixed, p.fleet.rng)
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

// recordReload has the node reload its configuration.
func (p *point) recordReload(s *steppedNode) error {
	before, err := load(s.path)
	if err != nil {
		return err
	}
	cpu := ownCPU()
	next, err := config.Reload(fromFile(s.path), before)
	if err != nil {
		return err
	}
	s.Reconfigure(next)
	p.record.Record(ConfigCPU, float64(ownCPU()-cpu))
	s.Advance(time.Millisecond)
	return nil
}
