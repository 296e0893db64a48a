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

// drainTime is how long a draining server stays in the list before it is removed.
const drainTime = 5 * time.Second

// scenarioRun is the state of a scenario that runs with real nodes.
type scenarioRun struct {
	simulation.Scenario
	env         *Environment
	fleet       *Fleet
	servers     []emulator.ServerSpec
	generators  map[string][]*LoadGenerator // by zone
	nodesByZone map[string][]*Node
	origin      emulator.Time // start of the scenario on the environment's clock
}

// PlayScenario runs a scenario with real nodes in real time and returns its outcome. All zones of the scenario must have
// the same number of nodes.
func (c *Cluster) PlayScenario(ctx context.Context, s simulation.Scenario, seed uint64) (*simulation.Outcome, error) {
	run := &scenarioRun{Scenario: s, servers: s.ServerSpecs(seed), generators: make(map[string][]*LoadGenerator), nodesByZone: make(map[string][]*Node)}
	run.env = c.NewEnvironment(seed, run.servers...)
	if err := run.start(ctx); err != nil {
		return nil, err
	}
	run.env.WithLock(func() {
		run.origin = run.env.now()
		run.env.outcome = simulation.NewOutcome(s, run.servers, emulator.Classes(), run.origin)
	})
	began := time.Now()
	for _, z := range s.Zones {
		run.addClients(z.Name, 1, s.Length.Duration)
	}
	if err := run.play(ctx, began); err != nil {
		return nil, err
	}
	for _, loads := range run.generators {
		for _, l := range loads {
			if err := l.Wait(ctx); err != nil {
				return nil, err
			}
		}
	}
	return run.result(began), nil
}

// start starts the fleet of the scenario and waits until its members know each other.
func (r *scenarioRun) start(ctx context.Context) error {
	spec := FleetSpec{Classes: emulator.Classes(), Tenants: r.Tenants(), RetainMissing: true}
	regions, only := make(map[string][]string), make(map[string][]string)
	for _, z := range r.Zones {
		if z.Nodes != r.Zones[0].Nodes {
			return fmt.Errorf("scenario %q: zones[%s].nodes: must be the same in all zones", r.Name, z.Name)
		}
		spec.Nodes += z.Nodes
		spec.Zones = append(spec.Zones, z.Name)
		regions[z.Region] = append(regions[z.Region], z.Name)
	}
	for _, b := range r.Bindings {
		only[b.Class] = b.Regions
	}
	spec.Quota = r.QuotaFor(spec.Nodes)
	if r.Topology {
		spec.Topology = map[string]any{"regions": regions, "only": only}
	}
	var err error
	if r.fleet, err = r.env.NewFleet(spec); err != nil {
		return err
	}
	for i, name := range r.fleet.Names {
		zone := r.Zones[i%len(r.Zones)].Name
		r.nodesByZone[zone] = append(r.nodesByZone[zone], r.fleet.Nodes[name])
	}
	if err := r.fleet.Start(ctx, r.fleet.Names...); err != nil {
		return err
	}
	_, err = r.fleet.AwaitMembership(ctx, r.fleet.Names...)
	return err
}

// addClients starts clients that send requests to a zone's nodes for a duration, at rateFactor times the scenario's rate.
func (r *scenarioRun) addClients(zone string, rateFactor float64, duration time.Duration) {
	nodes, generators := r.nodesByZone[zone], r.generators[zone]
	spec := r.Clients(len(nodes), duration)
	spec.Rate *= rateFactor
	name := fmt.Sprintf("%s%d", zone, len(generators))
	r.generators[zone] = append(generators, r.env.StartClients(name, spec, nodes...))
}

// faultChange is the beginning or the end of a fault.
type faultChange struct {
	at    time.Duration
	fault simulation.Fault
	on    bool
}

// play begins and ends the faults at their times, and returns at the end of the scenario.
func (r *scenarioRun) play(ctx context.Context, began time.Time) error {
	var changes []faultChange
	for _, f := range r.Faults {
		for _, at := range f.StartTimes() {
			changes = append(changes, faultChange{at, f, true})
			if f.Length.Duration > 0 {
				changes = append(changes, faultChange{at + f.Length.Duration, f, false})
			}
		}
	}
	err := forEachConcurrent(changes, func(c faultChange) error {
		if err := sleep(ctx, time.Until(began.Add(c.at))); err != nil {
			return err
		}
		return r.applyFault(ctx, c.fault, c.on)
	})
	if err != nil {
		return err
	}
	return sleep(ctx, time.Until(began.Add(r.Length.Duration)))
}

