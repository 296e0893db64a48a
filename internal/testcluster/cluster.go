// Package testcluster runs nodes and registry replicas as processes on loopback and injects faults between them, for
// tests and commands. Nodes don't use it.
//
// A Cluster owns a block of loopback addresses and the processes that it starts. Each process leads its own process
// group, which Close kills. If the program that owns the Cluster dies without calling Close, the kernel kills the
// processes. Traffic between processes passes through relays, whose faults are set by SetLinkFaults or by a Schedule.
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
	addressBlocks = 254                   // blocks of loopback addresses: 127.77.N.0/24
	guardPort     = 7001                  // the cluster that listens on this port of a block's first address owns the block
	firstHost     = 2                     // last byte of the first address for processes in a block
	lastHost      = 254                   // last byte of the last address for processes in a block
	pollInterval  = 10 * time.Millisecond // between checks of a condition by Await
)

// ErrNoAddresses is returned by New when it can't listen in any block of loopback addresses: usually because all blocks
// of the machine are in use.
var ErrNoAddresses = errors.New("cannot listen in any block of loopback addresses")

// errClosed is returned by Start after Close.
var errClosed = errors.New("test cluster is closed")

// Cluster starts processes and relays the traffic between them. Its methods are safe for concurrent use.
type Cluster struct {
	dir           string
	guard         net.Listener // listens on guardPort to own the block
	block         int
	links         *links
	startRequests chan startRequest
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once

	mu        sync.Mutex
	nextHost  int
	processes []*Process
	closers   []func()
}

// startRequest asks startProcesses to start a command.
type startRequest struct {
	cmd   *exec.Cmd
	reply chan error
}

// New creates a cluster that stores its files in dir. The seed determines which datagrams and streams are affected by
// link faults.
func New(dir string, seed uint64) (*Cluster, error) {
	guard, block, err := acquireBlock()
	if err != nil {
		return nil, err
	}
	c := &Cluster{dir: dir, guard: guard, block: block, links: newLinks(seed), nextHost: firstHost,
		startRequests: make(chan startRequest), closed: make(chan struct{})}
	go c.startProcesses()
	return c, nil
}

// acquireBlock acquires a block of addresses that no other cluster on this machine owns.
func acquireBlock() (guard net.Listener, block int, err error) {
	first := os.Getpid() // processes start at different blocks, so that they rarely try the same one
	for i := range addressBlocks {
		block = 1 + (first+i)%addressBlocks
		guard, err = net.Listen("tcp", fmt.Sprintf("127.77.%d.1:%d", block, guardPort))
		if err == nil {
			return guard, block, nil
		}
	}
	return nil, 0, fmt.Errorf("test cluster: %w: %w", ErrNoAddresses, err)
}

// startProcesses starts all processes from one locked OS thread, until Close. Pdeathsig requires this: the kernel kills a
// child as soon as the thread that started it exits, even if other threads of the parent process live on.
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

// NewAddress returns an unused loopback address of the block. It panics if all are in use.
func (c *Cluster) NewAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextHost > lastHost {
		panic(fmt.Sprintf("test cluster: all %d addresses of the block are in use", lastHost-firstHost+1))
	}
	c.nextHost++
	return fmt.Sprintf("127.77.%d.%d", c.block, c.nextHost-1)
}

// anyPortAddress returns the address on which relays and emulated servers listen: port 0 of the block's first address,
// which no process uses.
func (c *Cluster) anyPortAddress() string { return fmt.Sprintf("127.77.%d.1:0", c.block) }

// MakeDir creates a directory for the cluster's files and returns its path.
func (c *Cluster) MakeDir(name string) (string, error) {
	path := filepath.Join(c.dir, name)
	return path, os.MkdirAll(path, 0o700)
}

// onClose registers a function that Close calls. Close calls them in reverse order of registration.
func (c *Cluster) onClose(closer func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, closer)
}

// Close kills the processes, calls the functions registered by onClose and stops the relays. Further calls have no
// effect.
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

// Await polls a condition until it holds or the context ends. The error contains the description of the condition.
func Await(ctx context.Context, description string, condition func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", description, ctx.Err())
		}
	}
	return nil
}
