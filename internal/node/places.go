package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

const (
	placesPath             = "/places"
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

// placesAsked asks what the module makes of the places.
type placesAsked struct{ reply chan<- []policy.ZoneState }

// PlaceView is one place in the answer at /places.
type PlaceView struct {
	Zone      string  `json:"zone"`
	Region    string  `json:"region"`
	State     string  `json:"state"` // well, suspect, left, returning
	Cost      float64 `json:"cost"`  // of crossing to it
	Share     float64 `json:"share"` // of the requests that would go there by order and room
	Servers   int     `json:"servers"`
	Left      int     `json:"left_lately"`
	Ill       float64 `json:"ill"`   // answers lately, older ones counted less,
	Heard     float64 `json:"heard"` // and all of them
	TriedInMs int64   `json:"tried_in_ms,omitempty"`
	Why       string  `json:"why,omitempty"` // it was left last
}

// servePlaces answers with what the node makes of each place; 404 where its configuration names none.
func (l *loop) servePlaces(w http.ResponseWriter, r *http.Request) {
	states, _ := ask(l, func(reply chan<- []policy.ZoneState) any { return placesAsked{reply} })
	if states == nil {
		http.NotFound(w, r)
		return
	}
	all := []PlaceView{}
	for _, s := range states {
		all = append(all, PlaceView{s.Zone, s.Region, s.State, s.Cost, s.TrafficShare, s.Servers, s.Evacuations, s.Failures, s.Responses,
			s.RetryIn.Milliseconds(), s.EvacuationReason})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(all); err != nil {
		slog.Debug("the answer at "+placesPath, "err", err)
	}
}

// showPlaces brings the figures of places up to date; there are none where the configuration names none.
func (l *loop) showPlaces(now policy.Time) {
	for _, s := range l.module.Zones(now) {
		zone := "{zone=" + strconv.Quote(s.Zone) + "}"
		l.fig.set.GetOrCreateGauge("app_place_share"+zone, nil).Set(s.TrafficShare)
		l.fig.set.GetOrCreateGauge("app_place_servers"+zone, nil).Set(float64(s.Servers))
		l.fig.set.GetOrCreateGauge("app_place_left_lately"+zone, nil).Set(float64(s.Evacuations))
		away := time.Duration(0)
		if s.State == "left" {
			away = s.RetryIn + time.Millisecond // 0 is for a place that isn't left
		}
		l.fig.set.GetOrCreateGauge("app_place_away_seconds"+zone, nil).Set(away.Seconds())
	}
}
