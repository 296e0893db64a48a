package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/discovery"
	"sloerail/internal/node/downstream"
	"sloerail/internal/node/upstream"
	"sloerail/policy"
)

const (
	handoverVersion = 1
	// handoverSocketPrefix begins the name of the hand-over's socket, in $TMPDIR. The other version's process
	// looks there: it stays as it is.
	handoverSocketPrefix = "wayhold-"
	handoverSocketSuffix = ".sock"
	handoverTimeout      = time.Second           // for each step of a hand-over
	handoverWait         = 10 * time.Second      // for the new process to serve; after that it counts as gone
	handoverTell         = 50 * time.Millisecond // between looks at what the old process still holds: half an answer's time
	maxInheritance       = 16 << 20              // bytes
	serving              = 'S'                   // what a new process writes once it takes clients
	spareConns           = 8                     // that the old process may open on either side meanwhile, at most,
	sparePart            = 12                    // and as a part of those that the node may have
	spareServers         = 32                    // connections to servers that it may want for clients it has
	heapPart             = 0.75                  // of the memory limit: stacks and sockets take the rest
)

// inheritance is what a process leaves to the one that takes over. Descriptors of the clients' listener
// come with its first byte. The process at the other end may be of another version: the keys are fixed.
type inheritance struct {
	Version   int             `json:"Version"`
	Name      string          `json:"Name"`
	Listen    string          `json:"Listen"`
	Members   []endpointState `json:"Members"`
	Knowledge policy.Snapshot `json:"Knowledge"`
	Sockets   int             `json:"Sockets"` // that the new process may hold for now; told again as the old one ends its connections
	Out       map[string]int  `json:"Out"`     // the old process's attempts at each server; told again too
}

// endpointState is how an endpoint stands in a handover state. The keys are fixed.
type endpointState struct {
	Server       string              `json:"Server"`
	Zone         string              `json:"Zone"`
	Kind         string              `json:"Kind"`
	Cell         int64               `json:"Cell"`
	Weight       float64             `json:"Weight"`
	OnlineSince  policy.Time         `json:"OnlineSince"`
	Availability policy.Availability `json:"Availability"`
	Addr         string              `json:"Addr"`
	UpSince      int64               `json:"UpSince"`
}

func newEndpointState(e discovery.Endpoint) endpointState {
	return endpointState{Server: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight,
		OnlineSince: e.StartedAt, Availability: e.Availability, Addr: e.Address, UpSince: e.StartedAtMillis}
}

func (s endpointState) endpoint() discovery.Endpoint {
	return discovery.Endpoint{Address: s.Addr, StartedAtMillis: s.UpSince, Endpoint: policy.Endpoint{ID: s.Server, Zone: s.Zone,
		Kind: s.Kind, Cell: s.Cell, Weight: s.Weight, StartedAt: s.OnlineSince, Availability: s.Availability}}
}

// setEndpoints puts the endpoint list into the state.
func (in *inheritance) setEndpoints(endpoints iter.Seq[discovery.Endpoint]) {
	for e := range endpoints {
		in.Members = append(in.Members, newEndpointState(e))
	}
}

// endpoints is the endpoint list of the state.
func (in *inheritance) endpoints() (all []discovery.Endpoint) {
	for _, s := range in.Members {
		all = append(all, s.endpoint())
	}
	return all
}

// Listeners are where a node is reached, and what it was left by the process before it.
type Listeners struct {
	Clients net.Listener
	Control net.Listener // the operators'; nil for none
	heir    *heir        // nil where there was no such process
}

// heir is the new process's end of a hand-over.
type heir struct {
	inheritance
	conn  *net.UnixConn
	tells *json.Decoder
}

// Listen makes the node's listeners. The clients' comes from the process that serves there now, where
// one does and hands over; else it is an ordinary one.
func Listen(c Config) (Listeners, error) {
	var at Listeners
	var err error
	if path := handoverPath(c); path != "" {
		at.Clients, at.heir, err = takeOver(c, path)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			slog.Warn("no hand-over: starting as an ordinary process", "err", err)
		}
	} else if c.Scratch == "" {
		slog.Info("TMPDIR is not set: this process can't be replaced without loss")
	}
	if at.Clients == nil {
		if at.Clients, err = listenShared(c.Listen); err != nil {
			return at, fmt.Errorf("listen: %w", err)
		}
	}
	if c.Control != "" {
		if at.Control, err = net.Listen("tcp", c.Control); err != nil {
			at.close()
			return at, fmt.Errorf("control: %w", err)
		}
	}
	return at, nil
}

func (at Listeners) close() {
	at.Clients.Close()
	if at.heir != nil {
		at.heir.conn.Close()
	}
}

// listenShared listens where another process of this node may listen too.
func listenShared(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			if err != nil {
				slog.Warn("the clients' address can't be shared", "err", err)
			}
		})
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

