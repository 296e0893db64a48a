package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pipeline"] = pipeline }

// pipeline has clients that write eight requests at once on a connection. Without trouble they write one after the other.
func pipeline(ctx context.Context, r *record, temp string, trouble bool) (bool, error) {
	const perBurst, deadline = 8, 1600 * time.Millisecond
	var sentAt sync.Map // by request ID
	var tooLong atomic.Int64
	var entries []entry
	for i := range 4 {
		address, err := listen(func(c net.Conn) {
			serveRequests(c, func(req *http.Request, body []byte) bool {
				id := req.Header.Get("X-Request-Id")
				told, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
				if at, ok := sentAt.Load(id); ok {
					left := deadline - time.Since(at.(time.Time))
					if time.Duration(told)*time.Millisecond > left+150*time.Millisecond {
						tooLong.Add(1)
						r.logf("%s: the attempt tells %d ms, but %v are left", id, told, left.Round(time.Millisecond))
					}
				}
				time.Sleep(350 * time.Millisecond)
				_, err := io.WriteString(c, plainAnswer(id))
				return err == nil
			})
		})
		if err != nil {
			return false, err
		}
		entries = append(entries, newEntry(fmt.Sprintf("server-%d", i), address, i/2))
	}
	d := newDiscovery(entries)
	address, stop, err := d.serve()
	if err != nil {
		return false, err
	}
	defer stop()
	n, err := startNode(temp, "n1", address, d.known(), settings(services(), 1))
	if err != nil {
		return false, err
	}
	defer n.kill()
	var wg sync.WaitGroup
	var sent, answered, late atomic.Int64
	end := time.Now().Add(20 * time.Second)
	for client := range 4 {
		wg.Go(func() {
			c, err := net.Dial("tcp", n.address)
			if err != nil {
				return
			}
			defer c.Close()
			b := bufio.NewReader(c)
			for i := 0; time.Now().Before(end); i++ {
				var ids []string
				var text strings.Builder
				for k := range perBurst {
					id := fmt.Sprintf("%02x%06x%08x", client, i, k)
					ids = append(ids, id)
					text.WriteString(requestHead("GET", id, "meter-read", deadline, "", 0))
					if !trouble {
						break
					}
				}
				now := time.Now()
				for _, id := range ids {
					sentAt.Store(id, now)
				}
				sent.Add(int64(len(ids)))
				if _, err := io.WriteString(c, text.String()); err != nil {
					r.logf("write: %v", err)
					return
				}
				for _, id := range ids {
					resp, err := http.ReadResponse(b, nil)
					if err != nil {
						r.logf("%s: %v", id, err)
						return
					}
					body, _ := io.ReadAll(resp.Body)
					took := time.Since(now)
					answered.Add(1)
					if took > deadline+550*time.Millisecond {
						late.Add(1)
						r.logf("%s: answer %d %.20s after %v", id, resp.StatusCode, body, took.Round(time.Millisecond))
					}
				}
			}
		})
	}
	wg.Wait()
	r.summary("sent %d, answered %d, later than half a second after their time %d; attempts that tell too long a time %d", sent.Load(), answered.Load(), late.Load(), tooLong.Load())
	return late.Load()+tooLong.Load() > 0, nil
}
