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

// writeInput is the input of one write to an instance: its ID and the version that the write requires.
type writeInput struct {
	id    string
	match int64 // required version; 0 for an unconditional write
}

// writeOutcome is the outcome of a write. The version is the new one, or the conflicting one if mismatch is set. If
// unknown is set, the write may or may not have taken effect.
type writeOutcome struct {
	version  int64
	mismatch bool
	unknown  bool
}

// storedVersion is the state of an instance in the model. If known is false, the instance's version is unknown, but
// above the field version.
type storedVersion struct {
	version int64
	known   bool
}

// versionModel is the linearizability model of the writes to an instance. A successful write takes effect exactly once
// between its call and its response; a write with unknown outcome takes effect at most once.
var versionModel = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range all {
			id := op.Input.(writeInput).id
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
		s, in, out := state.(storedVersion), input.(writeInput), output.(writeOutcome)
		matches := in.match == 0 || s.known && s.version == in.match || !s.known && in.match > s.version
		switch {
		case out.unknown && matches:
			return []any{s, storedVersion{version: s.version}}
		case out.unknown:
			return []any{s}
		case out.mismatch:
			if out.version != in.match && (s.known && s.version == out.version || !s.known && out.version > s.version) {
				return []any{storedVersion{out.version, true}}
			}
			return nil
		case matches && out.version > s.version:
			return []any{storedVersion{out.version, true}}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// writeHistory records the writes of concurrent clients to a few instances.
type writeHistory struct {
	mu           sync.Mutex
	operations   []porcupine.Operation
	acknowledged map[string]int64 // newest acknowledged version by instance
}

// run lets n clients write through all replicas until ctx ends.
func (h *writeHistory) run(ctx context.Context, reg *Registry, n int, seed uint64) {
	start := time.Now()
	var goroutines sync.WaitGroup
	for w := range n {
		goroutines.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)))
			client := registry.NewClient(reg.Addresses())
			for i := 0; ctx.Err() == nil; i++ {
				in := writeInput{id: fmt.Sprint("s-", rng.IntN(3))}
				if rng.IntN(2) == 0 {
					h.mu.Lock()
					in.match = h.acknowledged[in.id]
					h.mu.Unlock()
				}
				op := porcupine.Operation{ClientId: w, Input: in, Call: int64(time.Since(start))}
				var response registry.WriteResponse
				err := client.Do(ctx, http.MethodPut, "/registry/instances/"+in.id, map[string]any{"host_port": "10.0.0.1:9000",
					"lease_ms": 600_000, "up_since_ms": w*1_000_000 + i + 1}, &response, in.match) // unique entries
				out := writeOutcome{version: response.Version}
				var refused registry.StatusError
				switch {
				case errors.As(err, &refused) && refused.StatusCode == http.StatusPreconditionFailed:
					continue // the write had no effect, and the error contains no version
				case err != nil:
					out = writeOutcome{unknown: true}
				}
				op.Output, op.Return = out, int64(time.Since(start))
				if out.unknown {
					op.Return = int64(time.Hour) // it may take effect much later
				}
				h.mu.Lock()
				if h.operations = append(h.operations, op); !out.unknown {
					h.acknowledged[in.id] = max(h.acknowledged[in.id], out.version)
				}
				h.mu.Unlock()
				_ = sleep(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
			}
		})
	}
	goroutines.Wait()
}

// watchRevisions watches the list at one replica until ctx ends. It returns an error if a revision decreases.
func watchRevisions(ctx context.Context, address string) error {
	client, seen := registry.NewClient([]string{address}), int64(-1)
	for ctx.Err() == nil {
		var list registry.EndpointList
		path := fmt.Sprintf("/registry/instances?index=%d&wait=500", seen)
		if err := client.Watch(ctx, path, 500*time.Millisecond, &list); err != nil {
			continue // the replica is down, or its list is not fresh
		}
		if list.Revision < seen {
			return fmt.Errorf("%s: revision went back: got %d after %d", address, list.Revision, seen)
		}
		seen = list.Revision
	}
	return nil
}

