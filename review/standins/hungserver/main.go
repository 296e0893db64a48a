// Command hungserver plays requests with long bodies while one of twenty servers hangs.
package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"review/rig"
)

const (
	servers = 20
	grace   = 550 * time.Millisecond // after a request's time: half a second, and 50 ms on sockets
)

// upload is one request of the case.
type upload struct {
	class    string
	deadline time.Duration
	size     int
}

// The deadlines are 55% of the classes'. Bodies reach 32 MB.
var uploads = []upload{
	{"bill-charge", 3300 * time.Millisecond, 4_000_000}, {"service-order", 1400 * time.Millisecond, 4_000_000},
	{"bill-charge", 3300 * time.Millisecond, 6_000_000}, {"service-order", 1400 * time.Millisecond, 6_000_000},
}

func main() {
	r := rig.New()
	var members []rig.Member
	for i := range servers {
		id, address := fmt.Sprintf("s-%02d", i+1), ""
		if r.Trouble && i == 0 {
			address = hang(r, id)
		} else {
			address = r.Server(id, nil, func(w http.ResponseWriter, req *http.Request, body []byte) {
				request := req.Header.Get("X-Request-Id")
				r.Log("server %s: runs %s, body of %d bytes", id, request, len(body))
				fmt.Fprintf(w, "%s ran %s", id, request)
			})
		}
		members = append(members, rig.Member{ID: id, Address: address, Zone: "nc-room-1", Kind: "big-box", Cell: i / 5,
			Phase: "up", Size: 1})
	}
	list := r.ListService(members)
	n := r.StartNode(rig.NodeConfig("n1", r.FreeAddress(), r.FreeAddress(), list,
		rig.Object{"cores": 1, "memory_mb": 128, "sockets": 512}, members,
		rig.Settings(150, rig.Class("meter-read", "free", 3000, 1500, 1, nil),
			rig.Class("service-order", "guarded", 2500, 750, 2, rig.Object{"group": "cell", "window": 12000}),
			rig.Class("bill-charge", "single_shot", 6000, 2500, 5, nil))))
	time.Sleep(1500 * time.Millisecond)

	var wg sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	for i, u := range uploads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q := rig.Request{ID: fmt.Sprintf("upload-%d", i), Class: u.class, Tenant: "new-cairo-east", Deadline: u.deadline,
				Body: make([]byte, u.size), AnswerTime: 20 * time.Second}
			if u.class == "service-order" {
				q.Key = q.ID
			}
			a := r.Send(n.Listen, q)
			if !a.Written {
				r.Log("%s: the last byte was never written, so the node had not taken it", q.ID)
				return
			}
			mu.Lock()
			taken++
			mu.Unlock()
			if a.Took > u.deadline+grace {
				r.Broken("%s had its answer (status %d, error %v) %d ms after its last byte, its time was %d ms", q.ID, a.Status,
					a.Err, a.Took.Milliseconds(), u.deadline.Milliseconds())
			}
		}()
	}
	wg.Wait()
	if taken == 0 {
		r.NotRun("no request was written whole")
	}
	r.Finish()
}

// hang starts a server that takes connections and then does nothing, and returns its address.
func hang(r *rig.Rig, id string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.NotRun("server: %v", err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r.Log("server %s: takes a connection and hangs", id)
			time.AfterFunc(time.Minute, func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}
