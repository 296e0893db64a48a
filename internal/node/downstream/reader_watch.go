package downstream

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// readerWatch bounds the writes to a client that reads nothing. A write may take any time as long as the client's machine takes
// some bytes in each period: one that reads slowly is not cut off.
// Its methods may be called from any goroutine and don't block.
type readerWatch struct {
	conn   net.Conn
	period time.Duration

	mu      sync.Mutex
	timer   *time.Timer // nil until the first write
	acked   uint64      // bytes that the client's machine had taken when the period began
	writing bool
}

// begin is called before a write, and end after it.
func (w *readerWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acked, w.writing = ackedBytes(w.conn), true
	if w.timer == nil {
		w.timer = time.AfterFunc(w.period, w.check)
	} else {
		w.timer.Reset(w.period)
	}
}

func (w *readerWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	w.timer.Stop()
}

// check ends the write in progress if the client's machine has taken nothing in this period, and begins the next one otherwise.
func (w *readerWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	acked := ackedBytes(w.conn)
	switch {
	case !w.writing:
	case acked > w.acked:
		w.acked = acked
		w.timer.Reset(w.period)
	default:
		_ = w.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where the write fails too
	}
}

// ackedBytes returns how many bytes the peer's machine has taken over the connection's life; 0 if that can't be told.
func ackedBytes(c net.Conn) (n uint64) {
	socket := tcpConn(c)
	if socket == nil {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_acked
		}
	})
	if err != nil {
		return 0
	}
	return n
}
