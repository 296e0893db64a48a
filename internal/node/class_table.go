package node

import (
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

const (
	// formerClassPeriod is how long after a configuration change clients may still go by the former classes.
	formerClassPeriod = 1200 * time.Millisecond
	// maxFormerPeriods bounds how many former configurations are kept, if they change faster than formerClassPeriod.
	maxFormerPeriods = 16
)

// classTable holds the classes that clients' requests are checked against: those of the current configuration and, for
// formerClassPeriod after each change, those of the configuration before it. It is immutable: a changed configuration
// makes a new one.
type classTable struct {
	byName  map[string]*policy.AcceptedClass // the current classes
	periods []classPeriod                    // by their end; the last one is that of the current configuration
}

// classPeriod is a time until which clients may go by a configuration.
type classPeriod struct {
	end     time.Time // zero for the current configuration
	classes []policy.Class
	// byForm holds the classes of the configuration and, for other names and forms, of those that followed it. Where
	// several have the same name and form, a client may already go by a later one, so the bounds of all of them hold.
	byForm map[classForm]*policy.AcceptedClass
}

// classForm is a class's name and the form of its requests: the retry safety determines the method and whether there is
// an idempotency key.
type classForm struct {
	name        string
	retrySafety policy.RetrySafety
}

func newClassTable(settings policy.Settings) *classTable {
	t := &classTable{byName: make(map[string]*policy.AcceptedClass)}
	current := classPeriod{classes: settings.Classes, byForm: make(map[classForm]*policy.AcceptedClass)}
	for _, c := range settings.Classes {
		accepted := &policy.AcceptedClass{Class: c, MaxAttempts: settings.Allowed.MaxAttempts}
		t.byName[c.Name] = accepted
		current.byForm[classForm{c.Name, c.RetrySafety}] = accepted
	}
	t.periods = []classPeriod{current}
	return t
}

// next returns the table of the new settings' classes. The classes of t become former ones.
func (t *classTable) next(settings policy.Settings, now time.Time) *classTable {
	n := newClassTable(settings)
	current := n.periods[0]
	var former []classPeriod
	for _, p := range t.periods {
		if p.end.IsZero() {
			p.end = now.Add(formerClassPeriod)
		}
		if now.Before(p.end) {
			p.byForm = withLater(p.byForm, current.byForm)
			former = append(former, p)
		}
	}
	n.periods = append(former[max(0, len(former)-maxFormerPeriods):], current)
	return n
}

// withLater returns the classes of a period after a change of the configuration to the later classes.
func withLater(classes, later map[classForm]*policy.AcceptedClass) map[classForm]*policy.AcceptedClass {
	all := make(map[classForm]*policy.AcceptedClass, len(later))
	for form, c := range later {
		all[form] = c
	}
	for form, c := range classes {
		if other := later[form]; other != nil {
			c = c.RestrictedBy(other)
		}
		all[form] = c
	}
	return all
}

// Class returns the class that binds a request until it ends, by the time at which its first byte was received. If its
// client may have gone by former configurations then, that is the class of the oldest of them that has the name and the
// request's form, within the bounds of the later ones. Otherwise it is the current class of that name; ok is false if
// there is none.
func (t *classTable) Class(name, method string, hasKey bool, receivedAt time.Time) (c *policy.AcceptedClass, ok bool) {
	if retrySafety, ok := downstream.RetrySafetyOf(method, hasKey); ok {
		if c := t.periodAt(receivedAt).byForm[classForm{name, retrySafety}]; c != nil {
			return c, true
		}
	}
	c, ok = t.byName[name]
	return c, ok
}

// periodAt returns the oldest period that hasn't ended at a time.
func (t *classTable) periodAt(at time.Time) *classPeriod {
	i := 0
	for i < len(t.periods)-1 && !at.Before(t.periods[i].end) {
		i++
	}
	return &t.periods[i]
}

// longest returns the longest result of waitOf for the configurations that clients may go by.
func (t *classTable) longest(waitOf func([]policy.Class) time.Duration) (d time.Duration) {
	now := time.Now()
	for _, p := range t.periods {
		if p.end.IsZero() || now.Before(p.end) {
			d = max(d, waitOf(p.classes))
		}
	}
	return d
}
