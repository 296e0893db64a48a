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

// Weights of G, as the operators weigh theirs; their weight of the worst-served tenant goes to the whole run.
const (
	fullWeight  = 0.45
	worstWeight = 0.35 // of the worst window
	classWeight = 0.20 // of the worst-served class
	worstWindow = 10 * time.Second
)

// G is one figure for a run: the fraction of the value that was served in time, over the whole run, in its worst window
// and in its worst-served class.
func (o *Outcome) G() float64 {
	seconds := len(o.Seconds)
	for seconds > 0 && o.Seconds[seconds-1].Requests == 0 {
		seconds--
	}
	end := time.Duration(seconds) * time.Second
	worst := 1.0
	for at := time.Duration(0); at+worstWindow <= end; at += time.Second {
		worst = min(worst, o.Between(at, at+worstWindow).ServedFraction())
	}
	class := 1.0
	for _, totals := range o.Classes {
		class = min(class, totals.ServedFraction())
	}
	return fullWeight*o.Between(0, end).ServedFraction() + worstWeight*worst + classWeight*class
}

// Pair compares two programs on the same scenario and seeds.
type Pair struct {
	Scenario     string    `json:"scenario"`
	Ours, Theirs []float64 `json:"-"`
	Mean         float64   `json:"mean"` // of our G less theirs
	HalfInterval float64   `json:"half"` // half of its 95% interval
	P            float64   `json:"p"`    // probability of a mean so far from 0 by chance
	OurG         float64   `json:"g"`
	TheirG       float64   `json:"g_theirs"`
	OurBroken    int       `json:"rules_broken"`
	TheirBroken  int       `json:"rules_broken_theirs"`
}

// computeStatistics computes Student's statistics of the differences by seed.
func (p *Pair) computeStatistics() {
	differences := make([]float64, len(p.Ours))
	for i := range differences {
		differences[i] = p.Ours[i] - p.Theirs[i]
	}
	p.OurG, p.TheirG = stat.Mean(p.Ours, nil), stat.Mean(p.Theirs, nil)
	mean, deviation := stat.MeanStdDev(differences, nil)
	p.Mean, p.P = mean, 1
	if n := float64(len(differences)); n > 1 && deviation > 0 {
		distribution := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
		standardError := deviation / math.Sqrt(n)
		p.HalfInterval = distribution.Quantile(0.975) * standardError
		p.P = 2 * distribution.Survival(math.Abs(mean)/standardError)
	}
}

// simulateTimeout bounds one simulation by another program.
const simulateTimeout = 5 * time.Minute

// simulate plays a scenario by a program's simulate command.
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

// rulesBroken tells whether a simulation ended with the status that stands for broken rules.
func rulesBroken(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == 1
}

// Pairs plays each scenario with each seed by our program and by another one, on all cores. It returns a comparison for
// each scenario, and then one of all.
func Pairs(ctx context.Context, ours, theirs string, scenarios []string, seeds []uint64) ([]Pair, error) {
	programs := []string{ours, theirs}
	outcomes := make([]*Outcome, len(scenarios)*len(seeds)*len(programs)) // in the order of these
	err := onAllCores(len(outcomes), func(i int) (err error) {
		k := i / len(programs)
		outcomes[i], err = simulate(ctx, programs[i%len(programs)], scenarios[k/len(seeds)], seeds[k%len(seeds)])
		return err
	})
	if err != nil {
		return nil, err
	}
	pairs := make([]Pair, len(scenarios))
	for i := 0; i < len(outcomes); i += len(programs) {
		scenario := i / len(programs) / len(seeds)
		p, our, their := &pairs[scenario], outcomes[i], outcomes[i+1]
		p.Scenario = scenarios[scenario]
		p.Ours, p.Theirs = append(p.Ours, our.G()), append(p.Theirs, their.G())
		p.OurBroken, p.TheirBroken = p.OurBroken+our.Broken, p.TheirBroken+their.Broken
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
