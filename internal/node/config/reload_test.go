package config

import (
	"os"
	"strings"
	"testing"

	"sloerail/internal/node/nodetest"
)

// loadFile loads a configuration from a new file. reload overwrites the file and reloads it.
func loadFile(t *testing.T, text string) (c Config, reload func(text string) (Config, error)) {
	t.Helper()
	path := nodetest.WriteFile(t, text)
	getenv := func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
	c, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c, func(text string) (Config, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Reload(getenv, c)
	}
}

// A reload of an invalid file is rejected with an error that names the missing or invalid field, if there is one.
func TestReloadRejectsBrokenFiles(t *testing.T) {
	valid := nodetest.FillConfig(nodetest.KnownList("127.0.0.1:9"), nodetest.Settings)
	_, reload := loadFile(t, valid)
	if _, err := reload(valid); err != nil {
		t.Fatalf("reload of an unchanged file: %v", err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"empty":              {valid, "", "JSON"},
		"cut short":          {valid, valid[:len(valid)/2], "unexpected end of JSON"},
		"not an object":      {valid, "[]", ""},
		"no discovery":       {`"discovery":"127.0.0.1:8500",`, "", "discovery"},
		"bad discovery":      {`127.0.0.1:8500`, "nowhere", "discovery"},
		"no limits":          {`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", "limits"},
		"no classes":         {`"services":`, `"sservices":`, "settings.services: missing"},
		"no tenants":         {`"tenants":`, `"ttenants":`, "settings.tenants: missing"},
		"no rules":           {`"guarantees":`, `"gguarantees":`, "settings.guarantees: missing"},
		"a rule missing":     {`"drainGrace":500,`, "", "settings.guarantees.drainGrace: missing"},
		"null for a key":     {`"retryAfter":true`, `"retryAfter":null`, "settings.limits.retryAfter: missing"},
		"no name":            {`"name":"pay",`, "", "name"},
		"empty name":         {`"name":"pay"`, `"name":""`, "name"},
		"named twice":        {`"name":"pay"`, `"name":"read"`, "named twice"},
		"no repeat":          {`"aim":4000,"deadline":9000,"repeat":"single_shot"`, `"aim":4000,"deadline":9000`, "settings.services[1].repeat: missing"},
		"no deadline":        {`"aim":4000,"deadline":9000,"repeat":"free"`, `"aim":4000,"repeat":"free"`, "deadline"},
		"deadline of 0":      {`"deadline":9000,"repeat":"free"`, `"deadline":0,"repeat":"free"`, "deadline"},
		"negative deadline":  {`"deadline":9000,"repeat":"free"`, `"deadline":-5,"repeat":"free"`, "deadline"},
		"deadline as string": {`"deadline":9000,"repeat":"free"`, `"deadline":"9000","repeat":"free"`, "settings.services[0].deadline"},
		"unknown repeat":     {`"repeat":"free"`, `"repeat":"often"`, "settings.services[0].repeat"},
		"no attempts":        {`"maxAttempts":3,`, "", "settings.limits.maxAttempts"},
		"attempts of 0":      {`"maxAttempts":3`, `"maxAttempts":0`, "settings.limits.maxAttempts"},
		"negative attempts":  {`"maxAttempts":3`, `"maxAttempts":-1`, "attempts"},
		"attempts of 1.5":    {`"maxAttempts":3`, `"maxAttempts":1.5`, "settings.limits.maxAttempts"},
		"attempts as string": {`"maxAttempts":3`, `"maxAttempts":"3"`, "settings.limits.maxAttempts"},
		"settings no object": {nodetest.Settings, `7`, "settings"},
	} {
		if !strings.Contains(valid, c.old) {
			t.Fatalf("%s: the valid file does not contain %q", name, c.old)
		}
		if _, err := reload(strings.Replace(valid, c.old, c.new, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, c.want)
		}
	}
}
