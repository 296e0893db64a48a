package testcluster

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

// Demo plays the main job on loopback: a fleet of real nodes between stand-in clients and servers of three
// zones, the death and return of a node and the fault of a server on the way. It writes what happens as it goes,
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
	p := &demoRun{DemoSpec: d, out: text}
	if err := p.start(ctx, r); err != nil {
		return err
	}
	if err := p.run(ctx); err != nil {
		return err
	}
	return p.printResult()
}

// demoRun is a demo under way.
type demoRun struct {
	DemoSpec
	out   *output.Printer
	world *World
	fleet *Fleet
	load  *LoadGenerator
	began time.Time
}

var demoZones = []string{"a", "b", "c"}

const (
	demoServers = 9
	demoRate    = 60 // requests a second: about half of what the servers can do
)

func (p *demoRun) start(ctx context.Context, r *Cluster) error {
	var servers []emulator.ServerSpec
	for i := range demoServers {
		spec := emulator.DefaultServer(fmt.Sprintf("s-%d", i), demoZones[i%len(demoZones)])
		spec.Cell = int64(i % len(demoZones)) // numbered through all zones
		servers = append(servers, spec)
	}
	tenants := []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
	p.world = r.NewWorld(p.Seed, servers...)
	var err error
	p.fleet, err = p.world.NewFleet(FleetSpec{Nodes: p.Nodes, Zones: demoZones, Classes: emulator.Classes(), Tenants: tenants,
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
	p.load = p.world.Clients("c", emulator.ClientSpec{Rate: demoRate, Classes: emulator.Classes(), Tenants: tenants, Tries: 3,
		Wait: 50 * time.Millisecond, Until: p.For}, nodes...)
	return nil
}

func (p *demoRun) printf(format string, args ...any) {
	p.out.Printf("%5.1f s  "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
}

// run plays the faults, and shows each second how it goes.
func (p *demoRun) run(ctx context.Context) error {
	victim, ill := p.fleet.Names[1], "s-4"
	box := func(f emulator.ServerFault) func() error {
		return func() error {
			p.world.Look(func() { p.world.Server(ill).Fault = f })
			return nil
		}
	}
	faults := []struct {
		at   time.Duration
		what string
		do   func() error
	}{
		{p.For / 4, victim + " is killed", func() error { p.fleet.Nodes[victim].Kill(); return nil }},
		{p.For / 3, ill + " fails seven of ten", box(emulator.ServerFault{Errors: 0.7})},
		{p.For / 2, victim + " is back", func() error { return p.fleet.Start(ctx, victim) }},
		{p.For * 2 / 3, ill + " is well again", box(emulator.ServerFault{})},
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for len(faults) > 0 || time.Since(p.began) < p.For {
		next := p.For
		if len(faults) > 0 {
			next = faults[0].at
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.began.Add(next))):
			if len(faults) > 0 {
				p.printf("%s", faults[0].what)
				if err := faults[0].do(); err != nil {
					return err
				}
				faults = faults[1:]
			}
		case <-tick.C:
			p.printStatus(ctx)
		}
	}
	return p.load.Wait(ctx)
}

func (p *demoRun) printStatus(ctx context.Context) {
	heard := ""
	for _, name := range p.fleet.Names {
		if v, err := p.fleet.View(ctx, name); err == nil {
			heard += fmt.Sprintf(" %s hears %d", name, v.Heard)
		} else {
			heard += " " + name + " is away"
		}
	}
	s := p.load.Sums()
	p.printf("asked %d, served in time %d, late %d, refused tries %d;%s", s.Asked, s.InTime, s.Late, s.Refusals, heard)
}

// printResult shows what came of each class, and says which rules were broken.
func (p *demoRun) printResult() error {
	t := output.NewTable(p.out, "class", "asked", "served in time", "late", "not served")
	var broken []string
	var count int
	p.world.Look(func() {
		for _, name := range slices.Sorted(maps.Keys(p.load.clients.Sums)) {
			s := p.load.clients.Sums[name]
			t.AppendRow(table.Row{name, s.Asked, fmt.Sprintf("%.1f%%", 100*float64(s.InTime)/float64(max(1, s.Asked))), s.Late,
				s.Unserved})
		}
		broken, count = p.world.Checker.Violations()
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
