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

// At the limit, the connection that has been idle or silent for longest is evicted. A connection in use, or one that has
// been quiet only for a moment, is not evicted.
func TestQuietConnectionsAreEvicted(t *testing.T) {
	now := time.Now()
	at := func(ago time.Duration, state http.ConnState) *trackedConn {
		return &trackedConn{state: state, since: now.Add(-ago)}
	}
	for name, tc := range map[string]struct {
		open        []*trackedConn
		wantEvicted int // index in open of the connection to evict; -1 for none
	}{
		"longest":           {[]*trackedConn{at(3*time.Second, http.StateIdle), at(4*time.Second, http.StateIdle)}, 1},
		"silent":            {[]*trackedConn{at(time.Second, http.StateIdle), at(time.Second, http.StateNew)}, 1},
		"in use":            {[]*trackedConn{at(time.Minute, http.StateActive), at(time.Second, http.StateNew)}, 1},
		"all in use":        {[]*trackedConn{at(time.Minute, http.StateActive), at(time.Minute, http.StateActive)}, -1},
		"for a moment only": {[]*trackedConn{at(time.Second, http.StateIdle), at(time.Millisecond, http.StateNew)}, -1},
	} {
		cc := NewClientConns(func() int { return len(tc.open) }, func(int) {}, func() {})
		var opened []net.Conn
		for _, tracked := range tc.open {
			conn, client := net.Pipe()
			nodetest.CloseOnCleanup(t, conn, client)
			cc.conns[conn] = tracked
			opened = append(opened, conn)
		}
		next, nextClient := net.Pipe()
		nodetest.CloseOnCleanup(t, next, nextClient)
		if over := cc.add(next).overLimit; over != (tc.wantEvicted < 0) {
			t.Errorf("%s: new connection over the limit: got %v, want the opposite", name, over)
		}
		for i, c := range opened {
			if cc.conns[c].evicted != (i == tc.wantEvicted) {
				t.Errorf("%s: connection %d evicted: got %v, want the opposite", name, i, cc.conns[c].evicted)
			}
		}
		if tc.wantEvicted >= 0 {
			if _, err := opened[tc.wantEvicted].Read(make([]byte, 1)); err == nil {
				t.Errorf("%s: read of the evicted connection succeeded, want an error", name)
			}
		}
	}
}

// A connection that becomes idle only after closeIdle, because its response was still being written, ends as well.
func TestConnectionIdleAfterCloseIdleEnds(t *testing.T) {
	t.Parallel()
	ln := nodetest.Listener(t)
	client := nodetest.Dial(t, ln.Addr().String())
	nodetest.CloseOnCleanup(t, client)
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseOnCleanup(t, conn)
	cc := NewClientConns(func() int { return 10 }, func(int) {}, func() {})
	tracked := cc.add(conn)
	cc.setState(tracked, http.StateActive)
	cc.closeIdle()
	_ = conn.SetReadDeadline(time.Now().Add(nodetest.Timeout))
	cc.setState(tracked, http.StateIdle) // as the server does after the response
	start := time.Now()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) > nodetest.Timeout/2 {
		t.Errorf("read of the idle connection: returned after %v with error %v, want a deadline error at once", time.Since(start), err)
	}
}
