package hotrestart

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
	"sloerail/policy"
)

const (
	protocolVersion = 1
	// socketPrefix begins the name of the socket, in $TMPDIR, at which a successor calls. The process at the other end
	// may be of another version, which looks there: the name stays as it is.
	socketPrefix = "wayhold-"
	socketSuffix = ".sock"
	socketMode   = 0o600

	stepTimeout  = time.Second      // for each step of a hand-over
	startTimeout = 10 * time.Second // for the successor to serve; after that it counts as gone

	// ProgressInterval is the time between the messages in which a predecessor says what it still holds.
	ProgressInterval = 50 * time.Millisecond

	maxStateBytes = 16 << 20
	readyByte     = 'S' // a successor writes it once it serves
	stateByte     = '\n'
)

// Errors of a hand-over that callers tell apart by errors.Is.
var (
	// ErrOtherNode is a process that serves another node, or speaks another version of the protocol.
	ErrOtherNode = errors.New("the process can't hand over to this one")
	// ErrListeningSocket is a message that does not bring exactly the clients' listening socket.
	ErrListeningSocket = errors.New("the listening socket")
)

// State is what a process hands over to its successor. The clients' listening socket comes with the byte before it. The
// process at the other end may be of another version: the keys are fixed.
type State struct {
	Version   int             `json:"Version"`
	Name      string          `json:"Name"`
	Address   string          `json:"Listen"`
	Endpoints []endpointState `json:"Members"`
	Policy    policy.Snapshot `json:"Knowledge"`
	Sockets   int             `json:"Sockets"` // descriptors that the successor may hold for now
	InFlight  map[string]int  `json:"Out"`     // the predecessor's attempts at each server
}

// endpointState is an endpoint in a State. The keys are fixed.
type endpointState struct {
	ID              string              `json:"Server"`
	Zone            string              `json:"Zone"`
	Kind            string              `json:"Kind"`
	Cell            int64               `json:"Cell"`
	Weight          float64             `json:"Weight"`
	StartedAt       policy.Time         `json:"OnlineSince"`
	Availability    policy.Availability `json:"Availability"`
	Address         string              `json:"Addr"`
	StartedAtMillis int64               `json:"UpSince"`
}

func newEndpointState(e discovery.Endpoint) endpointState {
	return endpointState{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight,
		StartedAt: e.StartedAt, Availability: e.Availability, Address: e.Address, StartedAtMillis: e.StartedAtMillis}
}

func (s endpointState) endpoint() discovery.Endpoint {
	return discovery.Endpoint{Address: s.Address, StartedAtMillis: s.StartedAtMillis, Endpoint: policy.Endpoint{ID: s.ID,
		Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Weight: s.Weight, StartedAt: s.StartedAt, Availability: s.Availability}}
}

// SetEndpointList puts the endpoint list into the state.
func (s *State) SetEndpointList(endpoints iter.Seq[discovery.Endpoint]) {
	for e := range endpoints {
		s.Endpoints = append(s.Endpoints, newEndpointState(e))
	}
}

// EndpointList is the endpoint list of the state.
func (s *State) EndpointList() (all []discovery.Endpoint) {
	for _, e := range s.Endpoints {
		all = append(all, e.endpoint())
	}
	return all
}

// Progress is what a predecessor still holds while its successor serves.
type Progress struct {
	Sockets  int            // descriptors that the successor may hold now
	InFlight map[string]int // the predecessor's attempts at each server
}

// Identity says which node a process is one of.
type Identity struct {
	Name    string
	Address string // host:port of the clients' listener
	Dir     string // a folder that all processes of the node share; empty for none
}

// SocketPath is where the process that serves at the clients' address awaits its successor, of any version. It is empty
// if there is no such place, and the node can't be handed over.
func (id Identity) SocketPath() string {
	if _, port, err := net.SplitHostPort(id.Address); err != nil || port == "0" || id.Dir == "" {
		return ""
	}
	return filepath.Join(id.Dir, socketPrefix+strings.ReplaceAll(id.Address, ":", "-")+socketSuffix)
}

