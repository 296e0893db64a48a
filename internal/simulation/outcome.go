package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"sloerail/internal/emulator"
)

// Outcome is what came of a run.
type Outcome struct {
	Seconds        []Second                  `json:"seconds"` // by when requests were first asked, and attempts sent
	Classes        map[string]Totals         `json:"classes"`
	Timeline       []TimelineEntry           `json:"marks"` // faults, and what the nodes said
	Broken         int                       `json:"broken"`
	BrokenRules    []string                  `json:"broken_rules"`
	Errors         int                       `json:"errors"` // sends that make no sense
	AttemptsByZone map[string]map[string]int `json:"sends"`  // attempts, by class and zone that they went to
	Interrupted    int                       `json:"struck"` // attempts under way at servers when a fault affected them
	Cores          map[string]float64        `json:"cores"`  // of speed 1, by zone

	origin      time.Duration // of the clock that its times are on
	classValues map[string]float64
}

// Totals is what became of requests, with their retries folded in.
type Totals struct {
	Requests    int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	Failed      int     `json:"failed"`
	Value       float64 `json:"worth"`        // asked for
	ServedValue float64 `json:"worth_served"` // of it, in time
}

// Second is one of a run.
type Second struct {
	Totals
	Attempts       int                       `json:"attempts"`
	CrossZone      int                       `json:"crossing"` // of them, to another zone
	Overloaded     int                       `json:"choked"`   // servers that were crowded until they became slower, at its end
	Utilization    float64                   `json:"busy"`     // part of the cores of servers that are there, at its end
	AttemptsByZone map[string]map[string]int `json:"to"`       // by the zone that they come from and go to

	Work map[string]map[string]float64 `json:"work"` // asked for, in seconds of a core of speed 1, by zone and class
}

// TimelineEntry is something that happened.
type TimelineEntry struct {
	At   float64 `json:"at"` // seconds
	Node string  `json:"who"`
	Text string  `json:"what"`
}

const maxTimelineEntries = 2000

// NewOutcome makes an empty one, for whoever plays a scenario that begins at a time of its own clock.
func NewOutcome(s Scenario, boxes []emulator.ServerSpec, classes []emulator.Class, origin time.Duration) *Outcome {
	o := &Outcome{Classes: make(map[string]Totals), Cores: make(map[string]float64), AttemptsByZone: make(map[string]map[string]int),
		classValues: make(map[string]float64)}
	o.origin = origin
	for _, c := range classes {
		o.classValues[c.Name] = c.PriorityWeight
	}
	for _, b := range boxes {
		o.Cores[b.Zone] += float64(b.Cores) * b.Speed
	}
	o.second(origin + s.Length.Duration)
	return o
}

func (o *Outcome) second(at time.Duration) *Second {
	i := max(0, int((at-o.origin)/time.Second))
	for len(o.Seconds) <= i {
		o.Seconds = append(o.Seconds, newSecond())
	}
	return &o.Seconds[i]
}

// valueOf is the value of a try: its class's, for each unit of work.
func (o *Outcome) valueOf(t *emulator.ClientAttempt) float64 {
	return o.classValues[t.Class.Name] * t.Work.Seconds()
}

func (s *Totals) add(t *emulator.ClientAttempt, worth float64, change emulator.ClientStats) {
	s.Requests += change.Requests
	s.InTime += change.InTime
	s.Late += change.Late
	s.Failed += change.Failed
	s.Value += worth * float64(change.Requests)
	s.ServedValue += worth * float64(change.InTime)
}

func (o *Outcome) record(t *emulator.ClientAttempt, change emulator.ClientStats) {
	worth := o.valueOf(t)
	o.second(t.RequestStart()).add(t, worth, change)
	sum := o.Classes[t.Class.Name]
	sum.add(t, worth, change)
	o.Classes[t.Class.Name] = sum
}

func newSecond() Second {
	return Second{AttemptsByZone: make(map[string]map[string]int), Work: make(map[string]map[string]float64)}
}

// RecordRequest books the first try of a request near a zone.
func (o *Outcome) RecordRequest(zone string, t *emulator.ClientAttempt) {
	o.record(t, emulator.ClientStats{Requests: 1})
	add(o.second(t.RequestStart()).Work, zone, t.Class.Name, t.Work.Seconds())
}

// add adds to a sum of sums.
func add[T int | float64](all map[string]map[string]T, a, b string, v T) {
	if all[a] == nil {
		all[a] = make(map[string]T)
	}
	all[a][b] += v
}

// RecordAttemptEnded books what a try came to, by what its class had come to before and after.
func (o *Outcome) RecordAttemptEnded(t *emulator.ClientAttempt, before, after emulator.ClientStats) {
	o.record(t, emulator.ClientStats{InTime: after.InTime - before.InTime, Late: after.Late - before.Late,
		Failed: after.Failed - before.Failed})
}

// RecordAttempt books an attempt from a zone to another.
func (o *Outcome) RecordAttempt(now time.Duration, class, from, to string) {
	s := o.second(now)
	add(s.AttemptsByZone, from, to, 1)
	add(o.AttemptsByZone, class, to, 1)
	if s.Attempts++; from != to {
		s.CrossZone++
	}
}

// RecordTimeline books that a fault begins or ends, or what a node said.
func (o *Outcome) RecordTimeline(now time.Duration, who, what string) {
	if len(o.Timeline) < maxTimelineEntries {
		o.Timeline = append(o.Timeline, TimelineEntry{(now - o.origin).Seconds(), who, what})
	}
}

// Between sums what was asked from one time to another; the end is left out.
func (o *Outcome) Between(from, to time.Duration) (all Second) {
	all = newSecond()
	first, last := int(from/time.Second), int(math.Ceil(to.Seconds()))
	for i := max(0, first); i < min(last, len(o.Seconds)); i++ {
		s := o.Seconds[i]
		all.Requests, all.InTime, all.Late, all.Failed = all.Requests+s.Requests, all.InTime+s.InTime, all.Late+s.Late, all.Failed+s.Failed
		all.Value, all.ServedValue = all.Value+s.Value, all.ServedValue+s.ServedValue
		all.Overloaded, all.Utilization = max(all.Overloaded, s.Overloaded), s.Utilization
		all.Attempts, all.CrossZone = all.Attempts+s.Attempts, all.CrossZone+s.CrossZone
		for a, to := range s.AttemptsByZone {
			for b, n := range to {
				add(all.AttemptsByZone, a, b, n)
			}
		}
		for zone, by := range s.Work {
			for class, work := range by {
				add(all.Work, zone, class, work)
			}
		}
	}
	return all
}

// ServedFraction is the part of the value that was served in time.
func (s Totals) ServedFraction() float64 {
	return s.ServedValue / max(s.Value, math.SmallestNonzeroFloat64)
}

// Table is the run second by second, for people.
func (o *Outcome) Table(every int) (lines []string) {
	for i := 0; i < len(o.Seconds); i += every {
		s := o.Between(time.Duration(i)*time.Second, time.Duration(i+every)*time.Second)
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
