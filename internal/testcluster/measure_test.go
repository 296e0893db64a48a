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

// Flags of the measurements in docs/membership.md. They take minutes, so each runs only if its flag is set.
var (
	kills         = flag.Int("kills", 0, "kills in TestMeasureDeathDetection, for each loss rate; 0 to skip it")
	members       = flag.Int("members", 15, "nodes in the measurements")
	quietDuration = flag.Duration("quiet", 0, "duration of TestMeasureFalseDeaths, for each fault; 0 to skip it")
	listOutage    = flag.Duration("away", 0, "duration of the list service outage in TestMeasureListOutage; 0 to skip it")
	splitDuration = flag.Duration("split", 0, "how long TestMeasureSplitQuota partitions 7 nodes into 4 and 3; 0 to skip it")
)

// percentile returns the value at fraction p of the durations, which it sorts in place.
func percentile(durations []time.Duration, p float64) time.Duration {
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(p*float64(len(durations))))]
}

// Measures the time from the kill of a process until each other node knows of its death, and the time until a fleet
// agrees on its members after a partition has healed, both with loss of datagrams and streams.
func TestMeasureDeathDetection(t *testing.T) {
	if *kills == 0 {
		t.Skip("-kills")
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		t.Run(fmt.Sprintf("loss %.0f%%", loss*100), func(t *testing.T) {
			h := newFleetHarness(t, *members, FleetSpec{}, 60)
			h.SetLoss(loss)
			rng := rand.New(rand.NewPCG(*seed, 3))
			var detectionTimes, healTimes []time.Duration
			deathReports := 0
			for range *kills {
				victim := h.Names[rng.IntN(len(h.Names))]
				before := h.DeathReports()
				h.Nodes[victim].Kill()
				detectionTimes = append(detectionTimes, h.awaitState(victim, "dead", h.Others(victim)...)...)
				deathReports += h.DeathReports() - before
				h.restart(victim)
				h.awaitMembership(h.Names...)
			}
			for range *kills {
				h.Partition(h.Names[:len(h.Names)/2], h.Names[len(h.Names)/2:])
				h.awaitMembership(h.Names[:len(h.Names)/2]...)
				h.awaitMembership(h.Names[len(h.Names)/2:]...)
				h.Partition()
				healTimes = append(healTimes, h.awaitMembership(h.Names...))
			}
			h.finish()
			t.Logf("%d processes, %.0f%% loss, %d kills: death known after p50 %v p99 %v max %v; %d partitions healed after p50 %v p99 %v",
				*members, loss*100, *kills, percentile(detectionTimes, 0.5), percentile(detectionTimes, 0.99), percentile(detectionTimes, 1), *kills,
				percentile(healTimes, 0.5), percentile(healTimes, 0.99))
			if p99 := percentile(detectionTimes, 0.99); p99 > 2*time.Second {
				t.Errorf("p99 of the time until a death is known: got %v, want at most 2 s", p99)
			}
		})
	}
}

// Measures how many live members are declared dead with packet loss and with paused processes. The test
// fails if any is.
func TestMeasureFalseDeaths(t *testing.T) {
	if *quietDuration == 0 {
		t.Skip("-quiet")
	}
	for _, fault := range []struct {
		name  string
		loss  float64
		pause bool
	}{{"none", 0, false}, {"10% loss", 0.1, false}, {"30% loss", 0.3, false}, {"processes paused in turn for 300 ms each", 0, true}} {
		t.Run(fault.name, func(t *testing.T) {
			h := newFleetHarness(t, *members, FleetSpec{}, 60)
			h.SetLoss(fault.loss)
			end := time.Now().Add(*quietDuration)
			for time.Now().Before(end) {
				if !fault.pause {
					_ = sleep(h.ctx, time.Second)
					continue
				}
				for _, name := range h.Names {
					h.pause(name, 300*time.Millisecond)
				}
			}
			t.Logf("%d processes for %v: %d deaths reported", *members, *quietDuration, h.DeathReports())
			if n := h.DeathReports(); n > 0 {
				t.Errorf("reported deaths while all nodes were alive: got %d, want 0", n)
			}
			h.SetLoss(0)
			h.finish()
		})
	}
}

