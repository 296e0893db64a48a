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
	defaultSubset    = 20      // servers of each service that a node connects to
	maxScopedServers = 150_000 // instances that the list service takes
)

// registryList is a list service of real replicas, called through a proxy that counts what it answers.
type registryList struct {
	listCounter
	run    *registryRun
	client *registry.Client
}

func startRegistryList(ctx context.Context, r *testcluster.Cluster, replicas, n int) (*registryList, error) {
	run, err := startRegistry(ctx, r, replicas)
	if err != nil {
		return nil, err
	}
	l := &registryList{run: run, client: registry.NewClient([]string{run.Address(run.leader)})}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: run.Address(run.leader)})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // of nodes that close their connections when they end
	if err := l.serve(r, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		proxy.ServeHTTP(&countingWriter{w, l.counted()}, req)
		l.answers.Add(1)
	})); err != nil {
		return nil, err
	}
	_, err = run.writeAll(ctx, n, func(c *registry.Client, i int) error { return l.write(ctx, c, i, registry.PhaseUp) })
	return l, err
}

// write registers a server of its service, in a phase.
func (l *registryList) write(ctx context.Context, c *registry.Client, server int, phase string) error {
	body := instance(server, 1)
	body["service"], body["phase"] = serviceOf(server), phase
	return put(ctx, c, "/registry/instances/"+serverName(server), body)
}

func (l *registryList) change(ctx context.Context, server int, phase string) error {
	return l.write(ctx, l.client, server, phase)
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	to *listCounter
}

func (w *countingWriter) Write(body []byte) (int, error) {
	n, err := w.ResponseWriter.Write(body)
	w.to.bytes.Add(int64(n))
	return n, err
}

// Unwrap lets the proxy flush.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// scopedNode is a node that subscribes to a subset of each service that its routes need, at a registry of so many servers.
type scopedNode struct {
	*testcluster.Node
	list *registryList
}

// startScopedNode starts the registry, then the node, which has to list the servers of its scope.
func startScopedNode(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) (*scopedNode, error) {
	list, err := startRegistryList(ctx, r, spec.Replicas, size)
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
	n, listed, err := startAndRecord(ctx, r, testcluster.NodeSpec{Name: "node", Discovery: list.address, MemoryMB: realNodeMemoryMB,
		Sockets: nodeMaxSockets, Settings: settings, Scope: map[string]any{"services": services, "subset": defaultSubset}}, want, rec)
	if err == nil && listed != want {
		err = fmt.Errorf("the node lists %d servers, its scope has %d", listed, want)
	}
	rec.Record(ListBytes, float64(list.bytes.Load()))
	if err == nil {
		err = sleep(ctx, min(startupDelay, spec.Window))
	}
	return &scopedNode{n, list}, err
}

// measureRealScoped measures a node with a scope, by the servers that there are in all.
func measureRealScoped(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	n, err := startScopedNode(ctx, r, spec, size, rec)
	if err != nil {
		return err
	}
	defer n.list.close()
	if err := measureIdle(ctx, spec, n.Node, n.list.counted(), rec); err != nil {
		return err
	}
	if err := watchAllChanges(ctx, spec, n.Node, n.list, size, rec); err != nil {
		return err
	}
	u, err := usageOf(n.list.run.Process(n.list.run.leader).PID())
	rec.Record(LeaderResident, u.resident)
	return err
}

// measureRealDay measures a node with a scope while servers anywhere drain and come back at the rate of the target's
// day.
func measureRealDay(ctx context.Context, r *testcluster.Cluster, spec ProcessSpec, size int, rec *Recorder) error {
	n, err := startScopedNode(ctx, r, spec, size, rec)
	if err != nil {
		return err
	}
	defer n.list.close()
	under, stop := context.WithCancel(ctx)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- n.list.changeAll(under, spec.Seed, size, dayChanges*float64(size)/targetServers) }()
	if err := measureIdle(ctx, spec, n.Node, n.list.counted(), rec); err != nil {
		return err
	}
	stop()
	return <-failed
}

// dayChanges is the rate of changes of the target's list, a second: 9,100 restarts a day with a drain, an end and a start
// each, and 340 failures that are detected and repaired.
const dayChanges = (9100*3 + 340*2) / 86400.0

// changeAll has servers drawn from all of them drain, and each come back with the next change, until ctx ends.
func (l *registryList) changeAll(ctx context.Context, seed uint64, n int, rate float64) error {
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
		if err := l.change(ctx, server, phase); err != nil && ctx.Err() == nil {
			return err
		}
	}
}