// unixAddr is the address of a Unix socket. One whose path is too long is named by way of its folder,
// which stays open until done is called.
func unixAddr(path string) (addr *net.UnixAddr, done func() error, err error) {
	if len(path) < len(syscall.RawSockaddrUnix{}.Path) {
		return &net.UnixAddr{Name: path, Net: "unix"}, func() error { return nil }, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, err
	}
	name := filepath.Join("/proc/self/fd", strconv.Itoa(int(dir.Fd())), filepath.Base(path))
	return &net.UnixAddr{Name: name, Net: "unix"}, dir.Close, nil
}

// Predecessor is the process that served before this one, as its successor sees it.
type Predecessor struct {
	State    State        // as of the hand-over
	Clients  net.Listener // the clients'
	conn     *net.UnixConn
	messages *json.Decoder
}

// TakeOver asks the process that serves now for its state. The error is an os.ErrNotExist if there is none.
func TakeOver(id Identity) (*Predecessor, error) {
	path := id.SocketPath()
	p, err := dialPredecessor(path)
	if err != nil {
		return nil, fmt.Errorf("hot restart: connect to %s: %w", path, err)
	}
	if err := p.receive(id); err != nil {
		return nil, fmt.Errorf("hot restart: take over: %w", errors.Join(err, p.conn.Close()))
	}
	return p, nil
}

func dialPredecessor(path string) (*Predecessor, error) {
	addr, done, err := unixAddr(path)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialUnix("unix", nil, addr)
	if closed := done(); err == nil && closed != nil {
		return nil, errors.Join(closed, conn.Close())
	}
	if err != nil {
		return nil, err
	}
	return &Predecessor{conn: conn}, nil
}

// receive reads the listening socket and the state.
func (p *Predecessor) receive(id Identity) error {
	if err := p.conn.SetDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	first, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := p.conn.ReadMsgUnix(first, rights)
	if err != nil {
		return err
	}
	listener, err := listenerFrom(rights[:n])
	if err != nil {
		return err
	}
	p.messages = json.NewDecoder(io.LimitReader(p.conn, maxStateBytes))
	err = p.messages.Decode(&p.State)
	if s := p.State; err == nil && (s.Version != protocolVersion || s.Name != id.Name || s.Address != id.Address) {
		err = fmt.Errorf("%w: it is %q at %s, version %d", ErrOtherNode, s.Name, s.Address, s.Version)
	}
	if err == nil {
		err = p.conn.SetDeadline(time.Time{})
	}
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	p.Clients = listener
	return nil
}

// listenerFrom is the listening socket in a control message. Any other descriptor that came is closed.
func listenerFrom(rights []byte) (net.Listener, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListeningSocket, err)
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("%w: want 1 control message, got %d", ErrListeningSocket, len(messages))
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListeningSocket, err)
	}
	if len(fds) != 1 {
		err := fmt.Errorf("%w: want 1 descriptor, got %d", ErrListeningSocket, len(fds))
		for _, fd := range fds {
			err = errors.Join(err, unix.Close(fd))
		}
		return nil, err
	}
	unix.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "clients")
	listener, err := net.FileListener(f) // which duplicates the descriptor
	if closed := f.Close(); err == nil && closed != nil {
		return nil, errors.Join(closed, listener.Close())
	}
	return listener, err
}

// Close gives the predecessor up, which then serves on.
func (p *Predecessor) Close() error { return p.conn.Close() }

// Follow notifies the predecessor that this process serves, and follows what it still holds until it has ended or Close
// is called. It calls yielded once: when the predecessor leaves new clients to this process, or takes too long to say
// so. It calls progress with each message, and with ended when the predecessor holds nothing any more.
func (p *Predecessor) Follow(yielded func(), progress func(of Progress, ended bool)) {
	defer func() { _ = p.conn.Close() }() // by then it has ended, or Close was called
	yielded = sync.OnceFunc(yielded)
	defer yielded()
	if _, err := p.conn.Write([]byte{readyByte}); err != nil {
		slog.Warn("hot restart: the predecessor ended early", "error", err)
	}
	late := time.AfterFunc(stepTimeout, func() {
		slog.Warn("hot restart: the predecessor doesn't confirm that it stopped accepting", "after", stepTimeout)
		yielded()
	})
	defer late.Stop()
	for {
		var message State
		if err := p.messages.Decode(&message); err != nil {
			slog.Info("hot restart: the predecessor has ended")
			progress(Progress{}, true)
			return
		}
		if late.Stop() {
			yielded()
		}
		progress(Progress{Sockets: message.Sockets, InFlight: message.InFlight}, false)
	}
}

