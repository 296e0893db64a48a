package scaletest

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Law is how a measure grows with a size n. The zero value means that no law fits.
type Law string

// The laws, each of the form a + b·f(n).
const (
	Constant     Law = "constant"
	Logarithmic  Law = "log n"
	Linear       Law = "linear"
	Linearithmic Law = "n log n"
	Power        Law = "n^p" // p above 1: worse than linear
)

// laws lists the laws from the slowest growth to the fastest. If two fit about equally well, the slower growth is chosen.
var laws = []Law{Constant, Logarithmic, Linear, Linearithmic, Power}

// Range and step of the exponents that are tried for Power.
const minPower, maxPower, powerStep = 1.05, 3.0, 0.05

// term returns f(n), without the coefficients a and b.
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
	// maxResidual is the largest allowed deviation of the mean at any size from the law, as a fraction of the law's value
	// there.
	maxResidual = 0.25
	// minScoreGain is how much lower a law's score has to be than the score of a simpler law for the law to be chosen. 2 is
	// the penalty for one more parameter in Akaike's information criterion.
	minScoreGain = 2.0
	confidence   = 0.95
	minResidual  = 1e-9 // smaller residuals are rounding errors, and count as this
)

// Reason says why no law was fitted to a measure.
type Reason string

// The reasons.
const (
	NoLaw        Reason = "no law fits"
	TooFewSizes  Reason = "fewer than 5 sizes"
	NotAboveZero Reason = "values not above 0"
)

// Fit is the law of one measure, fitted by least squares. Residuals are relative to the measured values, because sizes and
// values span orders of magnitude.
type Fit struct {
	Measure
	Source       Source  `json:"source"`
	Law          Law     `json:"law"`           // empty if no law was fitted
	Why          Reason  `json:"why,omitempty"` // why there is no law
	A            float64 `json:"a"`
	B            float64 `json:"b"`
	P            float64 `json:"p,omitempty"` // exponent of Power
	Points       int     `json:"points"`
	MinSize      int     `json:"from"` // MinSize and MaxSize are the smallest and the largest size of the fit
	MaxSize      int     `json:"to"`
	Residual     float64 `json:"residual"` // root mean square, as a fraction of the value
	MaxDeviation float64 `json:"worst"`    // largest deviation of a mean from the law, as a fraction of the law's value
	Exponent     float64 `json:"exponent"` // of the growth between the two largest sizes: 0 is constant, 1 is linear
	SizesOmitted int     `json:"left"`     // number of smallest sizes left out because no law fits all sizes

	weights, terms float64 // for PredictionInterval: sum of the weights, weighted sum of squared deviations of the terms
	meanTerm       float64 // weighted
}

// observations holds the values of one measure and the size of each.
type observations struct{ sizes, values []float64 }

// distinctSizes returns the sizes in ascending order, each once.
func (o observations) distinctSizes() []float64 {
	return slices.Compact(slices.Sorted(slices.Values(o.sizes)))
}

// fromSize returns the observations at minSize and above.
func (o observations) fromSize(minSize float64) (larger observations) {
	for i, n := range o.sizes {
		if n >= minSize {
			larger.sizes, larger.values = append(larger.sizes, n), append(larger.values, o.values[i])
		}
	}
	return larger
}

// means returns the mean of the values at each distinct size, by ascending size.
func (o observations) means() (all []float64) {
	for _, n := range o.distinctSizes() {
		var atSize []float64
		for i, size := range o.sizes {
			if size == n {
				atSize = append(atSize, o.values[i])
			}
		}
		all = append(all, stat.Mean(atSize, nil))
	}
	return all
}

// fitLaw returns the simplest law that fits. If none fits all sizes, it leaves out the smallest sizes one by one while at
// least minSizes remain, because a constant cost may hide the law at small sizes. If it returns no law, Why says the reason.
func fitLaw(o observations) Fit {
	sizes := o.distinctSizes()
	noFit := Fit{Points: len(o.values), MinSize: int(sizes[0]), MaxSize: int(sizes[len(sizes)-1]),
		Exponent: exponent(o), Why: NoLaw}
	switch {
	case slices.ContainsFunc(o.values, func(v float64) bool { return !(v > 0) || math.IsInf(v, 0) }):
		noFit.Why = NotAboveZero
		return noFit
	case len(sizes) < minSizes:
		noFit.Why = TooFewSizes
		return noFit
	}
	for omitted := 0; len(sizes)-omitted >= minSizes; omitted++ {
		if f, found := simplestFit(o.fromSize(sizes[omitted])); found {
			f.SizesOmitted, f.Exponent = omitted, noFit.Exponent
			return f
		}
	}
	return noFit
}

// exponent returns the exponent of the growth between the two largest sizes, or 0 if there is only one size or one of the
// two means is not above 0.
func exponent(o observations) float64 {
	sizes, means := o.distinctSizes(), o.means()
	n := len(sizes)
	if n < 2 || means[n-2] <= 0 || means[n-1] <= 0 {
		return 0
	}
	return math.Log(means[n-1]/means[n-2]) / math.Log(sizes[n-1]/sizes[n-2])
}

