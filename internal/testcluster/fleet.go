package testcluster

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/membership"
	"sloerail/internal/node"
)

// stateOf returns the state of a member in a view, or an empty string if the view lacks the member.
func stateOf(v node.FleetView, name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return string(m.State)
		}
	}
	return ""
}

// Fleet is a set of nodes that are configured as members of one fleet. Gossip between them passes through relays.
type Fleet struct {
	Nodes   map[string]*Node
	Names   []string // in order of position
	cluster *Cluster
}

// FleetSpec describes a fleet.
type FleetSpec struct {
	Nodes   int
	Zones   []string // assigned to the nodes round-robin
	ProbeMs float64
	Label   string
	KeyFile string
	Sockets int
	Quota   float64 // requests per second, of all tenants together, over the whole fleet
	Classes []emulator.Class
	Tenants []emulator.Tenant

	Topology      map[string]any // the section "places" of the nodes' configuration files; omitted if nil
	RetainMissing bool
	PollList      bool // poll the list instead of watching it
}

// seedNodes is the number of nodes that all nodes of a fleet are configured to join.
const seedNodes = 3

// NewFleet creates the nodes of a fleet in this environment, without starting them.
func (e *Environment) NewFleet(spec FleetSpec) (*Fleet, error) {
	f := &Fleet{Nodes: make(map[string]*Node), cluster: e.cluster}
	nameOfHost := make(map[string]string)
	var nodes []*Node
	for i := range spec.Nodes {
		name, zone := fmt.Sprintf("n%02d", i), spec.Zones[i%len(spec.Zones)]
		settings := Settings(i, spec.Nodes, zone, spec.Classes, spec.Tenants, spec.Quota)
		if spec.PollList {
			settings["registryMode"] = "subscribe"
		}
		n, err := e.AddNode(NodeSpec{Name: name, Sockets: spec.Sockets, Topology: spec.Topology, RetainMissing: spec.RetainMissing,
			Settings: settings})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		nameOfHost[n.Host] = name
		f.Nodes[name], f.Names = n, append(f.Names, name)
	}
	seeds := []string{}
	for i, n := range nodes {
		address, err := e.cluster.RelayGossip(n.Spec.Name, n.GossipAddress(), func(host string) string { return nameOfHost[host] })
		if err != nil {
			return nil, err
		}
		n.Spec.Fleet = map[string]any{"bind": n.GossipAddress(), "advertise": address, "label": spec.Label,
			"key_file": spec.KeyFile, "probe_ms": spec.ProbeMs}
		if i < seedNodes {
			seeds = append(seeds, address)
		}
	}
	for _, n := range nodes {
		n.Spec.Fleet["join"] = seeds
	}
	return f, nil
}

// Start starts the named nodes and waits until all are ready for clients.
func (f *Fleet) Start(ctx context.Context, names ...string) error {
	for _, name := range names {
		if _, err := f.Nodes[name].Start(); err != nil {
			return err
		}
	}
	for _, name := range names {
		if err := f.Nodes[name].Ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

// View returns a node's view of the fleet.
func (f *Fleet) View(ctx context.Context, name string) (v node.FleetView, err error) {
	err = Get(ctx, f.Nodes[name].ControlAddress(), "/fleet", &v)
	return v, err
}

// AwaitMembership waits until the present members in the view of each named node are exactly the named nodes, and no
// member is suspect. It returns how long that took.
func (f *Fleet) AwaitMembership(ctx context.Context, names ...string) (time.Duration, error) {
	began := time.Now()
	want := slices.Sorted(slices.Values(names))
	for _, name := range want {
		var present []string
		err := Await(ctx, name+" to have the expected members", func() bool {
			view, err := f.View(ctx, name)
			if err == nil {
				present = view.Present()
			}
			return err == nil && slices.Equal(present, want) &&
				!slices.ContainsFunc(view.Members, func(m node.FleetMember) bool { return m.State == membership.Suspect })
		})
		if err != nil {
			return 0, fmt.Errorf("%w: present members: got %v, want %v", err, present, want)
		}
	}
	return time.Since(began), nil
}

// AwaitState waits until a member is in the given state in the view of each named node. It returns how long that took for
// each of them.
func (f *Fleet) AwaitState(ctx context.Context, member, state string, names ...string) ([]time.Duration, error) {
	began := time.Now()
	times := make([]time.Duration, len(names))
	indices := make([]int, len(names))
	for i := range indices {
		indices[i] = i
	}
	err := forEachConcurrent(indices, func(i int) error {
		last := ""
		err := Await(ctx, names[i]+" to see member "+member+" in state "+state, func() bool {
			view, err := f.View(ctx, names[i])
			if err == nil {
				last = stateOf(view, member)
			}
			times[i] = time.Since(began)
			return err == nil && last == state
		})
		if err != nil {
			return fmt.Errorf("%w: last state: %q", err, last)
		}
		return nil
	})
	return times, err
}

// StateReports counts, by member, how often the processes of a node have logged that the member entered the given state.
// It reads the last maxLogBytes of each log. A node logs identical lines at most once in ten seconds.
func (f *Fleet) StateReports(name, state string) map[string]int {
	reports := make(map[string]int)
	for _, p := range f.Nodes[name].Processes() {
		for line := range strings.Lines(p.Log()) {
			if _, rest, ok := strings.Cut(line, "member state changed\" state="+state+" node="); ok {
				member, _, _ := strings.Cut(rest, " ")
				reports[member]++
			}
		}
	}
	return reports
}

// DeathReports returns the number of member deaths in the logs of all nodes, summed over the nodes.
func (f *Fleet) DeathReports() (sum int) {
	for _, name := range f.Names {
		for _, n := range f.StateReports(name, "dead") {
			sum += n
		}
	}
	return sum
}

// Others returns the names of all nodes of the fleet except the given ones.
func (f *Fleet) Others(names ...string) []string {
	return slices.DeleteFunc(slices.Clone(f.Names), func(n string) bool { return slices.Contains(names, n) })
}

// Partition cuts the gossip between nodes of different sides, and restores it between nodes of the same side. Nodes that
// are on no side belong to the first side, so a call without sides heals all partitions.
func (f *Fleet) Partition(sides ...[]string) {
	sideOf := make(map[string]int)
	for i, names := range sides {
		for _, name := range names {
			sideOf[name] = i
		}
	}
	f.updateGossipFaults(func(from, to string, faults *Faults) { faults.Cut = sideOf[from] != sideOf[to] })
}

// SetLoss sets the fraction of the gossip that is lost on every path.
func (f *Fleet) SetLoss(fraction float64) {
	f.updateGossipFaults(func(_, _ string, faults *Faults) { faults.Loss = fraction })
}

// updateGossipFaults changes the faults of every path between two nodes.
func (f *Fleet) updateGossipFaults(change func(from, to string, faults *Faults)) {
	for _, from := range f.Names {
		for _, to := range f.Names {
			if from != to {
				f.cluster.links.update(path{from, to}, func(faults *Faults) { change(from, to, faults) })
			}
		}
	}
}
