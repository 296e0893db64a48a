package scaletest

import (
	"testing"
	"time"
)

// The costs of a node that were made to follow its own work and not the fleet. The least of several turns is compared
// within one run: what else the machine does then falls on both sizes alike, and only ever adds.
const (
	slopeSmall, slopeLarge = 500, 8000
	slopeRounds            = 6
	slopeSteps             = 200
	maxDecisionSlope       = 2.0 // times the cost at the small size; linear growth would make it 16
	maxListChangeSlope     = 3.0
)

// slopeNode is a hollow node of a size, with its least costs so far.
type slopeNode struct {
	*steppedNode
	point          *point
	requests       *requests
	decision, list float64 // nanoseconds of processor time; 0 for none yet
}

func newSlopeNode(t *testing.T, servers int) *slopeNode {
	t.Helper()
	held := FixedSizes{Servers: servers, Tenants: 100, Nodes: 10, Requests: 190}
	n := &slopeNode{point: &point{fixed: held, fleet: newFleet(held, t.TempDir(), 1, 1),
		record: NewRecorder(string(Servers), servers, 1, Hollow)}}
	var err error
	if n.steppedNode, err = n.point.newStepped(); err != nil {
		t.Fatal(err)
	}
	n.requests = newRequests(n.Hollow, held, n.point.fleet.rng)
	return n
}

// turn takes the node's costs once more.
func (n *slopeNode) turn(t *testing.T) {
	t.Helper()
	least := func(least *float64, steps int, step func(i int)) {
		before := ownCPU()
		for i := range steps {
			step(i)
		}
		if each := float64(ownCPU()-before) / float64(steps); *least == 0 || each < *least {
			*least = each
		}
	}
	least(&n.decision, slopeSteps, func(int) { n.requests.next() })
	n.requests.finish()
	changes := n.point.listChanges(n.steppedNode, minChanges)
	least(&n.list, len(changes), func(i int) {
		if err := n.TakeList(changes[i]); err != nil {
			t.Error(err)
		}
	})
	n.Advance(time.Second)
}

func TestCostsDoNotFollowTheFleet(t *testing.T) {
	small, large := newSlopeNode(t, slopeSmall), newSlopeNode(t, slopeLarge)
	for range slopeRounds {
		for _, n := range []*slopeNode{small, large} {
			n.turn(t)
		}
	}
	for _, cost := range []struct {
		of           string
		small, large float64
		most         float64
	}{
		{"decision and its outcome", small.decision, large.decision, maxDecisionSlope},
		{"list change", small.list, large.list, maxListChangeSlope},
	} {
		ratio := cost.large / cost.small
		t.Logf("%s: %.0f ns at %d servers, %.0f ns at %d: ratio %.2f", cost.of, cost.small, slopeSmall, cost.large, slopeLarge, ratio)
		if ratio > cost.most {
			t.Errorf("the cost of a %s at %d servers is %.2f times that at %d, want at most %.1f", cost.of, slopeLarge, ratio,
				slopeSmall, cost.most)
		}
	}
	if refused := small.requests.rejectedCount + large.requests.rejectedCount; refused > 0 {
		t.Errorf("%d requests within quota were refused", refused)
	}
}
