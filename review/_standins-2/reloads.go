package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["reloads"] = reloads }

const (
	reloadCount    = 6
	reloadInterval = 1500 * time.Millisecond
	callTime       = 1900 * time.Millisecond // that discovery needs for a call
	toldWithin     = 6 * time.Second         // a change counts as told so long after discovery has it, at the latest
	drainGrace     = 1500 * time.Millisecond
	socketSlack    = 50 * time.Millisecond
	oldStaysOpen   = 1500 * time.Millisecond // the old address closes its open connections then
)

// movingDiscovery is a list service that each new configuration moves to another address.
type movingDiscovery struct {
	*discovery
	listener *trackingListener
}

// trackingListener keeps its connections, so that they can be closed some time after the listener.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *trackingListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

// move opens the next address; the former one takes no new connections, and closes the open ones 1.5 s later.
func (m *movingDiscovery) move() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	if old := m.listener; old != nil {
		old.Close()
		time.AfterFunc(oldStaysOpen, old.closeConns)
	}
	m.listener = &trackingListener{Listener: l}
	go (&http.Server{Handler: m.handler(l.Addr().String())}).Serve(m.listener)
	return l.Addr().String(), nil
}

// reloads drains a server, and then sends several new configurations, each of which moves discovery, which is slow.
func reloads(r *record, temp string, trouble bool) (bool, error) {
	var drainedAt, lastSend atomic.Int64 // Unix nanoseconds
	var late, toDrained, answered, other atomic.Int64
	var entries []entry
	for i := range 4 {
		address, err := listen(func(c net.Conn) {
			b := bufio.NewReader(c)
			for {
				if _, err := b.Peek(1); err != nil {
					return
				}
				at := time.Now() // of the first byte
				if drained := drainedAt.Load(); i == 0 && drained > 0 {
					since := at.Sub(time.Unix(0, drained))
					toDrained.Add(1)
					lastSend.Store(int64(since))
					if since > toldWithin+drainGrace+socketSlack {
						if late.Add(1) <= 20 {
							r.logf("server-0 is sent a request %v after discovery had that it drains", since.Round(time.Millisecond))
						}
					}
				}
				req, err := http.ReadRequest(b)
				if err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(c, plainAnswer(req.Header.Get("X-Request-Id"))); err != nil {
					return
				}
			}
		})
		if err != nil {
			return false, err
		}
		entries = append(entries, newEntry(fmt.Sprintf("server-%d", i), address, i/2))
	}
	m := &movingDiscovery{discovery: newDiscovery(entries)}
	m.delay = callTime
	m.onCall = func(address, query string) { r.logf("discovery %s: call %q", address, query) }
	m.onTold = func(address string, told []entry) {
		r.logf("discovery %s: answered with %d entries", address, len(told))
	}
	address, err := m.move()
	if err != nil {
		return false, err
	}
	n, err := startNode(temp, "n1", address, m.known(), settings(services(), 1))
	if err != nil {
		return false, err
	}
	defer n.kill()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for client := range 3 {
		wg.Go(func() {
			hc := &http.Client{Timeout: 4 * time.Second}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				req, _ := http.NewRequest("GET", "http://"+n.address+"/api", nil)
				req.Header.Set("X-Request-Id", fmt.Sprintf("%02x%014x", client, i))
				req.Header.Set("X-Class", "meter-read")
				req.Header.Set("X-Tenant", "new-cairo-east")
				req.Header.Set("X-Deadline-Ms", "1600")
				resp, err := hc.Do(req)
				if err != nil {
					other.Add(1)
					continue
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				answered.Add(1)
			}
		})
	}
	time.Sleep(8 * time.Second)
	drainedAt.Store(time.Now().UnixNano())
	m.setPhase("server-0", "draining")
	r.logf("server-0 begins to drain")
	for i := range reloadCount {
		if trouble {
			if address, err = m.move(); err != nil {
				return false, err
			}
			n.config["discovery"] = address
			if err := n.writeConfig(); err != nil {
				return false, err
			}
			n.cmd.Process.Signal(syscall.SIGHUP)
			r.logf("SIGHUP %d, discovery is now %s", i+1, address)
		}
		time.Sleep(reloadInterval)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	if n.hasExited() {
		return false, fmt.Errorf("the node has ended")
	}
	r.summary("answered %d, others %d; requests to server-0 since its drain %d, the last one after %v; later than %v: %d", answered.Load(), other.Load(),
		toDrained.Load(), time.Duration(lastSend.Load()).Round(time.Millisecond), toldWithin+drainGrace+socketSlack, late.Load())
	return late.Load() > 0, nil
}
