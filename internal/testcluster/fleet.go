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

// stateOf is what a node knows of a member; empty for nothing.
func stateOf(v node.FleetView, name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return string(m.State)
		}
	}
	return ""
}

// Fleet is nodes that are members of one fleet; gossip passes between each two over a link of the rig.
type Fleet struct {
	Nodes   map[string]*Node
	Names   []string // in order
	cluster *Cluster
}

// FleetSpec says what fleet to make.
type FleetSpec struct {
	Nodes   int
	Zones   []string // that the nodes are in, in turn
	ProbeMs float64
	Label   string
	KeyFile string
	Sockets int
	Quota   float64 // requests a second of all tenants over the fleet
	Classes []emulator.Class
	Tenants []emulator.Tenant

	Topology      map[string]any // the section of that name in the nodes' files; nil for none
	RetainMissing bool
	PollList      bool // the list is asked for, where it is pushed otherwise
}

// NewFleet makes the nodes of a fleet in this world; Start starts them.
func (w *World) NewFleet(spec FleetSpec) (*Fleet, error) {
	f := &Fleet{Nodes: make(map[string]*Node), cluster: w.cluster}
	hosts := make(map[string]string) // who sends from where
	var all []*Node
	for i := range spec.Nodes {
		name, zone := fmt.Sprintf("n%02d", i), spec.Zones[i%len(spec.Zones)]
		settings := Settings(i, spec.Nodes, zone, spec.Classes, spec.Tenants, spec.Quota)
		if spec.PollList {
			settings["registryMode"] = "subscribe"
		}
		n, err := w.AddNode(NodeSpec{Name: name, Sockets: spec.Sockets, Topology: spec.Topology, RetainMissing: spec.RetainMissing,
			Settings: settings})
		if err != nil {
			return nil, err
		}
		all = append(all, n)
		hosts[n.Host] = name
		f.Nodes[name], f.Names = n, append(f.Names, name)
	}
	join := []string{}
	for i, n := range all {
		at, err := w.cluster.RelayGossip(n.Spec.Name, n.Gossip(), func(host string) string { return hosts[host] })
		if err != nil {
			return nil, err
		}
		n.Spec.Fleet = map[string]any{"bind": n.Gossip(), "advertise": at, "label": spec.Label,
			"key_file": spec.KeyFile, "probe_ms": spec.ProbeMs}
		if i < 3 {
			join = append(join, at)
		}
	}
	for _, n := range all {
		n.Spec.Fleet["join"] = join
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

// View is what a node says of the fleet.
func (f *Fleet) View(ctx context.Context, name string) (v node.FleetView, err error) {
	err = Get(ctx, f.Nodes[name].Control(), "/fleet", &v)
	return v, err
}

// AwaitAgree waits until each of these nodes hears all of these, suspects none, and hears nobody else; it
// returns how long that took.
func (f *Fleet) AwaitAgree(ctx context.Context, names ...string) (time.Duration, error) {
	began := time.Now()
	want := slices.Sorted(slices.Values(names))
	for _, name := range want {
		var last []string
		err := Await(ctx, name+" to agree", func() bool {
			v, err := f.View(ctx, name)
			if err == nil {
				last = v.Present()
			}
			return err == nil && slices.Equal(last, want) &&
				!slices.ContainsFunc(v.Members, func(m node.FleetMember) bool { return m.State == membership.Suspect })
		})
		if err != nil {
			return 0, fmt.Errorf("%w: it hears %v, want %v", err, last, want)
		}
	}
	return time.Since(began), nil
}

// AwaitState waits until each of these nodes holds one for that, and returns how long that took for each.
func (f *Fleet) AwaitState(ctx context.Context, who, state string, names ...string) ([]time.Duration, error) {
	began := time.Now()
	took := make([]time.Duration, len(names))
	failed := make(chan error, len(names))
	for i, name := range names {
		go func() {
			last := ""
			err := Await(ctx, name+" to hold "+who+" for "+state, func() bool {
				v, err := f.View(ctx, name)
				if err == nil {
					last = stateOf(v, who)
				}
				took[i] = time.Since(began)
				return err == nil && last == state
			})
			if err != nil {
				err = fmt.Errorf("%w: it is %q", err, last)
			}
			failed <- err
		}()
	}
	var first error
	for range names {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return took, first
}

// StateReports counts how often a node's processes told in their logs that members are now in a state, by member. Of
// equal lines within ten seconds one is told.
func (f *Fleet) StateReports(name, state string) map[string]int {
	told := make(map[string]int)
	for _, p := range f.Nodes[name].Processes() {
		for line := range strings.Lines(p.Log()) {
			if _, rest, ok := strings.Cut(line, "member state changed\" state="+state+" node="); ok {
				member, _, _ := strings.Cut(rest, " ")
				told[member]++
			}
		}
	}
	return told
}

// Deaths counts what all nodes told of deaths so far.
func (f *Fleet) Deaths() (sum int) {
	for _, name := range f.Names {
		for _, n := range f.StateReports(name, "dead") {
			sum += n
		}
	}
	return sum
}

// Without are all nodes of the fleet but these.
func (f *Fleet) Without(names ...string) []string {
	return slices.DeleteFunc(slices.Clone(f.Names), func(n string) bool { return slices.Contains(names, n) })
}

// Split cuts the gossip between the sides, or heals it where there is one side alone.
func (f *Fleet) Split(sides ...[]string) {
	side := make(map[string]int)
	for i, names := range sides {
		for _, n := range names {
			side[n] = i
		}
	}
	for _, a := range f.Names {
		for _, b := range f.Names {
			if a != b {
				faults := f.cluster.Link(a, b)
				faults.Cut = side[a] != side[b]
				f.cluster.SetLink(a, b, faults)
			}
		}
	}
}

// Lose has a part of all gossip lost.
func (f *Fleet) Lose(part float64) {
	for _, a := range f.Names {
		for _, b := range f.Names {
			if a != b {
				faults := f.cluster.Link(a, b)
				faults.Loss = part
				f.cluster.SetLink(a, b, faults)
			}
		}
	}
}
