package testcluster

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/golden"
)

// goldenSchedule returns a schedule with every kind of fault, and with every optional key both present and absent.
func goldenSchedule() Schedule {
	return Schedule{
		{At: 0, Fault: Kill, Targets: []string{"n0"}},
		{At: time.Second, Fault: Pause, Targets: []string{"n0", "n1"}, Duration: 2500 * time.Millisecond},
		{At: 2 * time.Second, Fault: Replace, Targets: []string{"n1"}},
		{At: 3 * time.Second, Fault: Restart, Targets: []string{"n2"}, Duration: time.Second},
		{At: 4 * time.Second, Fault: Partition, Targets: []string{"n0"}, Others: []string{"n1", "s-0"}, Duration: time.Second},
		{At: 5 * time.Second, Fault: OneWayPartition, Targets: []string{"n0"}, Others: []string{"list"}, Duration: 1},
		{At: 6*time.Second + 1, Fault: PacketLoss, Targets: []string{"n0", "n1"}, Duration: time.Minute, Loss: 0.125},
	}
}

// Later versions must be able to replay a schedule that a failed test printed.
func TestScheduleFormatIsStable(t *testing.T) {
	const file = "schedule.json"
	golden.Check(t, file, []byte(goldenSchedule().String()+"\n"))
	raw := golden.Read(t, file)
	read, err := ParseSchedule(string(raw))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, goldenSchedule()) {
		t.Errorf("parsed schedule: got %+v, want goldenSchedule()", read)
	}
	if got := read.String() + "\n"; got != string(raw) {
		t.Errorf("golden schedule, parsed and marshaled again: got %s, want the content of the golden file", got)
	}
	kinds := make(map[FaultKind]bool)
	for _, step := range read {
		kinds[step.Fault] = true
	}
	if want := []FaultKind{"kill", "pause", "replace", "restart", "part", "partOne", "lossy"}; len(kinds) != len(want) {
		t.Errorf("kinds of faults in the golden file: got %v, want %v", kinds, want)
	}
}

// RandomSchedule draws the same schedule from a seed in all versions.
func TestRandomScheduleIsStable(t *testing.T) {
	s := RandomSchedule(39, 12, time.Minute, []string{"n0", "n1", "n2"}, Kill, Pause, Replace, Restart, Partition, OneWayPartition, PacketLoss)
	golden.Check(t, "drawn.json", []byte(s.String()+"\n"))
}

// The section that Settings returns matches the golden file.
func TestNodeSettingsAreStable(t *testing.T) {
	tenants := []emulator.Tenant{{Name: "east", Share: 0.5}, {Name: "west", Share: 0.25}}
	raw, err := json.MarshalIndent(Settings(1, 3, "a", emulator.Classes(), tenants, 240), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "settings.json", append(raw, '\n'))
}

// The configuration file of a node with every section matches the golden file.
func TestNodeConfigFileIsStable(t *testing.T) {
	n := Node{Listen: "127.0.0.9:8080", dir: t.TempDir(), Spec: NodeSpec{
		Name: "n0", Discovery: "127.0.0.8:8500", ListFile: "/tmp/list", Settings: map[string]any{"position": 0},
		Cores: 1.5, MemoryMB: 512, Sockets: 1024, Fleet: map[string]any{"bind": "127.0.0.9:7946"},
		Topology: map[string]any{"regions": map[string]any{"r": []string{"a"}}}, Scope: map[string]any{"service": "s"}, RetainMissing: true,
	}}
	path, err := n.writeConfig()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "node.json", raw)
}
