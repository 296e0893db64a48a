// Package scaletest measures how the costs of a node and of the registry grow. Hollow nodes run the code that ships, many
// in one process and without the sockets of requests; a scenario names one dimension and the sizes at which it is measured, and a law is
// fitted to each measure. Nothing here is linked into a node.
package scaletest

import "slices"

// Source says what a measurement was taken of.
type Source string

// The sources.
const (
	Hollow  Source = "hollow"  // a hollow node, in this process
	Process Source = "process" // the node's program as it ships, in a process of its own
)

// Unit is what a value is counted in.
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

// Measure is what was measured. Its name is the key by which measurements of different runs, sizes and sources are
// set beside each other.
type Measure struct {
	Name string `json:"measure"`
	Unit Unit   `json:"unit"`
}

// The measures. Those of a node are of one node, unless the name says otherwise.
var (
	DecisionCPU      = Measure{"decision CPU", Nanoseconds}           // of a request's decision and its outcome, collector included
	DecisionP50      = Measure{"decision p50", Nanoseconds}           // the same in elapsed time
	DecisionP99      = Measure{"decision p99", Nanoseconds}           //
	DecisionRate     = Measure{"decisions a second", PerSecond}       // of one core's time
	Refused          = Measure{"refused within quota", Percent}       // of requests that no limit should have rejected
	ListChangeCPU    = Measure{"list change CPU", Nanoseconds}        // of a delta that names one server, read and applied
	ListChangeP99    = Measure{"list change p99", Nanoseconds}        // the same in elapsed time
	ConfigCPU        = Measure{"configuration CPU", Nanoseconds}      // of a file, read, checked and applied
	StartCPU         = Measure{"start CPU", Nanoseconds}              // from reading a configuration to having applied the list
	ControlCPU       = Measure{"control CPU", CorePercent}            // of a node with no requests
	RegistryCPU      = Measure{"registry CPU", CorePercent}           // of one replica
	RegistryResident = Measure{"registry resident memory", Bytes}     // the same
	Heap             = Measure{"heap", Bytes}                         // in use after a collection
	Resident         = Measure{"resident memory", Bytes}              // of the whole process, its nodes and the measuring
	ListBytes        = Measure{"whole list", Bytes}                   // as it is on the wire
	ConfigBytes      = Measure{"configuration", Bytes}                // as it is in the file
	ReceivedBytes    = Measure{"received by a node", BytesPerSecond}  // on the sockets of its list client
	SentBytes        = Measure{"sent by a node", BytesPerSecond}      //
	ReceivedReads    = Measure{"messages to a node", PerSecond}       // of its list client
	SentWrites       = Measure{"messages from a node", PerSecond}     // of its list client
	ChangeRate       = Measure{"changes a second", PerSecond}         // accepted, where the registry keeps up
	ChangesRefused   = Measure{"changes refused", Count}              // by an overloaded registry
	InForceP50       = Measure{"change in force p50", Milliseconds}   // from when it is due until a node has applied it
	InForceP99       = Measure{"change in force p99", Milliseconds}   //
	InForceLast      = Measure{"change in force, last", Milliseconds} // the latest of all changes at all nodes
	ChangesMissed    = Measure{"changes missed", Count}               // at a node, not in force when the run ended
)

// Measures are all measures, in the order of tables.
func Measures() []Measure {
	return append([]Measure{DecisionCPU, DecisionP50, DecisionP99, DecisionRate, Refused, ListChangeCPU, ListChangeP99, ConfigCPU,
		StartCPU, ControlCPU, RegistryCPU, RegistryResident, Heap, Resident, ListBytes, ConfigBytes, ReceivedBytes,
		SentBytes, ReceivedReads, SentWrites, ChangeRate, ChangesRefused, InForceP50, InForceP99, InForceLast, ChangesMissed, ReturnCalls,
		ReturnBytes, LeaderAgain, ServersRemoved},
		realMeasures()...)
}

// Measurement is one value at one point.
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
	dimension string
	size, run int
	source    Source
	all       []Measurement
}

// NewRecorder records what is measured at one size, in one run, of one source.
func NewRecorder(dimension string, size, run int, source Source) *Recorder {
	return &Recorder{dimension: dimension, size: size, run: run, source: source}
}

// Record adds a value.
func (r *Recorder) Record(m Measure, value float64) {
	r.all = append(r.all, Measurement{r.dimension, r.size, r.run, r.source, value, m})
}

// Measurements are the values so far, in order.
func (r *Recorder) Measurements() []Measurement { return slices.Clone(r.all) }

// forget drops the values of these measures.
func (r *Recorder) forget(measures ...Measure) {
	r.all = slices.DeleteFunc(r.all, func(v Measurement) bool { return slices.Contains(measures, v.Measure) })
}
