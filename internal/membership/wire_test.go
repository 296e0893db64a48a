package membership

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"sloerail/internal/golden"
)

// wireMetadata lists the kinds of metadata that nodes send. Other versions of the program read and write them.
var wireMetadata = []struct {
	name     string
	metadata metadata
}{
	{"empty", metadata{}},
	{"incarnation", metadata{Incarnation: 1}},
	{"alive", metadata{Zone: "a", Version: "1.2.3", Incarnation: 1767225600000}},
	{"leaving", metadata{Zone: "a", Version: "1.2.3", Incarnation: 1767225600000, Leaving: true}},
	{"no-zone", metadata{Version: "1.2.3", Incarnation: 1<<64 - 1, Leaving: true}},
}

// wireMessages lists the user messages between members.
var wireMessages = []struct {
	name    string
	message userMessage
}{
	{"superseded", userMessage{kindSuperseded, 1767225600000, "node-1"}},
	{"superseded-no-name", userMessage{kindSuperseded, 1, ""}},
	{"leaving", userMessage{kindLeaving, 1<<64 - 1, "node-1"}},
}

// checkGolden compares lines with a golden file.
func checkGolden(t *testing.T, file string, lines []string) {
	t.Helper()
	golden.Check(t, file, []byte(strings.Join(lines, "\n")+"\n"))
}

// readGolden returns the decoded values of a golden file by name.
func readGolden(t *testing.T, file string) map[string][]byte {
	t.Helper()
	values := make(map[string][]byte)
	for line := range strings.Lines(string(golden.Read(t, file))) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), " ")
		value, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		values[name] = value
	}
	return values
}

func TestMetadataMatchesGoldenFile(t *testing.T) {
	var lines []string
	for _, c := range wireMetadata {
		lines = append(lines, fmt.Sprintf("%s %x", c.name, c.metadata.encode()))
	}
	checkGolden(t, "metadata.hex", lines)
	written := readGolden(t, "metadata.hex")
	for _, c := range wireMetadata {
		if got, err := decodeMetadata(written[c.name]); err != nil || got != c.metadata {
			t.Errorf("%s: decodeMetadata: got %+v, error %v, want %+v", c.name, got, err, c.metadata)
		}
	}
}

func TestUserMessagesMatchGoldenFile(t *testing.T) {
	var lines []string
	for _, c := range wireMessages {
		lines = append(lines, fmt.Sprintf("%s %x", c.name, c.message.encode()))
	}
	checkGolden(t, "messages.hex", lines)
}

// A node omits zone and version if they don't fit into the limit. Nodes add no data to push/pull states,
// acknowledgements or gossip.
func TestDelegatePayloadsMatchGoldenFile(t *testing.T) {
	a, err := New(Config{Name: "node-1", Zone: strings.Repeat("z", 300), Version: strings.Repeat("v", 300), Bind: "10.0.0.1:7946"})
	if err != nil {
		t.Fatal(err)
	}
	a.incarnation, a.leaving = 1767225600000, true
	d := delegate{a}
	var lines []string
	for _, c := range []struct {
		name    string
		payload []byte
	}{
		{"metadata", d.NodeMeta(1 << 20)},
		{"metadata-over-limit", d.NodeMeta(memberlist.MetaMaxSize)},
		{"push-pull-state", d.LocalState(false)},
		{"push-pull-state-join", d.LocalState(true)},
		{"ack", d.AckPayload()},
	} {
		lines = append(lines, strings.TrimSpace(fmt.Sprintf("%s %x", c.name, c.payload)))
	}
	if b := d.GetBroadcasts(2, 1400); b != nil {
		t.Errorf("GetBroadcasts: got %x, want none", b)
	}
	checkGolden(t, "payloads.hex", lines)
}

// The user messages in the golden file take effect when received. A message with an earlier incarnation has no effect.
func TestGoldenUserMessagesTakeEffect(t *testing.T) {
	written := readGolden(t, "messages.hex")
	a, err := New(Config{Name: "self", Bind: "10.0.0.1:7946"})
	if err != nil {
		t.Fatal(err)
	}
	a.incarnation = 5
	a.list = new(memberlist.Memberlist)
	a.members.members["node-1"] = Member{Name: "node-1", State: Dead, Incarnation: 1<<64 - 1, Since: time.Now()}
	d := delegate{a}
	d.NotifyMsg(written["superseded-no-name"])
	if a.View().Superseded {
		t.Error("process was superseded by an earlier incarnation")
	}
	d.NotifyMsg(written["leaving"])
	if got := a.View().Members[0].State; got != Left {
		t.Errorf("state after the leaving message: got %q, want %q", got, Left)
	}
	d.NotifyMsg(written["superseded"])
	if !a.View().Superseded {
		t.Error("process was not superseded by a later incarnation")
	}
}

// State names appear in the JSON of the admin address. Field names appear in errors about a node's configuration file.
func TestNamesMatchGoldenFile(t *testing.T) {
	raw, err := json.Marshal([]State{Alive, Suspect, Left, Dead})
	if err != nil {
		t.Fatal(err)
	}
	lines := []string{"states " + string(raw)}
	for _, c := range []Config{
		{Name: ""},
		{Name: "n", Bind: "10.0.0.1"},
		{Name: "n", Bind: "10.0.0.1:7946", Advertise: "x"},
		{Name: "n", Bind: "0.0.0.0:7946"},
		{Name: "n", Bind: "10.0.0.1:7946", Join: []string{"seed:7946"}},
		{Name: "n", Bind: "10.0.0.1:7946", Label: "a b"},
		{Name: "n", Bind: "10.0.0.1:7946", AllowedCIDRs: []string{"10.0.0.0"}},
		{Name: "n", Bind: "10.0.0.1:7946", ProbeInterval: 1},
		{Name: "n", Bind: "10.0.0.1:7946", KeyFile: filepath.Join("testdata", "bad-keys")},
	} {
		field, _, _ := strings.Cut(fmt.Sprint(c.Validate()), ":")
		lines = append(lines, "field "+field)
	}
	checkGolden(t, "names.txt", lines)
}

func TestDecodeMetadataErrors(t *testing.T) {
	if _, err := decodeMetadata(nil); !errors.Is(err, errNoMetadata) {
		t.Errorf("no metadata: got error %v, want errNoMetadata", err)
	}
	_, err := decodeMetadata([]byte{metadataVersion + 1, 0xa0})
	if version, ok := errors.AsType[*versionError](err); !ok || version.version != metadataVersion+1 {
		t.Errorf("another version: got error %v, want a versionError with that version", err)
	}
	if _, err := decodeMetadata([]byte{metadataVersion, 0xff}); err == nil {
		t.Error("decodeMetadata of invalid CBOR succeeded, want an error")
	}
}
