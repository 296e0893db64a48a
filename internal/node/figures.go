package node

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"sloerail/policy"
)

// nodeMetrics holds the node's metrics. The code that causes a change updates the fields, and reading them doesn't wait
// for the loop. The metrics of the fleet and of the zones have no fields: they are only registered in set, and some of
// the fleet's query the loop.
type nodeMetrics struct {
	set         *metrics.Set
	relayed     *metrics.Counter // attempts completely written to servers
	accepted    *metrics.Counter // reloaded configurations that were applied
	invalid     *metrics.Counter // reloaded configurations that were rejected
	cutOff      *metrics.Counter // responses that had begun and that a deadline or a stall ended
	open        atomic.Int64     // open requests
	listed      atomic.Int64     // servers listed, or retained though the list lacks them
	unavailable atomic.Int64     // how many of these servers currently get no requests
	classes     sync.Map         // *classCounters by class name
}

// classCounters counts how the requests of a class ended.
type classCounters struct{ fulfilled, throttled, faulted *metrics.Counter }

func newMetrics(classes []policy.Class) *nodeMetrics {
	f := &nodeMetrics{set: metrics.NewSet()}
	f.relayed = f.set.NewCounter("app_relayed_total")
	f.accepted = f.set.NewCounter("app_cfg_accepted_total")
	f.invalid = f.set.NewCounter("app_cfg_invalid_total")
	f.cutOff = f.set.NewCounter("app_responses_cut_off_total")
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

// class returns the counters of a class. They are kept even if the class is removed: classes come only from the
// configuration, so there are few.
func (f *nodeMetrics) class(name string) *classCounters {
	if t, ok := f.classes.Load(name); ok {
		return t.(*classCounters)
	}
	counter := func(metric string) *metrics.Counter {
		return f.set.GetOrCreateCounter(metric + "{priority=" + strconv.Quote(name) + "}")
	}
	t, _ := f.classes.LoadOrStore(name,
		&classCounters{counter("app_fulfilled_total"), counter("app_throttled_total"), counter("app_faulted_total")})
	return t.(*classCounters)
}

// Count counts an ended request by the status of its response. A streamed response that the server didn't
// complete counts as 502.
func (t *classCounters) Count(status int) {
	switch status {
	case http.StatusOK:
		t.fulfilled.Inc()
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.throttled.Inc()
	default:
		t.faulted.Inc()
	}
}
