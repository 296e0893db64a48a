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

// memoryShare is the part of the machine's memory that a scale run may take.
const memoryShare = 0.5

// Machine is what a report was made on.
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
		return Machine{}, errNoMemory
	}
	return Machine{Cores: runtime.NumCPU(), Memory: *memory.MemTotalBytes, Go: runtime.Version()}, nil
}

var errNoMemory = errors.New("the system doesn't tell how much memory there is")

// ownCPU is the processor time that this process has used, the garbage collector's included.
func ownCPU() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil { // its arguments are fixed
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse is what is reachable on this process's heap.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC() // the first only queues what finalizers and pools hold
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// ownResident is this process's resident memory, with nothing in it that the system could have back.
func ownResident() (float64, error) {
	debug.FreeOSMemory()
	own, err := usageOf(os.Getpid())
	return own.resident, err
}
