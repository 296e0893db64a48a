package testcluster

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxLogBytes is the maximum size of the log tail that Log returns.
const maxLogBytes = 64 << 10

// Process is a process started by a cluster. Its methods are safe for concurrent use.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  string        // path of the file that receives stdout and stderr
	done chan struct{} // closed when the process has ended

	mu  sync.Mutex
	err error // result of cmd.Wait; valid when done is closed
}

// Start starts a program. The process lives at most until Close. Env is added to the environment variables of the
// calling process.
func (c *Cluster) Start(name, program string, args, env []string) (*Process, error) {
	c.mu.Lock()
	number := len(c.processes)
	c.mu.Unlock()
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, number)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	p := &Process{Name: name, cmd: exec.Command(program, args...), log: log.Name(), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	reply := make(chan error, 1)
	select {
	case c.startRequests <- startRequest{p.cmd, reply}:
	case <-c.closed:
		return nil, fmt.Errorf("starting %s: %w", name, errClosed)
	}
	if err := <-reply; err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	go p.wait()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, nil
}

// wait waits for the process to exit and records its error. It returns after Kill or Close at the latest.
func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process group and waits for the process to end.
func (p *Process) Kill() {
	select {
	case <-p.done: // the kernel may have reused the PID
		return
	default:
	}
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.done
}

// Pause stops the process for the duration d, as CPU starvation would. It returns when the process runs again.
func (p *Process) Pause(ctx context.Context, d time.Duration) {
	p.Signal(syscall.SIGSTOP)
	defer p.Signal(syscall.SIGCONT)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// ThrottleCPU lets the process run for only a fraction of each time slice, until the returned function is called.
func (p *Process) ThrottleCPU(fraction float64, slice time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !p.Ended() && sleep(ctx, time.Duration(fraction*float64(slice))) == nil {
			p.Pause(ctx, time.Duration((1-fraction)*float64(slice)))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// Wait waits for the process to end. It returns an error if the process failed or the context ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("waiting for %s to end: %w", p.Name, ctx.Err())
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// LogPath returns the path of the file with the output of the process.
func (p *Process) LogPath() string { return p.log }

// Log returns the last maxLogBytes bytes of the output of the process, or the text of the error if it cannot be read.
func (p *Process) Log() string {
	f, err := os.Open(p.log)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	if size, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, size-maxLogBytes), io.SeekStart)
	}
	text, _ := io.ReadAll(f)
	return string(text)
}
