package scaletest

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"time"

	"sloerail/internal/registry"
	"sloerail/internal/testcluster"
)

const (
	defaultSubset    = 20      // size of the subset of each service that a node subscribes to
	maxScopedServers = 150_000 // instances that a registry accepts
)

// registryList is a registry of real replicas behind a proxy that counts its responses.
type registryList struct {
	listCounter
	measured *measuredRegistry
	client   *registry.Client
}

func startRegistryList(ctx context.Context, cluster *testcluster.Cluster, replicas, n int) (*registryList, error) {
	measured, err := startRegistry(ctx, cluster, replicas)
	if err != nil {
		return nil, err
	}
	l := &registryList{measured: measured, client: registry.NewClient([]string{measured.Address(measured.leader)})}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: measured.Address(measured.leader)})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // drops the errors from nodes that close their connections when they stop
	if err := l.serve(cluster, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		proxy.ServeHTTP(&countingWriter{w, l.counter()}, req)
		l.responses.Add(1)
	})); err != nil {
		return nil, err
	}
	_, err = measured.writeAll(ctx, n, func(c *registry.Client, i int) error { return l.register(ctx, c, i, registry.PhaseUp) })
	return l, err
}

// register registers a server with its service and a phase.
func (l *registryList) register(ctx context.Context, c *registry.Client, server int, phase string) error {
	body := instance(server, 1)
	body["service"], body["phase"] = serverService(server), phase
	return putWithRetry(ctx, c, "/registry/instances/"+serverName(server), body)
}

func (l *registryList) setPhase(ctx context.Context, server int, phase string) error {
	return l.register(ctx, l.client, server, phase)
}

// countingWriter counts the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	counter *listCounter
}

func (w *countingWriter) Write(body []byte) (int, error) {
	n, err := w.ResponseWriter.Write(body)
	w.counter.bytes.Add(int64(n))
	return n, err
}

// Unwrap returns the wrapped writer, so that the proxy can flush it.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// scopedNode is a node that subscribes to a subset of each service that its routes use, with its registry.
type scopedNode struct {
	*testcluster.Node
	list *registryList
}

// startScopedNode starts a registry with size servers, then a node. It fails unless the node lists exactly the servers of
// its scope.
func startScopedNode(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) (*scopedNode, error) {
	list, err := startRegistryList(ctx, cluster, spec.Replicas, size)
	if err != nil {
		return nil, err
	}
	settings := nodeSettings(spec, serviceCount(size), manyTenants)
	var services []string
	for i := range min(spec.Routes, serviceCount(size)) {
		services = append(services, routeService(i))
	}
	var scoped registry.EndpointList
	path := fmt.Sprintf("/registry/instances?service=%s&subset=%d&position=%v&nodes=%v&zone=%v", strings.Join(services, ","),
		defaultSubset, settings["position"], settings["groupSize"], settings["zone"])
	if err := list.client.Do(ctx, http.MethodGet, path, nil, &scoped, 0); err != nil {
		return nil, err
	}
	want := len(scoped.Endpoints)
	n, listed, err := startAndRecord(ctx, cluster, testcluster.NodeSpec{Name: "node", Discovery: list.address, MemoryMB: realNodeMemoryMB,
		Sockets: nodeMaxSockets, Settings: settings, Scope: map[string]any{"services": services, "subset": defaultSubset}}, want, rec)
	if err == nil && listed != want {
		err = fmt.Errorf("node lists %d servers, want the %d of its scope", listed, want)
	}
	rec.Record(ListBytes, float64(list.bytes.Load()))
	if err == nil {
		err = sleep(ctx, min(startupDelay, spec.Window))
	}
	return &scopedNode{n, list}, err
}

// measureRealScoped measures a node with a scope whose registry lists size servers.
func measureRealScoped(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	n, err := startScopedNode(ctx, cluster, spec, size, rec)
	if err != nil {
		return err
	}
	defer n.list.close()
	if err := measureIdle(ctx, spec, n.Node, n.list.counter(), rec); err != nil {
		return err
	}
	if err := measureAllChanges(ctx, spec, n.Node, n.list, size, rec); err != nil {
		return err
	}
	u, err := processUsage(n.list.measured.Process(n.list.measured.leader).PID())
	rec.Record(LeaderResident, u.resident)
	return err
}

// measureRealDay measures a node with a scope while servers of all services drain and come back. The rate is the
// daily rate of the target fleet (the fleet size that the scenarios name as their target), scaled to size servers.
func measureRealDay(ctx context.Context, cluster *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	n, err := startScopedNode(ctx, cluster, spec, size, rec)
	if err != nil {
		return err
	}
	defer n.list.close()
	changeCtx, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan error, 1)
	go func() {
		failed <- n.list.changeRandomServers(changeCtx, spec.Seed, size, dayChangeRate*float64(size)/targetServers)
	}()
	if err := measureIdle(ctx, spec, n.Node, n.list.counter(), rec); err != nil {
		return err
	}
	stop()
	return <-failed
}

// dayChangeRate is the number of changes of the target fleet's list per second: 9,100 restarts a day with three changes each
// (drain, stop, start), and 340 failures with two (detected, repaired).
const dayChangeRate = (9100*3 + 340*2) / 86400.0

// changeRandomServers drains a random server, brings it back with the next change, and continues with another server
// until ctx ends. Changes are made at random times with the given mean rate per second.
func (l *registryList) changeRandomServers(ctx context.Context, seed uint64, n int, rate float64) error {
	rng := rand.New(rand.NewPCG(seed, 0xda))
	for server, phase := 0, registry.PhaseUp; ; {
		if sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) != nil {
			return nil
		}
		if phase == registry.PhaseUp {
			server, phase = rng.IntN(n), registry.PhaseDraining
		} else {
			phase = registry.PhaseUp
		}
		if err := l.setPhase(ctx, server, phase); err != nil && ctx.Err() == nil {
			return err
		}
	}
}
