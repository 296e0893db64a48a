package testcluster

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
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

// The measures of docs/membership.md. They take minutes, so each asks for its flag.
var (
	kills         = flag.Int("kills", 0, "kills in TestMeasureDeathDetection, for each part of loss; 0 to skip it")
	members       = flag.Int("members", 15, "processes in the measures")
	quietDuration = flag.Duration("quiet", 0, "how long TestMeasureFalseDeaths looks on, for each fault; 0 to skip it")
	listOutage    = flag.Duration("away", 0, "how long TestMeasureListOutage has no list service; 0 to skip it")
	splitFor      = flag.Duration("split", 0, "how long TestMeasureSplitQuota splits 7 nodes 4 to 3; 0 to skip it")
)

func percentile(all []time.Duration, p float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}

// From the kill of a process to the death being known at each other, with datagrams and streams lost.
func TestMeasureDeathDetection(t *testing.T) {
	if *kills == 0 {
		t.Skip("-kills")
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprintf("loss %.0f%%", loss*100), func(t *testing.T) {
			x := newFleetHarness(t, *members, FleetSpec{}, 60)
			x.SetLoss(loss)
			rng := rand.New(rand.NewPCG(*seed, 3))
			var took, healed []time.Duration
			rightly := 0
			for range *kills {
				victim := x.Names[rng.IntN(len(x.Names))]
				before := x.DeathReports()
				x.Nodes[victim].Kill()
				took = append(took, x.awaitState(victim, "dead", x.Others(victim)...)...)
				rightly += x.DeathReports() - before
				x.restart(victim)
				x.awaitMembership(x.Names...)
			}
			for range *kills {
				x.Partition(x.Names[:len(x.Names)/2], x.Names[len(x.Names)/2:])
				x.awaitMembership(x.Names[:len(x.Names)/2]...)
				x.awaitMembership(x.Names[len(x.Names)/2:]...)
				x.Partition()
				healed = append(healed, x.awaitMembership(x.Names...))
			}
			x.finish()
			t.Logf("%d processes, %.0f%% lost, %d kills: known dead p50 %v p99 %v worst %v; %d splits healed p50 %v p99 %v",
				*members, loss*100, *kills, percentile(took, 0.5), percentile(took, 0.99), percentile(took, 1), *kills,
				percentile(healed, 0.5), percentile(healed, 0.99))
			if p99 := percentile(took, 0.99); p99 > 2*time.Second {
				t.Errorf("p99 %v", p99)
			}
		})
	}
}

// No live member is declared dead, whatever is lost and however long processes are paused.
func TestMeasureFalseDeaths(t *testing.T) {
	if *quietDuration == 0 {
		t.Skip("-quiet")
	}
	for _, fault := range []struct {
		name  string
		loss  float64
		pause bool
	}{{"none", 0, false}, {"10% lost", 0.1, false}, {"30% lost", 0.3, false}, {"each stopped for 300 ms every 3 s", 0, true}} {
		t.Run(fault.name, func(t *testing.T) {
			x := newFleetHarness(t, *members, FleetSpec{}, 60)
			x.SetLoss(fault.loss)
			end := time.Now().Add(*quietDuration)
			for time.Now().Before(end) {
				if !fault.pause {
					_ = sleep(x.ctx, time.Second)
					continue
				}
				for _, name := range x.Names {
					x.pause(name, 300*time.Millisecond)
				}
			}
			t.Logf("%d processes for %v: %d deaths reported", *members, *quietDuration, x.DeathReports())
			if n := x.DeathReports(); n > 0 {
				t.Errorf("%d deaths reported while all lived", n)
			}
			x.SetLoss(0)
			x.finish()
		})
	}
}

