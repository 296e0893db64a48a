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

// Measures of real processes that hollow nodes don't have.
var (
	PeakResident        = Measure{"peak resident memory", Bytes}            // over the life of the process
	StartTime           = Measure{"start", Milliseconds}                    // until the node has the list and is ready for clients
	ServersListed       = Measure{"servers listed", Count}                  // that the node has once it started
	ListReceived        = Measure{"list taken from the service", Count}     // 1, or 0 where it came from the node's cached file
	ChangeBytes         = Measure{"list change", Bytes}                     // on the wire, for each change
	ElsewhereCPU        = Measure{"list change elsewhere CPU", Nanoseconds} // of servers that the node's routes don't need
	ElsewhereBytes      = Measure{"list change elsewhere", Bytes}           // on the wire, for each change
	RequestCPU          = Measure{"request CPU", Nanoseconds}               // of the node, for each request
	DirectP50           = Measure{"request without a node, p50", Nanoseconds}
	DirectP99           = Measure{"request without a node, p99", Nanoseconds}
	ThroughP50          = Measure{"request through a node, p50", Nanoseconds}
	ThroughP99          = Measure{"request through a node, p99", Nanoseconds}
	AddedP50            = Measure{"added to a request, p50", Nanoseconds} // difference of the two medians
	AddedP99            = Measure{"added to a request, p99", Nanoseconds} // difference of the two 99th percentiles
	RequestsFailed      = Measure{"requests that failed", Count}
	RequestsSent        = Measure{"requests through a node", Count}
	RegisterRate        = Measure{"registrations a second", PerSecond} // by all writers
	RenewRate           = Measure{"renewals a second", PerSecond}      // by all writers
	RenewCPU            = Measure{"renewal CPU", Nanoseconds}          // of all replicas, for each renewal
	WatcherNotifiedP50  = Measure{"watcher told p50", Milliseconds}    // from before the write to the answer read
	WatcherNotifiedP99  = Measure{"watcher told p99", Milliseconds}    //
	WatcherNotifiedLast = Measure{"watcher told, last", Milliseconds}  //
	WatcherCPU          = Measure{"watcher told CPU", Nanoseconds}     // of all replicas, for each watcher and change
	LeaderResident      = Measure{"leader's resident memory", Bytes}   //
)

// realMeasures are those that a hollow node doesn't have, in the order of tables.
func realMeasures() []Measure {
	return []Measure{PeakResident, StartTime, ServersListed, ListReceived, ChangeBytes, ElsewhereCPU, ElsewhereBytes, RequestCPU, DirectP50, DirectP99, ThroughP50, ThroughP99, AddedP50, AddedP99, RequestsFailed, RequestsSent, RegisterRate, RenewRate, RenewCPU, WatcherNotifiedP50, WatcherNotifiedP99, WatcherNotifiedLast, WatcherCPU, LeaderResident}
}

// ProcessSpec says how real processes are measured. Zero values are replaced by what suits the target.
type ProcessSpec struct {
	Seed     uint64
	Window   time.Duration // in which a rate is measured
	Routes   int           // of the node; each is served by a service of its own
	Changes  float64       // of the list, a second, while changes are measured
	Requests float64       // a second, through the node and directly each
	Replicas int           // of the registry
}

const (
	defaultWindow     = 10 * time.Second
	defaultRoutes     = 10    // 47,000 routes over 5,100 nodes are 9.2
	defaultChanges    = 1.0   // a second
	defaultRequests   = 188.0 // 960,000 requests a second over 5,100 nodes
	defaultReplicas   = 1
	targetNodes       = 5100
	targetServers     = 150_000
	serversPerService = 54 // of a service: 150,000 servers in 2,800 services
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

// ProcessDimension is a dimension that is measured on the programs as they ship, each in a process of its own.
type ProcessDimension struct {
	Name     Dimension
	MinSize  int
	MaxSize  int
	replicas int // of the list service; 0 for one
	measure  func(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error
}

// ProcessDimensions are all there are.
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

// realDimension finds one of them.
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

// Measure measures one size once. It builds the programs of the module in or above whose folder it runs.
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
	r, err := testcluster.New(dir, spec.Seed)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	rec := NewRecorder(string(d.Name), size, run, Process)
	for _, program := range []string{"cmd/sloerail-node", "cmd/sloerail"} { // else a start would be timed with its build
		if _, err := testcluster.Build(program); err != nil {
			return nil, err
		}
	}
	if err := d.measure(ctx, r, spec.withDefaults(), size, rec); err != nil {
		return nil, fmt.Errorf("%s, size %d: %w", d.Name, size, err)
	}
	return rec.Measurements(), nil
}

// usage is the resources of a process: CPU time so far, and memory.
type usage struct {
	cpu            time.Duration
	resident, peak float64 // bytes
}

func usageOf(pid int) (usage, error) {
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
	for _, thread := range threads { // its own clock counts nanoseconds, where the process's counts hundredths of a second
		times, err := thread.Schedstat()
		if errors.Is(err, fs.ErrNotExist) {
			continue // it has just ended
		}
		if err != nil {
			return usage{}, err
		}
		u.cpu += time.Duration(times.RunningNanoseconds)
	}
	return u, nil
}

// cpuOfAll is what these processes have used together.
func cpuOfAll(pids ...int) (sum time.Duration, err error) {
	for _, pid := range pids {
		u, err := usageOf(pid)
		if err != nil {
			return 0, err
		}
		sum += u.cpu
	}
	return sum, nil
}

// sleep waits for a while, or until ctx ends.
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

// figure reads one metric at a node's administrative address.
func figure(ctx context.Context, control, name string) (float64, error) {
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
	return readFigure(resp.Body, name)
}

var errNoFigure = errors.New("no such figure")

// readFigure finds a figure in the Prometheus text format.
func readFigure(text io.Reader, name string) (float64, error) {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Join(lines.Err(), fmt.Errorf("%s: %w", name, errNoFigure))
}
