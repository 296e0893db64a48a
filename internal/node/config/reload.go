package config

import (
	"fmt"
	"log/slog"

	"sloerail/internal/node/decode"
)

// Reload reads the file that ROUTER_CONFIG names after a change. The other environment variables override the file only
// at the start, not here. A file that lacks a key that it needs, or a key of the previous one that a reload may not drop
// (keys.go), is rejected as a whole. The name and the fleet need a new process: they stay as before, and a change of the
// fleet is logged. The node uses listen, control, seed, limits, list_file and known only at its start: a change of them is
// neither used nor logged. Here limits is the top-level section; a reload does apply settings.limits.
func Reload(getenv func(string) string, previous Config) (Config, error) {
	c, err := readFile(getenv, previous.keys)
	if err != nil {
		return Config{}, err
	}
	if err := c.checkReloaded(); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c.Name, c.Dial = previous.Name, previous.Dial
	if c.Fleet != nil {
		c.Fleet.Name = c.Name
	}
	if !sameFleet(previous.Fleet, c.Fleet) {
		slog.Warn("configuration partly reloaded", "error", "fleet: a change takes effect only in a new process")
		c.Fleet = previous.Fleet
	}
	return c, nil
}

// checkReloaded checks fields that a reloaded file must set, although Load accepts a file without them.
func (c Config) checkReloaded() error {
	if err := decode.CheckAddresses(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if err := checkRequiredKeys(c.keys); err != nil {
		return err
	}
	if n := c.Settings.Allowed.MaxAttempts; n <= 0 && valueAt(c.keys, "settings", "limits", "maxAttempts") != nil {
		return decode.Errorf("settings.limits.maxAttempts", "want a positive number, got %d", n)
	}
	return nil
}
