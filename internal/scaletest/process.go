package scaletest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/procfs"

	"sloerail/internal/testcluster"
)

// Measures that are taken only from real processes, not from hollow nodes. A hollow node is a node's code in this process,
// without sockets for requests.
var (
	PeakResident        = Measure{"peak resident memory", Bytes}            // since the process started
	StartTime           = Measure{"start", Milliseconds}                    // until the node has its list and is ready
	ServersListed       = Measure{"servers listed", Count}                  // entries in the node's list after its start
	ListReceived        = Measure{"list taken from the service", Count}     // 1, or 0 if the node got its list from its configuration
	ChangeBytes         = Measure{"list change", Bytes}                     // of response bodies, for one change
	UnroutedChangeCPU   = Measure{"list change elsewhere CPU", Nanoseconds} // for a change of a server that no route of the node uses
	UnroutedChangeBytes = Measure{"list change elsewhere", Bytes}           // of response bodies, for one such change
	RequestCPU          = Measure{"request CPU", Nanoseconds}               // of the node, for one request
	DirectP50           = Measure{"request without a node, p50", Nanoseconds}
	DirectP99           = Measure{"request without a node, p99", Nanoseconds}
	ThroughP50          = Measure{"request through a node, p50", Nanoseconds}
	ThroughP99          = Measure{"request through a node, p99", Nanoseconds}
	AddedP50            = Measure{"added to a request, p50", Nanoseconds} // ThroughP50 - DirectP50
	AddedP99            = Measure{"added to a request, p99", Nanoseconds} // ThroughP99 - DirectP99
	RequestsFailed      = Measure{"requests that failed", Count}
	RequestsSent        = Measure{"requests through a node", Count}
	RegisterRate        = Measure{"registrations a second", PerSecond} // by all writers
	RenewRate           = Measure{"renewals a second", PerSecond}      // by all writers
	RenewCPU            = Measure{"renewal CPU", Nanoseconds}          // of all replicas, for one renewal
	WatcherNotifiedP50  = Measure{"watcher told p50", Milliseconds}    // from the start of a write until a watcher has read it
	WatcherNotifiedP99  = Measure{"watcher told p99", Milliseconds}    // from the start of a write until a watcher has read it
	WatcherNotifiedLast = Measure{"watcher told, last", Milliseconds}  // the longest of these times
	WatcherCPU          = Measure{"watcher told CPU", Nanoseconds}     // of all replicas, divided by the changes and the watchers
	LeaderResident      = Measure{"leader's resident memory", Bytes}
)

// processMeasures returns the measures that only real processes have, in the order in which tables show them.
func processMeasures() []Measure {
	return []Measure{PeakResident, StartTime, ServersListed, ListReceived, ChangeBytes, UnroutedChangeCPU, UnroutedChangeBytes,
		RequestCPU, DirectP50, DirectP99, ThroughP50, ThroughP99, AddedP50, AddedP99, RequestsFailed, RequestsSent, RegisterRate,
		RenewRate, RenewCPU, WatcherNotifiedP50, WatcherNotifiedP99, WatcherNotifiedLast, WatcherCPU, LeaderResident}
}

// ProcessSpec says how real processes are measured. Zero fields except Seed are replaced by defaults. The defaults of Routes
// and Requests are derived from the target fleet, which is the fleet size that the scenarios name as their target.
type ProcessSpec struct {
	Seed     uint64
	Window   time.Duration // duration over which rates are measured
	Routes   int           // of the node; each has a service of its own if there are enough services
	Changes  float64       // changes of the list a second, while changes are measured
	Requests float64       // requests a second on each of the two paths, through the node and direct
	Replicas int           // replicas of the registry, 1 or 3
}

const (
	defaultWindow     = 10 * time.Second
	defaultRoutes     = 10    // the target fleet's 47,000 routes over 5,100 nodes are 9.2 a node
	defaultChanges    = 1.0   // a second
	defaultRequests   = 188.0 // a second: the target fleet's 960,000 over 5,100 nodes
	defaultReplicas   = 1
	targetNodes       = 5100
	targetServers     = 150_000
	serversPerService = 54 // the target fleet's 150,000 servers in 2,800 services
	zoneCount         = 20
)

func (s ProcessSpec) withDefaults() ProcessSpec {
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	if s.Routes == 0 {
		s.Routes = defaultRoutes
	}
	if s.Changes == 0 {
		s.Changes = defaultChanges
	}
	if s.Requests == 0 {
		s.Requests = defaultRequests
	}
	if s.Replicas == 0 {
		s.Replicas = defaultReplicas
	}
	return s
}

