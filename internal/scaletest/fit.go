package scaletest

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law is how a measure grows with a size n. The zero value stands for none that fits.
type Law string

// The laws, each of the form a + b·f(n).
const (
	Constant     Law = "constant"
	Logarithmic  Law = "log n"
	Linear       Law = "linear"
	Linearithmic Law = "n log n"
	Power        Law = "n^p" // p above 1: worse than linear
)

// laws are tried from the slowest growth on, so that the plainer of two that fit alike is taken.
var laws = []Law{Constant, Logarithmic, Linear, Linearithmic, Power}

// The exponents that are tried for Power.
const minPower, maxPower, powerStep = 1.05, 3.0, 0.05

// term is f(n).
func (f Fit) term(n float64) float64 {
	switch f.Law {
	case Logarithmic:
		return math.Log(n)
	case Linear:
		return n
	case Linearithmic:
		return n * math.Log(n)
	case Power:
		return math.Pow(n, f.P)
	}
	return 0
}

const (
	// maxResidual bounds the deviation of the mean at any size from the law, as a fraction of the law's value there.
	maxResidual = 0.25
	// minScoreGain is by how much a law's score has to be better than a plainer one's: 2 is the penalty of one more
	// parameter in Akaike's criterion.
	minScoreGain = 2.0
	confidence   = 0.95
	minResidual  = 1e-9 // smaller residuals are rounding errors
)

// Reason is why a measure has no law.
type Reason string

// The reasons.
const (
	NoLaw        Reason = "no law fits"
	TooFewSizes  Reason = "fewer than 5 sizes"
	NotAboveZero Reason = "values not above 0"
)

// Fit is the law of one measure, fitted by least squares to the residuals as parts of the measured values: sizes
// span factors, and so do values.
type Fit struct {
	Measure
	Source       Source  `json:"source"`
	Law          Law     `json:"law"`           // empty for none
	Why          Reason  `json:"why,omitempty"` // there is none
	A            float64 `json:"a"`
	B            float64 `json:"b"`
	P            float64 `json:"p,omitempty"` // of Power
	Points       int     `json:"points"`
	From         int     `json:"from"` // the sizes that it was fitted over
	To           int     `json:"to"`
	Residual     float64 `json:"residual"` // root mean square, as a part of the value
	Worst        float64 `json:"worst"`    // of the means at the sizes, the same
	Exponent     float64 `json:"exponent"` // of the growth between the two largest sizes: 0 is constant, 1 linear
	SizesOmitted int     `json:"left"`     // smallest sizes left out, for no law fits over all

	weights, terms float64 // sums of the fit, for its uncertainty
	mean           float64
}

// observations are the values of one measure, by size.
type observations struct{ sizes, values []float64 }

// distinct are the sizes, ascending.
func (o observations) distinct() []float64 {
	return slices.Compact(slices.Sorted(slices.Values(o.sizes)))
}

// from returns the observations at a size and above.
func (o observations) from(minSize float64) (larger observations) {
	for i, n := range o.sizes {
		if n >= minSize {
			larger.sizes, larger.values = append(larger.sizes, n), append(larger.values, o.values[i])
		}
	}
	return larger
}

// means are those of the values at each distinct size.
func (o observations) means() (all []float64) {
	for _, n := range o.distinct() {
		var here []float64
		for i, size := range o.sizes {
			if size == n {
				here = append(here, o.values[i])
			}
		}
		all = append(all, stat.Mean(here, nil))
	}
	return all
}

// fitLaw returns the plainest law that fits. Where none does over all sizes, the smallest are left out in turn, as long as
// enough remain: what is constant for small sizes hides a law. The fit says why where there is none.
func fitLaw(o observations) Fit {
	sizes := o.distinct()
	none := Fit{Points: len(o.values), From: int(sizes[0]), To: int(sizes[len(sizes)-1]), Exponent: exponent(o), Why: NoLaw}
	switch {
	case slices.ContainsFunc(o.values, func(v float64) bool { return !(v > 0) || math.IsInf(v, 0) }):
		none.Why = NotAboveZero
		return none
	case len(sizes) < minSizes:
		none.Why = TooFewSizes
		return none
	}
	for left := 0; len(sizes)-left >= minSizes; left++ {
		if f, found := plainest(o.from(sizes[left])); found {
			f.SizesOmitted, f.Exponent = left, none.Exponent
			return f
		}
	}
	return none
}

// exponent is that of the growth between the two largest sizes; 0 for fewer.
func exponent(o observations) float64 {
	sizes, means := o.distinct(), o.means()
	n := len(sizes)
	if n < 2 || means[n-2] <= 0 || means[n-1] <= 0 {
		return 0
	}
	return math.Log(means[n-1]/means[n-2]) / math.Log(sizes[n-1]/sizes[n-2])
}

