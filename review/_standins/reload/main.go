// Command reload plays two new configurations in quick succession while clients send bill charges with a body.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"sloerail/review/_standins/rig"
)

const (
	servers  = 10
	clients  = 6
	bodySize = 60_000
	bodyTime = 940 * time.Millisecond // 60,000 bytes at 64 kB a second
	deadline = 3600 * time.Millisecond
)

func main() {
	r := rig.New()
	var mu sync.Mutex
	ran := map[string][]string{} // by request: the servers that ran it, in order

	var members []rig.Member
	for i := range servers {
		id, failing, got := fmt.Sprintf("s-%02d", i+1), i < 2, 0 // one server of five fails nine of ten requests
		address := r.Server(id, nil, func(w http.ResponseWriter, req *http.Request, body []byte) {
			request := req.Header.Get("X-Request-Id")
			mu.Lock()
			ran[request] = append(ran[request], id)
			got++
			fails := failing && got%10 != 0
			mu.Unlock()
			r.Log("server %s: runs %s %s, body of %d bytes", id, req.Method, request, len(body))
			time.Sleep(20 * time.Millisecond)
			if fails {
				r.Log("server %s: 500 to %s", id, request)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			fmt.Fprintf(w, "%s ran %s", id, request)
		})
		members = append(members, rig.Member{ID: id, Address: address, Zone: "nc-room-1", Kind: "big-box", Cell: i / 5,
			Phase: "up", Size: 1})
	}
	// Each configuration names another list service, as the page has it for a signal.
	lists := []*rig.ListService{r.ListService(members), r.ListService(members), r.ListService(members)}
	listen, control := r.FreeAddress(), r.FreeAddress()
	config := func(list int, billCharge string) rig.Object {
		return rig.NodeConfig("n1", listen, control, lists[list].Address, rig.Object{"cores": 1, "memory_mb": 128, "sockets": 512}, members,
			rig.Settings(150, rig.Class("meter-read", "free", 3000, 1500, 1, nil),
				rig.Class("service-order", "guarded", 2500, 750, 2, rig.Object{"group": "cell", "window": 12000}),
				rig.Class("bill-charge", billCharge, 6000, 2500, 5, nil)))
	}
	n := r.StartNode(config(0, "single_shot"))
	time.Sleep(1500 * time.Millisecond)

	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			r.Send(n.Listen, rig.Request{ID: fmt.Sprintf("charge-%d", i), Class: "bill-charge", Tenant: "new-cairo-east",
				Deadline: deadline, Body: make([]byte, bodySize), Pace: bodyTime, BodyPieces: 16})
		}()
	}
	if r.Trouble {
		time.Sleep(250 * time.Millisecond)
		for i, billCharge := range []string{"free", "single_shot"} { // the second is as at first
			n.WriteConfig(config(i+1, billCharge))
			r.Log("new configuration: bill-charge is %s", billCharge)
			n.Signal(syscall.SIGHUP)
			lists[i].Retire()
			time.Sleep(300 * time.Millisecond)
		}
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	if accepted := n.Figure("app_cfg_accepted_total"); r.Trouble && accepted != 2 {
		r.NotRun("the node accepted %v of 2 configurations", accepted)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(ran) < clients {
		r.NotRun("%d of %d requests reached a server", len(ran), clients)
	}
	for request, at := range ran {
		if len(at) > 1 { // each answered with 500 or 200: an outcome after which it may have run
			r.Broken("%s ran at %v", request, at)
		}
	}
	r.Finish()
}
