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

// decay applies the exponential decay for the time since the last call.
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
	responseCounts // recent responses; recorded only while zones are compared (zoneFailover.degraded)
	name, region   string
	monitored      bool    // whether the zone may be evacuated
	crossingCost   float64 // cost of sending a request from the node's zone to this zone
	warmedUp       int     // number of servers in service that have warmed up; maintained by slowStart

	evidence       fixedPoint              // sum of its servers' evidence that the zone has failed, in nats
	evidenceByKind map[string]*evidenceSum // the same sum by kind of server

	// trafficShare is the fraction, 0 to 1, that the zone gets of the requests that packing order and capacity
	// assign to it.
	trafficShare    float64
	closed          bool // the zone is closed to the request that is being dispatched
	evacuatedUntil  Time // when probes begin; 0 while the zone isn't evacuated
	lastProbeAt     Time // when a request last probed the zone
	probeSuccesses  int  // in a row
	serversVanished bool // most servers were missing at once and then dropped; none has been listed since

	recovering       bool          // the traffic share grows after an evacuation, or as vanished servers return
	growthTime       time.Duration // time in which the traffic share grows e-fold
	shareUpdatedAt   Time          // when trafficShare was last updated while recovering
	fullShareSince   Time          // when the last recovery reached a traffic share of 1
	evacuations      int           // number of recent evacuations; see evacuationResetTime
	evacuationReason string        // reason of the last evacuation
}

// isEvacuated reports whether the zone is evacuated. It then gets only probes, except from requests for which
// chooseZones finds no other open zone.
func (z *zoneHealth) isEvacuated() bool { return z != nil && z.evacuatedUntil > 0 }

// isClosed reports whether the zone is closed to the request that is being dispatched.
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

// zoneFailover tracks the health of the zones and decides the traffic share of each. Without a topology in
// the settings there are no zones. zoneFailover uses the Balancer's random numbers and reads the servers in
// service from the Balancer's packing order.
type zoneFailover struct {
	topology      *Topology
	ownZone       string
	all           []*zoneHealth // monitored zones, sorted by name
	degraded      bool          // some zone may have a traffic share below 1; while true, zones are compared
	compareFrom   Time          // while zones are compared, attempts sent before this time don't count
	evidenceQueue serverQueue   // servers with evidence, ordered by their zoneEvidenceAt when queued
	servers       *serverPool   // servers in service
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

// findOrCreate returns the health of a zone, and creates it for a new zone. It returns nil if the settings
// have no topology. A zone beyond maxMonitoredZones gets a new, healthy state in each call.
func (f *zoneFailover) findOrCreate(name string) *zoneHealth {
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

// crossingCost returns the cost of sending a request from this node's zone to the server's zone. With a
// topology, it also stores the cost in the server's zoneHealth. Without one, the cost is 0 in this node's
// zone and 1 elsewhere.
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
	Zone, Region string
	// State is well, suspect, left (evacuated) or returning (recovering). The words are frozen, because
	// operators read them.
	State                string
	Cost                 float64 // cost of sending a request from the node's zone to the zone
	TrafficShare         float64 // fraction, 0 to 1, of what packing order and capacity assign to the zone
	Servers, Evacuations int
	Failures, Responses  float64       // numbers of recent ones, decaying; counted only while zones are compared
	RetryIn              time.Duration // until probes begin; 0 if they have begun, or the zone isn't evacuated
	EvacuationReason     string        // reason of the last evacuation
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
