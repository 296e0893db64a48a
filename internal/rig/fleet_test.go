package rig

import (
	"context"
	"testing"
	"time"

	"cobaltward/internal/emulator"
)

func startFleet(t *testing.T, n int) (*Fleet, *World, context.Context) {
	t.Helper()
	r, ctx := newRig(t)
	w := r.NewWorld(*seed, boxes(4, "a", "b")...)
	f, err := w.NewFleet(FleetSpec{Nodes: n, Zones: []string{"a", "b"}, Quota: 1000, Classes: quick(), Tenants: tenants})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Start(within(t, ctx), f.Names...); err != nil {
		t.Fatal(err)
	}
	took, err := f.AwaitAgree(within(t, ctx), f.Names...)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("agreed after %v", took)
	return f, w, ctx
}

func TestFleetMemberKilled(t *testing.T) {
	f, w, ctx := startFleet(t, 7)
	load := w.Clients("c", emulator.ClientSpec{Rate: 100, Classes: quick(), Tenants: tenants, Tries: 3,
		Wait: 50 * time.Millisecond, Open: 0.6, Until: time.Hour}, f.Nodes["n00"], f.Nodes["n01"])
	f.Nodes["n06"].Kill()
	took, err := f.AwaitState(within(t, ctx), "n06", "dead", f.Without("n06")...)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("known dead after %v", took)
	w.Look(func() { load.clients.Stop() })
	if err := load.Wait(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
	w.clean(t)
}
