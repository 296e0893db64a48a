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
	replacements = flag.Int("replacements", 30, "number of replacements in TestReplacementUnderCPUStarvation")
	starveCPU    = flag.Float64("starve", 0, "fraction of each 100 ms in which a process may run; 0 for no limit")
	seed         = flag.Uint64("seed", 1, "seed of random faults")
)

// stepTimeout is longer than any step takes, even on a loaded machine.
const stepTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	status := m.Run()
	Clean()
	os.Exit(status)
}

// newCluster returns a cluster that is closed at the end of the test. If the test fails, the logs of all processes are
// printed.
func newCluster(t *testing.T) (*Cluster, context.Context) {
	t.Helper()
	cluster, err := New(t.TempDir(), *seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cluster.Close()
		if t.Failed() {
			for _, p := range cluster.processes {
				t.Logf("log of %s (%d):\n%s", p.Name, p.PID(), p.Log())
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return cluster, ctx
}

// withStepTimeout returns a context that ends after stepTimeout.
func withStepTimeout(t *testing.T, ctx context.Context) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	t.Cleanup(cancel)
	return ctx
}

// shortClasses returns classes with short deadlines, so that a process that shuts down soon has no open requests.
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
		spec.Cell = int64(i % len(zones)) // cell numbers are unique across zones
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
	if err := n.Ready(withStepTimeout(t, ctx)); err != nil {
		t.Fatal(err)
	}
}

// requireNoViolations fails the test if rules were broken, connections failed or attempts were skipped.
func (e *Environment) requireNoViolations(t *testing.T) {
	t.Helper()
	e.WithLock(func() {
		if all, n := e.Checker.Violations(); n > 0 {
			t.Errorf("rules broken: got %d, want 0: %q", n, all)
		}
		if len(e.Checker.ConnectionErrors) > 0 {
			t.Errorf("requests whose connection to a node failed: got %d, want 0: %q",
				e.Checker.ConnectionFailures, e.Checker.ConnectionErrors)
		}
		if e.skippedAttempts > 0 {
			t.Errorf("attempts skipped because too many were open: got %d, want 0", e.skippedAttempts)
		}
	})
}

// A node is replaced repeatedly under load while its processes are paused at random points between start, bind, accept,
// readiness and exit. No connection may fail or be rejected for lack of a descriptor, and no request may be lost.
func TestReplacementUnderCPUStarvation(t *testing.T) {
	cluster, ctx := newCluster(t)
	env := cluster.NewEnvironment(*seed, serverSpecs(3, "a")...)
	n, err := env.AddNode(NodeSpec{Name: "n0", Sockets: 96, MemoryMB: 64,
		Settings: Settings(0, 1, "a", shortClasses(), tenants, 2000)})
	if err != nil {
		t.Fatal(err)
	}
	startReady(t, ctx, n)
	load := env.StartClients("c", emulator.ClientSpec{Rate: 150, Classes: shortClasses(), Tenants: tenants, TimeoutFraction: 1,
		Until: time.Hour}, n)
	maxDescriptors := make(chan int, 1)
	watchCtx, stopWatch := context.WithCancel(ctx)
	go func() {
		peak := 0
		for sleep(watchCtx, 2*time.Millisecond) == nil {
			peak = max(peak, n.Descriptors())
		}
		maxDescriptors <- peak
	}()
	rng := rand.New(rand.NewPCG(*seed, 1))
	for i := range *replacements {
		previous := n.Process()
		if _, err := n.Start(); err != nil {
			t.Fatal(err)
		}
		if *starveCPU > 0 {
			defer n.Process().ThrottleCPU(*starveCPU, 100*time.Millisecond)()
		}
		// The pauses hit the new process at random points of its start, and the previous one at random points of its shutdown.
		pauseRandomly := func(p *Process, times int) {
			for range times {
				_ = sleep(ctx, time.Duration(rng.IntN(12))*time.Millisecond)
				p.Pause(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond)
			}
		}
		pauseRandomly(n.Process(), rng.IntN(4))
		if err := n.Ready(withStepTimeout(t, ctx)); err != nil {
			t.Fatalf("replacement %d: new process is not ready: %v", i, err)
		}
		previous.Signal(syscall.SIGTERM)
		pauseRandomly(previous, rng.IntN(3))
		if err := previous.Wait(withStepTimeout(t, ctx)); err != nil {
			t.Fatalf("replacement %d: previous process did not exit cleanly: %v", i, err)
		}
	}
	env.WithLock(func() { load.clients.StopArrivals() })
	if err := load.Wait(withStepTimeout(t, ctx)); err != nil {
		t.Fatal(err)
	}
	env.requireNoViolations(t)
	stopWatch()
	clientStats, peak := load.Stats(), <-maxDescriptors
	t.Logf("%d replacements, clients: %+v, peak descriptors: %d", *replacements, clientStats, peak)
	if peak > n.Spec.Sockets {
		t.Errorf("peak of open descriptors: got %d, want at most %d", peak, n.Spec.Sockets)
	}
	if n := load.NotReadyCount(); n > 0 {
		t.Errorf("health checks answered with an error status: got %d, want 0", n)
	}
	if clientStats.Rejections > 0 || clientStats.Failed > 0 || clientStats.InTime == 0 {
		t.Errorf("clients: got %+v, want no rejections, no failures and some requests in time", clientStats)
	}
}
