package policy

import (
	"slices"
	"time"
)

const (
	// tailQuantile is the quantile of a class's latency that is estimated. An attempt that is much slower may
	// be at a server that hangs (slow_attempts.go).
	tailQuantile = 0.95
	// tailStep is the part of the estimate by which responses move it.
	tailStep = 0.1
)

// class is a request class of the settings, with the servers that it may use and what was measured of it.
type class struct {
	Class
	eligible *serverPool // the servers that it may be sent to
	*classStats
}

// classStats is what was measured of the classes of one name. It outlives changes of the settings.
type classStats struct {
	timerIndex      int           // of the class's timer; negative for a class that the settings never named
	tailLatency     time.Duration // estimate of the tailQuantile of its latency, at most its objective
	slowAttempts    slowAttemptWatch
	firstTryTimeout time.Duration          // longest timeout of a client's first try
	typicalByKind   map[string]*serverLoad // usual latency by kind of server, where zones are monitored
}

// classRegistry holds the classes of the settings in force, those of the former settings, and what was
// measured of any class by its name.
type classRegistry struct {
	byName       map[string]*class
	former       map[string]*class // of the settings before
	ordered      []*class          // in the order of the settings
	stats        map[string]*classStats
	statsByTimer []*classStats // by timerIndex
}

func newClassRegistry() classRegistry { return classRegistry{stats: make(map[string]*classStats)} }

// configure takes over the classes of new settings, which all may use the servers of the pool at first. A
// class without a latency objective has its deadline as one.
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

// statsOf returns what was measured of the class of a name, adapted to its settings.
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

// find returns the class of a request by the settings in force, or by the former ones where they applied
// when its head came; nil for a name that neither has.
func (c *classRegistry) find(e Request) *class {
	if e.FormerClass {
		if former := c.former[e.Class]; former != nil {
			return former
		}
	}
	return c.byName[e.Class]
}

// classOfRequest is the class of a request. One whose class the settings don't name is never repeated.
func (b *Balancer) classOfRequest(e Request) *class {
	if known := b.classes.find(e); known != nil {
		return known
	}
	return &class{Class: Class{LatencyObjective: e.Timeout, LateWeight: 1}, eligible: &b.packing.pool,
		classStats: &classStats{timerIndex: -1}}
}

// classesInUse are the classes that requests may have: those of the settings, those of the former settings,
// and those of requests that are open since before. A class that the settings never named isn't among them:
// it may use any server, and its requests are no probes.
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

// isRestricted reports whether a class may use some servers only.
func (c *class) isRestricted() bool { return len(c.Kinds)+len(c.Zones)+len(c.Regions) > 0 }

// permits reports whether a class may use a server: one that is restricted to kinds, zones or regions goes
// nowhere else.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone)) &&
		(len(c.Regions) == 0 || slices.Contains(c.Regions, s.zone.regionName()))
}

// observeLatency moves the estimate of the tail latency by one response: up by a slower one, down by a
// faster one, in the ratio that keeps tailQuantile of the responses below it.
func (c *class) observeLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	moved := c.tailLatency + time.Duration(tailStep*step*float64(c.tailLatency))
	c.tailLatency = min(c.LatencyObjective, moved)
}
