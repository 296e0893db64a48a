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

// put is one write to an instance: its first, or one that wants a version.
type put struct {
	id    string
	match int64 // 0 for any
}

// came is what came of it: the version that it made, the other version that stood there, or nothing known.
type came struct {
	version  int64
	mismatch bool
	unknown  bool
}

// held is what an instance's version may be: known, or anything above.
type held struct {
	version int64
	known   bool
}

// versions is the order that writes to an instance promise: each takes effect once, at a moment between its
// call and its answer, if it was answered well; perhaps, if it wasn't.
var versions = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range all {
			id := op.Input.(put).id
			byID[id] = append(byID[id], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byID {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() []any { return []any{held{known: true}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(held), input.(put), output.(came)
		may := in.match == 0 || s.known && s.version == in.match || !s.known && in.match > s.version
		switch {
		case out.unknown && may:
			return []any{s, held{version: s.version}}
		case out.unknown:
			return []any{s}
		case out.mismatch:
			if out.version != in.match && (s.known && s.version == out.version || !s.known && out.version > s.version) {
				return []any{held{out.version, true}}
			}
			return nil
		case may && out.version > s.version:
			return []any{held{out.version, true}}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// writers write to a few instances through all replicas until ctx ends, and keep the history.
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
				in := put{id: fmt.Sprint("s-", rng.IntN(3))}
				if rng.IntN(2) == 0 {
					h.mu.Lock()
					in.match = h.newest[in.id]
					h.mu.Unlock()
				}
				op := porcupine.Operation{ClientId: w, Input: in, Call: int64(time.Since(start))}
				var a registry.WriteResponse
				err := c.Do(ctx, http.MethodPut, "/registry/instances/"+in.id, map[string]any{"host_port": "10.0.0.1:9000",
					"lease_ms": 600_000, "up_since_ms": w*1_000_000 + i + 1}, &a, in.match) // each entry is another
				out := came{version: a.Version}
				var refused registry.StatusError
				switch {
				case errors.As(err, &refused) && refused.StatusCode == http.StatusPreconditionFailed:
					continue // it took no effect, and tells no version here
				case err != nil:
					out = came{unknown: true}
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
				_ = wait(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
			}
		})
	}
	all.Wait()
}

// follow watches one replica until ctx ends, and says where a revision went back within its epoch.
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

// startRegistry starts so many replicas, and waits until one leads.
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

// Three replicas live through the death of leaders, a leader that stands still, a split, and the end of all of
// them: writes are in one order, none that was acknowledged is lost, and no watcher sees a revision go back.
func TestRegistryThroughTroubles(t *testing.T) {
	t.Parallel()
	r, ctx := newRig(t)
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
		go func() { watchers <- followList(under, g.Listen(name)) }()
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
	g.Cut(name, true)
	err := Await(within(t, ctx), "the cut-off leader to refuse its list", func() bool {
		return Get(ctx, g.Listen(name), "/registry/instances", nil) != nil
	})
	if err != nil {
		t.Fatal(err)
	}
	progress()
	g.Cut(name, false)
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

// check holds the history to the promised order, and the list to what was acknowledged.
func check(t *testing.T, ctx context.Context, g *Registry, h *writers) {
	t.Helper()
	if res := porcupine.CheckOperationsTimeout(versions.ToModel(), h.history, long); res != porcupine.Ok {
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

// A replica whose folder was spoilt says so by name, and serves nothing of it; one that lost its folder is
// given the list by the others.
func TestRegistryFolders(t *testing.T) {
	t.Parallel()
	r, ctx := newRig(t)
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
	path := filepath.Join(g.Folder(other), "commands.db")
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
	if err := os.RemoveAll(g.Folder(other)); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(other); err != nil {
		t.Fatal(err)
	}
	err = Await(within(t, ctx), "the replica to have the list again", func() bool {
		var l registry.EndpointList
		return Get(ctx, g.Listen(other), "/registry/instances", &l) == nil && len(l.Endpoints) == 20
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Replicas are replaced one by one under writes, as for an upgrade: one order of writes, and none lost.
func TestRegistryUpgradedOneByOne(t *testing.T) {
	t.Parallel()
	r, ctx := newRig(t)
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
			return Get(ctx, g.Listen(name), "/registry/instances", nil) == nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	stop()
	work.Wait()
	check(t, ctx, g, h)
}

// A service that is given an older copy of its folder, and told so, begins a new epoch: no watcher sees a revision
// that it has seen already, and each takes the whole list.
func TestRegistryRestoredFromACopy(t *testing.T) {
	t.Parallel()
	r, ctx := newRig(t)
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
		if err := os.CopyFS(copied, os.DirFS(g.Folder(name))); err != nil {
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
		if err := os.RemoveAll(g.Folder(name)); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(g.Folder(name), os.DirFS(copied)); err != nil {
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
