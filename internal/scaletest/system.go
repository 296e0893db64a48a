package scaletest

import (
	"errors"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// maxMemoryFraction is the fraction of the machine's memory that a scale run may use.
const maxMemoryFraction = 0.5

// Machine describes the machine of a run.
type Machine struct {
	Cores  int    `json:"cores"`
	Memory uint64 `json:"memory_bytes"`
	Go     string `json:"go"`
}

func thisMachine() (Machine, error) {
	proc, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}, err
	}
	memory, err := proc.Meminfo()
	if err != nil {
		return Machine{}, err
	}
	if memory.MemTotalBytes == nil {
		return Machine{}, errNoMemTotal
	}
	return Machine{Cores: runtime.NumCPU(), Memory: *memory.MemTotalBytes, Go: runtime.Version()}, nil
}

var errNoMemTotal = errors.New("/proc/meminfo has no MemTotal")

// ownCPU returns the CPU time that this process has used, with garbage collection.
func ownCPU() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil { // can't happen: the arguments are valid
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of reachable objects on this process's heap.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the first collection only queues finalizers and clears pools to their victim caches
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// ownResident returns this process's resident memory in bytes, after returning free memory to the system.
func ownResident() (float64, error) {
	debug.FreeOSMemory()
	own, err := processUsage(os.Getpid())
	return own.resident, err
}
