package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"sloerail/policy"
)

const (
	placesPath = "/places"
)

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

// serveZones answers with what the node makes of each place; 404 where its configuration names none.
func (l *loop) serveZones(w http.ResponseWriter, r *http.Request) {
	states, _ := ask(l, func(reply chan<- []policy.ZoneState) event { return zonesRequest{reply} })
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

// updateZoneMetrics brings the figures of places up to date; there are none where the configuration names none.
func (l *loop) updateZoneMetrics(now policy.Time) {
	for _, s := range l.balancer.Zones(now) {
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
