package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/registry"
)

// scopedHarness is a node that subscribes to a subset of one service, and a registry of three replicas that lists several
// services.
type scopedHarness struct {
	t         *testing.T
	ctx       context.Context
	env       *Environment
	reg       *Registry
	client    *registry.Client
	node      *Node
	addresses map[string]string // at which the node reaches the servers, by server

	lastRevision int64 // of the newest write

	mu       sync.Mutex
	attempts map[string]int  // by server
	inScope  map[string]bool // servers that were in scope at any time
}

// scopedList is the path of the list that the node subscribes to.
const scopedList = "/registry/instances?service=a&subset=3&position=0&nodes=1&zone=a"

// newScopedHarness starts the registry and the emulated servers, and creates the node without starting it.
func newScopedHarness(t *testing.T, servers int) *scopedHarness {
	cluster, ctx := newCluster(t)
	reg, _ := startRegistry(t, cluster, ctx, 3)
	h := &scopedHarness{t: t, ctx: ctx, env: cluster.NewEnvironment(*seed, serverSpecs(servers, "a")...), reg: reg, client: registry.NewClient(reg.Addresses()),
		addresses: make(map[string]string), attempts: make(map[string]int), inScope: make(map[string]bool)}
	n, err := h.env.AddNode(NodeSpec{Name: "n0", Settings: Settings(0, 1, "a", shortClasses(), tenants, 4000),
		Scope: map[string]any{"services": []string{"a"}, "subset": 3}})
	if err != nil {
		t.Fatal(err)
	}
	n.Spec.InitialList, n.Spec.Discovery, n.Spec.ListFile = nil, strings.Join(reg.Addresses(), ","), n.dir+"/list"
	h.node = n
	for id, s := range h.env.servers {
		if h.addresses[id], err = h.env.listenFor("n0", id, h.countAttempts(id, h.env.serverHandler("n0", "a", s))); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// countAttempts returns a handler that counts the attempts that reach a server.
func (h *scopedHarness) countAttempts(id string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.attempts[id]++
		h.mu.Unlock()
		handler.ServeHTTP(w, r)
	})
}

// writeInstance sends a write request for an instance, and records the revision of the response.
func (h *scopedHarness) writeInstance(method, id string, body any) {
	h.t.Helper()
	var response registry.WriteResponse
	if err := h.client.Do(withStepTimeout(h.t, h.ctx), method, "/registry/instances/"+id, body, &response, 0); err != nil {
		h.t.Fatal(err)
	}
	h.lastRevision = response.Revision
}

// register registers a server as an instance of a service.
func (h *scopedHarness) register(id, service string) {
	h.t.Helper()
	h.writeInstance(http.MethodPut, id, map[string]any{"host_port": h.addresses[id], "locality": "a", "service": service, "lease_ms": 600_000})
}

