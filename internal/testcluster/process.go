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

const logTail = 64 << 10 // bytes of a log that are told for a failure

// Process is one running program. Its methods may be called from any goroutine.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  string // the file that its output goes to
	done chan struct{}

	mu  sync.Mutex
	err error // once done
}

// Start runs a program with these environment variables, beside those of the rig's own process, until Close.
func (r *Cluster) Start(name, program string, args, env []string) (*Process, error) {
	r.mu.Lock()
	n := len(r.procs)
	r.mu.Unlock()
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", name, n)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own
	p := &Process{Name: name, cmd: exec.Command(program, args...), log: log.Name(), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	reply := make(chan error, 1)
	select {
	case r.starts <- start{p.cmd, reply}:
	case <-r.ended:
		return nil, fmt.Errorf("starting %s: the rig is closed", name)
	}
	if err := <-reply; err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	go p.wait()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Signal sends a signal to the process. One that has ended gets none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process and all that it started, and waits for that.
func (p *Process) Kill() {
	select {
	case <-p.done: // its number may be another's by now
		return
	default:
	}
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.done
}

// Pause stops the process for a time, as a machine does that is short of a core; the caller waits.
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

// ThrottleCPU gives the process a part of the time only, in slices, until the returned function is called.
func (p *Process) ThrottleCPU(part float64, slice time.Duration) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !p.Ended() && wait(ctx, time.Duration(part*float64(slice))) == nil {
			p.Pause(ctx, time.Duration((1-part)*float64(slice)))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// Wait waits for the process to end, and returns how it did.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-ctx.Done():
		return fmt.Errorf("%s runs on: %w", p.Name, ctx.Err())
	}
}

// Ended tells whether the process is over.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log is the end of what the process wrote.
func (p *Process) Log() string {
	f, err := os.Open(p.log)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	if size, err := f.Seek(0, io.SeekEnd); err == nil {
		_, _ = f.Seek(max(0, size-logTail), io.SeekStart)
	}
	text, _ := io.ReadAll(f)
	return string(text)
}
