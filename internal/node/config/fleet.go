package config

import (
	"encoding/json"

	"sloerail/internal/membership"
	"sloerail/internal/node/decode"
)

// fleetSection is the section "fleet", which makes the node a member of a fleet.
type fleetSection struct {
	Bind      string   `json:"bind"`
	Advertise string   `json:"advertise"`
	Join      []string `json:"join"`
	Label     string   `json:"label"`
	KeyFile   string   `json:"key_file"`
	Allow     []string `json:"allow"`
	ProbeMs   float64  `json:"probe_ms"`
}

// parseFleet parses the section "fleet". An unknown key is an error, because a misspelt one could leave the fleet open
// to anyone.
func parseFleet(raw json.RawMessage, c Config) (*membership.Config, error) {
	var s fleetSection
	if err := decode.Section("fleet", raw, &s); err != nil {
		return nil, err
	}
	fleet := &membership.Config{Name: c.Name, Zone: c.Settings.Zone, Version: Version(), Bind: s.Bind, Advertise: s.Advertise,
		Join: s.Join, Label: s.Label, KeyFile: s.KeyFile, AllowedCIDRs: s.Allow, ProbeInterval: millis(s.ProbeMs)}
	return fleet, fleet.Validate()
}

// sameFleet reports whether two configurations have the same membership. A change of the membership needs a new
// process.
func sameFleet(a, b *membership.Config) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Equal(*b)
}