// Process is a serving process that a successor may take over from. Serve calls the methods one at a time.
type Process interface {
	// ClientsSocket is the clients' listening socket.
	ClientsSocket() (syscall.RawConn, error)
	// Snapshot is the state to hand over, and makes room for the successor. Serve fills in the identity.
	Snapshot() (State, error)
	// StopAccepting leaves new clients to the successor, which serves.
	StopAccepting() error
	// Progress is what the process still holds, and releases what it doesn't need.
	Progress() Progress
	// Resume goes on as the only process: the successor is gone, after it has served or before.
	Resume(successorServed bool)
}

// Serve hands over to successors until ctx ends, one at a time. A successor that is gone before ctx ends leaves the
// process the only one again.
func Serve(ctx context.Context, id Identity, process Process) error {
	listener, err := listenForSuccessor(id.SocketPath())
	if err != nil {
		return fmt.Errorf("hot restart: listen for a successor: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // which ends AcceptUnix
	defer stop()
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("hot restart: await a successor: %w", err)
		}
		serveSuccessor(ctx, id, process, conn)
	}
}

// listenForSuccessor makes the socket at which a successor calls. It takes the former one's place only once it is
// there.
func listenForSuccessor(path string) (*net.UnixListener, error) {
	fresh := path + "." + strconv.Itoa(os.Getpid())
	addr, done, err := unixAddr(fresh)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(fresh); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Join(err, done())
	}
	listener, err := net.ListenUnix("unix", addr)
	if err != nil {
		return nil, errors.Join(err, done())
	}
	listener.SetUnlinkOnClose(false) // by then the path may be a successor's
	err = done()
	if err == nil {
		err = os.Chmod(fresh, socketMode)
	}
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// serveSuccessor hands over to the process at the other end of conn, for as long as that lives.
func serveSuccessor(ctx context.Context, id Identity, process Process, conn *net.UnixConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // which ends reads and writes
	defer stop()
	err := sendState(id, process, conn)
	served := false
	if err == nil {
		served, err = followSuccessor(process, conn)
	}
	err = errors.Join(err, conn.Close())
	if ctx.Err() != nil {
		return
	}
	slog.Warn("hot restart: the successor is gone, serving on", "error", err, "it had served", served)
	process.Resume(served)
}

// sendState writes what a successor needs: the listening socket and the state.
func sendState(id Identity, process Process, conn *net.UnixConn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	clients, err := process.ClientsSocket()
	if err != nil {
		return err
	}
	state, err := process.Snapshot()
	if err != nil {
		return err
	}
	state.Version, state.Name, state.Address = protocolVersion, id.Name, id.Address
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	var writeErr error
	if err := clients.Control(func(fd uintptr) {
		_, _, writeErr = conn.WriteMsgUnix([]byte{stateByte}, unix.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if writeErr != nil {
		return writeErr
	}
	_, err = conn.Write(text)
	return err
}

// followSuccessor waits until the successor serves, and then sends it what this process still holds. It returns once
// the successor is gone.
func followSuccessor(process Process, conn *net.UnixConn) (served bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return false, err
	}
	word := make([]byte, 1)
	if _, err := io.ReadFull(conn, word); err != nil {
		return false, err
	}
	slog.Info("hot restart: a successor serves, accepting no new clients")
	if err := process.StopAccepting(); err != nil {
		return true, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return true, err
	}
	gone := make(chan error, 1)
	go func() { // ends with the connection
		_, err := conn.Read(word)
		gone <- err
	}()
	ticker := time.NewTicker(ProgressInterval)
	defer ticker.Stop()
	messages := json.NewEncoder(conn)
	for {
		select {
		case err := <-gone:
			return true, err
		case <-ticker.C:
			progress := process.Progress()
			if err := messages.Encode(State{Sockets: progress.Sockets, InFlight: progress.InFlight}); err != nil {
				return true, err
			}
		}
	}
}
