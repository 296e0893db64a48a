// Command longanswer plays a planned restart while a client receives a long answer.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/rig"
)

const (
	servers   = 10
	before    = 2        // clients whose requests come before SIGTERM
	after     = 2        // clients that send on a connection that stayed open, lateBy after SIGTERM
	size      = 16 << 20 // of an answer; answers reach 32 MB
	giveTime  = 8 * time.Second
	pieces    = 1024
	stopAfter = time.Second // from the first requests to SIGTERM
	lateBy    = time.Second
	killAfter = 15 * time.Second // from SIGTERM to SIGKILL; the page: 3.7 s or more
	deadline  = 1800 * time.Millisecond
)

func main() {
	r := rig.New()
	var mu sync.Mutex
	given := map[string]int{} // by request: bytes that its server wrote
	var members []rig.Member
	for i := range servers {
		id := fmt.Sprintf("s-%02d", i+1)
		address := r.Server(id, nil, func(w http.ResponseWriter, req *http.Request, _ []byte) {
			request := req.Header.Get("X-Request-Id")
			if strings.HasPrefix(request, "short") {
				r.Log("server %s: runs %s", id, request)
				fmt.Fprintf(w, "%s", request)
				return
			}
			r.Log("server %s: runs %s, begins an answer of %d bytes", id, request, size)
			w.Header().Set("Content-Length", strconv.Itoa(size))
			piece := make([]byte, size/pieces)
			start := time.Now()
			for i := range pieces {
				time.Sleep(time.Until(start.Add(giveTime * time.Duration(i) / pieces)))
				if _, err := w.Write(piece); err == nil {
					err = http.NewResponseController(w).Flush()
					mu.Lock()
					given[request] += len(piece)
					mu.Unlock()
				} else {
					r.Log("server %s: %s: write failed: %v", id, request, err)
					return
				}
			}
			r.Log("server %s: the answer to %s is given", id, request)
		})
		members = append(members, rig.Member{ID: id, Address: address, Zone: "nc-room-1", Kind: "big-box", Cell: i / 5,
			Phase: "up", Size: 1})
	}
	list, listen, control := r.ListService(members), r.FreeAddress(), r.FreeAddress()
	n := r.StartNode(rig.NodeConfig("n1", listen, control, list, rig.Object{"cores": 1, "memory_mb": 128, "sockets": 512}, members,
		rig.Settings(150, rig.Class("meter-read", "free", 3000, 1500, 1, nil),
			rig.Class("service-order", "guarded", 2500, 750, 2, rig.Object{"group": "cell", "window": 12000}),
			rig.Class("bill-charge", "single_shot", 6000, 2500, 5, nil))))
	time.Sleep(1500 * time.Millisecond)

	var wg sync.WaitGroup
	answers := make([]rig.Answer, before+after)
	stopped := make(chan struct{})
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, err := r.Dial(n.Listen)
			if err != nil {
				answers[i].Err = err
				return
			}
			defer client.Close()
			read := rig.Request{ID: fmt.Sprintf("short-%d", i), Class: "meter-read", Tenant: "new-cairo-east",
				Deadline: deadline, AnswerTime: 2 * giveTime}
			if a := client.Send(read); a.Status != http.StatusOK {
				answers[i] = a
				return
			}
			if i >= before {
				<-stopped
				time.Sleep(lateBy)
			}
			read.ID = fmt.Sprintf("read-%d", i)
			answers[i] = client.Send(read)
		}()
	}
	time.Sleep(stopAfter)
	var killed atomic.Bool
	if r.Trouble {
		n.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(killAfter, func() {
			killed.Store(true)
			n.Signal(syscall.SIGKILL)
		})
		defer kill.Stop()
	}
	close(stopped)
	wg.Wait()
	if killed.Load() {
		r.NotRun("an answer took longer than the time to SIGKILL")
	}
	mu.Lock()
	defer mu.Unlock()
	for i, a := range answers {
		request := fmt.Sprintf("read-%d", i)
		switch {
		case a.Status == 0 && given[request] == 0: // its connection ended before: the client's to send again
			r.Log("%s: not taken, %v", request, a.Err)
		case a.Status != http.StatusOK:
			r.NotRun("%s: answer %d, error %v", request, a.Status, a.Err)
		case len(a.Body) < size:
			r.Broken("%s was cut off by the node after %d of %d bytes, its server was still giving", request, len(a.Body), size)
		}
	}
	r.Finish()
}
