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

// zones is a fleet of two nodes in each of three zones of two regions, with clients near their nodes.
func zones(t *testing.T) *trial {
	t.Helper()
	names := []string{"a", "b", "c"}
	x := startTrial(t, FleetSpec{Nodes: 6, Zones: names, RetainMissing: true,
		Topology: map[string]any{"regions": map[string]any{"north": []string{"a", "b"}, "south": []string{"c"}}}}, boxes(12, names...))
	for i, zone := range names {
		x.loads = append(x.loads, x.w.Clients("c"+zone, emulator.ClientSpec{Rate: 60, Classes: quick(), Tenants: tenants, Tries: 3,
			Wait: 50 * time.Millisecond, Open: 0.6, Until: time.Hour}, x.Nodes[x.Names[i]], x.Nodes[x.Names[i+3]]))
	}
	return x
}

// place is what a node makes of a zone.
func (x *trial) place(name, zone string) (v node.PlaceView) {
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

// awaitPlace waits until these nodes hold a zone for that, and returns how long that took.
func (x *trial) awaitPlace(zone, state string, names ...string) time.Duration {
	x.Helper()
	began := time.Now()
	for _, name := range names {
		err := Await(within(x.T, x.ctx), fmt.Sprintf("%s to hold zone %s for %s", name, zone, state), func() bool {
			return x.place(name, zone).State == state
		})
		if err != nil {
			x.Fatalf("%v: it is %+v", err, x.place(name, zone))
		}
	}
	return time.Since(began)
}

// served waits until so many more requests are served.
func (x *trial) served(n int) {
	x.Helper()
	sum := func() (s int) {
		for _, l := range x.loads {
			s += l.Sums().InTime
		}
		return s
	}
	from := sum()
	if err := Await(within(x.T, x.ctx), "requests to be served", func() bool { return sum() >= from+n }); err != nil {
		x.Fatal(err)
	}
}

// crossing counts what the nodes of the first zone sent to the others.
func (x *trial) crossing() (n int) {
	for _, name := range []string{x.Names[0], x.Names[3]} {
		n += x.w.Sent(name, "b") + x.w.Sent(name, "c")
	}
	return n
}

// Real nodes keep traffic near, leave a zone whose servers fall silent, fail or become slow, serve meanwhile from
// the others, come back to it, and keep the servers of a zone that a list takes away for a moment by mistake.
func TestFleetLeavesAZoneAndReturns(t *testing.T) {
	t.Parallel()
	x := zones(t)
	near := []string{x.Names[0], x.Names[3]}
	x.served(600)
	if n := x.crossing(); n > 0 {
		t.Errorf("%d attempts crossed at rest", n)
	}
	fault := func(f emulator.ServerFault) {
		x.w.EachInZone("a", func(b *emulator.Server) { b.Fault = f })
	}
	cut := func(on bool) {
		for i := range 12 {
			for _, name := range x.Names {
				if i%3 == 0 {
					box := fmt.Sprintf("s-%02d", i)
					x.w.cluster.SetLink(name, box, Faults{Cut: on})
					x.w.cluster.SetLink(box, name, Faults{Cut: on})
				}
			}
		}
	}
	for _, trouble := range []struct {
		name    string
		on, off func()
		back    string // how it is to be held again: the second return takes four times as long
	}{
		{"half of the requests fail", func() { fault(emulator.ServerFault{Errors: 0.5}) }, func() { fault(emulator.ServerFault{}) }, "well"},
		{"nothing passes, and nothing is told", func() { cut(true) }, func() { cut(false) }, "returning"},
	} {
		trouble.on()
		left := x.awaitPlace("a", "left", near...)
		before := x.crossing()
		x.served(300)
		if x.crossing() == before {
			t.Errorf("%s: left, and nothing goes to the other zones", trouble.name)
		}
		trouble.off()
		back := x.awaitPlace("a", trouble.back, near...)
		t.Logf("%s: left by both near nodes after %v, %s %v after its end", trouble.name, left, trouble.back, back)
	}
	before := x.crossing()
	x.w.Unlist("a", true)
	x.served(10) // some of the nodes know, and go on
	x.w.Unlist("a", false)
	x.served(300)
	t.Logf("the list lacked the zone for a moment: %d of its requests crossed", x.crossing()-before)
	x.finish()
}

var scenarios = flag.String("scenarios", "", "scenarios of the lab that TestMeasureScenarios plays in real time; \"all\" for those of zones")

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
			for _, mark := range run.Marks {
				t.Logf("%6.2f s  %s %s", mark.At, mark.Who, mark.What)
			}
		}
	}
}

func playReal(t *testing.T, name string) simulation.Run {
	s, err := simulation.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	r, ctx := newRig(t)
	defer r.Close()
	o, err := r.PlayScenario(ctx, s, *seed)
	if err != nil {
		t.Fatal(err)
	}
	return simulation.Run{Scenario: s, Outcome: o}
}
