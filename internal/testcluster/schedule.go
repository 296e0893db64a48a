package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of a fault in a schedule.
type FaultKind string

// Faults of the processes of Targets.
const (
	Kill    FaultKind = "kill"    // kill the process
	Pause   FaultKind = "pause"   // stop the process with SIGSTOP for Duration
	Replace FaultKind = "replace" // hand over to a new process of the node
	Restart FaultKind = "restart" // kill the process, and start a new one after Duration
)

// Faults of the paths between Targets and Others, for Duration.
const (
	Partition       FaultKind = "part"    // cut both directions
	OneWayPartition FaultKind = "partOne" // cut the direction from Targets to Others
	PacketLoss      FaultKind = "lossy"   // lose the fraction Loss in both directions
)

var faultKinds = []FaultKind{Kill, Pause, Replace, Restart, Partition, OneWayPartition, PacketLoss}

// Step is one fault of a schedule. Its JSON keys are fixed, so that printed schedules can be replayed.
type Step struct {
	At       time.Duration `json:"At"` // since the start of the schedule
	Fault    FaultKind     `json:"Do"`
	Targets  []string      `json:"Whom"`
	Others   []string      `json:"Among,omitempty"` // for path faults; if empty: all nodes for PacketLoss, else all except Targets
	Duration time.Duration `json:"For,omitempty"`
	Loss     float64       `json:"Loss,omitempty"` // fraction, for PacketLoss
}

// Schedule is a list of faults in order of their times.
type Schedule []Step

// String returns the schedule as JSON for ParseSchedule. A failed test prints it so that it can be replayed.
func (s Schedule) String() string {
	raw, err := json.Marshal(s)
	if err != nil { // its types always marshal
		panic(err)
	}
	return string(raw)
}

// ParseSchedule parses a schedule as returned by String.
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
			return nil, fmt.Errorf("schedule: step %d: Whom is empty", i)
		case step.At < 0 || step.Duration < 0 || step.Loss < 0 || step.Loss > 1:
			return nil, fmt.Errorf("schedule: step %d: At, For or Loss is out of range", i)
		}
	}
	return s, nil
}

// RandomSchedule returns a schedule of n random faults of the given kinds, which affect the given parties, begin
// within span and last less than a quarter of it. Equal arguments give equal schedules.
func RandomSchedule(seed uint64, n int, span time.Duration, parties []string, kinds ...FaultKind) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c))
	var schedule Schedule
	for range n {
		shuffled := slices.Clone(parties)
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		step := Step{At: time.Duration(rng.Int64N(int64(span))), Fault: kinds[rng.IntN(len(kinds))], Targets: shuffled[:1],
			Duration: time.Duration(rng.Int64N(int64(span / 4)))}
		switch step.Fault {
		case Partition, OneWayPartition:
			step.Targets = shuffled[:1+rng.IntN(max(1, len(shuffled)-1))]
		case PacketLoss:
			step.Targets, step.Loss = shuffled, rng.Float64()/2
		}
		schedule = append(schedule, step)
	}
	slices.SortStableFunc(schedule, func(a, b Step) int { return int(a.At - b.At) })
	return schedule
}

// PlaySchedule carries out a schedule on the given nodes, and returns after all faults have ended. After an error it
// still carries out the other faults, and returns the first error.
func (c *Cluster) PlaySchedule(ctx context.Context, schedule Schedule, nodes map[string]*Node) error {
	start := time.Now()
	return forEachConcurrent(schedule, func(step Step) error {
		if err := sleep(ctx, time.Until(start.Add(step.At))); err != nil {
			return err
		}
		return c.playStep(ctx, step, nodes)
	})
}

// forEachConcurrent calls do for all items concurrently, waits for all calls, and returns the first error.
func forEachConcurrent[T any](items []T, do func(T) error) error {
	results := make(chan error, len(items))
	for _, item := range items {
		go func() { results <- do(item) }()
	}
	var first error
	for range items {
		if err := <-results; first == nil {
			first = err
		}
	}
	return first
}

// sleep waits for the duration d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// playStep carries out one fault and returns after it has ended.
func (c *Cluster) playStep(ctx context.Context, step Step, nodes map[string]*Node) error {
	switch step.Fault {
	case Partition, OneWayPartition, PacketLoss:
		others := step.others(nodes)
		c.setPathFaults(step, others, true)
		defer c.setPathFaults(step, others, false)
		return sleep(ctx, step.Duration)
	}
	for _, name := range step.Targets {
		node := nodes[name]
		if node == nil {
			return fmt.Errorf("schedule: %s: unknown node %q", step.Fault, name)
		}
		if err := playProcessFault(ctx, step, node); err != nil {
			return fmt.Errorf("schedule: %s %s: %w", step.Fault, name, err)
		}
	}
	return nil
}

// others returns the other ends of the paths that a step affects.
func (s Step) others(nodes map[string]*Node) []string {
	if len(s.Others) > 0 {
		return s.Others
	}
	var others []string
	for name := range nodes {
		if s.Fault == PacketLoss || !slices.Contains(s.Targets, name) {
			others = append(others, name)
		}
	}
	return others
}

// playProcessFault carries out a fault of the node's newest process.
func playProcessFault(ctx context.Context, step Step, n *Node) error {
	n.faultLock.Lock()
	defer n.faultLock.Unlock()
	switch step.Fault {
	case Kill:
		n.Kill()
	case Pause:
		n.Process().Pause(ctx, step.Duration)
	case Replace:
		previous, err := n.Replace(ctx)
		if err != nil {
			return err
		}
		return previous.Wait(ctx)
	case Restart:
		n.Kill()
		if err := sleep(ctx, step.Duration); err != nil {
			return err
		}
		if _, err := n.Start(); err != nil {
			return err
		}
		return n.Ready(ctx)
	}
	return nil
}

// setPathFaults begins or ends the fault of a step on the paths between its targets and the others.
func (c *Cluster) setPathFaults(step Step, others []string, on bool) {
	change := func(faults *Faults) {
		switch {
		case step.Fault != PacketLoss:
			faults.Cut = on
		case on:
			faults.Loss = step.Loss
		default:
			faults.Loss = 0
		}
	}
	for _, target := range step.Targets {
		for _, other := range others {
			if target == other {
				continue
			}
			c.links.update(path{target, other}, change)
			if step.Fault != OneWayPartition {
				c.links.update(path{other, target}, change)
			}
		}
	}
}
