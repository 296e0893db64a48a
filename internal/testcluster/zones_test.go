package testcluster

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/node"
	"sloerail/internal/simulation"
)

// startZoneFleet is a fleet of two nodes in each of three zones of two regions, with clients near their nodes.
func startZoneFleet(t *testing.T) *fleetHarness {
	t.Helper()
	names := []string{"a", "b", "c"}
	x := startFleetHarness(t, FleetSpec{Nodes: 6, Zones: names, RetainMissing: true,
		Topology: map[string]any{"regions": map[string]any{"north": []string{"a", "b"}, "south": []string{"c"}}}}, serverSpecs(12, names...))
	for i, zone := range names {
		x.loads = append(x.loads, x.w.StartClients("c"+zone, emulator.ClientSpec{Rate: 60, Classes: shortClasses(), Tenants: tenants, MaxRetries: 3,
			RetryDelay: 50 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, x.Nodes[x.Names[i]], x.Nodes[x.Names[i+3]]))
	}
	return x
}

// zoneView returns a node's view of a zone.
func (x *fleetHarness) zoneView(name, zone string) (v node.PlaceView) {
	var all []node.PlaceView
	if err := Get(x.ctx, x.Nodes[name].Control(), "/places", &all); err != nil {
		return v
	}
	for _, one := range all {
		if one.Zone == zone {
			v = one
		}
	}
	return v
}

// awaitZoneState waits until these nodes have a zone in a state, and returns how long that took.
func (x *fleetHarness) awaitZoneState(zone, state string, names ...string) time.Duration {
	x.Helper()
	began := time.Now()
	for _, name := range names {
		err := Await(within(x.T, x.ctx), fmt.Sprintf("%s to hold zone %s for %s", name, zone, state), func() bool {
			return x.zoneView(name, zone).State == state
		})
		if err != nil {
			x.Fatalf("%v: it is %+v", err, x.zoneView(name, zone))
		}
	}
	return time.Since(began)
}

// requireServed waits until so many more requests are served.
func (x *fleetHarness) requireServed(n int) {
	x.Helper()
	sum := func() (s int) {
		for _, l := range x.loads {
			s += l.Stats().InTime
		}
		return s
	}
	from := sum()
	if err := Await(within(x.T, x.ctx), "requests to be served", func() bool { return sum() >= from+n }); err != nil {
		x.Fatal(err)
	}
}

// crossZoneAttempts counts the attempts of the first zone's nodes at servers of the others.
func (x *fleetHarness) crossZoneAttempts() (n int) {
	for _, name := range []string{x.Names[0], x.Names[3]} {
		n += x.w.AttemptCount(name, "b") + x.w.AttemptCount(name, "c")
	}
	return n
}

// Real nodes prefer their zone, evacuate one whose servers are silent or fail, serve meanwhile from the others, return to
// it, and retain the servers of a zone that a list lacks for a moment.
func TestFleetLeavesAZoneAndReturns(t *testing.T) {
	t.Parallel()
	x := startZoneFleet(t)
	near := []string{x.Names[0], x.Names[3]}
	x.requireServed(600)
	if n := x.crossZoneAttempts(); n > 0 {
		t.Errorf("%d attempts crossed at rest", n)
	}
	fault := func(f emulator.ServerFault) {
		x.w.EachServerInZone("a", func(b *emulator.Server) { b.Fault = f })
	}
	cut := func(on bool) {
		for i := range 12 {
			for _, name := range x.Names {
				if i%3 == 0 {
					server := fmt.Sprintf("s-%02d", i)
					x.w.cluster.SetLinkFaults(name, server, Faults{Cut: on})
					x.w.cluster.SetLinkFaults(server, name, Faults{Cut: on})
				}
			}
		}
	}
	for _, fault := range []struct {
		name    string
		on, off func()
		back    string // how it is to be held again: the second return takes four times as long
	}{
		{"half of the requests fail", func() { fault(emulator.ServerFault{ErrorFraction: 0.5}) }, func() { fault(emulator.ServerFault{}) }, "well"},
		{"nothing passes, and nothing is told", func() { cut(true) }, func() { cut(false) }, "returning"},
	} {
		fault.on()
		left := x.awaitZoneState("a", "left", near...)
		before := x.crossZoneAttempts()
		x.requireServed(300)
		if x.crossZoneAttempts() == before {
			t.Errorf("%s: left, and nothing goes to the other zones", fault.name)
		}
		fault.off()
		back := x.awaitZoneState("a", fault.back, near...)
		t.Logf("%s: left by both near nodes after %v, %s %v after its end", fault.name, left, fault.back, back)
	}
	before := x.crossZoneAttempts()
	x.w.SetZoneRemoved("a", true)
	x.requireServed(10) // some of the nodes know, and go on
	x.w.SetZoneRemoved("a", false)
	x.requireServed(300)
	t.Logf("the list lacked the zone for a moment: %d of its requests crossed", x.crossZoneAttempts()-before)
	x.finish()
}

var scenarios = flag.String("scenarios", "", "scenarios of internal/simulation that TestMeasureScenarios plays in real time; \"all\" for those of zones")

// The measures of docs/zones.md with real nodes: each scenario once, a minute or so.
func TestMeasureScenarios(t *testing.T) {
	if *scenarios == "" {
		t.Skip("-scenarios")
	}
	runs := make(map[string]simulation.Run)
	for _, m := range simulation.ZoneMeasures() {
		if strings.HasPrefix(m.Scenario, "large") || *scenarios != "all" && !slices.Contains(strings.Split(*scenarios, ","), m.Scenario) {
			continue
		}
		for _, name := range []string{m.Scenario, simulation.BaselineOf(m.Scenario)} {
			if _, played := runs[name]; !played && name != "" {
				runs[name] = playReal(t, name)
			}
		}
		run := runs[m.Scenario]
		run.Baseline = runs[simulation.BaselineOf(m.Scenario)].Outcome
		v := m.Of(run)
		t.Logf("| %s | %.3f | %d rules broken %q", m.Name, v, run.Broken, run.BrokenRules)
		if v < m.Min || v > m.Max || run.Broken > 0 {
			t.Logf("NOT REACHED: %s", m.Name)
			for _, line := range run.Table(5) {
				t.Log(line)
			}
			for _, mark := range run.Timeline {
				t.Logf("%6.2f s  %s %s", mark.At, mark.Node, mark.Text)
			}
		}
	}
}

func playReal(t *testing.T, name string) simulation.Run {
	s, err := simulation.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	r, ctx := newCluster(t)
	defer r.Close()
	o, err := r.PlayScenario(ctx, s, *seed)
	if err != nil {
		t.Fatal(err)
	}
	return simulation.Run{Scenario: s, Outcome: o}
}
