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

// DemoSpec configures Demo.
type DemoSpec struct {
	Duration time.Duration // of the client load
	Nodes    int
	Seed     uint64
}

// Check returns an error that names the first flag whose value is out of range.
func (d DemoSpec) Check() error {
	switch {
	case d.Duration < 3*time.Second || d.Duration > 10*time.Minute:
		return fmt.Errorf("for: must be 3 s to 10 min, got %v", d.Duration)
	case d.Nodes < 2 || d.Nodes > 15:
		return fmt.Errorf("nodes: must be 2 to 15, got %d", d.Nodes)
	}
	return nil
}

// Demo runs a fleet of real nodes on loopback between emulated clients and emulated servers in three zones. Meanwhile
// it kills and restarts a node, and lets a server fail requests for some time. It prints events and status lines during
// the run, and a table and the rule violations at the end. It returns an error if rules were broken.
func Demo(ctx context.Context, out io.Writer, spec DemoSpec) (err error) {
	dir, err := os.MkdirTemp("", "sloerail-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer Clean()
	cluster, err := New(dir, spec.Seed)
	if err != nil {
		return err
	}
	defer cluster.Close()
	text := output.NewPrinter(out)
	text.Println("building the node program ...")
	if _, err := Build(nodeProgram); err != nil {
		return err
	}
	demo := &demoRun{DemoSpec: spec, out: text}
	if err := demo.start(ctx, cluster); err != nil {
		return err
	}
	if err := demo.run(ctx); err != nil {
		return err
	}
	return demo.printResult()
}

// demoRun is the state of a running demo.
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
	demoRate    = 60 // requests per second, about half of the servers' capacity
)

// start starts the servers, the fleet and the clients.
func (d *demoRun) start(ctx context.Context, cluster *Cluster) error {
	var servers []emulator.ServerSpec
	for i := range demoServers {
		spec := emulator.DefaultServer(fmt.Sprintf("s-%d", i), demoZones[i%len(demoZones)])
		spec.Cell = int64(i % len(demoZones)) // cell numbers are unique across zones
		servers = append(servers, spec)
	}
	tenants := []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}
	d.env = cluster.NewEnvironment(d.Seed, servers...)
	var err error
	d.fleet, err = d.env.NewFleet(FleetSpec{Nodes: d.Nodes, Zones: demoZones, Classes: emulator.Classes(), Tenants: tenants,
		Quota: 4 * demoRate})
	if err != nil {
		return err
	}
	if err := d.fleet.Start(ctx, d.fleet.Names...); err != nil {
		return err
	}
	var nodes []*Node
	for _, name := range d.fleet.Names {
		nodes = append(nodes, d.fleet.Nodes[name])
	}
	d.began = time.Now()
	d.load = d.env.StartClients("c", emulator.ClientSpec{Rate: demoRate, Classes: emulator.Classes(), Tenants: tenants, MaxRetries: 3,
		RetryDelay: 50 * time.Millisecond, Until: d.Duration}, nodes...)
	return nil
}

// printf prints a line that begins with the seconds since the start of the load.
func (d *demoRun) printf(format string, args ...any) {
	d.out.Printf("%5.1f s  "+format+"\n", append([]any{time.Since(d.began).Seconds()}, args...)...)
}

// demoEvent begins or ends a fault.
type demoEvent struct {
	at   time.Duration
	text string
	do   func() error
}

// events returns the events of the demo in order of time.
func (d *demoRun) events(ctx context.Context) []demoEvent {
	const faultyServer = "s-4"
	killed := d.fleet.Names[1]
	setFault := func(f emulator.ServerFault) func() error {
		return func() error {
			d.env.WithLock(func() { d.env.Server(faultyServer).Fault = f })
			return nil
		}
	}
	return []demoEvent{
		{d.Duration / 4, killed + " killed", func() error { d.fleet.Nodes[killed].Kill(); return nil }},
		{d.Duration / 3, faultyServer + " starts to fail 70% of its requests", setFault(emulator.ServerFault{ErrorFraction: 0.7})},
		{d.Duration / 2, killed + " restarted", func() error { return d.fleet.Start(ctx, killed) }},
		{d.Duration * 2 / 3, faultyServer + " stops failing", setFault(emulator.ServerFault{})},
	}
}

// run carries out the events at their times, prints the status every second, and waits for the clients to finish.
func (d *demoRun) run(ctx context.Context) error {
	events := d.events(ctx)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for len(events) > 0 || time.Since(d.began) < d.Duration {
		next := d.Duration
		if len(events) > 0 {
			next = events[0].at
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(d.began.Add(next))):
			if len(events) == 0 {
				continue
			}
			d.printf("%s", events[0].text)
			if err := events[0].do(); err != nil {
				return err
			}
			events = events[1:]
		case <-tick.C:
			d.printStatus(ctx)
		}
	}
	return d.load.Wait(ctx)
}

// printStatus prints the clients' counts and how many members each node reaches. All counts are of requests (asked is
// their total), except that of the rejected attempts.
func (d *demoRun) printStatus(ctx context.Context) {
	status := ""
	for _, name := range d.fleet.Names {
		if v, err := d.fleet.View(ctx, name); err == nil {
			status += fmt.Sprintf(" %s reaches %d", name, v.Reachable)
		} else {
			status += " " + name + " does not respond"
		}
	}
	s := d.load.Stats()
	d.printf("asked %d, served in time %d, late %d, rejected attempts %d;%s", s.Requests, s.InTime, s.Late, s.Rejections, status)
}

// printResult prints the outcome by class, with the total of the requests as asked, and the rule violations. It returns
// an error if there are violations.
func (d *demoRun) printResult() error {
	t := output.NewTable(d.out, "class", "asked", "served in time", "late", "not served")
	var violations []string
	var count int
	d.env.WithLock(func() {
		for _, name := range slices.Sorted(maps.Keys(d.load.clients.Stats)) {
			s := d.load.clients.Stats[name]
			t.AppendRow(table.Row{name, s.Requests, fmt.Sprintf("%.1f%%", 100*float64(s.InTime)/float64(max(1, s.Requests))), s.Late,
				s.Failed})
		}
		violations, count = d.env.Checker.Violations()
		violations = slices.Clone(violations)
	})
	t.Render()
	d.out.Printf("rules broken: %d\n", count)
	for _, violation := range violations {
		d.out.Println(" ", violation)
	}
	if count > 0 {
		return fmt.Errorf("rule violations: %d", count)
	}
	return d.out.Err()
}
