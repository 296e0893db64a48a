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

// Properties of the simulated platform that are the same in all scenarios.
const (
	regionCount    = 5
	zonesPerRegion = 4
	cellSize       = 16   // servers
	tenantRate     = 10.0 // quota of a tenant at each node, in requests a second: high enough to refuse none
	nodeMemoryMB   = 512
	nodeSockets    = 1024
	configFileMode = 0o600
)

// serverKinds are assigned to servers in turn.
var serverKinds = []string{"big-box", "small-box"}

// fleet generates the servers, tenants and node configurations of a point from the seed.
type fleet struct {
	fixed FixedSizes
	dir   string
	rng   *rand.Rand
}

// newFleet returns a fleet that depends only on the fixed sizes, the seed and the run.
func newFleet(fixed FixedSizes, dir string, seed uint64, run int) *fleet {
	return &fleet{fixed: fixed, dir: dir, rng: rand.New(rand.NewPCG(seed, uint64(run)))}
}

func zoneName(i int) string {
	return fmt.Sprintf("region-%d-zone-%d", i%regionCount, i/regionCount%zonesPerRegion)
}

// servers returns the entries of the list, each in a zone drawn at random.
func (f *fleet) servers() []registry.Endpoint {
	all := make([]registry.Endpoint, f.fixed.Servers)
	for i := range all {
		all[i] = registry.Endpoint{ID: fmt.Sprintf("server-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: zoneName(f.rng.IntN(regionCount * zonesPerRegion)), Kind: serverKinds[i%len(serverKinds)], Cell: int64(i / cellSize),
			Phase: registry.PhaseUp, Size: 1}
	}
	return all
}

// encodeList encodes a list as the list service sends it.
func encodeList(revision int64, complete bool, members ...registry.Endpoint) []byte {
	raw, err := json.Marshal(registry.EndpointList{Revision: revision, Complete: complete, Endpoints: members})
	if err != nil { // can't happen: all fields are plain values
		panic(err)
	}
	return raw
}

// writeConfig writes the configuration file of the node at a position in the fleet, and returns the file's path and its
// size in bytes. discovery holds the addresses of the list service that the node watches.
func (f *fleet) writeConfig(position int, discovery string) (path string, size int, err error) {
	tenants := make([]emulator.Tenant, f.fixed.Tenants)
	for i := range tenants {
		tenants[i] = emulator.Tenant{Name: tenantName(i), Share: 1 / float64(len(tenants))}
	}
	zonesByRegion := make(map[string][]string)
	for i := range regionCount * zonesPerRegion {
		region := fmt.Sprintf("region-%d", i%regionCount)
		zonesByRegion[region] = append(zonesByRegion[region], zoneName(i))
	}
	quota := tenantRate * float64(len(tenants)*f.fixed.Nodes)
	fileContent := map[string]any{
		"name": fmt.Sprintf("node-%05d", position), "listen": "127.0.0.1:0", "discovery": discovery,
		"seed":   fmt.Sprintf("%x", f.rng.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": nodeMemoryMB, "sockets": nodeSockets},
		"known":  map[string]any{"revision": 0, "complete": true, "members": []any{}},
		"settings": testcluster.Settings(position, f.fixed.Nodes, zoneName(position%(regionCount*zonesPerRegion)), emulator.Classes(),
			tenants, quota),
		"places": map[string]any{"regions": zonesByRegion},
	}
	raw, err := json.Marshal(fileContent)
	if err != nil {
		return "", 0, err
	}
	path = filepath.Join(f.dir, fmt.Sprintf("node-%05d.json", position))
	return path, len(raw), os.WriteFile(path, raw, configFileMode)
}

// configFileEnv returns the environment of a node whose configuration file is at path.
func configFileEnv(path string) func(string) string {
	return func(name string) string {
		if name == "ROUTER_CONFIG" {
			return path
		}
		return ""
	}
}

// loadConfig reads a node's configuration file as the node's program does.
func loadConfig(path string) (config.Config, error) { return config.Load(configFileEnv(path)) }
