package testcluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sloerail/internal/registry"
)

// registration is one write to an instance, unconditional or conditional on a version.
type registration struct {
	id    string
	match int64 // 0 for any
}

// observation is the outcome of a write: the version that it made, the version that it conflicted with, or unknown.
type observation struct {
	version  int64
	mismatch bool
	unknown  bool
}

// storedVersion is an instance's version in the model: known, or any greater one.
type storedVersion struct {
	version int64
	known   bool
}

// versions is the linearizability model of writes to an instance: each takes effect once between its call and its
// response if it succeeded; at most once if its outcome is unknown.
var versions = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range all {
			id := op.Input.(registration).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byID {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{storedVersion{known: true}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(storedVersion), input.(registration), output.(observation)
		may := in.match == 0 || s.known && s.version == in.match || !s.known && in.match > s.version
		switch {
		case out.unknown && may:
			return []any{s, storedVersion{version: s.version}}
		case out.unknown:
			return []any{s}
		case out.mismatch:
			if out.version != in.match && (s.known && s.version == out.version || !s.known && out.version > s.version) {
				return []any{storedVersion{out.version, true}}
			}
			return nil
		case may && out.version > s.version:
			return []any{storedVersion{out.version, true}}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// writers write to a few instances through all replicas until ctx ends, and record the history.
type writers struct {
	mu      sync.Mutex
	history []porcupine.Operation
	newest  map[string]int64 // acknowledged
}

func (h *writers) run(ctx context.Context, g *Registry, n int, seed uint64) {
	start := time.Now()
	var all sync.WaitGroup
	for w := range n {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			c := registry.NewClient(g.Addresses())
			for i := 0; ctx.Err() == nil; i++ {
				in := registration{id: fmt.Sprint("s-", rng.IntN(3))}
				if rng.IntN(2) == 0 {
					h.mu.Lock()
					in.match = h.newest[in.id]
					h.mu.Unlock()
				}
				op := porcupine.Operation{ClientId: w, Input: in, Call: int64(time.Since(start))}
				var a registry.WriteResponse
				err := c.Do(ctx, http.MethodPut, "/registry/instances/"+in.id, map[string]any{"host_port": "10.0.0.1:9000",
					"lease_ms": 600_000, "up_since_ms": w*1_000_000 + i + 1}, &a, in.match) // each entry is another
				out := observation{version: a.Version}
				var refused registry.StatusError
				switch {
				case errors.As(err, &refused) && refused.StatusCode == http.StatusPreconditionFailed:
					continue // it took no effect, and tells no version here
				case err != nil:
					out = observation{unknown: true}
				}
				op.Output, op.Return = out, int64(time.Since(start))
				if out.unknown {
					op.Return = int64(time.Hour) // perhaps much later
				}
				h.mu.Lock()
				if h.history = append(h.history, op); !out.unknown {
					h.newest[in.id] = max(h.newest[in.id], out.version)
				}
				h.mu.Unlock()
				_ = sleep(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
			}
		})
	}
	all.Wait()
}

// followList watches one replica until ctx ends, and returns an error where a revision went back within its epoch.
func followList(ctx context.Context, at string) error {
	c, seen := registry.NewClient([]string{at}), int64(-1)
	for ctx.Err() == nil {
		var l registry.EndpointList
		path := fmt.Sprintf("/registry/instances?index=%d&wait=500", seen)
		if err := c.Watch(ctx, path, 500*time.Millisecond, &l); err != nil {
			continue // away, or not fresh
		}
		if l.Revision < seen {
			return fmt.Errorf("%s: revision %d after %d", at, l.Revision, seen)
		}
		seen = l.Revision
	}
	return nil
}

// startRegistry starts so many replicas, and waits for a leader.
func startRegistry(t *testing.T, r *Cluster, ctx context.Context, n int) (g *Registry, leader string) {
	t.Helper()
	g, err := r.NewRegistry(n)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range g.Names {
		if err := g.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	if leader, err = g.AwaitLeader(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
	return g, leader
}

// Three replicas through the death of leaders, a paused leader, a partition and the end of all of them: writes are
// linearizable, no acknowledged one is lost, and no watcher sees a revision go back.
func TestRegistryStaysLinearizableThroughFaults(t *testing.T) {
	t.Parallel()
	r, ctx := newCluster(t)
	g, _ := startRegistry(t, r, ctx, 3)
	start := func(names ...string) {
		t.Helper()
		for _, name := range names {
			if err := g.Start(name); err != nil {
				t.Fatal(err)
			}
		}
	}
	leader := func() string {
		t.Helper()
		name, err := g.AwaitLeader(within(t, ctx))
		if err != nil {
			t.Fatal(err)
		}
		return name
	}
	h := &writers{newest: make(map[string]int64)}
	under, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { h.run(under, g, 3, *seed) })
	watchers := make(chan error, len(g.Names))
	for _, name := range g.Names {
		go func() { watchers <- followList(under, g.Address(name)) }()
	}
	progress := func() {
		t.Helper()
		h.mu.Lock()
		from := len(h.newest) + len(h.history)
		h.mu.Unlock()
		err := Await(within(t, ctx), "further writes", func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.newest)+len(h.history) > from+10
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	progress()
	for range 2 {
		name := leader()
		began := time.Now()
		g.Process(name).Kill()
		next := leader()
		t.Logf("leader %s killed: %s leads after %v", name, next, time.Since(began).Round(time.Millisecond))
		progress()
		start(name)
	}
	name := leader()
	g.Process(name).Pause(ctx, 2*time.Second) // it comes back believing that it leads
	progress()
	name = leader()
	g.SetIsolated(name, true)
	err := Await(within(t, ctx), "the cut-off leader to refuse its list", func() bool {
		return Get(ctx, g.Address(name), "/registry/instances", nil) != nil
	})
	if err != nil {
		t.Fatal(err)
	}
	progress()
	g.SetIsolated(name, false)
	for _, name := range g.Names {
		g.Process(name).Kill()
	}
	start(g.Names...)
	leader()
	progress()
	stop()
	work.Wait()
	for range g.Names {
		if err := <-watchers; err != nil {
			t.Error(err)
		}
	}
	check(t, ctx, g, h)
}

// check requires a linearizable history, and every acknowledged write in the list.
func check(t *testing.T, ctx context.Context, g *Registry, h *writers) {
	t.Helper()
	if res := porcupine.CheckOperationsTimeout(versions.ToModel(), h.history, stepTimeout); res != porcupine.Ok {
		t.Errorf("%d writes are in no order: %v", len(h.history), res)
	}
	if _, err := g.AwaitLeader(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
	var l registry.EndpointList
	c := registry.NewClient(g.Addresses())
	for id, version := range h.newest {
		var a registry.WriteResponse
		if err := c.Do(ctx, http.MethodPut, "/registry/instances/"+id+"/lease", nil, &a, 0); err != nil || a.Version < version {
			t.Errorf("%s: version %d, %v; version %d was acknowledged", id, a.Version, err, version)
		}
	}
	if err := c.Do(ctx, http.MethodGet, "/registry/instances", nil, &l, 0); err != nil || len(l.Endpoints) != len(h.newest) {
		t.Errorf("the list has %d instances, %v; want %d", len(l.Endpoints), err, len(h.newest))
	}
	t.Logf("%d writes", len(h.history))
}

// A replica with damaged data names the file and serves nothing of it; one without data gets the list from the others.
func TestReplicaRefusesDamagedDataDirAndRefillsEmptyOne(t *testing.T) {
	t.Parallel()
	r, ctx := newCluster(t)
	g, leader := startRegistry(t, r, ctx, 3)
	c := registry.NewClient(g.Addresses())
	for i := range 20 {
		body := map[string]any{"host_port": "10.0.0.1:9000", "locality": "needle"}
		if err := c.Do(ctx, http.MethodPut, fmt.Sprint("/registry/instances/s-", i), body, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	var other string
	for _, name := range g.Names {
		if name != leader {
			other = name
		}
	}
	p := g.Process(other)
	p.Kill()
	path := filepath.Join(g.DataDir(other), "commands.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := strings.ReplaceAll(string(raw), "needle", "noodle")
	if err := os.WriteFile(path, []byte(spoilt), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(other); err != nil {
		t.Fatal(err)
	}
	p = g.Process(other)
	if err := p.Wait(within(t, ctx)); err == nil || !strings.Contains(p.Log(), "commands.db: command") {
		t.Errorf("a spoilt folder: %v\n%s", err, p.Log())
	}
	if err := os.RemoveAll(g.DataDir(other)); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(other); err != nil {
		t.Fatal(err)
	}
	err = Await(within(t, ctx), "the replica to have the list again", func() bool {
		var l registry.EndpointList
		return Get(ctx, g.Address(other), "/registry/instances", &l) == nil && len(l.Endpoints) == 20
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Replicas are replaced one by one under writes, as for an upgrade: one order of writes, and none lost.
func TestRegistryUpgradedOneByOne(t *testing.T) {
	t.Parallel()
	r, ctx := newCluster(t)
	g, _ := startRegistry(t, r, ctx, 3)
	h := &writers{newest: make(map[string]int64)}
	under, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { h.run(under, g, 3, *seed) })
	for _, name := range g.Names {
		p := g.Process(name)
		p.Signal(syscall.SIGTERM)
		if err := p.Wait(within(t, ctx)); err != nil {
			t.Errorf("%s ended with %v", name, err)
		}
		if err := g.Start(name); err != nil {
			t.Fatal(err)
		}
		if _, err := g.AwaitLeader(within(t, ctx)); err != nil {
			t.Fatal(err)
		}
		err := Await(within(t, ctx), name+" to have its list", func() bool {
			return Get(ctx, g.Address(name), "/registry/instances", nil) == nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	stop()
	work.Wait()
	check(t, ctx, g, h)
}

// A registry that is restored from an older copy of its data begins a new epoch: no watcher sees a revision that it has
// seen already, and each gets the complete list.
func TestRegistryRestoredFromACopy(t *testing.T) {
	t.Parallel()
	r, ctx := newCluster(t)
	g, name := startRegistry(t, r, ctx, 1)
	c := registry.NewClient(g.Addresses())
	put := func(id string) {
		t.Helper()
		body := map[string]any{"host_port": "10.0.0.1:9000"}
		if err := c.Do(ctx, http.MethodPut, "/registry/instances/"+id, body, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	restart := func(between func()) {
		t.Helper()
		p := g.Process(name)
		p.Signal(syscall.SIGTERM)
		if err := p.Wait(within(t, ctx)); err != nil {
			t.Errorf("it ended with %v", err)
		}
		between()
		if err := g.Start(name); err != nil {
			t.Fatal(err)
		}
		if _, err := g.AwaitLeader(within(t, ctx)); err != nil {
			t.Fatal(err)
		}
	}
	copied := filepath.Join(t.TempDir(), "copy")
	put("s-1")
	restart(func() {
		if err := os.CopyFS(copied, os.DirFS(g.DataDir(name))); err != nil {
			t.Fatal(err)
		}
	})
	put("s-2")
	put("s-3")
	var last, now registry.EndpointList
	if err := c.Do(ctx, http.MethodGet, "/registry/instances", nil, &last, 0); err != nil || len(last.Endpoints) != 3 {
		t.Fatalf("%d instances, %v", len(last.Endpoints), err)
	}
	restart(func() {
		if err := os.RemoveAll(g.DataDir(name)); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(g.DataDir(name), os.DirFS(copied)); err != nil {
			t.Fatal(err)
		}
		g.replicas[name].args = []string{"--new-epoch"}
	})
	path := fmt.Sprintf("/registry/instances?index=%d&wait=200", last.Revision)
	err := Await(within(t, ctx), "the copy", func() bool {
		return c.Watch(ctx, path, 200*time.Millisecond, &now) == nil && now.Complete
	})
	if err != nil {
		t.Fatal(err)
	}
	if now.Revision <= last.Revision || len(now.Endpoints) != 1 {
		t.Errorf("the copy has revision %d and %d instances, where %d was seen before", now.Revision, len(now.Endpoints), last.Revision)
	}
}
