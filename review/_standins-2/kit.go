// Command review-2 is the stand-ins of the review's cases 6 and on: clients, servers and the list service, as the pages
// describe them. The nodes are real processes, started by the deploy file's run line.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// summary writes a line to the record and to standard output.
func (r *record) summary(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// entry is a server in the list.
type entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

func newEntry(id, address string, cell int) entry {
	return entry{ID: id, HostPort: address, Locality: "nc-room-1", Flavor: "big-box", Cell: cell, Phase: "up", Size: 1}
}

// discovery is the list service of the protocol page: it answers with the whole list, or a watch with what changed.
type discovery struct {
	mu       sync.Mutex
	revision int
	entries  []entry
	changed  []int // revision at which each entry last changed
	wake     chan struct{}
	delay    time.Duration // it handles each call this slowly
	onCall   func(address, query string)
	onTold   func(address string, told []entry)
}

func newDiscovery(entries []entry) *discovery {
	return &discovery{revision: 1, entries: entries, changed: make([]int, len(entries)), wake: make(chan struct{})}
}

// setPhase changes the phase of a server.
func (d *discovery) setPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.entries {
		if d.entries[i].ID == id {
			d.entries[i].Phase, d.changed[i] = phase, d.revision
		}
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *discovery) known() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"revision": d.revision, "complete": true, "members": append([]entry{}, d.entries...)}
}

// since returns what changed after a revision; a negative one stands for the whole list.
func (d *discovery) since(revision int) (list map[string]any, told []entry, changed bool, wake chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	told = []entry{}
	for i, e := range d.entries {
		if revision < 0 || d.changed[i] > revision {
			told = append(told, e)
		}
	}
	list = map[string]any{"revision": d.revision, "complete": revision < 0, "members": told}
	return list, told, revision < 0 || d.revision > revision, d.wake
}

// serve starts the list service at a free address.
func (d *discovery) serve() (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: d.handler(l.Addr().String())}
	go server.Serve(l)
	return l.Addr().String(), func() { server.Close() }, nil
}

// handler answers the calls at one address.
func (d *discovery) handler(address string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, r *http.Request) {
		if d.onCall != nil {
			d.onCall(address, r.URL.RawQuery)
		}
		select {
		case <-time.After(d.delay):
		case <-r.Context().Done():
			return
		}
		revision := -1
		if text := r.URL.Query().Get("index"); text != "" {
			revision, _ = strconv.Atoi(text)
		}
		waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		timeout := time.After(time.Duration(waitMs) * time.Millisecond)
		list, told, changed, wake := d.since(revision)
		for over := false; !changed && !over; {
			select {
			case <-wake:
			case <-timeout:
				over = true
			case <-r.Context().Done():
				return
			}
			list, told, changed, wake = d.since(revision)
		}
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(list) == nil && d.onTold != nil {
			d.onTold(address, told)
		}
	})
	return mux
}

// service is a class in the settings.
type service struct {
	Name     string  `json:"name"`
	Aim      float64 `json:"aim"`
	Deadline float64 `json:"deadline"`
	Repeat   string  `json:"repeat"`
	Group    string  `json:"group"`
	Window   float64 `json:"window"`
	Value    float64 `json:"value"`
	Late     float64 `json:"lateWorth"`
	Stream   bool    `json:"stream"`
}

// services are the classes of new-cairo-main.
func services() []service {
	return []service{
		{Name: "meter-read", Aim: 1500, Deadline: 3000, Repeat: "free", Group: "all", Window: 5000, Value: 1},
		{Name: "service-order", Aim: 750, Deadline: 2500, Repeat: "guarded", Group: "cell", Window: 12000, Value: 2},
		{Name: "bill-charge", Aim: 2500, Deadline: 6000, Repeat: "single_shot", Group: "all", Window: 5000, Value: 5},
	}
}

