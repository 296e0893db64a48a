package registry

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sloerail/internal/subset"
)

func TestInvalidScopeErrorsNameTheParameter(t *testing.T) {
	var names []string
	for i := range maxScopeServices + 1 {
		names = append(names, fmt.Sprint("s", i))
	}
	for query, want := range map[string]string{
		"service=":                               "service: want 1 to",
		"service=a,,b":                           "service: want 1 to",
		"service=a%20b":                          "service: want printable",
		"service=" + strings.Join(names, ","):    "service: want 256 names",
		"subset=2":                               "subset: wants a service",
		"service=a&position=2":                   "position: wants a subset",
		"service=a&zone=z":                       "zone: wants a subset",
		"service=a&subset=0&position=0&nodes=":   "subset: want a whole number from 1",
		"service=a&subset=x":                     "subset: want",
		"service=a&subset=2&position=0":          "nodes: want",
		"service=a&subset=2&nodes=0":             "nodes: want",
		"service=a&subset=2&nodes=3":             "position: want a whole number from 0 to 2",
		"service=a&subset=2&nodes=3&position=3":  "position: want",
		"service=a&subset=2&nodes=3&position=-1": "position: want",
		"service=a&subset=99999999999999999999":  "subset: want",
		"service=a&subset=2&nodes=3&position=0&zone=" + strings.Repeat("z", maxFieldBytes+1): "zone: over",
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parseScope(values); err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("query %.60s: got error %v, want one line that starts with %q", query, err, want)
		}
	}
	scope, err := parseScope(url.Values{"service": {"b,a", "a"}, "subset": {"2"}, "nodes": {"3"}, "position": {"1"}, "zone": {"z"}})
	want := &Scope{Services: []string{"a", "b"}, SubsetSize: 2, Client: subset.Client{Position: 1, Count: 3, Zone: "z"}}
	if diff := cmp.Diff(want, scope); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if scope, err := parseScope(url.Values{"index": {"3"}, "other": {"x"}}); scope != nil || err != nil {
		t.Errorf("query without a scope: got %+v, error %v, want nil for both", scope, err)
	}
}
