package scaletest

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report is the result of a run of a scenario.
type Report struct {
	Scenario     Scenario        `json:"scenario"` // with the seed of the run
	Machine      Machine         `json:"machine"`
	Began        time.Time       `json:"began"`
	Measurements []Measurement   `json:"measurements"`
	Ratios       []Ratio         `json:"ratios,omitempty"` // of real processes to hollow nodes (see Ratio)
	Laws         []Extrapolation `json:"laws"`
	NotMeasured  []Dimension     `json:"dimensions_not_measured"`
	Stopped      string          `json:"stopped,omitempty"` // why the run ended early; empty if it is complete
}

// Extrapolation is a law and its extrapolation to the target, which is the size that the scenario names as its target.
type Extrapolation struct {
	Fit
	Target       float64 `json:"target,omitempty"`
	AtTarget     float64 `json:"at_target,omitempty"`
	Low          float64 `json:"low,omitempty"` // Low and High bound 95% of measurements at the target, if the law holds
	High         float64 `json:"high,omitempty"`
	TargetFactor float64 `json:"beyond,omitempty"`  // Target as a multiple of the largest measured size
	Limit        float64 `json:"budget,omitempty"`  // 0 if the measure has no budget
	Reaches      float64 `json:"reaches,omitempty"` // size at which the law reaches the budget; see Fit.Reaches; 0 if none
}

// Ratio compares a measure of a process and of a hollow node (a node's code in this process, without sockets for requests)
// at one size. Both values are means over the runs.
type Ratio struct {
	Measure
	Size    int     `json:"size"`
	Hollow  float64 `json:"hollow"`
	Process float64 `json:"process"`
	Ratio   float64 `json:"ratio"` // Process / Hollow
}

// ratios returns the ratios of all measures and sizes with values of both sources. It omits ratios to a hollow value of
// 0.
func (r *Report) ratios() (all []Ratio) {
	for _, m := range r.Measures() {
		for _, size := range r.Sizes() {
			hollow, process := r.Values(m, Hollow, size), r.Values(m, Process, size)
			if len(hollow) == 0 || len(process) == 0 {
				continue
			}
			ratio := Ratio{Measure: m, Size: size, Hollow: stat.Mean(hollow, nil), Process: stat.Mean(process, nil)}
			if ratio.Hollow != 0 {
				ratio.Ratio = ratio.Process / ratio.Hollow
				all = append(all, ratio)
			}
		}
	}
	return all
}

// unfittedMeasures are the measures that no law is fitted to: the reciprocal of another measure, values that the scenario
// determines, and values that should be 0.
var unfittedMeasures = []Measure{DecisionRate, Refused, ChangeRate, ChangesRefused, ChangesMissed, ServersRemoved, ServersListed,
	ListReceived, RequestsSent, RequestsFailed}

// observationsOf returns the values of a measure of one source.
func observationsOf(all []Measurement, m Measure, source Source) (o observations) {
	for _, v := range all {
		if v.Measure == m && v.Source == source {
			o.sizes, o.values = append(o.sizes, float64(v.Size)), append(o.values, v.Value)
		}
	}
	return o
}

// distinct returns the distinct results of value, in the order of their first occurrence.
func distinct[T comparable](measurements []Measurement, value func(Measurement) T) (all []T) {
	for _, m := range measurements {
		if v := value(m); !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

// Sources returns the measured sources, sorted.
func (r *Report) Sources() []Source {
	return slices.Sorted(slices.Values(distinct(r.Measurements, func(m Measurement) Source { return m.Source })))
}

// Measures returns the recorded measures, in the order of their first measurement.
func (r *Report) Measures() []Measure {
	return distinct(r.Measurements, func(m Measurement) Measure { return m.Measure })
}

// Sizes returns the measured sizes in ascending order.
func (r *Report) Sizes() []int {
	return slices.Sorted(slices.Values(distinct(r.Measurements, func(m Measurement) int { return m.Size })))
}

// Values returns the values of a measure of one source at one size, in the order of the runs.
func (r *Report) Values(m Measure, source Source, size int) (all []float64) {
	for _, v := range r.Measurements {
		if v.Measure == m && v.Source == source && v.Size == size {
			all = append(all, v.Value)
		}
	}
	return all
}

// fit fits a law to each measure except unfittedMeasures, and sets the fields of the report that are computed from the
// measurements.
func (r *Report) fit() {
	r.NotMeasured = NotMeasured
	r.Ratios = r.ratios()
	r.Laws = Laws(r.Measurements, r.Scenario.Target, r.Scenario.Budgets)
}

// Laws fits a law to each measure of each source except unfittedMeasures, and extrapolates it to the target unless that
// is 0. All measurements must be of one dimension.
func Laws(all []Measurement, target float64, budgets []Limit) (laws []Extrapolation) {
	type series struct {
		Measure
		Source
	}
	var fitted []series
	for _, v := range all {
		key := series{v.Measure, v.Source}
		if slices.Contains(fitted, key) || slices.Contains(unfittedMeasures, v.Measure) {
			continue
		}
		fitted = append(fitted, key)
		laws = append(laws, extrapolate(v.Measure, v.Source, observationsOf(all, v.Measure, v.Source), target, budgets))
	}
	return laws
}

func extrapolate(m Measure, source Source, o observations, target float64, budgets []Limit) Extrapolation {
	f := fitLaw(o)
	f.Measure, f.Source = m, source
	e := Extrapolation{Fit: f, Target: target, Limit: limitOf(m, budgets)}
	if f.Law == "" || e.Target == 0 {
		return e
	}
	e.AtTarget = f.At(e.Target)
	e.Low, e.High = f.PredictionInterval(e.Target)
	e.TargetFactor = e.Target / float64(f.MaxSize)
	if e.Limit > 0 {
		e.Reaches, _ = f.Reaches(e.Limit)
	}
	return e
}

// limitOf returns the budget of a measure, or 0 if it has none.
func limitOf(m Measure, budgets []Limit) float64 {
	for _, b := range budgets {
		if b.Measure == m.Name {
			return b.Max
		}
	}
	return 0
}
