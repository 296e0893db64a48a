package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	stepTimeout   = time.Second // for each step of a hand-over
	maxStateBytes = 16 << 20    // of the state, and of all later messages of a predecessor together
	readyByte     = 'S'         // sent by a successor once it serves
)

// Errors of a hand-over, for use with errors.Is.
var (
	// ErrOtherNode means that the serving process belongs to another node, or has another version of the protocol.
	ErrOtherNode = errors.New("the serving process has another identity or protocol version")
	// ErrListeningSocket means that the predecessor's first message doesn't carry exactly one descriptor. The one expected
	// is that of the clients' listening socket.
	ErrListeningSocket = errors.New("receive the listening socket")
)

// Predecessor is a successor's connection to the process that serves before it.
type Predecessor struct {
	State    State        // at the time of the hand-over; until ReleaseState
	Clients  net.Listener // the clients' listener
	conn     *net.UnixConn
	messages *json.Decoder
	notified chan struct{} // closed once Follow has sent readyByte, which the predecessor reads first
}

// TakeOver receives the listening socket and the state from the serving process. If there is no
// socket file to connect to, the error wraps os.ErrNotExist. The file of a process that has ended may remain: the
// connection is then refused.
func TakeOver(id Identity) (*Predecessor, error) {
	path := id.SocketPath()
	p, err := dialPredecessor(path)
	if err != nil {
		return nil, fmt.Errorf("hot restart: connect to the predecessor at %s: %w", path, err)
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
	if closeErr := done(); err == nil && closeErr != nil {
		return nil, errors.Join(closeErr, conn.Close())
	}
	if err != nil {
		return nil, err
	}
	return &Predecessor{conn: conn, notified: make(chan struct{})}, nil
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
	if got := p.State; err == nil && (got.Version != protocolVersion || got.Name != id.Name || got.Address != id.Address) {
		err = fmt.Errorf("%w: got %q at %s, version %d, want %q at %s, version %d", ErrOtherNode,
			got.Name, got.Address, got.Version, id.Name, id.Address, protocolVersion)
	}
	if err == nil {
		err = p.releaseBuffer()
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

// releaseBuffer replaces the decoder of the messages, whose buffer has the size of the state, by one for short messages.
func (p *Predecessor) releaseBuffer() error {
	unread, err := io.ReadAll(p.messages.Buffered())
	p.messages = json.NewDecoder(io.LimitReader(io.MultiReader(bytes.NewReader(unread), p.conn), maxStateBytes))
	return err
}

// ReleaseState frees the state, once it has been restored.
func (p *Predecessor) ReleaseState() { p.State = State{} }

// listenerFrom returns the listening socket in a control message. If the message holds several descriptors, it
// closes all of them and returns an error.
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
	listener, err := net.FileListener(f) // duplicates the descriptor
	if closeErr := f.Close(); err == nil && closeErr != nil {
		return nil, errors.Join(closeErr, listener.Close())
	}
	return listener, err
}

// Close disconnects from the predecessor, which then serves alone again unless it is stopping.
func (p *Predecessor) Close() error { return p.conn.Close() }

// SendExecuted sends the predecessor hashes of IDs of requests that may have run at this process. It may be called only if
// State.AcceptsExecuted is set, and waits until Follow has notified the predecessor.
func (p *Predecessor) SendExecuted(hashes []uint64) error {
	<-p.notified
	return json.NewEncoder(p.conn).Encode(State{Executed: hashes})
}

// Follow notifies the predecessor that this process serves, and receives Progress messages until the predecessor has
// ended, Close is called, or a message is malformed. It calls yielded once: at the first message, which confirms that
// the predecessor accepts no more clients, or after stepTimeout without a message, or when Follow ends. It calls
// progress for each message, and once more with ended set.
func (p *Predecessor) Follow(yielded func(), progress func(report Progress, ended bool)) {
	defer func() { _ = p.conn.Close() }() // fails if Close was called
	yielded = sync.OnceFunc(yielded)
	defer yielded()
	if _, err := p.conn.Write([]byte{readyByte}); err != nil {
		slog.Warn("hot restart: failed to notify the predecessor that this process serves", "error", err)
	}
	close(p.notified)
	confirmTimer := time.AfterFunc(stepTimeout, func() {
		slog.Warn("hot restart: the predecessor has not confirmed that it stopped accepting clients", "after", stepTimeout)
		yielded()
	})
	defer confirmTimer.Stop()
	for {
		var message State
		if err := p.messages.Decode(&message); err != nil { // usually the predecessor has ended; see above for other causes
			slog.Info("hot restart: the predecessor has ended")
			progress(Progress{}, true)
			return
		}
		if confirmTimer.Stop() {
			yielded()
		}
		progress(Progress{Sockets: message.Sockets, Memory: message.Memory, InFlight: message.InFlight,
			Executed: message.Executed}, false)
	}
}
