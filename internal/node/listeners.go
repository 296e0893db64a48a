package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"

	"sloerail/internal/node/hotrestart"

	"sloerail/internal/node/config"
)

// Listeners holds a process's listening sockets and the predecessor that it takes over from.
type Listeners struct {
	Clients     net.Listener
	Control     net.Listener            // of the admin server; nil if there is none
	predecessor *hotrestart.Predecessor // nil if there is none
}

// Listen opens the node's listeners. If another process of the node runs and hands over, its listener for clients is
// taken over. Otherwise Listen opens a new one.
func Listen(ctx context.Context, c config.Config) (Listeners, error) {
	var listeners Listeners
	var err error
	if identityOf(c).SocketPath() != "" {
		listeners.predecessor, err = hotrestart.TakeOver(identityOf(c))
		switch {
		case err == nil:
			listeners.Clients = listeners.predecessor.Clients
			slog.Info("hot restart: taking over", "servers", len(listeners.predecessor.State.Endpoints),
				"sockets", listeners.predecessor.State.Sockets)
		case !errors.Is(err, os.ErrNotExist):
			slog.Warn("hot restart: no hand-over, starting without former state", "error", err)
		}
	} else if c.SharedDir == "" {
		slog.Info("hot restart: TMPDIR is not set, this process can't hand over")
	}
	if listeners.Clients == nil {
		if listeners.Clients, err = listenShared(ctx, c.Listen); err != nil {
			return listeners, fmt.Errorf("listen: %w", err)
		}
	}
	if c.Control != "" {
		if listeners.Control, err = new(net.ListenConfig).Listen(ctx, "tcp", c.Control); err != nil {
			return listeners, errors.Join(fmt.Errorf("control: %w", err), listeners.close())
		}
	}
	return listeners, nil
}

func (l Listeners) close() error {
	err := l.Clients.Close()
	if l.predecessor != nil {
		err = errors.Join(err, l.predecessor.Close())
	}
	return err
}

// listenShared listens at addr with SO_REUSEPORT, so that another process of the node can listen there too.
func listenShared(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			if err != nil {
				slog.Warn("hot restart: the clients' address can't be shared", "error", err)
			}
		})
	}}
	return lc.Listen(ctx, "tcp", addr)
}

// identityOf returns the identity of the node that this process belongs to.
func identityOf(c config.Config) hotrestart.Identity {
	return hotrestart.Identity{Name: c.Name, Address: c.Listen, Dir: c.SharedDir}
}
