package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/rig"
)

func TestMain(m *testing.M) {
	code := m.Run()
	rig.Clean()
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
		for _, size := range []int{d.Least - 1, d.Most + 1} {
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
func TestListServiceTellsAWatchTheChange(t *testing.T) {
	r, err := rig.New(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s, err := startList(r, 100, func(int) string { return "10.0.0.1:9000" })
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	get := func(query string) (a emulator.Answer) {
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

func TestRealNodeTakesItsListAndChanges(t *testing.T) {
	const servers = 2 * defaultRoutes * serversEach
	got := measured(t, "real-servers", ProcessSpec{Window: 400 * time.Millisecond, Changes: 10}, servers)
	if got[ServersListed.Name] != servers || got[ListTaken.Name] != 1 {
		t.Errorf("%v servers listed of %d, from the service: %v", got[ServersListed.Name], servers, got[ListTaken.Name])
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

func TestRealNodeAnswersEachRequestOfItsTurns(t *testing.T) {
	got := measured(t, "real-requests", ProcessSpec{Window: 500 * time.Millisecond, Requests: 100}, 100)
	if got[RequestsSent.Name] != 50 || got[RequestsFailed.Name] != 0 {
		t.Errorf("%v requests sent, %v failed", got[RequestsSent.Name], got[RequestsFailed.Name])
	}
	if added := got[ThroughP50.Name] - got[DirectP50.Name]; added != got[AddedP50.Name] || !(got[DirectP50.Name] > 0) {
		t.Errorf("added %v, of %v through a node and %v without", got[AddedP50.Name], got[ThroughP50.Name], got[DirectP50.Name])
	}
}

func TestRealNodeTakesItsTenantsAnew(t *testing.T) {
	got := measured(t, "real-tenants", ProcessSpec{Window: 100 * time.Millisecond}, 50)
	if !(got[ConfigCPU.Name] > 0) || !(got[ConfigBytes.Name] > 50*20) {
		t.Errorf("settings of %v bytes took %v ns", got[ConfigBytes.Name], got[ConfigCPU.Name])
	}
}

func TestRealRegistryTellsAllWatchers(t *testing.T) {
	got := measured(t, "real-registry-3", ProcessSpec{Window: 100 * time.Millisecond}, 100)
	for _, m := range []Measure{RegisterRate, RenewRate, RenewCPU, ListBytes, WatcherToldP99, WatcherCPU, LeaderResident} {
		if !(got[m.Name] > 0) {
			t.Errorf("%s: %v", m.Name, got[m.Name])
		}
	}
	if got[WatcherToldLast.Name] < got[WatcherToldP50.Name] {
		t.Errorf("the last was told after %v ms, half of them after %v", got[WatcherToldLast.Name], got[WatcherToldP50.Name])
	}
}
