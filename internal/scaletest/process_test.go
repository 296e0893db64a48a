package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/testcluster"
)

var (
	dayDuration = flag.Duration("day", 0, "duration of TestMeasureDay; 0 skips the test")
	dayServers  = flag.Int("servers", 150_000, "servers in the list of TestMeasureDay")
)

// A node with a scope of ten services stays within its budgets at the daily rate of changes of the target fleet, which is
// the fleet size that the scenarios name as their target.
func TestMeasureDay(t *testing.T) {
	if *dayDuration == 0 {
		t.Skip("needs the flag -day")
	}
	ctx, cancel := context.WithTimeout(t.Context(), *dayDuration+10*time.Minute)
	defer cancel()
	all, err := processDimension(t, "real-day").Measure(ctx, ProcessSpec{Seed: 1, Window: *dayDuration}, *dayServers, 1)
	if err != nil {
		t.Fatal(err)
	}
	budgets := map[Measure]float64{ControlCPU: 3.8, Resident: 32 << 20, ReceivedBytes: 11_000}
	for _, m := range all {
		t.Logf("%s: %.4g %s", m.Name, m.Value, m.Unit)
		if limit, bounded := budgets[m.Measure]; bounded && m.Value > limit {
			t.Errorf("%s: got %.4g, want at most the budget of %.4g %s", m.Name, m.Value, limit, m.Unit)
		}
	}
}

func TestMain(m *testing.M) {
	code := m.Run()
	testcluster.Clean()
	os.Exit(code)
}

func processDimension(t *testing.T, name string) ProcessDimension {
	t.Helper()
	d, found := realDimension(Dimension(name))
	if !found {
		t.Fatalf("dimension %q not found", name)
	}
	return d
}

// measurePoint measures one point and returns its values by the name of the measure.
func measurePoint(t *testing.T, name string, spec ProcessSpec, size int) map[string]float64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	all, err := processDimension(t, name).Measure(ctx, spec, size, 1)
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, m := range all {
		if m.Source != Process || m.Dimension != name || m.Size != size || m.Run != 1 {
			t.Errorf("measurement %+v has the wrong source, dimension, size or run", m)
		}
		values[m.Name] = m.Value
	}
	return values
}

func TestProcessSpecErrorsNameTheField(t *testing.T) {
	for want, spec := range map[string]ProcessSpec{
		"window:":   {Window: time.Millisecond},
		"routes:":   {Routes: -1},
		"changes:":  {Changes: -1},
		"requests:": {Requests: 1e9},
		"replicas:": {Replicas: 2},
	} {
		if err := spec.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("Check of %+v: got error %v, want prefix %q", spec, err, want)
		}
	}
	if err := (ProcessSpec{}).Check(); err != nil {
		t.Errorf("Check of the zero value: got error %v, want none", err)
	}
	for _, d := range ProcessDimensions() {
		for _, size := range []int{d.MinSize - 1, d.MaxSize + 1} {
			_, err := d.Measure(t.Context(), ProcessSpec{}, size, 1)
			if err == nil || !strings.Contains(err.Error(), fmt.Sprint("got ", size)) {
				t.Errorf("%s with size %d: got error %v, want one that names the size", d.Name, size, err)
			}
		}
	}
}

func TestParseMetric(t *testing.T) {
	text := "app_open_requests 3\napp_registry_entries 54\napp_registry_entries_other 7\n"
	if v, err := parseMetric(strings.NewReader(text), "app_registry_entries"); v != 54 || err != nil {
		t.Errorf("value of the metric: got %v, %v, want 54", v, err)
	}
	if _, err := parseMetric(strings.NewReader(text), "app_registry"); !errors.Is(err, errMetricNotFound) {
		t.Errorf("value of a missing metric: got error %v, want errMetricNotFound", err)
	}
}

