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

// registerServers registers the servers of an environment with a registry, each by its own agent, with the addresses at
// which the node reaches them. The returned function stops the agent of a server, which drains and deregisters it. All
// agents stop at the end of the test.
func registerServers(t *testing.T, env *Environment, reg *Registry, node string) (stopAgent func(id string)) {
	t.Helper()
	stops := make(map[string]func())
	var agents sync.WaitGroup
	for id, s := range env.servers {
		address, err := env.listenFor(node, id, env.serverHandler(node, s.Spec.Zone, s))
		if err != nil {
			t.Fatal(err)
		}
		agent := registry.Agent{Client: registry.NewClient(reg.Addresses()), TTL: 2 * time.Second, Endpoint: registry.Endpoint{ID: id,
			Address: address, Zone: s.Spec.Zone, Kind: s.Spec.Kind, Cell: s.Spec.Cell, Phase: registry.PhaseUp, Size: 1}}
		ctx, stop := context.WithCancel(env.ctx)
		stops[id] = sync.OnceFunc(stop)
		agents.Go(func() { _ = agent.Run(ctx, 300*time.Millisecond) })
	}
	t.Cleanup(func() {
		for _, stop := range stops {
			stop()
		}
		agents.Wait()
	})
	return func(id string) { stops[id]() }
}

// A node that uses three registry replicas keeps serving while two replicas are killed and restarted one after the
// other, while all replicas are down, and after the node itself restarts during this outage. The node retains all
// servers through the outage. After the outage it notices that a server is removed.
func TestNodeSurvivesListServiceOutage(t *testing.T) {
	t.Parallel()
	cluster, ctx := newCluster(t)
	reg, _ := startRegistry(t, cluster, ctx, 3)
	env := cluster.NewEnvironment(*seed, serverSpecs(4, "a")...)
	n, err := env.AddNode(NodeSpec{Name: "n0", Settings: Settings(0, 1, "a", shortClasses(), tenants, 4000)})
	if err != nil {
		t.Fatal(err)
	}
	n.Spec.InitialList = nil // the node starts with an empty list
	n.Spec.Discovery = strings.Join(reg.Addresses(), ",")
	n.Spec.ListFile = n.dir + "/list"
	stopAgent := registerServers(t, env, reg, "n0")
	startReady(t, ctx, n)
	awaitEntries := func(want int) {
		t.Helper()
		err := Await(withStepTimeout(t, ctx), fmt.Sprint(want, " servers in the list of the node"), func() bool {
			return strings.Contains(metricsText(ctx, n), fmt.Sprintf("app_registry_entries %d\n", want))
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	awaitEntries(4)
	err = Await(withStepTimeout(t, ctx), "all servers in the cached list", func() bool {
		raw, err := os.ReadFile(n.Spec.ListFile)
		return err == nil && bytes.Count(raw, []byte(`"host_port"`)) == 4
	})
	if err != nil {
		t.Fatal(err)
	}
	load := env.StartClients("c", emulator.ClientSpec{Rate: 80, Classes: shortClasses(), Tenants: tenants, MaxRetries: 2,
		RetryDelay: 100 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, n)
	kill := func(names ...string) {
		for _, name := range names {
			reg.Process(name).Kill()
		}
	}
	kill("r0")
	if err := reg.Start("r0"); err != nil {
		t.Fatal(err)
	}
	kill("r1")
	if err := reg.Start("r1"); err != nil {
		t.Fatal(err)
	}
	kill(reg.Names...)
	before := load.Stats()
	_ = sleep(ctx, 3*time.Second) // longer than the TTL of a lease
	n.Kill()                      // the node restarts without any replica
	startReady(t, ctx, n)
	awaitEntries(4)
	_ = sleep(ctx, time.Second)
	if after := load.Stats(); after.InTime-before.InTime < 200 {
		t.Errorf("requests served in at least 4 s without the list service at 80 requests/s: got %d, want at least 200",
			after.InTime-before.InTime)
	}
	for _, name := range reg.Names {
		if err := reg.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := reg.AwaitLeader(withStepTimeout(t, ctx)); err != nil {
		t.Fatal(err)
	}
	awaitEntries(4)
	stopAgent("s-03")
	awaitEntries(3)
	env.WithLock(func() { load.clients.StopArrivals() })
	if err := load.Wait(withStepTimeout(t, ctx)); err != nil {
		t.Fatal(err)
	}
	env.requireNoViolations(t)
	t.Logf("clients: %+v", load.Stats())
}

// metricsText returns a node's metrics in text format, or an empty string if the request fails.
func metricsText(ctx context.Context, n *Node) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ControlAddress()+"/stats", nil)
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
