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
	controlPort       = 9100 // of the first process; each further process of a node uses the next port
	gossipPort        = 7946
	nodeProgram       = "cmd/sloerail-node"
	defaultCores      = 1
	defaultMemoryMB   = 128
	defaultMaxSockets = 256 // open descriptors
)

// NodeSpec configures a node. Cores, MemoryMB and Sockets have defaults that suit a test.
type NodeSpec struct {
	Name          string
	Discovery     string         // comma-separated addresses at which the node reaches the list service
	ListFile      string         // path of the cached list; if empty, the list is not cached
	InitialList   any            // the list known at the start, in the list service's format; empty if nil
	Settings      map[string]any // the section "settings" of the configuration file
	Cores         float64
	MemoryMB      int
	Sockets       int            // limit of open descriptors
	Fleet         map[string]any // the section "fleet"; omitted if nil
	Topology      map[string]any // the section "places"; omitted if nil
	Scope         map[string]any // the section "scope"; omitted if nil
	RetainMissing bool           // the key "ease_lists": retain servers that a list lacks for a moment
	Env           []string       // environment variables in addition to the caller's
}

// zone returns the zone in the node's settings.
func (s NodeSpec) zone() string { return fmt.Sprint(s.Settings["zone"]) }

// Node is a node of the cluster. Successive processes run it, with the same name and the same addresses for clients and
// gossip. Each process has an administrative address of its own.
type Node struct {
	Spec    NodeSpec
	Host    string
	Listen  string // address for clients
	cluster *Cluster
	dir     string

	faultLock sync.Mutex // serializes the process faults of a schedule

	mu               sync.Mutex
	processes        []*Process // newest last
	controlAddresses []string   // administrative addresses of the processes
	killedAt         time.Time
	down             bool // killed, and no process has become ready since
}

// Node creates a node without starting it.
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
	dir, err := c.MakeDir(spec.Name)
	if err != nil {
		return nil, err
	}
	host := c.NewAddress()
	return &Node{Spec: spec, Host: host, cluster: c, dir: dir, Listen: fmt.Sprintf("%s:%d", host, clientPort)}, nil
}

// GossipAddress returns the address that the node's processes bind for gossip.
func (n *Node) GossipAddress() string { return net.JoinHostPort(n.Host, fmt.Sprint(gossipPort)) }

// writeConfig writes the node's configuration file from the current Spec.
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

// Start starts a process of the node. If another process of the node is serving, it hands over to the new one.
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

// Reload writes the configuration file from the current Spec, and has the newest process read it.
func (n *Node) Reload() error {
	if _, err := n.writeConfig(); err != nil {
		return err
	}
	n.Process().Signal(syscall.SIGHUP)
	return nil
}

// Kill kills the node's newest process.
func (n *Node) Kill() {
	p := n.Process()
	n.mu.Lock()
	n.killedAt, n.down = time.Now(), true
	n.mu.Unlock()
	p.Kill()
}

// killedSince reports whether the node was down because of Kill at some time since t.
func (n *Node) killedSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down || n.killedAt.After(t)
}

// Descriptors returns the number of descriptors that the node's processes have open in total.
func (n *Node) Descriptors() (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.processes {
		if p.Ended() {
			continue
		}
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
		if err == nil { // otherwise the process has just ended
			sum += len(open)
		}
	}
	return sum
}

// Process returns the newest process of the node.
func (n *Node) Process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[len(n.processes)-1]
}

// Processes returns all processes of the node, including ended ones, newest last.
func (n *Node) Processes() []*Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.processes)
}

// ControlAddress returns the administrative address of the node's newest process.
func (n *Node) ControlAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlAddresses[len(n.controlAddresses)-1]
}

// Ready waits until the newest process is ready for clients. It returns an error if the process ends first.
func (n *Node) Ready(ctx context.Context) error {
	p, address := n.Process(), n.ControlAddress()
	err := Await(ctx, n.Spec.Name+" to be ready for clients", func() bool {
		return p.Ended() || Get(ctx, address, "/healthcheck", nil) == nil
	})
	n.mu.Lock()
	n.down = n.down && err != nil
	n.mu.Unlock()
	if err == nil && p.Ended() {
		err = fmt.Errorf("%s ended before it was ready; its log:\n%s", n.Spec.Name, p.Log())
	}
	return err
}

// Replace starts another process of the node, waits until the new process is ready, and then tells the previous
// one to shut down. It does not wait for the previous process to end.
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
