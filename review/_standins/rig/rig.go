// Package rig holds the stand-ins that the cases share: a list service, servers, clients, and the start and end of nodes.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// Rig runs one case: it keeps the record and the processes that the case started.
type Rig struct {
	Trouble bool // false: the case runs without its disruption
	Dir     string

	start  time.Time
	root   string
	mu     sync.Mutex
	record *os.File
	breaks int
	nodes  []*Node
}

// New opens record.txt in the folder of the case. The arguments are the root of the repository and that folder.
func New() *Rig {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT CASE-FOLDER")
		os.Exit(ExitNotRun)
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), root: os.Args[1]}
	var err error
	if r.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		r.NotRun("record: %v", err)
	}
	if r.Dir, err = os.MkdirTemp("", "review"); err != nil {
		r.NotRun("temporary folder: %v", err)
	}
	r.Log("disruption: %v", r.Trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-stop:
			r.NotRun("stopped by %v", s)
		case <-time.After(maxRunTime):
			r.NotRun("still running after %v", maxRunTime)
		}
	}()
	return r
}

// Since returns the time since the start of the case.
func (r *Rig) Since() time.Duration { return time.Since(r.start) }

// Log writes a line to the record.
func (r *Rig) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		fmt.Fprintf(r.record, "%9.3f s  %s\n", r.Since().Seconds(), fmt.Sprintf(format, args...))
	}
}

// Broken records that the rule was broken.
func (r *Rig) Broken(format string, args ...any) {
	r.mu.Lock()
	r.breaks++
	r.mu.Unlock()
	r.Log("RULE BROKEN: "+format, args...)
}

// NotRun ends a case that can't run.
func (r *Rig) NotRun(format string, args ...any) {
	r.Log("NOT RUN: "+format, args...)
	fmt.Fprintf(os.Stderr, "not run: "+format+"\n", args...)
	r.end(ExitNotRun)
}

// Finish ends the case with the verdict.
func (r *Rig) Finish() {
	code, verdict := ExitHeld, "the rule held"
	if r.breaks > 0 {
		code, verdict = ExitBroken, fmt.Sprintf("the rule was broken (%d times)", r.breaks)
	}
	r.Log("%s", verdict)
	fmt.Println(verdict)
	r.end(code)
}

func (r *Rig) end(code int) {
	for _, n := range r.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" && r.Dir != "" {
		_ = os.RemoveAll(r.Dir)
	}
	os.Exit(code)
}

// FreeAddress returns a loopback address with a port that is free now.
func (r *Rig) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.NotRun("free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Member is one entry of the list of servers.
type Member struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Zone      string  `json:"locality"`
	Kind      string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
}

// List is an answer of the list service.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// ListService is a list service whose list never changes.
type ListService struct {
	Address  string
	listener net.Listener
	server   *http.Server
}

// oldListCloses is how long after a signal the former list service closes its open connections.
const oldListCloses = 1500 * time.Millisecond

// ListService starts a list service.
func (r *Rig) ListService(members []Member) *ListService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.NotRun("list service: %v", err)
	}
	s := &ListService{Address: l.Addr().String(), listener: l, server: &http.Server{Handler: listHandler(members)}}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// Retire ends the service as a signal to a node does whose new configuration names another one: it takes no new
// connections, and closes the open ones a while later.
func (s *ListService) Retire() {
	_ = s.listener.Close()
	time.AfterFunc(oldListCloses, func() { _ = s.server.Close() })
}

func listHandler(members []Member) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		list := List{Revision: 1, Complete: true, Members: members}
		if index := req.URL.Query().Get("index"); index == "1" {
			wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-req.Context().Done():
				return
			}
			list = List{Revision: 1, Members: []Member{}}
		}
		_ = json.NewEncoder(w).Encode(list)
	}
}

// Object is a JSON object.
type Object = map[string]any

// NodeConfig returns the configuration of a node.
func NodeConfig(name, listen, control, discovery string, limits Object, members []Member, settings Object) Object {
	return Object{"name": name, "listen": listen, "control": control, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": limits, "known": List{Revision: 1, Complete: true, Members: members}, "settings": settings}
}

// Node is a process of a node.
type Node struct {
	rig     *Rig
	cmd     *exec.Cmd
	Listen  string
	Control string
	config  string
	exited  chan struct{}
}

// WriteConfig writes a configuration aside and renames it over the node's file.
func (n *Node) WriteConfig(config Object) {
	raw, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(n.config+".new", raw, 0o600)
	}
	if err == nil {
		err = os.Rename(n.config+".new", n.config)
	}
	if err != nil {
		n.rig.NotRun("configuration: %v", err)
	}
}

