package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"sloerail/internal/emulator"
	"sloerail/internal/lab"
)

const (
	frontLook  = 100 * time.Millisecond // between looks of the front at a node
	frontFails = 3                      // looks that fail in a row, and the front leaves a node
	maxOpen    = 4096                   // tries open at a time; more are the driver's own trouble and counted so
	mostWatch  = time.Minute            // that a call for the list may wait
	maxCalls   = 1 << 16                // for the list whose times are kept
)

// World is what nodes live among, on sockets: app boxes, the list of them, clients behind a front, and the
// judge. Its parts are the emulator's; the world gives them the time and carries bytes.
type World struct {
	Judge *emulator.Judge // hold the lock of Look while reading

	rig   *Rig
	start time.Time
	seed  uint64

	mu      sync.Mutex
	list    *emulator.List
	boxes   map[string]*box
	changed chan struct{} // closed when the list changes
	open    int
	skipped int               // tries not sent for want of the driver's own room
	sent    map[[2]string]int // attempts, by node and zone
	calls   []time.Time       // for the list; the last ones of many
	book    *lab.Outcome      // of the scenario that is played; nil for none
	trying  sync.WaitGroup
	ctx     context.Context
	end     context.CancelFunc
	parts   sync.WaitGroup
}

type box struct {
	*emulator.Box
	wake  chan struct{}
	waits map[string]chan emulator.Done // by request
}

// NewWorld makes a world with these boxes, all of them warm and in the list.
func (r *Rig) NewWorld(seed uint64, specs ...emulator.BoxSpec) *World {
	w := &World{Judge: emulator.NewJudge(emulator.DefaultRules()), rig: r, start: time.Now().Add(-time.Hour),
		seed: seed, list: emulator.NewList(), boxes: make(map[string]*box), changed: make(chan struct{}),
		sent: make(map[[2]string]int)}
	w.ctx, w.end = context.WithCancel(context.Background())
	for _, spec := range specs {
		w.addBox(spec, 0)
	}
	r.onClose(w.close)
	return w
}

func (w *World) close() {
	w.end()
	w.trying.Wait()
	w.parts.Wait()
}

// now is the world's clock. It begins at an hour, so that no moment of a run is 0, which stands for long ago.
func (w *World) now() emulator.Time { return time.Since(w.start) }

func (w *World) addBox(spec emulator.BoxSpec, started emulator.Time) {
	b := &box{Box: emulator.NewBox(spec, started, w.seed+uint64(len(w.boxes))), wake: make(chan struct{}, 1),
		waits: make(map[string]chan emulator.Done)}
	w.boxes[spec.ID] = b
	w.list.Set(w.entry(b, emulator.Up))
	w.parts.Go(func() { w.work(b) })
}

// Look calls do with the world's lock held: on boxes, the list, the judge and sums.
func (w *World) Look(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// Box is one of the boxes; read and change it within Look.
func (w *World) Box(id string) *emulator.Box { return w.boxes[id].Box }

// Sent counts the attempts of a node that have reached boxes of a zone.
func (w *World) Sent(node, zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[[2]string{node, zone}]
}

// Calls are when nodes called for the list since a time, in order.
func (w *World) Calls(since time.Time) []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, _ := slices.BinarySearchFunc(w.calls, since, time.Time.Compare)
	return slices.Clone(w.calls[i:])
}

// Zone does something to each box of a zone.
func (w *World) Zone(zone string, do func(b *emulator.Box)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.boxes {
		if b.Spec.Zone == zone {
			do(b.Box)
		}
	}
}

// Vanish takes the boxes of a zone out of the list in one change, without a word of draining, or puts them back.
func (w *World) Vanish(zone string, on bool) {
	var all []emulator.BoxSpec
	w.Zone(zone, func(b *emulator.Box) { all = append(all, b.Spec) })
	w.relist(all, map[bool]string{true: emulator.Removed, false: emulator.Up}[on])
}

