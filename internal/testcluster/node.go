package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	clientPort   = 9000
	controlPort  = 9100 // and those after it: each process of a node has a second address of its own
	gossipPort   = 7946
	callTime     = time.Second // for a call at the second address
	nodeProgram  = "cmd/sloerail-node"
	defaultLimit = 256 // descriptors
)

// NodeSpec says how a node is configured. Zero values are replaced by what suits a test.
type NodeSpec struct {
	Name          string
	Discovery     string         // the addresses of the list service, as this node reaches it
	ListFile      string         // where it keeps the list; empty for nowhere
	InitialList   any            // the list that it starts with, in discovery's form
	Settings      map[string]any // as a node finds them in its file
	Cores         float64
	MemoryMB      int
	Sockets       int
	Fleet         map[string]any // the section of that name; nil for none
	Topology      map[string]any // the same
	Scope         map[string]any // the same
	RetainMissing bool
	Env           []string
}

// zone is the one that the node's settings name.
func (s NodeSpec) zone() string { return fmt.Sprint(s.Settings["zone"]) }

// Node is one node: the processes that follow each other under its name and addresses.
type Node struct {
	Spec    NodeSpec
	Host    string
	Listen  string // where clients reach it
	cluster *Cluster
	dir     string

	faultLock sync.Mutex // held by a schedule's fault of its processes

	mu    sync.Mutex
	procs []*Process // newest last
	calls []string   // their second addresses
	died  time.Time  // when Kill last ended it,
	down  bool       // and no other process has taken clients since
}

// Node makes a node, which Start starts.
func (r *Cluster) Node(spec NodeSpec) (*Node, error) {
	if spec.Cores == 0 {
		spec.Cores = 1
	}
	if spec.MemoryMB == 0 {
		spec.MemoryMB = 128
	}
	if spec.Sockets == 0 {
		spec.Sockets = defaultLimit
	}
	dir, err := r.Dir(spec.Name)
	if err != nil {
		return nil, err
	}
	host := r.Host()
	return &Node{Spec: spec, Host: host, cluster: r, dir: dir, Listen: fmt.Sprintf("%s:%d", host, clientPort)}, nil
}

// Gossip is where the node's processes are bound for gossip.
func (n *Node) Gossip() string { return net.JoinHostPort(n.Host, fmt.Sprint(gossipPort)) }

// configure writes the node's file as Spec has it now.
func (n *Node) configure() (path string, err error) {
	s := n.Spec
	file := map[string]any{
		"name": s.Name, "listen": n.Listen, "discovery": s.Discovery, "seed": "1f",
		"limits": map[string]any{"cores": s.Cores, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":  s.InitialList, "settings": s.Settings,
	}
	if s.Fleet != nil {
		file["fleet"] = s.Fleet
	}
	if s.Topology != nil {
		file["places"] = s.Topology
	}
	if s.Scope != nil {
		file["scope"] = s.Scope
	}
	if s.RetainMissing {
		file["ease_lists"] = true
	}
	if s.ListFile != "" {
		file["list_file"] = s.ListFile
	}
	if s.InitialList == nil {
		file["known"] = map[string]any{"revision": 0, "complete": true, "members": []any{}}
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	path = filepath.Join(n.dir, "config.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// Start starts a process of the node, beside the one that serves if there is one: then it is to take over.
func (n *Node) Start() (*Process, error) {
	path, err := n.configure()
	if err != nil {
		return nil, err
	}
	program, err := Build(nodeProgram)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	control := fmt.Sprintf("%s:%d", n.Host, controlPort+len(n.calls))
	env := append([]string{"ROUTER_CONFIG=" + path, "TMPDIR=" + n.dir, "ROUTER_CONTROL=" + control}, n.Spec.Env...)
	p, err := n.cluster.Start(n.Spec.Name, program, nil, env)
	if err != nil {
		return nil, err
	}
	n.procs, n.calls = append(n.procs, p), append(n.calls, control)
	return p, nil
}

// Kill ends the node's newest process at once.
func (n *Node) Kill() {
	p := n.Process()
	n.mu.Lock()
	n.died, n.down = time.Now(), true
	n.mu.Unlock()
	p.Kill()
}

// killedSince tells whether Kill ended the node after a time, or before and nobody is there yet.
func (n *Node) killedSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down || n.died.After(t)
}

// Descriptors is how many the node's processes hold together now.
func (n *Node) Descriptors() (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.procs {
		if p.Ended() {
			continue
		}
		held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
		if err == nil { // else it has just ended
			sum += len(held)
		}
	}
	return sum
}

// Process is the newest process of the node, and Control its second address.
func (n *Node) Process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.procs[len(n.procs)-1]
}

// Processes are all that the node has had, the newest last.
func (n *Node) Processes() []*Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.procs)
}

// Control is the second address of the node's newest process.
func (n *Node) Control() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[len(n.calls)-1]
}

// Ready waits until the newest process takes clients.
func (n *Node) Ready(ctx context.Context) error {
	p, at := n.Process(), n.Control()
	err := Await(ctx, n.Spec.Name+" to take clients", func() bool {
		return p.Ended() || Get(ctx, at, "/healthcheck", nil) == nil
	})
	n.mu.Lock()
	n.down = n.down && err != nil
	n.mu.Unlock()
	if err == nil && p.Ended() {
		err = fmt.Errorf("%s ended at its start:\n%s", n.Spec.Name, p.Log())
	}
	return err
}

// Replace starts another process of the node and tells the old one to stop once the new one takes clients.
func (n *Node) Replace(ctx context.Context) (old *Process, err error) {
	old = n.Process()
	if _, err := n.Start(); err != nil {
		return old, err
	}
	if err := n.Ready(ctx); err != nil {
		return old, err
	}
	old.Signal(syscall.SIGTERM)
	return old, nil
}

// Get calls a node's second address. A JSON answer is read into to, unless that is nil.
func Get(ctx context.Context, at, path string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+path, nil)
	if err != nil {
		return err
	}
	resp, err := caller.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return statusError{at + path, resp.StatusCode}
	}
	if to == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(to)
}

var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// statusError is a call that was answered, and not with what was asked for.
type statusError struct {
	call   string
	status int
}

func (e statusError) Error() string { return fmt.Sprintf("%s answered %d", e.call, e.status) }
