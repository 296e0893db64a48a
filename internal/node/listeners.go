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

// Listeners are where a node is reached, and the process that it takes over from.
type Listeners struct {
	Clients     net.Listener
	Control     net.Listener            // the operators'; nil for none
	predecessor *hotrestart.Predecessor // nil where there was no such process
}

// Listen makes the node's listeners. The clients' comes from the process that serves there now, where one does and
// hands over; else it is an ordinary one.
func Listen(ctx context.Context, c config.Config) (Listeners, error) {
	var at Listeners
	var err error
	if identityOf(c).SocketPath() != "" {
		at.predecessor, err = hotrestart.TakeOver(identityOf(c))
		switch {
		case err == nil:
			at.Clients = at.predecessor.Clients
			slog.Info("hot restart: taking over", "servers", len(at.predecessor.State.Endpoints), "sockets", at.predecessor.State.Sockets)
		case !errors.Is(err, os.ErrNotExist):
			slog.Warn("hot restart: no hand-over, starting without former state", "error", err)
		}
	} else if c.SharedDir == "" {
		slog.Info("hot restart: TMPDIR is not set, this process can't hand over")
	}
	if at.Clients == nil {
		if at.Clients, err = listenShared(ctx, c.Listen); err != nil {
			return at, fmt.Errorf("listen: %w", err)
		}
	}
	if c.Control != "" {
		if at.Control, err = new(net.ListenConfig).Listen(ctx, "tcp", c.Control); err != nil {
			return at, errors.Join(fmt.Errorf("control: %w", err), at.close())
		}
	}
	return at, nil
}

func (at Listeners) close() error {
	err := at.Clients.Close()
	if at.predecessor != nil {
		err = errors.Join(err, at.predecessor.Close())
	}
	return err
}

// listenShared listens where another process of this node may listen too.
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

// identityOf says which node this process is one of.
func identityOf(c config.Config) hotrestart.Identity {
	return hotrestart.Identity{Name: c.Name, Address: c.Listen, Dir: c.SharedDir}
}
