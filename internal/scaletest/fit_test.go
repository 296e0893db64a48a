package scaletest

import (
	"math"
	"math/rand/v2"
	"testing"
)

var testSizes = []float64{100, 300, 1000, 3000, 10_000, 30_000, 100_000}

const testNoise = 0.03 // of each value

// observe makes three values of a function at each size, with noise from a seed.
func observe(sizes []float64, seed uint64, of func(n float64) float64) (o observations) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, n := range sizes {
		for range 3 {
			o.sizes = append(o.sizes, n)
			o.values = append(o.values, of(n)*(1+testNoise*rng.NormFloat64()))
		}
	}
	return o
}

func TestFitRecognisesKnownLaws(t *testing.T) {
	for _, known := range []struct {
		law Law
		of  func(n float64) float64
	}{
		{Constant, func(float64) float64 { return 250 }},
		{Logarithmic, func(n float64) float64 { return 40 + 25*math.Log(n) }},
		{Linear, func(n float64) float64 { return 2000 + 12*n }},
		{Linearithmic, func(n float64) float64 { return 3 * n * math.Log(n) }},
		{Power, func(n float64) float64 { return 500 + 0.01*math.Pow(n, 1.6) }},
	} {
		const seeds = 40
		recognised, within := 0, 0
		for seed := range uint64(seeds) {
			f := fitLaw(observe(testSizes, seed, known.of))
			if f.Law == known.law && f.SizesOmitted == 0 {
				recognised++
			}
			const target = 1e6
			if low, high := f.Between(target); low <= known.of(target) && known.of(target) <= high {
				within++
			}
		}
		if recognised < seeds*9/10 {
			t.Errorf("%s was recognised with %d of %d seeds", known.law, recognised, seeds)
		}
		if within < seeds*8/10 {
			t.Errorf("%s: the truth was within the interval with %d of %d seeds", known.law, within, seeds)
		}
	}
}

func TestFitRejectsABrokenLaw(t *testing.T) {
	for name, of := range map[string]func(n float64) float64{
		"a step": func(n float64) float64 {
			if n > 5000 {
				return 40_000
			}
			return 100
		},
		"rises and falls": func(n float64) float64 { return 1000 / (1 + math.Abs(math.Log(n/3000))) },
		"falls":           func(n float64) float64 { return 1e6 / n },
		"exponential":     func(n float64) float64 { return math.Exp(n / 8000) },
	} {
		for seed := range uint64(10) {
			if f := fitLaw(observe(testSizes, seed, of)); f.Law != "" || f.Why != NoLaw {
				t.Errorf("%s, seed %d: taken for %s, %s", name, seed, f.Law, f.Formula())
			}
		}
	}
}

func TestFitLeavesOutSmallSizesThatHideTheLaw(t *testing.T) {
	// Constant up to 300, and a steep line from then on.
	f := fitLaw(observe(testSizes, 1, func(n float64) float64 { return 10 + 50*max(0, n-290) }))
	if f.Law != Linear || f.SizesOmitted != 1 && f.SizesOmitted != 2 || f.From != int(testSizes[f.SizesOmitted]) {
		t.Errorf("got %s over %d to %d with %d left out", f.Law, f.From, f.To, f.SizesOmitted)
	}
}

func TestFitNeedsFiveSizes(t *testing.T) {
	linear := func(n float64) float64 { return 5 * n }
	if f := fitLaw(observe(testSizes[:4], 1, linear)); f.Why != TooFewSizes || f.Law != "" {
		t.Errorf("four sizes: %q, %q", f.Law, f.Why)
	}
	if f := fitLaw(observe(testSizes[:5], 1, linear)); f.Law != Linear {
		t.Errorf("five sizes: %q, %q", f.Law, f.Why)
	}
	if f := fitLaw(observe(testSizes, 1, func(float64) float64 { return 0 })); f.Why != NotAboveZero {
		t.Errorf("zeros: %q, %q", f.Law, f.Why)
	}
}

func TestReachesGivesTheSizeAtALimit(t *testing.T) {
	f := Fit{Law: Linear, A: 100, B: 2}
	if n, ok := f.Reaches(1100); !ok || math.Abs(n-500) > 1e-6 {
		t.Errorf("linear: %v, %v", n, ok)
	}
	if n, ok := f.Reaches(50); !ok || n != 1 {
		t.Errorf("already over: %v, %v", n, ok)
	}
	for _, f := range []Fit{{Law: Constant, A: 100}, {Law: Logarithmic, A: 100, B: 1}} {
		if n, ok := f.Reaches(200); ok || n != 0 {
			t.Errorf("%s reached twice its value at %v", f.Law, n)
		}
	}
}
