package node

import (
	"log/slog"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

// formerClassPeriod is how long after a configuration change requests in the former form of their class are still
// accepted. A class's form is the method of its requests and whether they have an idempotency key.
const formerClassPeriod = 1200 * time.Millisecond

// Change is the result of reloading the configuration.
type Change struct {
	Config config.Config
	Err    error // why the whole file was rejected; nil if it was accepted
}

// classTable holds the classes that clients' requests are checked against. It is immutable: a changed configuration
// makes a new one.
type classTable struct {
	byName      map[string]*policy.AcceptedClass
	list        []policy.Class
	former      *classTable // the classes before the last change, valid until formerUntil
	formerUntil time.Time
}

func newClassTable(settings policy.Settings) *classTable {
	t := &classTable{byName: make(map[string]*policy.AcceptedClass), list: settings.Classes}
	for _, c := range settings.Classes {
		t.byName[c.Name] = &policy.AcceptedClass{Class: c, MaxAttempts: settings.Allowed.MaxAttempts}
	}
	return t
}

// next returns the table of the new settings' classes, with the classes of t as the former ones.
func (t *classTable) next(settings policy.Settings, now time.Time) *classTable {
	n := newClassTable(settings)
	n.former, n.formerUntil = &classTable{byName: t.byName, list: t.list}, now.Add(formerClassPeriod)
	return n
}

// Class returns the class of a request by its name. For formerClassPeriod after a configuration change, it returns the
// former class of that name if the request has the former class's form. ok is false if there is no class of that name.
func (t *classTable) Class(name, method string, hasKey bool) (c *policy.AcceptedClass, ok bool) {
	if t.former != nil && time.Now().Before(t.formerUntil) {
		if c, ok := t.former.byName[name]; ok && matchesClass(c.Class, method, hasKey) {
			return c, true
		}
	}
	c, ok = t.byName[name]
	return c, ok
}

// matchesClass reports whether a request has the form of a class: the class's retry safety determines the method and
// whether there is an idempotency key.
func matchesClass(c policy.Class, method string, hasKey bool) bool {
	return method == downstream.MethodFor(c) && (c.RetrySafety == policy.IdempotencyKeyed) == hasKey
}

// longest returns waitOf(current classes). While the former classes are still valid, it returns the longer one of that
// and waitOf(former classes).
func (t *classTable) longest(waitOf func([]policy.Class) time.Duration) time.Duration {
	d := waitOf(t.list)
	if t.former != nil && time.Now().Before(t.formerUntil) {
		d = max(d, waitOf(t.former.list))
	}
	return d
}

// handleChange sends a changed configuration to the loop, or logs why it was rejected.
func (l *loop) handleChange(c Change) {
	if c.Err != nil {
		slog.Error("the changed configuration is not used", "error", c.Err)
		l.metrics.invalid.Inc()
		return
	}
	l.send(configChanged{c.Config})
}

// applyConfig applies a changed configuration as a whole. Open requests keep their class.
func (l *loop) applyConfig(c config.Config) {
	l.allowed, l.maxOpen = c.Settings.Allowed, c.MaxOpen
	l.up.Configure(transportConfig(c))
	var names []string
	for _, class := range c.Settings.Classes {
		l.metrics.class(class.Name)
		names = append(names, class.Name)
	}
	l.classes.Store(l.classes.Load().next(c.Settings, time.Now()))
	if target := discoveryTarget(c); target != l.listTarget {
		l.listTarget = target
		l.listClient.Retarget(target)
	}
	l.decide(c.Settings)
	l.metrics.accepted.Inc()
	slog.Info("configuration applied", "classes", names, "attempts", c.Settings.Allowed.MaxAttempts,
		"discovery", c.Discovery)
}
