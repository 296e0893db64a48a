package policy

import (
	"slices"
	"time"
)

const (
	// tailQuantile is the quantile of a class's latency that is estimated. An attempt that takes much longer may
	// be at a server that hangs (slow_attempts.go).
	tailQuantile = 0.95
	// tailStep scales how far a response moves the estimate, as a fraction of the estimate.
	tailStep = 0.1
)

// class is a request class of the settings, with the servers that it may use and its measurements.
type class struct {
	Class
	eligible *serverPool // servers that the class may use
	*classStats
}

// classStats holds the measurements of a class. A class of new settings takes over those of the former class
// with the same name.
type classStats struct {
	timerIndex      int           // index of its timer; negative for a class that the settings never named
	tailLatency     time.Duration // estimated tailQuantile of the latency, at most the objective
	slowAttempts    slowAttemptWatch
	firstTryTimeout time.Duration          // longest timeout of a client's first try
	typicalByKind   map[string]*serverLoad // usual latency by kind of server; kept where zones are monitored
}

// classRegistry holds the classes of the settings in force and of the former settings, and the measurements
// of all classes by name.
type classRegistry struct {
	byName       map[string]*class
	former       map[string]*class // classes of the former settings by name
	ordered      []*class          // in the order of the settings
	stats        map[string]*classStats
	statsByTimer []*classStats // by timerIndex
}

func newClassRegistry() classRegistry { return classRegistry{stats: make(map[string]*classStats)} }

// configure sets the classes of new settings. At first, each may use every server of the pool; then
// packingOrder.reset gives each restricted class a pool of its own. A class without a latency objective gets
// its deadline as the objective.
func (c *classRegistry) configure(classes []Class, pool *serverPool) {
	c.former, c.byName, c.ordered = c.byName, make(map[string]*class), nil
	for _, settings := range classes {
		if settings.LatencyObjective == 0 {
			settings.LatencyObjective = settings.Deadline
		}
		current := &class{Class: settings, eligible: pool, classStats: c.statsOf(settings)}
		c.ordered = append(c.ordered, current)
		c.byName[settings.Name] = current
	}
}

// statsOf returns the measurements of the class with the name in the settings, adapted to these settings.
func (c *classRegistry) statsOf(settings Class) *classStats {
	stats := c.stats[settings.Name]
	if stats == nil {
		stats = &classStats{timerIndex: len(c.statsByTimer), tailLatency: settings.LatencyObjective / 2}
		c.stats[settings.Name] = stats
		c.statsByTimer = append(c.statsByTimer, stats)
	}
	if former := c.former[settings.Name]; former != nil && former.Deadline != settings.Deadline {
		stats.firstTryTimeout = 0 // clients derive it from the deadline
	}
	stats.tailLatency = min(stats.tailLatency, settings.LatencyObjective)
	return stats
}

// find returns the class of a request according to the settings in force or, if its head arrived before them,
// the former settings. It returns nil if neither names the class.
func (c *classRegistry) find(e Request) *class {
	if e.FormerClass {
		if former := c.former[e.Class]; former != nil {
			return former
		}
	}
	return c.byName[e.Class]
}

// classOfRequest returns the class of a request. A class that the settings don't name is non-idempotent.
func (b *Balancer) classOfRequest(e Request) *class {
	if known := b.classes.find(e); known != nil {
		return known
	}
	return &class{Class: Class{LatencyObjective: e.Timeout, LateWeight: 1}, eligible: &b.packing.pool,
		classStats: &classStats{timerIndex: -1}}
}

// classesInUse returns the classes that requests may have: those of the settings in force, those of the
// former settings, and those of older requests that are still open. Classes that the settings never named are
// left out: they may use any server, and their requests are never probes.
func (b *Balancer) classesInUse() map[*class]bool {
	inUse := make(map[*class]bool)
	for _, c := range b.classes.ordered {
		inUse[c] = true
	}
	for _, c := range b.classes.former {
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

// observeLatency updates the estimate of the tail latency with one response: a slower one raises it and a
// faster one lowers it, in the ratio that keeps tailQuantile of the responses below the estimate.
func (c *class) observeLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	moved := c.tailLatency + time.Duration(tailStep*step*float64(c.tailLatency))
	c.tailLatency = min(c.LatencyObjective, moved)
}