// settings are those of the wire page's example, with one tenant whose share is large enough for the case.
func settings(classes []service, nodes int) map[string]any {
	return map[string]any{
		"charges":   map[string]any{"lateFail": 0.043, "probe": 0.01, "waste": 0.055},
		"clients":   map[string]any{"marksRetry": true},
		"groupSize": nodes,
		"guarantees": map[string]any{"cold": 24000.0, "coldShare": 0.13, "drainGrace": 1500.0, "fallMultiple": 2.5,
			"graceToAnswer": 20.0, "mustAskIn": 10000.0, "overloadFor": 3000.0},
		"kinds": []string{"big-box", "small-box"},
		"limits": map[string]any{"cancelling": true, "connIdle": 30000.0, "connectTimeout": 150.0, "cpuUsPerS": 15000,
			"maxAttempts": 6, "maxOpen": 20000, "maxRetryAfter": 3000.0, "probes": true, "retryAfter": true,
			"secondCopies": false, "streamsPerConn": 1},
		"localities":   []string{"nc-room-1"},
		"position":     0,
		"registryMode": "subscribe",
		"report":       map[string]any{"fields": []string{"latency_ms", "util", "qps"}, "how": "answers"},
		"serviceType":  "proxy",
		"services":     classes,
		"tenants":      []map[string]any{{"name": "new-cairo-east", "quotaRps": 2000.0, "fraction": 1.0}},
		"tick":         5.0,
		"weightSource": "none", "worthBy": "work", "zone": "nc-room-1",
	}
}

// node is one process of a node.
type node struct {
	config  map[string]any
	path    string // of the configuration file
	dir     string // TMPDIR
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
	logFile *os.File
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// root is the repository's root, from which the run line is started.
func root() string { return os.Getenv("REVIEW_ROOT") }

// startNode starts a node and waits until it is ready.
func startNode(temp, name string, discoveryAddress string, known, set map[string]any) (*node, error) {
	return startNodeWith(temp, name, discoveryAddress, known, set, map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384})
}

// startNodeWith starts a node with other limits than startNode.
func startNodeWith(temp, name string, discoveryAddress string, known, set, limits map[string]any) (*node, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &node{address: address, dir: filepath.Join(temp, name+"-tmp"), path: filepath.Join(temp, name+".json")}
	n.config = map[string]any{"name": name, "listen": address, "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits": limits, "known": known, "settings": set}
	if err := os.MkdirAll(n.dir, 0o700); err != nil {
		return nil, err
	}
	return n, n.start(temp, name)
}

func (n *node) writeConfig() error {
	raw, err := json.Marshal(n.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(n.path+".new", n.path)
}

func (n *node) start(temp, name string) (err error) {
	if err := n.writeConfig(); err != nil {
		return err
	}
	if n.logFile, err = os.Create(filepath.Join(temp, name+".log")); err != nil {
		return err
	}
	n.cmd = exec.Command("/bin/sh", "-c", "exec bin/sloerail-node")
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = root(), n.logFile, n.logFile
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ROUTER_CONFIG=" + n.path, "ROUTER_NAME=" + name,
		"ROUTER_LISTEN=" + n.address, "ROUTER_DISCOVERY=" + n.config["discovery"].(string), "TMPDIR=" + n.dir}
	if debug := os.Getenv("ROUTER_DEBUG_LOG"); debug != "" {
		n.cmd.Env = append(n.cmd.Env, "ROUTER_DEBUG_LOG="+debug)
	}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		n.cmd.Wait()
		close(n.exited)
	}()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-n.exited:
			return fmt.Errorf("node %s ended at its start", name)
		default:
		}
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + n.address + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s did not become ready", name)
}

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (n *node) kill() {
	n.cmd.Process.Kill()
	<-n.exited
}

// listen starts a server; serve is called for each of its connections and closes it by returning.
func listen(serve func(net.Conn)) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// serveRequests reads the requests of a connection one after the other, each whole, and passes them to answer.
func serveRequests(c net.Conn, answer func(req *http.Request, body []byte) (open bool)) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !answer(req, body) {
			return
		}
	}
}

func plainAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestHead returns the head of a request in the form of the protocol page.
func requestHead(method, id, class string, deadline time.Duration, key string, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: new-cairo-east\r\n"+
		"X-Deadline-Ms: %d\r\n", method, id, class, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// caseFunc plays a case. It returns whether the rule was broken.
type caseFunc func(r *record, temp string, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

// maxTime is the time after which a case ends itself.
const maxTime = 115 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE FOLDER")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		defer os.RemoveAll(temp)
	} else {
		fmt.Println(temp)
	}
	time.AfterFunc(maxTime, func() { // the kernel then ends the nodes
		fmt.Println("the case takes too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, trouble %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, temp, trouble)
	switch {
	case err != nil:
		r.summary("the case couldn't run: %v", err)
		return 2
	case broken:
		r.summary("RULE BROKEN")
		return 1
	}
	r.summary("rule held")
	return 0
}