// ProcessDimension is a dimension that is measured on the shipped programs, each in a process of its own.
type ProcessDimension struct {
	Name     Dimension
	MinSize  int
	MaxSize  int
	replicas int // of the registry, instead of ProcessSpec.Replicas; if 0, that field applies
	measure  func(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error
}

// ProcessDimensions returns all dimensions of real processes.
func ProcessDimensions() []ProcessDimension {
	return []ProcessDimension{
		{Name: "real-servers", MinSize: 1, MaxSize: 200_000, measure: measureRealServers},
		{Name: "real-scoped", MinSize: 1, MaxSize: maxScopedServers, measure: measureRealScoped},
		{Name: "real-day", MinSize: 1, MaxSize: maxScopedServers, measure: measureRealDay},
		{Name: "real-requests", MinSize: 1, MaxSize: 150_000, measure: measureRealRequests},
		{Name: "real-tenants", MinSize: 1, MaxSize: maxTenants, measure: measureRealTenants},
		{Name: "real-registry", MinSize: 1, MaxSize: maxInstances, measure: measureRealInstances},
		{Name: "real-registry-3", MinSize: 1, MaxSize: maxInstances, replicas: 3, measure: measureRealInstances},
		{Name: "real-watchers", MinSize: 1, MaxSize: maxWatchers, measure: measureRealWatchers},
		{Name: "real-watchers-3", MinSize: 1, MaxSize: maxWatchers, replicas: 3, measure: measureRealWatchers},
	}
}

// realDimension returns the process dimension of a name.
func realDimension(name Dimension) (d ProcessDimension, found bool) {
	for _, d := range ProcessDimensions() {
		if d.Name == name {
			return d, true
		}
	}
	return ProcessDimension{}, false
}

func realDimensions() (all []Dimension) {
	for _, d := range ProcessDimensions() {
		all = append(all, d.Name)
	}
	return all
}

// Measure measures one size in one run. It builds the programs of the module that contains the working directory.
func (d ProcessDimension) Measure(ctx context.Context, spec ProcessSpec, size, run int) ([]Measurement, error) {
	if d.replicas > 0 {
		spec.Replicas = d.replicas
	}
	if err := spec.Check(); err != nil {
		return nil, err
	}
	if size < d.MinSize || size > d.MaxSize {
		return nil, fmt.Errorf("%s: size: want %d to %d, got %d", d.Name, d.MinSize, d.MaxSize, size)
	}
	dir, err := os.MkdirTemp("", "sloerail-scale-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cluster, err := testcluster.New(dir, spec.Seed)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	rec := NewRecorder(string(d.Name), size, run, Process)
	// Build first, so that measured start times don't include the build.
	for _, program := range []string{"cmd/sloerail-node", "cmd/sloerail"} {
		if _, err := testcluster.Build(program); err != nil {
			return nil, err
		}
	}
	if err := d.measure(ctx, cluster, spec.withDefaults(), size, rec); err != nil {
		return nil, fmt.Errorf("%s, size %d: %w", d.Name, size, err)
	}
	return rec.Measurements(), nil
}

// usage holds the resource usage of a process: the CPU time that its living threads have used, and its memory.
type usage struct {
	cpu            time.Duration
	resident, peak float64 // bytes
}

func processUsage(pid int) (usage, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return usage{}, err
	}
	status, err := p.NewStatus()
	if err != nil {
		return usage{}, err
	}
	threads, err := procfs.AllThreads(pid)
	if err != nil {
		return usage{}, err
	}
	u := usage{resident: float64(status.VmRSS), peak: float64(status.VmHWM)}
	for _, thread := range threads { // schedstat of a thread counts in ns, but stat of the whole process in steps of 10 ms
		times, err := thread.Schedstat()
		if errors.Is(err, fs.ErrNotExist) {
			continue // the thread has just ended
		}
		if err != nil {
			return usage{}, err
		}
		u.cpu += time.Duration(times.RunningNanoseconds)
	}
	return u, nil
}

// totalCPU returns the CPU time that the living threads of all given processes have used.
func totalCPU(pids ...int) (sum time.Duration, err error) {
	for _, pid := range pids {
		u, err := processUsage(pid)
		if err != nil {
			return 0, err
		}
		sum += u.cpu
	}
	return sum, nil
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const statsTimeout = 2 * time.Second

// readMetric reads a metric from a node's administrative address.
func readMetric(ctx context.Context, control, name string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+"/stats", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return parseMetric(resp.Body, name)
}

var errMetricNotFound = errors.New("metric not found")

// parseMetric returns the value of a metric without labels from the Prometheus text format.
func parseMetric(text io.Reader, name string) (float64, error) {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Join(lines.Err(), fmt.Errorf("%s: %w", name, errMetricNotFound))
}