// Measures which multiple of a quota a fleet admits when it is partitioned into 4 and 3 nodes and clients send twice the
// quota.
func TestMeasureSplitQuota(t *testing.T) {
	if *splitDuration == 0 {
		t.Skip("-split")
	}
	const quota = 280
	h := newFleetHarness(t, 7, FleetSpec{Quota: quota, Sockets: 512}, 0)
	var nodes []*Node
	for _, name := range h.Names {
		nodes = append(nodes, h.Nodes[name])
	}
	// The clients don't retry. In a flood of requests, the token buckets admit up to 1.4 times the quota even without a
	// partition.
	load := h.env.StartClients("c", emulator.ClientSpec{Rate: 2 * quota, Classes: shortClasses(), Tenants: tenants, Until: time.Hour}, nodes...)
	h.loads = append(h.loads, load)
	measureAdmitted := func(phase string, span time.Duration) float64 {
		before := load.Stats()
		_ = sleep(h.ctx, span)
		after := load.Stats()
		admitted := float64(after.InTime+after.Late-before.InTime-before.Late) / span.Seconds() / quota
		t.Logf("%s: admitted %.3f times the quota over %v", phase, admitted, span)
		return admitted
	}
	_ = sleep(h.ctx, 5*time.Second) // until the initially full token buckets are empty
	whole := measureAdmitted("whole", 15*time.Second)
	four, three := h.Names[:4], h.Names[4:]
	h.Partition(four, three)
	h.awaitMembership(four...)
	h.awaitMembership(three...)
	split := measureAdmitted("split 4 to 3", *splitDuration)
	h.Partition()
	h.awaitMembership(h.Names...)
	healed := measureAdmitted("healed", 15*time.Second)
	if split > whole*1.05 || healed > whole*1.05 || whole > 1.45 {
		t.Errorf("admitted multiple of the quota: whole %.3f, want at most 1.45; split %.3f and healed %.3f, want at most 1.05 of whole",
			whole, split, healed)
	}
	h.finish()
}

var watcherCount = flag.Int("watchers", 0, "number of watchers in TestMeasureRegistry; 0 to skip it")

// Measures a registry of one and of three replicas with 2,000 servers: the delay until watchers are notified, the memory
// of the replicas, and the writes per second.
func TestMeasureRegistry(t *testing.T) {
	if *watcherCount == 0 {
		t.Skip("-watchers")
	}
	for _, replicas := range []int{1, 3} {
		t.Run(fmt.Sprint(replicas, " replicas"), func(t *testing.T) { measureRegistry(t, replicas) })
	}
}

// measureRegistry runs TestMeasureRegistry for one number of replicas.
func measureRegistry(t *testing.T, replicas int) {
	cluster, ctx := newCluster(t)
	reg, leader := startRegistry(t, cluster, ctx, replicas)
	write := func(client *registry.Client, id string, n int) error {
		return client.Do(ctx, http.MethodPut, "/registry/instances/"+id, map[string]any{"host_port": "10.0.0.1:9000",
			"locality": "zone-a", "flavor": "big-box", "lease_ms": 600_000, "up_since_ms": n}, nil, 0)
	}
	const servers, writers = 2000, 32
	var goroutines sync.WaitGroup
	began := time.Now()
	for w := range writers {
		goroutines.Go(func() {
			client := registry.NewClient([]string{reg.Address(leader)})
			for i := w; i < servers; i += writers {
				if err := write(client, fmt.Sprintf("server-%04d", i), 1); err != nil {
					t.Error(err)
				}
			}
		})
	}
	goroutines.Wait()
	writeRate := servers / time.Since(began).Seconds()
	fsyncRate := syncsPerSecond(t, cluster.dir)
	delays := measureNotification(t, ctx, reg, leader, write)
	t.Logf("%d replicas: %.0f writes/s by %d writers (fsync alone: %.0f/s); %d watchers notified after p50 %v p99 %v; memory %v",
		replicas, writeRate, writers, fsyncRate, *watcherCount, percentile(delays, 0.5), percentile(delays, 0.99), residentMemory(reg))
}

// syncsPerSecond measures how many times per second 4 KiB can be written to a file and synced.
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