// handoverPath is where the process that serves at the clients' address takes its successor's call;
// empty where there is no such place. The other version's process looks there.
func handoverPath(c Config) string {
	if _, port, err := net.SplitHostPort(c.Listen); err != nil || port == "0" || c.Scratch == "" {
		return ""
	}
	return filepath.Join(c.Scratch, handoverSocketPrefix+strings.ReplaceAll(c.Listen, ":", "-")+handoverSocketSuffix)
}

// unixAddr is the address of a Unix socket. One whose path is too long is named by way of its folder,
// which stays open until done is called.
func unixAddr(path string) (addr *net.UnixAddr, done func(), err error) {
	if len(path) < len(syscall.RawSockaddrUnix{}.Path) {
		return &net.UnixAddr{Name: path, Net: "unix"}, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, err
	}
	name := filepath.Join("/proc/self/fd", strconv.Itoa(int(dir.Fd())), filepath.Base(path))
	return &net.UnixAddr{Name: name, Net: "unix"}, func() { dir.Close() }, nil
}

// takeOver asks the process that serves now for what it has.
func takeOver(c Config, path string) (net.Listener, *heir, error) {
	addr, done, err := unixAddr(path)
	if err != nil {
		return nil, nil, err
	}
	defer done()
	conn, err := net.DialUnix("unix", nil, addr)
	if err != nil {
		return nil, nil, err
	}
	h := &heir{conn: conn}
	l, err := h.receive(c)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	slog.Info("taking over from another process", "servers", len(h.Members), "sockets", h.Sockets)
	return l, h, nil
}

func (h *heir) receive(c Config) (net.Listener, error) {
	if err := h.conn.SetDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return nil, err
	}
	first, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := h.conn.ReadMsgUnix(first, rights)
	if err != nil {
		return nil, err
	}
	l, err := listenerFrom(rights[:n])
	if err != nil {
		return nil, err
	}
	h.tells = json.NewDecoder(io.LimitReader(h.conn, maxInheritance))
	err = h.tells.Decode(&h.inheritance)
	if err == nil && (h.Version != handoverVersion || h.Name != c.Name || h.Listen != c.Listen) {
		err = fmt.Errorf("the process is %q at %s, hand-over version %d", h.Name, h.Listen, h.Version)
	}
	if err == nil {
		err = h.conn.SetDeadline(time.Time{})
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func listenerFrom(rights []byte) (net.Listener, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("the listening socket: %w", err)
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("the listening socket: want 1 control message, got %d", len(messages))
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, fmt.Errorf("the listening socket: %w", err)
	}
	if len(fds) != 1 {
		for _, fd := range fds {
			unix.Close(fd)
		}
		return nil, fmt.Errorf("the listening socket: want 1 descriptor, got %d", len(fds))
	}
	unix.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "clients")
	defer f.Close()
	return net.FileListener(f)
}

// serve tells the old process that this one takes clients, and follows what the old one still holds. heard
// is called once the old one leaves new clients to this one, or takes too long to say so. Once it is gone,
// all is this one's.
func (h *heir) serve(heard func(), share func(left inheritance, whole bool)) {
	defer h.conn.Close()
	defer heard()
	if _, err := h.conn.Write([]byte{serving}); err != nil {
		slog.Warn("the old process left early", "err", err)
	}
	late := time.AfterFunc(handoverTimeout, func() {
		slog.Warn("the old process doesn't say that it leaves clients to this one", "for", handoverTimeout)
		heard()
	})
	defer late.Stop()
	for {
		var tell inheritance
		if err := h.tells.Decode(&tell); err != nil {
			slog.Info("the old process has ended")
			share(inheritance{}, true)
			return
		}
		if late.Stop() {
			heard()
		}
		share(tell, false)
	}
}

// handover is a serving process's end: it waits for a successor.
type handover struct {
	c     Config
	path  string
	s     *server
	up    *upstream.Transport
	gate  *downstream.ConnectionLimiter
	fleet *membership // nil for a node of no fleet

	mu    sync.Mutex
	share int // descriptors that this process may hold
}

