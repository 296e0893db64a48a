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

// stateOf returns the state of a member in a view; empty for an unknown one.
func stateOf(v node.FleetView, name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return string(m.State)
		}
	}
	return ""
}

// Fleet is nodes that are members of one fleet. Gossip between each two passes through a relay.
type Fleet struct {
	Nodes   map[string]*Node
	Names   []string // in order
	cluster *Cluster
}

// FleetSpec describes a fleet.
type FleetSpec struct {
	Nodes   int
	Zones   []string // of the nodes, in turn
	ProbeMs float64
	Label   string
	KeyFile string
	Sockets int
	Quota   float64 // requests a second of all tenants over the fleet
	Classes []emulator.Class
	Tenants []emulator.Tenant

	Topology      map[string]any // the section of that name in the nodes' files; nil for none
	RetainMissing bool
	PollList      bool // poll the list instead of watching it
}

// seedNodes is how many nodes of a fleet the others join by.
const seedNodes = 3

// NewFleet makes the nodes of a fleet in this environment; Start starts them.
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
		address, err := e.cluster.RelayGossip(n.Spec.Name, n.Gossip(), func(host string) string { return nameOfHost[host] })
		if err != nil {
			return nil, err
		}
		n.Spec.Fleet = map[string]any{"bind": n.Gossip(), "advertise": address, "label": spec.Label,
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

// Start starts these nodes, and waits until each takes clients.
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
	err = Get(ctx, f.Nodes[name].Control(), "/fleet", &v)
	return v, err
}

// AwaitMembership waits until each of these nodes has just these as its members that are present, and suspects none. It
// returns how long that took.
func (f *Fleet) AwaitMembership(ctx context.Context, names ...string) (time.Duration, error) {
	began := time.Now()
	want := slices.Sorted(slices.Values(names))
	for _, name := range want {
		var present []string
		err := Await(ctx, name+" to agree", func() bool {
			view, err := f.View(ctx, name)
			if err == nil {
				present = view.Present()
			}
			return err == nil && slices.Equal(present, want) &&
				!slices.ContainsFunc(view.Members, func(m node.FleetMember) bool { return m.State == membership.Suspect })
		})
		if err != nil {
			return 0, fmt.Errorf("%w: present are %v, want %v", err, present, want)
		}
	}
	return time.Since(began), nil
}

// AwaitState waits until each of these nodes has a member in a state. It returns how long that took for each.
func (f *Fleet) AwaitState(ctx context.Context, member, state string, names ...string) ([]time.Duration, error) {
	began := time.Now()
	times := make([]time.Duration, len(names))
	indices := make([]int, len(names))
	for i := range indices {
		indices[i] = i
	}
	err := forEach(indices, func(i int) error {
		last := ""
		err := Await(ctx, names[i]+" to hold "+member+" for "+state, func() bool {
			view, err := f.View(ctx, names[i])
			if err == nil {
				last = stateOf(view, member)
			}
			times[i] = time.Since(began)
			return err == nil && last == state
		})
		if err != nil {
			return fmt.Errorf("%w: it is %q", err, last)
		}
		return nil
	})
	return times, err
}

// StateReports counts, by member, how often a node's processes have logged that it is now in a state. Of equal lines
// within ten seconds the node logs one.
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

// DeathReports counts the deaths that all nodes have logged so far.
func (f *Fleet) DeathReports() (sum int) {
	for _, name := range f.Names {
		for _, n := range f.StateReports(name, "dead") {
			sum += n
		}
	}
	return sum
}

// Others returns all nodes of the fleet but these.
func (f *Fleet) Others(names ...string) []string {
	return slices.DeleteFunc(slices.Clone(f.Names), func(n string) bool { return slices.Contains(names, n) })
}

// Partition cuts the gossip between the sides. Nodes of no side are in the first, so that without sides it heals all.
func (f *Fleet) Partition(sides ...[]string) {
	sideOf := make(map[string]int)
	for i, names := range sides {
		for _, name := range names {
			sideOf[name] = i
		}
	}
	f.updateGossipFaults(func(from, to string, faults *Faults) { faults.Cut = sideOf[from] != sideOf[to] })
}

// SetLoss has a fraction of all gossip lost.
func (f *Fleet) SetLoss(fraction float64) {
	f.updateGossipFaults(func(_, _ string, faults *Faults) { faults.Loss = fraction })
}

func (f *Fleet) updateGossipFaults(change func(from, to string, faults *Faults)) {
	for _, from := range f.Names {
		for _, to := range f.Names {
			if from != to {
				f.cluster.links.update(path{from, to}, func(faults *Faults) { change(from, to, faults) })
			}
		}
	}
}
