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

// scopedHarness is a node that subscribes to a subset of one service, at three replicas that list several services.
type scopedHarness struct {
	t    *testing.T
	ctx  context.Context
	w    *Environment
	g    *Registry
	c    *registry.Client
	node *Node
	at   map[string]string // where the node reaches the servers

	written int64 // the revision of the newest write

	mu      sync.Mutex
	sent    map[string]int // attempts, by box
	inScope map[string]bool
}

// scopedList is the path of the list that the node subscribes to.
const scopedList = "/registry/instances?service=a&subset=3&position=0&nodes=1&zone=a"

func newScopedHarness(t *testing.T, servers int) *scopedHarness {
	r, ctx := newCluster(t)
	g, _ := startRegistry(t, r, ctx, 3)
	x := &scopedHarness{t: t, ctx: ctx, w: r.NewEnvironment(*seed, serverSpecs(servers, "a")...), g: g, c: registry.NewClient(g.Addresses()),
		at: make(map[string]string), sent: make(map[string]int), inScope: make(map[string]bool)}
	n, err := x.w.AddNode(NodeSpec{Name: "n0", Settings: Settings(0, 1, "a", shortClasses(), tenants, 4000),
		Scope: map[string]any{"services": []string{"a"}, "subset": 3}})
	if err != nil {
		t.Fatal(err)
	}
	n.Spec.InitialList, n.Spec.Discovery, n.Spec.ListFile = nil, strings.Join(g.Addresses(), ","), n.dir+"/list"
	x.node = n
	for id, b := range x.w.servers {
		if x.at[id], err = x.w.listenFor("n0", id, x.counted(id, x.w.serverHandler("n0", "a", b))); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// counted counts the attempts that reach a server.
func (x *scopedHarness) counted(id string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x.mu.Lock()
		x.sent[id]++
		x.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// writeInstance changes an instance in the list.
func (x *scopedHarness) writeInstance(method, id string, body any) {
	x.t.Helper()
	var a registry.WriteResponse
	if err := x.c.Do(within(x.t, x.ctx), method, "/registry/instances/"+id, body, &a, 0); err != nil {
		x.t.Fatal(err)
	}
	x.written = a.Revision
}

func (x *scopedHarness) register(id, service string) {
	x.t.Helper()
	x.writeInstance(http.MethodPut, id, map[string]any{"host_port": x.at[id], "locality": "a", "service": service, "lease_ms": 600_000})
}

// awaitFollowed waits until the node has the list of its scope, and returns the IDs in it.
func (x *scopedHarness) awaitFollowed(what string) (ids []string) {
	x.t.Helper()
	err := Await(within(x.t, x.ctx), "the node to have its scope "+what, func() bool {
		var list registry.EndpointList
		if x.c.Do(x.ctx, http.MethodGet, scopedList, nil, &list, 0) != nil || list.Revision < x.written {
			return false
		}
		ids = ids[:0]
		for _, e := range list.Endpoints {
			ids = append(ids, e.ID+" "+e.Phase)
		}
		return slices.Equal(ids, x.subscribedServers())
	})
	if err != nil {
		x.t.Fatal(err, x.subscribedServers())
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, server := range ids {
		ids[i], _, _ = strings.Cut(server, " ")
		x.inScope[ids[i]] = true
	}
	return ids
}

// subscribedServers returns the node's list, from the file in which it caches it.
func (x *scopedHarness) subscribedServers() (servers []string) {
	raw, err := os.ReadFile(x.node.Spec.ListFile)
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

// A node with a scope through the death of the registry's leader, the drain, end and replacement of servers of its subset,
// and changes elsewhere: requests are served, drains are kept, and nothing is sent to a server outside of its scope.
func TestScopedNodeSurvivesFaults(t *testing.T) {
	t.Parallel()
	x := newScopedHarness(t, 12)
	for i := range 10 { // two more are there for replacements
		x.register(fmt.Sprintf("s-%02d", i), []string{"a", "a", "b"}[i%3])
	}
	if _, err := x.node.Start(); err != nil {
		t.Fatal(err)
	}
	if err := x.node.Ready(within(t, x.ctx)); err != nil {
		t.Fatal(err)
	}
	first := x.awaitFollowed("at its start")
	if len(first) != 3 {
		t.Fatalf("a subset of 3 has %v", first)
	}
	load := x.w.StartClients("c", emulator.ClientSpec{Rate: 80, Classes: shortClasses(), Tenants: tenants, MaxRetries: 2,
		RetryDelay: 100 * time.Millisecond, TimeoutFraction: 0.6, Until: time.Hour}, x.node)
	x.replace(first[0], "s-10")
	leader, err := x.g.AwaitLeader(within(t, x.ctx))
	if err != nil {
		t.Fatal(err)
	}
	x.g.Process(leader).Kill()
	if _, err := x.g.AwaitLeader(within(t, x.ctx)); err != nil { // a loaded machine may elect for longer than clients try
		t.Fatal(err)
	}
	x.replace(first[1], "s-11")
	if err := x.g.Start(leader); err != nil {
		t.Fatal(err)
	}
	x.writeInstance(http.MethodDelete, "s-02", nil) // of the other service
	x.awaitFollowed("after a change elsewhere")
	x.finish(load)
}

// replace drains and removes a server of the node's subset, and registers another in its place.
func (x *scopedHarness) replace(old, next string) {
	x.t.Helper()
	x.writeInstance(http.MethodPut, old+"/phase", map[string]string{"phase": registry.PhaseDraining})
	if during := x.awaitFollowed("in the drain of " + old); !slices.Contains(during, old) || len(during) < 4 {
		x.t.Errorf("while %s drains, the node has %v", old, during)
	}
	x.w.WithLock(func() { x.w.Checker.ChangeNotified(x.w.now(), "n0", old, emulator.Draining) })
	x.writeInstance(http.MethodDelete, old, nil)
	x.awaitFollowed("after the end of " + old)
	x.register(next, "a")
	if after := x.awaitFollowed("with " + next); !slices.Contains(after, next) || len(after) != 3 {
		x.t.Errorf("with %s in the place of %s, the node has %v", next, old, after)
	}
}

// finish ends the load, and checks what was served and sent.
func (x *scopedHarness) finish(load *LoadGenerator) {
	x.t.Helper()
	err := Await(within(x.t, x.ctx), "enough requests", func() bool { return load.Stats().Requests >= 240 })
	if err != nil {
		x.t.Fatal(err)
	}
	x.w.WithLock(func() { load.clients.StopArrivals() })
	if err := load.Wait(within(x.t, x.ctx)); err != nil {
		x.t.Fatal(err)
	}
	x.w.requireNoViolations(x.t)
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, n := range x.sent {
		if !x.inScope[id] {
			x.t.Errorf("%d attempts went to %s, which was never in scope", n, id)
		}
	}
	sums := load.Stats()
	if sums.InTime < sums.Requests/2 {
		x.t.Errorf("clients: %+v", sums)
	}
	x.t.Logf("clients: %+v; sent to %v; in scope at any time: %v", sums, x.sent, slices.Sorted(maps.Keys(x.inScope)))
}