// applyFault begins a fault, or ends it if on is false.
func (r *scenarioRun) applyFault(ctx context.Context, f simulation.Fault, on bool) error {
	affected := f.Affected(r.servers)
	r.recordFault(f, affected, on)
	isAffected := func(_ string, s emulator.ServerSpec) bool { return slices.Contains(affected, s) }
	switch f.Kind {
	case simulation.Crash, simulation.CrashRestart:
		r.setLinks(isAffected, Faults{Reset: on}, Faults{Reset: on})
		if f.Kind == simulation.CrashRestart && !on {
			r.restart(affected)
		}
	case simulation.ConnectTimeout:
		r.setLinks(isAffected, Faults{Cut: on}, Faults{Cut: on})
	case simulation.ResponseLost:
		r.setLinks(isAffected, Faults{}, Faults{Cut: on})
	case simulation.Partition:
		isSeparated := func(zone string, s emulator.ServerSpec) bool { return f.Separates(zone, s.Zone) }
		r.setLinks(isSeparated, Faults{Cut: on}, Faults{Cut: on})
	case simulation.Unlisted:
		r.env.updateList(affected, removedOrUp(on))
	case simulation.Drain:
		return r.drain(ctx, affected, on)
	case simulation.NodesDown:
		return r.setNodesDown(ctx, f.Zone, on)
	case simulation.LoadIncrease:
		if on {
			r.addLoad(f)
		}
	}
	return nil
}

// recordFault records the beginning or end of a fault in the outcome, and sets or clears it on the affected servers.
func (r *scenarioRun) recordFault(f simulation.Fault, affected []emulator.ServerSpec, on bool) {
	r.env.mu.Lock()
	defer r.env.mu.Unlock()
	r.env.outcome.RecordTimeline(r.env.now(), "", f.Describe(on))
	for _, spec := range affected {
		s := r.env.servers[spec.ID]
		if on {
			r.env.outcome.Interrupted += len(s.completions)
		}
		f.ApplyTo(&s.Fault, on)
	}
}

// addLoad starts additional clients for the duration of a fault.
func (r *scenarioRun) addLoad(f simulation.Fault) {
	for _, z := range r.Zones {
		if f.Zone == "" || f.Zone == z.Name {
			r.addClients(z.Name, f.Factor-1, f.Length.Duration)
		}
	}
}

// setLinks sets the faults of the paths from the nodes of each zone to the selected servers, and of the paths back.
func (r *scenarioRun) setLinks(selected func(zone string, s emulator.ServerSpec) bool, there, back Faults) {
	for zone, nodes := range r.nodesByZone {
		for _, n := range nodes {
			for _, s := range r.servers {
				if selected(zone, s) {
					r.env.cluster.SetLinkFaults(n.Spec.Name, s.ID, there)
					r.env.cluster.SetLinkFaults(s.ID, n.Spec.Name, back)
				}
			}
		}
	}
}

// restart restarts emulated servers and sets their phase in the list to Up. The servers begin with a slow start.
func (r *scenarioRun) restart(servers []emulator.ServerSpec) {
	r.env.WithLock(func() {
		for _, spec := range servers {
			seed := r.env.seed + uint64(len(spec.ID))
			r.env.servers[spec.ID].Server = emulator.NewServer(spec, r.env.now(), seed)
		}
	})
	r.env.updateList(servers, emulator.Up)
}

// drain drains servers and then removes them from the list, or restarts them if on is false.
func (r *scenarioRun) drain(ctx context.Context, servers []emulator.ServerSpec, on bool) error {
	if !on {
		r.restart(servers)
		return nil
	}
	r.env.updateList(servers, emulator.Draining)
	if err := sleep(ctx, drainTime); err != nil {
		return err
	}
	r.env.updateList(servers, emulator.Removed)
	return nil
}

// setNodesDown kills the nodes of a zone, or starts them again if on is false.
func (r *scenarioRun) setNodesDown(ctx context.Context, zone string, on bool) error {
	var names []string
	for _, n := range r.nodesByZone[zone] {
		if names = append(names, n.Spec.Name); on {
			n.Kill()
		}
	}
	if on {
		return nil
	}
	return r.fleet.Start(ctx, names...)
}

// zoneLogLine matches log lines of nodes about zones, and captures their time and message.
var zoneLogLine = regexp.MustCompile(`^time=(\S+) .*msg="(place [^"]*)"`)

// result returns the outcome, with the rule violations and the nodes' log lines about zones added. It reads the last
// maxLogBytes of each log.
func (r *scenarioRun) result(began time.Time) *simulation.Outcome {
	r.env.mu.Lock()
	defer r.env.mu.Unlock()
	outcome := r.env.outcome
	r.env.outcome = nil
	for _, name := range r.fleet.Names {
		for _, process := range r.fleet.Nodes[name].Processes() {
			for line := range strings.Lines(process.Log()) {
				match := zoneLogLine.FindStringSubmatch(line)
				if match == nil {
					continue
				}
				if at, err := time.Parse(time.RFC3339, match[1]); err == nil {
					outcome.RecordTimeline(r.origin+at.Sub(began), name, match[2])
				}
			}
		}
	}
	violations, count := r.env.Checker.Violations()
	outcome.Broken, outcome.BrokenRules = count, append([]string{}, violations...)
	return outcome
}
