package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"

	"sloerail/internal/node/decode"
	"sloerail/internal/node/discovery"
	"sloerail/internal/simwire"
	"sloerail/policy"
)

const (
	// MinSockets is the minimum of limits.sockets: a few descriptors for the node itself, and some for clients and servers.
	MinSockets = 64

	maxCores              = 1024
	defaultConnectTimeout = 250 * time.Millisecond
)

// file is the JSON of the configuration file. Raw sections are parsed separately.
type file struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	ListFile      string          `json:"list_file"`
	Control       string          `json:"control"`
	Seed          string          `json:"seed"` // up to 16 hexadecimal digits
	Limits        fileLimits      `json:"limits"`
	Known         json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`
	Fleet         json.RawMessage `json:"fleet"`
	Zones         json.RawMessage `json:"places"`
	Scope         json.RawMessage `json:"scope"`
	RetainMissing bool            `json:"ease_lists"`
}

type fileLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// nodeSettings holds the settings that apply to the node and not to policy.
type nodeSettings struct {
	Limits struct {
		MaxOpen          float64 `json:"maxOpen"`
		ConnectTimeoutMs float64 `json:"connectTimeout"`
	} `json:"limits"`
}

// readFile reads the file that ROUTER_CONFIG names. The file must have all of previousKeys but those that a
// reload may drop.
func readFile(getenv func(string) string, previousKeys any) (Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return Config{}, errors.New("environment variable ROUTER_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	keys, err := parseKeys(raw)
	if err == nil {
		err = checkKeys("", previousKeys, keys)
	}
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c.keys = keys
	return c, nil
}

// Parse parses the text of a configuration file.
func Parse(raw []byte) (Config, error) {
	var f file
	if err := decode.JSON(raw, &f); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, decode.Errorf("seed", "want up to 16 hexadecimal digits, got %q", f.Seed)
	}
	if err := f.Limits.check(); err != nil {
		return Config{}, err
	}
	if len(f.Known) == 0 {
		return Config{}, decode.Errorf("known", "missing")
	}
	if len(f.Settings) == 0 {
		return Config{}, decode.Errorf("settings", "missing")
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, ListFile: f.ListFile, Control: f.Control, Seed: seed,
		Cores: f.Limits.Cores, MemoryMB: int64(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	if c.Known, err = discovery.ParseList(f.Known); err != nil {
		return Config{}, fmt.Errorf("known: %w", err)
	}
	if err := c.parseSettings(f); err != nil {
		return Config{}, err
	}
	return c, c.parseSections(f)
}

func (l fileLimits) check() error {
	switch {
	case !(l.Cores > 0) || l.Cores > maxCores:
		return decode.Errorf("limits.cores", "want more than 0 and at most %d, got %v", maxCores, l.Cores)
	case !(l.MemoryMB >= 1) || l.MemoryMB > math.MaxInt32:
		return decode.Errorf("limits.memory_mb", "want 1 to %d, got %v", math.MaxInt32, l.MemoryMB)
	case l.Sockets < MinSockets:
		return decode.Errorf("limits.sockets", "want %d or more, got %d", MinSockets, l.Sockets)
	}
	return nil
}

// parseSettings parses the settings, and the section "places", which becomes a part of policy's settings.
func (c *Config) parseSettings(f file) (err error) {
	if c.Settings, err = simwire.ParseSettings(f.Settings); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	c.Settings.RetainMissing = f.RetainMissing
	if isPresent(f.Zones) {
		if err := parseZones(f.Zones, &c.Settings); err != nil {
			return err
		}
	}
	if _, err := policy.New(c.Settings, 0, 0); err != nil { // validates the settings
		return fmt.Errorf("settings: %w", err)
	}
	return c.parseNodeSettings(f.Settings)
}

// parseNodeSettings parses the settings that apply to the node and not to policy.
func (c *Config) parseNodeSettings(settings []byte) error {
	var s nodeSettings
	if err := decode.JSON(settings, &s); err != nil {
		return fmt.Errorf("settings.%w", err)
	}
	switch l := s.Limits; {
	case l.MaxOpen < 0 || l.MaxOpen > math.MaxInt32:
		return decode.Errorf("settings.limits.maxOpen", "want 0 to %d, got %v", math.MaxInt32, l.MaxOpen)
	case l.ConnectTimeoutMs < 0 || l.ConnectTimeoutMs > math.MaxInt32:
		return decode.Errorf("settings.limits.connectTimeout", "want 0 to %d ms, got %v", math.MaxInt32, l.ConnectTimeoutMs)
	}
	c.MaxOpen, c.ConnectTimeout = int(s.Limits.MaxOpen), millis(s.Limits.ConnectTimeoutMs)
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	return nil
}

// parseSections parses the sections "scope" and "fleet", where present.
func (c *Config) parseSections(f file) (err error) {
	if isPresent(f.Scope) {
		if c.Scope, err = discovery.ParseScope(f.Scope, c.Settings); err != nil {
			return err
		}
	}
	if isPresent(f.Fleet) {
		c.Fleet, err = parseFleet(f.Fleet, *c)
	}
	return err
}

// isPresent reports whether a section is in the file, with a value other than null.
func isPresent(section json.RawMessage) bool { return len(section) > 0 && string(section) != "null" }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
