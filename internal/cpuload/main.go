// Command cpuload keeps all cores busy for some time, to show whether tests depend on the speed of the machine.
//
//	go run ./internal/cpuload -for 30s
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"
)

const (
	maxDuration          = time.Hour // upper bound of -for
	maxGoroutinesPerCore = 16
	stepsPerCheck        = 1 << 16 // steps of the computation between two reads of the clock
)

func main() {
	duration := flag.Duration("for", 30*time.Second, "how long to keep the cores busy, at most an hour")
	perCore := flag.Int("times", 2, "spinning goroutines per core")
	flag.Parse()
	if *duration <= 0 || *duration > maxDuration || *perCore < 1 || *perCore > maxGoroutinesPerCore {
		fmt.Fprintf(os.Stderr, "cpuload: want -for above 0 and up to %v, got %v, and -times 1 to %d, got %d\n",
			maxDuration, *duration, maxGoroutinesPerCore, *perCore)
		os.Exit(2)
	}
	goroutines := runtime.NumCPU() * *perCore
	runtime.GOMAXPROCS(goroutines) // so that all goroutines run at once: a spinning one holds its processor
	deadline := time.Now().Add(*duration)
	var spinners sync.WaitGroup
	for range goroutines {
		spinners.Go(func() { spinUntil(deadline) })
	}
	spinners.Wait()
}

// spinUntil computes without pausing until the deadline.
func spinUntil(deadline time.Time) {
	for x := uint64(1); time.Now().Before(deadline); {
		for range stepsPerCheck {
			x = x*6364136223846793005 + 1442695040888963407
		}
	}
}
