package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a fault of a schedule.
type FaultKind string

// The kinds of faults. Those of links name Whom and Among; those of processes name Whom.
const (
	Kill            FaultKind = "kill"    // the process at once
	Pause           FaultKind = "pause"   // it for a time, by SIGSTOP
	Replace         FaultKind = "replace" // it by another process of the node, under load
	Restart         FaultKind = "restart" // kill, and start again after a time
	Partition       FaultKind = "part"    // cut all paths between Whom and Among, both ways, for a time
	OneWayPartition FaultKind = "partOne" // the same from Whom to Among only
	PacketLoss      FaultKind = "lossy"   // lose a part of what passes between Whom and Among, for a time
)

// Step is one fault of a schedule. Its keys are fixed: a schedule that was printed earlier has to be replayed.
type Step struct {
	At       time.Duration `json:"At"`
	Fault    FaultKind     `json:"Do"`
	Targets  []string      `json:"Whom"`
	Others   []string      `json:"Among,omitempty"` // the others of a path's fault; empty for all but Whom
	Duration time.Duration `json:"For,omitempty"`
	Loss     float64       `json:"Loss,omitempty"`
}

// Schedule is data: what goes wrong, when and with whom, in order of time.
type Schedule []Step

// String writes the schedule so that Parse reads it again: a failure that prints it can be replayed.
func (s Schedule) String() string {
	raw, err := json.Marshal(s)
	if err != nil { // durations and words always can be written
		panic(err)
	}
	return string(raw)
}

// ParseSchedule reads a schedule as String wrote it.
func ParseSchedule(text string) (Schedule, error) {
	var s Schedule
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	for i, step := range s {
		switch {
		case !slices.Contains(faultKinds, step.Fault):
			return nil, fmt.Errorf("schedule: step %d: unknown fault %q", i, step.Fault)
		case len(step.Targets) == 0:
			return nil, fmt.Errorf("schedule: step %d: whom: missing", i)
		case step.At < 0 || step.Duration < 0 || step.Loss < 0 || step.Loss > 1:
			return nil, fmt.Errorf("schedule: step %d: a figure is out of range", i)
		}
	}
	return s, nil
}

var faultKinds = []FaultKind{Kill, Pause, Replace, Restart, Partition, OneWayPartition, PacketLoss}

// RandomSchedule makes a schedule of n faults of these kinds for these parties, spread over a span, from a seed.
func RandomSchedule(seed uint64, n int, span time.Duration, parties []string, of ...FaultKind) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c))
	var s Schedule
	for range n {
		whom := slices.Clone(parties)
		rng.Shuffle(len(whom), func(i, j int) { whom[i], whom[j] = whom[j], whom[i] })
		step := Step{At: time.Duration(rng.Int64N(int64(span))), Fault: of[rng.IntN(len(of))], Targets: whom[:1],
			Duration: time.Duration(rng.Int64N(int64(span / 4)))}
		switch step.Fault {
		case Partition, OneWayPartition:
			step.Targets = whom[:1+rng.IntN(max(1, len(whom)-1))]
		case PacketLoss:
			step.Targets, step.Loss = whom, rng.Float64()/2
		}
		s = append(s, step)
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// PlaySchedule carries a schedule out on these nodes, and returns once its last fault is over. A fault at a node that
// is not there any more is an error; the others go on.
func (c *Cluster) PlaySchedule(ctx context.Context, s Schedule, nodes map[string]*Node) error {
	start := time.Now()
	failed := make(chan error, len(s))
	for _, step := range s {
		go func() { failed <- c.playStep(ctx, start, step, nodes) }()
	}
	var first error
	for range s {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Cluster) playStep(ctx context.Context, start time.Time, step Step, nodes map[string]*Node) error {
	if err := wait(ctx, time.Until(start.Add(step.At))); err != nil {
		return err
	}
	switch step.Fault {
	case Partition, OneWayPartition, PacketLoss:
		among := step.Others
		if len(among) == 0 {
			for name := range nodes {
				if step.Fault == PacketLoss || !slices.Contains(step.Targets, name) {
					among = append(among, name)
				}
			}
		}
		c.setPathFaults(step, among, true)
		defer c.setPathFaults(step, among, false)
		return wait(ctx, step.Duration)
	}
	for _, name := range step.Targets {
		n := nodes[name]
		if n == nil {
			return fmt.Errorf("schedule: %s: there is no node %q", step.Fault, name)
		}
		if err := c.playProcessFault(ctx, step, n); err != nil {
			return fmt.Errorf("schedule: %s %s: %w", step.Fault, name, err)
		}
	}
	return nil
}

func (c *Cluster) playProcessFault(ctx context.Context, step Step, n *Node) error {
	n.faultLock.Lock() // one fault of its processes at a time
	defer n.faultLock.Unlock()
	switch step.Fault {
	case Kill:
		n.Kill()
	case Pause:
		n.Process().Pause(ctx, step.Duration)
	case Replace:
		old, err := n.Replace(ctx)
		if err != nil {
			return err
		}
		return old.Wait(ctx)
	case Restart:
		n.Kill()
		if err := wait(ctx, step.Duration); err != nil {
			return err
		}
		if _, err := n.Start(); err != nil {
			return err
		}
		return n.Ready(ctx)
	}
	return nil
}

// setPathFaults sets or ends a fault of the paths between two sets of parties.
func (c *Cluster) setPathFaults(step Step, among []string, on bool) {
	for _, a := range step.Targets {
		for _, b := range among {
			if a == b {
				continue
			}
			c.setPathFault(a, b, step, on)
			if step.Fault != OneWayPartition {
				c.setPathFault(b, a, step, on)
			}
		}
	}
}

func (c *Cluster) setPathFault(from, to string, step Step, on bool) {
	l := c.links
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[path{from, to}]
	if step.Fault == PacketLoss {
		f.Loss = 0
		if on {
			f.Loss = step.Loss
		}
	} else {
		f.Cut = on
	}
	l.faults[path{from, to}] = f
}
