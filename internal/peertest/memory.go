package peertest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memorySampleInterval is the time between two looks at the processes' memory.
const memorySampleInterval = 50 * time.Millisecond

// MemoryMeter records the most memory that a group of processes held together.
type MemoryMeter struct {
	pids func() []int
	done chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	max int64
}

// NewMemoryMeter watches the processes that pids returns until ctx ends or Stop is called.
func NewMemoryMeter(ctx context.Context, pids func() []int) *MemoryMeter {
	m := &MemoryMeter{pids: pids, done: make(chan struct{})}
	m.wg.Go(func() {
		for {
			m.sample()
			select {
			case <-m.done:
				return
			case <-ctx.Done():
				return
			case <-time.After(memorySampleInterval):
			}
		}
	})
	return m
}

// Stop ends the watch and returns the most bytes that the processes held together. Pages that several of them share count
// once, as the proportional set size has it.
func (m *MemoryMeter) Stop() int64 {
	close(m.done)
	m.wg.Wait()
	m.sample()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.max
}

func (m *MemoryMeter) sample() {
	var sum int64
	for _, pid := range m.pids() {
		size, err := residentBytes(pid)
		if err == nil { // otherwise the process has ended
			sum += size
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.max = max(m.max, sum)
}

// residentBytes returns the proportional set size of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if size, found := strings.CutPrefix(line, "Pss:"); found {
			kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(size), " kB"), 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("process %d: no Pss in smaps_rollup", pid)
}
