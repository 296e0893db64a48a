package config

import (
	"encoding/json"
	"slices"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

// Default costs of sending a request to another zone. A request within a zone costs nothing.
const (
	defaultSameRegionCost  = 1.0
	defaultOtherRegionCost = 3.0
)

// zonesSection is the section "places". With it, policy tracks the health of zones.
type zonesSection struct {
	Regions         map[string][]string           `json:"regions"` // the zones of each region
	SameRegionCost  *float64                      `json:"same_region"`
	OtherRegionCost *float64                      `json:"other_region"`
	Costs           map[string]map[string]float64 `json:"costs"` // of sending a request, by sending and receiving zone
	ClassRegions    map[string][]string           `json:"only"`  // the regions that a class is bound to
}

// parseZones parses the section "places" into the settings. An unknown key is an error, because a misspelt one could
// let a class leave the regions that it is bound to.
func parseZones(raw json.RawMessage, settings *policy.Settings) error {
	var s zonesSection
	if err := decode.Section("places", raw, &s); err != nil {
		return err
	}
	topology := &policy.Topology{
		RegionOfZone:    make(map[string]string),
		ZoneCosts:       s.Costs,
		SameRegionCost:  valueOr(s.SameRegionCost, defaultSameRegionCost),
		OtherRegionCost: valueOr(s.OtherRegionCost, defaultOtherRegionCost),
	}
	for region, zones := range s.Regions {
		for _, zone := range zones {
			if other, ok := topology.RegionOfZone[zone]; ok {
				return decode.Errorf("places.regions", "zone %q is in two regions, %s and %s", zone, min(other, region), max(other, region))
			}
			topology.RegionOfZone[zone] = region
		}
	}
	for class, regions := range s.ClassRegions {
		if err := s.bindClass(settings.Classes, class, regions); err != nil {
			return err
		}
	}
	settings.Topology = topology
	return nil
}

func valueOr(v *float64, fallback float64) float64 {
	if v == nil {
		return fallback
	}
	return *v
}

// bindClass binds the class with the name to regions.
func (s zonesSection) bindClass(classes []policy.Class, name string, regions []string) error {
	i := slices.IndexFunc(classes, func(c policy.Class) bool { return c.Name == name })
	if i < 0 {
		return decode.Errorf("places.only", "unknown class %q", name)
	}
	for _, region := range regions {
		if _, ok := s.Regions[region]; !ok {
			return decode.Errorf("places.only."+name, "unknown region %q", region)
		}
	}
	if len(regions) == 0 {
		return decode.Errorf("places.only."+name, "want at least one region, got none")
	}
	classes[i].Regions = regions
	return nil
}
