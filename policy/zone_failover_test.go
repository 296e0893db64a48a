package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// twoRegions returns settings with two regions: zones a and b in the north, zone c in the south.
func twoRegions(nodes int) Settings {
	set := testSettings(nodes)
	set.Topology = &Topology{RegionOfZone: map[string]string{"a": "north", "b": "north", "c": "south"},
		SameRegionCost: 1, OtherRegionCost: 3}
	return set
}

// endpointsInZones returns n servers in each of the zones.
func endpointsInZones(n int, zones ...string) (list []Endpoint) {
	for _, z := range zones {
		for i := range n {
			list = append(list, Endpoint{ID: fmt.Sprint(z, i), Zone: z, Kind: "k", Weight: 1})
		}
	}
	return list
}

// A zone isn't evacuated on the evidence of a single server or, in a zone with several kinds of servers, of a
// single kind.
func TestEvacuationNeedsEvidenceOfSeveralServersAndKinds(t *testing.T) {
	for name, c := range map[string]struct {
		fails     func(i int) bool
		evacuated bool
	}{
		"one server":              {func(i int) bool { return i == 0 }, false},
		"all servers of one kind": {func(i int) bool { return i%2 == 0 }, false},
		"all servers":             {func(int) bool { return true }, true},
		"all servers but one":     {func(i int) bool { return i > 0 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			list := endpointsInZones(6, "a", "b")
			for i := range list {
				list[i].Kind = []string{"big", "small"}[i%2]
			}
			b := startBalancer(t, twoRegions(1), list)
			for range 40 {
				b.now += 50 * ms
				for i := range 6 {
					level := noFailure
					if c.fails(i) {
						level = plainFailure
					}
					b.recordEvidence(&attempt{server: b.servers[fmt.Sprint("a", i)], sentAt: b.now}, level)
					b.recordEvidence(&attempt{server: b.servers[fmt.Sprint("b", i)], sentAt: b.now}, noFailure)
				}
			}
			if got := b.zones.findOrCreate("a").isEvacuated(); got != c.evacuated {
				t.Errorf("failing zone evacuated: got %v, want %v", got, c.evacuated)
			}
			if got := b.zones.findOrCreate("b").trafficShare; got != 1 {
				t.Errorf("traffic share of the other zone: got %v, want 1", got)
			}
		})
	}
}

// newZoneFailover returns a zoneFailover with healthy zones and without a Balancer.
func newZoneFailover(zones ...string) *zoneFailover {
	f := &zoneFailover{servers: &serverPool{}, rng: rand.New(rand.NewPCG(1, 1)), logf: func(string, ...any) {}}
	f.configure(twoRegions(1).Topology, zones[0])
	for _, zone := range zones {
		f.findOrCreate(zone)
	}
	return f
}

// An evacuated zone recovers after zoneProbesNeeded successful probes in a row, and its traffic share then
// grows to 1.
func TestZoneRecoversAfterSuccessfulProbes(t *testing.T) {
	f := newZoneFailover("a", "b")
	z, now := f.findOrCreate("a"), time.Hour
	f.evacuate(z, evacuateEvidence, now)
	if !z.isEvacuated() || z.trafficShare != 0 {
		t.Fatalf("after evacuate: evacuated %v, traffic share %v; want true, 0", z.isEvacuated(), z.trafficShare)
	}
	now = z.evacuatedUntil
	for range zoneProbesNeeded - 1 {
		f.recordProbe(z, false, now)
	}
	f.recordProbe(z, true, now) // after a failure, all probes are needed again
	if now = z.evacuatedUntil; !z.isEvacuated() || z.probeSuccesses != 0 {
		t.Fatalf("after a failed probe: evacuated %v, %d successes; want true, 0", z.isEvacuated(),
			z.probeSuccesses)
	}
	for range zoneProbesNeeded {
		f.recordProbe(z, false, now)
	}
	if z.isEvacuated() || z.trafficShare != initialRecoveryShare {
		t.Fatalf("after the successful probes: evacuated %v, traffic share %v; want false, initialRecoveryShare",
			z.isEvacuated(), z.trafficShare)
	}
	f.growShare(z, now+z.growthTime)
	if want := initialRecoveryShare * math.E; math.Abs(z.trafficShare-want) > 1e-9 {
		t.Errorf("traffic share after the growth time: got %v, want %v", z.trafficShare, want)
	}
	if f.growShare(z, now+10*z.growthTime); z.trafficShare != 1 || z.recovering {
		t.Errorf("after ten growth times: traffic share %v, recovering %v; want 1, false", z.trafficShare,
			z.recovering)
	}
}

// Each evacuation soon after the previous one takes longer, up to maxEvacuationTime.
func TestEvacuationTimeGrowsWithEachEvacuation(t *testing.T) {
	f := newZoneFailover("a", "b")
	z, now := f.findOrCreate("a"), time.Hour
	for i, mean := range []time.Duration{2 * time.Second, 8 * time.Second, 32 * time.Second, time.Minute, time.Minute} {
		f.evacuate(z, evacuateEvidence, now)
		if got := z.evacuatedUntil - now; got < mean*4/5 || got > mean*6/5 {
			t.Errorf("evacuation %d takes %v, want %v within 20%%", i+1, got, mean)
		}
		f.startRecovery(z, now)
	}
}

// A zone with a traffic share below 1 is open to that share of the first attempts, and closed to all other
// requests. It is never closed to a class that may use no other zone.
func TestZoneIsClosedToRequestsBeyondItsTrafficShare(t *testing.T) {
	b := startBalancer(t, twoRegions(1), endpointsInZones(2, "a", "b"))
	onlyA := &class{Class: Class{Zones: []string{"a"}}, eligible: &serverPool{}}
	for _, s := range b.order() {
		if s.Zone == "a" {
			onlyA.eligible.insert(s, 0)
		}
	}
	for name, c := range map[string]struct {
		class                *class
		isRetry              bool
		minClosed, maxClosed int
	}{
		"first attempts": {b.classes.ordered[0], false, 400, 600},
		"retries":        {b.classes.ordered[0], true, 1000, 1000},
		"retries of a class without another zone": {onlyA, true, 0, 0},
	} {
		closed := 0
		for range 1000 {
			b.zones.degraded, b.zones.findOrCreate("a").trafficShare = true, 0.5
			b.zones.chooseZones(c.class, c.isRetry, b.now)
			if b.zones.findOrCreate("a").closed {
				closed++
			}
		}
		if closed < c.minClosed || closed > c.maxClosed {
			t.Errorf("%s: zone closed to %d of 1000 requests, want %d to %d", name, closed, c.minClosed, c.maxClosed)
		}
	}
}

func TestFailureLevelOfOutcomes(t *testing.T) {
	c := new(classStats)
	for range minTypicalSamples {
		if got := c.failureLevel("k", OK, 0.1); got != noFailure {
			t.Fatalf("failure level of a typical response: got %v, want noFailure", got)
		}
	}
	for _, outcome := range []struct {
		code    Code
		latency float64
		want    failureLevel
	}{
		{OK, 0.2, noFailure},
		{OK, 1, plainFailure}, // far slower than typical
		{ServerError, 0.1, plainFailure},
		{TimedOut, 1, plainFailure},
		{ConnectFailed, 0.001, connectFailure},
	} {
		if got := c.failureLevel("k", outcome.code, outcome.latency); got != outcome.want {
			t.Errorf("failure level of code %v after %v s: got %v, want %v", outcome.code, outcome.latency, got,
				outcome.want)
		}
	}
}
