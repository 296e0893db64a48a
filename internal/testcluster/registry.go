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

// Registry is the replicas of a list service; what they tell each other passes over links of the rig.
type Registry struct {
	Names   []string
	cluster *Cluster

	mu       sync.Mutex
	replicas map[string]*replica
}

type replica struct {
	config registry.Config
	args   []string // beside those that name the file
	proc   *Process
}

// NewRegistry makes so many replicas, which Start starts.
func (r *Cluster) NewRegistry(n int) (*Registry, error) {
	g := &Registry{cluster: r, replicas: make(map[string]*replica)}
	names, hosts := make(map[string]string), make([]string, n) // names by host
	for i := range n {
		name := fmt.Sprint("r", i)
		g.Names, hosts[i] = append(g.Names, name), r.Host()
		names[hosts[i]] = name
	}
	peers := make(map[string]string)
	for i, name := range g.Names {
		dir, err := r.Dir("registry-" + name)
		if err != nil {
			return nil, err
		}
		c := registry.Config{ID: name, ListenAddress: fmt.Sprintf("%s:%d", hosts[i], listPort),
			RaftBindAddress: fmt.Sprintf("%s:%d", hosts[i], raftPort), DataDir: filepath.Join(dir, "data"), InitialReplicas: peers}
		// The relay reads names from here on.
		if c.RaftAddress, err = r.RelayStreams(name, c.RaftBindAddress, func(host string) string { return names[host] }); err != nil {
			return nil, err
		}
		peers[name] = c.RaftAddress
		g.replicas[name] = &replica{config: c}
	}
	return g, nil
}

// Start starts a replica, in the folder that it has.
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
	r.proc, err = g.cluster.Start("registry-"+name, program, append([]string{"registry", "serve", "--config", file}, r.args...), nil)
	return err
}

// Process is a replica's newest process.
func (g *Registry) Process(name string) *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[name].proc
}

// Listen is where a replica answers calls, and Folder where it keeps the list.
func (g *Registry) Listen(name string) string { return g.replicas[name].config.ListenAddress }

// Folder is where a replica keeps the list.
func (g *Registry) Folder(name string) string { return g.replicas[name].config.DataDir }

// Addresses are where all replicas answer calls.
func (g *Registry) Addresses() (all []string) {
	for _, name := range g.Names {
		all = append(all, g.Listen(name))
	}
	return all
}

// Status asks a replica how it is.
func (g *Registry) Status(ctx context.Context, name string) (s registry.Status, err error) {
	err = Get(ctx, g.Listen(name), "/registry/status", &s)
	return s, err
}

// AwaitLeader waits until most replicas agree on one that can tell that its list is fresh, and names it.
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

// Cut cuts a replica off from the others, or ends that.
func (g *Registry) Cut(name string, on bool) {
	for _, other := range g.Names {
		if other != name {
			g.cluster.SetLink(name, other, Faults{Cut: on})
			g.cluster.SetLink(other, name, Faults{Cut: on})
		}
	}
}
