package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"sloerail/policy"
)

const zonesPath = "/places"

// ZoneView is a zone in the response at /places.
type ZoneView struct {
	Zone             string  `json:"zone"`
	Region           string  `json:"region"`
	State            string  `json:"state"` // well, suspect, left, returning
	Cost             float64 `json:"cost"`  // crossing cost of a request to it
	TrafficShare     float64 `json:"share"` // fraction of the requests that would go there by preference and capacity
	Servers          int     `json:"servers"`
	Evacuations      int     `json:"left_lately"`           // recent evacuations
	Failures         float64 `json:"ill"`                   // recent failures, older ones weighted less
	Responses        float64 `json:"heard"`                 // recent responses, weighted in the same way
	ProbeInMs        int64   `json:"tried_in_ms,omitempty"` // time until an evacuated zone is probed
	EvacuationReason string  `json:"why,omitempty"`         // reason of the last evacuation
}

// serveZones writes the state of each zone. It responds 404 if the configuration has no zones or the loop has ended.
func (l *loop) serveZones(w http.ResponseWriter, r *http.Request) {
	states, _ := query(l, func(reply chan<- []policy.ZoneState) event { return zonesRequest{reply} })
	if states == nil {
		http.NotFound(w, r)
		return
	}
	zones := []ZoneView{}
	for _, s := range states {
		zones = append(zones, ZoneView{s.Zone, s.Region, s.State, s.Cost, s.TrafficShare, s.Servers, s.Evacuations,
			s.Failures, s.Responses, s.RetryIn.Milliseconds(), s.EvacuationReason})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(zones); err != nil {
		slog.Debug("writing the response at "+zonesPath+" failed", "error", err)
	}
}

// updateZoneMetrics updates the gauges of the zones, if the configuration has zones.
func (l *loop) updateZoneMetrics(now policy.Time) {
	for _, s := range l.balancer.Zones(now) {
		zone := "{zone=" + strconv.Quote(s.Zone) + "}"
		l.metrics.set.GetOrCreateGauge("app_place_share"+zone, nil).Set(s.TrafficShare)
		l.metrics.set.GetOrCreateGauge("app_place_servers"+zone, nil).Set(float64(s.Servers))
		l.metrics.set.GetOrCreateGauge("app_place_left_lately"+zone, nil).Set(float64(s.Evacuations))
		away := time.Duration(0)
		if s.State == "left" {
			away = s.RetryIn + time.Millisecond // 0 means that the zone isn't evacuated, so an evacuated zone has more
		}
		l.metrics.set.GetOrCreateGauge("app_place_away_seconds"+zone, nil).Set(away.Seconds())
	}
}
