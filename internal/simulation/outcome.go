package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sloerail/internal/emulator"
)

// Outcome is the result of a run. Scripts and other versions of the program read its JSON keys.
type Outcome struct {
	Seconds        []Second                  `json:"seconds"` // requests by the second of their start, attempts by the second in which they were sent
	Classes        map[string]Totals         `json:"classes"`
	Timeline       []TimelineEntry           `json:"marks"`  // starts and ends of faults, and log lines of nodes
	Broken         int                       `json:"broken"` // number of violations; BrokenRules has messages for the first of them
	BrokenRules    []string                  `json:"broken_rules"`
	InvalidSends   int                       `json:"errors"` // Send actions of nodes with an unknown request or server
	AttemptsByZone map[string]map[string]int `json:"sends"`  // attempts of nodes, by class and zone of the server
	Interrupted    int                       `json:"struck"` // attempts in progress at affected servers when a fault started
	Cores          map[string]float64        `json:"cores"`  // total capacity of the servers by zone, in cores of speed 1

	origin       time.Duration // start of the run on the clock of the caller
	classWeights map[string]float64
}

// Totals counts requests by outcome. A request and its retries count once. The value of a request is the priority weight
// of its class times its work in core-seconds.
type Totals struct {
	Requests    int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	Failed      int     `json:"failed"`
	Value       float64 `json:"worth"`        // sum of the values of all requests
	ServedValue float64 `json:"worth_served"` // sum of the values of the requests served in time
}

// Second holds the results of one second of a run.
type Second struct {
	Totals
	Attempts       int                       `json:"attempts"`
	CrossZone      int                       `json:"crossing"` // attempts from one zone to another
	Overloaded     int                       `json:"choked"`   // servers slowed by overload at the end of the second
	Utilization    float64                   `json:"busy"`     // busy fraction of the cores of servers that accept connections, at the end of the second
	AttemptsByZone map[string]map[string]int `json:"to"`       // attempts by zone of the node and zone of the server

	Work map[string]map[string]float64 `json:"work"` // total work of the requests, in core-seconds at speed 1, by zone of the clients and class
}

// TimelineEntry is the start or the end of a fault, or a log line of a node.
type TimelineEntry struct {
	At   float64 `json:"at"`  // seconds from the start of the run
	Node string  `json:"who"` // empty for faults
	Text string  `json:"what"`
}

// maxTimelineEntries limits the size of an outcome. Further entries are dropped.
const maxTimelineEntries = 2000

// NewOutcome returns an empty outcome for a run of a scenario that starts at origin on the clock of the caller.
func NewOutcome(s Scenario, servers []emulator.ServerSpec, classes []emulator.Class, origin time.Duration) *Outcome {
	o := &Outcome{Classes: make(map[string]Totals), Cores: make(map[string]float64), AttemptsByZone: make(map[string]map[string]int),
		classWeights: make(map[string]float64), origin: origin}
	for _, c := range classes {
		o.classWeights[c.Name] = c.PriorityWeight
	}
	for _, server := range servers {
		o.Cores[server.Zone] += float64(server.Cores) * server.Speed
	}
	o.second(origin + s.Length.Duration)
	return o
}

// second returns the second that contains a time, and adds all missing seconds up to it.
func (o *Outcome) second(at time.Duration) *Second {
	i := max(0, int((at-o.origin)/time.Second))
	for len(o.Seconds) <= i {
		o.Seconds = append(o.Seconds, newSecond())
	}
	return &o.Seconds[i]
}

// requestValue returns the value of the request that a client attempt belongs to.
func (o *Outcome) requestValue(attempt *emulator.ClientAttempt) float64 {
	return o.classWeights[attempt.Class.Name] * attempt.Work.Seconds()
}

// add adds delta to the counters. Each request in delta has the given value.
func (s *Totals) add(attempt *emulator.ClientAttempt, value float64, delta emulator.ClientStats) {
	s.Requests += delta.Requests
	s.InTime += delta.InTime
	s.Late += delta.Late
	s.Failed += delta.Failed
	s.Value += value * float64(delta.Requests)
	s.ServedValue += value * float64(delta.InTime)
}

// record adds delta to the counters of the second in which the request started, and to those of its class.
func (o *Outcome) record(attempt *emulator.ClientAttempt, delta emulator.ClientStats) {
	value := o.requestValue(attempt)
	o.second(attempt.RequestStart()).add(attempt, value, delta)
	totals := o.Classes[attempt.Class.Name]
	totals.add(attempt, value, delta)
	o.Classes[attempt.Class.Name] = totals
}

