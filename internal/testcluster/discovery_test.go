package testcluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/registry"
)

// mirrorRegistry registers the servers of an environment with a registry, each by an agent, until the returned function
// ends one or all. The node reaches them at the addresses that the list has.
func mirrorRegistry(t *testing.T, w *Environment, g *Registry, node string) (drop func(id string)) {
	t.Helper()
	stops := make(map[string]func())
	var all sync.WaitGroup
	for id, b := range w.servers {
		at, err := w.listenFor(node, id, w.serverHandler(node, b.Spec.Zone, b))
		if err != nil {
			t.Fatal(err)
		}
		a := registry.Agent{Client: registry.NewClient(g.Addresses()), TTL: 2 * time.Second, Endpoint: registry.Endpoint{ID: id,
			Address: at, Zone: b.Spec.Zone, Kind: b.Spec.Kind, Cell: b.Spec.Cell, Phase: registry.PhaseUp, Size: 1}}
		ctx, stop := context.WithCancel(w.ctx)
		stops[id] = sync.OnceFunc(stop)
		all.Go(func() { _ = a.Run(ctx, 300*time.Millisecond) })
	}
	t.Cleanup(func() {
		for _, stop := range stops {
			stop()
		}
		all.Wait()
	})
	return func(id string) { stops[id]() }
}

// A node with three replicas of the registry serves on when the one that it watches dies, when all are down, and when
// the node restarts meanwhile; no server is removed because of the outage, and drains after it are noticed.
func TestNodeSurvivesItsListService(t *testing.T) {
	t.Parallel()
	r, ctx := newCluster(t)
	g, _ := startRegistry(t, r, ctx, 3)
	w := r.NewEnvironment(*seed, serverSpecs(4, "a")...)
	n, err := w.AddNode(NodeSpec{Name: "n0", Settings: Settings(0, 1, "a", shortClasses(), tenants, 4000)})
	if err != nil {
		t.Fatal(err)
	}
	n.Spec.InitialList = nil // all that it knows it has from the list service
	n.Spec.Discovery = strings.Join(g.Addresses(), ",")
	n.Spec.ListFile = n.dir + "/list"
	drop := mirrorRegistry(t, w, g, "n0")
	startReady(t, ctx, n)
	entries := func(want int) {
		t.Helper()
		err := Await(within(t, ctx), fmt.Sprint(want, " servers at the node"), func() bool {
			return strings.Contains(stats(ctx, n), fmt.Sprintf("app_registry_entries %d\n", want))
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	entries(4)
	err = Await(within(t, ctx), "the list to be kept", func() bool {
		raw, err := os.ReadFile(n.Spec.ListFile)
		return err == nil && bytes.Count(raw, []byte(`"host_port"`)) == 4
	})
	if err != nil {
		t.Fatal(err)
	}
	load := w.StartClients("c", emulator.ClientSpec{Rate: 80, Classes: shortClasses(), Tenants: tenants, MaxRetries: 2,
		RetryDelay: 100 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, n)
	kill := func(names ...string) {
		for _, name := range names {
			g.Process(name).Kill()
		}
	}
	kill("r0")
	if err := g.Start("r0"); err != nil {
		t.Fatal(err)
	}
	kill("r1")
	if err := g.Start("r1"); err != nil {
		t.Fatal(err)
	}
	kill(g.Names...)
	before := load.Stats()
	_ = sleep(ctx, 3*time.Second) // longer than a lease
	n.Kill()                      // and the node itself, with nobody to ask
	startReady(t, ctx, n)
	entries(4)
	_ = sleep(ctx, time.Second)
	if after := load.Stats(); after.InTime-before.InTime < 200 {
		t.Errorf("%d served while the list service was away for 4 s, at 80 a second", after.InTime-before.InTime)
	}
	for _, name := range g.Names {
		if err := g.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := g.AwaitLeader(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
	entries(4)
	drop("s-03")
	entries(3)
	w.WithLock(func() { load.clients.StopArrivals() })
	if err := load.Wait(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
	w.requireNoViolations(t)
	t.Logf("clients: %+v", load.Stats())
}

// stats returns a node's metrics as text; empty where it gives none.
func stats(ctx context.Context, n *Node) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Control()+"/stats", nil)
	if err != nil {
		return ""
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(text)
}
