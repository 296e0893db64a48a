package downstream

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"sloerail/internal/node/nodetest"
)

// At the limit, the connection that was without a request for longest makes room; one in use, or
// quiet only for a moment, does not.
func TestQuietConnectionsAreEvicted(t *testing.T) {
	now := time.Now()
	at := func(ago time.Duration, state http.ConnState) *trackedConn {
		return &trackedConn{state: state, since: now.Add(-ago)}
	}
	for name, c := range map[string]struct {
		open []*trackedConn
		shed int // the one that ends; -1 for none
	}{
		"longest":           {[]*trackedConn{at(3*time.Second, http.StateIdle), at(4*time.Second, http.StateIdle)}, 1},
		"silent":            {[]*trackedConn{at(time.Second, http.StateIdle), at(time.Second, http.StateNew)}, 1},
		"in use":            {[]*trackedConn{at(time.Minute, http.StateActive), at(time.Second, http.StateNew)}, 1},
		"all in use":        {[]*trackedConn{at(time.Minute, http.StateActive), at(time.Minute, http.StateActive)}, -1},
		"for a moment only": {[]*trackedConn{at(time.Second, http.StateIdle), at(time.Millisecond, http.StateNew)}, -1},
	} {
		s := NewClientConns(func() int { return len(c.open) }, func(int) {}, func() {})
		var ends []net.Conn
		for _, p := range c.open {
			mine, theirs := net.Pipe()
			nodetest.CloseAtEnd(t, mine, theirs)
			s.conns[mine] = p
			ends = append(ends, mine)
		}
		next, far := net.Pipe()
		nodetest.CloseAtEnd(t, next, far)
		if over := s.add(next).overLimit; over != (c.shed < 0) {
			t.Errorf("%s: the next is over the limit: %v", name, over)
		}
		for i, end := range ends {
			if s.conns[end].evicted != (i == c.shed) {
				t.Errorf("%s: connection %d made room: %v", name, i, s.conns[end].evicted)
			}
		}
		if c.shed >= 0 {
			if _, err := ends[c.shed].Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: the one that made room can still be read", name)
			}
		}
	}
}

// A connection whose response crosses the node's end is not forgotten: it ends as well.
func TestConnectionIdleJustAfterCloseIdleIsWoken(t *testing.T) {
	t.Parallel()
	ln := nodetest.Listener(t)
	client := nodetest.Dial(t, ln.Addr().String())
	nodetest.CloseAtEnd(t, client)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseAtEnd(t, conn)
	all := NewClientConns(func() int { return 10 }, func(int) {}, func() {})
	p := all.add(conn)
	all.setState(p, http.StateActive)
	all.closeIdle()
	_ = conn.SetReadDeadline(time.Now().Add(nodetest.Timeout))
	all.setState(p, http.StateIdle) // its response is written
	began := time.Now()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) > nodetest.Timeout/2 {
		t.Errorf("read for %v: %v", time.Since(began), err)
	}
}
