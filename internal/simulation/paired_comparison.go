package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os/exec"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Weights of G, as the operators weigh theirs; what they give to the worst-served tenant goes to the whole run.
const (
	fullWeight  = 0.45
	worstWeight = 0.35 // the worst 10 s
	classWeight = 0.20 // the worst-served class
	worstWindow = 10 * time.Second
)

// G is one figure for a run: the part of the value asked for that was served in time, over the whole run, in its
// worst 10 s and in its worst-served class.
func (o *Outcome) G() float64 {
	n := len(o.Seconds)
	for n > 0 && o.Seconds[n-1].Requests == 0 {
		n--
	}
	end := time.Duration(n) * time.Second
	worst := 1.0
	for at := time.Duration(0); at+worstWindow <= end; at += time.Second {
		worst = min(worst, o.Between(at, at+worstWindow).ServedFraction())
	}
	class := 1.0
	for _, c := range o.Classes {
		class = min(class, c.ServedFraction())
	}
	return fullWeight*o.Between(0, end).ServedFraction() + worstWeight*worst + classWeight*class
}

// Pair is what two programs made of the same scenarios and seeds.
type Pair struct {
	Scenario     string    `json:"scenario"`
	Ours, Theirs []float64 `json:"-"`
	Mean         float64   `json:"mean"` // of our G less theirs,
	HalfInterval float64   `json:"half"` // half of its 95% interval,
	P            float64   `json:"p"`    // and how likely one so far from 0 is by chance
	OurG         float64   `json:"g"`
	TheirG       float64   `json:"g_theirs"`
	OurBroken    int       `json:"rules_broken"`
	TheirBroken  int       `json:"rules_broken_theirs"`
}

// computeStatistics works out the statistics: Student's, over the differences by seed.
func (p *Pair) computeStatistics() {
	d := make([]float64, len(p.Ours))
	for i := range d {
		d[i] = p.Ours[i] - p.Theirs[i]
	}
	p.OurG, p.TheirG = stat.Mean(p.Ours, nil), stat.Mean(p.Theirs, nil)
	mean, dev := stat.MeanStdDev(d, nil)
	p.Mean, p.P = mean, 1
	if n := float64(len(d)); n > 1 && dev > 0 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
		err := dev / math.Sqrt(n)
		p.HalfInterval, p.P = t.Quantile(0.975)*err, 2*t.Survival(math.Abs(mean)/err)
	}
}

// simulateTimeout is how long one simulation of another program may take.
const simulateTimeout = 5 * time.Minute

// simulate plays a scenario by a program's own command.
func simulate(ctx context.Context, program, scenario string, seed uint64) (*Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, simulateTimeout)
	defer cancel()
	raw, err := exec.CommandContext(ctx, program, "simulate", scenario, "--json", "--seed", strconv.FormatUint(seed, 10)).Output()
	if err != nil && (!rulesBroken(err) || len(raw) == 0) {
		return nil, fmt.Errorf("%s simulate %s, seed %d: %w", program, scenario, seed, err)
	}
	o := new(Outcome)
	if err := json.Unmarshal(raw, o); err != nil {
		return nil, fmt.Errorf("%s simulate %s, seed %d: its answer: %w", program, scenario, seed, err)
	}
	return o, nil
}

// rulesBroken tells whether a simulation ended with the status that says so.
func rulesBroken(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == 1
}

// Pairs plays each scenario with each seed by our program and by another one, on all cores, and sums up each
// scenario and then all of them.
func Pairs(ctx context.Context, ours, theirs string, scenarios []string, seeds []uint64) ([]Pair, error) {
	programs := []string{ours, theirs}
	runs := make([]*Outcome, len(scenarios)*len(seeds)*len(programs)) // in the order of these
	err := onAllCores(len(runs), func(i int) (err error) {
		k := i / len(programs)
		runs[i], err = simulate(ctx, programs[i%len(programs)], scenarios[k/len(seeds)], seeds[k%len(seeds)])
		return err
	})
	if err != nil {
		return nil, err
	}
	pairs := make([]Pair, len(scenarios))
	for i := 0; i < len(runs); i += len(programs) {
		p := &pairs[i/len(programs)/len(seeds)]
		p.Scenario = scenarios[i/len(programs)/len(seeds)]
		p.Ours, p.Theirs = append(p.Ours, runs[i].G()), append(p.Theirs, runs[i+1].G())
		p.OurBroken, p.TheirBroken = p.OurBroken+runs[i].Broken, p.TheirBroken+runs[i+1].Broken
	}
	all := Pair{Scenario: "all"}
	for i := range pairs {
		p := &pairs[i]
		p.computeStatistics()
		all.Ours, all.Theirs = append(all.Ours, p.Ours...), append(all.Theirs, p.Theirs...)
		all.OurBroken, all.TheirBroken = all.OurBroken+p.OurBroken, all.TheirBroken+p.TheirBroken
	}
	all.computeStatistics()
	return append(pairs, all), nil
}
