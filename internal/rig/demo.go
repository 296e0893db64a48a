package rig

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"sloerail/internal/emulator"
	"sloerail/internal/output"
)

// DemoSpec says what Demo plays.
type DemoSpec struct {
	For   time.Duration
	Nodes int
	Seed  uint64
}

// Check says what can't be played.
func (d DemoSpec) Check() error {
	switch {
	case d.For < 3*time.Second || d.For > 10*time.Minute:
		return fmt.Errorf("for: want 3 s to 10 min, got %v", d.For)
	case d.Nodes < 2 || d.Nodes > 15:
		return fmt.Errorf("nodes: want 2 to 15, got %d", d.Nodes)
	}
	return nil
}

// Demo plays the main job on loopback: a fleet of real nodes between stand-in clients and app boxes of three
// zones, the death and return of a node and the trouble of a box on the way. It writes what happens as it goes,
// and a table at the end; the error says what was broken.
func Demo(ctx context.Context, out io.Writer, d DemoSpec) (err error) {
	dir, err := os.MkdirTemp("", "sloerail-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer Clean()
	r, err := New(dir, d.Seed)
	if err != nil {
		return err
	}
	defer r.Close()
	text := output.NewPrinter(out)
	text.Println("building the node ...")
	if _, err := Build(nodeProgram); err != nil {
		return err
	}
	p := &play{DemoSpec: d, out: text}
	if err := p.start(ctx, r); err != nil {
		return err
	}
	if err := p.run(ctx); err != nil {
		return err
	}
	return p.tell()
}

// play is a demo under way.
type play struct {
	DemoSpec
	out   *output.Printer
	w     *World
	fleet *Fleet
	load  *Load
	began time.Time
}

var demoZones = []string{"a", "b", "c"}

const (
	demoBoxes = 9
	demoRate  = 60 // requests a second: about half of what the boxes can do
)

func (p *play) start(ctx context.Context, r *Rig) error {
	var boxes []emulator.BoxSpec
	for i := range demoBoxes {
		spec := emulator.DefaultBox(fmt.Sprintf("s-%d", i), demoZones[i%len(demoZones)])
		spec.Cell = int64(i % len(demoZones)) // numbered through all zones
		boxes = append(boxes, spec)
	}
	tenants := []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
	p.w = r.NewWorld(p.Seed, boxes...)
	var err error
	p.fleet, err = p.w.NewFleet(FleetSpec{Nodes: p.Nodes, Zones: demoZones, Classes: emulator.Classes(), Tenants: tenants,
		Quota: 4 * demoRate})
	if err != nil {
		return err
	}
	if err := p.fleet.Start(ctx, p.fleet.Names...); err != nil {
		return err
	}
	var nodes []*Node
	for _, name := range p.fleet.Names {
		nodes = append(nodes, p.fleet.Nodes[name])
	}
	p.began = time.Now()
	p.load = p.w.Clients("c", emulator.ClientSpec{Rate: demoRate, Classes: emulator.Classes(), Tenants: tenants, Tries: 3,
		Wait: 50 * time.Millisecond, Until: p.For}, nodes...)
	return nil
}

func (p *play) say(format string, args ...any) {
	p.out.Printf("%5.1f s  "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
}

// run plays the troubles, and shows each second how it goes.
func (p *play) run(ctx context.Context) error {
	victim, ill := p.fleet.Names[1], "s-4"
	box := func(f emulator.BoxFault) func() error {
		return func() error {
			p.w.Look(func() { p.w.Box(ill).Fault = f })
			return nil
		}
	}
	troubles := []struct {
		at   time.Duration
		what string
		do   func() error
	}{
		{p.For / 4, victim + " is killed", func() error { p.fleet.Nodes[victim].Kill(); return nil }},
		{p.For / 3, ill + " fails seven of ten", box(emulator.BoxFault{Errors: 0.7})},
		{p.For / 2, victim + " is back", func() error { return p.fleet.Start(ctx, victim) }},
		{p.For * 2 / 3, ill + " is well again", box(emulator.BoxFault{})},
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for len(troubles) > 0 || time.Since(p.began) < p.For {
		next := p.For
		if len(troubles) > 0 {
			next = troubles[0].at
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.began.Add(next))):
			if len(troubles) > 0 {
				p.say("%s", troubles[0].what)
				if err := troubles[0].do(); err != nil {
					return err
				}
				troubles = troubles[1:]
			}
		case <-tick.C:
			p.show(ctx)
		}
	}
	return p.load.Wait(ctx)
}

func (p *play) show(ctx context.Context) {
	heard := ""
	for _, name := range p.fleet.Names {
		if v, err := p.fleet.View(ctx, name); err == nil {
			heard += fmt.Sprintf(" %s hears %d", name, v.Heard)
		} else {
			heard += " " + name + " is away"
		}
	}
	s := p.load.Sums()
	p.say("asked %d, served in time %d, late %d, refused tries %d;%s", s.Asked, s.InTime, s.Late, s.Refusals, heard)
}

// tell shows what came of each class, and says which rules were broken.
func (p *play) tell() error {
	t := output.NewTable(p.out, "class", "asked", "served in time", "late", "not served")
	var broken []string
	var count int
	p.w.Look(func() {
		for _, name := range slices.Sorted(maps.Keys(p.load.clients.Sums)) {
			s := p.load.clients.Sums[name]
			t.AppendRow(table.Row{name, s.Asked, fmt.Sprintf("%.1f%%", 100*float64(s.InTime)/float64(max(1, s.Asked))), s.Late,
				s.Unserved})
		}
		broken, count = p.w.Judge.Breaches()
		broken = slices.Clone(broken)
	})
	t.Render()
	p.out.Printf("rules broken: %d\n", count)
	for _, b := range broken {
		p.out.Println(" ", b)
	}
	if count > 0 {
		return fmt.Errorf("%d rules were broken", count)
	}
	return p.out.Err()
}