func newSecond() Second {
	return Second{AttemptsByZone: make(map[string]map[string]int), Work: make(map[string]map[string]float64)}
}

// RecordRequest records the start of a request, given the zone of its client and its first attempt.
func (o *Outcome) RecordRequest(zone string, attempt *emulator.ClientAttempt) {
	o.record(attempt, emulator.ClientStats{Requests: 1})
	addNested(o.second(attempt.RequestStart()).Work, zone, attempt.Class.Name, attempt.Work.Seconds())
}

// addNested adds a value to sums[outer][inner], and creates the inner map if it is missing.
func addNested[T int | float64](sums map[string]map[string]T, outer, inner string, value T) {
	if sums[outer] == nil {
		sums[outer] = make(map[string]T)
	}
	sums[outer][inner] += value
}

// RecordClientAttemptEnded records the end of a client attempt, given the statistics of its class before and
// after the end.
func (o *Outcome) RecordClientAttemptEnded(attempt *emulator.ClientAttempt, before, after emulator.ClientStats) {
	o.record(attempt, emulator.ClientStats{InTime: after.InTime - before.InTime, Late: after.Late - before.Late,
		Failed: after.Failed - before.Failed})
}

// RecordNodeAttempt records an attempt that a node in the zone from sends to a server in the zone to.
func (o *Outcome) RecordNodeAttempt(now time.Duration, class, from, to string) {
	s := o.second(now)
	addNested(s.AttemptsByZone, from, to, 1)
	addNested(o.AttemptsByZone, class, to, 1)
	if s.Attempts++; from != to {
		s.CrossZone++
	}
}

// RecordTimeline records the start or the end of a fault, or a log line of a node.
func (o *Outcome) RecordTimeline(now time.Duration, node, text string) {
	if len(o.Timeline) < maxTimelineEntries {
		o.Timeline = append(o.Timeline, TimelineEntry{(now - o.origin).Seconds(), node, text})
	}
}

// Between returns the sum of the seconds that overlap [from, to), relative to the start of the run. In the sum,
// Overloaded is the maximum of these seconds, and Utilization is the value of the last one.
func (o *Outcome) Between(from, to time.Duration) Second {
	total := newSecond()
	first, end := int(from/time.Second), int(math.Ceil(to.Seconds()))
	for i := max(0, first); i < min(end, len(o.Seconds)); i++ {
		total.merge(&o.Seconds[i])
	}
	return total
}

// merge adds other to the sum s. The seconds must be added in order of time.
func (s *Second) merge(other *Second) {
	s.Requests += other.Requests
	s.InTime += other.InTime
	s.Late += other.Late
	s.Failed += other.Failed
	s.Value += other.Value
	s.ServedValue += other.ServedValue
	s.Overloaded = max(s.Overloaded, other.Overloaded)
	s.Utilization = other.Utilization
	s.Attempts += other.Attempts
	s.CrossZone += other.CrossZone
	for from, counts := range other.AttemptsByZone {
		for to, n := range counts {
			addNested(s.AttemptsByZone, from, to, n)
		}
	}
	for zone, byClass := range other.Work {
		for class, work := range byClass {
			addNested(s.Work, zone, class, work)
		}
	}
}

// ServedFraction returns the fraction of the value that was served in time. It is 0 if there were no requests.
func (s Totals) ServedFraction() float64 {
	return s.ServedValue / max(s.Value, math.SmallestNonzeroFloat64)
}

// Table returns a human-readable line for each interval of the given number of seconds.
func (o *Outcome) Table(seconds int) (lines []string) {
	for i := 0; i < len(o.Seconds); i += seconds {
		s := o.Between(time.Duration(i)*time.Second, time.Duration(i+seconds)*time.Second)
		line := fmt.Sprintf("%4d s  requests %6d  value in time %.3f  cross-zone %.3f  overloaded %d  utilization %.2f ", i, s.Requests, s.ServedFraction(),
			float64(s.CrossZone)/float64(max(1, s.Attempts)), s.Overloaded, s.Utilization)
		for _, from := range slices.Sorted(maps.Keys(s.AttemptsByZone)) {
			for _, to := range slices.Sorted(maps.Keys(s.AttemptsByZone[from])) {
				line += fmt.Sprintf(" %s>%s %d", from, to, s.AttemptsByZone[from][to])
			}
		}
		lines = append(lines, line)
	}
	return lines
}
