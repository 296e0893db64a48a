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
	dayFor     = flag.Duration("day", 0, "how long TestMeasureDay watches a node at the target's day; 0 to skip it")
	dayServers = flag.Int("servers", 150_000, "servers in the list in TestMeasureDay")
)

// A node with a scope of ten services stays in its budget for control under the changes of the target's day.
func TestMeasureDay(t *testing.T) {
	if *dayFor == 0 {
		t.Skip("-day")
	}
	ctx, cancel := context.WithTimeout(t.Context(), *dayFor+10*time.Minute)
	defer cancel()
	all, err := processDimension(t, "real-day").Measure(ctx, ProcessSpec{Seed: 1, Window: *dayFor}, *dayServers, 1)
	if err != nil {
		t.Fatal(err)
	}
	budgets := map[Measure]float64{ControlCPU: 3.8, Resident: 32 << 20, ReceivedBytes: 11_000}
	for _, m := range all {
		t.Logf("%s: %.4g %s", m.Name, m.Value, m.Unit)
		if most, bounded := budgets[m.Measure]; bounded && m.Value > most {
			t.Errorf("%s: %.4g, the budget is %.4g %s", m.Name, m.Value, most, m.Unit)
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
		t.Fatalf("no dimension %q", name)
	}
	return d
}

// measured runs one small point and returns its values by the measure's name.
func measured(t *testing.T, name string, spec ProcessSpec, size int) map[string]float64 {
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
			t.Errorf("labelled as %+v", m)
		}
		values[m.Name] = m.Value
	}
	return values
}

func TestProcessSpecNamesWhatCannotBe(t *testing.T) {
	for want, spec := range map[string]ProcessSpec{
		"window:":   {Window: time.Millisecond},
		"routes:":   {Routes: -1},
		"changes:":  {Changes: -1},
		"requests:": {Requests: 1e9},
		"replicas:": {Replicas: 2},
	} {
		if err := spec.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%+v: got %v, want an error of %s", spec, err, want)
		}
	}
	if err := (ProcessSpec{}).Check(); err != nil {
		t.Errorf("the zero value: %v", err)
	}
	for _, d := range ProcessDimensions() {
		for _, size := range []int{d.MinSize - 1, d.MaxSize + 1} {
			_, err := d.Measure(t.Context(), ProcessSpec{}, size, 1)
			if err == nil || !strings.Contains(err.Error(), fmt.Sprint("got ", size)) {
				t.Errorf("%s: size %d: got %v, want it refused", d.Name, size, err)
			}
		}
	}
}

func TestReadFigure(t *testing.T) {
	text := "app_open_requests 3\napp_registry_entries 54\napp_registry_entries_other 7\n"
	if v, err := readFigure(strings.NewReader(text), "app_registry_entries"); v != 54 || err != nil {
		t.Errorf("got %v, %v", v, err)
	}
	if _, err := readFigure(strings.NewReader(text), "app_registry"); !errors.Is(err, errNoFigure) {
		t.Errorf("got %v for a figure that isn't there", err)
	}
}

// The stand-in for the list service tells a watch of one change alone, and counts what it sent.
func TestListServiceNotifiesAWatch(t *testing.T) {
	r, err := testcluster.New(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s, err := startList(r, 100, func(int) string { return "10.0.0.1:9000" })
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
		t.Fatalf("the whole list: complete %v, %d members", whole.Complete, len(whole.Members))
	}
	if err := s.change(t.Context(), 7, emulator.Draining); err != nil {
		t.Fatal(err)
	}
	news := get(fmt.Sprintf("?index=%d&wait=60000", whole.Revision))
	if news.Complete || len(news.Members) != 1 || news.Members[0].ID != serverName(7) || news.Members[0].Phase != emulator.Draining {
		t.Errorf("the change: %+v", news)
	}
	if s.answers.Load() != 2 || s.bytes.Load() < 100*100 {
		t.Errorf("counted %d answers of %d bytes", s.answers.Load(), s.bytes.Load())
	}
}

func TestRealNodeAppliesItsListAndChanges(t *testing.T) {
	const servers = 2 * defaultRoutes * serversPerService
	got := measured(t, "real-servers", ProcessSpec{Window: 400 * time.Millisecond, Changes: 10}, servers)
	if got[ServersListed.Name] != servers || got[ListReceived.Name] != 1 {
		t.Errorf("%v servers listed of %d, from the service: %v", got[ServersListed.Name], servers, got[ListReceived.Name])
	}
	for _, m := range []Measure{StartCPU, ListChangeCPU, ElsewhereCPU, Resident, ListBytes, ChangeBytes} {
		if !(got[m.Name] > 0) {
			t.Errorf("%s: %v", m.Name, got[m.Name])
		}
	}
	if got[PeakResident.Name] < got[Resident.Name] {
		t.Errorf("the peak, %v, is below what is held, %v", got[PeakResident.Name], got[Resident.Name])
	}
}

