package policy

import (
	"slices"
	"time"
)

// class is a request class with what was learned of it.
type class struct {
	Class
	eligible *serverPool // the servers that it may be sent to
	*classStats
}

// classStats is what is known of a class by its name, also when the settings change it.
type classStats struct {
	timerIndex      int           // of its timer; below 0 for a class that the settings don't name
	tailLatency     time.Duration // estimate of a high quantile of its latency
	slowAttempts    slowAttemptWatch
	firstTryTimeout time.Duration          // the longest that a first try was open
	typicalByKind   map[string]*serverLoad // what its answers take, by kind of server, where places are judged
}

// classStatsOf is what is known of c by its name.
func (b *Balancer) classStatsOf(c Class) *classStats {
	l := b.classStats[c.Name]
	if l == nil {
		l = &classStats{timerIndex: len(b.classesByTimer), tailLatency: c.LatencyObjective / 2}
		b.classStats[c.Name] = l
		b.classesByTimer = append(b.classesByTimer, l)
	}
	if was := b.formerClasses[c.Name]; was != nil && was.Deadline != c.Deadline {
		l.firstTryTimeout = 0 // a part of the deadline, and that is another now
	}
	l.tailLatency = min(l.tailLatency, c.LatencyObjective)
	return l
}

// classesInUse are the classes that requests may be in: those of the settings, of the former ones, and of
// what is open since before.
func (b *Balancer) classesInUse() map[*class]bool {
	all := make(map[*class]bool)
	for _, c := range b.classOrder {
		all[c] = true
	}
	for _, c := range b.formerClasses {
		all[c] = true
	}
	for _, r := range b.requests {
		if r.class.timerIndex >= 0 { // one that the settings don't name is open to all, and gives no trials
			all[r.class] = true
		}
	}
	return all
}

// classOfRequest is the class of a request, as its settings were when its head came. A class that the
// settings don't name is never sent twice.
func (b *Balancer) classOfRequest(e Request) *class {
	if former := b.formerClasses[e.Class]; e.FormerClass && former != nil {
		return former
	}
	if current := b.classes[e.Class]; current != nil {
		return current
	}
	return &class{Class: Class{LatencyObjective: e.Timeout, LateWeight: 1}, eligible: &b.serverPool,
		classStats: &classStats{timerIndex: -1}}
}

// isRestricted tells whether a class may be sent to some servers only.
func (c *class) isRestricted() bool { return len(c.Kinds)+len(c.Zones)+len(c.Regions) > 0 }

// permits guards the fifth rule: a class bound to zones or kinds of server goes nowhere else.
func (c *class) permits(s *server) bool {
	return (len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone)) &&
		(len(c.Regions) == 0 || slices.Contains(c.Regions, s.zone.regionName()))
}

// observeLatency follows the slow tail of the latency of a class.
func (c *class) observeLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	c.tailLatency = min(c.LatencyObjective, c.tailLatency+time.Duration(tailStep*step*float64(c.tailLatency)))
}

const (
	tailQuantile = 0.95 // latency quantile of a class at which attempts are looked at again
	tailStep     = 0.1  // part by which the estimate of it moves
)
