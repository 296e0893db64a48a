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
	kills    = flag.Int("kills", 0, "kills in TestMeasureDeaths, for each part of loss; 0 to skip it")
	members  = flag.Int("members", 15, "processes in the measures")
	quietFor = flag.Duration("quiet", 0, "how long TestMeasureFalseDeaths looks on, for each trouble; 0 to skip it")
	awayFor  = flag.Duration("away", 0, "how long TestMeasureListAway has no list service; 0 to skip it")
	splitFor = flag.Duration("split", 0, "how long TestMeasureSplitQuota splits 7 nodes 4 to 3; 0 to skip it")
)

func percentile(all []time.Duration, p float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}

// From the kill of a process to the death being known at each other, with datagrams and streams lost.
func TestMeasureDeaths(t *testing.T) {
	if *kills == 0 {
		t.Skip("-kills")
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprintf("loss %.0f%%", loss*100), func(t *testing.T) {
			x := newTrial(t, *members, FleetSpec{}, 60)
			x.Lose(loss)
			rng := rand.New(rand.NewPCG(*seed, 3))
			var took, healed []time.Duration
			rightly := 0
			for range *kills {
				victim := x.Names[rng.IntN(len(x.Names))]
				before := x.Deaths()
				x.Nodes[victim].Kill()
				took = append(took, x.await(victim, "dead", x.Without(victim)...)...)
				rightly += x.Deaths() - before
				x.restart(victim)
				x.agree(x.Names...)
			}
			for range *kills {
				x.Split(x.Names[:len(x.Names)/2], x.Names[len(x.Names)/2:])
				x.agree(x.Names[:len(x.Names)/2]...)
				x.agree(x.Names[len(x.Names)/2:]...)
				x.Split()
				healed = append(healed, x.agree(x.Names...))
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

// Nobody is taken for dead while all live, whatever is lost and however processes stand still.
func TestMeasureFalseDeaths(t *testing.T) {
	if *quietFor == 0 {
		t.Skip("-quiet")
	}
	for _, trouble := range []struct {
		name  string
		loss  float64
		pause bool
	}{{"none", 0, false}, {"10% lost", 0.1, false}, {"30% lost", 0.3, false}, {"each stopped for 300 ms every 3 s", 0, true}} {
		t.Run(trouble.name, func(t *testing.T) {
			x := newTrial(t, *members, FleetSpec{}, 60)
			x.Lose(trouble.loss)
			end := time.Now().Add(*quietFor)
			for time.Now().Before(end) {
				if !trouble.pause {
					_ = wait(x.ctx, time.Second)
					continue
				}
				for _, name := range x.Names {
					x.pause(name, 300*time.Millisecond)
				}
			}
			t.Logf("%d processes for %v: %d deaths told", *members, *quietFor, x.Deaths())
			if n := x.Deaths(); n > 0 {
				t.Errorf("%d deaths told while all lived", n)
			}
			x.Lose(0)
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
	x := newTrial(t, 7, FleetSpec{Quota: quota, Sockets: 512}, 0)
	var all []*Node
	for _, name := range x.Names {
		all = append(all, x.Nodes[name])
	}
	// Without retries, for what a bucket passes of a flood is its own arithmetic: up to 1.4 times the quota.
	load := x.w.Clients("c", emulator.ClientSpec{Rate: 2 * quota, Classes: quick(), Tenants: tenants, Until: time.Hour}, all...)
	x.loads = append(x.loads, load)
	over := func(what string, span time.Duration) float64 {
		before := load.Sums()
		_ = wait(x.ctx, span)
		after := load.Sums()
		part := float64(after.InTime+after.Late-before.InTime-before.Late) / span.Seconds() / quota
		t.Logf("%s: admitted %.3f of the quota over %v", what, part, span)
		return part
	}
	_ = wait(x.ctx, 5*time.Second) // full buckets are spent
	whole := over("whole", 15*time.Second)
	four, three := x.Names[:4], x.Names[4:]
	x.Split(four, three)
	x.agree(four...)
	x.agree(three...)
	split := over("split 4 to 3", *splitFor)
	x.Split()
	x.agree(x.Names...)
	healed := over("healed", 15*time.Second)
	if split > whole*1.05 || healed > whole*1.05 || whole > 1.45 {
		t.Errorf("whole %.3f, split %.3f, healed %.3f", whole, split, healed)
	}
	x.finish()
}

var watchersN = flag.Int("watchers", 0, "watchers in TestMeasureRegistry; 0 to skip it")

// The list service under load: how late watchers are told of a change, what a replica's memory is with as many
// watchers and 2,000 servers, and how many writes a second three replicas and one keep.
func TestMeasureRegistry(t *testing.T) {
	if *watchersN == 0 {
		t.Skip("-watchers")
	}
	for _, replicas := range []int{1, 3} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) { measureRegistry(t, replicas) })
	}
}

func measureRegistry(t *testing.T, replicas int) {
	r, ctx := newRig(t)
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
			c := registry.NewClient([]string{g.Listen(leader)})
			for i := w; i < servers; i += writers {
				if err := write(c, fmt.Sprintf("server-%04d", i), 1); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	rate := servers / time.Since(began).Seconds()
	alone := syncs(t, r.dir)
	late := tellWatchers(t, ctx, g, leader, write)
	t.Logf("%d replicas: %.0f writes a second by %d writers (fsync alone %.0f); %d watchers told p50 %v p99 %v; memory %v", replicas,
		rate, writers, alone, *watchersN, percentile(late, 0.5), percentile(late, 0.99), residents(g))
}

// syncs is how many writes of 4 KiB a second are kept by one file, one after the other.
func syncs(t *testing.T, dir string) float64 {
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

// tellWatchers makes changes and returns how long each took to reach each watcher, from before the write on.
func tellWatchers(t *testing.T, ctx context.Context, g *Registry, leader string,
	write func(*registry.Client, string, int) error) (late []time.Duration) {
	under, stop := context.WithCancel(ctx)
	var mu sync.Mutex
	var all sync.WaitGroup
	sent := make(map[int64]time.Time) // by up_since_ms
	ready := 0
	for i := range *watchersN {
		all.Go(func() {
			c, at := registry.NewClient([]string{g.Listen(g.Names[i%len(g.Names)])}), int64(-1)
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
	c := registry.NewClient([]string{g.Listen(leader)})
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
	t.Logf("memory while they watch: %v", residents(g))
	stop()
	all.Wait()
	return late
}

// residents is the memory of each replica, in MB.
func residents(g *Registry) (all []string) {
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

// The list service is away under traffic, after servers came and went: what six nodes serve meanwhile, and how
// their calls are spread when it is back.
func TestMeasureListAway(t *testing.T) {
	if *awayFor == 0 {
		t.Skip("-away")
	}
	for _, asked := range []bool{true, false} {
		t.Run(fmt.Sprintf("asked %v", asked), func(t *testing.T) {
			x := newTrial(t, 6, FleetSpec{PollList: asked}, 120)
			load := x.loads[0]
			served := func() float64 {
				before, end := load.Sums(), time.Now().Add(*awayFor)
				_ = wait(x.ctx, time.Until(end))
				after := load.Sums()
				return float64(after.InTime-before.InTime) / float64(after.Asked-before.Asked)
			}
			link := func(f Faults) {
				for _, name := range x.Names {
					x.w.cluster.SetLink(name, "list", f)
					x.w.cluster.SetLink("list", name, f)
				}
			}
			x.w.Phase("s-00", emulator.Draining)
			with := served()
			x.w.Phase("s-00", emulator.Removed)
			x.w.Phase("s-01", emulator.Draining)
			_ = wait(x.ctx, 3*time.Second)
			link(Faults{Reset: true})
			without := served()
			back := time.Now()
			link(Faults{})
			_ = wait(x.ctx, 10*time.Second)
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
				"after %v, %d in 100 ms at most", *awayFor, with, without, len(calls), last, most)
			if without < with-0.01 {
				t.Errorf("%.4f served without the list service, %.4f with it", without, with)
			}
		})
	}
}
