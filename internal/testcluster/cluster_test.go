package testcluster

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"sloerail/internal/emulator"
)

var (
	replacements = flag.Int("replacements", 30, "how often TestReplacementWhileShortOfCPU replaces its node")
	starveCPU    = flag.Float64("starve", 0, "part of the time that each process gets, in slices of 100 ms; 0 for all of it")
	seed         = flag.Uint64("seed", 1, "of the faults that are drawn")
)

// stepTimeout is more than any step takes, on a loaded machine too.
const stepTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	status := m.Run()
	Clean()
	os.Exit(status)
}

func newCluster(t *testing.T) (*Cluster, context.Context) {
	t.Helper()
	r, err := New(t.TempDir(), *seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			for _, p := range r.processes {
				t.Logf("log of %s (%d):\n%s", p.Name, p.PID(), p.Log())
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return r, ctx
}

func within(t *testing.T, ctx context.Context) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	t.Cleanup(cancel)
	return ctx
}

// shortClasses have short deadlines, so that a process that shuts down soon has no requests any more.
func shortClasses() []emulator.Class {
	const ms = time.Millisecond
	return []emulator.Class{
		{Name: "read", Share: 2, MinWork: 4 * ms, MaxWork: 12 * ms, LatencyObjective: 1500 * ms, Deadline: 1500 * ms, PriorityWeight: 1,
			RetrySafety: emulator.Idempotent},
		{Name: "order", Share: 1, MinWork: 4 * ms, MaxWork: 12 * ms, LatencyObjective: 1500 * ms, Deadline: 1500 * ms, PriorityWeight: 2,
			RetrySafety: emulator.IdempotencyKeyed, DedupWindow: 12 * time.Second},
		{Name: "charge", Share: 1, MinWork: 4 * ms, MaxWork: 12 * ms, LatencyObjective: 1500 * ms, Deadline: 1500 * ms, PriorityWeight: 5,
			RetrySafety: emulator.NonIdempotent},
	}
}

var tenants = []emulator.Tenant{{Name: "east", Share: 0.6}, {Name: "west", Share: 0.4}}

func serverSpecs(n int, zones ...string) (all []emulator.ServerSpec) {
	for i := range n {
		spec := emulator.DefaultServer(fmt.Sprintf("s-%02d", i), zones[i%len(zones)])
		spec.Cell = int64(i % len(zones)) // numbered through all zones
		all = append(all, spec)
	}
	return all
}

// startReady starts a process of a node and waits until it is ready for clients.
func startReady(t *testing.T, ctx context.Context, n *Node) {
	t.Helper()
	if _, err := n.Start(); err != nil {
		t.Fatal(err)
	}
	if err := n.Ready(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
}

// requireNoViolations fails the test where a rule was broken or a connection failed.
func (e *Environment) requireNoViolations(t *testing.T) {
	t.Helper()
	e.WithLock(func() {
		if all, n := e.Checker.Violations(); n > 0 {
			t.Errorf("%d rules broken: %q", n, all)
		}
		if len(e.Checker.ConnectionErrors) > 0 {
			t.Errorf("%d requests turned back: %q", e.Checker.ConnectionFailures, e.Checker.ConnectionErrors)
		}
		if e.skippedAttempts > 0 {
			t.Errorf("the clients could not send %d tries", e.skippedAttempts)
		}
	})
}

// A node is replaced again and again under load while its processes get no CPU for a while, at any point
// between bind, accept, readiness and its end. No connection fails, none is rejected for lack of a descriptor, and no
// request is lost.
func TestReplacementWhileShortOfCPU(t *testing.T) {
	r, ctx := newCluster(t)
	w := r.NewEnvironment(*seed, serverSpecs(3, "a")...)
	n, err := w.AddNode(NodeSpec{Name: "n0", Sockets: 96, MemoryMB: 64,
		Settings: Settings(0, 1, "a", shortClasses(), tenants, 2000)})
	if err != nil {
		t.Fatal(err)
	}
	startReady(t, ctx, n)
	load := w.StartClients("c", emulator.ClientSpec{Rate: 150, Classes: shortClasses(), Tenants: tenants, TimeoutFraction: 1,
		Until: time.Hour}, n)
	held := make(chan int, 1)
	watched, over := context.WithCancel(ctx)
	go func() {
		most := 0
		for sleep(watched, 2*time.Millisecond) == nil {
			most = max(most, n.Descriptors())
		}
		held <- most
	}()
	rng := rand.New(rand.NewPCG(*seed, 1))
	for i := range *replacements {
		old := n.Process()
		if _, err := n.Start(); err != nil {
			t.Fatal(err)
		}
		if *starveCPU > 0 {
			defer n.Process().ThrottleCPU(*starveCPU, 100*time.Millisecond)()
		}
		// Stops of the new process land anywhere in its start; those of the old one anywhere in its end.
		stutter := func(p *Process, times int) {
			for range times {
				_ = sleep(ctx, time.Duration(rng.IntN(12))*time.Millisecond)
				p.Pause(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond)
			}
		}
		stutter(n.Process(), rng.IntN(4))
		if err := n.Ready(within(t, ctx)); err != nil {
			t.Fatalf("replacement %d: %v", i, err)
		}
		old.Signal(syscall.SIGTERM)
		stutter(old, rng.IntN(3))
		if err := old.Wait(within(t, ctx)); err != nil {
			t.Fatalf("replacement %d: the old process: %v", i, err)
		}
	}
	w.WithLock(func() { load.clients.StopArrivals() })
	if err := load.Wait(within(t, ctx)); err != nil {
		t.Fatal(err)
	}
	w.requireNoViolations(t)
	over()
	sums, most := load.Stats(), <-held
	t.Logf("%d replacements, %+v, at most %d descriptors", *replacements, sums, most)
	if most > n.Spec.Sockets {
		t.Errorf("the processes held %d descriptors of %d", most, n.Spec.Sockets)
	}
	if n := load.NotReadyCount(); n > 0 {
		t.Errorf("the front was told %d times that the node takes no clients", n)
	}
	if sums.Rejections > 0 || sums.Failed > 0 || sums.InTime == 0 {
		t.Errorf("requests that a place was free for were not served: %+v", sums)
	}
}
