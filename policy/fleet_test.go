package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// counts tells a node how many it hears, and fires its timers up to then.
func counts(b *Balancer, timers *[]Time, now Time, heard int) {
	for _, at := range *timers {
		if at <= now {
			b.Handle(at, Timer{Token: fleetSizeTimerToken})
		}
	}
	for _, a := range b.Handle(now, FleetSize{ReachableNodes: heard}) {
		if a.Kind == SetTimer && a.Token == fleetSizeTimerToken {
			*timers = append(*timers, now+a.Wait)
		}
	}
}

// Parts shrink at once, grow late, and stay on a side that hears half or less.
func TestFleetDividesQuotas(t *testing.T) {
	set := site(1)
	set.NodeCount = 7
	for _, step := range []struct {
		name  string
		hears []int // one every 10 s
		want  int
		cut   bool
	}{
		{"its own start", []int{1}, 7, true},
		{"all there", []int{1, 7}, 7, false},
		{"one more than the settings say", []int{8}, 8, false},
		{"one gone for a while", []int{7, 6, 6, 6}, 7, false},
		{"one gone for long", []int{7, 6, 6, 6, 6, 6, 6, 6, 6}, 6, false},
		{"one comes back in time", []int{7, 6, 6, 6, 6, 7, 6, 6, 6}, 7, false},
		{"fewer and fewer: the most that were there count", []int{7, 6, 6, 5, 5, 5, 5, 5, 5}, 6, false},
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
			for i, n := range step.hears {
				counts(b, &timers, time.Duration(i)*10*time.Second, n)
			}
			if got, _, cut := b.FleetSize(); got != step.want || cut != step.cut {
				t.Errorf("quotas by %d nodes, cut off: %v; want %d, %v", got, cut, step.want, step.cut)
			}
		})
	}
}

// However a fleet falls apart and comes together, the parts of all nodes are a quota at most until a silence
// has lasted for the hold.
func TestFleetPartsStayWithinTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, timers := fleetOf(rapid.IntRange(2, 9).Draw(t, "nodes"))
		whole := time.Duration(0) // when the fleet was last whole
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := time.Duration(step+1) * 7 * time.Second
			side := make([]int, len(nodes))
			sizes := make(map[int]int)
			for i := range side {
				side[i] = rapid.IntRange(0, 2).Draw(t, "side")
				sizes[side[i]]++
			}
			if len(sizes) == 1 {
				whole = now
			}
			for i, b := range nodes {
				counts(b, &timers[i], now, sizes[side[i]])
			}
			if sum := parts(nodes); now-whole < fleetShrinkDelay && sum > 1+1e-9 {
				t.Fatalf("the parts sum to %.3f of the quota at %v, whole at %v, sides %v", sum, now, whole, side)
			}
		}
	})
}

// A split in two stays under one and a half quotas however long it lasts, and one side grows at most.
func TestFleetSplitForLong(t *testing.T) {
	for n := 2; n <= 9; n++ {
		for k := 1; k < n; k++ {
			nodes, timers := fleetOf(n)
			for now := time.Second; now < 3*fleetShrinkDelay; now += 10 * time.Second {
				for i, b := range nodes {
					heard := k
					if i >= k {
						heard = n - k
					}
					counts(b, &timers[i], now, heard)
				}
			}
			if sum := parts(nodes); sum < 1-1e-9 || sum >= 1.5 {
				t.Errorf("%d and %d nodes: the parts sum to %.3f", k, n-k, sum)
			}
		}
	}
}

// fleetOf are nodes that have heard each other, and their timers.
func fleetOf(n int) (nodes []*Balancer, timers [][]Time) {
	nodes, timers = make([]*Balancer, n), make([][]Time, n)
	for i := range nodes {
		set := site(n)
		set.NodeIndex = i
		nodes[i], _ = New(set, 0, uint64(i))
		counts(nodes[i], &timers[i], 0, n)
	}
	return nodes, timers
}

// parts sums the parts of a quota.
func parts(nodes []*Balancer) (sum float64) {
	for _, b := range nodes {
		by, _, _ := b.FleetSize()
		sum += 1 / float64(by)
	}
	return sum
}

// A quota that nodes divide is one: no pace goes beyond it.
func TestFleetHoldsThePace(t *testing.T) {
	b, err := New(site(1), 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.rateMultiplier.value = maxRateMultiplier
	b.Handle(1, FleetSize{ReachableNodes: 1})
	b.rateMultiplier.bucketRejected = true
	b.adjustRateMultiplier(true)
	if b.rateMultiplier.value != 1 {
		t.Errorf("pace %v", b.rateMultiplier.value)
	}
}

// New settings leave what the nodes found out, unless they tell another number.
func TestFleetOutlivesSettings(t *testing.T) {
	set := site(1)
	b, err := New(set, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(1, FleetSize{ReachableNodes: 3})
	b.Handle(2, set)
	if got, _, _ := b.FleetSize(); got != 3 {
		t.Errorf("%d nodes after the same settings", got)
	}
	set.NodeCount = 2
	b.Handle(3, set)
	if got, _, _ := b.FleetSize(); got != 2 {
		t.Errorf("%d nodes after settings for 2", got)
	}
}
