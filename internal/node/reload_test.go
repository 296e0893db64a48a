package node

import (
	"fmt"
	"net/http"
	"os"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sloerail/internal/node/config"
	"sloerail/internal/node/nodetest"
	"sloerail/policy"
)

// loadFile loads a configuration from a file with the given text. reload replaces the text and reloads the file.
func loadFile(t *testing.T, text string) (c config.Config, reload func(text string) (config.Config, error)) {
	t.Helper()
	path := nodetest.WriteFile(t, text)
	getenv := func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
	c, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	c.Dial = nodetest.Dialer(t)
	return c, func(text string) (config.Config, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return config.Reload(getenv, c)
	}
}

const changedSettings = `{"position":0,"groupSize":1,"zone":"a",
	"services":[{"name":"read","aim":4000,"deadline":9000,"repeat":"single_shot"},
		{"name":"undo","aim":4000,"deadline":9000,"repeat":"guarded","group":"all","window":4000},
		{"name":"order","aim":4000,"deadline":9000,"repeat":"free"}],
	"tenants":[{"name":"t","quotaRps":1000},{"name":"tiny","quotaRps":0.001}],
	"limits":{"cancelling":true,"connIdle":60000,"connectTimeout":2000,"maxAttempts":1,"maxOpen":100,
		"retryAfter":true,"secondCopies":true},
	"guarantees":{"drainGrace":500,"cold":1,"coldShare":0.5,"fallMultiple":3,"overloadFor":1000}}`

// Reloaded settings apply as a whole: they add a class, remove a class, and change the retry safety of another class and
// the limit of attempts. A tenant's empty token bucket stays empty. An invalid file before the valid one changes nothing.
func TestReloadAppliesSettingsAsAWhole(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		var fullAttempts atomic.Int32
		server := nodetest.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.Header.Get("X-Request-Id"), "full") {
				fullAttempts.Add(1)
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		known := nodetest.KnownList(server, server, server)
		c, reload := loadFile(t, nodetest.FillConfig(known, nodetest.Settings))
		changes := make(chan Change)
		listeners := Listeners{Clients: nodetest.Listener(t), Control: nodetest.Listener(t)}
		adminAddr := listeners.Control.Addr().String()
		node, _ := startNodeAt(t, c, listeners, changes)
		change := func(text string) {
			t.Helper()
			next, err := reload(text)
			changes <- Change{next, err}
		}
		status := func(method, class, id string, headers ...string) int {
			t.Helper()
			resp, _ := do(t, clientRequest(t, node, method, class, id, "", headers...))
			return resp.StatusCode
		}
		checkStatus := func(want int, got int, what string) {
			t.Helper()
			if got != want {
				t.Errorf("%s: got status %d, want %d", what, got, want)
			}
		}
		for i := range 3 {
			checkStatus(200, status("GET", "read", fmt.Sprint("tiny", i), "X-Tenant", "tiny"), "request within the burst")
		}
		status("GET", "read", "full-before")
		if n := fullAttempts.Swap(0); n != 3 {
			t.Errorf("attempts of a request before the change: got %d, want 3", n)
		}
		checkStatus(400, status("GET", "order", "o1"), "class that only the next configuration has")
		change(nodetest.FillConfig(known, strings.Replace(changedSettings, `"maxAttempts":1,`, "", 1)))
		awaitStats(t, adminAddr, map[string]float64{"app_cfg_invalid_total": 1, "app_cfg_accepted_total": 0})
		checkStatus(400, status("GET", "order", "o2"), "class that only an invalid file has")

		began := time.Now()
		change(nodetest.FillConfig(known, changedSettings))
		awaitStats(t, adminAddr, map[string]float64{"app_cfg_invalid_total": 1, "app_cfg_accepted_total": 1,
			`app_fulfilled_total{priority="order"}`: 0, `app_fulfilled_total{priority="read"}`: 3})
		checkStatus(200, status("GET", "order", "o3"), "added class")
		checkStatus(200, status("POST", "read", "r1"), "class with changed retry safety")
		nodetest.Await(t, "status 400 for the removed class", func() bool {
			return status("POST", "pay", fmt.Sprint("p", time.Now().UnixNano())) == 400
		})
		if took := time.Since(began); took > formerClassPeriod+time.Second/2 {
			t.Errorf("the removed class was served for %v, want at most %v", took, formerClassPeriod+time.Second/2)
		}
		checkStatus(405, status("GET", "read", "r2"), "former form of a class after formerClassPeriod")
		status("GET", "order", "full-after")
		if n := fullAttempts.Load(); n != 1 {
			t.Errorf("attempts of a request after the change: got %d, want 1", n)
		}
		checkStatus(429, status("GET", "order", "tiny-after", "X-Tenant", "tiny"), "request with an empty bucket")
		if _, ok := stats(t, adminAddr)[`app_fulfilled_total{priority="pay"}`]; !ok {
			t.Error("no metrics of the removed class: its app_fulfilled_total is missing")
		}
	})
}

// For formerClassPeriod after a configuration change, a request in its class's former form is accepted as a request of
// the former class.
func TestFormerClassFormIsAcceptedForAWhile(t *testing.T) {
	idempotent, nonIdempotent := policy.Class{Name: "c", RetrySafety: policy.Idempotent}, policy.Class{Name: "c"}
	removed := policy.Class{Name: "gone"}
	now := time.Now()
	for _, c := range []struct {
		changedAt time.Time
		method    string
		class     string
		want      *policy.Class // nil: the request is rejected
	}{
		{now, "GET", "c", &idempotent},
		{now, "POST", "c", &nonIdempotent},
		{now, "POST", "gone", &removed},
		{now.Add(-2 * formerClassPeriod), "GET", "c", &nonIdempotent}, // rejected for its method
		{now.Add(-2 * formerClassPeriod), "POST", "gone", nil},
	} {
		table := newClassTable(nil, policy.Settings{Classes: []policy.Class{idempotent, removed}}).
			next(policy.Settings{Classes: []policy.Class{nonIdempotent}}, c.changedAt)
		got, ok := table.Class(c.class, c.method, false, now)
		if ok != (c.want != nil) || ok && !reflect.DeepEqual(got.Class, *c.want) {
			t.Errorf("%s of class %s, changed %v ago: got class %+v, %v, want %+v",
				c.method, c.class, now.Sub(c.changedAt), got, ok, c.want)
		}
	}
}

// Many reloads in a row, of valid and invalid files, do no harm: the node applies the last file, serves and stops.
func TestManyReloads(t *testing.T) {
	nodetest.Bubble(t, func(t *testing.T) {
		server := nodetest.HTTPServer(t, func(http.ResponseWriter, *http.Request) {})
		known := nodetest.KnownList(server)
		c, reload := loadFile(t, nodetest.FillConfig(known, nodetest.Settings))
		changes := make(chan Change)
		node, stop := startNodeAt(t, c, Listeners{Clients: nodetest.Listener(t)}, changes)
		for i := range 50 {
			text := nodetest.FillConfig(known, []string{nodetest.Settings, changedSettings, ""}[i%3])
			next, err := reload(text)
			changes <- Change{next, err}
		}
		next, err := reload(nodetest.FillConfig(known, changedSettings))
		if err != nil {
			t.Fatal(err)
		}
		changes <- Change{Config: next}
		if resp, _ := do(t, clientRequest(t, node, "GET", "order", "r", "")); resp.StatusCode != http.StatusOK {
			t.Errorf("request of a class of the last configuration: got status %d, want 200", resp.StatusCode)
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	})
}
