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

// serveFleetView starts a server that returns v at /fleet, as a node's control address does. It returns the server's
// address.
func serveFleetView(t *testing.T, v node.FleetView) string {
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

func newFleetView(self string, names ...string) (v node.FleetView) {
	v.Node, v.Reachable, v.QuotaNodes = self, len(names), len(names)
	for _, n := range names {
		v.Members = append(v.Members, node.FleetMember{Name: n, Zone: "a", State: membership.Alive, SinceMs: 61_000})
	}
	return v
}

func TestCommandsReturnOutputAndExitCode(t *testing.T) {
	a, b := serveFleetView(t, newFleetView("n0", "n0", "n1")), serveFleetView(t, newFleetView("n1", "n0", "n1"))
	partitioned := newFleetView("n2", "n2")
	partitioned.Partitioned, partitioned.QuotaNodes = true, 3
	c := serveFleetView(t, partitioned)
	noFleet := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(noFleet.Close)
	for _, tc := range []struct {
		args      string
		status    int
		out, errs string
	}{
		{"members " + a + " " + b, 0, "node n1 reaches 2 nodes, quotas divided among 2 nodes", ""},
		{"members " + a + " " + c, 1, "PARTITIONED: at most half", "the views differ"},
		{"members --json " + a, 0, `"state":"alive"`, ""},
		{"members " + strings.TrimPrefix(noFleet.URL, "http://"), 1, "not part of a fleet", "no view from"},
		{"members", 2, "", "at least 1 arg"},
		{"members --wach " + a, 2, "", "unknown flag"},
		{"nonsense", 2, "", "unknown command"},
		{"version", 0, "\n", ""},
		{"members --help", 0, "sloerail members 10.0.0.4:9100", ""},
		{"completion bash", 0, "bash completion", ""},
	} {
		var out, errs bytes.Buffer
		status := run(context.Background(), strings.Fields(tc.args), &out, &errs)
		if status != tc.status || !strings.Contains(out.String(), tc.out) || !strings.Contains(errs.String(), tc.errs) {
			t.Errorf("sloerail %s: unexpected exit code %d or output\nstdout: %s\nstderr: %s",
				tc.args, status, out.String(), errs.String())
		}
	}
}
