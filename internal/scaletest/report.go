package scaletest

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report is the result of a run.
type Report struct {
	Scenario     Scenario      `json:"scenario"` // its seed included
	Machine      Machine       `json:"machine"`
	Began        time.Time     `json:"began"`
	Measurements []Measurement `json:"measurements"`
	Ratios       []Ratio       `json:"ratios,omitempty"` // of processes to hollow nodes
	Laws         []Extrapolate `json:"laws"`
	NotMeasured  []Dimension   `json:"dimensions_not_measured"`
	Stopped      string        `json:"stopped,omitempty"` // why it ended before all was measured
}

// Extrapolate is a law and its value at the target.
type Extrapolate struct {
	Fit
	Target   float64 `json:"target,omitempty"`
	AtTarget float64 `json:"at_target,omitempty"`
	Low      float64 `json:"low,omitempty"` // and High: 95% of measurements there, if the law holds
	High     float64 `json:"high,omitempty"`
	Beyond   float64 `json:"beyond,omitempty"`  // times the largest size measured
	Limit    float64 `json:"budget,omitempty"`  // 0 for none
	Reaches  float64 `json:"reaches,omitempty"` // the size at which the law reaches the budget; 0 for never
}

// Ratio compares a measure of a process with that of a hollow node, at one size, by the means of the runs.
type Ratio struct {
	Measure
	Size    int     `json:"size"`
	Hollow  float64 `json:"hollow"`
	Process float64 `json:"process"`
	Ratio   float64 `json:"ratio"` // of the process to the hollow node
}

// ratios are those of all measures and sizes that both were measured at.
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

// noLaw are measures that no law is fitted to: a reciprocal of another, and counts that should be 0.
var noLaw = []Measure{DecisionRate, Refused, ChangeRate, ChangesRefused, ChangesMissed, ServersRemoved, ServersListed, ListReceived,
	RequestsSent, RequestsFailed}

// observed are the values of a measure, of one source.
func observed(all []Measurement, m Measure, source Source) (o observations) {
	for _, v := range all {
		if v.Measure == m && v.Source == source {
			o.sizes, o.values = append(o.sizes, float64(v.Size)), append(o.values, v.Value)
		}
	}
	return o
}

// distinct returns what the measurements have, each value once, in the order in which they first came.
func distinct[T comparable](measurements []Measurement, value func(Measurement) T) (all []T) {
	for _, m := range measurements {
		if v := value(m); !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	return all
}

// Sources are those that were measured, in order.
func (r *Report) Sources() []Source {
	return slices.Sorted(slices.Values(distinct(r.Measurements, func(m Measurement) Source { return m.Source })))
}

// Measures are those that were measured, in the order in which they were first.
func (r *Report) Measures() []Measure {
	return distinct(r.Measurements, func(m Measurement) Measure { return m.Measure })
}

// Sizes are those that were measured, ascending.
func (r *Report) Sizes() []int {
	return slices.Sorted(slices.Values(distinct(r.Measurements, func(m Measurement) int { return m.Size })))
}

// Values are those of a measure at a size, in the order of the runs.
func (r *Report) Values(m Measure, source Source, size int) (all []float64) {
	for _, v := range r.Measurements {
		if v.Measure == m && v.Source == source && v.Size == size {
			all = append(all, v.Value)
		}
	}
	return all
}

// fit fits a law to each measure.
func (r *Report) fit() {
	r.NotMeasured = NotMeasured
	r.Ratios = r.ratios()
	r.Laws = Laws(r.Measurements, r.Scenario.Target, r.Scenario.Budgets)
}

// Laws are those of each measure, of each source, and what they say of a target; a target of 0 is none. The measurements
// are of one dimension.
func Laws(all []Measurement, target float64, budgets []Limit) (laws []Extrapolate) {
	type series struct {
		Measure
		Source
	}
	var done []series
	for _, v := range all {
		of := series{v.Measure, v.Source}
		if slices.Contains(done, of) || slices.Contains(noLaw, v.Measure) {
			continue
		}
		done = append(done, of)
		laws = append(laws, extrapolate(v.Measure, v.Source, observed(all, v.Measure, v.Source), target, budgets))
	}
	return laws
}

func extrapolate(m Measure, source Source, o observations, target float64, budgets []Limit) Extrapolate {
	f := fitLaw(o)
	f.Measure, f.Source = m, source
	e := Extrapolate{Fit: f, Target: target, Limit: limitOf(m, budgets)}
	if f.Law == "" || e.Target == 0 {
		return e
	}
	e.AtTarget = f.At(e.Target)
	e.Low, e.High = f.Between(e.Target)
	e.Beyond = e.Target / float64(f.To)
	if e.Limit > 0 {
		e.Reaches, _ = f.Reaches(e.Limit)
	}
	return e
}

// limitOf is the limit of a measure; 0 for none.
func limitOf(m Measure, budgets []Limit) float64 {
	for _, b := range budgets {
		if b.Measure == m.Name {
			return b.Max
		}
	}
	return 0
}
