package scaletest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const goodScenario = `
name = "mine"
dimension = "servers"
sizes = [10, 20, 40, 80, 160]
runs = 3
seed = 7
for = "1m"
target = 1000
[held]
tenants = 5
nodes = 2
requests = 100
[[budgets]]
measure = "heap"
most = 1000
`

func TestShippedScenariosAreValid(t *testing.T) {
	for _, name := range BuiltinNames() {
		s, err := Read(name)
		if err != nil {
			t.Error(err)
		} else if s.Name != name || s.Runs < 3 {
			t.Errorf("scenario %s: name %q, %d runs, want the name of its file and 3 or more runs", name, s.Name, s.Runs)
		}
	}
}

func TestBadScenariosNameTheKey(t *testing.T) {
	if _, err := Parse([]byte(goodScenario)); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []struct{ old, replacement, wantPrefix string }{
		{"runs = 3", "runz = 3", "unknown key runz"},
		{"tenants = 5", "tenant = 5", "unknown key held.tenant"},
		{"runs = 3", "runs = 0", "runs:"},
		{"runs = 3", `runs = "many"`, "runs:"},
		{"[10, 20, 40, 80, 160]", "[10, 20, 40, 80]", "sizes: want 5"},
		{"[10, 20, 40, 80, 160]", "[10, 20, 40, 40, 160]", "sizes[3]: want more"},
		{"[10, 20, 40, 80, 160]", "[10, 20, 40, 30, 160]", "sizes[3]: want more"},
		{"[10, 20, 40, 80, 160]", "[0, 20, 40, 80, 160]", "sizes[0]: want 1"},
		{"[10, 20, 40, 80, 160]", "[-1, 20, 40, 80, 160]", "sizes[0]: want 1"},
		{"[10, 20, 40, 80, 160]", "[10, 20, 40, 80, 2000000000]", "sizes[4]: want at most"},
		{`"servers"`, `"routes"`, "dimension: routes is not measured yet"},
		{`"servers"`, `"colours"`, "dimension: unknown"},
		{`"servers"`, `"nodes"`, "span:"},
		{"for = \"1m\"", "for = \"2h\"", "for:"},
		{"for = \"1m\"", "", "for:"},
		{"target = 1000", "target = -1", "target:"},
		{"target = 1000", "target = nan", "target:"},
		{"tenants = 5", "", "held.tenants:"},
		{"nodes = 2", "nodes = 0", "held.nodes:"},
		{"requests = 100", "requests = 0", "held.requests:"},
		{"requests = 100", "requests = inf", "held.requests:"},
		{`measure = "heap"`, `measure = "heat"`, "budgets[0].measure:"},
		{"most = 1000", "most = 0", "budgets[0].most:"},
		{`name = "mine"`, "", "name:"},
		{"runs = 3", "runs = 3\nreplicas = 2", "replicas: want an odd number"},
		{"runs = 3", "runs = 3\nfault = \"flood\"", "fault: unknown"},
		{"runs = 3", "runs = 3\nfault = \"leader-killed\"", "fault: supported only for dimensions nodes and changes"},
		{`dimension = "servers"`, "dimension = \"nodes\"\nspan = \"1s\"\nfault = \"leader-killed\"", "replicas: want 3 or more"},
		{`dimension = "servers"`, "dimension = \"nodes\"\nspan = \"1s\"\nfault = \"replicas-away\"", "away:"},
		{`dimension = "servers"`, "dimension = \"real-servers\"\nspan = \"1s\"\nfault = \"replicas-away\"", "fault: supported only for dimensions"},
	} {
		_, err := Parse([]byte(strings.Replace(goodScenario, bad.old, bad.replacement, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), bad.wantPrefix) || strings.Contains(err.Error(), "\n") {
			t.Errorf("scenario with %q: got error %v, want prefix %q", bad.replacement, err, bad.wantPrefix)
		}
	}
}

func TestReadAcceptsFilesAndNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "mine.toml")
	if err := os.WriteFile(path, []byte(goodScenario), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := Read(path); err != nil || s.Name != "mine" {
		t.Errorf("scenario file: got name %q, error %v, want the name in the file", s.Name, err)
	}
	if _, err := Read("nowhere"); err == nil || !strings.Contains(err.Error(), "servers") {
		t.Errorf("unknown name: got error %v, want one that lists the scenarios", err)
	}
	if _, err := Read("routes"); err == nil || !strings.Contains(err.Error(), "not measured yet") {
		t.Errorf("dimension that is not measured: got error %v, want one that says so", err)
	}
}

func TestSizesBeyondTheMachineMemoryAreRejected(t *testing.T) {
	s, err := Parse([]byte(goodScenario))
	if err != nil {
		t.Fatal(err)
	}
	smallMachine := Machine{Memory: uint64(2*s.memoryAt(40)) + 1}
	if err := s.checkMemory(s.Sizes, smallMachine); err == nil || !strings.HasPrefix(err.Error(), "sizes[3]:") {
		t.Errorf("machine with memory for only the first three sizes: got error %v, want one that names sizes[3]", err)
	}
	if err := s.checkMemory(s.Sizes[:3], smallMachine); err != nil {
		t.Error(err)
	}
}
