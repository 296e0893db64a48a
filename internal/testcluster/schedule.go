package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault of a schedule.
type Kind string

// The kinds of faults. Those of links name Whom and Among; those of processes name Whom.
const (
	Kill    Kind = "kill"    // the process at once
	Pause   Kind = "pause"   // it for a time, by SIGSTOP
	Replace Kind = "replace" // it by another process of the node, under load
	Restart Kind = "restart" // kill, and start again after a time
	Part    Kind = "part"    // cut all paths between Whom and Among, both ways, for a time
	PartOne Kind = "partOne" // the same from Whom to Among only
	Lossy   Kind = "lossy"   // lose a part of what passes between Whom and Among, for a time
)

// Step is one fault of a schedule. Its keys are fixed: a schedule that was printed earlier has to be replayed.
type Step struct {
	At    time.Duration `json:"At"`
	Do    Kind          `json:"Do"`
	Whom  []string      `json:"Whom"`
	Among []string      `json:"Among,omitempty"` // the others of a path's fault; empty for all but Whom
	For   time.Duration `json:"For,omitempty"`
	Loss  float64       `json:"Loss,omitempty"`
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

// Parse reads a schedule as String wrote it.
func Parse(text string) (Schedule, error) {
	var s Schedule
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	for i, step := range s {
		switch {
		case !slices.Contains(kinds, step.Do):
			return nil, fmt.Errorf("schedule: step %d: unknown fault %q", i, step.Do)
		case len(step.Whom) == 0:
			return nil, fmt.Errorf("schedule: step %d: whom: missing", i)
		case step.At < 0 || step.For < 0 || step.Loss < 0 || step.Loss > 1:
			return nil, fmt.Errorf("schedule: step %d: a figure is out of range", i)
		}
	}
	return s, nil
}

var kinds = []Kind{Kill, Pause, Replace, Restart, Part, PartOne, Lossy}

// Draw makes a schedule of n faults of these kinds for these parties, spread over a span, from a seed.
func Draw(seed uint64, n int, span time.Duration, parties []string, of ...Kind) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c))
	var s Schedule
	for range n {
		whom := slices.Clone(parties)
		rng.Shuffle(len(whom), func(i, j int) { whom[i], whom[j] = whom[j], whom[i] })
		step := Step{At: time.Duration(rng.Int64N(int64(span))), Do: of[rng.IntN(len(of))], Whom: whom[:1],
			For: time.Duration(rng.Int64N(int64(span / 4)))}
		switch step.Do {
		case Part, PartOne:
			step.Whom = whom[:1+rng.IntN(max(1, len(whom)-1))]
		case Lossy:
			step.Whom, step.Loss = whom, rng.Float64()/2
		}
		s = append(s, step)
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// Play carries a schedule out on these nodes, and returns once its last fault is over. A fault at a node that
// is not there any more is an error; the others go on.
func (r *Cluster) Play(ctx context.Context, s Schedule, nodes map[string]*Node) error {
	start := time.Now()
	failed := make(chan error, len(s))
	for _, step := range s {
		go func() { failed <- r.step(ctx, start, step, nodes) }()
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

func (r *Cluster) step(ctx context.Context, start time.Time, step Step, nodes map[string]*Node) error {
	if err := wait(ctx, time.Until(start.Add(step.At))); err != nil {
		return err
	}
	switch step.Do {
	case Part, PartOne, Lossy:
		among := step.Among
		if len(among) == 0 {
			for name := range nodes {
				if step.Do == Lossy || !slices.Contains(step.Whom, name) {
					among = append(among, name)
				}
			}
		}
		r.between(step, among, true)
		defer r.between(step, among, false)
		return wait(ctx, step.For)
	}
	for _, name := range step.Whom {
		n := nodes[name]
		if n == nil {
			return fmt.Errorf("schedule: %s: there is no node %q", step.Do, name)
		}
		if err := r.process(ctx, step, n); err != nil {
			return fmt.Errorf("schedule: %s %s: %w", step.Do, name, err)
		}
	}
	return nil
}

func (r *Cluster) process(ctx context.Context, step Step, n *Node) error {
	n.faultLock.Lock() // one fault of its processes at a time
	defer n.faultLock.Unlock()
	switch step.Do {
	case Kill:
		n.Kill()
	case Pause:
		n.Process().Pause(ctx, step.For)
	case Replace:
		old, err := n.Replace(ctx)
		if err != nil {
			return err
		}
		return old.Wait(ctx)
	case Restart:
		n.Kill()
		if err := wait(ctx, step.For); err != nil {
			return err
		}
		if _, err := n.Start(); err != nil {
			return err
		}
		return n.Ready(ctx)
	}
	return nil
}

// between sets or ends a fault of the paths between two sets of parties.
func (r *Cluster) between(step Step, among []string, on bool) {
	for _, a := range step.Whom {
		for _, b := range among {
			if a == b {
				continue
			}
			r.change(a, b, step, on)
			if step.Do != PartOne {
				r.change(b, a, step, on)
			}
		}
	}
}

func (r *Cluster) change(from, to string, step Step, on bool) {
	l := r.links
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[pair{from, to}]
	if step.Do == Lossy {
		f.Loss = 0
		if on {
			f.Loss = step.Loss
		}
	} else {
		f.Cut = on
	}
	l.faults[pair{from, to}] = f
}
