package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"

	"sloerail/internal/node/decode"
)

// Reload reads the file that ROUTER_CONFIG names anew, after a change of it. The other variables tell
// only what was so at the start. Nothing is taken from a file that lacks what the one before had.
func Reload(getenv func(string) string, before Config) (Config, error) {
	c, err := readFile(getenv, before.keys)
	if err != nil {
		return Config{}, err
	}
	if err := decode.CheckAddresses(c.Discovery); err != nil {
		return Config{}, fmt.Errorf("configuration: discovery: %w", err)
	}
	if n := c.Settings.Allowed.MaxAttempts; n <= 0 && hasKey(c.keys, "settings", "limits", "maxAttempts") {
		return Config{}, fmt.Errorf("configuration: settings.limits.maxAttempts: want a positive number, got %d", n)
	}
	for _, class := range c.Settings.Classes {
		if class.Name == "" {
			return Config{}, errors.New("configuration: settings.services: one has no name")
		}
	}
	c.Name, c.Dial = before.Name, before.Dial
	if c.Fleet != nil {
		c.Fleet.Name = c.Name
	}
	if err := checkSameFleet(before.Fleet, c.Fleet); err != nil {
		slog.Warn("the configuration is taken but for a part", "err", err)
		c.Fleet = before.Fleet
	}
	return c, nil
}

// optionalKeys are the keys that a configuration may be without, as the wire page has it, and what only some
// entries need.
var optionalKeys = []string{"control", "aimStretch", "warmKeys", "passesDeadline", "servedOn", "localitiesOnly",
	"group", "window", "fleet", "places", "ease_lists", "list_file", "scope", "minExtra", "budgetShare", "ratioSpan"}

// keysOf is what keys a configuration has: the members of a list of servers are discovery's.
func keysOf(raw []byte) (any, error) {
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	if all["known"] != nil {
		all["known"] = true
	}
	return all, nil
}

// hasKey tells whether a configuration has a key; the path leads there.
func hasKey(shape any, path ...string) bool {
	for _, key := range path {
		keys, _ := shape.(map[string]any)
		shape = keys[key]
	}
	return shape != nil
}

// checkKeys says which key of a configuration the next one lacks.
func checkKeys(path string, before, now any) error {
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
			if v == nil || slices.Contains(optionalKeys, key) {
				continue
			}
			if is[key] == nil {
				return fmt.Errorf("%s: missing", at)
			}
			if err := checkKeys(at, v, is[key]); err != nil {
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
			if err := checkKeys(path+"["+strconv.Itoa(i)+"]", common, entry); err != nil {
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
