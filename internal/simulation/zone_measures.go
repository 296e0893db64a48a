package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"sloerail/internal/emulator"
)

// Measure is a requirement: a value computed from a run, with the bounds that it must be within.
type Measure struct {
	Name     string // scripts read it from the output of the zones experiment, so names must not change
	Scenario string
	Min, Max float64
	Compute  func(r Run) float64
}

// Run is a scenario and its outcome.
type Run struct {
	Scenario
	*Outcome
	Baseline *Outcome // outcome of the scenario that BaselineOf names, with the same seed; nil if it names none
}

// Start and end of the fault in the built-in zone scenarios.
const (
	faultStart = 15 * time.Second
	faultEnd   = 30 * time.Second
)

// unbounded stands for a missing upper bound of a measure, and -unbounded for a missing lower bound.
var unbounded = math.Inf(1)

// ZoneMeasures returns the requirements on the handling of zones. docs/zones.md explains them.
func ZoneMeasures() []Measure {
	measures := slices.Concat(oneZoneMeasures(), evacuationMeasures(), largeFleetMeasures())
	for _, name := range []string{"all-slow", "all-errors", "one-bad"} {
		measures = append(measures, Measure{name + ": places left meanwhile", name, 0, 0, func(r Run) float64 {
			return float64(r.evacuations(faultStart, faultEnd))
		}})
	}
	return measures
}

// oneZoneMeasures returns the measures of the loss and return of one zone or region.
func oneZoneMeasures() []Measure {
	return []Measure{
		{"zone lost: served from 2 s on, against before", "zone-lost", 0.98, unbounded, Run.servedRatio},
		{"zone lost: requests that failed, less those under way, for each node and server", "zone-lost", -unbounded, 1, func(r Run) float64 {
			return float64(r.Between(faultStart-2*time.Second, faultEnd).Failed-r.Interrupted) / float64(r.nodesAndServers())
		}},
		{"zone lost: crossing attempts against the least possible", "zone-lost", 0, 1.15, func(r Run) float64 {
			s := r.Between(20*time.Second, faultEnd)
			return float64(s.CrossZone) / float64(sumCounts(s.AttemptsByZone["a"]))
		}},
		{"calm: attempts that cross", "calm", 0, 0, func(r Run) float64 {
			return float64(r.Between(0, r.Length.Duration).CrossZone)
		}},
		{"overflow: crossing attempts against what is beyond 0.8 of the own zone", "overflow", 0, 1.15, overflowRatio},
		{"return: growing took, against the law", "zone-lost", 0.8, 1.2, func(r Run) float64 { return r.growthRatio("a") }},
		{"return: from the zone's return to the last whole share, s", "zone-lost", 0, unbounded, func(r Run) float64 {
			return r.lastLogged("zone a has its whole") - faultEnd.Seconds()
		}},
		{"return: requests that failed", "zone-lost", 0, 0.005,
			func(r Run) float64 { return r.failedFraction(faultEnd, faultEnd+15*time.Second) }},
		{"return cold: requests that failed", "zone-cold", 0, 0.005,
			func(r Run) float64 { return r.failedFraction(faultEnd, faultEnd+25*time.Second) }},
		{"flapping: times left by one node in a minute", "zone-flap", 0, 3, func(r Run) float64 { return float64(r.maxEvacuations()) }},
		{"flapping: served against a zone that stays away", "zone-flap", 0.95, unbounded, func(r Run) float64 {
			return r.servedFraction(faultStart, 75*time.Second) / r.Baseline.Between(faultStart, 75*time.Second).ServedFraction()
		}},
		{"region lost, room for half: worth served against the greatest possible", "region-lost", 0.9, unbounded, regionLossRatio},
		{"region lost: boxes elsewhere choked", "region-lost", 0, 0, func(r Run) float64 {
			return float64(r.Between(faultStart, 35*time.Second).Overloaded)
		}},
	}
}

// evacuationMeasures returns the measures of other failures of zones, and of failures under high load.
func evacuationMeasures() (measures []Measure) {
	for _, name := range []string{"zone-errors", "zone-slow", "zone-silent", "zone-mute"} {
		measures = append(measures, residualTraffic(name, "a", 5*time.Second))
	}
	for _, name := range []string{"two-in-turn", "zone-apart", "zone-vanish", "zone-drain", "large-lost"} {
		measures = append(measures, Measure{name + ": served from 2 s on, against before", name, 0.98, unbounded,
			Run.servedRatio})
	}
	measures = append(measures, Measure{"lost-and-load: served from 2 s on, against before, with 0.93 of what is left asked for",
		"lost-and-load", 0.9, unbounded, Run.servedRatio})
	return measures
}

// largeFleetMeasures returns the measures of a fleet with 60 zones.
func largeFleetMeasures() (measures []Measure) {
	for i, name := range []string{"large-lost", "large-errors"} {
		from := time.Duration(i+1) * 5 * time.Second // longer for errors: each node gets only 6 responses per second
		measures = append(measures, residualTraffic(name, "z00", from), Measure{name + ": attempts of the other zones that cross", name, 0, 0.02,
			func(r Run) float64 {
				s := r.Between(faultStart, faultEnd)
				return float64(s.CrossZone-sumCounts(s.AttemptsByZone["z00"])+s.AttemptsByZone["z00"]["z00"]) / float64(s.Attempts)
			}})
	}
	return measures
}

