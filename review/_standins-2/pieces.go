package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pieces"] = pieces }

const (
	pieceBytes = 32 << 10
	pieceCount = 6
)

// pieces has servers that give long answers without a length in pieces of 32 KiB, the first one soon and then one each half
// second: 64 kB a second. Without trouble the pieces come at once.
func pieces(r *record, temp string, trouble bool) (bool, error) {
	interval := 500 * time.Millisecond
	if !trouble {
		interval = 0
	}
	var whole, cutOff sync.Map // by request ID: the answer was given to its end, or its connection ended before
	var entries []entry
	for i := range 4 {
		address, err := listen(func(c net.Conn) {
			serveRequests(c, func(req *http.Request, body []byte) bool {
				id := req.Header.Get("X-Request-Id")
				time.Sleep(300 * time.Millisecond) // its work
				r.logf("%s: the server begins its answer; the node waits %s ms", id, req.Header.Get("X-Deadline-Ms"))
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
					return false
				}
				piece := make([]byte, pieceBytes)
				for k := range pieceCount {
					if k > 0 {
						time.Sleep(interval)
					}
					for j := range piece {
						piece[j] = byte('a' + k)
					}
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", pieceBytes, piece); err != nil {
						cutOff.Store(id, k)
						r.logf("%s: the node has ended the connection before piece %d", id, k)
						return false
					}
				}
				if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
					cutOff.Store(id, pieceCount)
					return false
				}
				whole.Store(id, true)
				return true
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
	var sent, served, broken, other atomic.Int64
	end := time.Now().Add(20 * time.Second)
	for client := range 4 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%02x%014x", client, i)
				sent.Add(1)
				if client%2 == 0 {
					time.Sleep(50 * time.Millisecond)
				}
				status, bytes, firstAt, err := askLong(n.address, requestHead("POST", id, "service-order", 1400*time.Millisecond, "key-"+id, 0))
				r.logf("%s: answer %d, first byte after %v, %d bytes of its body, error %v", id, status, firstAt.Round(time.Millisecond), bytes, err)
				switch {
				case err == nil && status == 200 && bytes == pieceBytes*pieceCount:
					served.Add(1)
				case err != nil || status != 200:
					broken.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	wg.Wait()
	r.summary("sent %d, served whole %d, cut off %d, other %d", sent.Load(), served.Load(), broken.Load(), other.Load())
	return broken.Load() > 0, nil
}

// askLong sends a request and reads its answer to the end.
func askLong(address, head string) (status int, bytes int64, firstAt time.Duration, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err = io.WriteString(c, head); err != nil {
		return 0, 0, 0, err
	}
	sentAt := time.Now()
	b := bufio.NewReader(c)
	if _, err = b.Peek(1); err != nil {
		return 0, 0, 0, err
	}
	firstAt = time.Since(sentAt)
	resp, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, 0, firstAt, err
	}
	bytes, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, bytes, firstAt, err
}
