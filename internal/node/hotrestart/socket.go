package hotrestart

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

const (
	// socketPrefix begins the name of the socket, in $TMPDIR, at which a successor calls: the program's former name.
	// The process at the other end may be of another version, which looks there, so it stays as it is.
	socketPrefix = "wayhold-"
	socketSuffix = ".sock"
	socketMode   = 0o600
)

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

// listenForSuccessor makes the socket at which a successor calls. It takes the former one's place only once it is
// there.
func listenForSuccessor(path string) (*net.UnixListener, error) {
	temporary := path + "." + strconv.Itoa(os.Getpid())
	addr, done, err := unixAddr(temporary)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Join(err, done())
	}
	listener, err := net.ListenUnix("unix", addr)
	if err != nil {
		return nil, errors.Join(err, done())
	}
	listener.SetUnlinkOnClose(false) // by then the path may be a successor's
	err = done()
	if err == nil {
		err = os.Chmod(temporary, socketMode)
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}