// StartNode starts a node by the run line of the deploy file, and waits until it is ready.
func (r *Rig) StartNode(config Object) *Node {
	deploy, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	if err != nil {
		r.NotRun("deploy file: %v", err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		r.NotRun("the deploy file has no run line")
	}
	name := config["name"].(string)
	n := &Node{rig: r, Listen: config["listen"].(string), Control: config["control"].(string),
		config: filepath.Join(r.Dir, name+".json"), exited: make(chan struct{})}
	n.WriteConfig(config)
	shared := filepath.Join(r.Dir, name+".tmp")
	if err := os.MkdirAll(shared, 0o700); err != nil {
		r.NotRun("TMPDIR: %v", err)
	}
	log, err := os.Create(filepath.Join(r.Dir, name+".log"))
	if err != nil {
		r.NotRun("log: %v", err)
	}
	n.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = r.root, log, log
	n.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+n.config, "TMPDIR="+shared)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		r.NotRun("start of the node: %v", err)
	}
	r.nodes = append(r.nodes, n)
	go func() {
		err := n.cmd.Wait()
		r.Log("node %s ended: %v", name, err)
		close(n.exited)
	}()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + n.Listen + "/health/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.Log("node %s is ready, process %d", name, n.cmd.Process.Pid)
				return n
			}
		}
		if time.Now().After(end) {
			r.NotRun("the node didn't become ready: %v", err)
		}
	}
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(s syscall.Signal) {
	n.rig.Log("signal %v to the node", s)
	if err := n.cmd.Process.Signal(s); err != nil {
		n.rig.NotRun("signal: %v", err)
	}
}

// PID returns the id of the node's process.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

func (n *Node) kill() {
	if !n.Ended() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// Figure reads one of the figures of the node's second address.
func (n *Node) Figure(name string) float64 {
	conn, err := net.DialTimeout("tcp", n.Control, time.Second)
	if err != nil {
		n.rig.NotRun("figures: %v", err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /stats HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		n.rig.NotRun("figures: %v", err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, _ := strconv.ParseFloat(value, 64)
			return v
		}
	}
	return -1
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 for none
	Body   []byte
	Err    error
	// Written says that the request's last byte was written; Took is the time from then to the answer's last byte, or to
	// the end of the wait for it. TimedOut says that the connection was still open then.
	Written  bool
	Took     time.Duration
	TimedOut bool
}

// Request is a client's request.
type Request struct {
	ID, Class, Tenant, Key string
	Deadline               time.Duration
	Body                   []byte // nil for a GET
	// Pace is how long the body takes; it is sent in BodyPieces pieces.
	Pace       time.Duration
	BodyPieces int
	AnswerTime time.Duration // how long the client waits beyond the deadline, and 100 ms more
}

// Client is a client's connection.
type Client struct {
	rig  *Rig
	conn net.Conn
	in   *bufio.Reader
}

// Dial opens a client's connection.
func (r *Rig) Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{rig: r, conn: conn, in: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Send sends one request on a connection of its own and waits for the answer up to the deadline.
func (r *Rig) Send(address string, q Request) Answer {
	c, err := r.Dial(address)
	if err != nil {
		r.Log("client %s: %v", q.ID, err)
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Send(q)
}

// Send sends one request and waits for the answer up to the deadline.
func (c *Client) Send(q Request) Answer {
	r, conn := c.rig, c.conn
	var err error
	method := "GET"
	if q.Body != nil {
		method = "POST"
	}
	head := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline-Ms: %d\r\n",
		method, q.ID, q.Class, q.Tenant, q.Deadline.Milliseconds())
	if q.Key != "" {
		head += "Idempotency-Key: " + q.Key + "\r\n"
	}
	if q.Body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	head += "\r\n"
	r.Log("client %s: sends the head of %s %s, deadline %v", q.ID, method, q.Class, q.Deadline)
	if q.Pace == 0 {
		_, err = conn.Write(append([]byte(head), q.Body...))
	} else if _, err = conn.Write([]byte(head)); err == nil {
		err = sendSlowly(conn, q)
	}
	if err != nil {
		r.Log("client %s: write: %v", q.ID, err)
	} else if len(q.Body) > 0 {
		r.Log("client %s: the last byte of the body is sent", q.ID)
	}
	a := Answer{Written: err == nil}
	written := time.Now()
	_ = conn.SetReadDeadline(written.Add(q.Deadline + q.AnswerTime + 100*time.Millisecond))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.Err, a.Took, a.TimedOut = err, time.Since(written), errors.Is(err, os.ErrDeadlineExceeded)
		r.Log("client %s: no answer, %d ms after the last byte: %v", q.ID, a.Took.Milliseconds(), err)
		return a
	}
	a.Status = resp.StatusCode
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Took = time.Since(written)
	r.Log("client %s: answer %d, %d bytes, error %v, %d ms after the last byte", q.ID, a.Status, len(a.Body), a.Err,
		a.Took.Milliseconds())
	return a
}

func sendSlowly(conn net.Conn, q Request) error {
	start := time.Now()
	for i := range q.BodyPieces {
		from, to := len(q.Body)*i/q.BodyPieces, len(q.Body)*(i+1)/q.BodyPieces
		time.Sleep(time.Until(start.Add(q.Pace * time.Duration(i+1) / time.Duration(q.BodyPieces))))
		if _, err := conn.Write(q.Body[from:to]); err != nil {
			return err
		}
	}
	return nil
}

// Server starts a server that listens on l, and returns its address. handle is called once a request's last byte has
// arrived, with the body.
func (r *Rig) Server(id string, l net.Listener, handle func(w http.ResponseWriter, req *http.Request, body []byte)) string {
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			r.NotRun("server: %v", err)
		}
	}
	go func() {
		err := http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, err := io.ReadAll(req.Body)
			if err != nil {
				r.Log("server %s: incomplete request %s: %v", id, req.Header.Get("X-Request-Id"), err)
				return
			}
			handle(w, req, body)
		}))
		if !errors.Is(err, net.ErrClosed) {
			r.Log("server %s ended: %v", id, err)
		}
	}()
	return l.Addr().String()
}

// Reset ends a server's connection without an answer, with a reset.
func Reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
