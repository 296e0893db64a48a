package scaletest

import (
	"testing"
	"time"
)

// TestNodeCostsDoNotGrowWithTheFleet guards costs of a node that must depend on its own work, not on the number of servers.
// It compares the lowest costs of several rounds, in which both sizes take turns: other load of the machine affects both
// sizes alike, and can only add to a cost.
const (
	slopeSmall, slopeLarge = 500, 8000
	slopeRounds            = 6
	slopeSteps             = 200
	maxDecisionSlope       = 2.0 // ratio of the costs at the two sizes; with linear growth it would be 16
	maxListChangeSlope     = 3.0
)

// slopeNode is a hollow node (a node's code in this process, without sockets for requests) with a list of a given size, and
// its lowest costs so far.
type slopeNode struct {
	*steppedNode
	point                        *point
	requestLoad                  *requestLoad
	decisionCost, listChangeCost float64 // nanoseconds of CPU time; 0 before the first round
}

func newSlopeNode(t *testing.T, servers int) *slopeNode {
	t.Helper()
	sizes := FixedSizes{Servers: servers, Tenants: 100, Nodes: 10, Requests: 190}
	n := &slopeNode{point: &point{fixed: sizes, fleet: newFleet(sizes, t.TempDir(), 1, 1),
		record: NewRecorder(string(Servers), servers, 1, Hollow)}}
	var err error
	if n.steppedNode, err = n.point.newSteppedNode(); err != nil {
		t.Fatal(err)
	}
	n.requestLoad = newRequestLoad(n.Hollow, sizes, n.point.fleet.rng)
	return n
}

// measureRound measures the node's costs, and keeps those that are lower than before.
func (n *slopeNode) measureRound(t *testing.T) {
	t.Helper()
	recordLeast := func(least *float64, steps int, step func(i int)) {
		before := ownCPU()
		for i := range steps {
			step(i)
		}
		if each := float64(ownCPU()-before) / float64(steps); *least == 0 || each < *least {
			*least = each
		}
	}
	recordLeast(&n.decisionCost, slopeSteps, func(int) { n.requestLoad.sendNext() })
	n.requestLoad.finish()
	changes := n.point.listChanges(n.steppedNode, minChanges)
	recordLeast(&n.listChangeCost, len(changes), func(i int) {
		if err := n.ApplyList(changes[i]); err != nil {
			t.Error(err)
		}
	})
	n.Advance(time.Second)
}

func TestNodeCostsDoNotGrowWithTheFleet(t *testing.T) {
	small, large := newSlopeNode(t, slopeSmall), newSlopeNode(t, slopeLarge)
	for range slopeRounds {
		for _, n := range []*slopeNode{small, large} {
			n.measureRound(t)
		}
	}
	for _, cost := range []struct {
		name         string
		small, large float64
		maxRatio     float64
	}{
		{"decision and its outcome", small.decisionCost, large.decisionCost, maxDecisionSlope},
		{"list change", small.listChangeCost, large.listChangeCost, maxListChangeSlope},
	} {
		ratio := cost.large / cost.small
		t.Logf("%s: %.0f ns at %d servers, %.0f ns at %d: ratio %.2f", cost.name, cost.small, slopeSmall, cost.large, slopeLarge, ratio)
		if ratio > cost.maxRatio {
			t.Errorf("cost of a %s: at %d servers it is %.2f times the cost at %d servers, want at most %.1f times",
				cost.name, slopeLarge, ratio,
				slopeSmall, cost.maxRatio)
		}
	}
	if refused := small.requestLoad.rejectedCount + large.requestLoad.rejectedCount; refused > 0 {
		t.Errorf("%d requests within quota were refused, want 0", refused)
	}
}
