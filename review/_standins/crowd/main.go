// Command crowd plays requests on new connections while idle connections arrive.
package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"sloerail/review/_standins/rig"
)

const (
	servers   = 10
	sockets   = 512 // descriptors of the node
	idlePeers = 2000
	arriveIn  = time.Second // the idle connections come evenly within this time
	requests  = 12
	spacing   = 200 * time.Millisecond // between two requests
	grace     = 550 * time.Millisecond // after a request's time: half a second, and 50 ms on sockets
	owedClose = 3 * time.Second        // within which an idle peer is owed a close
)

func main() {
	r := rig.New()
	var members []rig.Member
	for i := range servers {
		id := fmt.Sprintf("s-%02d", i+1)
		address := r.Server(id, nil, func(w http.ResponseWriter, req *http.Request, _ []byte) {
			request := req.Header.Get("X-Request-Id")
			r.Log("server %s: runs %s", id, request)
			time.Sleep(200 * time.Millisecond)
			fmt.Fprintf(w, "%s ran %s", id, request)
		})
		members = append(members, rig.Member{ID: id, Address: address, Zone: "nc-room-1", Kind: "big-box", Cell: i / 5,
			Phase: "up", Size: 1})
	}
	list := r.ListService(members)
	n := r.StartNode(rig.NodeConfig("n1", r.FreeAddress(), r.FreeAddress(), list.Address,
		rig.Object{"cores": 1, "memory_mb": 128, "sockets": sockets}, members,
		rig.Settings(150, rig.Class("meter-read", "free", 3000, 1500, 1, nil),
			rig.Class("service-order", "guarded", 2500, 750, 2, rig.Object{"group": "cell", "window": 12000}),
			rig.Class("bill-charge", "single_shot", 6000, 2500, 5, nil))))
	time.Sleep(1500 * time.Millisecond)

	var mu sync.Mutex
	connected, closedInTime := 0, 0
	if r.Trouble {
		r.Log("%d idle connections arrive within %v", idlePeers, arriveIn)
		start := time.Now()
		for i := range idlePeers {
			go func() {
				time.Sleep(time.Until(start.Add(arriveIn * time.Duration(i) / idlePeers)))
				conn, err := net.DialTimeout("tcp", n.Listen, 2*time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				opened := time.Now()
				mu.Lock()
				connected++
				mu.Unlock()
				_ = conn.SetReadDeadline(opened.Add(time.Minute))
				_, _ = conn.Read(make([]byte, 1)) // sends nothing, and goes when the node closes
				mu.Lock()
				defer mu.Unlock()
				if time.Since(opened) <= owedClose {
					closedInTime++
				}
			}()
		}
	}
	time.Sleep(arriveIn)
	var wg sync.WaitGroup
	taken := 0
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := rig.Request{ID: fmt.Sprintf("read-%d", i), Class: "meter-read", Tenant: "new-cairo-east",
				Deadline: 1600 * time.Millisecond, AnswerTime: grace}
			if i%2 == 1 {
				q.ID, q.Class, q.Deadline, q.Body = fmt.Sprintf("charge-%d", i), "bill-charge", 3300*time.Millisecond, []byte("charge")
			}
			a := r.Send(n.Listen, q)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !a.Written:
				r.Log("%s: not taken", q.ID)
				return
			case a.Status == 0 && !a.TimedOut:
				r.Log("%s: its connection was shut unread, which the page permits", q.ID)
			case a.Took > q.Deadline+grace:
				r.Broken("%s had no answer within its time and half a second: status %d after %d ms, its time was %d ms", q.ID,
					a.Status, a.Took.Milliseconds(), q.Deadline.Milliseconds())
			}
			taken++
		}()
		time.Sleep(spacing)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.Log("%d idle connections came up; %d of them were closed within %v", connected, closedInTime, owedClose)
	if taken == 0 || r.Trouble && connected < idlePeers*9/10 {
		r.NotRun("%d requests were written whole, %d of %d idle connections came up", taken, connected, idlePeers)
	}
	r.Finish()
}
