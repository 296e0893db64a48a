package rig

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// LateListener is the listener of a server whose connections can be made to come up late. While it is held, its short
// queue of connections is full, and the kernel drops further SYNs. A connection that is opened meanwhile comes up with
// the second SYN, a second after the first, if the listener is released by then.
type LateListener struct {
	net.Listener
	rig     *Rig
	mu      sync.Mutex
	open    *sync.Cond
	held    bool
	fillers []net.Conn
}

// NewLateListener listens at a free port, with the shortest queue.
func (r *Rig) NewLateListener() *LateListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		r.NotRun("late listener: %v", err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	inner, err := net.FileListener(f)
	if err != nil {
		r.NotRun("late listener: %v", err)
	}
	l := &LateListener{Listener: inner, rig: r}
	l.open = sync.NewCond(&l.mu)
	return l
}

// Accept waits while the listener is held.
func (l *LateListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.held {
		l.open.Wait()
	}
	l.mu.Unlock()
	return l.Listener.Accept()
}

// Hold fills the queue with connections of its own, until two further ones in a row don't come up.
func (l *LateListener) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	for refused, tries := 0, 0; refused < 2; tries++ {
		if tries == maxFillers {
			l.rig.NotRun("the queue of connections can't be filled")
		}
		conn, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		if err != nil {
			refused++
			continue
		}
		refused, l.fillers = 0, append(l.fillers, conn)
	}
}

const (
	maxFillers  = 8
	fillTimeout = 150 * time.Millisecond // far above the time that a connection takes on a busy machine
)

// Release lets connections come up again.
func (l *LateListener) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	for _, conn := range l.fillers {
		_ = conn.Close()
	}
	l.fillers = nil
	l.open.Broadcast()
}
