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

// drainTime is how long a server that drains stays in the list until it is removed.
const drainTime = 5 * time.Second

// scenarioRun is a scenario under way, with real nodes.
type scenarioRun struct {
	simulation.Scenario
	env         *Environment
	fleet       *Fleet
	servers     []emulator.ServerSpec
	generators  map[string][]*LoadGenerator // by zone
	nodesByZone map[string][]*Node
	origin      emulator.Time // of the scenario, on the environment's clock
}

// PlayScenario plays a scenario with real nodes in real time, and returns its outcome. Its zones have to hold equally
// many nodes.
func (c *Cluster) PlayScenario(ctx context.Context, s simulation.Scenario, seed uint64) (*simulation.Outcome, error) {
	p := &scenarioRun{Scenario: s, servers: s.ServerSpecs(seed), generators: make(map[string][]*LoadGenerator), nodesByZone: make(map[string][]*Node)}
	p.env = c.NewEnvironment(seed, p.servers...)
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	p.env.WithLock(func() {
		p.origin = p.env.now()
		p.env.outcome = simulation.NewOutcome(s, p.servers, emulator.Classes(), p.origin)
	})
	began := time.Now()
	for _, z := range s.Zones {
		p.addClients(z.Name, 1, s.Length.Duration)
	}
	if err := p.play(ctx, began); err != nil {
		return nil, err
	}
	for _, loads := range p.generators {
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
	for _, b := range p.Bindings {
		only[b.Class] = b.Regions
	}
	spec.Quota = p.QuotaFor(spec.Nodes)
	if p.Topology {
		spec.Topology = map[string]any{"regions": regions, "only": only}
	}
	var err error
	if p.fleet, err = p.env.NewFleet(spec); err != nil {
		return err
	}
	for i, name := range p.fleet.Names {
		zone := p.Zones[i%len(p.Zones)].Name
		p.nodesByZone[zone] = append(p.nodesByZone[zone], p.fleet.Nodes[name])
	}
	if err := p.fleet.Start(ctx, p.fleet.Names...); err != nil {
		return err
	}
	_, err = p.fleet.AwaitMembership(ctx, p.fleet.Names...)
	return err
}

// addClients adds clients near a zone, with several times the scenario's rate, for a time.
func (p *scenarioRun) addClients(zone string, rateFactor float64, duration time.Duration) {
	nodes, generators := p.nodesByZone[zone], p.generators[zone]
	spec := p.Clients(len(nodes), duration)
	spec.Rate *= rateFactor
	name := fmt.Sprintf("%s%d", zone, len(generators))
	p.generators[zone] = append(generators, p.env.StartClients(name, spec, nodes...))
}

// faultChange is the begin or the end of a fault.
type faultChange struct {
	at    time.Duration
	fault simulation.Fault
	on    bool
}

// play carries out the faults at their times, and returns when the scenario's time is over.
func (p *scenarioRun) play(ctx context.Context, began time.Time) error {
	var changes []faultChange
	for _, f := range p.Faults {
		for _, at := range f.StartTimes() {
			changes = append(changes, faultChange{at, f, true})
			if f.Length.Duration > 0 {
				changes = append(changes, faultChange{at + f.Length.Duration, f, false})
			}
		}
	}
	err := forEach(changes, func(c faultChange) error {
		if err := sleep(ctx, time.Until(began.Add(c.at))); err != nil {
			return err
		}
		return p.applyFault(ctx, c.fault, c.on)
	})
	if err != nil {
		return err
	}
	return sleep(ctx, time.Until(began.Add(p.Length.Duration)))
}

// applyFault begins a fault, or ends it.
func (p *scenarioRun) applyFault(ctx context.Context, f simulation.Fault, on bool) error {
	affected := f.Affected(p.servers)
	p.recordFault(f, affected, on)
	isAffected := func(_ string, s emulator.ServerSpec) bool { return slices.Contains(affected, s) }
	switch f.Kind {
	case simulation.Crash, simulation.CrashRestart:
		p.setLinks(isAffected, Faults{Reset: on}, Faults{Reset: on})
		if f.Kind == simulation.CrashRestart && !on {
			p.restart(affected)
		}
	case simulation.ConnectTimeout:
		p.setLinks(isAffected, Faults{Cut: on}, Faults{Cut: on})
	case simulation.ResponseLost:
		p.setLinks(isAffected, Faults{}, Faults{Cut: on})
	case simulation.Partition:
		isSeparated := func(zone string, s emulator.ServerSpec) bool { return f.Separates(zone, s.Zone) }
		p.setLinks(isSeparated, Faults{Cut: on}, Faults{Cut: on})
	case simulation.Unlisted:
		p.env.updateList(affected, removedOrUp(on))
	case simulation.Drain:
		return p.drain(ctx, affected, on)
	case simulation.NodesDown:
		return p.setNodesDown(ctx, f.Zone, on)
	case simulation.LoadIncrease:
		if on {
			p.addLoad(f)
		}
	}
	return nil
}

// recordFault records the begin or end of a fault, and changes the faults of the emulated servers.
func (p *scenarioRun) recordFault(f simulation.Fault, affected []emulator.ServerSpec, on bool) {
	p.env.mu.Lock()
	defer p.env.mu.Unlock()
	p.env.outcome.RecordTimeline(p.env.now(), "", f.Describe(on))
	for _, spec := range affected {
		s := p.env.servers[spec.ID]
		if on {
			p.env.outcome.Interrupted += len(s.completions)
		}
		f.ApplyTo(&s.Fault, on)
	}
}

// addLoad adds clients to those of the scenario for the time of a fault.
func (p *scenarioRun) addLoad(f simulation.Fault) {
	for _, z := range p.Zones {
		if f.Zone == "" || f.Zone == z.Name {
			p.addClients(z.Name, f.Factor-1, f.Length.Duration)
		}
	}
}

// setLinks sets the faults, there and back, between the nodes of each zone and the servers that are selected for it.
func (p *scenarioRun) setLinks(selected func(zone string, s emulator.ServerSpec) bool, there, back Faults) {
	for zone, nodes := range p.nodesByZone {
		for _, n := range nodes {
			for _, s := range p.servers {
				if selected(zone, s) {
					p.env.cluster.SetLinkFaults(n.Spec.Name, s.ID, there)
					p.env.cluster.SetLinkFaults(s.ID, n.Spec.Name, back)
				}
			}
		}
	}
}

// restart replaces servers by new processes, in slow start, and notifies the list.
func (p *scenarioRun) restart(servers []emulator.ServerSpec) {
	p.env.WithLock(func() {
		for _, spec := range servers {
			seed := p.env.seed + uint64(len(spec.ID))
			p.env.servers[spec.ID].Server = emulator.NewServer(spec, p.env.now(), seed)
		}
	})
	p.env.updateList(servers, emulator.Up)
}

// drain drains servers and removes them from the list, or puts new ones in their place.
func (p *scenarioRun) drain(ctx context.Context, servers []emulator.ServerSpec, on bool) error {
	if !on {
		p.restart(servers)
		return nil
	}
	p.env.updateList(servers, emulator.Draining)
	if err := sleep(ctx, drainTime); err != nil {
		return err
	}
	p.env.updateList(servers, emulator.Removed)
	return nil
}

// setNodesDown kills the nodes of a zone, or starts them again.
func (p *scenarioRun) setNodesDown(ctx context.Context, zone string, on bool) error {
	var names []string
	for _, n := range p.nodesByZone[zone] {
		if names = append(names, n.Spec.Name); on {
			n.Kill()
		}
	}
	if on {
		return nil
	}
	return p.fleet.Start(ctx, names...)
}

// zoneLogLine is a line of a node's log on a zone.
var zoneLogLine = regexp.MustCompile(`^time=(\S+) .*msg="(place [^"]*)"`)

// result completes the outcome by what the nodes logged on zones, and by the rules that were broken.
func (p *scenarioRun) result(began time.Time) *simulation.Outcome {
	p.env.mu.Lock()
	defer p.env.mu.Unlock()
	outcome := p.env.outcome
	p.env.outcome = nil
	for _, name := range p.fleet.Names {
		for _, process := range p.fleet.Nodes[name].Processes() {
			for line := range strings.Lines(process.Log()) {
				match := zoneLogLine.FindStringSubmatch(line)
				if match == nil {
					continue
				}
				if at, err := time.Parse(time.RFC3339, match[1]); err == nil {
					outcome.RecordTimeline(p.origin+at.Sub(began), name, match[2])
				}
			}
		}
	}
	violations, count := p.env.Checker.Violations()
	outcome.Broken, outcome.BrokenRules = count, append([]string{}, violations...)
	return outcome
}
