package node

import (
	"maps"
	"slices"
	"time"

	"sloerail/internal/node/downstream"
	"sloerail/internal/node/hotrestart"
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
	end     time.Time              // zero for the current configuration
	classes []policy.AcceptedClass // of the configuration
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

// newClassTable returns the table of settings and of former periods, which are sorted by their end.
func newClassTable(former []classPeriod, settings policy.Settings) *classTable {
	t := &classTable{byName: make(map[string]*policy.AcceptedClass)}
	t.periods = append(t.periods, former[max(0, len(former)-maxFormerPeriods):]...)
	t.periods = append(t.periods, classPeriod{classes: acceptedClasses(settings)})
	var later map[classForm]*policy.AcceptedClass
	for i := range slices.Backward(t.periods) {
		later = classesByForm(t.periods[i].classes, later)
		t.periods[i].byForm = later
	}
	current := &t.periods[len(t.periods)-1]
	for i := range current.classes {
		t.byName[current.classes[i].Name] = &current.classes[i]
	}
	return t
}

// acceptedClasses returns the classes of settings as they bind requests.
func acceptedClasses(settings policy.Settings) (all []policy.AcceptedClass) {
	for _, c := range settings.Classes {
		all = append(all, policy.AcceptedClass{Class: c, MaxAttempts: settings.Allowed.MaxAttempts})
	}
	return all
}

// classesByForm returns the classes by their forms, together with the later classes, which followed them.
func classesByForm(
	classes []policy.AcceptedClass, later map[classForm]*policy.AcceptedClass,
) map[classForm]*policy.AcceptedClass {
	byForm := maps.Clone(later)
	if byForm == nil {
		byForm = make(map[classForm]*policy.AcceptedClass)
	}
	for i := range classes {
		c := &classes[i]
		form := classForm{c.Name, c.RetrySafety}
		if other := later[form]; other != nil {
			c = c.RestrictedBy(other)
		}
		byForm[form] = c
	}
	return byForm
}

// next returns the table of new settings. The classes of t become former ones.
func (t *classTable) next(settings policy.Settings, now time.Time) *classTable {
	current := len(t.periods) - 1
	former := append(t.formerPeriods(now), classPeriod{end: now.Add(formerClassPeriod), classes: t.periods[current].classes})
	return newClassTable(former, settings)
}

// formerPeriods returns the periods of former configurations that haven't ended.
func (t *classTable) formerPeriods(now time.Time) (former []classPeriod) {
	for _, p := range t.periods {
		if now.Before(p.end) {
			former = append(former, p)
		}
	}
	return former
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

// handOver returns the former configurations that a successor's clients may still go by.
func (t *classTable) handOver(now time.Time) (periods []hotrestart.ClassPeriod) {
	for _, p := range t.formerPeriods(now) {
		periods = append(periods, hotrestart.ClassPeriod{Remaining: p.end.Sub(now), Classes: p.classes})
	}
	return periods
}

// takeOver returns the former periods that the predecessor handed over. Each ends after formerClassPeriod at the latest.
func takeOver(periods []hotrestart.ClassPeriod, now time.Time) (former []classPeriod) {
	for _, p := range periods {
		former = append(former, classPeriod{end: now.Add(min(p.Remaining, formerClassPeriod)), classes: p.Classes})
	}
	return former
}

// longest returns the longest result of waitOf for the configurations that clients may go by.
func (t *classTable) longest(waitOf func([]policy.AcceptedClass) time.Duration) time.Duration {
	longest := waitOf(t.periods[len(t.periods)-1].classes)
	for _, p := range t.formerPeriods(time.Now()) {
		longest = max(longest, waitOf(p.classes))
	}
	return longest
}
