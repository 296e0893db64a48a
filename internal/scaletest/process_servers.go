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
	realNodeMemoryMB     = 1024             // large, so that garbage collection doesn't dominate the measurements
	listTimeout          = 15 * time.Second // a node without its whole list by then counts as not having received it
	startupDelay         = 3 * time.Second  // from a node's start to the first measurement, but at most the window
	pollInterval         = 20 * time.Millisecond
	manyTenants          = 10
	totalQuota           = 1e9 // requests a second, too high for a token bucket to refuse any
	listedServersMetric  = "app_registry_entries"
	configAcceptedMetric = "app_cfg_accepted_total"
	nodeDeadline         = 2 * time.Second
	nodeLatencyObjective = time.Second
	readyTimeout         = 60 * time.Second
	nodeMaxSockets       = 4096
)

// nodesPerServer returns how many nodes of the target fleet route to the same server, if each node routes only to the
// servers of its routes and all servers get equally many nodes: 18 for ten routes. The target fleet is the fleet size that
// the scenarios name as their target: 5,100 nodes and 150,000 servers.
func nodesPerServer(spec ProcessSpec) int {
	return max(1, targetNodes*spec.Routes*serversPerService/targetServers)
}

// nodeSettings returns the settings of a node of the target fleet whose routes are spread over the given number of
// services.
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
	settings := testcluster.Settings(0, nodesPerServer(spec), serverZone(0), classes, all, totalQuota)
	for i, route := range settings["services"].([]map[string]any) {
		route["servedOn"] = []string{routeService(i % services)}
	}
	return settings
}

func routeName(i int) string { return fmt.Sprintf("route-%04d", i) }

func tenantName(i int) string { return fmt.Sprintf("tenant-%06d", i) }

// startNode starts a node with a list service. If the node doesn't accept the whole list from the service, it starts another
// node that has the list in its configuration file.
func startNode(ctx context.Context, cluster *testcluster.Cluster, list *listService, settings map[string]any, rec *Recorder) (
	*testcluster.Node, error) {
	spec := testcluster.NodeSpec{Name: "node", Discovery: list.address, MemoryMB: realNodeMemoryMB, Sockets: nodeMaxSockets,
		Settings: settings}
	want := len(list.snapshot().Members)
	n, listed, err := startAndRecord(ctx, cluster, spec, want, rec)
	if err != nil || listed == want {
		rec.Record(ListReceived, 1)
		return n, err
	}
	n.Process().Kill()
	rec.discard(ServersListed, StartTime, StartCPU)
	spec.Name, spec.InitialList = "node-with-list", list.snapshot()
	if n, listed, err = startAndRecord(ctx, cluster, spec, want, rec); err == nil && listed < want {
		err = fmt.Errorf("node lists %d servers, want %d, even with the list in its configuration file", listed, want)
	}
	rec.Record(ListReceived, 0)
	return n, err
}

// startAndRecord starts a node, and records the time and the CPU time of the start and the number of servers listed.
func startAndRecord(ctx context.Context, cluster *testcluster.Cluster, spec testcluster.NodeSpec, want int, rec *Recorder) (
	*testcluster.Node, int, error) {
	n, err := cluster.Node(spec)
	if err != nil {
		return nil, 0, err
	}
	took, listed, err := startAndAwaitList(ctx, n, want)
	if err != nil {
		return nil, 0, err
	}
	u, err := processUsage(n.Process().PID())
	if err != nil {
		return nil, 0, err
	}
	rec.Record(ServersListed, float64(listed))
	rec.Record(StartTime, float64(took.Milliseconds()))
	rec.Record(StartCPU, float64(u.cpu))
	return n, listed, nil
}

// startAndAwaitList starts a node and waits until it is ready, and then until it lists the wanted number of servers or
// listTimeout is over.
func startAndAwaitList(ctx context.Context, n *testcluster.Node, want int) (took time.Duration, listed int, err error) {
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
		if entries, err := readMetric(ctx, n.ControlAddress(), listedServersMetric); err == nil {
			listed = int(entries)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return 0, 0, err
		}
	}
	return time.Since(began), listed, nil
}

// measureRealServers measures a node with a list of size servers, idle and while the list changes.
func measureRealServers(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	list, err := startListService(cluster, size, func(i int) string { return fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255) })
	if err != nil {
		return err
	}
	defer list.close()
	before := list.bytes.Load()
	n, err := startNode(ctx, cluster, list, nodeSettings(spec, serviceCount(size), manyTenants), rec)
	if err != nil {
		return err
	}
	rec.Record(ListBytes, float64(list.bytes.Load()-before))
	runtime.GC() // so that collecting the garbage of the list service, in this process, does not disturb the measurement
	if err := sleep(ctx, min(startupDelay, spec.Window)); err != nil {
		return err
	}
	if err := measureIdle(ctx, spec, n, list.counter(), rec); err != nil {
		return err
	}
	return measureAllChanges(ctx, spec, n, list, size, rec)
}

