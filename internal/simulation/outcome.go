package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sloerail/internal/emulator"
)

// Outcome is the result of a run. Its keys are read by scripts and by other versions of the program.
type Outcome struct {
	Seconds        []Second                  `json:"seconds"` // by the begin of requests, and the sending of attempts
	Classes        map[string]Totals         `json:"classes"`
	Timeline       []TimelineEntry           `json:"marks"` // faults, and what the nodes logged
	Broken         int                       `json:"broken"`
	BrokenRules    []string                  `json:"broken_rules"`
	Errors         int                       `json:"errors"` // attempts of nodes for unknown requests or servers
	AttemptsByZone map[string]map[string]int `json:"sends"`  // of nodes, by class and zone of the server
	Interrupted    int                       `json:"struck"` // attempts in progress at servers when a fault began for them
	Cores          map[string]float64        `json:"cores"`  // of speed 1, by zone

	origin      time.Duration // of the clock that its times are on
	classValues map[string]float64
}

// Totals count requests by how they ended, with their retries counted in.
type Totals struct {
	Requests    int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	Failed      int     `json:"failed"`
	Value       float64 `json:"worth"`        // of all requests
	ServedValue float64 `json:"worth_served"` // of those in time
}

// Second is one second of a run.
type Second struct {
	Totals
	Attempts       int                       `json:"attempts"`
	CrossZone      int                       `json:"crossing"` // of them, from a zone to another
	Overloaded     int                       `json:"choked"`   // servers that are slower because they were, at its end
	Utilization    float64                   `json:"busy"`     // fraction of the cores of reachable servers, at its end
	AttemptsByZone map[string]map[string]int `json:"to"`       // attempts, by zone of the node and of the server

	Work map[string]map[string]float64 `json:"work"` // of requests, in seconds of a core of speed 1, by zone of the clients and class
}

// TimelineEntry is something that happened.
type TimelineEntry struct {
	At   float64 `json:"at"` // seconds from the begin
	Node string  `json:"who"`
	Text string  `json:"what"`
}

// maxTimelineEntries bounds an outcome; later entries are dropped.
const maxTimelineEntries = 2000

// NewOutcome makes an empty outcome for a run of a scenario that begins at origin, on the clock of the caller.
func NewOutcome(s Scenario, servers []emulator.ServerSpec, classes []emulator.Class, origin time.Duration) *Outcome {
	o := &Outcome{Classes: make(map[string]Totals), Cores: make(map[string]float64), AttemptsByZone: make(map[string]map[string]int),
		classValues: make(map[string]float64), origin: origin}
	for _, c := range classes {
		o.classValues[c.Name] = c.PriorityWeight
	}
	for _, server := range servers {
		o.Cores[server.Zone] += float64(server.Cores) * server.Speed
	}
	o.second(origin + s.Length.Duration)
	return o
}

// second returns the second of a time, and adds those up to it.
func (o *Outcome) second(at time.Duration) *Second {
	i := max(0, int((at-o.origin)/time.Second))
	for len(o.Seconds) <= i {
		o.Seconds = append(o.Seconds, newSecond())
	}
	return &o.Seconds[i]
}

// valueOf is the value of a request: its class's priority weight, times its work.
func (o *Outcome) valueOf(attempt *emulator.ClientAttempt) float64 {
	return o.classValues[attempt.Class.Name] * attempt.Work.Seconds()
}

func (s *Totals) add(attempt *emulator.ClientAttempt, value float64, change emulator.ClientStats) {
	s.Requests += change.Requests
	s.InTime += change.InTime
	s.Late += change.Late
	s.Failed += change.Failed
	s.Value += value * float64(change.Requests)
	s.ServedValue += value * float64(change.InTime)
}

func (o *Outcome) record(attempt *emulator.ClientAttempt, change emulator.ClientStats) {
	value := o.valueOf(attempt)
	o.second(attempt.RequestStart()).add(attempt, value, change)
	sum := o.Classes[attempt.Class.Name]
	sum.add(attempt, value, change)
	o.Classes[attempt.Class.Name] = sum
}

func newSecond() Second {
	return Second{AttemptsByZone: make(map[string]map[string]int), Work: make(map[string]map[string]float64)}
}

// RecordRequest records the first attempt of a request of a zone's clients.
func (o *Outcome) RecordRequest(zone string, attempt *emulator.ClientAttempt) {
	o.record(attempt, emulator.ClientStats{Requests: 1})
	add(o.second(attempt.RequestStart()).Work, zone, attempt.Class.Name, attempt.Work.Seconds())
}

// add adds to a nested sum, which it makes where it is missing.
func add[T int | float64](sums map[string]map[string]T, outer, inner string, value T) {
	if sums[outer] == nil {
		sums[outer] = make(map[string]T)
	}
	sums[outer][inner] += value
}

// RecordAttemptEnded records the end of a client attempt, by the statistics of its class before and after.
func (o *Outcome) RecordAttemptEnded(attempt *emulator.ClientAttempt, before, after emulator.ClientStats) {
	o.record(attempt, emulator.ClientStats{InTime: after.InTime - before.InTime, Late: after.Late - before.Late,
		Failed: after.Failed - before.Failed})
}

// RecordAttempt records an attempt of a node in a zone at a server.
func (o *Outcome) RecordAttempt(now time.Duration, class, from, to string) {
	s := o.second(now)
	add(s.AttemptsByZone, from, to, 1)
	add(o.AttemptsByZone, class, to, 1)
	if s.Attempts++; from != to {
		s.CrossZone++
	}
}

// RecordTimeline records the begin or end of a fault, or what a node logged.
func (o *Outcome) RecordTimeline(now time.Duration, node, text string) {
	if len(o.Timeline) < maxTimelineEntries {
		o.Timeline = append(o.Timeline, TimelineEntry{(now - o.origin).Seconds(), node, text})
	}
}

// Between sums the seconds from one time to another, that one excluded. Overloaded is the greatest of theirs, and
// Utilization the last.
func (o *Outcome) Between(from, to time.Duration) Second {
	total := newSecond()
	first, end := int(from/time.Second), int(math.Ceil(to.Seconds()))
	for i := max(0, first); i < min(end, len(o.Seconds)); i++ {
		total.merge(&o.Seconds[i])
	}
	return total
}

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
			add(s.AttemptsByZone, from, to, n)
		}
	}
	for zone, byClass := range other.Work {
		for class, work := range byClass {
			add(s.Work, zone, class, work)
		}
	}
}

// ServedFraction is the fraction of the value that was served in time.
func (s Totals) ServedFraction() float64 {
	return s.ServedValue / max(s.Value, math.SmallestNonzeroFloat64)
}

// Table returns a line for so many seconds each, for people.
func (o *Outcome) Table(seconds int) (lines []string) {
	for i := 0; i < len(o.Seconds); i += seconds {
		s := o.Between(time.Duration(i)*time.Second, time.Duration(i+seconds)*time.Second)
		line := fmt.Sprintf("%4d s  asked %6d  in time %.3f  crossing %.3f  choked %d busy %.2f ", i, s.Requests, s.ServedFraction(),
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
