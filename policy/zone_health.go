package policy

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"
)

// maxMonitoredZones is the maximum number of monitored zones. Further zones are used but never evacuated.
const maxMonitoredZones = 1024

// responseDecayTime is the time constant of the exponential decay of a zone's response counts.
const responseDecayTime = 10 * time.Second

// responseCounts counts recent responses and the failures among them.
type responseCounts struct {
	failures, total float64
	decayedAt       Time
}

// decay reduces the counts for the time since the last decay.
func (c *responseCounts) decay(now Time) {
	remaining := math.Exp(-(now - c.decayedAt).Seconds() / responseDecayTime.Seconds())
	c.failures, c.total, c.decayedAt = c.failures*remaining, c.total*remaining, now
}

func (c *responseCounts) record(failed bool) {
	if c.total++; failed {
		c.failures++
	}
}

// zoneHealth is the health of one zone as this node sees it.
type zoneHealth struct {
	responseCounts // recorded only while zones are compared
	name, region   string
	monitored      bool    // whether the zone may be evacuated
	crossingCost   float64 // of sending a request to the zone from this node's zone
	warmedUp       int     // servers in service that have warmed up; maintained by slowStart

	evidence       fixedPoint              // sum over the zone's servers that the zone has failed
	evidenceByKind map[string]*evidenceSum // the same sum by kind of server

	trafficShare    float64 // fraction, 0 to 1, of the requests that it would get by packing order and capacity
	closed          bool    // the request that is being dispatched may not go to the zone
	evacuatedUntil  Time    // when probes begin; 0 while the zone isn't evacuated
	lastProbeAt     Time    // when a request last probed the zone
	probeSuccesses  int     // in a row
	serversVanished bool    // most servers were missing from the list at once, and were dropped

	recovering       bool          // the traffic share is growing after an evacuation
	growthTime       time.Duration // in which the traffic share grows e-fold
	shareUpdatedAt   Time          // when trafficShare was last updated while recovering
	fullShareSince   Time          // when the last recovery reached a traffic share of 1
	evacuations      int           // recent evacuations
	evacuationReason string        // of the last evacuation
}

// isEvacuated reports whether the zone gets only probes.
func (z *zoneHealth) isEvacuated() bool { return z != nil && z.evacuatedUntil > 0 }

// isClosed reports whether the request that is being dispatched may not go to the zone.
func (z *zoneHealth) isClosed() bool { return z != nil && z.closed }

func (z *zoneHealth) regionName() string {
	if z == nil {
		return ""
	}
	return z.region
}

// takeVanished returns serversVanished and clears it.
func (z *zoneHealth) takeVanished() (vanished bool) {
	if z != nil {
		vanished, z.serversVanished = z.serversVanished, false
	}
	return vanished
}

// zoneFailover tracks the health of the zones and decides which fraction of their requests they get. Without
// a topology in the settings there are no zones. It uses the Balancer's random numbers and reads the servers
// in service from the Balancer's packing order.
type zoneFailover struct {
	topology      *Topology
	ownZone       string
	all           []*zoneHealth // monitored zones, sorted by name
	degraded      bool          // a zone may have a traffic share below 1; zones are compared meanwhile
	compareFrom   Time          // attempts sent before it don't count in the comparison
	evidenceQueue serverQueue   // servers with evidence, by the time of the evidence when queued
	servers       *serverPool   // in service
	rng           *rand.Rand
	logf          func(format string, args ...any) // writes a line to the node's log
}

// configure applies the settings. If the topology changes, the state of all zones is dropped, and they start
// as healthy.
func (f *zoneFailover) configure(topology *Topology, ownZone string) {
	if !reflect.DeepEqual(topology, f.topology) {
		f.all = nil
	}
	f.topology, f.ownZone = topology, ownZone
}

// find returns the health of a zone, and creates it for a new zone. It returns nil if the settings have no
// topology.
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

// crossingCost returns the extra cost of sending a request to the server instead of to this node's zone.
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

// ZoneState describes a zone as the node sees it.
type ZoneState struct {
	Zone, Region         string
	State                string  // well, suspect, left (evacuated), returning (recovering); frozen for operators
	Cost                 float64 // of crossing to the zone
	TrafficShare         float64 // 0 to 1, of the requests that it would get by packing order and capacity
	Servers, Evacuations int
	Failures, Responses  float64       // recent ones
	RetryIn              time.Duration // until probes begin; 0 unless the zone is evacuated
	EvacuationReason     string        // of the last evacuation
}

// Zones returns the state of each monitored zone, or nil if the settings have no topology.
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
