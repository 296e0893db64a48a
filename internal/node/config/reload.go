package config

import (
	"fmt"
	"log/slog"

	"sloerail/internal/node/decode"
)

// Reload reads the file that ROUTER_CONFIG names after a change. The other variables override the file at the start
// alone, and not here. A file that lacks a key that the one before had is rejected as a whole. The name and the fleet
// need a new process: they stay as before, and a change of the fleet is logged. The node reads listen, control, seed,
// limits, list_file and known at its start alone: a change of them in the file is neither used nor logged. They have
// nothing to do with settings.limits, which is taken over.
func Reload(getenv func(string) string, before Config) (Config, error) {
	c, err := readFile(getenv, before.keys)
	if err != nil {
		return Config{}, err
	}
	if err := c.checkReloaded(); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c.Name, c.Dial = before.Name, before.Dial
	if c.Fleet != nil {
		c.Fleet.Name = c.Name
	}
	if !sameFleet(before.Fleet, c.Fleet) {
		slog.Warn("the configuration is taken but for a part", "error", "fleet: what has changed there takes a new process")
		c.Fleet = before.Fleet
	}
	return c, nil
}

// checkReloaded checks what a file in use must not lose, though a first one may be without it.
func (c Config) checkReloaded() error {
	if err := decode.CheckAddresses(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if n := c.Settings.Allowed.MaxAttempts; n <= 0 && hasKey(c.keys, "settings", "limits", "maxAttempts") {
		return decode.Errorf("settings.limits.maxAttempts", "want a positive number, got %d", n)
	}
	for _, class := range c.Settings.Classes {
		if class.Name == "" {
			return decode.Errorf("settings.services", "one has no name")
		}
	}
	return nil
}
