package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// observeFleet fires a node's timers up to now and then hands it the number of reachable nodes. New timers
// are appended to timers.
func observeFleet(b *Balancer, timers *[]Time, now Time, reachable int) {
	for _, at := range *timers {
		if at <= now {
			b.Handle(at, Timer{Token: fleetSizeTimerToken})
		}
	}
	for _, a := range b.Handle(now, FleetSize{ReachableNodes: reachable}) {
		if a.Kind == SetTimer && a.Token == fleetSizeTimerToken {
			*timers = append(*timers, now+a.Wait)
		}
	}
}

// The number of nodes that quotas are divided by grows at once and shrinks after fleetShrinkDelay. It doesn't
// shrink while a node reaches half of the fleet or less.
func TestQuotaNodesShrinkLateAndGrowAtOnce(t *testing.T) {
	set := testSettings(1)
	set.NodeCount = 7
	for _, step := range []struct {
		name        string
		reachable   []int // number of reachable nodes, every 10 s
		want        int
		partitioned bool
	}{
		{"at the node's start", []int{1}, 7, true},
		{"all reachable", []int{1, 7}, 7, false},
		{"one more than in the settings", []int{8}, 8, false},
		{"one unreachable for a while", []int{7, 6, 6, 6}, 7, false},
		{"one unreachable for long", []int{7, 6, 6, 6, 6, 6, 6, 6, 6}, 6, false},
		{"one reachable again in time", []int{7, 6, 6, 6, 6, 7, 6, 6, 6}, 7, false},
		{"two drops: the largest number within the delay counts", []int{7, 6, 6, 5, 5, 5, 5, 5, 5}, 6, false},
		{"three of seven", []int{7, 3, 3, 3, 3, 3, 3, 3, 3, 3}, 7, true},
		{"four of seven, and then three", []int{7, 4, 4, 4, 3, 3, 3, 3, 3, 3}, 7, true},
		{"healed", []int{7, 4, 4, 4, 4, 4, 4, 4, 4, 7}, 7, false},
	} {
		t.Run(step.name, func(t *testing.T) {
			b, err := New(set, 0, 1)
			if err != nil {
				t.Fatal(err)
			}
			var timers []Time
			for i, n := range step.reachable {
				observeFleet(b, &timers, time.Duration(i)*10*time.Second, n)
			}
			if got, _, partitioned := b.FleetSize(); got != step.want || partitioned != step.partitioned {
				t.Errorf("quota nodes %d, partitioned %v; want %d, %v", got, partitioned, step.want, step.partitioned)
			}
		})
	}
}

// However a fleet is partitioned and healed, the parts of all nodes sum to at most one quota until a
// partition has lasted for fleetShrinkDelay.
func TestQuotaPartsStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, timers := fleetOf(rapid.IntRange(2, 9).Draw(t, "nodes"))
		connectedAt := time.Duration(0) // when all nodes last reached each other
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := time.Duration(step+1) * 7 * time.Second
			side := make([]int, len(nodes))
			sizes := make(map[int]int)
			for i := range side {
				side[i] = rapid.IntRange(0, 2).Draw(t, "side")
				sizes[side[i]]++
			}
			if len(sizes) == 1 {
				connectedAt = now
			}
			for i, b := range nodes {
				observeFleet(b, &timers[i], now, sizes[side[i]])
			}
			if sum := sumOfQuotaParts(nodes); now-connectedAt < fleetShrinkDelay && sum > 1+1e-9 {
				t.Fatalf("sum of quota parts: got %.3f at %v, want at most 1; all nodes last connected at %v, sides %v",
					sum, now, connectedAt, side)
			}
		}
	})
}

// In a partition into two sides, however long, at most one side takes over the other side's parts. All parts
// together stay below 1.5 quotas.
func TestLongPartitionStaysUnderOneAndAHalfQuotas(t *testing.T) {
	for n := 2; n <= 9; n++ {
		for k := 1; k < n; k++ {
			nodes, timers := fleetOf(n)
			for now := time.Second; now < 3*fleetShrinkDelay; now += 10 * time.Second {
				for i, b := range nodes {
					side := k
					if i >= k {
						side = n - k
					}
					observeFleet(b, &timers[i], now, side)
				}
			}
			if sum := sumOfQuotaParts(nodes); sum < 1-1e-9 || sum >= 1.5 {
				t.Errorf("sum of quota parts with sides of %d and %d nodes: got %.3f, want at least 1 and less than 1.5",
					k, n-k, sum)
			}
		}
	}
}

// fleetOf returns n nodes that reach each other, and their timers.
func fleetOf(n int) (nodes []*Balancer, timers [][]Time) {
	nodes, timers = make([]*Balancer, n), make([][]Time, n)
	for i := range nodes {
		set := testSettings(n)
		set.NodeIndex = i
		nodes[i], _ = New(set, 0, uint64(i))
		observeFleet(nodes[i], &timers[i], 0, n)
	}
	return nodes, timers
}

// sumOfQuotaParts returns the sum of the nodes' parts of a quota.
func sumOfQuotaParts(nodes []*Balancer) (sum float64) {
	for _, b := range nodes {
		by, _, _ := b.FleetSize()
		sum += 1 / float64(by)
	}
	return sum
}

// New settings keep the number of nodes that membership found, unless the new settings contain another
// number.
func TestQuotaNodesAreKeptWithTheSameSettings(t *testing.T) {
	set := testSettings(1)
	b, err := New(set, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(1, FleetSize{ReachableNodes: 3})
	b.Handle(2, set)
	if got, _, _ := b.FleetSize(); got != 3 {
		t.Errorf("quota nodes after the same settings: got %d, want 3", got)
	}
	set.NodeCount = 2
	b.Handle(3, set)
	if got, _, _ := b.FleetSize(); got != 2 {
		t.Errorf("quota nodes after settings with 2 nodes: got %d, want 2", got)
	}
}

func TestFleetSizeSettlesOnTheMaximumReachable(t *testing.T) {
	var f fleetSize
	f.configure(5)
	if f.observe(1, FleetSize{ReachableNodes: 5}) {
		t.Error("observe starts a delay though all nodes are reachable")
	}
	if !f.observe(2, FleetSize{ReachableNodes: 3}) || f.observe(3, FleetSize{ReachableNodes: 4}) {
		t.Error("want observe to start a single delay for two numbers below the fleet size")
	}
	if f.settle(fleetShrinkDelay) || f.quotaNodes != 5 {
		t.Errorf("settle before the end of the delay: quota nodes %d, want 5 and a result of false", f.quotaNodes)
	}
	if !f.settle(2+fleetShrinkDelay) || f.quotaNodes != 4 {
		t.Errorf("settle after the delay: quota nodes %d, want 4 and a result of true", f.quotaNodes)
	}
	if f.observe(3+fleetShrinkDelay, FleetSize{ReachableNodes: 2}); !f.isPartitioned() || f.quotaNodes != 4 {
		t.Errorf("half of the fleet reachable: partitioned %v, quota nodes %d; want true, 4", f.isPartitioned(),
			f.quotaNodes)
	}
}
