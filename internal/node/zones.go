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

// PlaceView is one zone in the answer at /places.
type PlaceView struct {
	Zone      string  `json:"zone"`
	Region    string  `json:"region"`
	State     string  `json:"state"` // well, suspect, left, returning
	Cost      float64 `json:"cost"`  // of sending a request to it
	Share     float64 `json:"share"` // of the requests that would go there by preference and capacity
	Servers   int     `json:"servers"`
	Left      int     `json:"left_lately"` // how often it was evacuated lately
	Ill       float64 `json:"ill"`         // failures lately, older ones counted less
	Heard     float64 `json:"heard"`       // all responses, counted in the same way
	TriedInMs int64   `json:"tried_in_ms,omitempty"`
	Why       string  `json:"why,omitempty"` // it was evacuated last
}

// serveZones answers with the state of each zone; 404 where the configuration names none.
func (l *loop) serveZones(w http.ResponseWriter, r *http.Request) {
	states, _ := query(l, func(reply chan<- []policy.ZoneState) event { return zonesRequest{reply} })
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
		slog.Debug("answering "+zonesPath+" failed", "error", err)
	}
}

// updateZoneMetrics brings the gauges of zones up to date; there are none where the configuration names none.
func (l *loop) updateZoneMetrics(now policy.Time) {
	for _, s := range l.balancer.Zones(now) {
		zone := "{zone=" + strconv.Quote(s.Zone) + "}"
		l.fig.set.GetOrCreateGauge("app_place_share"+zone, nil).Set(s.TrafficShare)
		l.fig.set.GetOrCreateGauge("app_place_servers"+zone, nil).Set(float64(s.Servers))
		l.fig.set.GetOrCreateGauge("app_place_left_lately"+zone, nil).Set(float64(s.Evacuations))
		away := time.Duration(0)
		if s.State == "left" {
			away = s.RetryIn + time.Millisecond // 0 is for a zone that isn't evacuated
		}
		l.fig.set.GetOrCreateGauge("app_place_away_seconds"+zone, nil).Set(away.Seconds())
	}
}
