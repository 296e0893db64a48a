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

// Weights of G. The operators also weight the worst-served tenant. G has no such part; its weight is added to that of the
// whole run.
const (
	wholeRunWeight    = 0.45
	worstWindowWeight = 0.35 // of the worst window with the length worstWindowLength
	worstClassWeight  = 0.20 // of the worst-served class
	worstWindowLength = 10 * time.Second
)

// G returns the score of a run, from 0 to 1. It is a weighted mean of three fractions, each the part of the offered value
// that was served in time: in the whole run, in its worst window (1 if the run is shorter than a window), and in its
// worst-served class. Seconds without requests at the end of the run don't count.
func (o *Outcome) G() float64 {
	seconds := len(o.Seconds)
	for seconds > 0 && o.Seconds[seconds-1].Requests == 0 {
		seconds--
	}
	end := time.Duration(seconds) * time.Second
	worst := 1.0
	for at := time.Duration(0); at+worstWindowLength <= end; at += time.Second {
		worst = min(worst, o.Between(at, at+worstWindowLength).ServedFraction())
	}
	class := 1.0
	for _, totals := range o.Classes {
		class = min(class, totals.ServedFraction())
	}
	return wholeRunWeight*o.Between(0, end).ServedFraction() + worstWindowWeight*worst + worstClassWeight*class
}

// Pair is the comparison of two programs on the same seeds and the same scenario, or all scenarios.
type Pair struct {
	Scenario     string    `json:"scenario"`
	Ours, Theirs []float64 `json:"-"`        // G by seed
	Mean         float64   `json:"mean"`     // mean of the differences of G, ours minus theirs, over the seeds
	HalfInterval float64   `json:"half"`     // half the width of the 95% confidence interval of Mean; 0 if there is only one difference
	P            float64   `json:"p"`        // two-sided p-value of the paired t-test against a true mean of 0; 1 if all differences are equal
	OurG         float64   `json:"g"`        // mean of Ours
	TheirG       float64   `json:"g_theirs"` // mean of Theirs
	OurBroken    int       `json:"rules_broken"`
	TheirBroken  int       `json:"rules_broken_theirs"`
}

// computeStatistics computes the means and the paired t-test of the differences by seed.
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

// simulateTimeout limits the duration of a program's simulate command.
const simulateTimeout = 5 * time.Minute

// simulate runs a scenario with a program's simulate command, and returns the outcome that it prints. Broken rules are not
// an error.
func simulate(ctx context.Context, program, scenario string, seed uint64) (*Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, simulateTimeout)
	defer cancel()
	raw, err := exec.CommandContext(ctx, program, "simulate", scenario, "--json", "--seed", strconv.FormatUint(seed, 10)).Output()
	if err != nil && (!rulesBroken(err) || len(raw) == 0) {
		return nil, fmt.Errorf("%s simulate %s, seed %d: %w", program, scenario, seed, err)
	}
	o := new(Outcome)
	if err := json.Unmarshal(raw, o); err != nil {
		return nil, fmt.Errorf("%s simulate %s, seed %d: decode output: %w", program, scenario, seed, err)
	}
	return o, nil
}

// rulesBroken reports whether a simulation exited with status 1. If it also printed an outcome, this means that rules were
// broken; otherwise the command failed.
func rulesBroken(err error) bool {
	var exit *exec.ExitError
	return errors.As(err, &exit) && exit.ExitCode() == 1
}

// Pairs runs each scenario with each seed, with both programs and on all cores. It returns a comparison for each
// scenario, and then one over all scenarios.
func Pairs(ctx context.Context, ours, theirs string, scenarios []string, seeds []uint64) ([]Pair, error) {
	programs := []string{ours, theirs}
	outcomes := make([]*Outcome, len(scenarios)*len(seeds)*len(programs)) // ordered by scenario, seed and program
	err := runParallel(len(outcomes), func(i int) (err error) {
		pair := i / len(programs)
		outcomes[i], err = simulate(ctx, programs[i%len(programs)], scenarios[pair/len(seeds)], seeds[pair%len(seeds)])
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
