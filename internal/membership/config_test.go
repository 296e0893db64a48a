package membership

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

func TestValidateReportsField(t *testing.T) {
	valid := Config{Name: "n", Bind: "10.0.0.1:7946", Join: []string{"10.0.0.2:7946"}, AllowedCIDRs: []string{"10.0.0.0/8"}}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	keys := t.TempDir() + "/keys"
	if err := os.WriteFile(keys, []byte("MTIzNDU2Nzg5MDEyMzQ1Ng==\nshort\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		field, wantText string
		change          func(*Config)
	}{
		{"name", "fleet.name", func(c *Config) { c.Name = "" }},
		{"bind", "fleet.bind", func(c *Config) { c.Bind = "10.0.0.1" }},
		{"join", "fleet.join", func(c *Config) { c.Join = []string{"seed:7946"} }},
		{"advertise", "fleet.advertise", func(c *Config) { c.Bind = "0.0.0.0:7946" }},
		{"label", "fleet.label", func(c *Config) { c.Label = "a b" }},
		{"allow", "fleet.allow", func(c *Config) { c.AllowedCIDRs = []string{"10.0.0.0"} }},
		{"probe_ms", "fleet.probe_ms", func(c *Config) { c.ProbeInterval = time.Millisecond }},
		{"key_file", "keys:2", func(c *Config) { c.KeyFile = keys }},
	} {
		config := valid
		c.change(&config)
		err := config.Validate()
		if configErr, ok := errors.AsType[*ConfigError](err); !ok || configErr.Field != c.field {
			t.Errorf("Validate: got error %v, want a ConfigError for field %s", err, c.field)
		} else if !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("Validate: got error %v, want it to contain %s", err, c.wantText)
		}
	}
}

func TestValidateWrapsReason(t *testing.T) {
	c := Config{Name: "n", Bind: "10.0.0.1:7946", KeyFile: t.TempDir() + "/none"}
	if err := c.Validate(); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing key file: got error %v, want os.ErrNotExist", err)
	}
	c.KeyFile = "testdata/bad-keys"
	if err := c.Validate(); !errors.Is(err, errBadKey) {
		t.Errorf("invalid key: got error %v, want errBadKey", err)
	}
}
