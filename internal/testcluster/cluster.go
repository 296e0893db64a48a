// Package testcluster runs several processes of the program on loopback, with faults between them, for tests and
// commands. It is no part of a node.
//
// A Rig owns a block of loopback addresses and every process that it starts. Processes die with it, however
// it ends: each leads a process group of its own, which Close kills, and the kernel kills the process itself
// should the rig's own process die first. Paths between processes go through links (see Link), whose faults
// are set under way, by hand or by a Schedule.
package testcluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

const (
	blocks    = 254                   // of loopback addresses: 127.77.N.0/24
	guardPort = 7001                  // at the first address of a block: who listens there owns it
	firstHost = 2                     // of a block
	lastHost  = 254                   //
	pollEvery = 10 * time.Millisecond // between looks at a condition
)

// Cluster starts processes and carries what passes between them. Its methods may be called from any goroutine.
type Cluster struct {
	dir    string
	guard  net.Listener
	block  int
	links  *links
	starts chan start
	ended  chan struct{} // closed by Close

	mu    sync.Mutex
	host  int
	procs []*Process
	ends  []func()
	once  sync.Once
}

type start struct {
	cmd   *exec.Cmd
	reply chan error
}

// New makes a rig that keeps its files in dir. The seed drives the links' chances.
func New(dir string, seed uint64) (*Cluster, error) {
	r := &Cluster{dir: dir, host: firstHost, starts: make(chan start), ended: make(chan struct{})}
	first := os.Getpid()
	for i := range blocks {
		r.block = 1 + (first+i)%blocks
		guard, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.1:%d", r.block, guardPort))
		if err == nil {
			r.guard = guard
			break
		}
	}
	if r.guard == nil {
		return nil, errors.New("rig: no block of loopback addresses is free")
	}
	r.links = newLinks(seed)
	go r.starter()
	return r, nil
}

// starter starts all processes from one thread that stays: the kernel's word that a child is to die with its
// parent is about the thread that started it.
func (r *Cluster) starter() {
	runtime.LockOSThread()
	for {
		select {
		case s := <-r.starts:
			s.reply <- s.cmd.Start()
		case <-r.ended:
			return
		}
	}
}

// Host returns a loopback address that is this rig's alone.
func (r *Cluster) Host() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.host > lastHost {
		panic("rig: a block has 253 addresses")
	}
	r.host++
	return fmt.Sprintf("127.77.%d.%d", r.block, r.host-1)
}

// anyPort is where relays and stand-ins listen: nobody else uses the rig's first address.
func (r *Cluster) anyPort() string { return fmt.Sprintf("127.77.%d.1:0", r.block) }

// Dir makes a folder of the rig's.
func (r *Cluster) Dir(name string) (string, error) {
	path := filepath.Join(r.dir, name)
	return path, os.MkdirAll(path, 0o700)
}

// onClose has Close call end, the last first.
func (r *Cluster) onClose(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, end)
}

// Close kills what runs, and ends the links. It may be called more than once.
func (r *Cluster) Close() {
	r.once.Do(func() {
		r.mu.Lock()
		procs, ends := r.procs, r.ends
		r.mu.Unlock()
		for _, p := range procs {
			p.Kill()
		}
		for i := len(ends) - 1; i >= 0; i-- {
			ends[i]()
		}
		r.links.close()
		close(r.ended)
		_ = r.guard.Close()
	})
}

// Await looks at a condition until it holds or ctx ends, whose error then names what was awaited.
func Await(ctx context.Context, what string, holds func() bool) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("awaiting %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// Build builds a package of this module, in or above whose folder the caller runs, and returns the program's
// path. Each package is built once a process; the tool chain's cache makes that cheap.
func Build(pkg string) (string, error) {
	built.Lock()
	defer built.Unlock()
	if path, ok := built.paths[pkg]; ok {
		return path, nil
	}
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "sloerail-rig-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, filepath.Base(pkg))
	cmd := exec.Command("go", "build", "-o", path, "./"+pkg)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return "", fmt.Errorf("building %s: %w\n%s", pkg, err, out)
	}
	built.paths[pkg] = path
	built.dirs = append(built.dirs, dir)
	return path, nil
}

var built = struct {
	sync.Mutex
	paths map[string]string
	dirs  []string
}{paths: make(map[string]string)}

// Clean removes what Build made.
func Clean() {
	built.Lock()
	defer built.Unlock()
	for _, dir := range built.dirs {
		_ = os.RemoveAll(dir)
	}
	clear(built.paths)
	built.dirs = nil
}

func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for at := dir; ; at = filepath.Dir(at) {
		if _, err := os.Stat(filepath.Join(at, "go.mod")); err == nil {
			return at, nil
		}
		if at == filepath.Dir(at) {
			return "", fmt.Errorf("no go.mod in or above %s", dir)
		}
	}
}
