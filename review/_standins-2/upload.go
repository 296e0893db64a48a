package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["upload-reset"] = uploadReset }

const (
	uploadBytes   = 80 << 10
	uploadClients = 8
	resetShare    = 4 // of so many requests, the connection of one is reset as soon as the server has begun it
	enoughBroken  = 5 // the case ends early
)

// chargeServer is a server with a thread for each connection. It begins a request once its last byte has arrived.
type chargeServer struct {
	r             *record
	trouble       bool
	begun         sync.Map // by charge: how often
	count, resets atomic.Int64
	twice         atomic.Int64 // charges begun again
}

func (s *chargeServer) serve(c net.Conn) {
	f, err := c.(*net.TCPConn).File() // in blocking mode
	if err != nil {
		return
	}
	c.Close()
	fd := int(f.Fd())
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer f.Close()
	var text []byte
	buf := make([]byte, 64<<10)
	for {
		text = text[:0]
		head := -1
		for head < 0 {
			n, err := syscall.Read(fd, buf)
			if n <= 0 || err != nil {
				return
			}
			text = append(text, buf[:n]...)
			head = bytes.Index(text, []byte("\r\n\r\n"))
		}
		id := field(string(text[:head]), "X-Request-Id")
		_, charge, _ := strings.Cut(strings.Fields(string(text[:head]))[1], "charge=")
		var length int
		fmt.Sscan(field(string(text[:head]), "Content-Length"), &length)
		reset := s.trouble && s.count.Add(1)%resetShare == 0
		if reset {
			syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		}
		for left := length - (len(text) - head - 4); left > 0; {
			n, err := syscall.Read(fd, buf)
			if n <= 0 || err != nil {
				return
			}
			left -= n
		}
		if reset {
			f.Close()
		}
		n, _ := s.begun.LoadOrStore(charge, new(atomic.Int64))
		if times := n.(*atomic.Int64).Add(1); times > 1 {
			s.twice.Add(1)
			s.r.logf("charge %s: begun %d times, now as request %s", charge, times, id)
		}
		if reset {
			s.resets.Add(1)
			return
		}
		if _, err := syscall.Write(fd, []byte(plainAnswer("charged "+id))); err != nil {
			return
		}
	}
}

// field returns the value of a field of a head.
func field(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if n, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(n, name) {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// uploadReset sends bill charges with long bodies. A part of the servers' connections is reset just after the server has begun
// the request. No answer may then promise that trying again is harmless.
func uploadReset(r *record, temp string, trouble bool) (bool, error) {
	s := &chargeServer{r: r, trouble: trouble}
	var entries []entry
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		entries = append(entries, newEntry(fmt.Sprintf("server-%d", i), l.Addr().String(), i/2))
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
	end := time.Now().Add(90 * time.Second)
	if !trouble {
		end = time.Now().Add(30 * time.Second)
	}
	var wg sync.WaitGroup
	var sent, served, refused, failed, broken, lost atomic.Int64
	body := strings.Repeat("b", uploadBytes)
	for client := range uploadClients {
		wg.Go(func() {
			hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
			ask := func(id, charge string) (status int, err error) {
				req, _ := http.NewRequest("POST", "http://"+n.address+"/api?charge="+charge, strings.NewReader(body))
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Class", "bill-charge")
				req.Header.Set("X-Tenant", "new-cairo-east")
				req.Header.Set("X-Deadline-Ms", "3300")
				sent.Add(1)
				resp, err := hc.Do(req)
				if err != nil {
					return 0, err
				}
				io.Copy(io.Discard, resp.Body)
				return resp.StatusCode, resp.Body.Close()
			}
			for i := 0; time.Now().Before(end) && broken.Load() < enoughBroken; i++ {
				charge := fmt.Sprintf("%02x%012x", client, i)
				status, err := ask(charge+"01", charge)
				switch {
				case err != nil:
					lost.Add(1)
					r.logf("charge %s: no answer: %v", charge, err)
				case status == http.StatusOK:
					served.Add(1)
				case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
					refused.Add(1)
					if times, begun := s.begun.Load(charge); begun {
						broken.Add(1)
						r.logf("charge %s: answered %d, a refusal, but a server has begun it %d times", charge, status,
							times.(*atomic.Int64).Load())
					}
					status, err = ask(charge+"02", charge) // as a client does after a refusal
					r.logf("charge %s: sent again, answered %d, error %v", charge, status, err)
				default:
					failed.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	r.summary("bill charges sent %d, served %d, failed %d, refused %d, no answer %d; connections reset once the request had begun %d; "+
		"refused though a server had begun them %d, begun twice %d", sent.Load(), served.Load(), failed.Load(), refused.Load(), lost.Load(),
		s.resets.Load(), broken.Load(), s.twice.Load())
	return broken.Load() > 0, nil
}
