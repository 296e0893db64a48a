package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// configEnv writes a configuration file and returns a getenv function for it.
func configEnv(t *testing.T, text string) func(string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	text = strings.NewReplacer("KNOWN", nodetest.KnownList("127.0.0.1:9"), "SETTINGS", nodetest.Settings).Replace(text)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_LISTEN": "127.0.0.1:1"}[name]
	}
}

func TestLoadsConfig(t *testing.T) {
	c, err := Load(configEnv(t, nodetest.ConfigText))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:8500" || c.Seed != 0x8c1f30d27a5be964 ||
		c.MemoryMB != 192 || c.Sockets != 1024 || c.MaxOpen != 100 || c.ConnectTimeout != 2*time.Second ||
		len(c.Known.Endpoints) != 1 || c.Known.Revision != 7 || c.Settings.Zone != "a" {
		t.Errorf("got %+v, want the values of nodetest.ConfigText, and ROUTER_LISTEN for Listen", c)
	}
}

func TestBadConfigNamesTheField(t *testing.T) {
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("without ROUTER_CONFIG: got error %v, want one that contains ROUTER_CONFIG", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"seed"`, `"other"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":"x"`, "limits.sockets"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"nowhere"`, "discovery"},
		{`"known":KNOWN`, `"known":{"members":[]}`, "known: revision"},
		{`"known":KNOWN,`, ``, "known: missing"},
		{`,"settings":SETTINGS`, ``, "settings: missing"},
		{`SETTINGS`, `[]`, "settings"},
		{`SETTINGS`, `{"groupSize":1}`, "classes"},
		{`SETTINGS`, strings.Replace(nodetest.Settings, `"deadline":9000`, `"deadline":"x"`, 1), "services[0].deadline"},
		{`SETTINGS`, strings.Replace(nodetest.Settings, `"maxOpen":100`, `"maxOpen":-1`, 1), "maxOpen"},
		{`SETTINGS`, strings.Replace(nodetest.Settings, `"connectTimeout":2000`, `"connectTimeout":-1`, 1), "connectTimeout"},
		{`"seed"`, `"places":{"regionz":{}},"seed"`, "regionz"},
		{`"seed"`, `"places":{"regions":{"n":["a"],"s":["a"]}},"seed"`, `zone "a" is in two regions, n and s`},
		{`"seed"`, `"places":{"regions":{"n":["a"]},"only":{"none":["n"]}},"seed"`, `unknown class "none"`},
		{`"seed"`, `"places":{"regions":{"n":["a"]},"only":{"read":["x"]}},"seed"`, `unknown region "x"`},
		{`"seed"`, `"places":{"regions":{"n":["a"]},"only":{"read":[]}},"seed"`, "want at least one region"},
		{`"seed"`, `"places":{"other_region":-1},"seed"`, "cost between regions"},
		{`"seed"`, `"places":{"costs":{"a":{"b":-2}}},"seed"`, "cost from a to b"},
		{`"seed"`, `"ease_lists":3,"seed"`, "ease_lists"},
		{`{`, ``, ""},
	} {
		_, err := Load(configEnv(t, strings.Replace(nodetest.ConfigText, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: got error %v, want one line that contains %q", c.new, c.old, err, c.want)
		}
	}
}
