package node

import (
	"log/slog"
	"time"

	"sloerail/internal/node/config"
)

// Change is the result of reloading the configuration.
type Change struct {
	Config config.Config
	Err    error // why the whole file was rejected; nil if it was accepted
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
