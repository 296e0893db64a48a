package rig

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cobaltward/internal/emulator"
)

// FleetView is a node's answer at /fleet.
type FleetView struct {
	Node       string
	View       uint64
	Agreed     int
	Heard      int
	CutOff     bool   `json:"cut_off"`
	Superseded bool   `json:"superseded"`
	SentBytes  uint64 `json:"sent_bytes"`
	Refuted    uint64 `json:"suspicions_refuted"`
	Conflicts  uint64
	LinesQuiet uint64 `json:"log_lines_quieted"`
	Members    []FleetMember
}

// FleetMember is one node in a view.
type FleetMember struct {
	Name, Address, Zone, Version, State string
	Incarnation                         uint64
	SinceMs                             int64 `json:"since_ms"`
}

// Names are the members that the node hears.
func (v FleetView) Names() (all []string) {
	for _, m := range v.Members {
		if m.State == "alive" || m.State == "suspect" {
			all = append(all, m.Name)
		}
	}
	return all
}

// State is what the node knows of a member; empty for nothing.
func (v FleetView) State(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// Fleet is nodes that are members of one fleet; gossip passes between each two over a link of the rig.
type Fleet struct {
	Nodes map[string]*Node
	Names []string // in order
	rig   *Rig
}

// FleetSpec says what fleet to make.
type FleetSpec struct {
	Nodes   int
	Zones   []string // that the nodes are in, in turn
	ProbeMs float64
	Label   string
	Sockets int
	Quota   float64 // requests a second of all tenants over the fleet
	Classes []emulator.Class
	Tenants []emulator.Tenant
}

// NewFleet makes the nodes of a fleet in this world; Start starts them.
func (w *World) NewFleet(spec FleetSpec) (*Fleet, error) {
	f := &Fleet{Nodes: make(map[string]*Node), rig: w.rig}
	hosts := make(map[string]string) // who sends from where
	var all []*Node
	for i := range spec.Nodes {
		name, zone := fmt.Sprintf("n%02d", i), spec.Zones[i%len(spec.Zones)]
		n, err := w.AddNode(NodeSpec{Name: name, Sockets: spec.Sockets,
			Settings: Settings(i, spec.Nodes, zone, spec.Classes, spec.Tenants, spec.Quota)})
		if err != nil {
			return nil, err
		}
		all = append(all, n)
		hosts[n.Host] = name
		f.Nodes[name], f.Names = n, append(f.Names, name)
	}
	join := []string{}
	for i, n := range all {
		at, err := w.rig.RelayGossip(n.Spec.Name, n.Gossip(), func(host string) string { return hosts[host] })
		if err != nil {
			return nil, err
		}
		n.Spec.Fleet = map[string]any{"bind": n.Gossip(), "advertise": at, "label": spec.Label, "probe_ms": spec.ProbeMs}
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
func (f *Fleet) View(ctx context.Context, name string) (v FleetView, err error) {
	err = Get(ctx, f.Nodes[name].Control(), "/fleet", &v)
	return v, err
}

// AwaitAgree waits until each of these nodes hears all of these, and nobody else; it returns how long that took.
func (f *Fleet) AwaitAgree(ctx context.Context, names ...string) (time.Duration, error) {
	began := time.Now()
	want := slices.Sorted(slices.Values(names))
	for _, name := range want {
		var last []string
		err := Await(ctx, name+" to agree", func() bool {
			v, err := f.View(ctx, name)
			last = v.Names()
			return err == nil && slices.Equal(last, want)
		})
		if err != nil {
			return 0, fmt.Errorf("%w: it hears %v, want %v", err, last, want)
		}
	}
	return time.Since(began), nil
}

// AwaitState waits until each of these nodes holds a member for that, and returns how long that took for each.
func (f *Fleet) AwaitState(ctx context.Context, member, state string, names ...string) ([]time.Duration, error) {
	began := time.Now()
	took := make([]time.Duration, len(names))
	failed := make(chan error, len(names))
	for i, name := range names {
		go func() {
			last := ""
			err := Await(ctx, name+" to hold "+member+" for "+state, func() bool {
				v, err := f.View(ctx, name)
				last = v.State(member)
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
				faults := f.rig.Link(a, b)
				faults.Cut = side[a] != side[b]
				f.rig.SetLink(a, b, faults)
			}
		}
	}
}

// Lose has a part of all gossip lost.
func (f *Fleet) Lose(part float64) {
	for _, a := range f.Names {
		for _, b := range f.Names {
			if a != b {
				faults := f.rig.Link(a, b)
				faults.Loss = part
				f.rig.SetLink(a, b, faults)
			}
		}
	}
}
