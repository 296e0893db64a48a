package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sloerail/internal/golden"
	"sloerail/internal/membership"
	"sloerail/internal/node"
	"sloerail/internal/registry"
	"sloerail/internal/scaletest"
	"sloerail/internal/simulation"
)

// TestCommandsAndFlagsAreFrozen pins the interface for scripts: commands, arguments, flags, shorthands and defaults. This
// includes hidden commands and flags.
func TestCommandsAndFlagsAreFrozen(t *testing.T) {
	var out bytes.Buffer
	var describe func(cmd *cobra.Command)
	describe = func(cmd *cobra.Command) {
		fmt.Fprintf(&out, "%s | use %q aliases %v hidden %v\n", cmd.CommandPath(), cmd.Use, cmd.Aliases, cmd.Hidden)
		describeFlag := func(of string) func(f *pflag.Flag) {
			return func(f *pflag.Flag) {
				fmt.Fprintf(&out, "  %s --%s shorthand %q type %s default %q without value %q hidden %v\n", of, f.Name, f.Shorthand,
					f.Value.Type(), f.DefValue, f.NoOptDefVal, f.Hidden)
			}
		}
		cmd.InitDefaultHelpFlag()
		cmd.InitDefaultVersionFlag()
		cmd.LocalNonPersistentFlags().VisitAll(describeFlag("flag"))
		cmd.PersistentFlags().VisitAll(describeFlag("persistent"))
		for _, sub := range cmd.Commands() {
			describe(sub)
		}
	}
	root := newRoot()
	root.InitDefaultHelpCmd()
	root.InitDefaultCompletionCmd()
	describe(root)
	golden.Check(t, "commands.txt", out.Bytes())
}

