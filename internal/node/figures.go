package node

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/policy"
)

// figures are what the node tells its operators. Whoever ends an event counts it; nobody waits for the
// loop to read them.
type figures struct {
	set         *metrics.Set
	relayed     *metrics.Counter // attempts written whole to servers
	accepted    *metrics.Counter // configurations at SIGHUP, taken
	invalid     *metrics.Counter // and turned down
	open        atomic.Int64     // requests taken and not ended
	listed      atomic.Int64     // servers in the list
	unavailable atomic.Int64     // those of them that get no work now
	classes     sync.Map         // *tally by the class's name
}

// tally counts how the requests of one class ended.
type tally struct{ fulfilled, throttled, faulted *metrics.Counter }

func newFigures(classes []policy.Class) *figures {
	f := &figures{set: metrics.NewSet()}
	f.relayed = f.set.NewCounter("app_relayed_total")
	f.accepted = f.set.NewCounter("app_cfg_accepted_total")
	f.invalid = f.set.NewCounter("app_cfg_invalid_total")
	for name, v := range map[string]*atomic.Int64{
		"app_open_requests": &f.open, "app_registry_entries": &f.listed, "app_out_of_rotation": &f.unavailable,
	} {
		f.set.NewGauge(name, func() float64 { return float64(v.Load()) })
	}
	for _, c := range classes {
		f.class(c.Name)
	}
	return f
}

// class returns the counters of a class, which stand from then on, also when the class is dropped. Only the
// configuration names classes, so there are few.
func (f *figures) class(name string) *tally {
	if t, ok := f.classes.Load(name); ok {
		return t.(*tally)
	}
	of := func(figure string) *metrics.Counter {
		return f.set.GetOrCreateCounter(figure + "{priority=" + strconv.Quote(name) + "}")
	}
	t, _ := f.classes.LoadOrStore(name, &tally{of("app_fulfilled_total"), of("app_throttled_total"), of("app_faulted_total")})
	return t.(*tally)
}

// Count books the end of a request by the status that its client got.
func (t *tally) Count(status int) {
	switch status {
	case http.StatusOK:
		t.fulfilled.Inc()
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.throttled.Inc()
	default:
		t.faulted.Inc()
	}
}
