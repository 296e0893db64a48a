package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	clientPort        = 9000
	controlPort       = 9100 // and those after it: each process of a node has an administrative address of its own
	gossipPort        = 7946
	nodeProgram       = "cmd/sloerail-node"
	defaultCores      = 1
	defaultMemoryMB   = 128
	defaultMaxSockets = 256 // descriptors
)

// NodeSpec says how a node is configured. Zero values are replaced by what suits a test.
type NodeSpec struct {
	Name          string
	Discovery     string         // addresses of the list service, as this node reaches it
	ListFile      string         // where it caches the list; empty for nowhere
	InitialList   any            // that it starts with, in the list service's form; nil for an empty one
	Settings      map[string]any // the section of that name in its file
	Cores         float64
	MemoryMB      int
	Sockets       int            // descriptors that it may have open
	Fleet         map[string]any // the section of that name; nil for none
	Topology      map[string]any // the section "places"; nil for none
	Scope         map[string]any // the section of that name; nil for none
	RetainMissing bool
	Env           []string // beside that of the caller's process
}

// zone is the zone in the node's settings.
func (s NodeSpec) zone() string { return fmt.Sprint(s.Settings["zone"]) }

// Node is one node: the processes that follow each other under its name and addresses.
type Node struct {
	Spec    NodeSpec
	Host    string
	Listen  string // where clients reach it
	cluster *Cluster
	dir     string

	faultLock sync.Mutex // held by a schedule's fault of its processes: one at a time

	mu               sync.Mutex
	processes        []*Process // newest last
	controlAddresses []string   // of the processes
	killedAt         time.Time
	down             bool // killed, and no other process has been ready since
}

// Node makes a node, which Start starts.
func (c *Cluster) Node(spec NodeSpec) (*Node, error) {
	if spec.Cores == 0 {
		spec.Cores = defaultCores
	}
	if spec.MemoryMB == 0 {
		spec.MemoryMB = defaultMemoryMB
	}
	if spec.Sockets == 0 {
		spec.Sockets = defaultMaxSockets
	}
	dir, err := c.Dir(spec.Name)
	if err != nil {
		return nil, err
	}
	host := c.NewAddress()
	return &Node{Spec: spec, Host: host, cluster: c, dir: dir, Listen: fmt.Sprintf("%s:%d", host, clientPort)}, nil
}

// Gossip is the address that the node's processes bind for gossip.
func (n *Node) Gossip() string { return net.JoinHostPort(n.Host, fmt.Sprint(gossipPort)) }

// writeConfig writes the node's file as Spec has it now.
func (n *Node) writeConfig() (path string, err error) {
	spec := n.Spec
	file := map[string]any{
		"name": spec.Name, "listen": n.Listen, "discovery": spec.Discovery, "seed": "1f",
		"limits": map[string]any{"cores": spec.Cores, "memory_mb": spec.MemoryMB, "sockets": spec.Sockets},
		"known":  spec.InitialList, "settings": spec.Settings,
	}
	if spec.InitialList == nil {
		file["known"] = map[string]any{"revision": 0, "complete": true, "members": []any{}}
	}
	for key, section := range map[string]map[string]any{"fleet": spec.Fleet, "places": spec.Topology, "scope": spec.Scope} {
		if section != nil {
			file[key] = section
		}
	}
	if spec.RetainMissing {
		file["ease_lists"] = true
	}
	if spec.ListFile != "" {
		file["list_file"] = spec.ListFile
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path = filepath.Join(n.dir, "config.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// Start starts a process of the node. If one serves already, the new one takes over from it.
func (n *Node) Start() (*Process, error) {
	path, err := n.writeConfig()
	if err != nil {
		return nil, err
	}
	program, err := Build(nodeProgram)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	control := fmt.Sprintf("%s:%d", n.Host, controlPort+len(n.controlAddresses))
	env := append([]string{"ROUTER_CONFIG=" + path, "TMPDIR=" + n.dir, "ROUTER_CONTROL=" + control}, n.Spec.Env...)
	p, err := n.cluster.Start(n.Spec.Name, program, nil, env)
	if err != nil {
		return nil, err
	}
	n.processes, n.controlAddresses = append(n.processes, p), append(n.controlAddresses, control)
	return p, nil
}

// Kill kills the node's newest process.
func (n *Node) Kill() {
	p := n.Process()
	n.mu.Lock()
	n.killedAt, n.down = time.Now(), true
	n.mu.Unlock()
	p.Kill()
}

// killedSince tells whether the node was down at some time since t because of Kill.
func (n *Node) killedSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down || n.killedAt.After(t)
}

// Descriptors is how many descriptors the node's processes have open together.
func (n *Node) Descriptors() (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.processes {
		if p.Ended() {
			continue
		}
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
		if err == nil { // else the process has just ended
			sum += len(open)
		}
	}
	return sum
}

// Process is the newest process of the node.
func (n *Node) Process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[len(n.processes)-1]
}

// Processes are all processes that the node has had, the newest last.
func (n *Node) Processes() []*Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.processes)
}

// Control is the administrative address of the node's newest process.
func (n *Node) Control() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlAddresses[len(n.controlAddresses)-1]
}

// Ready waits until the newest process is ready for clients. It is an error for it to end before.
func (n *Node) Ready(ctx context.Context) error {
	p, address := n.Process(), n.Control()
	err := Await(ctx, n.Spec.Name+" to take clients", func() bool {
		return p.Ended() || Get(ctx, address, "/healthcheck", nil) == nil
	})
	n.mu.Lock()
	n.down = n.down && err != nil
	n.mu.Unlock()
	if err == nil && p.Ended() {
		err = fmt.Errorf("%s ended at its start:\n%s", n.Spec.Name, p.Log())
	}
	return err
}

// Replace starts another process of the node, and has the previous one shut down once the new one is ready.
func (n *Node) Replace(ctx context.Context) (previous *Process, err error) {
	previous = n.Process()
	if _, err := n.Start(); err != nil {
		return previous, err
	}
	if err := n.Ready(ctx); err != nil {
		return previous, err
	}
	previous.Signal(syscall.SIGTERM)
	return previous, nil
}