// listen makes the place where a successor calls. It takes the former one's place only once it is there.
func (h *handover) listen() (*net.UnixListener, error) {
	fresh := h.path + "." + strconv.Itoa(os.Getpid())
	addr, done, err := unixAddr(fresh)
	if err != nil {
		return nil, err
	}
	defer done()
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unix", addr)
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may be a successor's
	err = os.Chmod(fresh, 0o600)
	if err == nil {
		err = os.Rename(fresh, h.path)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// start serves as the heir of the process before this one, if there was one, and waits for its own. It
// is called from once the list is in.
func (h *handover) start(ctx context.Context, from *heir) {
	select {
	case <-h.s.loop.ready:
	case <-ctx.Done():
	}
	var old sync.WaitGroup
	defer old.Wait()
	if from != nil {
		stop := context.AfterFunc(ctx, func() { from.conn.Close() })
		defer stop()
		// Its first yes ends the old process: were that told to stop before it knows of this one, it would
		// turn the front away in the node's name.
		old.Go(func() { from.serve(sync.OnceFunc(func() { close(h.s.first) }), h.grant) })
	} else {
		close(h.s.first)
	}
	if h.path != "" {
		h.run(ctx)
	}
}

// run hands over to successors until ctx ends, one at a time. A successor that is gone before this
// process was told to stop leaves it the only one again.
func (h *handover) run(ctx context.Context) {
	l, err := h.listen()
	if err != nil {
		slog.Warn("this process can't be replaced without loss", "err", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.AcceptUnix()
		if err != nil {
			return
		}
		h.hand(ctx, conn)
	}
}

// hand leaves the node to the process at the other end, for as long as that lives.
func (h *handover) hand(ctx context.Context, conn *net.UnixConn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	err := h.leave(conn)
	served := false
	if err == nil {
		served, err = h.follow(conn)
	}
	if ctx.Err() != nil {
		return
	}
	slog.Warn("the successor is gone: this process serves on", "err", err, "it had served", served)
	h.s.superseded.Store(false)
	h.s.Draining.Store(h.s.Stopping.Load())
	if err := h.gate.SetPaused(false); err != nil {
		slog.Error("the clients' listener", "err", err)
	}
	h.resize()
	limitMemory(h.c, 1)
	if h.fleet != nil {
		h.fleet.Resume()
	}
	h.s.loop.send(takenBack{served})
}

// leave writes what the successor needs.
func (h *handover) leave(conn *net.UnixConn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return err
	}
	raw, err := h.gate.Listener.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	left, ok := ask(h.s.loop, func(reply chan<- inheritance) any { return ceded{reply} })
	if !ok {
		return errors.New("the node has ended")
	}
	left.Version, left.Name, left.Listen = handoverVersion, h.c.Name, h.c.Listen
	limitMemory(h.c, 0.5)
	left.Sockets = h.release()
	text, err := json.Marshal(left)
	if err != nil {
		return err
	}
	var wrote error
	if err := raw.Control(func(fd uintptr) {
		_, _, wrote = conn.WriteMsgUnix([]byte{'\n'}, unix.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if wrote != nil {
		return wrote
	}
	_, err = conn.Write(text)
	return err
}

// follow waits until the successor serves, and then tells it what this process still holds. It returns
// once the successor is gone.
func (h *handover) follow(conn *net.UnixConn) (served bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(handoverWait)); err != nil {
		return false, err
	}
	word := make([]byte, 1)
	if _, err := io.ReadFull(conn, word); err != nil {
		return false, err
	}
	slog.Info("a successor serves: its clients come to it from now on")
	h.s.superseded.Store(true)
	if h.fleet != nil {
		h.fleet.Yield()
	}
	h.s.Draining.Store(true) // clients come again, to the successor
	if err := h.gate.SetPaused(true); err != nil {
		return true, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return true, err
	}
	gone := make(chan error, 1)
	go func() {
		_, err := conn.Read(word)
		gone <- err
	}()
	tick := time.NewTicker(handoverTell)
	defer tick.Stop()
	tells := json.NewEncoder(conn)
	for {
		select {
		case err := <-gone:
			return true, err
		case <-tick.C:
			if err := tells.Encode(inheritance{Sockets: h.release(), Out: h.s.loop.out()}); err != nil {
				return true, err
			}
		}
	}
}

// total is how many descriptors this process may hold where it has no successor.
func (h *handover) total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.share
}

// release cuts this process down to what it holds, and returns what is left for its successor.
func (h *handover) release() int {
	clients := h.s.ClientConns().Count()
	spare := max(1, min(spareConns, (h.c.Sockets-h.c.ownSockets())/sparePart))
	servers := h.up.LimitConnections(min(clients, spareServers), spare)
	h.gate.SetLimit(clients + spare)
	held := h.c.ownBeside() + clients + spare + servers
	total := h.total()
	return max(total/4, total-held)
}

// resize shares the descriptors that this process may hold out between the clients' and the servers' side.
func (h *handover) resize() {
	// The server refuses requests on connections over its side; the gate makes sure that even clients
	// who connect and say nothing leave the servers' side its descriptors. While two processes share them, none
	// is set aside for clients over the limit: they wait at the gate for what the other process lets go of.
	h.mu.Lock()
	sockets, own, over := h.share, h.c.ownSockets(), ownSockets/2
	if h.s.AwaitingDescriptors.Load() {
		own, over = h.c.ownBeside(), 0
	}
	h.mu.Unlock()
	h.up.Descriptors().SetTotal(sockets - own)
	h.up.LiftLimit()
	h.gate.SetLimit(h.up.Descriptors().MaxClients() + over)
}

// grant takes what the process before this one has let go of.
func (h *handover) grant(left inheritance, whole bool) {
	h.s.loop.send(outBeside{left.Out})
	sockets := left.Sockets
	if whole {
		sockets = h.c.Sockets
		limitMemory(h.c, 1)
	}
	h.mu.Lock()
	h.share = sockets
	h.s.AwaitingDescriptors.Store(!whole)
	h.mu.Unlock()
	if !h.s.superseded.Load() {
		h.resize()
	}
}