// measureAllChanges measures changes of servers that the node's routes use, and then of other servers if there are any.
func measureAllChanges(ctx context.Context, spec ProcessSpec, n *testcluster.Node, list listSource, size int, rec *Recorder) error {
	routed := changeSet{cpu: ListChangeCPU, bytes: ChangeBytes, first: 0, count: min(spec.Routes, serviceCount(size))}
	if err := measureChanges(ctx, spec, n, list, routed, rec); err != nil {
		return err
	}
	unrouted := changeSet{UnroutedChangeCPU, UnroutedChangeBytes, spec.Routes, serviceCount(size) - spec.Routes}
	if unrouted.count <= 0 {
		return nil
	}
	return measureChanges(ctx, spec, n, list, unrouted, rec)
}

// measureIdle records the CPU time, the traffic and the memory of a node without requests.
func measureIdle(ctx context.Context, spec ProcessSpec, n *testcluster.Node, list *listCounter, rec *Recorder) error {
	pid := n.Process().PID()
	began, bytes, responses := time.Now(), list.bytes.Load(), list.responses.Load()
	before, err := processUsage(pid)
	if err != nil {
		return err
	}
	if err := sleep(ctx, spec.Window); err != nil {
		return err
	}
	after, err := processUsage(pid)
	if err != nil {
		return err
	}
	span := time.Since(began).Seconds()
	rec.Record(ControlCPU, 100*(after.cpu-before.cpu).Seconds()/span)
	rec.Record(ReceivedBytes, float64(list.bytes.Load()-bytes)/span)
	rec.Record(ReceivedMessages, float64(list.responses.Load()-responses)/span)
	rec.Record(Resident, after.resident)
	rec.Record(PeakResident, after.peak)
	return nil
}

// changeSet selects the first server of each of several consecutive services for changes, and the measures for their cost.
type changeSet struct {
	cpu, bytes   Measure
	first, count int // indexes of services
}

// measureChanges drains servers and brings them back one by one, at the rate of spec, which the node keeps up with. It
// records the mean cost of a change, which includes what the idle node uses until the next change.
func measureChanges(ctx context.Context, spec ProcessSpec, n *testcluster.Node, list listSource, set changeSet, rec *Recorder) error {
	pid := n.Process().PID()
	counter := list.counter()
	bytes := counter.bytes.Load()
	before, err := processUsage(pid)
	if err != nil {
		return err
	}
	changes := max(1, int(spec.Changes*spec.Window.Seconds()))
	for i := range changes {
		phase := emulator.Draining
		if i%2 == 1 {
			phase = emulator.Up
		}
		if err := list.setPhase(ctx, (set.first+i/2%set.count)*serversPerService, phase); err != nil {
			return err
		}
		if err := sleep(ctx, time.Duration(float64(time.Second)/spec.Changes)); err != nil {
			return err
		}
	}
	after, err := processUsage(pid)
	if err != nil {
		return err
	}
	rec.Record(set.cpu, float64(after.cpu-before.cpu)/float64(changes))
	rec.Record(set.bytes, float64(counter.bytes.Load()-bytes)/float64(changes))
	return nil
}

// measureRealTenants measures an idle node with size tenants in its settings, and a reload of the settings.
func measureRealTenants(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	list, err := startListService(cluster, spec.Routes, func(int) string { return "10.0.0.1:9000" })
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
	n, err := startNode(ctx, cluster, list, settings, rec)
	if err != nil {
		return err
	}
	if err := sleep(ctx, min(startupDelay, spec.Window)); err != nil {
		return err
	}
	if err := measureIdle(ctx, spec, n, list.counter(), rec); err != nil {
		return err
	}
	pid := n.Process().PID()
	before, err := processUsage(pid)
	if err != nil {
		return err
	}
	acceptedBefore, err := readMetric(ctx, n.ControlAddress(), configAcceptedMetric)
	if err != nil {
		return err
	}
	n.Process().Signal(syscall.SIGHUP)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err = testcluster.Await(ctx, "acceptance of the reloaded settings", func() bool {
		now, err := readMetric(ctx, n.ControlAddress(), configAcceptedMetric)
		return err == nil && now > acceptedBefore
	})
	if err != nil {
		return err
	}
	after, err := processUsage(pid)
	if err != nil {
		return err
	}
	rec.Record(ConfigCPU, float64(after.cpu-before.cpu))
	return nil
}
