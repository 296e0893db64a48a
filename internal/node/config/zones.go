package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

// Costs of a request to another zone, where the configuration names none.
const (
	defaultSameRegionCost  = 1.0 // where the section names none
	defaultOtherRegionCost = 3.0
)

// zonesSection is the part of the configuration that has the module judge zones. Without it there is none of it.
type zonesSection struct {
	Regions     map[string][]string           `json:"regions"` // the zones of each
	SameRegion  *float64                      `json:"same_region"`
	OtherRegion *float64                      `json:"other_region"`
	Costs       map[string]map[string]float64 `json:"costs"` // from one zone to another
	Only        map[string][]string           `json:"only"`  // the regions that a class is bound to
}

// parseZones reads the section strictly, into the settings: a class whose binding is misspelt would leave its region.
func parseZones(raw json.RawMessage, set *policy.Settings) error {
	var s zonesSection
	if err := decode.Section("places", raw, &s); err != nil {
		return err
	}
	p := &policy.Topology{RegionOfZone: make(map[string]string), ZoneCosts: s.Costs, SameRegionCost: orDefault(s.SameRegion, defaultSameRegionCost),
		OtherRegionCost: orDefault(s.OtherRegion, defaultOtherRegionCost)}
	for region, zones := range s.Regions {
		for _, zone := range zones {
			if was, ok := p.RegionOfZone[zone]; ok {
				return fmt.Errorf("places.regions: zone %q is in %s and %s", zone, min(was, region), max(was, region))
			}
			p.RegionOfZone[zone] = region
		}
	}
	for class, regions := range s.Only {
		if err := bindClass(set.Classes, class, regions, s.Regions); err != nil {
			return err
		}
	}
	set.Topology = p
	return nil
}

// orDefault is a figure, or the usual one where the file has none.
func orDefault(v *float64, usual float64) float64 {
	if v == nil {
		return usual
	}
	return *v
}

// bindClass holds a class to regions. The classes are the settings' own, read just before.
func bindClass(classes []policy.Class, name string, regions []string, known map[string][]string) error {
	i := slices.IndexFunc(classes, func(c policy.Class) bool { return c.Name == name })
	if i < 0 {
		return fmt.Errorf("places.only: there is no class %q", name)
	}
	for _, r := range regions {
		if _, ok := known[r]; !ok {
			return fmt.Errorf("places.only.%s: there is no region %q", name, r)
		}
	}
	if len(regions) == 0 {
		return fmt.Errorf("places.only.%s: names no region", name)
	}
	classes[i].Regions = regions
	return nil
}