// What a fleet split 4 to 3 admits of a quota, with twice the quota asked for at all nodes.
func TestMeasureSplitQuota(t *testing.T) {
	if *splitFor == 0 {
		t.Skip("-split")
	}
	const quota = 280
	x := newFleetHarness(t, 7, FleetSpec{Quota: quota, Sockets: 512}, 0)
	var all []*Node
	for _, name := range x.Names {
		all = append(all, x.Nodes[name])
	}
	// Without retries, for what a bucket passes of a flood is its own arithmetic: up to 1.4 times the quota.
	load := x.w.StartClients("c", emulator.ClientSpec{Rate: 2 * quota, Classes: shortClasses(), Tenants: tenants, Until: time.Hour}, all...)
	x.loads = append(x.loads, load)
	over := func(what string, span time.Duration) float64 {
		before := load.Stats()
		_ = sleep(x.ctx, span)
		after := load.Stats()
		part := float64(after.InTime+after.Late-before.InTime-before.Late) / span.Seconds() / quota
		t.Logf("%s: admitted %.3f of the quota over %v", what, part, span)
		return part
	}
	_ = sleep(x.ctx, 5*time.Second) // full buckets are spent
	whole := over("whole", 15*time.Second)
	four, three := x.Names[:4], x.Names[4:]
	x.Partition(four, three)
	x.awaitMembership(four...)
	x.awaitMembership(three...)
	split := over("split 4 to 3", *splitFor)
	x.Partition()
	x.awaitMembership(x.Names...)
	healed := over("healed", 15*time.Second)
	if split > whole*1.05 || healed > whole*1.05 || whole > 1.45 {
		t.Errorf("whole %.3f, split %.3f, healed %.3f", whole, split, healed)
	}
	x.finish()
}

var watchersN = flag.Int("watchers", 0, "watchers in TestMeasureRegistry; 0 to skip it")

// The registry under load: the delay until watchers are notified, the memory of a replica with so many watchers and
// 2,000 servers, and the writes a second of three replicas and of one.
func TestMeasureRegistry(t *testing.T) {
	if *watchersN == 0 {
		t.Skip("-watchers")
	}
	for _, replicas := range []int{1, 3} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) { measureRegistry(t, replicas) })
	}
}

