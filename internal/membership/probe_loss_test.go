package membership

import (
	"bytes"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestProbeLossIsHighAboveItsThreshold(t *testing.T) {
	for _, c := range []struct {
		name       string
		lossPeriod int // each lossPeriod-th probe is lost; 0 means no loss
		want       bool
	}{
		{"no loss", 0, false},
		{"1% loss", 100, false},
		{"20% loss", 5, true},
	} {
		var l probeLoss
		for i := range 1000 {
			l.recordProbe(c.lossPeriod == 0 || i%c.lossPeriod != 0)
		}
		if got := l.isHigh(); got != c.want {
			t.Errorf("%s: isHigh: got %v, want %v", c.name, got, c.want)
		}
	}
}

// While loss is high, a datagram is sent again after duplicateDelay, with its original content even if the caller reuses
// the buffer.
func TestDatagramsAreDuplicatedWhileLossIsHigh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l probeLoss
		var sent [][]byte
		var mu sync.Mutex
		write := func(b []byte) {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, bytes.Clone(b))
		}
		sentSoFar := func() [][]byte {
			mu.Lock()
			defer mu.Unlock()
			return slices.Clone(sent)
		}
		datagram := []byte("one")
		l.send(datagram, write)
		time.Sleep(2 * duplicateDelay)
		if sent := sentSoFar(); len(sent) != 1 {
			t.Fatalf("datagrams sent without loss: got %q, want one datagram", sent)
		}
		l.recordProbe(false)
		l.send(datagram, write)
		copy(datagram, "two")
		time.Sleep(2 * duplicateDelay)
		if sent := sentSoFar(); len(sent) != 3 || string(sent[2]) != "one" {
			t.Errorf("datagrams sent in total: got %q, want 3, the last with its original content", sent)
		}
	})
}
