package downstream

import (
	"net"
	"testing"

	"sloerail/internal/node/memory"
	"sloerail/internal/node/nodetest"
)

// noRules is a Handler for connections whose requests are never read.
type noRules struct{ Handler }

func (noRules) RequestRules() RequestRules { return nil }

// Guards against memory that stays counted after each look at a connection whose client sends nothing more.
func TestReadAheadCountsOnlyWhatIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nodetest.CloseOnCleanup(t, l, client, accepted)
	s := NewServer(noRules{}, NewClientConns(func() int { return 1 }, func(int) {}, func() {}))
	s.Memory = new(memory.Budget)
	s.Memory.SetLimit(1 << 20)
	c := s.newClientConn(accepted)
	c.allowReadAhead()
	looks := func(want int64) {
		t.Helper()
		for range 100 {
			if c.hasDisconnected() {
				t.Fatal("a client that stays counts as disconnected")
			}
		}
		if got := s.Memory.Held(); got != want {
			t.Errorf("bytes counted after 100 looks: got %d, want %d", got, want)
		}
	}
	looks(connectionBytes)
	if _, err := client.Write([]byte("GET /api HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	nodetest.Await(t, "the bytes to be read ahead", func() bool { return !c.hasDisconnected() && c.hasReadAhead() })
	looks(connectionBytes + readAheadBytes)
	c.takeReadAhead(make([]byte, readAheadBytes))
	looks(connectionBytes)
}