// simplestFit returns the law with the best score, or a simpler one whose score is within minScoreGain of it. Laws from
// which a mean deviates by more than maxResidual are left out.
func simplestFit(o observations) (best Fit, found bool) {
	bestScore := math.Inf(1)
	for _, law := range laws {
		f, ok := fitGivenLaw(law, o)
		if !ok || f.MaxDeviation > maxResidual {
			continue
		}
		if score := f.score(); score < bestScore-minScoreGain {
			best, bestScore, found = f, score, true
		}
	}
	return best, found
}

// parameterCount returns the number of fitted parameters of a law.
func (l Law) parameterCount() int {
	switch l {
	case Constant:
		return 1
	case Power:
		return 3
	}
	return 2
}

// score returns Akaike's information criterion with the correction for small samples. Lower is better.
func (f Fit) score() float64 {
	n, k := float64(f.Points), float64(f.Law.parameterCount()+1) // the variance of the residuals counts as a parameter
	return n*math.Log(max(minResidual, f.Residual)*max(minResidual, f.Residual)) + 2*k + 2*k*(k+1)/max(1, n-k-1)
}

// fitGivenLaw fits one law. For Power it tries all exponents and returns the fit with the smallest residual.
func fitGivenLaw(law Law, o observations) (best Fit, found bool) {
	if law != Power {
		return fitCoefficients(Fit{Law: law}, o)
	}
	for p := minPower; p <= maxPower; p += powerStep {
		f, ok := fitCoefficients(Fit{Law: law, P: p}, o)
		if ok && (!found || f.Residual < best.Residual) {
			best, found = f, true
		}
	}
	return best, found
}

// fitCoefficients fits a and b of f.Law, with the exponent f.P. It returns false if the law doesn't grow with the size,
// although it isn't Constant, or is not above 0 at a measured size.
func fitCoefficients(f Fit, o observations) (Fit, bool) {
	terms, weights := make([]float64, len(o.sizes)), make([]float64, len(o.sizes))
	for i, n := range o.sizes {
		terms[i], weights[i] = f.term(n), 1/(o.values[i]*o.values[i])
	}
	f.Points, f.MinSize, f.MaxSize = len(o.sizes), int(slices.Min(o.sizes)), int(slices.Max(o.sizes))
	f.A, f.B = stat.Mean(o.values, weights), 0
	if f.Law != Constant {
		f.A, f.B = stat.LinearRegression(terms, o.values, weights, false)
		if !(f.B > 0) {
			return f, false
		}
	}
	f.meanTerm = stat.Mean(terms, weights)
	for i, w := range weights {
		f.weights += w
		f.terms += w * (terms[i] - f.meanTerm) * (terms[i] - f.meanTerm)
	}
	return f, f.computeResiduals(o)
}

// computeResiduals sets Residual and MaxDeviation. It returns false if the law is not above 0 at a measured size.
func (f *Fit) computeResiduals(o observations) bool {
	sum := 0.0
	for i, n := range o.sizes {
		relative := (o.values[i] - f.At(n)) / o.values[i]
		sum += relative * relative
	}
	f.Residual = math.Sqrt(sum / float64(len(o.sizes)))
	for i, n := range o.distinctSizes() {
		at := f.At(n)
		if at <= 0 {
			return false
		}
		f.MaxDeviation = max(f.MaxDeviation, math.Abs(o.means()[i]-at)/at)
	}
	return true
}

// At returns the law's value at size n.
func (f Fit) At(n float64) float64 { return f.A + f.B*f.term(n) }

// PredictionInterval returns the interval in which a further measurement at size n lies with a probability of 95%, if the
// law holds there. It assumes that the relative error is the same at all sizes. The interval is infinite if the points are
// no more than the parameters of the law.
func (f Fit) PredictionInterval(n float64) (low, high float64) {
	k := f.Law.parameterCount()
	if f.Points <= k {
		return math.Inf(-1), math.Inf(1)
	}
	relativeError := f.Residual * math.Sqrt(float64(f.Points)/float64(f.Points-k))
	at := f.At(n)
	meanVariance := 1 / f.weights
	if f.terms > 0 {
		deviation := f.term(n) - f.meanTerm
		meanVariance += deviation * deviation / f.terms
	}
	halfWidth := relativeError * math.Sqrt(at*at+meanVariance) *
		distuv.StudentsT{Sigma: 1, Nu: float64(f.Points - k)}.Quantile((1+confidence)/2)
	return at - halfWidth, at + halfWidth
}

// Reaches returns the smallest size at which the law reaches a value. It returns false if the law doesn't reach it at any
// size up to 1e12.
func (f Fit) Reaches(value float64) (size float64, ok bool) {
	const maxSize = 1e12
	switch {
	case f.At(1) >= value:
		return 1, true
	case f.At(maxSize) < value:
		return 0, false
	}
	low, high := 0.0, math.Log(maxSize) // logarithms of sizes
	for range 100 {
		if middle := (low + high) / 2; f.At(math.Exp(middle)) < value {
			low = middle
		} else {
			high = middle
		}
	}
	return math.Exp(high), true
}

// Formula returns the law as text for people, such as 3.5 + 0.2·n, or an empty string if there is no law.
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
