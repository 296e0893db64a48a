package testcluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"sloerail/internal/registry"
)

const (
	listPort   = 8500
	raftPort   = 8501
	cliProgram = "cmd/sloerail"
)

// Registry is the replicas of a list service. Raft between them passes through relays.
type Registry struct {
	Names   []string
	cluster *Cluster

	mu       sync.Mutex
	replicas map[string]*replica
}

type replica struct {
	config  registry.Config
	args    []string // beside those that name the configuration file
	process *Process
}

// NewRegistry makes so many replicas, which Start starts.
func (c *Cluster) NewRegistry(replicas int) (*Registry, error) {
	g := &Registry{cluster: c, replicas: make(map[string]*replica)}
	nameOfHost, hosts := make(map[string]string), make([]string, replicas)
	for i := range replicas {
		name := fmt.Sprint("r", i)
		g.Names, hosts[i] = append(g.Names, name), c.NewAddress()
		nameOfHost[hosts[i]] = name
	}
	raftAddresses := make(map[string]string) // by name; shared by all configurations
	for i, name := range g.Names {
		dir, err := c.Dir("registry-" + name)
		if err != nil {
			return nil, err
		}
		config := registry.Config{ID: name, ListenAddress: fmt.Sprintf("%s:%d", hosts[i], listPort),
			RaftBindAddress: fmt.Sprintf("%s:%d", hosts[i], raftPort), DataDir: filepath.Join(dir, "data"), InitialReplicas: raftAddresses}
		config.RaftAddress, err = c.RelayStreams(name, config.RaftBindAddress, func(host string) string { return nameOfHost[host] })
		if err != nil {
			return nil, err
		}
		raftAddresses[name] = config.RaftAddress
		g.replicas[name] = &replica{config: config}
	}
	return g, nil
}

// Start starts a process of a replica, with the data that it has.
func (g *Registry) Start(name string) error {
	program, err := Build(cliProgram)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[name]
	raw, err := toml.Marshal(r.config)
	if err != nil {
		return err
	}
	file := r.config.DataDir + ".toml"
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	r.process, err = g.cluster.Start("registry-"+name, program, append([]string{"registry", "serve", "--config", file}, r.args...), nil)
	return err
}

// Process is a replica's newest process.
func (g *Registry) Process(name string) *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[name].process
}

// Address is where a replica serves HTTP.
func (g *Registry) Address(name string) string { return g.replicas[name].config.ListenAddress }

// DataDir is where a replica stores its data.
func (g *Registry) DataDir(name string) string { return g.replicas[name].config.DataDir }

// Addresses are those of all replicas.
func (g *Registry) Addresses() (all []string) {
	for _, name := range g.Names {
		all = append(all, g.Address(name))
	}
	return all
}

// Status returns a replica's status.
func (g *Registry) Status(ctx context.Context, name string) (s registry.Status, err error) {
	err = Get(ctx, g.Address(name), "/registry/status", &s)
	return s, err
}

// AwaitLeader waits until a majority of replicas names the same leader, which names itself, and whose list is fresh.
func (g *Registry) AwaitLeader(ctx context.Context) (leader string, err error) {
	err = Await(ctx, "a leader", func() bool {
		votes := make(map[string]int)
		for _, name := range g.Names {
			if s, err := g.Status(ctx, name); err == nil && s.AgeMs >= 0 && s.Leader != "" {
				votes[s.Leader]++
			}
		}
		for name, n := range votes {
			if s, err := g.Status(ctx, name); 2*n > len(g.Names) && err == nil && s.Leader == name {
				leader = name
				return true
			}
		}
		return false
	})
	return leader, err
}

// SetIsolated partitions a replica from the others, or ends that.
func (g *Registry) SetIsolated(name string, isolated bool) {
	for _, other := range g.Names {
		if other != name {
			g.cluster.SetLinkFaults(name, other, Faults{Cut: isolated})
			g.cluster.SetLinkFaults(other, name, Faults{Cut: isolated})
		}
	}
}
