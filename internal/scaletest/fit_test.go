package scaletest

import (
	"math"
	"math/rand/v2"
	"testing"
)

var testSizes = []float64{100, 300, 1000, 3000, 10_000, 30_000, 100_000}

const testNoise = 0.03 // standard deviation as a fraction of each value

// noisyObservations returns three values of a function at each size, with noise from a seed.
func noisyObservations(sizes []float64, seed uint64, of func(n float64) float64) (o observations) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, n := range sizes {
		for range 3 {
			o.sizes = append(o.sizes, n)
			o.values = append(o.values, of(n)*(1+testNoise*rng.NormFloat64()))
		}
	}
	return o
}

func TestFitRecognizesKnownLaws(t *testing.T) {
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
		recognized, within := 0, 0
		for seed := range uint64(seeds) {
			f := fitLaw(noisyObservations(testSizes, seed, known.of))
			if f.Law == known.law && f.SizesOmitted == 0 {
				recognized++
			}
			const target = 1e6
			if low, high := f.PredictionInterval(target); low <= known.of(target) && known.of(target) <= high {
				within++
			}
		}
		if recognized < seeds*9/10 {
			t.Errorf("%s: law recognized with %d of %d seeds, want at least 90%% of them", known.law, recognized, seeds)
		}
		if within < seeds*8/10 {
			t.Errorf("%s: true value within the prediction interval with %d of %d seeds, want at least 80%% of them",
				known.law, within, seeds)
		}
	}
}

func TestFitFindsNoLawForOtherCurves(t *testing.T) {
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
			if f := fitLaw(noisyObservations(testSizes, seed, of)); f.Law != "" || f.Why != NoLaw {
				t.Errorf("%s, seed %d: fitted law %q with formula %q, want none, with the reason NoLaw", name, seed, f.Law, f.Formula())
			}
		}
	}
}

func TestFitOmitsSmallSizesThatHideTheLaw(t *testing.T) {
	// Constant up to size 290, and a steep line above it.
	f := fitLaw(noisyObservations(testSizes, 1, func(n float64) float64 { return 10 + 50*max(0, n-290) }))
	if f.Law != Linear || f.SizesOmitted != 1 && f.SizesOmitted != 2 || f.MinSize != int(testSizes[f.SizesOmitted]) {
		t.Errorf("fitted law %q over sizes %d to %d with %d sizes omitted, want a linear law with 1 or 2 omitted",
			f.Law, f.MinSize, f.MaxSize, f.SizesOmitted)
	}
}

func TestFitNeedsFiveSizesAndPositiveValues(t *testing.T) {
	linear := func(n float64) float64 { return 5 * n }
	if f := fitLaw(noisyObservations(testSizes[:4], 1, linear)); f.Why != TooFewSizes || f.Law != "" {
		t.Errorf("fit of four sizes: law %q, reason %q, want only the reason TooFewSizes", f.Law, f.Why)
	}
	if f := fitLaw(noisyObservations(testSizes[:5], 1, linear)); f.Law != Linear {
		t.Errorf("fit of five sizes: law %q, reason %q, want a linear law", f.Law, f.Why)
	}
	if f := fitLaw(noisyObservations(testSizes, 1, func(float64) float64 { return 0 })); f.Why != NotAboveZero {
		t.Errorf("fit of zeros: law %q, reason %q, want the reason NotAboveZero", f.Law, f.Why)
	}
}

func TestReachesReturnsTheSizeAtAValue(t *testing.T) {
	f := Fit{Law: Linear, A: 100, B: 2}
	if n, ok := f.Reaches(1100); !ok || math.Abs(n-500) > 1e-6 {
		t.Errorf("size at which 100 + 2n reaches 1100: got %v, %v, want 500, true", n, ok)
	}
	if n, ok := f.Reaches(50); !ok || n != 1 {
		t.Errorf("size at which 100 + 2n reaches 50: got %v, %v, want 1, true", n, ok)
	}
	for _, f := range []Fit{{Law: Constant, A: 100}, {Law: Logarithmic, A: 100, B: 1}} {
		if n, ok := f.Reaches(200); ok || n != 0 {
			t.Errorf("%s law: reaches 200 at size %v, want never", f.Law, n)
		}
	}
}