// measureNotification writes changes and returns, for each change and watcher, the time from the start of the write until
// the watcher received the change.
func measureNotification(t *testing.T, ctx context.Context, reg *Registry, leader string,
	write func(*registry.Client, string, int) error) (delays []time.Duration) {
	watchCtx, stop := context.WithCancel(ctx)
	var mu sync.Mutex
	var goroutines sync.WaitGroup
	sent := make(map[int64]time.Time) // by up_since_ms
	ready := 0
	for i := range *watcherCount {
		goroutines.Go(func() {
			client, revision := registry.NewClient([]string{reg.Address(reg.Names[i%len(reg.Names)])}), int64(-1)
			for first := true; watchCtx.Err() == nil; first = false {
				var list registry.EndpointList
				if client.Watch(watchCtx, fmt.Sprintf("/registry/instances?index=%d&wait=30000", revision), 30*time.Second, &list) != nil {
					continue
				}
				revision = list.Revision
				mu.Lock()
				if first {
					ready++
				}
				for _, e := range list.Endpoints {
					if from, ok := sent[e.StartTimeMs]; ok && !first {
						delays = append(delays, time.Since(from))
					}
				}
				mu.Unlock()
			}
		})
	}
	err := Await(withStepTimeout(t, ctx), "all watchers to be connected", func() bool { mu.Lock(); defer mu.Unlock(); return ready == *watcherCount })
	if err != nil {
		t.Fatal(err)
	}
	client := registry.NewClient([]string{reg.Address(leader)})
	const changes = 20
	for i := range changes {
		mu.Lock()
		sent[int64(i+100)] = time.Now()
		mu.Unlock()
		if err := write(client, "server-0000", i+100); err != nil {
			t.Error(err)
		}
		err := Await(withStepTimeout(t, ctx), "the change at all watchers", func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(delays) >= (i+1)**watcherCount
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("memory with all watchers connected: %v", residentMemory(reg))
	stop()
	goroutines.Wait()
	return delays
}

// residentMemory returns the resident memory of each replica, as in VmRSS of /proc/PID/status.
func residentMemory(reg *Registry) (all []string) {
	for _, name := range reg.Names {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", reg.Process(name).PID()))
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

// Measures an outage of the list service under load, shortly after one server was removed and another began to drain: the
// fraction of requests that six nodes serve in time, and how the nodes' calls of the list service are spread
// after the outage.
func TestMeasureListOutage(t *testing.T) {
	if *listOutage == 0 {
		t.Skip("-away")
	}
	for _, poll := range []bool{true, false} {
		t.Run(fmt.Sprintf("poll %v", poll), func(t *testing.T) {
			h := newFleetHarness(t, 6, FleetSpec{PollList: poll}, 120)
			load := h.loads[0]
			servedFraction := func() float64 {
				before, end := load.Stats(), time.Now().Add(*listOutage)
				_ = sleep(h.ctx, time.Until(end))
				after := load.Stats()
				return float64(after.InTime-before.InTime) / float64(after.Requests-before.Requests)
			}
			setListFaults := func(f Faults) {
				for _, name := range h.Names {
					h.env.cluster.SetLinkFaults(name, "list", f)
					h.env.cluster.SetLinkFaults("list", name, f)
				}
			}
			h.env.SetPhase("s-00", emulator.Draining)
			withList := servedFraction()
			h.env.SetPhase("s-00", emulator.Removed)
			h.env.SetPhase("s-01", emulator.Draining)
			_ = sleep(h.ctx, 3*time.Second)
			setListFaults(Faults{Reset: true})
			withoutList := servedFraction()
			restored := time.Now()
			setListFaults(Faults{})
			_ = sleep(h.ctx, 10*time.Second)
			calls := h.env.ListCalls(restored)
			maxBurst, lastNode := 0, time.Duration(0)
			for i := range calls {
				n := 0
				for _, c := range calls[i:] {
					if c.Sub(calls[i]) < 100*time.Millisecond {
						n++
					}
				}
				maxBurst = max(maxBurst, n)
			}
			if len(calls) >= len(h.Names) {
				lastNode = calls[len(h.Names)-1].Sub(restored)
			}
			h.finish()
			t.Logf("outage of %v: fraction served in time: %.4f before, %.4f during it; %d calls in the 10 s after it, the sixth "+
				"after %v, at most %d in 100 ms", *listOutage, withList, withoutList, len(calls), lastNode, maxBurst)
			if withoutList < withList-0.01 {
				t.Errorf("fraction served in time without the list service: got %.4f, want at least %.4f (with it) minus 0.01",
					withoutList, withList)
			}
		})
	}
}
