package scaletest

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloerail/internal/testcluster"
	"sloerail/policy"
)

// firstChangeCell is the cell for change number 0. Each change sets a server's cell to firstChangeCell plus the number of
// the change, so that a list shows which changes it contains. Servers that were not changed have lower cells.
const firstChangeCell = 1 << 40

func changeCell(change int) int64 { return firstChangeCell + int64(change) }

// changeTracker records when each change of the list is in force at each node, that is, when the node has applied it.
type changeTracker struct {
	nodes   int
	servers int // number of servers; changes go to them in turn

	mu             sync.Mutex
	haveList       map[int]bool // nodes that have received the complete list
	first          int          // number of the first change that counts; earlier ones only measured the writers
	dueTimes       []time.Time  // of each change that counts, from first on
	inForce        map[nodeChange]bool
	delayHistogram *hdrhistogram.Histogram
	err            error
}

// nodeChange identifies a change at a node. Changes are counted from changeTracker.first.
type nodeChange struct{ node, change int }

func newChangeTracker(nodes, servers int) *changeTracker {
	return &changeTracker{nodes: nodes, servers: servers, haveList: make(map[int]bool),
		inForce: make(map[nodeChange]bool), delayHistogram: newHistogram()}
}

// begin sets the number of the first change that counts.
func (c *changeTracker) begin(first int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = first
}

// changeDue records the due time of the next change.
func (c *changeTracker) changeDue(due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dueTimes = append(c.dueTimes, due)
}

// listReceived records the changes in a list or a delta that a node has applied.
func (c *changeTracker) listReceived(node int, l policy.EndpointList) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Kind == policy.ListReplace {
		c.haveList[node] = true
	}
	for _, m := range l.Endpoints {
		change := int(m.Cell-firstChangeCell) - c.first
		if change < len(c.dueTimes) {
			c.recordInForce(node, change, now)
		}
	}
}

// recordInForce records that a change is in force at a node, and so are the earlier changes of the same server, which
// it supersedes.
func (c *changeTracker) recordInForce(node, change int, now time.Time) {
	for ; change >= 0 && !c.inForce[nodeChange{node, change}]; change -= c.servers {
		c.inForce[nodeChange{node, change}] = true
		if err := c.delayHistogram.RecordValue(now.Sub(c.dueTimes[change]).Nanoseconds()); err != nil {
			c.err = err
		}
	}
}

// awaitLists waits until all nodes have received the complete list, or a node has failed.
func (c *changeTracker) awaitLists(ctx context.Context) error {
	return testcluster.Await(ctx, "the complete list at all nodes", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.haveList) == c.nodes || c.err != nil
	})
}

// missed returns the number of changes that are not in force at a node, summed over the nodes. It leaves out the given
// number of refused changes. A refused change may still come into force, because the registry can't always tell whether
// it was committed. So the result is never below 0, but may be too low.
func (c *changeTracker) missed(refused int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, (len(c.dueTimes)-refused)*c.nodes-len(c.inForce))
}

// delays returns the times from the due time of each change until it was in force at each node, in nanoseconds.
func (c *changeTracker) delays() *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.delayHistogram.Export())
}

func (c *changeTracker) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *changeTracker) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
