package hotrestart

import (
	"time"

	"sloerail/policy"
)

// ClassPeriod is a former configuration of the classes, which clients may still go by for a while.
type ClassPeriod struct {
	Remaining time.Duration
	Classes   []policy.AcceptedClass
}

// classPeriodState is the JSON of a ClassPeriod in a State. The keys are fixed.
type classPeriodState struct {
	RemainingMillis int64        `json:"RemainingMillis"`
	Classes         []classState `json:"Classes"`
}

// classState is the JSON of a class in a State. The keys are fixed. Times are in nanoseconds.
type classState struct {
	Name             string             `json:"Name"`
	LatencyObjective time.Duration      `json:"LatencyObjective"`
	ObjectivePerWork float64            `json:"ObjectivePerWork"`
	Deadline         time.Duration      `json:"Deadline"`
	RetrySafety      policy.RetrySafety `json:"RetrySafety"`
	DedupScope       policy.DedupScope  `json:"DedupScope"`
	DedupWindow      time.Duration      `json:"DedupWindow"`
	LateWeight       float64            `json:"LateWeight"`
	PriorityWeight   float64            `json:"PriorityWeight"`
	Streaming        bool               `json:"Streaming"`
	Kinds            []string           `json:"Kinds,omitempty"`
	Zones            []string           `json:"Zones,omitempty"`
	Regions          []string           `json:"Regions,omitempty"`
	MaxAttempts      int                `json:"MaxAttempts"`
}

func newClassState(c policy.AcceptedClass) classState {
	return classState{Name: c.Name, LatencyObjective: c.LatencyObjective, ObjectivePerWork: c.ObjectivePerWork,
		Deadline: c.Deadline, RetrySafety: c.RetrySafety, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow,
		LateWeight: c.LateWeight, PriorityWeight: c.PriorityWeight, Streaming: c.Streaming,
		Kinds: c.Kinds, Zones: c.Zones, Regions: c.Regions, MaxAttempts: c.MaxAttempts}
}

// class returns the class of the state. A retry safety or dedup scope that this version doesn't know becomes the
// strictest one.
func (s classState) class() policy.AcceptedClass {
	c := policy.AcceptedClass{MaxAttempts: s.MaxAttempts, Class: policy.Class{Name: s.Name,
		LatencyObjective: s.LatencyObjective, ObjectivePerWork: s.ObjectivePerWork, Deadline: s.Deadline,
		RetrySafety: s.RetrySafety, DedupScope: s.DedupScope, DedupWindow: s.DedupWindow,
		LateWeight: s.LateWeight, PriorityWeight: s.PriorityWeight, Streaming: s.Streaming,
		Kinds: s.Kinds, Zones: s.Zones, Regions: s.Regions}}
	if c.RetrySafety > policy.Idempotent {
		c.RetrySafety = policy.NonIdempotent
	}
	if c.DedupScope > policy.DedupEverywhere {
		c.DedupScope = policy.DedupPerCell
	}
	return c
}

// SetFormerClasses adds the former configurations to the state, oldest first.
func (s *State) SetFormerClasses(periods []ClassPeriod) {
	for _, p := range periods {
		state := classPeriodState{RemainingMillis: p.Remaining.Milliseconds()}
		for _, c := range p.Classes {
			state.Classes = append(state.Classes, newClassState(c))
		}
		s.FormerPeriods = append(s.FormerPeriods, state)
	}
}

// FormerClasses returns the former configurations of the state, oldest first.
func (s *State) FormerClasses() (periods []ClassPeriod) {
	for _, state := range s.FormerPeriods {
		p := ClassPeriod{Remaining: time.Duration(state.RemainingMillis) * time.Millisecond}
		for _, c := range state.Classes {
			p.Classes = append(p.Classes, c.class())
		}
		periods = append(periods, p)
	}
	return periods
}
