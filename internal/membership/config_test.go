package membership

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

func TestValidateNamesTheField(t *testing.T) {
	good := Config{Name: "n", Bind: "10.0.0.1:7946", Join: []string{"10.0.0.2:7946"}, AllowedCIDRs: []string{"10.0.0.0/8"}}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	keys := t.TempDir() + "/keys"
	if err := os.WriteFile(keys, []byte("MTIzNDU2Nzg5MDEyMzQ1Ng==\nshort\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		text   string
		change func(*Config)
	}{
		{"fleet.name", func(c *Config) { c.Name = "" }},
		{"fleet.bind", func(c *Config) { c.Bind = "10.0.0.1" }},
		{"fleet.join", func(c *Config) { c.Join = []string{"seed:7946"} }},
		{"fleet.advertise", func(c *Config) { c.Bind = "0.0.0.0:7946" }},
		{"fleet.label", func(c *Config) { c.Label = "a b" }},
		{"fleet.allow", func(c *Config) { c.AllowedCIDRs = []string{"10.0.0.0"} }},
		{"fleet.probe_ms", func(c *Config) { c.ProbeInterval = time.Millisecond }},
		{"keys:2", func(c *Config) { c.KeyFile = keys }},
	} {
		config := good
		c.change(&config)
		err := config.Validate()
		if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), c.text) {
			t.Errorf("error %v, want %s in it", err, c.text)
		}
	}
}
