package scaletest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"sloerail/internal/emulator"
	"sloerail/internal/node/config"
	"sloerail/internal/registry"
	"sloerail/internal/testcluster"
)

// The platform that is coming: its regions, its zones, and what else of it stays as it is in all scenarios.
const (
	regions        = 5
	zonesPerRegion = 4
	cellSize       = 16   // servers
	tenantRate     = 10.0 // requests a second at each node that a tenant's quota allows: none is refused for it
	nodeMemoryMB   = 512
	nodeSockets    = 1024
	configFileMode = 0o600
)

// serverKinds are the kinds of server, in turn.
var serverKinds = []string{"big-box", "small-box"}

// fleet draws what a point needs from the seed: servers, tenants and the nodes' configurations.
type fleet struct {
	fixed FixedSizes
	dir   string
	rng   *rand.Rand
}

// newFleet makes the same fleet for the same seed, run and size.
func newFleet(fixed FixedSizes, dir string, seed uint64, run int) *fleet {
	return &fleet{fixed: fixed, dir: dir, rng: rand.New(rand.NewPCG(seed, uint64(run)))}
}

func zoneName(i int) string {
	return fmt.Sprintf("region-%d-zone-%d", i%regions, i/regions%zonesPerRegion)
}

// servers are the entries of the list, in zones drawn at random.
func (f *fleet) servers() []registry.Endpoint {
	all := make([]registry.Endpoint, f.fixed.Servers)
	for i := range all {
		all[i] = registry.Endpoint{ID: fmt.Sprintf("server-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: zoneName(f.rng.IntN(regions * zonesPerRegion)), Kind: serverKinds[i%len(serverKinds)], Cell: int64(i / cellSize),
			Phase: registry.PhaseUp, Size: 1}
	}
	return all
}

// encodeList is a list as the list service answers it.
func encodeList(revision int64, complete bool, members ...registry.Endpoint) []byte {
	raw, err := json.Marshal(registry.EndpointList{Revision: revision, Complete: complete, Endpoints: members})
	if err != nil { // plain fields always can be written
		panic(err)
	}
	return raw
}

// configuration writes the file of a node, and returns its path and its size. The node is one of so many; discovery is
// where it watches the list.
func (f *fleet) configuration(position int, discovery string) (path string, size int, err error) {
	tenants := make([]emulator.Tenant, f.fixed.Tenants)
	for i := range tenants {
		tenants[i] = emulator.Tenant{Name: tenantName(i), Share: 1 / float64(len(tenants))}
	}
	zonesOf := make(map[string][]string)
	for i := range regions * zonesPerRegion {
		region := fmt.Sprintf("region-%d", i%regions)
		zonesOf[region] = append(zonesOf[region], zoneName(i))
	}
	quota := tenantRate * float64(len(tenants)*f.fixed.Nodes)
	file := map[string]any{
		"name": fmt.Sprintf("node-%05d", position), "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   fmt.Sprintf("%x", f.rng.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"known":  map[string]any{"revision": 0, "complete": true, "members": []any{}},
		"settings": testcluster.Settings(position, f.fixed.Nodes, zoneName(position%(regions*zonesPerRegion)), emulator.Classes(), tenants,
			quota),
		"places": map[string]any{"regions": zonesOf},
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return "", 0, err
	}
	path = filepath.Join(f.dir, fmt.Sprintf("node-%05d.json", position))
	return path, len(raw), os.WriteFile(path, raw, configFileMode)
}

// fromFile is the environment of a node whose configuration is in a file.
func fromFile(path string) func(string) string {
	return func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return ""
	}
}

// load reads a node's configuration as the node's program does.
func load(path string) (config.Config, error) { return config.Load(fromFile(path)) }
