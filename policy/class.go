package policy

import (
	"reflect"
	"slices"
	"time"
)

const (
	// tailQuantile is the quantile of a class's latency that is estimated. An attempt that takes longer than
	// slowAttemptFactor times the estimate may be at a server that hangs (slow_attempts.go).
	tailQuantile = 0.95
	// tailStep sets how far one response moves the estimate: a slower response raises it by the fraction
	// tailStep*tailQuantile, and a faster one lowers it by the fraction tailStep*(1-tailQuantile).
	tailStep = 0.1
	// noTimer is the timerIndex of a class that neither settings nor an AcceptedClass ever named.
	noTimer = -1
)

// class is a request class, with the servers that it may use and its measurements. A request whose class the
// settings don't name gets a class of its own (classOfRequest).
type class struct {
	Class
	eligible        *serverPool   // servers that the class may use
	firstTryTimeout time.Duration // longest timeout of a client's first try; clients derive it from the deadline
	*classStats
}

// classStats holds the measurements of a class that don't depend on its settings. The classes of different
// settings with the same name share them.
type classStats struct {
	timerIndex    int           // index in statsByTimer; noTimer if the class is unknown
	tailLatency   time.Duration // estimated tailQuantile of the latency, at most the objective
	slowAttempts  slowAttemptWatch
	typicalByKind map[string]*serverLoad // typical latency by kind of server; recorded only with a topology
}

// classRegistry holds the classes of the settings in force and of the former settings, and the measurements
// of all classes by name.
type classRegistry struct {
	byName       map[string]*class
	former       map[string]*class         // classes of the former settings by name
	accepted     map[*AcceptedClass]*class // of the requests since the settings last changed
	ordered      []*class                  // in the order of the settings
	stats        map[string]*classStats
	statsByTimer []*classStats // by timerIndex
}

func newClassRegistry() classRegistry { return classRegistry{stats: make(map[string]*classStats)} }

// configure sets the classes of new settings. At first, each may use every server of the pool; then
// packingOrder.reset gives each restricted class a pool of its own. A class without a latency objective gets
// its deadline as the objective.
func (c *classRegistry) configure(classes []Class, pool *serverPool) {
	c.former, c.byName, c.ordered = c.byName, make(map[string]*class), nil
	c.accepted = make(map[*AcceptedClass]*class)
	for _, settings := range classes {
		settings = settings.withDefaults()
		current := &class{Class: settings, eligible: pool, classStats: c.statsOf(settings)}
		current.tailLatency = min(current.tailLatency, settings.LatencyObjective)
		if former := c.former[settings.Name]; former != nil && former.Deadline == settings.Deadline {
			current.firstTryTimeout = former.firstTryTimeout
		}
		c.ordered = append(c.ordered, current)
		c.byName[settings.Name] = current
	}
}

// statsOf returns the measurements of the classes with the name that the settings have. A name that is new
// gets new measurements.
func (c *classRegistry) statsOf(settings Class) *classStats {
	stats := c.stats[settings.Name]
	if stats == nil {
		stats = &classStats{timerIndex: len(c.statsByTimer), tailLatency: settings.LatencyObjective / 2}
		c.stats[settings.Name] = stats
		c.statsByTimer = append(c.statsByTimer, stats)
	}
	return stats
}

// withDefaults returns the class with its deadline as the latency objective if it has none.
func (c Class) withDefaults() Class {
	if c.LatencyObjective == 0 {
		c.LatencyObjective = c.Deadline
	}
	return c
}

// find returns the class of a request: the one that it was accepted under or, if the request doesn't tell,
// the one that the settings in force name. It returns nil if they don't name it either.
func (c *classRegistry) find(e Request, order *packingOrder) *class {
	if e.Accepted == nil {
		return c.byName[e.Class]
	}
	found := c.accepted[e.Accepted]
	if found == nil {
		found = c.withSettings(e.Accepted.withDefaults(), order)
		c.accepted[e.Accepted] = found
	}
	return found
}

// withSettings returns a known class with exactly these settings, or else a new one. A new one shares the
// measurements of the other classes with its name.
func (c *classRegistry) withSettings(settings Class, order *packingOrder) *class {
	for _, known := range []*class{c.byName[settings.Name], c.former[settings.Name]} {
		if known != nil && reflect.DeepEqual(known.Class, settings) {
			return known
		}
	}
	for _, known := range c.accepted {
		if reflect.DeepEqual(known.Class, settings) {
			return known
		}
	}
	added := &class{Class: settings, eligible: &order.pool, classStats: c.statsOf(settings)}
	if added.isRestricted() {
		order.addRestricted(added)
	}
	return added
}

// classOfRequest returns the class of a request. If the settings don't name the class, the request gets a new
// non-idempotent class that may use any server, with the request's timeout as the latency objective.
func (b *Balancer) classOfRequest(e Request) *class {
	if known := b.classes.find(e, &b.packing); known != nil {
		return known
	}
	return &class{Class: Class{LatencyObjective: e.Timeout, LateWeight: 1}, eligible: &b.packing.pool,
		classStats: &classStats{timerIndex: noTimer}}
}

// classesInUse returns the classes for which the packing order keeps pools and each server's retrySafety:
// those of the settings in force, those of the former settings, those under which requests were accepted
// since the settings last changed, and those of older requests that are still open. Classes that were never
// named are left out. They need no pools, as they may use any server, and they don't change any retrySafety,
// as they are NonIdempotent, the lowest value.
func (b *Balancer) classesInUse() map[*class]bool {
	inUse := make(map[*class]bool)
	for _, c := range b.classes.ordered {
		inUse[c] = true
	}
	for _, c := range b.classes.former {
		inUse[c] = true
	}
	for _, c := range b.classes.accepted {
		inUse[c] = true
	}
	for _, r := range b.requests {
		if r.class.timerIndex >= 0 {
			inUse[r.class] = true
		}
	}
	return inUse
}

// isRestricted reports whether a class may use only some of the servers.
func (c *class) isRestricted() bool { return len(c.Kinds)+len(c.Zones)+len(c.Regions) > 0 }

// permits reports whether a class may use a server, by the kinds, zones and regions that the class is
// restricted to.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone)) &&
		(len(c.Regions) == 0 || slices.Contains(c.Regions, s.zone.regionName()))
}

// observeLatency updates the estimate of the tail latency with one response. A slower response raises the
// estimate, up to the latency objective, and a faster one lowers it. The ratio of the two steps keeps
// the fraction tailQuantile of the responses below the estimate.
func (c *class) observeLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	moved := c.tailLatency + time.Duration(tailStep*step*float64(c.tailLatency))
	c.tailLatency = min(c.LatencyObjective, moved)
}