// serveJSON starts a server and returns the server's address. The server returns the given response for path, and status
// 404 for other paths.
func serveJSON(t *testing.T, path string, response any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(response)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func goldenFleetView() node.FleetView {
	return node.FleetView{Node: "n0", View: 7, QuotaNodes: 3, Reachable: 2, Partitioned: true, Superseded: true, SentBytes: 11, HeardBytes: 12,
		Refuted: 13, Conflicts: 14, LinesQuiet: 15, GeneratedAt: time.Date(2026, 12, 3, 4, 5, 6, 0, time.UTC),
		Members: []node.FleetMember{{Name: "n0", Address: "10.0.0.1:7946", Zone: "a", Version: "v1", Incarnation: 9,
			State: membership.Alive, SinceMs: 61000}}}
}

// TestJSONOfNodesAndListIsFrozen pins the --json output of the commands that query nodes and the list service. Stub
// servers respond in place of a fleet.
func TestJSONOfNodesAndListIsFrozen(t *testing.T) {
	fleet := serveJSON(t, "/fleet", goldenFleetView())
	places := serveJSON(t, "/places", []node.ZoneView{
		{Zone: "a", Region: "r", State: "left", Cost: 1.5, TrafficShare: 0.25, Servers: 6, Evacuations: 2,
			Failures: 4.5, Responses: 8, ProbeInMs: 1200, EvacuationReason: "ill"},
		{Zone: "b", Region: "r", State: "well"}})
	list := serveJSON(t, "/registry/instances", registry.EndpointList{Revision: 41, Complete: true, Endpoints: []registry.Endpoint{
		{ID: "s-0", Address: "10.0.0.1:9000", Zone: "a", Kind: "big-box", Cell: 3, Phase: "up", Size: 1.5, StartTimeMs: 1700000000123,
			Service: "svc"}, {ID: "s-1"}}})
	status := serveJSON(t, "/registry/status", registry.Status{ID: "r0", Leader: "r1", Epoch: 2, Revision: 41, Instances: 20, ExpirySuspended: true,
		AgeMs: 5, Watches: 6, Lists: 7, Writes: 8, CallsRejected: 9, CallsRejectedStale: 10,
		Replicas: []registry.ReplicaStatus{{ID: "r0", RaftAddress: "10.0.0.1:8501", APIAddress: "10.0.0.1:8500"}}})
	for _, c := range []struct {
		file, args string
		address    string
		status     int
	}{
		{"members.json", "members --json ", fleet, 0},
		{"members-none.json", "members --json ", places, 1},
		{"places.json", "places --json ", places, 0},
		{"places-none.json", "places --json ", fleet, 1},
		{"registry-list.json", "registry list --json --to ", list, 0},
		{"registry-status.json", "registry status --json --to ", status, 0},
	} {
		got, out, errs := runCommand(t.Context(), strings.Fields(c.args+c.address)...)
		if got != c.status {
			t.Errorf("sloerail %s: got exit code %d, want %d; stderr: %s", c.args, got, c.status, errs)
		}
		golden.Check(t, c.file, []byte(strings.ReplaceAll(out, c.address, "ADDRESS")))
	}
}

// TestJSONOfExperimentsIsFrozen pins the --json output of the commands that run experiments.
func TestJSONOfExperimentsIsFrozen(t *testing.T) {
	pairs := []simulation.Pair{{Scenario: "all", Mean: 0.5, HalfInterval: 0.25, P: 0.125, OurG: 0.75, TheirG: 0.625, OurBroken: 1, TheirBroken: 2}}
	row := simulation.Row{Measure: simulation.Measure{Name: "calm: attempts that cross", Max: 1}, WithTopology: []float64{0, 0.5}, WithoutTopology: []float64{1, 2}}
	report := &scaletest.Report{Laws: []scaletest.Extrapolation{{Target: 5}}, Stopped: "called off"}
	outcome := &simulation.Outcome{Classes: map[string]simulation.Totals{"x": {Requests: 1}}, Broken: 3, BrokenRules: []string{"a rule"}}
	for _, c := range []struct {
		file  string
		print func(out *bytes.Buffer) error
		err   string
	}{
		{"pair.json", func(out *bytes.Buffer) error { return reportPairs(out, pairs, true) }, "this program broke rules 1 times"},
		{"zones.json", func(out *bytes.Buffer) error { return reportRows(out, []simulation.Row{row}, true) }, ""},
		{"scale.json", func(out *bytes.Buffer) error { return reportScale(out, report, scaleFlags{asJSON: true}) },
			"stopped before all points were measured: called off"},
		{"simulate.json", func(out *bytes.Buffer) error { return reportOutcome(out, outcome, 1, true) }, "rules were broken 3 times"},
	} {
		var out bytes.Buffer
		err := c.print(&out)
		if (err != nil || c.err != "") && fmt.Sprint(err) != c.err {
			t.Errorf("%s: got error %v, want %q", c.file, err, c.err)
		}
		golden.Check(t, c.file, out.Bytes())
	}
}

// TestExitCodesAreFrozen pins the exit codes: 0 for success, 1 for a failure or a failed check, 2 for invalid usage.
func TestExitCodesAreFrozen(t *testing.T) {
	status := serveJSON(t, "/registry/status", registry.Status{ID: "r0", AgeMs: -1})
	for args, want := range map[string]int{
		"": 0, "--help": 0, "--version": 0, "version": 0, "simulate": 0, "scale": 0, "experiment": 0, "registry": 0, "help members": 0,
		"members 127.0.0.1:1": 1, "places 127.0.0.1:1": 1, "registry list --to 127.0.0.1:1x": 1, "registry status --to " + status: 1,
		"registry status --json --to " + status: 0, "registry serve --config /nowhere": 1,
		"nonsense": 2, "--nonsense": 2, "version more": 2, "members": 2, "places": 2, "simulate nowhere": 2, "simulate a b": 2,
		"scale nowhere": 2, "scale servers --for -1s": 2, "scale a b": 2, "experiment pair": 2, "experiment zones --seeds 0": 2,
		"experiment zones more": 2, "registry list more": 2, "registry add a": 2, "registry remove": 2, "register": 2, "register a/b 10.0.0.1:1": 2,
		"register s nowhere": 2, "demo --for 1s": 2, "demo --nodes 1": 2, "demo more": 2,
	} {
		if got, _, errs := runCommand(t.Context(), strings.Fields(args)...); got != want {
			t.Errorf("arguments %q: got exit code %d, want %d; stderr: %s", args, got, want, errs)
		}
	}
}