func measureRegistry(t *testing.T, replicas int) {
	r, ctx := newCluster(t)
	g, leader := startRegistry(t, r, ctx, replicas)
	write := func(c *registry.Client, id string, n int) error {
		return c.Do(ctx, http.MethodPut, "/registry/instances/"+id, map[string]any{"host_port": "10.0.0.1:9000",
			"locality": "zone-a", "flavor": "big-box", "lease_ms": 600_000, "up_since_ms": n}, nil, 0)
	}
	const servers, writers = 2000, 32
	var all sync.WaitGroup
	began := time.Now()
	for w := range writers {
		all.Go(func() {
			c := registry.NewClient([]string{g.Address(leader)})
			for i := w; i < servers; i += writers {
				if err := write(c, fmt.Sprintf("server-%04d", i), 1); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	rate := servers / time.Since(began).Seconds()
	alone := syncsPerSecond(t, r.dir)
	late := measureNotification(t, ctx, g, leader, write)
	t.Logf("%d replicas: %.0f writes a second by %d writers (fsync alone %.0f); %d watchers told p50 %v p99 %v; memory %v", replicas,
		rate, writers, alone, *watchersN, percentile(late, 0.5), percentile(late, 0.99), residentMemory(g))
}

// syncsPerSecond measures how many writes of 4 KiB a second one file takes with an fsync after each.
func syncsPerSecond(t *testing.T, dir string) float64 {
	f, err := os.CreateTemp(dir, "sync")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	const n = 200
	block, began := make([]byte, 4<<10), time.Now()
	for range n {
		if _, err := f.Write(block); err != nil {
			t.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			t.Fatal(err)
		}
	}
	return n / time.Since(began).Seconds()
}

// measureNotification makes changes and returns how long each took to reach each watcher, from before the write on.
func measureNotification(t *testing.T, ctx context.Context, g *Registry, leader string,
	write func(*registry.Client, string, int) error) (late []time.Duration) {
	under, stop := context.WithCancel(ctx)
	var mu sync.Mutex
	var all sync.WaitGroup
	sent := make(map[int64]time.Time) // by up_since_ms
	ready := 0
	for i := range *watchersN {
		all.Go(func() {
			c, at := registry.NewClient([]string{g.Address(g.Names[i%len(g.Names)])}), int64(-1)
			for first := true; under.Err() == nil; first = false {
				var l registry.EndpointList
				if c.Watch(under, fmt.Sprintf("/registry/instances?index=%d&wait=30000", at), 30*time.Second, &l) != nil {
					continue
				}
				at = l.Revision
				mu.Lock()
				if first {
					ready++
				}
				for _, e := range l.Endpoints {
					if from, ok := sent[e.StartTimeMs]; ok && !first {
						late = append(late, time.Since(from))
					}
				}
				mu.Unlock()
			}
		})
	}
	err := Await(within(t, ctx), "all watchers", func() bool { mu.Lock(); defer mu.Unlock(); return ready == *watchersN })
	if err != nil {
		t.Fatal(err)
	}
	c := registry.NewClient([]string{g.Address(leader)})
	const changes = 20
	for i := range changes {
		mu.Lock()
		sent[int64(i+100)] = time.Now()
		mu.Unlock()
		if err := write(c, "server-0000", i+100); err != nil {
			t.Error(err)
		}
		err := Await(within(t, ctx), "all to be told", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(late) >= (i+1)**watchersN
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("memory while they watch: %v", residentMemory(g))
	stop()
	all.Wait()
	return late
}

// residentMemory returns the resident memory of each replica, as the kernel prints it.
func residentMemory(g *Registry) (all []string) {
	for _, name := range g.Names {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.Process(name).PID()))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
				all = append(all, strings.TrimSpace(kb))
			}
		}
	}
	return all
}

// An outage of the list service under load, during which servers change: the fraction that six nodes serve, and how their
// calls are spread once it is back.
func TestMeasureListOutage(t *testing.T) {
	if *listOutage == 0 {
		t.Skip("-away")
	}
	for _, asked := range []bool{true, false} {
		t.Run(fmt.Sprintf("asked %v", asked), func(t *testing.T) {
			x := newFleetHarness(t, 6, FleetSpec{PollList: asked}, 120)
			load := x.loads[0]
			served := func() float64 {
				before, end := load.Stats(), time.Now().Add(*listOutage)
				_ = sleep(x.ctx, time.Until(end))
				after := load.Stats()
				return float64(after.InTime-before.InTime) / float64(after.Requests-before.Requests)
			}
			link := func(f Faults) {
				for _, name := range x.Names {
					x.w.cluster.SetLinkFaults(name, "list", f)
					x.w.cluster.SetLinkFaults("list", name, f)
				}
			}
			x.w.SetPhase("s-00", emulator.Draining)
			with := served()
			x.w.SetPhase("s-00", emulator.Removed)
			x.w.SetPhase("s-01", emulator.Draining)
			_ = sleep(x.ctx, 3*time.Second)
			link(Faults{Reset: true})
			without := served()
			back := time.Now()
			link(Faults{})
			_ = sleep(x.ctx, 10*time.Second)
			calls := x.w.ListCalls(back)
			most, last := 0, time.Duration(0)
			for i := range calls {
				n := 0
				for _, c := range calls[i:] {
					if c.Sub(calls[i]) < 100*time.Millisecond {
						n++
					}
				}
				most = max(most, n)
			}
			if len(calls) >= len(x.Names) {
				last = calls[len(x.Names)-1].Sub(back)
			}
			x.finish()
			t.Logf("away for %v: served in time %.4f with the list service, %.4f without; %d calls in 10 s at its return, the sixth "+
				"after %v, %d in 100 ms at most", *listOutage, with, without, len(calls), last, most)
			if without < with-0.01 {
				t.Errorf("%.4f served without the list service, %.4f with it", without, with)
			}
		})
	}
}
