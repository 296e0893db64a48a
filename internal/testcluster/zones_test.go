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

// startZoneFleet starts a fleet of two nodes in each of three zones in two regions. Each zone has clients, which send to
// its nodes.
func startZoneFleet(t *testing.T) *fleetHarness {
	t.Helper()
	names := []string{"a", "b", "c"}
	h := startFleetHarness(t, FleetSpec{Nodes: 6, Zones: names, RetainMissing: true,
		Topology: map[string]any{"regions": map[string]any{"north": []string{"a", "b"}, "south": []string{"c"}}}}, serverSpecs(12, names...))
	for i, zone := range names {
		h.loads = append(h.loads, h.env.StartClients("c"+zone, emulator.ClientSpec{Rate: 60, Classes: shortClasses(), Tenants: tenants, MaxRetries: 3,
			RetryDelay: 50 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, h.Nodes[h.Names[i]], h.Nodes[h.Names[i+3]]))
	}
	return h
}

// zoneView returns a node's view of a zone, or the zero value if the node has none or does not respond.
func (h *fleetHarness) zoneView(name, zone string) (v node.ZoneView) {
	var views []node.ZoneView
	if err := Get(h.ctx, h.Nodes[name].ControlAddress(), "/places", &views); err != nil {
		return v
	}
	for _, view := range views {
		if view.Zone == zone {
			v = view
		}
	}
	return v
}

// awaitZoneState waits until all named nodes see a zone in the given state, and returns how long that took.
func (h *fleetHarness) awaitZoneState(zone, state string, names ...string) time.Duration {
	h.Helper()
	began := time.Now()
	for _, name := range names {
		err := Await(withStepTimeout(h.T, h.ctx), fmt.Sprintf("%s to see zone %s in state %s", name, zone, state), func() bool {
			return h.zoneView(name, zone).State == state
		})
		if err != nil {
			h.Fatalf("%v: last view: %+v", err, h.zoneView(name, zone))
		}
	}
	return time.Since(began)
}

// awaitServed waits until n more requests have been served in time.
func (h *fleetHarness) awaitServed(n int) {
	h.Helper()
	sum := func() (s int) {
		for _, l := range h.loads {
			s += l.Stats().InTime
		}
		return s
	}
	from := sum()
	if err := Await(withStepTimeout(h.T, h.ctx), "more requests to be served in time", func() bool { return sum() >= from+n }); err != nil {
		h.Fatal(err)
	}
}

// crossZoneAttempts returns the number of attempts from nodes of the first zone to servers of the other zones.
func (h *fleetHarness) crossZoneAttempts() (n int) {
	for _, name := range []string{h.Names[0], h.Names[3]} {
		n += h.env.AttemptCount(name, "b") + h.env.AttemptCount(name, "c")
	}
	return n
}

// Nodes prefer their own zone. They evacuate it when its servers fail or are unreachable, use the other zones
// meanwhile, and return after the fault. At the end the list lacks a zone for a moment: requests are still served and
// no rule is broken, and the test logs how many attempts leave the zone.
func TestFleetEvacuatesZoneAndReturns(t *testing.T) {
	t.Parallel()
	h := startZoneFleet(t)
	localNodes := []string{h.Names[0], h.Names[3]}
	h.awaitServed(600)
	if n := h.crossZoneAttempts(); n > 0 {
		t.Errorf("attempts that left their zone without a fault: got %d, want 0", n)
	}
	setServerFault := func(f emulator.ServerFault) {
		h.env.EachServerInZone("a", func(s *emulator.Server) { s.Fault = f })
	}
	setCut := func(on bool) {
		for i := range 12 {
			for _, name := range h.Names {
				if i%3 == 0 {
					server := fmt.Sprintf("s-%02d", i)
					h.env.cluster.SetLinkFaults(name, server, Faults{Cut: on})
					h.env.cluster.SetLinkFaults(server, name, Faults{Cut: on})
				}
			}
		}
	}
	for _, fault := range []struct {
		name        string
		begin, end  func()
		returnState string // awaited after the fault; not "well" after the second, because that takes four times as long
	}{
		{"half of the requests fail", func() { setServerFault(emulator.ServerFault{ErrorFraction: 0.5}) }, func() { setServerFault(emulator.ServerFault{}) }, "well"},
		{"connections are cut without a reset", func() { setCut(true) }, func() { setCut(false) }, "returning"},
	} {
		fault.begin()
		evacuationTime := h.awaitZoneState("a", "left", localNodes...)
		before := h.crossZoneAttempts()
		h.awaitServed(300)
		if h.crossZoneAttempts() == before {
			t.Errorf("%s: no attempts to other zones after the evacuation, want some", fault.name)
		}
		fault.end()
		returnTime := h.awaitZoneState("a", fault.returnState, localNodes...)
		t.Logf("%s: evacuated by both local nodes after %v, in state %s %v after the fault",
			fault.name, evacuationTime, fault.returnState, returnTime)
	}
	before := h.crossZoneAttempts()
	h.env.SetZoneRemoved("a", true)
	h.awaitServed(10) // some nodes have received the change by now
	h.env.SetZoneRemoved("a", false)
	h.awaitServed(300)
	t.Logf("list without the zone for a moment: %d attempts left the zone", h.crossZoneAttempts()-before)
	h.finish()
}

var scenarios = flag.String("scenarios", "", "scenarios of internal/simulation that TestMeasureScenarios plays in real time; \"all\" for those of zones")

// Runs the measurements of docs/zones.md with real nodes, except those of scenarios whose names begin with "large". Each
// scenario, and the baseline that it is compared with, runs once and takes about a minute.
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
		v := m.Compute(run)
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

// playReal runs a scenario with real nodes.
func playReal(t *testing.T, name string) simulation.Run {
	s, err := simulation.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	cluster, ctx := newCluster(t)
	defer cluster.Close()
	outcome, err := cluster.PlayScenario(ctx, s, *seed)
	if err != nil {
		t.Fatal(err)
	}
	return simulation.Run{Scenario: s, Outcome: outcome}
}
