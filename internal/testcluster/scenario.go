package testcluster

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/simulation"
)

// drainTime is how long a server that drains stays in the list.
const drainTime = 5 * time.Second

// scenarioRun is a scenario under way, with real nodes.
type scenarioRun struct {
	simulation.Scenario
	world   *World
	fleet   *Fleet
	servers []emulator.ServerSpec
	loads   map[string][]*LoadGenerator // by zone
	near    map[string][]*Node
	from    emulator.Time
}

// PlayScenario plays a scenario of the lab with real nodes in real time, and returns what came of it. Its zones have
// to hold equally many nodes.
func (r *Cluster) PlayScenario(ctx context.Context, s simulation.Scenario, seed uint64) (*simulation.Outcome, error) {
	p := &scenarioRun{Scenario: s, servers: s.ServerSpecs(seed), loads: make(map[string][]*LoadGenerator), near: make(map[string][]*Node)}
	p.world = r.NewWorld(seed, p.servers...)
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	p.world.Look(func() {
		p.from = p.world.now()
		p.world.outcome = simulation.NewOutcome(s, p.servers, emulator.Classes(), p.from)
	})
	began := time.Now()
	for _, z := range s.Zones {
		p.addClients(z.Name, 1, s.For.Duration)
	}
	if err := p.play(ctx, began); err != nil {
		return nil, err
	}
	for _, loads := range p.loads {
		for _, l := range loads {
			if err := l.Wait(ctx); err != nil {
				return nil, err
			}
		}
	}
	return p.result(began), nil
}

func (p *scenarioRun) start(ctx context.Context) error {
	spec := FleetSpec{Classes: emulator.Classes(), Tenants: p.Tenants(), RetainMissing: true}
	regions, only := make(map[string][]string), make(map[string][]string)
	for _, z := range p.Zones {
		if z.Nodes != p.Zones[0].Nodes {
			return fmt.Errorf("scenario %q: zones[%s].nodes: want as many in each zone", p.Name, z.Name)
		}
		spec.Nodes += z.Nodes
		spec.Zones = append(spec.Zones, z.Name)
		regions[z.Region] = append(regions[z.Region], z.Name)
	}
	for _, b := range p.Bound {
		only[b.Class] = b.Regions
	}
	spec.Quota = p.QuotaFor(spec.Nodes)
	if p.Topology {
		spec.Topology = map[string]any{"regions": regions, "only": only}
	}
	var err error
	if p.fleet, err = p.world.NewFleet(spec); err != nil {
		return err
	}
	for i, name := range p.fleet.Names {
		zone := p.Zones[i%len(p.Zones)].Name
		p.near[zone] = append(p.near[zone], p.fleet.Nodes[name])
	}
	if err := p.fleet.Start(ctx, p.fleet.Names...); err != nil {
		return err
	}
	_, err = p.fleet.AwaitAgree(ctx, p.fleet.Names...)
	return err
}

// addClients has clients near a zone ask so many times as much, for a time.
func (p *scenarioRun) addClients(zone string, times float64, until time.Duration) {
	spec := p.Clients(len(p.near[zone]), until)
	spec.Rate *= times
	p.loads[zone] = append(p.loads[zone], p.world.Clients(fmt.Sprintf("%s%d", zone, len(p.loads[zone])), spec, p.near[zone]...))
}

// play carries out the faults in order, and returns when the clients' time is over.
func (p *scenarioRun) play(ctx context.Context, began time.Time) error {
	type turn struct {
		at time.Duration
		f  simulation.Fault
		on bool
	}
	var todo []turn
	for _, f := range p.Faults {
		for _, at := range f.StartTimes() {
			if todo = append(todo, turn{at, f, true}); f.For.Duration > 0 {
				todo = append(todo, turn{at + f.For.Duration, f, false})
			}
		}
	}
	failed := make(chan error, len(todo))
	for _, t := range todo {
		go func() {
			if err := wait(ctx, time.Until(began.Add(t.at))); err != nil {
				failed <- err
				return
			}
			failed <- p.applyFault(ctx, t.f, t.on)
		}()
	}
	var first error
	for range todo {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		return first
	}
	return wait(ctx, time.Until(began.Add(p.For.Duration)))
}

