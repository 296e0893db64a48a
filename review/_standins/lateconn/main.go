// Command lateconn plays connections to servers that come up late while keyed requests are tried again.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sloerail/review/_standins/rig"
)

const (
	servers    = 6 // one cell
	rounds     = 6
	readsRound = 4                       // plain requests after each round
	window     = 1500 * time.Millisecond // of the settings, and kept by the servers
	slack      = 50 * time.Millisecond   // by which every limit is longer on sockets
	deadline   = 4500 * time.Millisecond
	resetAfter = 1200 * time.Millisecond // from a first copy's last byte to the reset of its connection
	releaseIn  = 200 * time.Millisecond  // from the reset to when connections come up again
	lateBy     = 800 * time.Millisecond  // less than the second after which a SYN is repeated
)

// order is what the servers of the cell know of a key.
type order struct {
	firstAt time.Duration // when the last byte of the first copy arrived
	runs    []string
}

func main() {
	r := rig.New()
	var mu sync.Mutex
	orders := map[string]*order{} // by key
	late := map[string]bool{}     // by key: the connection for the second copy comes up late
	attempts := 0                 // each has a connection of its own
	onTime := 0                   // connections that were to come up late and didn't
	var listeners []*rig.LateListener
	var members []rig.Member
	for i := range servers {
		id := fmt.Sprintf("s-%02d", i+1)
		l := r.NewLateListener()
		listeners = append(listeners, l)
		address := r.Server(id, l, func(w http.ResponseWriter, req *http.Request, _ []byte) {
			request, key := req.Header.Get("X-Request-Id"), req.Header.Get("Idempotency-Key")
			told, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
			now := r.Since()
			w.Header().Set("Connection", "close")
			mu.Lock()
			attempts++
			if key == "" {
				mu.Unlock()
				fmt.Fprintf(w, "%s ran %s", id, request)
				return
			}
			o := orders[key]
			first := o == nil
			if first {
				o = &order{firstAt: now}
				orders[key] = o
			}
			age := now - o.firstAt
			runs := first || age >= window
			if runs {
				o.runs = append(o.runs, id)
			}
			isLate := late[key]
			if isLate && !first && age < resetAfter+lateBy {
				onTime++
			}
			mu.Unlock()
			r.Log("server %s: copy of %s, key %s, %d ms after the first, told deadline %d ms; runs: %v", id, request, key,
				age.Milliseconds(), told, runs)
			if age > window+slack {
				r.Broken("%s was sent again %d ms after its first copy, the window is %d ms", request, age.Milliseconds(),
					window.Milliseconds())
			}
			if !first {
				fmt.Fprintf(w, "order %s", key)
				return
			}
			others := func(do func(*rig.LateListener)) {
				var done sync.WaitGroup
				for j, other := range listeners {
					if j != i && isLate {
						done.Go(func() { do(other) })
					}
				}
				done.Wait()
			}
			others((*rig.LateListener).Hold)
			time.Sleep(resetAfter - (r.Since() - now))
			r.Log("server %s: resets the connection of %s", id, request)
			time.AfterFunc(releaseIn, func() { others((*rig.LateListener).Release) })
			rig.Reset(w)
		})
		members = append(members, rig.Member{ID: id, Address: address, Zone: "nc-room-1", Kind: "big-box", Cell: 1,
			Phase: "up", Size: 1})
	}
	n := r.StartNode(rig.NodeConfig("n1", r.FreeAddress(), r.FreeAddress(), r.ListService(members).Address,
		rig.Object{"cores": 1, "memory_mb": 128, "sockets": 512}, members,
		rig.Settings(1500, rig.Class("meter-read", "free", 5000, 4000, 1, nil),
			rig.Class("service-order", "guarded", 5000, 4000, 2, rig.Object{"group": "cell", "window": window.Milliseconds()}),
			rig.Class("bill-charge", "single_shot", 6000, 4000, 5, nil))))
	time.Sleep(1500 * time.Millisecond)
	for i := range rounds {
		key := fmt.Sprintf("key-%d", i)
		mu.Lock()
		late[key] = r.Trouble && i%3 == 2
		r.Log("round %d: connections for the second copy come up late: %v", i, late[key])
		mu.Unlock()
		r.Send(n.Listen, rig.Request{ID: fmt.Sprintf("order-%d", i), Class: "service-order", Tenant: "new-cairo-east", Key: key,
			Deadline: deadline, Body: []byte("order")})
		for j := range readsRound {
			time.Sleep(50 * time.Millisecond)
			r.Send(n.Listen, rig.Request{ID: fmt.Sprintf("read-%d-%d", i, j), Class: "meter-read", Tenant: "new-cairo-east",
				Deadline: deadline})
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(orders) < rounds {
		r.NotRun("%d of %d orders reached a server", len(orders), rounds)
	}
	if onTime > 0 {
		r.NotRun("%d connections came up at once though their server's queue was full", onTime)
	}
	for key, o := range orders {
		r.Log("%s ran at %v", key, o.runs)
	}
	r.Log("%d attempts, each on a connection of its own", attempts)
	r.Finish()
}
