package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	fleetServers  = 3200 // the most that the pages name
	memoryMB      = 32   // the least
	memoryClients = 200
	bodyBytes     = 200 << 10
	bodyPause     = 1500 * time.Millisecond
)

// residentKB returns a process's share of the memory in use: pages that it shares with others count in part.
func residentKB(pid int) (kb int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "Pss:"); ok {
			fmt.Sscan(text, &kb)
		}
	}
	return kb
}

// replace starts the node's process again, awaits its yes, and ends the old process as the platform does.
func (n *node) replace(temp, name string) (next *node, err error) {
	control, err := freeAddress()
	if err != nil {
		return nil, err
	}
	next = &node{dir: n.dir, address: n.address, path: filepath.Join(temp, name+".json")}
	raw, _ := json.Marshal(n.config)
	json.Unmarshal(raw, &next.config)
	next.config["control"] = control
	if err := next.writeConfig(); err != nil {
		return nil, err
	}
	if next.logFile, err = os.Create(filepath.Join(temp, name+".log")); err != nil {
		return nil, err
	}
	next.cmd = exec.Command("/bin/sh", "-c", "exec bin/sloerail-node")
	next.cmd.Dir, next.cmd.Stdout, next.cmd.Stderr = root(), next.logFile, next.logFile
	next.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ROUTER_CONFIG=" + next.path, "ROUTER_NAME=" + n.config["name"].(string),
		"ROUTER_LISTEN=" + n.address, "ROUTER_DISCOVERY=" + n.config["discovery"].(string), "ROUTER_CONTROL=" + control, "TMPDIR=" + n.dir}
	next.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := next.cmd.Start(); err != nil {
		return nil, err
	}
	next.exited = make(chan struct{})
	go func() {
		next.cmd.Wait()
		close(next.exited)
	}()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + control + "/healthcheck")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.cmd.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(3700*time.Millisecond, func() { n.cmd.Process.Kill() })
			return next, nil
		}
	}
	return next, fmt.Errorf("the new process has not said yes")
}

// memoryCase replaces the process of a node of a large fleet under load, and measures the memory of its processes.
func memoryCase(r *record, temp string, trouble bool) (bool, error) {
	memory := memoryMB
	if text := os.Getenv("REVIEW_MB"); text != "" {
		fmt.Sscan(text, &memory)
	}
	short, long := strings.Repeat("s", 60<<10), strings.Repeat("l", 2<<20)
	var calls atomic.Int64
	serve := func(c net.Conn) {
		serveRequests(c, func(req *http.Request, body []byte) bool {
			n := calls.Add(1)
			time.Sleep(150 * time.Millisecond)
			text := short
			if n%2 == 0 {
				text = long
			}
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Load: latency_ms=150,util=0.5,qps=20\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			return err == nil
		})
	}
	var entries []entry
	for i := range fleetServers {
		address, err := listen(serve)
		if err != nil {
			return false, err
		}
		entries = append(entries, newEntry(fmt.Sprintf("server-%05d", i), address, i/8))
	}
	d := newDiscovery(entries)
	address, stop, err := d.serve()
	if err != nil {
		return false, err
	}
	defer stop()
	set := settings(services(), 300)
	set["tenants"] = []map[string]any{{"name": "new-cairo-east", "quotaRps": 30000.0, "fraction": 1.0}}
	n, err := startNodeWith(temp, "n1", address, d.known(), set, map[string]any{"cores": 1.0, "memory_mb": memory, "sockets": 512})
	if err != nil {
		return false, err
	}
	defer n.kill()
	var pids sync.Map
	pids.Store(n.cmd.Process.Pid, true)
	done := make(chan struct{})
	var peak, over, samples atomic.Int64
	var meter sync.WaitGroup
	meter.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			total, text := 0, ""
			pids.Range(func(pid, _ any) bool {
				kb := residentKB(pid.(int))
				total, text = total+kb, text+fmt.Sprintf(" %d", kb)
				return true
			})
			samples.Add(1)
			if total > memory<<10 {
				if over.Add(1) <= 20 {
					r.logf("memory of the node's processes, kB:%s, in all %d of %d", text, total, memory<<10)
				}
			}
			peak.Store(max(peak.Load(), int64(total)))
		}
	})
	end := time.Now().Add(24 * time.Second)
	var wg sync.WaitGroup
	var served, refused, other atomic.Int64
	body := strings.Repeat("q", bodyBytes)
	for client := range memoryClients {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				status := askWithBody(n.address, fmt.Sprintf("%02x%014x", client, i), body, client)
				switch status {
				case 200:
					served.Add(1)
				case 429, 503:
					refused.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	current := n
	for k := range 2 {
		time.Sleep(9 * time.Second)
		if !trouble {
			continue
		}
		next, err := func() (*node, error) {
			r.logf("the process is started again")
			return current.replace(temp, fmt.Sprintf("n1-%d", k+1))
		}()
		if next != nil {
			defer next.kill()
			pids.Store(next.cmd.Process.Pid, true)
		}
		if err != nil {
			return false, err
		}
		r.logf("the new process says yes")
		current = next
	}
	wg.Wait()
	close(done)
	meter.Wait()
	if current.hasExited() {
		return false, fmt.Errorf("the node has ended")
	}
	r.summary("served %d, refused %d, others %d; memory of the node's processes at most %d kB of %d, over it in %d of %d samples", served.Load(),
		refused.Load(), other.Load(), peak.Load(), memory<<10, over.Load(), samples.Load())
	return over.Load() >= 5, nil
}

// askWithBody sends a bill-charge with a long body, with a pause in it for half of the clients, and reads the answer, at
// 64 kB a second for a third of them, which leave after 4 s.
func askWithBody(address, id, body string, client int) (status int) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(8 * time.Second))
	io.WriteString(c, requestHead("POST", id, "bill-charge", 3300*time.Millisecond, "", len(body)))
	if client%2 == 0 {
		io.WriteString(c, body[:len(body)/2])
		time.Sleep(bodyPause)
		body = body[len(body)/2:]
	}
	io.WriteString(c, body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if client%3 > 0 {
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	for k := 0; k < 40; k++ {
		if _, err := io.CopyN(io.Discard, resp.Body, 6400); err != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return resp.StatusCode
}
