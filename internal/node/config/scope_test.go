package config

import (
	"fmt"
	"strings"
	"testing"

	"sloerail/internal/node/nodetest"
)

func TestLoadsScope(t *testing.T) {
	for section, want := range map[string]string{
		`{"services":["b","a"],"subset":20}`: "nodes=1&position=0&service=a&service=b&subset=20&zone=a",
		`{"services":["a"]}`:                 "service=a",
	} {
		text := strings.Replace(nodetest.ConfigText, `"seed"`, `"scope":`+section+`,"seed"`, 1)
		c, err := Load(configFile(t, text))
		if err != nil || c.Scope != want {
			t.Errorf("%s: %q, %v, want %q", section, c.Scope, err, want)
		}
	}
	if c, err := Load(configFile(t, nodetest.ConfigText)); err != nil || c.Scope != "" {
		t.Errorf("without the section: %q, %v", c.Scope, err)
	}
}

func TestBadScopeNamesTheField(t *testing.T) {
	var many, long []string
	for i := range 257 { // one more than a call may name
		many = append(many, fmt.Sprintf("%q", fmt.Sprint("s", i)))
	}
	for i := range 100 {
		long = append(long, fmt.Sprintf("%q", fmt.Sprint(strings.Repeat("s", 100), i)))
	}
	for section, want := range map[string]string{
		`{}`:                              "scope.services: want at least one service",
		`{"services":[]}`:                 "scope.services: want at least one service",
		`{"services":["a",""]}`:           "scope.services[1]: want 1 to",
		`{"services":["a","b","a"]}`:      `scope.services[2]: "a" is listed twice`,
		`{"services":["a b"]}`:            "scope.services[0]: want printable",
		`{"services":["a,b"]}`:            "scope.services[0]: want printable",
		`{"services":["a"],"subset":0}`:   "scope.subset: want 1 to",
		`{"services":["a"],"subset":-3}`:  "scope.subset: want 1 to",
		`{"services":["a"],"subset":"x"}`: "scope: json",
		`{"services":["a"],"subsets":3}`:  "subsets",
		`{"services":"a"}`:                "scope: json",
		`[]`:                              "scope: json",
		`{"services":[` + strings.Join(many, ",") + `]}`: "scope.services: want at most 256 services",
		`{"services":[` + strings.Join(long, ",") + `]}`: "scope.services: want at most 8192 bytes",
	} {
		text := strings.Replace(nodetest.ConfigText, `"seed"`, `"scope":`+section+`,"seed"`, 1)
		_, err := Load(configFile(t, text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.80s: got %v, want one line that names %q", section, err, want)
		}
	}
}

// The section may come, change and go with a SIGHUP.
func TestScopeIsReloaded(t *testing.T) {
	plain := nodetest.FillConfig(nodetest.KnownList("127.0.0.1:9"), nodetest.Settings)
	with := strings.Replace(plain, `"seed"`, `"scope":{"services":["a"]},"seed"`, 1)
	c, reload := loadFile(t, with)
	if c.Scope != "service=a" {
		t.Errorf("loaded %q", c.Scope)
	}
	for text, want := range map[string]string{plain: "", with: "service=a", strings.Replace(with, `["a"]`, `["b"]`, 1): "service=b"} {
		if c, err := reload(text); err != nil || c.Scope != want {
			t.Errorf("reloaded %q, %v, want %q", c.Scope, err, want)
		}
	}
	if _, err := reload(strings.Replace(with, `["a"]`, `[]`, 1)); err == nil || !strings.Contains(err.Error(), "scope.services") {
		t.Errorf("an empty scope: %v", err)
	}
}
