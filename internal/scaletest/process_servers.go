package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/testcluster"
)

const (
	realNodeMemoryMB     = 1024             // so that the collector isn't what is measured
	listTimeout          = 15 * time.Second // after which the node counts as not having received it
	startupDelay         = 3 * time.Second  // after a start, before anything is measured
	pollInterval         = 20 * time.Millisecond
	manyTenants          = 10
	totalQuota           = 1e9 // requests a second: no bucket refuses
	listedFigure         = "app_registry_entries"
	configAcceptedMetric = "app_cfg_accepted_total"
	nodeDeadline         = 2 * time.Second
	nodeLatencyObjective = time.Second
	readyTimeout         = 60 * time.Second
	nodeMaxSockets       = 4096
)

// nodesBefore is how many nodes stand before one server, where each node reaches the servers of its routes alone and
// all servers are reached alike: 18 for ten routes.
func nodesBefore(spec ProcessSpec) int {
	return max(1, targetNodes*spec.Routes*serversPerService/targetServers)
}

// nodeSettings are those of a node of the target's fleet whose routes need so many of the services there are.
func nodeSettings(spec ProcessSpec, services, tenants int) map[string]any {
	var classes []emulator.Class
	for i := range spec.Routes {
		classes = append(classes, emulator.Class{Name: routeName(i), LatencyObjective: nodeLatencyObjective, Deadline: nodeDeadline,
			PriorityWeight: 1, RetrySafety: emulator.Idempotent})
	}
	var all []emulator.Tenant
	for i := range tenants {
		all = append(all, emulator.Tenant{Name: tenantName(i), Share: 1 / float64(tenants)})
	}
	settings := testcluster.Settings(0, nodesBefore(spec), zoneOf(0), classes, all, totalQuota)
	for i, route := range settings["services"].([]map[string]any) {
		route["servedOn"] = []string{routeService(i % services)}
	}
	return settings
}

func routeName(i int) string { return fmt.Sprintf("route-%04d", i) }

func tenantName(i int) string { return fmt.Sprintf("tenant-%06d", i) }

// startNode starts a node that takes its list from a service. Where that list is beyond what it takes, the list
// stands in its file.
func startNode(ctx context.Context, r *testcluster.Cluster, list *listService, settings map[string]any, rec *Recorder) (*testcluster.Node, error) {
	spec := testcluster.NodeSpec{Name: "node", Discovery: list.address, MemoryMB: realNodeMemoryMB, Sockets: nodeMaxSockets,
		Settings: settings}
	want := len(list.snapshot().Members)
	n, listed, err := startAndRecord(ctx, r, spec, want, rec)
	if err != nil || listed == want {
		rec.Record(ListReceived, 1)
		return n, err
	}
	n.Process().Kill()
	rec.forget(ServersListed, StartTime, StartCPU)
	spec.Name, spec.InitialList = "node-with-list", list.snapshot()
	if n, listed, err = startAndRecord(ctx, r, spec, want, rec); err == nil && listed < want {
		err = fmt.Errorf("a node takes %d servers of %d, from the service or from its file", listed, want)
	}
	rec.Record(ListReceived, 0)
	return n, err
}

// startAndRecord starts a node, and notes what that took.
func startAndRecord(ctx context.Context, r *testcluster.Cluster, spec testcluster.NodeSpec, want int, rec *Recorder) (*testcluster.Node, int, error) {
	n, err := r.Node(spec)
	if err != nil {
		return nil, 0, err
	}
	took, listed, err := startAndList(ctx, n, want)
	if err != nil {
		return nil, 0, err
	}
	u, err := usageOf(n.Process().PID())
	if err != nil {
		return nil, 0, err
	}
	rec.Record(ServersListed, float64(listed))
	rec.Record(StartTime, float64(took.Milliseconds()))
	rec.Record(StartCPU, float64(u.cpu))
	return n, listed, nil
}

// startAndList starts a node, and waits until it takes clients and has its list.
func startAndList(ctx context.Context, n *testcluster.Node, want int) (took time.Duration, listed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	if _, err := n.Start(); err != nil {
		return 0, 0, err
	}
	if err := n.Ready(ctx); err != nil {
		return 0, 0, err
	}
	for end := time.Now().Add(listTimeout); listed < want && time.Now().Before(end); {
		if entries, err := figure(ctx, n.Control(), listedFigure); err == nil {
			listed = int(entries)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, 0, err
		}
	}
	return time.Since(began), listed, nil
}

