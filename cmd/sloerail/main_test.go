package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sloerail/internal/membership"
	"sloerail/internal/node"
)

// fleetAt answers as a node's second address does.
func fleetAt(t *testing.T, v node.FleetView) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/fleet" {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func view(self string, names ...string) (v node.FleetView) {
	v.Node, v.Reachable, v.QuotaNodes = self, len(names), len(names)
	for _, n := range names {
		v.Members = append(v.Members, node.FleetMember{Name: n, Zone: "a", State: membership.Alive, SinceMs: 61_000})
	}
	return v
}

func TestCommands(t *testing.T) {
	a, b := fleetAt(t, view("n0", "n0", "n1")), fleetAt(t, view("n1", "n0", "n1"))
	lone := view("n2", "n2")
	lone.Partitioned, lone.QuotaNodes = true, 3
	c := fleetAt(t, lone)
	none := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(none.Close)
	for _, call := range []struct {
		args      string
		status    int
		out, errs string
	}{
		{"members " + a + " " + b, 0, "n1 hears 2, quotas by 2", ""},
		{"members " + a + " " + c, 1, "CUT OFF", "the views differ"},
		{"members --json " + a, 0, `"state":"alive"`, ""},
		{"members " + strings.TrimPrefix(none.URL, "http://"), 1, "of no fleet", "no view from"},
		{"members", 2, "", "at least 1 arg"},
		{"members --wach " + a, 2, "", "unknown flag"},
		{"nonsense", 2, "", "unknown command"},
		{"version", 0, "\n", ""},
		{"members --help", 0, "sloerail members 10.0.0.4:9100", ""},
		{"completion bash", 0, "bash completion", ""},
	} {
		var out, errs bytes.Buffer
		status := run(context.Background(), strings.Fields(call.args), &out, &errs)
		if status != call.status || !strings.Contains(out.String(), call.out) || !strings.Contains(errs.String(), call.errs) {
			t.Errorf("%s: status %d\n%s\n%s", call.args, status, out.String(), errs.String())
		}
	}
}