// startRegistry starts a registry with n replicas and waits for a leader.
func startRegistry(t *testing.T, cluster *Cluster, ctx context.Context, n int) (reg *Registry, leader string) {
	t.Helper()
	reg, err := cluster.NewRegistry(n)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range reg.Names {
		if err := reg.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	if leader, err = reg.AwaitLeader(withStepTimeout(t, ctx)); err != nil {
		t.Fatal(err)
	}
	return reg, leader
}

// While leaders are killed, paused and isolated, and while all three replicas restart, writes are linearizable, no
// acknowledged write is lost, and no watcher sees a revision go back.
func TestRegistryStaysLinearizableThroughFaults(t *testing.T) {
	t.Parallel()
	cluster, ctx := newCluster(t)
	reg, _ := startRegistry(t, cluster, ctx, 3)
	start := func(names ...string) {
		t.Helper()
		for _, name := range names {
			if err := reg.Start(name); err != nil {
				t.Fatal(err)
			}
		}
	}
	leader := func() string {
		t.Helper()
		name, err := reg.AwaitLeader(withStepTimeout(t, ctx))
		if err != nil {
			t.Fatal(err)
		}
		return name
	}
	h := &writeHistory{acknowledged: make(map[string]int64)}
	runCtx, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { h.run(runCtx, reg, 3, *seed) })
	watchers := make(chan error, len(reg.Names))
	for _, name := range reg.Names {
		go func() { watchers <- watchRevisions(runCtx, reg.Address(name)) }()
	}
	awaitWrites := func() {
		t.Helper()
		h.mu.Lock()
		from := len(h.acknowledged) + len(h.operations)
		h.mu.Unlock()
		err := Await(withStepTimeout(t, ctx), "further writes", func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return len(h.acknowledged)+len(h.operations) > from+10
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	awaitWrites()
	for range 2 {
		name := leader()
		began := time.Now()
		reg.Process(name).Kill()
		next := leader()
		t.Logf("leader %s killed: %s is the leader after %v", name, next, time.Since(began).Round(time.Millisecond))
		awaitWrites()
		start(name)
	}
	name := leader()
	reg.Process(name).Pause(ctx, 2*time.Second) // after the pause it still believes that it is the leader
	awaitWrites()
	name = leader()
	reg.SetIsolated(name, true)
	err := Await(withStepTimeout(t, ctx), "the isolated leader to reject list requests", func() bool {
		return Get(ctx, reg.Address(name), "/registry/instances", nil) != nil
	})
	if err != nil {
		t.Fatal(err)
	}
	awaitWrites()
	reg.SetIsolated(name, false)
	for _, name := range reg.Names {
		reg.Process(name).Kill()
	}
	start(reg.Names...)
	leader()
	awaitWrites()
	stop()
	work.Wait()
	for range reg.Names {
		if err := <-watchers; err != nil {
			t.Error(err)
		}
	}
	checkHistory(t, ctx, reg, h)
}

// checkHistory fails the test if the history is not linearizable, if an instance has an older version than the newest
// acknowledged one, or if the list has another number of instances than were written.
func checkHistory(t *testing.T, ctx context.Context, reg *Registry, h *writeHistory) {
	t.Helper()
	if res := porcupine.CheckOperationsTimeout(versionModel.ToModel(), h.operations, stepTimeout); res != porcupine.Ok {
		t.Errorf("linearizability check of %d writes: got %v, want Ok", len(h.operations), res)
	}
	if _, err := reg.AwaitLeader(withStepTimeout(t, ctx)); err != nil {
		t.Fatal(err)
	}
	var list registry.EndpointList
	client := registry.NewClient(reg.Addresses())
	for id, version := range h.acknowledged {
		var response registry.WriteResponse
		if err := client.Do(ctx, http.MethodPut, "/registry/instances/"+id+"/lease", nil, &response, 0); err != nil || response.Version < version {
			t.Errorf("instance %s: got version %d, error %v, want at least the acknowledged version %d",
				id, response.Version, err, version)
		}
	}
	if err := client.Do(ctx, http.MethodGet, "/registry/instances", nil, &list, 0); err != nil || len(list.Endpoints) != len(h.acknowledged) {
		t.Errorf("instances in the list: got %d, error %v, want %d", len(list.Endpoints), err, len(h.acknowledged))
	}
	t.Logf("%d writes", len(h.operations))
}

// A replica with damaged data exits with an error that names the file. A replica without data gets the list from the
// others.
func TestReplicaRefusesDamagedDataDirAndRefillsEmptyOne(t *testing.T) {
	t.Parallel()
	cluster, ctx := newCluster(t)
	reg, leader := startRegistry(t, cluster, ctx, 3)
	client := registry.NewClient(reg.Addresses())
	for i := range 20 {
		body := map[string]any{"host_port": "10.0.0.1:9000", "locality": "needle"}
		if err := client.Do(ctx, http.MethodPut, fmt.Sprint("/registry/instances/s-", i), body, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	var follower string
	for _, name := range reg.Names {
		if name != leader {
			follower = name
		}
	}
	p := reg.Process(follower)
	p.Kill()
	path := filepath.Join(reg.DataDir(follower), "commands.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	damaged := strings.ReplaceAll(string(raw), "needle", "noodle")
	if err := os.WriteFile(path, []byte(damaged), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := reg.Start(follower); err != nil {
		t.Fatal(err)
	}
	p = reg.Process(follower)
	if err := p.Wait(withStepTimeout(t, ctx)); err == nil || !strings.Contains(p.Log(), "commands.db: command") {
		t.Errorf("replica with a damaged commands.db: got exit error %v, want one, and a log that names the command:\n%s",
			err, p.Log())
	}
	if err := os.RemoveAll(reg.DataDir(follower)); err != nil {
		t.Fatal(err)
	}
	if err := reg.Start(follower); err != nil {
		t.Fatal(err)
	}
	err = Await(withStepTimeout(t, ctx), "the replica to serve the list again", func() bool {
		var list registry.EndpointList
		return Get(ctx, reg.Address(follower), "/registry/instances", &list) == nil && len(list.Endpoints) == 20
	})
	if err != nil {
		t.Fatal(err)
	}
}

// While replicas are restarted one by one, as in a rolling upgrade, writes are linearizable and none is lost.
func TestRegistryRollingUpgrade(t *testing.T) {
	t.Parallel()
	cluster, ctx := newCluster(t)
	reg, _ := startRegistry(t, cluster, ctx, 3)
	h := &writeHistory{acknowledged: make(map[string]int64)}
	runCtx, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { h.run(runCtx, reg, 3, *seed) })
	for _, name := range reg.Names {
		p := reg.Process(name)
		p.Signal(syscall.SIGTERM)
		if err := p.Wait(withStepTimeout(t, ctx)); err != nil {
			t.Errorf("replica %s after SIGTERM: got exit error %v, want none", name, err)
		}
		if err := reg.Start(name); err != nil {
			t.Fatal(err)
		}
		if _, err := reg.AwaitLeader(withStepTimeout(t, ctx)); err != nil {
			t.Fatal(err)
		}
		err := Await(withStepTimeout(t, ctx), name+" to serve its list", func() bool {
			return Get(ctx, reg.Address(name), "/registry/instances", nil) == nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	stop()
	work.Wait()
	checkHistory(t, ctx, reg, h)
}

// A registry that is restored from an older backup of its data begins a new epoch: watchers get the complete list, with a
// higher revision than any before.
func TestRegistryRestoredFromBackup(t *testing.T) {
	t.Parallel()
	cluster, ctx := newCluster(t)
	reg, name := startRegistry(t, cluster, ctx, 1)
	client := registry.NewClient(reg.Addresses())
	put := func(id string) {
		t.Helper()
		body := map[string]any{"host_port": "10.0.0.1:9000"}
		if err := client.Do(ctx, http.MethodPut, "/registry/instances/"+id, body, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	restart := func(whileStopped func()) {
		t.Helper()
		p := reg.Process(name)
		p.Signal(syscall.SIGTERM)
		if err := p.Wait(withStepTimeout(t, ctx)); err != nil {
			t.Errorf("replica after SIGTERM: got exit error %v, want none", err)
		}
		whileStopped()
		if err := reg.Start(name); err != nil {
			t.Fatal(err)
		}
		if _, err := reg.AwaitLeader(withStepTimeout(t, ctx)); err != nil {
			t.Fatal(err)
		}
	}
	backup := filepath.Join(t.TempDir(), "copy")
	put("s-1")
	restart(func() {
		if err := os.CopyFS(backup, os.DirFS(reg.DataDir(name))); err != nil {
			t.Fatal(err)
		}
	})
	put("s-2")
	put("s-3")
	var before, after registry.EndpointList
	if err := client.Do(ctx, http.MethodGet, "/registry/instances", nil, &before, 0); err != nil || len(before.Endpoints) != 3 {
		t.Fatalf("instances before the restore: got %d, want 3; error: %v", len(before.Endpoints), err)
	}
	restart(func() {
		if err := os.RemoveAll(reg.DataDir(name)); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(reg.DataDir(name), os.DirFS(backup)); err != nil {
			t.Fatal(err)
		}
		reg.replicas[name].args = []string{"--new-epoch"}
	})
	path := fmt.Sprintf("/registry/instances?index=%d&wait=200", before.Revision)
	err := Await(withStepTimeout(t, ctx), "the complete list of the backup", func() bool {
		return client.Watch(ctx, path, 200*time.Millisecond, &after) == nil && after.Complete
	})
	if err != nil {
		t.Fatal(err)
	}
	if after.Revision <= before.Revision || len(after.Endpoints) != 1 {
		t.Errorf("restored list: got revision %d with %d instances, want a revision above %d with 1 instance",
			after.Revision, len(after.Endpoints), before.Revision)
	}
}
