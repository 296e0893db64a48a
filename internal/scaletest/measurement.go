// Package scaletest measures how the costs of a node and of the registry grow with the size of a fleet. Hollow nodes
// run the shipped code, many in one process and without sockets for requests. A scenario names one dimension and the
// sizes at which it is measured. The measurement of one size in one run is a point. A law is fitted to each measure.
// Nothing in this package is linked into a node.
package scaletest

import "slices"

// Source is the kind of node or process that a measurement was taken from.
type Source string

// The sources.
const (
	Hollow  Source = "hollow"  // a hollow node, in this process
	Process Source = "process" // the shipped programs, each in a process of its own
)

// Unit is the unit of a measure.
type Unit string

// The units.
const (
	Nanoseconds    Unit = "ns"
	Milliseconds   Unit = "ms"
	Bytes          Unit = "B"
	BytesPerSecond Unit = "B/s"
	PerSecond      Unit = "1/s"
	CorePercent    Unit = "% of a core"
	Percent        Unit = "%"
	Count          Unit = "count"
	Times          Unit = "times"
)

// Measure is a measured quantity. Its name is the key by which measurements of different runs, sizes and sources are
// compared.
type Measure struct {
	Name string `json:"measure"`
	Unit Unit   `json:"unit"`
}

// The measures. A measure of nodes is the value for one node, unless its comment says otherwise.
var (
	DecisionCPU      = Measure{"decision CPU", Nanoseconds}           // of a decision and its outcome, with garbage collection
	DecisionP50      = Measure{"decision p50", Nanoseconds}           // elapsed time of a decision and its outcome
	DecisionP99      = Measure{"decision p99", Nanoseconds}           // elapsed time of a decision and its outcome
	DecisionRate     = Measure{"decisions a second", PerSecond}       // decisions in one second of CPU time
	Refused          = Measure{"refused within quota", Percent}       // of the requests, which are within the quotas
	ListChangeCPU    = Measure{"list change CPU", Nanoseconds}        // to read and apply a delta of one server
	ListChangeP99    = Measure{"list change p99", Nanoseconds}        // elapsed time to read and apply a delta of one server
	ConfigCPU        = Measure{"configuration CPU", Nanoseconds}      // to read, check and apply a configuration file
	StartCPU         = Measure{"start CPU", Nanoseconds}              // to read the configuration and apply the first list
	ControlCPU       = Measure{"control CPU", CorePercent}            // of a node without requests
	RegistryCPU      = Measure{"registry CPU", CorePercent}           // of one replica
	RegistryResident = Measure{"registry resident memory", Bytes}     // of one replica
	Heap             = Measure{"heap", Bytes}                         // in use after a garbage collection
	Resident         = Measure{"resident memory", Bytes}              // of this process with all hollow nodes, or of a real node
	ListBytes        = Measure{"whole list", Bytes}                   // encoded, as a response body
	ConfigBytes      = Measure{"configuration", Bytes}                // configuration file
	ReceivedBytes    = Measure{"received by a node", BytesPerSecond}  // on the sockets of its list client; bodies alone for Process
	SentBytes        = Measure{"sent by a node", BytesPerSecond}      // on the sockets of its list client
	ReceivedMessages = Measure{"messages to a node", PerSecond}       // responses to its list client
	SentMessages     = Measure{"messages from a node", PerSecond}     // calls of its list client
	ChangeRate       = Measure{"changes a second", PerSecond}         // changes that the registry accepted
	ChangesRefused   = Measure{"changes refused", Count}              // by a registry that is overloaded or has no leader
	InForceP50       = Measure{"change in force p50", Milliseconds}   // from a change's due time until a node has applied it
	InForceP99       = Measure{"change in force p99", Milliseconds}   // from a change's due time until a node has applied it
	InForceLast      = Measure{"change in force, last", Milliseconds} // the longest of these times
	ChangesMissed    = Measure{"changes missed", Count}               // (change, node) pairs not in force when the run ended
)

// Measures returns all measures in the order in which tables show them.
func Measures() []Measure {
	return append([]Measure{DecisionCPU, DecisionP50, DecisionP99, DecisionRate, Refused, ListChangeCPU, ListChangeP99, ConfigCPU,
		StartCPU, ControlCPU, RegistryCPU, RegistryResident, Heap, Resident, ListBytes, ConfigBytes, ReceivedBytes,
		SentBytes, ReceivedMessages, SentMessages, ChangeRate, ChangesRefused, InForceP50, InForceP99, InForceLast,
		ChangesMissed, PeakCallsAfterFault, PeakBytesAfterFault, LeaderElectionTime, ServersRemoved},
		processMeasures()...)
}

// Measurement is the value of one measure at one point.
type Measurement struct {
	Dimension string  `json:"dimension"`
	Size      int     `json:"size"`
	Run       int     `json:"run"` // from 1
	Source    Source  `json:"source"`
	Value     float64 `json:"value"`
	Measure
}

// Recorder collects the values of one point.
type Recorder struct {
	dimension    string
	size, run    int
	source       Source
	measurements []Measurement
}

// NewRecorder returns a recorder for measurements of one source at one size, in one run.
func NewRecorder(dimension string, size, run int, source Source) *Recorder {
	return &Recorder{dimension: dimension, size: size, run: run, source: source}
}

// Record adds a value.
func (r *Recorder) Record(m Measure, value float64) {
	r.measurements = append(r.measurements, Measurement{r.dimension, r.size, r.run, r.source, value, m})
}

// Measurements returns the recorded values in the order in which they were recorded.
func (r *Recorder) Measurements() []Measurement { return slices.Clone(r.measurements) }

// discard removes the recorded values of some measures.
func (r *Recorder) discard(measures ...Measure) {
	r.measurements = slices.DeleteFunc(r.measurements, func(v Measurement) bool { return slices.Contains(measures, v.Measure) })
}