// The stand-in for the registry sends only the changed server to a watch, and counts its responses.
func TestListServiceNotifiesAWatch(t *testing.T) {
	cluster, err := testcluster.New(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	s, err := startListService(cluster, 100, func(int) string { return "10.0.0.1:9000" })
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	get := func(query string) (a emulator.ListResponse) {
		t.Helper()
		resp, err := http.Get("http://" + s.address + "/registry/instances" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		return a
	}
	whole := get("")
	if !whole.Complete || len(whole.Members) != 100 {
		t.Fatalf("whole list: got complete %v with %d members, want true with 100", whole.Complete, len(whole.Members))
	}
	if err := s.setPhase(t.Context(), 7, emulator.Draining); err != nil {
		t.Fatal(err)
	}
	delta := get(fmt.Sprintf("?index=%d&wait=60000", whole.Revision))
	if delta.Complete || len(delta.Members) != 1 || delta.Members[0].ID != serverName(7) || delta.Members[0].Phase != emulator.Draining {
		t.Errorf("response to a watch after one change: got %+v, want only the changed server, draining", delta)
	}
	if s.responses.Load() != 2 || s.bytes.Load() < 100*100 {
		t.Errorf("counted %d responses of %d bytes, want 2 of at least 10,000 bytes", s.responses.Load(), s.bytes.Load())
	}
}

func TestRealNodeAppliesItsListAndChanges(t *testing.T) {
	const servers = 2 * defaultRoutes * serversPerService
	got := measurePoint(t, "real-servers", ProcessSpec{Window: 400 * time.Millisecond, Changes: 10}, servers)
	if got[ServersListed.Name] != servers || got[ListReceived.Name] != 1 {
		t.Errorf("%v servers listed, want %d; received from the service: %v, want 1",
			got[ServersListed.Name], servers, got[ListReceived.Name])
	}
	for _, m := range []Measure{StartCPU, ListChangeCPU, UnroutedChangeCPU, Resident, ListBytes, ChangeBytes} {
		if !(got[m.Name] > 0) {
			t.Errorf("%s: got %v, want more than 0", m.Name, got[m.Name])
		}
	}
	if got[PeakResident.Name] < got[Resident.Name] {
		t.Errorf("peak resident memory of %v bytes is below the resident memory of %v bytes",
			got[PeakResident.Name], got[Resident.Name])
	}
}

func TestRealNodeServesEachRequest(t *testing.T) {
	got := measurePoint(t, "real-requests", ProcessSpec{Window: 500 * time.Millisecond, Requests: 100}, 100)
	if got[RequestsSent.Name] != 50 || got[RequestsFailed.Name] != 0 {
		t.Errorf("%v requests sent, %v failed, want 50 and 0", got[RequestsSent.Name], got[RequestsFailed.Name])
	}
	if added := got[ThroughP50.Name] - got[DirectP50.Name]; added != got[AddedP50.Name] || !(got[DirectP50.Name] > 0) {
		t.Errorf("added p50 of %v ns, want the difference of %v ns through a node and %v ns direct",
			got[AddedP50.Name], got[ThroughP50.Name], got[DirectP50.Name])
	}
}

func TestRealNodeReloadsItsTenants(t *testing.T) {
	got := measurePoint(t, "real-tenants", ProcessSpec{Window: 100 * time.Millisecond}, 50)
	if !(got[ConfigCPU.Name] > 0) || !(got[ConfigBytes.Name] > 50*20) {
		t.Errorf("reload of settings of %v bytes took %v ns, want more than 1000 bytes and more than 0 ns",
			got[ConfigBytes.Name], got[ConfigCPU.Name])
	}
}

func TestRealRegistryNotifiesAllWatchers(t *testing.T) {
	got := measurePoint(t, "real-registry-3", ProcessSpec{Window: 100 * time.Millisecond}, 100)
	for _, m := range []Measure{RegisterRate, RenewRate, RenewCPU, ListBytes, WatcherNotifiedP99, WatcherCPU, LeaderResident} {
		if !(got[m.Name] > 0) {
			t.Errorf("%s: got %v, want more than 0", m.Name, got[m.Name])
		}
	}
	if got[WatcherNotifiedLast.Name] < got[WatcherNotifiedP50.Name] {
		t.Errorf("last watcher notified after %v ms, want no less than the median of %v ms",
			got[WatcherNotifiedLast.Name], got[WatcherNotifiedP50.Name])
	}
}

const realScenario = `
name = "mine"
dimension = "real-tenants"
sizes = [1, 2, 4, 8, 16]
runs = 1
seed = 7
for = "2m"
span = "100ms"
target = 100
`

// Run also measures scenarios of real processes, and fits laws to their measures.
func TestRunMeasuresRealProcesses(t *testing.T) {
	s, err := Parse([]byte(realScenario))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), s, Options{})
	if err != nil || report.Stopped != "" {
		t.Fatal(err, report.Stopped)
	}
	if got := report.Sizes(); !slices.Equal(got, s.Sizes) {
		t.Errorf("measured sizes: got %v, want those of the scenario", got)
	}
	if got := report.Sources(); !slices.Equal(got, []Source{Process}) {
		t.Errorf("measured sources: got %v, want only processes", got)
	}
	if !slices.ContainsFunc(report.Laws, func(l Extrapolation) bool { return l.Measure == ConfigBytes && l.Law != "" }) {
		t.Errorf("no law for measure %q, which grows with the number of tenants: laws %+v", ConfigBytes.Name, report.Laws)
	}
}

func TestBadRealScenariosNameTheKey(t *testing.T) {
	for _, bad := range []struct{ old, replacement, wantPrefix string }{
		{"8, 16]", "8, 2000000]", "sizes[4]: want at most"},
		{`span = "100ms"`, "", "span:"},
		{`"real-tenants"`, `"real-colours"`, "dimension: unknown"},
		{"target = 100\n", "target = 100\n[[budgets]]\nmeasure = \"shine\"\nmost = 1\n", "budgets[0].measure:"},
	} {
		_, err := Parse([]byte(strings.Replace(realScenario, bad.old, bad.replacement, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), bad.wantPrefix) {
			t.Errorf("scenario with %q in place of %q: got error %v, want prefix %q",
				bad.replacement, bad.old, err, bad.wantPrefix)
		}
	}
}

// A node with a scope lists only its subsets of its services, and gets no entries when servers of other services change.
func TestRealScopedNodeGetsItsSubset(t *testing.T) {
	const services = 2 * defaultRoutes
	got := measurePoint(t, "real-scoped", ProcessSpec{Window: 400 * time.Millisecond, Changes: 10}, services*serversPerService)
	if got[ServersListed.Name] != defaultRoutes*defaultSubset {
		t.Errorf("%v servers listed, want %d of each of %d services", got[ServersListed.Name], defaultSubset, defaultRoutes)
	}
	if got[UnroutedChangeBytes.Name] >= 100 {
		t.Errorf("received %v bytes for each change of another service, want less than 100, which means no entries",
			got[UnroutedChangeBytes.Name])
	}
}
