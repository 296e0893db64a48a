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

// DemoSpec says how long Demo plays, and with how many nodes.
type DemoSpec struct {
	Duration time.Duration
	Nodes    int
	Seed     uint64
}

// Check returns an error that names the field that is out of range.
func (d DemoSpec) Check() error {
	switch {
	case d.Duration < 3*time.Second || d.Duration > 10*time.Minute:
		return fmt.Errorf("for: want 3 s to 10 min, got %v", d.Duration)
	case d.Nodes < 2 || d.Nodes > 15:
		return fmt.Errorf("nodes: want 2 to 15, got %d", d.Nodes)
	}
	return nil
}

// Demo plays a fleet of real nodes on loopback between emulated clients and servers of three zones, with the death and
// return of a node and the fault of a server on the way. It writes what happens as it goes, and a table at the end; the
// error says which rules were broken.
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
	env   *Environment
	fleet *Fleet
	load  *LoadGenerator
	began time.Time
}

var demoZones = []string{"a", "b", "c"}

const (
	demoServers = 9
	demoRate    = 60 // requests a second: about half of the servers' capacity
)

func (p *demoRun) start(ctx context.Context, r *Cluster) error {
	var servers []emulator.ServerSpec
	for i := range demoServers {
		spec := emulator.DefaultServer(fmt.Sprintf("s-%d", i), demoZones[i%len(demoZones)])
		spec.Cell = int64(i % len(demoZones)) // numbered through all zones
		servers = append(servers, spec)
	}
	tenants := []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
	p.env = r.NewEnvironment(p.Seed, servers...)
	var err error
	p.fleet, err = p.env.NewFleet(FleetSpec{Nodes: p.Nodes, Zones: demoZones, Classes: emulator.Classes(), Tenants: tenants,
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
	p.load = p.env.StartClients("c", emulator.ClientSpec{Rate: demoRate, Classes: emulator.Classes(), Tenants: tenants, MaxRetries: 3,
		RetryDelay: 50 * time.Millisecond, Until: p.Duration}, nodes...)
	return nil
}

func (p *demoRun) printf(format string, args ...any) {
	p.out.Printf("%5.1f s  "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
}

// demoEvent is a fault or its end.
type demoEvent struct {
	at   time.Duration
	what string
	do   func() error
}

func (p *demoRun) events(ctx context.Context) []demoEvent {
	const faultyServer = "s-4"
	killed := p.fleet.Names[1]
	setFault := func(f emulator.ServerFault) func() error {
		return func() error {
			p.env.WithLock(func() { p.env.Server(faultyServer).Fault = f })
			return nil
		}
	}
	return []demoEvent{
		{p.Duration / 4, killed + " is killed", func() error { p.fleet.Nodes[killed].Kill(); return nil }},
		{p.Duration / 3, faultyServer + " fails seven of ten", setFault(emulator.ServerFault{ErrorFraction: 0.7})},
		{p.Duration / 2, killed + " is back", func() error { return p.fleet.Start(ctx, killed) }},
		{p.Duration * 2 / 3, faultyServer + " is well again", setFault(emulator.ServerFault{})},
	}
}

// run plays the events, and prints the state of the fleet each second.
func (p *demoRun) run(ctx context.Context) error {
	events := p.events(ctx)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for len(events) > 0 || time.Since(p.began) < p.Duration {
		next := p.Duration
		if len(events) > 0 {
			next = events[0].at
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(p.began.Add(next))):
			if len(events) == 0 {
				continue
			}
			p.printf("%s", events[0].what)
			if err := events[0].do(); err != nil {
				return err
			}
			events = events[1:]
		case <-tick.C:
			p.printStatus(ctx)
		}
	}
	return p.load.Wait(ctx)
}

func (p *demoRun) printStatus(ctx context.Context) {
	status := ""
	for _, name := range p.fleet.Names {
		if v, err := p.fleet.View(ctx, name); err == nil {
			status += fmt.Sprintf(" %s hears %d", name, v.Reachable)
		} else {
			status += " " + name + " is away"
		}
	}
	s := p.load.Stats()
	p.printf("asked %d, served in time %d, late %d, refused tries %d;%s", s.Requests, s.InTime, s.Late, s.Rejections, status)
}

// printResult prints the outcome by class, and the rules that were broken.
func (p *demoRun) printResult() error {
	t := output.NewTable(p.out, "class", "asked", "served in time", "late", "not served")
	var violations []string
	var count int
	p.env.WithLock(func() {
		for _, name := range slices.Sorted(maps.Keys(p.load.clients.Stats)) {
			s := p.load.clients.Stats[name]
			t.AppendRow(table.Row{name, s.Requests, fmt.Sprintf("%.1f%%", 100*float64(s.InTime)/float64(max(1, s.Requests))), s.Late,
				s.Failed})
		}
		violations, count = p.env.Checker.Violations()
		violations = slices.Clone(violations)
	})
	t.Render()
	p.out.Printf("rules broken: %d\n", count)
	for _, violation := range violations {
		p.out.Println(" ", violation)
	}
	if count > 0 {
		return fmt.Errorf("%d rules were broken", count)
	}
	return p.out.Err()
}
