// Command cpuload keeps all cores busy for a while, to see whether tests depend on how fast the machine is.
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

// longest bounds the load, whatever was asked for.
const longest = time.Hour

func main() {
	span := flag.Duration("for", 30*time.Second, "how long to keep them busy; an hour at most")
	share := flag.Int("times", 2, "spinning goroutines a core")
	flag.Parse()
	if *span <= 0 || *span > longest || *share < 1 || *share > 16 {
		fmt.Fprintf(os.Stderr, "cpuload: want -for above 0 and up to %v, got %v, and -times 1 to 16, got %d\n", longest, *span, *share)
		os.Exit(2)
	}
	// One goroutine holds one processor, so there are more of them than cores.
	n := runtime.NumCPU() * *share
	runtime.GOMAXPROCS(n)
	end := time.Now().Add(*span)
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for x := uint64(1); ; {
				for range 1 << 16 {
					x = x*6364136223846793005 + 1442695040888963407
				}
				if time.Now().After(end) {
					return
				}
			}
		})
	}
	all.Wait()
}