// relist changes what the list says of boxes, all at once, and tells all watches.
func (w *World) relist(boxes []emulator.BoxSpec, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, spec := range boxes {
		b := w.boxes[spec.ID]
		b.Draining = phase == emulator.Draining
		w.list.Set(w.entry(b, phase))
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// entry is a box in the form of the list.
func (w *World) entry(b *box, phase string) emulator.Entry {
	e := emulator.Entry{ID: b.Spec.ID, Locality: b.Spec.Zone, Flavor: b.Spec.Kind, Cell: b.Spec.Cell, Phase: phase, Size: 1}
	if started := b.Started(); started > 0 {
		e.UpSince = w.start.Add(started).UnixMilli()
	}
	return e
}

// Phase changes what the list says of a box, and tells all watches.
func (w *World) Phase(id, phase string) {
	var spec emulator.BoxSpec
	w.Look(func() { spec = w.boxes[id].Spec })
	w.relist([]emulator.BoxSpec{spec}, phase)
}

// work finishes a box's jobs when they are due.
func (w *World) work(b *box) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		for _, d := range b.Advance(w.now()) {
			if reply := b.waits[d.ID]; reply != nil {
				reply <- d
				delete(b.waits, d.ID)
			}
		}
		at, ok := b.Next()
		w.mu.Unlock()
		if ok {
			timer.Reset(at - w.now())
		}
		select {
		case <-timer.C:
		case <-b.wake:
		case <-w.ctx.Done():
			return
		}
	}
}

// AddNode makes a node of this world: it reaches each box and the list by paths of its own, and is told the
// boxes as they are now. Spec's discovery and known list are filled in.
func (w *World) AddNode(spec NodeSpec) (*Node, error) {
	addrs := make(map[string]string)
	w.mu.Lock()
	boxes := make([]*box, 0, len(w.boxes))
	for _, b := range w.boxes {
		boxes = append(boxes, b)
	}
	w.mu.Unlock()
	for _, b := range boxes {
		at, err := w.serve(spec.Name, b.Spec.ID, w.boxHandler(spec.Name, spec.zone(), b))
		if err != nil {
			return nil, err
		}
		addrs[b.Spec.ID] = at
	}
	at, err := w.serve(spec.Name, "list", w.listHandler(spec.Name, addrs))
	if err != nil {
		return nil, err
	}
	spec.Discovery = at
	w.mu.Lock()
	spec.Known = seenBy(w.list.Whole(), addrs)
	w.mu.Unlock()
	n, err := w.rig.Node(spec)
	if err != nil {
		return nil, err
	}
	return n, nil
}

// serve answers one node on a path of its own.
func (w *World) serve(node, party string, h http.Handler) (at string, err error) {
	ln, err := net.Listen("tcp", w.rig.anyPort())
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.parts.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(w.ctx, func() { _ = s.Close() })
	return w.rig.RelayTCP(node, party, ln.Addr().String())
}

func seenBy(a emulator.Answer, addrs map[string]string) emulator.Answer {
	for i := range a.Members {
		a.Members[i].HostPort = addrs[a.Members[i].ID]
	}
	return a
}

// listHandler is the list service as one node sees it.
func (w *World) listHandler(node string, addrs map[string]string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
		watch := err == nil
		ms, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
		until := time.After(min(mostWatch, time.Duration(ms)*time.Millisecond))
		w.mu.Lock()
		if w.calls = append(w.calls, time.Now()); len(w.calls) > maxCalls {
			w.calls = slices.Clone(w.calls[maxCalls/2:])
		}
		w.mu.Unlock()
		var a emulator.Answer
		for told := false; !told; {
			w.mu.Lock()
			if a, told = w.list.Since(index); !watch {
				a, told = w.list.Whole(), true
			}
			changed := w.changed
			w.mu.Unlock()
			if told {
				break
			}
			select {
			case <-changed:
			case <-until:
				told = true
			case <-r.Context().Done():
				return
			}
		}
		rw.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(rw).Encode(seenBy(a, addrs)) != nil {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range a.Members {
			w.Judge.Told(w.now(), node, e.ID, e.Phase)
		}
	})
}

