package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloerail/internal/scaletest"
)

const tinyScenario = `
name = "tiny"
dimension = "servers"
sizes = [5, 10, 20, 40, 80]
runs = 1
seed = 7
for = "1m"
target = 1000
[held]
tenants = 5
nodes = 2
requests = 100
[[budgets]]
measure = "heap"
most = 100000000
`

func writeScenario(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runCommand runs the program and returns its exit code and output.
func runCommand(ctx context.Context, args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(ctx, args, &o, &e)
	return status, o.String(), e.String()
}

func TestScaleRejectsInvalidUsage(t *testing.T) {
	mistyped := writeScenario(t, strings.Replace(tinyScenario, "runs", "runz", 1))
	for _, tc := range []struct {
		args    []string
		message string
	}{
		{[]string{"scale", "routes"}, "not measured yet"},
		{[]string{"scale", "nowhere"}, "no such file"},
		{[]string{"scale", mistyped}, "unknown key runz"},
		{[]string{"scale", "servers", "--for", "-1s"}, "for, most"},
		{[]string{"scale", "servers", "--fro", "1s"}, "unknown flag"},
	} {
		status, out, errs := runCommand(t.Context(), tc.args...)
		if status != 2 || out != "" || !strings.Contains(errs, tc.message) {
			t.Errorf("arguments %v: got exit code %d, stderr %q; want 2, no output, and an error with the reason", tc.args, status, errs)
		}
	}
}

func TestScalePrintsMeasurements(t *testing.T) {
	path, plot := writeScenario(t, tinyScenario), filepath.Join(t.TempDir(), "plot.svg")
	status, out, errs := runCommand(t.Context(), "scale", path, "--seed", "9", "--plot", plot)
	if status != 0 {
		t.Fatalf("got exit code %d, want 0; stderr: %s", status, errs)
	}
	for _, want := range []string{"seed 9", "decision CPU", "whole list", "linear", "dimensions not measured: services"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
	if svg, err := os.ReadFile(plot); err != nil || !bytes.Contains(svg, []byte("<svg")) {
		t.Errorf("plot: want a readable SVG file; error reading it: %v", err)
	}
	if !strings.Contains(errs, "5 of 5: servers 80, run 1") {
		t.Errorf("progress lacks the last point: %s", errs)
	}
}

func TestCancelledScalePrintsPartialReport(t *testing.T) {
	path := writeScenario(t, tinyScenario)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	status, out, errs := runCommand(ctx, "scale", path, "--json")
	var r scaletest.Report
	if err := json.Unmarshal([]byte(out), &r); err != nil {
		t.Fatal(err)
	}
	if status != 1 || r.Stopped == "" || !strings.Contains(errs, "stopped") {
		t.Errorf("cancelled run: got exit code %d, stopped %q, stderr %q; want 1 and a reason in both",
			status, r.Stopped, errs)
	}
}

func TestScaleListsScenarios(t *testing.T) {
	status, out, _ := runCommand(t.Context(), "scale")
	if status != 0 || !strings.Contains(out, "tenants") || !strings.Contains(out, "routes     not measured yet") {
		t.Errorf("got exit code %d, want 0 and a list with tenants and routes:\n%s", status, out)
	}
}