// plainest is the law that fits best, or a plainer one that fits about as well.
func plainest(o observations) (best Fit, found bool) {
	bestScore := math.Inf(1)
	for _, law := range laws {
		f, ok := fitLawTo(law, o)
		if !ok || f.Worst > maxResidual {
			continue
		}
		if score := f.score(); score < bestScore-minScoreGain {
			best, bestScore, found = f, score, true
		}
	}
	return best, found
}

// parameters are how many a law has.
func (l Law) parameters() int {
	switch l {
	case Constant:
		return 1
	case Power:
		return 3
	}
	return 2
}

// score is Akaike's criterion, corrected for few points: the smaller, the better.
func (f Fit) score() float64 {
	n, k := float64(f.Points), float64(f.Law.parameters()+1) // the scatter is one more
	return n*math.Log(max(minResidual, f.Residual)*max(minResidual, f.Residual)) + 2*k + 2*k*(k+1)/max(1, n-k-1)
}

// fitLawTo fits a law, with the exponent that leaves the least residual where the law has one.
func fitLawTo(law Law, o observations) (best Fit, found bool) {
	if law != Power {
		return fitOne(Fit{Law: law}, o)
	}
	for p := minPower; p <= maxPower; p += powerStep {
		f, ok := fitOne(Fit{Law: law, P: p}, o)
		if ok && (!found || f.Residual < best.Residual) {
			best, found = f, true
		}
	}
	return best, found
}

// fitOne fits one law. One that falls with the size, or is not above 0 at a measured size, is none.
func fitOne(f Fit, o observations) (Fit, bool) {
	terms, weights := make([]float64, len(o.sizes)), make([]float64, len(o.sizes))
	for i, n := range o.sizes {
		terms[i], weights[i] = f.term(n), 1/(o.values[i]*o.values[i])
	}
	f.Points, f.From, f.To = len(o.sizes), int(slices.Min(o.sizes)), int(slices.Max(o.sizes))
	f.A, f.B = stat.Mean(o.values, weights), 0
	if f.Law != Constant {
		f.A, f.B = stat.LinearRegression(terms, o.values, weights, false)
		if !(f.B > 0) {
			return f, false
		}
	}
	f.mean = stat.Mean(terms, weights)
	for i, w := range weights {
		f.weights += w
		f.terms += w * (terms[i] - f.mean) * (terms[i] - f.mean)
	}
	return f, f.residuals(o)
}

// residuals works out how far the values are from the law; false where the law is not above 0.
func (f *Fit) residuals(o observations) bool {
	sum := 0.0
	for i, n := range o.sizes {
		part := (o.values[i] - f.At(n)) / o.values[i]
		sum += part * part
	}
	f.Residual = math.Sqrt(sum / float64(len(o.sizes)))
	for i, n := range o.distinct() {
		at := f.At(n)
		if at <= 0 {
			return false
		}
		f.Worst = max(f.Worst, math.Abs(o.means()[i]-at)/at)
	}
	return true
}

// At is the law's value at a size.
func (f Fit) At(n float64) float64 { return f.A + f.B*f.term(n) }

// Between is where a further measurement at a size would lie, with a confidence of 95%, if the law holds there. The
// scatter is taken to be the same part of the value at all sizes.
func (f Fit) Between(n float64) (low, high float64) {
	k := f.Law.parameters()
	if f.Points <= k {
		return math.Inf(-1), math.Inf(1)
	}
	scatter := f.Residual * math.Sqrt(float64(f.Points)/float64(f.Points-k))
	at := f.At(n)
	ofLaw := 1 / f.weights
	if f.terms > 0 {
		away := f.term(n) - f.mean
		ofLaw += away * away / f.terms
	}
	half := scatter * math.Sqrt(at*at+ofLaw) *
		distuv.StudentsT{Sigma: 1, Nu: float64(f.Points - k)}.Quantile((1+confidence)/2)
	return at - half, at + half
}

// Reaches is the size at which the law comes to a value; ok is false where it never does.
func (f Fit) Reaches(value float64) (size float64, ok bool) {
	const most = 1e12
	switch {
	case f.At(1) >= value:
		return 1, true
	case f.At(most) < value:
		return 0, false
	}
	low, high := 0.0, math.Log(most) // of the size's logarithm
	for range 100 {
		if middle := (low + high) / 2; f.At(math.Exp(middle)) < value {
			low = middle
		} else {
			high = middle
		}
	}
	return math.Exp(high), true
}

// Formula is the law as people write it.
func (f Fit) Formula() string {
	switch f.Law {
	case "":
		return ""
	case Constant:
		return fmt.Sprintf("%.3g", f.A)
	case Power:
		return fmt.Sprintf("%.3g + %.3g·n^%.2f", f.A, f.B, f.P)
	case Logarithmic:
		return fmt.Sprintf("%.3g + %.3g·ln n", f.A, f.B)
	case Linearithmic:
		return fmt.Sprintf("%.3g + %.3g·n·ln n", f.A, f.B)
	}
	return fmt.Sprintf("%.3g + %.3g·n", f.A, f.B)
}