// boxHandler is an app box as one node sees it.
func (w *World) boxHandler(node, zone string, b *box) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			http.NotFound(rw, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		work, err := time.ParseDuration(r.URL.Query().Get("work"))
		if err != nil {
			http.Error(rw, "work: want a duration", http.StatusBadRequest)
			return
		}
		reply := make(chan emulator.Done, 1)
		w.mu.Lock()
		now := w.now()
		w.Judge.Arrived(now, node, id, b.Box)
		w.sent[[2]string{node, b.Spec.Zone}]++
		if w.book != nil {
			w.book.Sent(now, r.Header.Get("X-Class"), zone, b.Spec.Zone)
		}
		verdict := b.Offer(now, emulator.Job{ID: id, Key: r.Header.Get("Idempotency-Key"), Work: work})
		if verdict == emulator.Taken {
			b.waits[id] = reply
		} else { // the answer is on its way: whoever sends again has it
			w.Judge.Over(id, b.Spec.ID, verdict == emulator.Turned)
		}
		load := b.Load(now)
		w.mu.Unlock()
		rw.Header().Set("X-Load", fmt.Sprintf("latency_ms=%.1f,util=%.3f,qps=%.1f", load.LatencyMs, load.Util, load.QPS))
		switch verdict {
		case emulator.Turned:
			rw.Header().Set("X-Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		case emulator.Failed:
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		select {
		case b.wake <- struct{}{}:
		default:
		}
		select {
		case <-reply:
			w.mu.Lock()
			w.Judge.Over(id, b.Spec.ID, false)
			w.mu.Unlock()
			_, _ = io.WriteString(rw, "served "+id)
		case <-r.Context().Done():
			w.mu.Lock()
			w.Judge.Over(id, b.Spec.ID, false)
			w.mu.Unlock()
		case <-w.ctx.Done():
		}
	})
}

// Clients sends what these clients ask to the nodes of a front, and returns once the last try has ended.
func (w *World) Clients(name string, spec emulator.ClientSpec, nodes ...*Node) *Load {
	w.mu.Lock()
	spec.Until += w.now()
	l := &Load{w: w, clients: emulator.NewClients(name, spec, w.now(), w.seed), done: make(chan struct{}),
		wake: make(chan struct{}, 1)}
	w.mu.Unlock()
	for _, n := range nodes {
		l.doors = append(l.doors, &door{node: n, up: true})
	}
	l.zone = nodes[0].Spec.zone()
	for _, d := range l.doors {
		w.parts.Go(func() { l.follow(d) })
	}
	w.parts.Go(l.run)
	return l
}

// Load is clients at work.
type Load struct {
	w       *World
	zone    string // of the nodes that they ask first
	clients *emulator.Clients
	doors   []*door
	wake    chan struct{}
	done    chan struct{}
	turn    int

	open     int // tries
	notReady int // answers to the front that a node doesn't take clients
}

// Wait waits until the clients' time is over and their last try has ended.
func (l *Load) Wait(ctx context.Context) error {
	select {
	case <-l.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the clients are not done: %w", ctx.Err())
	}
}

// NotReady is how often a node told the front that it takes no clients.
func (l *Load) NotReady() int {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.notReady
}

// Sums tells what became of the requests so far, in all.
func (l *Load) Sums() (all emulator.Sums) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	for _, s := range l.clients.Sums {
		all.Asked += s.Asked
		all.InTime += s.InTime
		all.Late += s.Late
		all.Unserved += s.Unserved
		all.Refusals += s.Refusals
	}
	return all
}

