package policy

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"
)

// maxMonitoredZones bounds how many zones are monitored. Further ones are used, and never evacuated.
const maxMonitoredZones = 1024

// responseDecayTime is the time constant with which responses of a zone are forgotten.
const responseDecayTime = 10 * time.Second

// responseCounts counts recent responses, and the failures among them.
type responseCounts struct {
	failures, total float64
	decayedAt       Time
}

// decay forgets responses by the time gone by.
func (c *responseCounts) decay(now Time) {
	remaining := math.Exp(-(now - c.decayedAt).Seconds() / responseDecayTime.Seconds())
	c.failures, c.total, c.decayedAt = c.failures*remaining, c.total*remaining, now
}

func (c *responseCounts) record(failed bool) {
	if c.total++; failed {
		c.failures++
	}
}

// zoneHealth is what is known of one zone.
type zoneHealth struct {
	responseCounts // only while zones are compared
	name, region   string
	monitored      bool    // it may be evacuated
	crossingCost   float64 // of sending to the zone
	warmedUp       int     // servers in service that have warmed up; maintained by slowStart

	evidence       fixedPoint              // sum of the evidence of its servers
	evidenceByKind map[string]*evidenceSum // the same by their kinds

	trafficShare    float64 // part of the requests that would go there by order and capacity
	closed          bool    // to the request that is being dispatched
	evacuatedUntil  Time    // when probes begin; 0 while it isn't evacuated
	lastProbeAt     Time    // when a request last probed it
	probeSuccesses  int     // in a row
	serversVanished bool    // a list lacked most of its servers at once, and they were dropped

	recovering       bool          // its share grows again
	growthTime       time.Duration // in which the share grows e-fold
	shareUpdatedAt   Time          // as of when the share is
	fullShareSince   Time          // since when it is whole again
	evacuations      int           // recent ones
	evacuationReason string        // of the last one
}

// isEvacuated reports whether the zone gets no requests but probes.
func (z *zoneHealth) isEvacuated() bool { return z != nil && z.evacuatedUntil > 0 }

// isClosed reports whether the request that is being dispatched may not go to the zone.
func (z *zoneHealth) isClosed() bool { return z != nil && z.closed }

func (z *zoneHealth) regionName() string {
	if z == nil {
		return ""
	}
	return z.region
}

// takeVanished reports, once, whether the zone's servers had vanished from the list.
func (z *zoneHealth) takeVanished() (vanished bool) {
	if z != nil {
		vanished, z.serversVanished = z.serversVanished, false
	}
	return vanished
}

// zoneFailover owns the health of the zones, and decides which part of the requests may go to each. Where
// the settings name no topology there are none. It draws from the Balancer's random numbers, and reads the
// servers in service from its packing order.
type zoneFailover struct {
	topology      *Topology
	ownZone       string
	all           []*zoneHealth // monitored zones, sorted by name
	degraded      bool          // a zone may have less than its whole share
	compareFrom   Time          // attempts sent from then on count in the comparison of degraded zones
	evidenceQueue serverQueue   // servers with evidence, by the time of it when queued
	servers       *serverPool   // in service
	rng           *rand.Rand
	logf          func(format string, args ...any) // writes a line to the node's log
}

// configure takes over the settings. Another topology makes all zones new, and so healthy.
func (f *zoneFailover) configure(topology *Topology, ownZone string) {
	if !reflect.DeepEqual(topology, f.topology) {
		f.all = nil
	}
	f.topology, f.ownZone = topology, ownZone
}

// find returns the health of a zone, and makes it for a new one; nil where the settings name no topology.
func (f *zoneFailover) find(name string) *zoneHealth {
	if f.topology == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(f.all, name, func(z *zoneHealth, name string) int {
		return strings.Compare(z.name, name)
	})
	if found {
		return f.all[i]
	}
	z := &zoneHealth{name: name, region: f.topology.region(name), trafficShare: 1}
	if len(f.all) < maxMonitoredZones {
		z.monitored = true
		f.all = slices.Insert(f.all, i, z)
	}
	return z
}

// crossingCost is what sending to a server costs beyond sending to this node's own zone.
func (f *zoneFailover) crossingCost(s *server) float64 {
	switch {
	case s.zone != nil:
		s.zone.crossingCost = f.topology.cost(f.ownZone, s.Zone)
		return s.zone.crossingCost
	case s.Zone == f.ownZone:
		return 0
	}
	return 1
}

// ZoneState is what a node makes of a zone.
type ZoneState struct {
	Zone, Region         string
	State                string  // well, suspect, left (evacuated), returning (recovering); frozen for operators
	Cost                 float64 // of crossing to it
	TrafficShare         float64 // part of the requests that would go there by order and capacity
	Servers, Evacuations int
	Failures, Responses  float64       // recent ones
	RetryIn              time.Duration // until it is probed; 0 unless it is evacuated
	EvacuationReason     string        // of the last evacuation
}

// Zones returns what the node makes of each zone; nil where the settings name no topology.
func (b *Balancer) Zones(now Time) (all []ZoneState) {
	if b.settings.Topology != nil {
		all = []ZoneState{}
	}
	for _, z := range b.zones.all {
		z.decay(max(now, b.now))
		state := z.state(now)
		for s := range b.packing.pool.all {
			if s.zone == z {
				state.Servers++
			}
		}
		all = append(all, state)
	}
	return all
}

func (z *zoneHealth) state(now Time) ZoneState {
	state := ZoneState{Zone: z.name, Region: z.region, State: "well", Cost: z.crossingCost,
		TrafficShare: z.trafficShare, Evacuations: z.evacuations, Failures: z.failures, Responses: z.total,
		EvacuationReason: z.evacuationReason}
	switch {
	case z.isEvacuated():
		state.State, state.RetryIn = "left", max(0, z.evacuatedUntil-now)
	case z.recovering:
		state.State = "returning"
	case z.trafficShare < 1:
		state.State = "suspect"
	}
	return state
}
