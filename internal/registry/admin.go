package registry

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// gauges lists the metrics of a replica. Operators use the names, so they must not change. Metrics that end in _total
// are counters, exposed as gauges because a Status already has their values. registry_age_seconds is -0.001 while the age
// is unknown. registry_leases_held is 1 while expiry is suspended.
var gauges = []struct {
	name  string
	value func(Status) float64
}{
	{"registry_instances", func(s Status) float64 { return float64(s.Instances) }},
	{"registry_revision", func(s Status) float64 { return float64(s.Revision) }},
	{"registry_age_seconds", func(s Status) float64 { return float64(s.AgeMs) / 1000 }},
	{"registry_watches", func(s Status) float64 { return float64(s.Watches) }},
	{"registry_lists_total", func(s Status) float64 { return float64(s.Lists) }},
	{"registry_writes_total", func(s Status) float64 { return float64(s.Writes) }},
	{"registry_calls_turned_away_total", func(s Status) float64 { return float64(s.CallsRejected) }},
	{"registry_calls_refused_stale_total", func(s Status) float64 { return float64(s.CallsRejectedStale) }},
	{"registry_leases_held", func(s Status) float64 { return boolGauge(s.ExpirySuspended) }},
	{"registry_leader", func(s Status) float64 { return boolGauge(s.Leader == s.ID) }},
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// adminHandler serves health and metrics to operators.
func (s *Server) adminHandler() http.Handler {
	set := metrics.NewSet()
	for _, gauge := range gauges {
		set.NewGauge(gauge.name, func() float64 {
			status, _ := s.Status() // on an error only the leader and the replicas are missing
			return gauge.value(status)
		})
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", func(w http.ResponseWriter, _ *http.Request) {
		if !s.isFresh(s.replica.Age()) {
			http.Error(w, errorText(ErrStale), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		set.WritePrometheus(w)
	})
	return mux
}
