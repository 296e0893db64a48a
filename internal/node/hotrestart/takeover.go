package hotrestart

import (
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
	maxStateBytes = 16 << 20    // of all messages of a predecessor in sum, its progress included
	readyByte     = 'S'         // a successor writes it once it serves
)

// Errors of a hand-over that callers tell apart by errors.Is.
var (
	// ErrOtherNode is a process that serves another node, or speaks another version of the protocol.
	ErrOtherNode = errors.New("the process can't hand over to this one")
	// ErrListeningSocket is a message that does not bring exactly the clients' listening socket.
	ErrListeningSocket = errors.New("the listening socket")
)

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
