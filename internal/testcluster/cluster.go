// Package testcluster runs several processes of the program on loopback, with faults between them, for tests and
// commands. It is no part of a node.
//
// A Cluster owns a block of loopback addresses and every process that it starts. Processes don't outlive it, however
// it ends: each leads a process group of its own, which Close kills, and the kernel kills the process itself if the
// cluster's process dies first. What passes between processes goes through relays, whose faults are set by
// SetLinkFaults or by a Schedule.
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
	addressBlocks = 254                   // of loopback addresses: 127.77.N.0/24
	guardPort     = 7001                  // at the first address of a block: the cluster that listens there owns the block
	firstHost     = 2                     // of a block: the last byte of its addresses for processes
	lastHost      = 254                   // the same
	pollInterval  = 10 * time.Millisecond // between checks of a condition
)

// ErrNoAddresses is for a machine on which every block of loopback addresses is in use.
var ErrNoAddresses = errors.New("no block of loopback addresses is free")

// errClosed is for a process that is started once its cluster is closed.
var errClosed = errors.New("the cluster is closed")

// Cluster starts processes and relays what passes between them. Its methods may be called from any goroutine.
type Cluster struct {
	dir           string
	guard         net.Listener // owns the block
	block         int
	links         *links
	startRequests chan startRequest
	closed        chan struct{} // by Close
	closeOnce     sync.Once

	mu        sync.Mutex
	nextHost  int
	processes []*Process
	closers   []func()
}

type startRequest struct {
	cmd   *exec.Cmd
	reply chan error
}

// New makes a cluster that keeps its files in dir. The seed decides which datagrams and streams the links' faults hit.
func New(dir string, seed uint64) (*Cluster, error) {
	guard, block, err := ownBlock()
	if err != nil {
		return nil, err
	}
	c := &Cluster{dir: dir, guard: guard, block: block, links: newLinks(seed), nextHost: firstHost,
		startRequests: make(chan startRequest), closed: make(chan struct{})}
	go c.startProcesses()
	return c, nil
}

// ownBlock finds a block of addresses that no other cluster on this machine owns.
func ownBlock() (guard net.Listener, block int, err error) {
	first := os.Getpid() // so that clusters of several processes rarely try the same block
	for i := range addressBlocks {
		block = 1 + (first+i)%addressBlocks
		guard, err = net.Listen("tcp", fmt.Sprintf("127.77.%d.1:%d", block, guardPort))
		if err == nil {
			return guard, block, nil
		}
	}
	return nil, 0, fmt.Errorf("test cluster: %w: %w", ErrNoAddresses, err)
}

// startProcesses starts all processes from one locked thread, until Close: the kernel kills a child with the thread
// that started it, not with its process.
func (c *Cluster) startProcesses() {
	runtime.LockOSThread()
	for {
		select {
		case request := <-c.startRequests:
			request.reply <- request.cmd.Start()
		case <-c.closed:
			return
		}
	}
}

// NewAddress returns a loopback address that nobody else uses. It panics once the block has no more.
func (c *Cluster) NewAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextHost > lastHost {
		panic(fmt.Sprintf("test cluster: a block has %d addresses", lastHost-firstHost+1))
	}
	c.nextHost++
	return fmt.Sprintf("127.77.%d.%d", c.block, c.nextHost-1)
}

// anyPortAddress is where relays and emulated servers listen: no process uses the block's first address.
func (c *Cluster) anyPortAddress() string { return fmt.Sprintf("127.77.%d.1:0", c.block) }

// Dir makes a folder among the cluster's files.
func (c *Cluster) Dir(name string) (string, error) {
	path := filepath.Join(c.dir, name)
	return path, os.MkdirAll(path, 0o700)
}

// onClose has Close call a function, the last one first.
func (c *Cluster) onClose(closer func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, closer)
}

// Close kills the processes and ends the relays. It may be called more than once.
func (c *Cluster) Close() {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		processes, closers := c.processes, c.closers
		c.mu.Unlock()
		for _, p := range processes {
			p.Kill()
		}
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
		c.links.close()
		close(c.closed)
		_ = c.guard.Close()
	})
}

// Await checks a condition until it holds or the context ends; the error then names what was awaited.
func Await(ctx context.Context, what string, holds func() bool) error {
	tick := time.NewTicker(pollInterval)
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
