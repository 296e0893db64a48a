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
		c, err := Load(configEnv(t, text))
		if err != nil || c.Scope != want {
			t.Errorf("section %s: got scope %q, error %v, want scope %q", section, c.Scope, err, want)
		}
	}
	if c, err := Load(configEnv(t, nodetest.ConfigText)); err != nil || c.Scope != "" {
		t.Errorf("without the section: got scope %q, error %v, want no scope", c.Scope, err)
	}
}

func TestBadScopeNamesTheField(t *testing.T) {
	var manyServices, longNames []string
	for i := range 257 { // one more than the limit
		manyServices = append(manyServices, fmt.Sprintf("%q", fmt.Sprint("s", i)))
	}
	for i := range 100 {
		longNames = append(longNames, fmt.Sprintf("%q", fmt.Sprint(strings.Repeat("s", 100), i)))
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
		`{"services":[` + strings.Join(manyServices, ",") + `]}`: "scope.services: want at most 256 services",
		`{"services":[` + strings.Join(longNames, ",") + `]}`:    "scope.services: want at most 8192 bytes",
	} {
		text := strings.Replace(nodetest.ConfigText, `"seed"`, `"scope":`+section+`,"seed"`, 1)
		_, err := Load(configEnv(t, text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("section %.80s: got error %v, want one line that contains %q", section, err, want)
		}
	}
}

// A reload may add, change and remove the section "scope".
func TestScopeIsReloaded(t *testing.T) {
	withoutScope := nodetest.FillConfig(nodetest.KnownList("127.0.0.1:9"), nodetest.Settings)
	withScope := strings.Replace(withoutScope, `"seed"`, `"scope":{"services":["a"]},"seed"`, 1)
	c, reload := loadFile(t, withScope)
	if c.Scope != "service=a" {
		t.Errorf("scope at the start: got %q, want service=a", c.Scope)
	}
	for text, want := range map[string]string{withoutScope: "", withScope: "service=a", strings.Replace(withScope, `["a"]`, `["b"]`, 1): "service=b"} {
		if c, err := reload(text); err != nil || c.Scope != want {
			t.Errorf("scope after a reload: got %q, error %v, want %q", c.Scope, err, want)
		}
	}
	if _, err := reload(strings.Replace(withScope, `["a"]`, `[]`, 1)); err == nil || !strings.Contains(err.Error(), "scope.services") {
		t.Errorf("reload with an empty scope: got error %v, want one that contains scope.services", err)
	}
}