// awaitScopedList waits until the node has the current list of its scope, and returns the IDs of the servers in it.
func (h *scopedHarness) awaitScopedList(when string) (ids []string) {
	h.t.Helper()
	err := Await(withStepTimeout(h.t, h.ctx), "the node to have the list of its scope "+when, func() bool {
		var list registry.EndpointList
		if h.client.Do(h.ctx, http.MethodGet, scopedList, nil, &list, 0) != nil || list.Revision < h.lastRevision {
			return false
		}
		ids = ids[:0]
		for _, e := range list.Endpoints {
			ids = append(ids, e.ID+" "+e.Phase)
		}
		return slices.Equal(ids, h.cachedServers())
	})
	if err != nil {
		h.t.Fatal(err, h.cachedServers())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, entry := range ids {
		ids[i], _, _ = strings.Cut(entry, " ")
		h.inScope[ids[i]] = true
	}
	return ids
}

// cachedServers returns the IDs and phases of the servers in the file in which the node caches its list.
func (h *scopedHarness) cachedServers() (servers []string) {
	raw, err := os.ReadFile(h.node.Spec.ListFile)
	if err != nil {
		return nil
	}
	_, body, _ := strings.Cut(string(raw), "\n")
	var list registry.EndpointList
	if json.Unmarshal([]byte(body), &list) != nil {
		return nil
	}
	for _, e := range list.Endpoints {
		servers = append(servers, e.ID+" "+e.Phase)
	}
	return servers
}

// Servers in the subset of a scoped node are drained, removed and replaced, the leader of the registry is killed, and
// another service changes. Meanwhile the node serves requests, respects drains, and sends nothing to servers outside its
// scope.
func TestScopedNodeSurvivesFaults(t *testing.T) {
	t.Parallel()
	h := newScopedHarness(t, 12)
	for i := range 10 { // the other two are replacements
		h.register(fmt.Sprintf("s-%02d", i), []string{"a", "a", "b"}[i%3])
	}
	if _, err := h.node.Start(); err != nil {
		t.Fatal(err)
	}
	if err := h.node.Ready(withStepTimeout(t, h.ctx)); err != nil {
		t.Fatal(err)
	}
	first := h.awaitScopedList("after its start")
	if len(first) != 3 {
		t.Fatalf("servers in a subset of 3: got %v, want 3", first)
	}
	load := h.env.StartClients("c", emulator.ClientSpec{Rate: 80, Classes: shortClasses(), Tenants: tenants, MaxRetries: 2,
		RetryDelay: 100 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, h.node)
	h.replace(first[0], "s-10")
	leader, err := h.reg.AwaitLeader(withStepTimeout(t, h.ctx))
	if err != nil {
		t.Fatal(err)
	}
	h.reg.Process(leader).Kill()
	if _, err := h.reg.AwaitLeader(withStepTimeout(t, h.ctx)); err != nil { // may outlast the retries of h.client
		t.Fatal(err)
	}
	h.replace(first[1], "s-11")
	if err := h.reg.Start(leader); err != nil {
		t.Fatal(err)
	}
	h.writeInstance(http.MethodDelete, "s-02", nil) // of the other service
	h.awaitScopedList("after a change of another service")
	h.finish(load)
}

// replace drains and removes a server of the node's subset, and registers another one in its place.
func (h *scopedHarness) replace(old, next string) {
	h.t.Helper()
	h.writeInstance(http.MethodPut, old+"/phase", map[string]string{"phase": registry.PhaseDraining})
	if during := h.awaitScopedList("during the drain of " + old); !slices.Contains(during, old) || len(during) < 4 {
		h.t.Errorf("servers at the node while %s drains: got %v, want that server and at least 3 others",
			old, during)
	}
	h.env.WithLock(func() { h.env.Checker.ChangeNotified(h.env.now(), "n0", old, emulator.Draining) })
	h.writeInstance(http.MethodDelete, old, nil)
	h.awaitScopedList("after the removal of " + old)
	h.register(next, "a")
	if after := h.awaitScopedList("after the registration of " + next); !slices.Contains(after, next) || len(after) != 3 {
		h.t.Errorf("servers at the node after %s has replaced %s: got %v, want the new one and 2 others", next, old, after)
	}
}

// finish stops the clients, and checks that requests were served and that no attempt left the scope.
func (h *scopedHarness) finish(load *LoadGenerator) {
	h.t.Helper()
	err := Await(withStepTimeout(h.t, h.ctx), "at least 240 requests", func() bool { return load.Stats().Requests >= 240 })
	if err != nil {
		h.t.Fatal(err)
	}
	h.env.WithLock(func() { load.clients.StopArrivals() })
	if err := load.Wait(withStepTimeout(h.t, h.ctx)); err != nil {
		h.t.Fatal(err)
	}
	h.env.requireNoViolations(h.t)
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, n := range h.attempts {
		if !h.inScope[id] {
			h.t.Errorf("%d attempts went to server %s, which was never in scope, want 0", n, id)
		}
	}
	clientStats := load.Stats()
	if clientStats.InTime < clientStats.Requests/2 {
		h.t.Errorf("clients: got %+v, want at least half of the requests in time", clientStats)
	}
	h.t.Logf("clients: %+v; attempts by server: %v; servers in scope at any time: %v",
		clientStats, h.attempts, slices.Sorted(maps.Keys(h.inScope)))
}