func (l *Load) run() {
	defer close(l.done)
	w := l.w
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.mu.Lock()
		for _, t := range l.clients.Take(w.now()) {
			if w.open >= maxOpen {
				w.skipped++
				l.clients.Ended(w.now(), t, 0, 0)
				continue
			}
			w.open++
			l.open++
			if w.book != nil && t.Number == 0 {
				w.book.Ask(l.zone, t)
			}
			d := l.choose()
			w.trying.Go(func() { l.try(t, d) })
		}
		at, ok := l.clients.Next()
		open := l.open
		w.mu.Unlock()
		if !ok && open == 0 {
			return
		}
		if ok {
			timer.Reset(at - w.now())
		}
		select {
		case <-timer.C:
		case <-l.wake:
		case <-w.ctx.Done():
			return
		}
	}
}

// choose takes the doors that are up in turn; the world's lock is held.
func (l *Load) choose() *door {
	for range l.doors {
		l.turn++
		if d := l.doors[l.turn%len(l.doors)]; d.up {
			return d
		}
	}
	return l.doors[l.turn%len(l.doors)]
}

// door is the way to one node, with the connections that are open and unused.
type door struct {
	node *Node
	up   bool // by the world's lock

	mu   sync.Mutex
	idle []*wire
}

// follow asks a node whether it takes clients, as a front does.
func (l *Load) follow(d *door) {
	fails := 0
	for wait(l.w.ctx, frontLook) == nil {
		err := Get(l.w.ctx, d.node.Listen, "/health/ready", nil)
		if fails++; err == nil {
			fails = 0
		}
		var status statusError
		if errors.As(err, &status) {
			l.w.mu.Lock()
			l.notReady++
			l.w.mu.Unlock()
		}
		l.w.mu.Lock()
		d.up = fails < frontFails
		l.w.mu.Unlock()
	}
}

// try sends one try and tells the clients and the judge what came of it.
func (l *Load) try(t *emulator.Try, d *door) {
	w := l.w
	began := time.Now()
	status, retryAfter, err := d.exchange(t, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Judge.Took(w.now(), t)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	l.open--
	now := w.now()
	switch {
	case err == nil:
		w.Judge.Answer(now, t.ID, status)
	case errors.Is(err, errNoConnection) || errors.Is(err, errCrossed):
		w.Judge.TurnedBack(now, t.ID, fmt.Errorf("%s: %w", d.node.Spec.Name, err), d.node.killedSince(began))
	case isTimeout(err):
		w.Judge.Silent(now, t.ID)
	case w.ctx.Err() == nil:
		w.Judge.Broke(now, t.ID, d.node.killedSince(began))
	}
	before := *l.clients.Sums[t.Class.Name]
	l.clients.Ended(now, t, status, retryAfter)
	if w.book != nil {
		w.book.Ended(t, before, *l.clients.Sums[t.Class.Name])
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Settings are those of a node in a fleet of so many, for these classes and tenants. The quota of a tenant is
// its share of a rate of requests a second.
func Settings(position, nodes int, zone string, classes []emulator.Class, tenants []emulator.Tenant,
	quota float64) map[string]any {
	var services, customers []map[string]any
	for _, k := range classes {
		services = append(services, map[string]any{"name": k.Name, "aim": k.Aim.Milliseconds(),
			"deadline": k.Deadline.Milliseconds(), "value": k.Worth, "repeat": string(k.Repeat), "group": "cell",
			"window": k.Window.Milliseconds()})
	}
	for _, t := range tenants {
		customers = append(customers, map[string]any{"name": t.Name, "fraction": t.Share, "quotaRps": t.Share * quota})
	}
	return map[string]any{
		"position": position, "groupSize": nodes, "zone": zone, "services": services, "tenants": customers,
		"registryMode": "automatic", "worthBy": "work",
		"limits": map[string]any{"cancelling": false, "connIdle": 60000, "connectTimeout": 250, "maxAttempts": 6,
			"maxOpen": 0, "retryAfter": true, "secondCopies": false},
		"guarantees": map[string]any{"graceToAnswer": 0, "drainGrace": 1500, "cold": 24000, "coldShare": 0.13,
			"fallMultiple": 2.5, "overloadFor": 3000},
		"report": map[string]any{"fields": []string{"latency_ms", "util", "qps"}},
	}
}
