package scale

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

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
	memory, err := procField("/proc/meminfo", "MemTotal:")
	return Machine{Cores: runtime.NumCPU(), Memory: memory, Go: runtime.Version()}, err
}

// procField reads a figure that a file of /proc gives in kilobytes, in bytes.
func procField(path, field string) (uint64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) >= 2 && words[0] == field {
			kilobytes, err := strconv.ParseUint(words[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("%s: there is no %s", path, field)
}

// residentOf is the resident memory of a process.
func residentOf(pid int) (uint64, error) {
	return procField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
}

// clockTick is the unit of processor time in /proc, the same on all of Linux's platforms that Go runs on.
const clockTick = 10 * time.Millisecond

// cpuOf is the processor time that a process has used.
func cpuOf(pid int) (time.Duration, error) {
	path := fmt.Sprintf("/proc/%d/stat", pid)
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	_, after, found := strings.Cut(string(raw), ") ") // the name before may hold anything
	fields := strings.Fields(after)
	const user, system = 11, 12
	if !found || len(fields) <= system {
		return 0, fmt.Errorf("%s: too few fields", path)
	}
	var ticks int64
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

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
	bytes, err := residentOf(os.Getpid())
	return float64(bytes), err
}
