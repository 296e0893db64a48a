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

// Registry is a list service with several replicas. Raft traffic between them passes through relays.
type Registry struct {
	Names   []string
	cluster *Cluster

	mu       sync.Mutex
	replicas map[string]*replica
}

type replica struct {
	config  registry.Config
	args    []string // in addition to the path of the configuration file
	process *Process
}

// NewRegistry creates a registry with the given number of replicas, without starting them.
func (c *Cluster) NewRegistry(replicas int) (*Registry, error) {
	r := &Registry{cluster: c, replicas: make(map[string]*replica)}
	nameOfHost, hosts := make(map[string]string), make([]string, replicas)
	for i := range replicas {
		name := fmt.Sprint("r", i)
		r.Names, hosts[i] = append(r.Names, name), c.NewAddress()
		nameOfHost[hosts[i]] = name
	}
	raftAddresses := make(map[string]string) // by replica; shared by all configurations
	for i, name := range r.Names {
		dir, err := c.MakeDir("registry-" + name)
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
		r.replicas[name] = &replica{config: config}
	}
	return r, nil
}

// Start starts a process of a replica with its existing data.
func (r *Registry) Start(name string) error {
	program, err := Build(cliProgram)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.replicas[name]
	raw, err := toml.Marshal(rep.config)
	if err != nil {
		return err
	}
	file := rep.config.DataDir + ".toml"
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	rep.process, err = r.cluster.Start("registry-"+name, program, append([]string{"registry", "serve", "--config", file}, rep.args...), nil)
	return err
}

// Process returns the newest process of a replica.
func (r *Registry) Process(name string) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas[name].process
}

// Address returns the address at which a replica serves HTTP.
func (r *Registry) Address(name string) string { return r.replicas[name].config.ListenAddress }

// DataDir returns the directory in which a replica stores its data.
func (r *Registry) DataDir(name string) string { return r.replicas[name].config.DataDir }

// Addresses returns the HTTP addresses of all replicas.
func (r *Registry) Addresses() (all []string) {
	for _, name := range r.Names {
		all = append(all, r.Address(name))
	}
	return all
}

// Status returns a replica's status.
func (r *Registry) Status(ctx context.Context, name string) (s registry.Status, err error) {
	err = Get(ctx, r.Address(name), "/registry/status", &s)
	return s, err
}

// AwaitLeader waits until a majority of the replicas have a fresh list and name the same leader, and the leader names
// itself.
func (r *Registry) AwaitLeader(ctx context.Context) (leader string, err error) {
	err = Await(ctx, "a leader", func() bool {
		votes := make(map[string]int)
		for _, name := range r.Names {
			if s, err := r.Status(ctx, name); err == nil && s.AgeMs >= 0 && s.Leader != "" {
				votes[s.Leader]++
			}
		}
		for name, n := range votes {
			if s, err := r.Status(ctx, name); 2*n > len(r.Names) && err == nil && s.Leader == name {
				leader = name
				return true
			}
		}
		return false
	})
	return leader, err
}

// SetIsolated partitions a replica from the others, or ends the partition.
func (r *Registry) SetIsolated(name string, isolated bool) {
	for _, other := range r.Names {
		if other != name {
			r.cluster.SetLinkFaults(name, other, Faults{Cut: isolated})
			r.cluster.SetLinkFaults(other, name, Faults{Cut: isolated})
		}
	}
}
