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
	Seconds     []Second                  `json:"seconds"` // by when requests were first asked, and attempts sent
	Classes     map[string]Sum            `json:"classes"`
	Marks       []Mark                    `json:"marks"` // faults, and what the nodes said
	Broken      int                       `json:"broken"`
	BrokenRules []string                  `json:"broken_rules"`
	Errors      int                       `json:"errors"` // sends that make no sense
	Sends       map[string]map[string]int `json:"sends"`  // attempts, by class and zone that they went to
	Interrupted int                       `json:"struck"` // attempts under way at servers when a fault affected them
	Cores       map[string]float64        `json:"cores"`  // of speed 1, by zone

	origin      time.Duration // of the clock that its times are on
	classValues map[string]float64
}

// Sum is what became of requests, with their retries folded in.
type Sum struct {
	Requests    int     `json:"asked"`
	InTime      int     `json:"in_time"`
	Late        int     `json:"late"`
	Failed      int     `json:"failed"`
	Value       float64 `json:"worth"`        // asked for
	ServedValue float64 `json:"worth_served"` // of it, in time
}

// Second is one of a run.
type Second struct {
	Sum
	Attempts int                       `json:"attempts"`
	Crossing int                       `json:"crossing"` // of them, to another zone
	Choked   int                       `json:"choked"`   // servers that were crowded until they became slower, at its end
	Busy     float64                   `json:"busy"`     // part of the cores of servers that are there, at its end
	To       map[string]map[string]int `json:"to"`       // by the zone that they come from and go to

	Work map[string]map[string]float64 `json:"work"` // asked for, in seconds of a core of speed 1, by zone and class
}

// Mark is something that happened.
type Mark struct {
	At   float64 `json:"at"` // seconds
	Who  string  `json:"who"`
	What string  `json:"what"`
}

const maxMarks = 2000

// NewOutcome makes an empty one, for whoever plays a scenario that begins at a time of its own clock.
func NewOutcome(s Scenario, boxes []emulator.ServerSpec, classes []emulator.Class, origin time.Duration) *Outcome {
	o := &Outcome{Classes: make(map[string]Sum), Cores: make(map[string]float64), Sends: make(map[string]map[string]int),
		classValues: make(map[string]float64)}
	o.origin = origin
	for _, c := range classes {
		o.classValues[c.Name] = c.PriorityWeight
	}
	for _, b := range boxes {
		o.Cores[b.Zone] += float64(b.Cores) * b.Speed
	}
	o.second(origin + s.For.Duration)
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
func (o *Outcome) valueOf(t *emulator.Try) float64 {
	return o.classValues[t.Class.Name] * t.Work.Seconds()
}

func (s *Sum) add(t *emulator.Try, worth float64, change emulator.Sums) {
	s.Requests += change.Asked
	s.InTime += change.InTime
	s.Late += change.Late
	s.Failed += change.Unserved
	s.Value += worth * float64(change.Asked)
	s.ServedValue += worth * float64(change.InTime)
}

func (o *Outcome) record(t *emulator.Try, change emulator.Sums) {
	worth := o.valueOf(t)
	o.second(t.First()).add(t, worth, change)
	sum := o.Classes[t.Class.Name]
	sum.add(t, worth, change)
	o.Classes[t.Class.Name] = sum
}

func newSecond() Second {
	return Second{To: make(map[string]map[string]int), Work: make(map[string]map[string]float64)}
}

// Ask books the first try of a request near a zone.
func (o *Outcome) Ask(zone string, t *emulator.Try) {
	o.record(t, emulator.Sums{Asked: 1})
	add(o.second(t.First()).Work, zone, t.Class.Name, t.Work.Seconds())
}

// add adds to a sum of sums.
func add[T int | float64](all map[string]map[string]T, a, b string, v T) {
	if all[a] == nil {
		all[a] = make(map[string]T)
	}
	all[a][b] += v
}

// Ended books what a try came to, by what its class had come to before and after.
func (o *Outcome) Ended(t *emulator.Try, before, after emulator.Sums) {
	o.record(t, emulator.Sums{InTime: after.InTime - before.InTime, Late: after.Late - before.Late,
		Unserved: after.Unserved - before.Unserved})
}

// Sent books an attempt from a zone to another.
func (o *Outcome) Sent(now time.Duration, class, from, to string) {
	s := o.second(now)
	add(s.To, from, to, 1)
	add(o.Sends, class, to, 1)
	if s.Attempts++; from != to {
		s.Crossing++
	}
}

// Mark books that a fault begins or ends, or what a node said.
func (o *Outcome) Mark(now time.Duration, who, what string) {
	if len(o.Marks) < maxMarks {
		o.Marks = append(o.Marks, Mark{(now - o.origin).Seconds(), who, what})
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
		all.Choked, all.Busy = max(all.Choked, s.Choked), s.Busy
		all.Attempts, all.Crossing = all.Attempts+s.Attempts, all.Crossing+s.Crossing
		for a, to := range s.To {
			for b, n := range to {
				add(all.To, a, b, n)
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

// Share is the part of the value that was served in time.
func (s Sum) Share() float64 { return s.ServedValue / max(s.Value, math.SmallestNonzeroFloat64) }

// Table is the run second by second, for people.
func (o *Outcome) Table(every int) (lines []string) {
	for i := 0; i < len(o.Seconds); i += every {
		s := o.Between(time.Duration(i)*time.Second, time.Duration(i+every)*time.Second)
		line := fmt.Sprintf("%4d s  asked %6d  in time %.3f  crossing %.3f  choked %d busy %.2f ", i, s.Requests, s.Share(),
			float64(s.Crossing)/float64(max(1, s.Attempts)), s.Choked, s.Busy)
		for _, from := range slices.Sorted(maps.Keys(s.To)) {
			for _, to := range slices.Sorted(maps.Keys(s.To[from])) {
				line += fmt.Sprintf(" %s>%s %d", from, to, s.To[from][to])
			}
		}
		lines = append(lines, line)
	}
	return lines
}
