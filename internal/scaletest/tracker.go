package scaletest

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloerail/internal/testcluster"
	"sloerail/policy"
)

// firstChangeCell is the first of the cells that mark changes by their numbers. No server is in one of them otherwise.
const firstChangeCell = 1 << 40

func changeCell(change int) int64 { return firstChangeCell + int64(change) }

// changeTracker follows changes of the list until each is in force at each node.
type changeTracker struct {
	nodes   int
	servers int // that are changed in turn

	mu        sync.Mutex
	haveList  map[int]bool // nodes that have the complete list
	first     int          // change that counts
	began     []time.Time  // of each change that counts
	inForce   map[nodeChange]bool
	histogram *hdrhistogram.Histogram
	err       error
}

// nodeChange is a change at a node.
type nodeChange struct{ node, change int }

func newChangeTracker(nodes, servers int) *changeTracker {
	return &changeTracker{nodes: nodes, servers: servers, haveList: make(map[int]bool), inForce: make(map[nodeChange]bool), histogram: newHistogram()}
}

// begin sets the first change that counts.
func (c *changeTracker) begin(first int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = first
}

// changeDue notes that the next change is due.
func (c *changeTracker) changeDue(due time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = append(c.began, due)
}

// listReceived notes that a node has taken a list.
func (c *changeTracker) listReceived(node int, l policy.EndpointList) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Kind == policy.ListReplace {
		c.haveList[node] = true
	}
	for _, m := range l.Endpoints {
		change := int(m.Cell-firstChangeCell) - c.first
		if change < len(c.began) {
			c.recordInForce(node, change, now)
		}
	}
}

// recordInForce notes that a change is in force at a node, and with it all earlier ones of the same server, which it supersedes.
func (c *changeTracker) recordInForce(node, change int, now time.Time) {
	for ; change >= 0 && !c.inForce[nodeChange{node, change}]; change -= c.servers {
		c.inForce[nodeChange{node, change}] = true
		if err := c.histogram.RecordValue(now.Sub(c.began[change]).Nanoseconds()); err != nil {
			c.err = err
		}
	}
}

// awaitLists waits until all nodes have the complete list.
func (c *changeTracker) awaitLists(ctx context.Context) error {
	return testcluster.Await(ctx, "all nodes to have the list", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.haveList) == c.nodes || c.err != nil
	})
}

// missed counts the changes that are not in force at a node, less those that were refused. A refused change may come into
// force all the same, because the registry doesn't know of each whether it was committed.
func (c *changeTracker) missed(refused int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, (len(c.began)-refused)*c.nodes-len(c.inForce))
}

// times are those from each change to its being in force at each node.
func (c *changeTracker) times() *hdrhistogram.Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hdrhistogram.Import(c.histogram.Export())
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