// applyFault begins a fault, or ends it.
func (p *scenarioRun) applyFault(ctx context.Context, f simulation.Fault, on bool) error {
	affected := f.Affected(p.servers)
	p.recordFault(f, affected, on)
	hit := func(_ string, b emulator.ServerSpec) bool { return slices.Contains(affected, b) }
	switch f.Kind {
	case simulation.Lost, simulation.Cold:
		p.setLinks(hit, Faults{Reset: on}, Faults{Reset: on})
		if f.Kind == simulation.Cold && !on {
			p.restart(affected)
		}
	case simulation.ConnectTimeout:
		p.setLinks(hit, Faults{Cut: on}, Faults{Cut: on})
	case simulation.ResponseLost:
		p.setLinks(hit, Faults{}, Faults{Cut: on})
	case simulation.Partition:
		parted := func(zone string, b emulator.ServerSpec) bool { return f.Separates(zone, b.Zone) }
		p.setLinks(parted, Faults{Cut: on}, Faults{Cut: on})
	case simulation.Vanish:
		p.world.updateList(affected, map[bool]string{true: emulator.Removed, false: emulator.Up}[on])
	case simulation.Drain:
		return p.drain(ctx, affected, on)
	case simulation.Nodes:
		return p.setNodesDown(ctx, f.Zone, on)
	case simulation.Load:
		if on {
			p.addLoad(f)
		}
	}
	return nil
}

// recordFault books that a fault begins or ends, and makes the servers that it strikes fail or slow.
func (p *scenarioRun) recordFault(f simulation.Fault, affected []emulator.ServerSpec, on bool) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	p.world.outcome.Mark(p.world.now(), "", f.Describe(on))
	for _, spec := range affected {
		b := p.world.servers[spec.ID]
		if on {
			p.world.outcome.Interrupted += len(b.waits)
		}
		f.ApplyTo(&b.Fault, on)
	}
}

// addLoad has clients come beside those that ask anyway.
func (p *scenarioRun) addLoad(f simulation.Fault) {
	for _, z := range p.Zones {
		if f.Zone == "" || f.Zone == z.Name {
			p.addClients(z.Name, f.Factor-1, f.For.Duration)
		}
	}
}

// setLinks sets what is wrong there and back between the nodes of zones and the servers that are hit.
func (p *scenarioRun) setLinks(hit func(zone string, b emulator.ServerSpec) bool, there, back Faults) {
	for zone, nodes := range p.near {
		for _, n := range nodes {
			for _, b := range p.servers {
				if hit(zone, b) {
					p.world.cluster.SetLink(n.Spec.Name, b.ID, there)
					p.world.cluster.SetLink(b.ID, n.Spec.Name, back)
				}
			}
		}
	}
}

// restart has new, cold processes in the place of servers, and the list say so.
func (p *scenarioRun) restart(servers []emulator.ServerSpec) {
	p.world.Look(func() {
		for _, spec := range servers {
			b := p.world.servers[spec.ID]
			b.Server = emulator.NewServer(spec, p.world.now(), p.world.seed+uint64(len(spec.ID)))
		}
	})
	p.world.updateList(servers, emulator.Up)
}

func (p *scenarioRun) drain(ctx context.Context, servers []emulator.ServerSpec, on bool) error {
	if !on {
		p.restart(servers)
		return nil
	}
	p.world.updateList(servers, emulator.Draining)
	if err := wait(ctx, drainTime); err != nil {
		return err
	}
	p.world.updateList(servers, emulator.Removed)
	return nil
}

// setNodesDown kills the nodes of a zone, or starts them again.
func (p *scenarioRun) setNodesDown(ctx context.Context, zone string, on bool) error {
	var names []string
	for _, n := range p.near[zone] {
		if names = append(names, n.Spec.Name); on {
			n.Kill()
		}
	}
	if on {
		return nil
	}
	return p.fleet.Start(ctx, names...)
}

// placeLogLine is a line of a node's log on a place.
var placeLogLine = regexp.MustCompile(`^time=(\S+) .*msg="(place [^"]*)"`)

// result reads what the nodes said of places, and what rules were broken.
func (p *scenarioRun) result(began time.Time) *simulation.Outcome {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	o := p.world.outcome
	p.world.outcome = nil
	for _, name := range p.fleet.Names {
		for _, proc := range p.fleet.Nodes[name].Processes() {
			for line := range strings.Lines(proc.Log()) {
				m := placeLogLine.FindStringSubmatch(line)
				if m == nil {
					continue
				}
				if at, err := time.Parse(time.RFC3339, m[1]); err == nil {
					o.Mark(p.from+at.Sub(began), name, m[2])
				}
			}
		}
	}
	broken, n := p.world.Checker.Violations()
	o.Broken, o.BrokenRules = n, append([]string{}, broken...)
	return o
}