func TestRealNodeServesEachRequest(t *testing.T) {
	got := measured(t, "real-requests", ProcessSpec{Window: 500 * time.Millisecond, Requests: 100}, 100)
	if got[RequestsSent.Name] != 50 || got[RequestsFailed.Name] != 0 {
		t.Errorf("%v requests sent, %v failed", got[RequestsSent.Name], got[RequestsFailed.Name])
	}
	if added := got[ThroughP50.Name] - got[DirectP50.Name]; added != got[AddedP50.Name] || !(got[DirectP50.Name] > 0) {
		t.Errorf("added %v, of %v through a node and %v without", got[AddedP50.Name], got[ThroughP50.Name], got[DirectP50.Name])
	}
}

func TestRealNodeReloadsItsTenants(t *testing.T) {
	got := measured(t, "real-tenants", ProcessSpec{Window: 100 * time.Millisecond}, 50)
	if !(got[ConfigCPU.Name] > 0) || !(got[ConfigBytes.Name] > 50*20) {
		t.Errorf("settings of %v bytes took %v ns", got[ConfigBytes.Name], got[ConfigCPU.Name])
	}
}

func TestRealRegistryNotifiesAllWatchers(t *testing.T) {
	got := measured(t, "real-registry-3", ProcessSpec{Window: 100 * time.Millisecond}, 100)
	for _, m := range []Measure{RegisterRate, RenewRate, RenewCPU, ListBytes, WatcherNotifiedP99, WatcherCPU, LeaderResident} {
		if !(got[m.Name] > 0) {
			t.Errorf("%s: %v", m.Name, got[m.Name])
		}
	}
	if got[WatcherNotifiedLast.Name] < got[WatcherNotifiedP50.Name] {
		t.Errorf("the last was told after %v ms, half of them after %v", got[WatcherNotifiedLast.Name], got[WatcherNotifiedP50.Name])
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

// A scenario of a real dimension runs through the same command as the others, and has its laws.
func TestRealScenarioRunsLikeOthers(t *testing.T) {
	s, err := Parse([]byte(realScenario))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), s, Options{})
	if err != nil || report.Stopped != "" {
		t.Fatal(err, report.Stopped)
	}
	if got := report.Sizes(); !slices.Equal(got, s.Sizes) {
		t.Errorf("measured at %v", got)
	}
	if got := report.Sources(); !slices.Equal(got, []Source{Process}) {
		t.Errorf("measured of %v", got)
	}
	if !slices.ContainsFunc(report.Laws, func(l Extrapolate) bool { return l.Measure == ConfigBytes && l.Law != "" }) {
		t.Errorf("no law of %q, which grows with each tenant: %+v", ConfigBytes.Name, report.Laws)
	}
}

func TestBadRealScenariosNameTheKey(t *testing.T) {
	for _, bad := range []struct{ was, is, says string }{
		{"8, 16]", "8, 2000000]", "sizes[4]: want at most"},
		{`span = "100ms"`, "", "span:"},
		{`"real-tenants"`, `"real-colours"`, "dimension: unknown"},
		{"target = 100\n", "target = 100\n[[budgets]]\nmeasure = \"shine\"\nmost = 1\n", "budgets[0].measure:"},
	} {
		_, err := Parse([]byte(strings.Replace(realScenario, bad.was, bad.is, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), bad.says) {
			t.Errorf("%s for %s: got %v, want %s", bad.is, bad.was, err, bad.says)
		}
	}
}

// A node with a scope is told its own part: as much at more servers, and nothing of a change elsewhere.
func TestRealScopedNodeGetsItsSubset(t *testing.T) {
	const services = 2 * defaultRoutes
	got := measured(t, "real-scoped", ProcessSpec{Window: 400 * time.Millisecond, Changes: 10}, services*serversPerService)
	if got[ServersListed.Name] != defaultRoutes*defaultSubset {
		t.Errorf("%v servers listed, want %d of each of %d services", got[ServersListed.Name], defaultSubset, defaultRoutes)
	}
	if got[ElsewhereBytes.Name] >= 100 {
		t.Errorf("%v bytes for each change elsewhere: the servers' entries are among them", got[ElsewhereBytes.Name])
	}
}