// residualTraffic returns the measure of how many of the attempts that a zone's nodes send still go to servers of that zone:
// a fraction, counted from the given duration after the start of the fault until its end.
func residualTraffic(scenario, zone string, after time.Duration) Measure {
	return Measure{fmt.Sprintf("%s: share of the zone's requests still sent there from %v on", scenario, after), scenario, 0, 0.05,
		func(r Run) float64 {
			counts := r.Between(faultStart+after, faultEnd).AttemptsByZone[zone]
			return float64(counts[zone]) / float64(sumCounts(counts))
		}}
}

// servedRatio returns the fraction of the value that was served in time from 2 s after the start of the fault until its end,
// divided by the same fraction from 5 s after the start of the run until 1 s before the fault.
func (r Run) servedRatio() float64 {
	return r.servedFraction(faultStart+2*time.Second, faultEnd) / r.servedFraction(5*time.Second, faultStart-time.Second)
}

// BaselineOf returns the name of the scenario that the measures of a scenario compare with, or "" if there is none.
func BaselineOf(scenario string) string {
	if scenario == "zone-flap" {
		return "zone-away"
	}
	return ""
}

func sumCounts(counts map[string]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}

// servedFraction returns the fraction of the value of the requests started in [from, to) that was served in time.
func (r Run) servedFraction(from, to time.Duration) float64 {
	return r.Between(from, to).ServedFraction()
}

// failedFraction returns the fraction of the requests started in [from, to) that failed.
func (r Run) failedFraction(from, to time.Duration) float64 {
	s := r.Between(from, to)
	return float64(s.Failed) / float64(max(1, s.Requests))
}

// nodesAndServers returns the number of all nodes, plus the number of servers in the first zone: the zone that the fault
// affects.
func (r Run) nodesAndServers() (n int) {
	for _, z := range r.Zones {
		n += z.Nodes
	}
	return n + r.Zones[0].Servers
}

// lastLogged returns the time, in seconds, of the last log line with this prefix from any node, or 0 if there is none.
func (r Run) lastLogged(prefix string) (at float64) {
	for _, entry := range r.Timeline {
		if strings.HasPrefix(entry.Text, prefix) {
			at = entry.At
		}
	}
	return at
}

// isEvacuation reports whether the entry is the log line of a node that evacuates a zone.
func (e TimelineEntry) isEvacuation() bool { return strings.Contains(e.Text, " evacuated: ") }

// evacuations returns the number of zone evacuations by all nodes in [from, to).
func (r Run) evacuations(from, to time.Duration) (n int) {
	for _, entry := range r.Timeline {
		if entry.At >= from.Seconds() && entry.At < to.Seconds() && entry.isEvacuation() {
			n++
		}
	}
	return n
}

// maxEvacuations returns the number of zone evacuations by the node with the most.
func (r Run) maxEvacuations() (highest int) {
	counts := make(map[string]int)
	for _, entry := range r.Timeline {
		if entry.isEvacuation() {
			counts[entry.Node]++
			highest = max(highest, counts[entry.Node])
		}
	}
	return highest
}

// Designed ramp of a zone's share after its return: exponential from rampStart to 1, by a factor of e in each
// rampTimeConstantSeconds.
const (
	rampStart               = 1.0 / 20
	rampTimeConstantSeconds = 2
)

// growthRatio returns the mean duration of the nodes' recovery ramps for a zone, divided by the designed duration. It is 0
// if no node completed a ramp.
func (r Run) growthRatio(zone string) float64 {
	began, total, ramps := make(map[string]float64), 0.0, 0 // began holds the start of the ramp by node, in seconds
	for _, entry := range r.Timeline {
		switch {
		case strings.HasPrefix(entry.Text, "zone "+zone+" recovers"):
			began[entry.Node] = entry.At
		case strings.HasPrefix(entry.Text, "zone "+zone+" has its whole") && began[entry.Node] > 0:
			total = total + entry.At - began[entry.Node]
			ramps++
		}
	}
	return total / float64(max(1, ramps)) / (rampTimeConstantSeconds * math.Log(1/rampStart))
}

// overflowRatio returns the number of cross-zone attempts, divided by the number of attempts from zone a that don't fit
// into 0.8 of the capacity of zone a.
func overflowRatio(r Run) float64 {
	const maxUtilization = 0.8
	from, to := 20*time.Second, 35*time.Second
	s := r.Between(from, to)
	work := 0.0
	for _, classWork := range s.Work["a"] {
		work += classWork
	}
	capacity := maxUtilization * r.Cores["a"] * (to - from).Seconds()
	excess := max(0, 1-capacity/work) * float64(sumCounts(s.AttemptsByZone["a"]))
	return float64(s.CrossZone) / excess
}

// regionLossRatio returns the value that was served, divided by the maximum possible value. The maximum is reached if
// zone c, the only zone that isn't lost, spends its capacity on the classes in descending order of priority weight.
func regionLossRatio(r Run) float64 {
	from, to := faultStart+3*time.Second, 35*time.Second
	s := r.Between(from, to)
	capacity, maxValue := r.Cores["c"]*(to-from).Seconds(), 0.0
	classes := emulator.Classes()
	slices.SortFunc(classes, func(a, b emulator.Class) int { return int(b.PriorityWeight - a.PriorityWeight) })
	for _, class := range classes {
		work := 0.0
		for _, byClass := range s.Work {
			work += byClass[class.Name]
		}
		served := min(work, capacity)
		capacity -= served
		maxValue += served * class.PriorityWeight
	}
	return s.ServedValue / maxValue
}
