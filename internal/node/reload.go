package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"sloerail/internal/node/decode"
	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

// formerFor is how long after a change clients may still speak as before it.
const formerFor = 1200 * time.Millisecond

// Change is what came of reading the configuration anew.
type Change struct {
	Config Config
	Err    error // nothing is taken from such a file
}

// retuned is a changed configuration on its way to the loop.
type retuned struct{ Config }

// terms are the settings that clients' requests are read by.
type terms struct {
	classes map[string]policy.Class
	all     []policy.Class
	former  *terms // as they were, until
	until   time.Time
}

func newTerms(classes []policy.Class) *terms {
	t := &terms{classes: make(map[string]policy.Class), all: classes}
	for _, c := range classes {
		t.classes[c.Name] = c
	}
	return t
}

// after are the terms that follow t.
func (t *terms) after(classes []policy.Class, now time.Time) *terms {
	next := newTerms(classes)
	next.former, next.until = &terms{classes: t.classes, all: t.all}, now.Add(formerFor)
	return next
}

// Class is that of a request. Just after a change it may be in its class's former form.
func (t *terms) Class(name, method string, hasKey bool) (c policy.Class, former, ok bool) {
	if t.former != nil && time.Now().Before(t.until) {
		if c, ok := t.former.classes[name]; ok && fits(c, method, hasKey) {
			return c, true, true
		}
	}
	c, ok = t.classes[name]
	return c, false, ok
}

// fits tells whether a request has the form of a class: the method and the key follow from its effect.
func fits(c policy.Class, method string, keyed bool) bool {
	return method == downstream.MethodFor(c) && (c.RetrySafety == policy.IdempotencyKeyed) == keyed
}

// longestOf is the longest of the waits of all classes, those of just before a change included.
func (t *terms) longestOf(wait func([]policy.Class) time.Duration) time.Duration {
	longest := wait(t.all)
	if t.former != nil && time.Now().Before(t.until) {
		longest = max(longest, wait(t.former.all))
	}
	return longest
}

// change passes on what came of reading the configuration anew.
func (l *loop) change(c Change) {
	if c.Err != nil {
		slog.Error("the changed configuration is not used", "err", c.Err)
		l.fig.invalid.Inc()
		return
	}
	l.send(retuned{c.Config})
}

// retune goes on by another configuration, all of it at once. Open requests keep their class.
func (l *loop) retune(c Config) {
	l.allowed, l.maxOpen = c.Settings.Allowed, c.MaxOpen
	l.up.Configure(c.transportConfig())
	var names []string
	for _, class := range c.Settings.Classes {
		l.fig.class(class.Name)
		names = append(names, class.Name)
	}
	l.terms.Store(l.terms.Load().after(c.Settings.Classes, time.Now()))
	if to := c.discoveryTarget(); to != l.target {
		l.target = to
		l.disc.Retarget(to)
	}
	l.tell(c.Settings)
	l.fig.accepted.Inc()
	slog.Info("configuration taken", "classes", names, "attempts", c.Settings.Allowed.MaxAttempts, "discovery", c.Discovery)
}

// Reload reads the file that ROUTER_CONFIG names anew, after a change of it. The other variables tell
// only what was so at the start. Nothing is taken from a file that lacks what the one before had.
func Reload(getenv func(string) string, before Config) (Config, error) {
	c, err := readConfig(getenv, before.shape)
	if err != nil {
		return Config{}, err
	}
	if err := decode.CheckAddresses(c.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	if n := c.Settings.Allowed.MaxAttempts; n <= 0 && has(c.shape, "settings", "limits", "maxAttempts") {
		return Config{}, fmt.Errorf("configuration: settings.limits.maxAttempts: want a positive number, got %d", n)
	}
	for _, class := range c.Settings.Classes {
		if class.Name == "" {
			return Config{}, errors.New("configuration: settings.services: one has no name")
		}
	}
	c.Name, c.dial = before.Name, before.dial
	if c.Fleet != nil {
		c.Fleet.Name = c.Name
	}
	if err := sameFleet(before.Fleet, c.Fleet); err != nil {
		slog.Warn("the configuration is taken but for a part", "err", err)
		c.Fleet = before.Fleet
	}
	return c, nil
}

// mayLack are the keys that a configuration may be without, as the wire page has it, and what only some
// entries need.
var mayLack = []string{"control", "aimStretch", "warmKeys", "passesDeadline", "servedOn", "localitiesOnly",
	"group", "window", "fleet", "places", "ease_lists", "list_file", "scope", "minExtra", "budgetShare", "ratioSpan"}

// shape is what keys a configuration has: the members of a list of servers are discovery's.
func shape(raw []byte) (any, error) {
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	if all["known"] != nil {
		all["known"] = true
	}
	return all, nil
}

// has tells whether a configuration has a key; the path leads there.
func has(shape any, path ...string) bool {
	for _, key := range path {
		keys, _ := shape.(map[string]any)
		shape = keys[key]
	}
	return shape != nil
}

// sameShape says which key of a configuration the next one lacks.
func sameShape(path string, before, now any) error {
	switch was := before.(type) {
	case map[string]any:
		is, ok := now.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: want an object", path)
		}
		for key, v := range was {
			at := path + "." + key
			if path == "" {
				at = key
			}
			if v == nil || slices.Contains(mayLack, key) {
				continue
			}
			if is[key] == nil {
				return fmt.Errorf("%s: missing", at)
			}
			if err := sameShape(at, v, is[key]); err != nil {
				return err
			}
		}
	case []any:
		is, ok := now.([]any)
		if !ok {
			return fmt.Errorf("%s: want a list", path)
		}
		common := commonKeys(was)
		for i, entry := range is {
			if err := sameShape(path+"["+strconv.Itoa(i)+"]", common, entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys are those that all entries of a list have, nil where they are no objects.
func commonKeys(list []any) any {
	var common map[string]any
	for i, entry := range list {
		has, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = make(map[string]any)
			for key := range has {
				common[key] = true
			}
		}
		for key := range common {
			if has[key] == nil {
				delete(common, key)
			}
		}
	}
	if common == nil {
		return nil
	}
	return common
}
