package config

import (
	"encoding/json"
	"errors"
	"runtime/debug"

	gossip "sloerail/internal/membership"
	"sloerail/internal/node/decode"
)

// fleetSection is the part of the configuration that makes the node a member. Without it there is none of it.
type fleetSection struct {
	Bind      string   `json:"bind"`
	Advertise string   `json:"advertise"`
	Join      []string `json:"join"`
	Label     string   `json:"label"`
	KeyFile   string   `json:"key_file"`
	Allow     []string `json:"allow"`
	ProbeMs   float64  `json:"probe_ms"`
}

// parseFleet reads the section strictly: a key that is misspelt would leave the fleet open, say.
func parseFleet(raw json.RawMessage, c Config) (*gossip.Config, error) {
	var s fleetSection
	if err := decode.Section("fleet", raw, &s); err != nil {
		return nil, err
	}
	m := &gossip.Config{Name: c.Name, Zone: c.Settings.Zone, Version: Version(), Bind: s.Bind, Advertise: s.Advertise,
		Join: s.Join, Label: s.Label, KeyFile: s.KeyFile, AllowedCIDRs: s.Allow, ProbeInterval: millis(s.ProbeMs)}
	return m, m.Validate()
}

// checkSameFleet tells whether a changed configuration asks for another membership, which needs a new process.
func checkSameFleet(a, b *gossip.Config) error {
	if (a == nil) != (b == nil) || a != nil && !a.Equal(*b) {
		return errors.New("fleet: what has changed there takes a new process")
	}
	return nil
}

// Version is that of this build: what the tool chain knows of its source.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, changed := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision" && len(s.Value) >= 12:
			version = s.Value[:12]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return version + changed
}