// measureRealServers measures a node at rest, and at changes of its list, with so many servers known.
func measureRealServers(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	list, err := startList(r, size, func(i int) string { return fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255) })
	if err != nil {
		return err
	}
	defer list.close()
	before := list.bytes.Load()
	n, err := startNode(ctx, r, list, nodeSettings(spec, serviceCount(size), manyTenants), rec)
	if err != nil {
		return err
	}
	rec.Record(ListBytes, float64(list.bytes.Load()-before))
	runtime.GC() // of the list service, which shares this machine
	if err := sleep(ctx, min(startupDelay, spec.Window)); err != nil {
		return err
	}
	if err := measureIdle(ctx, spec, n, list.counted(), rec); err != nil {
		return err
	}
	return watchAllChanges(ctx, spec, n, list, size, rec)
}

// watchAllChanges watches changes of servers that the node's routes need, and of others where there are any.
func watchAllChanges(ctx context.Context, spec ProcessSpec, n *testcluster.Node, list nodeList, size int, rec *Recorder) error {
	own := changesOf{cpu: ListChangeCPU, bytes: ChangeBytes, first: 0, count: min(spec.Routes, serviceCount(size))}
	if err := watchChanges(ctx, spec, n, list, own, rec); err != nil {
		return err
	}
	elsewhere := changesOf{ElsewhereCPU, ElsewhereBytes, spec.Routes, serviceCount(size) - spec.Routes}
	if elsewhere.count <= 0 {
		return nil
	}
	return watchChanges(ctx, spec, n, list, elsewhere, rec)
}

// measureIdle watches a node that has nothing to do.
func measureIdle(ctx context.Context, spec ProcessSpec, n *testcluster.Node, list *listCounter, rec *Recorder) error {
	pid := n.Process().PID()
	began, bytes, answers := time.Now(), list.bytes.Load(), list.answers.Load()
	before, err := usageOf(pid)
	if err != nil {
		return err
	}
	if err := sleep(ctx, spec.Window); err != nil {
		return err
	}
	after, err := usageOf(pid)
	if err != nil {
		return err
	}
	span := time.Since(began).Seconds()
	rec.Record(ControlCPU, 100*(after.cpu-before.cpu).Seconds()/span)
	rec.Record(ReceivedBytes, float64(list.bytes.Load()-bytes)/span)
	rec.Record(ReceivedReads, float64(list.answers.Load()-answers)/span)
	rec.Record(Resident, after.resident)
	rec.Record(PeakResident, after.peak)
	return nil
}

// changesOf are changes of the first server of each of some services.
type changesOf struct {
	cpu, bytes   Measure
	first, count int // services
}

// watchChanges has servers drain and come back one by one, at a rate that the node keeps up with.
func watchChanges(ctx context.Context, spec ProcessSpec, n *testcluster.Node, list nodeList, of changesOf, rec *Recorder) error {
	pid := n.Process().PID()
	counted := list.counted()
	bytes := counted.bytes.Load()
	before, err := usageOf(pid)
	if err != nil {
		return err
	}
	changes := max(1, int(spec.Changes*spec.Window.Seconds()))
	for i := range changes {
		phase := emulator.Draining
		if i%2 == 1 {
			phase = emulator.Up
		}
		if err := list.change(ctx, (of.first+i/2%of.count)*serversPerService, phase); err != nil {
			return err
		}
		if err := sleep(ctx, time.Duration(float64(time.Second)/spec.Changes)); err != nil {
			return err
		}
	}
	after, err := usageOf(pid)
	if err != nil {
		return err
	}
	rec.Record(of.cpu, float64(after.cpu-before.cpu)/float64(changes))
	rec.Record(of.bytes, float64(counted.bytes.Load()-bytes)/float64(changes))
	return nil
}

// measureRealTenants measures an idle node whose settings name so many tenants, and their reload.
func measureRealTenants(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	list, err := startList(r, spec.Routes, func(int) string { return "10.0.0.1:9000" })
	if err != nil {
		return err
	}
	defer list.close()
	settings := nodeSettings(spec, 1, size)
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	rec.Record(ConfigBytes, float64(len(raw)))
	n, err := startNode(ctx, r, list, settings, rec)
	if err != nil {
		return err
	}
	if err := sleep(ctx, min(startupDelay, spec.Window)); err != nil {
		return err
	}
	if err := measureIdle(ctx, spec, n, list.counted(), rec); err != nil {
		return err
	}
	pid := n.Process().PID()
	before, err := usageOf(pid)
	if err != nil {
		return err
	}
	taken, err := figure(ctx, n.Control(), configAcceptedMetric)
	if err != nil {
		return err
	}
	n.Process().Signal(syscall.SIGHUP)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err = testcluster.Await(ctx, "the settings to be taken", func() bool {
		now, err := figure(ctx, n.Control(), configAcceptedMetric)
		return err == nil && now > taken
	})
	if err != nil {
		return err
	}
	after, err := usageOf(pid)
	if err != nil {
		return err
	}
	rec.Record(ConfigCPU, float64(after.cpu-before.cpu))
	return nil
}
