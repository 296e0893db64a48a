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
	// socketPrefix is the prefix of the socket's name in $TMPDIR, where successors connect. It is the program's former
	// name and must not change, because processes of other versions use it too.
	socketPrefix = "wayhold-"
	socketSuffix = ".sock"
	socketMode   = 0o600
)

// Identity identifies the node that a process belongs to.
type Identity struct {
	Name    string
	Address string // host:port of the clients' listener
	Dir     string // folder that all processes of the node share; empty for none
}

// SocketPath returns the path of the Unix socket where the serving process awaits its successor. All versions use the
// same path. It is empty if the node can't be handed over, because it has no folder or no fixed port.
func (id Identity) SocketPath() string {
	if _, port, err := net.SplitHostPort(id.Address); err != nil || port == "0" || id.Dir == "" {
		return ""
	}
	return filepath.Join(id.Dir, socketPrefix+strings.ReplaceAll(id.Address, ":", "-")+socketSuffix)
}

// unixAddr returns the address of the Unix socket at path. If path is too long for an address, the address refers to the
// folder by its descriptor, which stays open until done is called.
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

// listenForSuccessor creates the socket where a successor connects. The socket is created at a temporary path and then
// renamed, so that the predecessor's socket stays in place until the new one exists.
func listenForSuccessor(path string) (*net.UnixListener, error) {
	tempPath := path + "." + strconv.Itoa(os.Getpid())
	addr, done, err := unixAddr(tempPath)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(tempPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Join(err, done())
	}
	listener, err := net.ListenUnix("unix", addr)
	if err != nil {
		return nil, errors.Join(err, done())
	}
	listener.SetUnlinkOnClose(false) // when it closes, a successor's socket may be at the path
	err = done()
	if err == nil {
		err = os.Chmod(tempPath, socketMode)
	}
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}
