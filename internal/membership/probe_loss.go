package membership

import (
	"sync"
	"time"
)

const (
	lossSampleWeight = 1.0 / 16              // of one probe in the rate, which so averages over some 16
	highLossRate     = 0.05                  // of direct probes; above it datagrams are duplicated
	duplicateDelay   = 10 * time.Millisecond // apart, because losses come in bursts
)

// probeLoss estimates the fraction of this node's direct probes that go unanswered, and sends the datagrams of the
// transport, for the one depends on the other alone. While the loss is high, each datagram is sent twice: a failed probe then takes more losses at once, and a refutation arrives before its suspicion's
// timeout. Its methods may be called from any goroutine.
type probeLoss struct {
	mu   sync.Mutex
	rate float64 // moving average of lost (1) and answered (0) probes
}

func (l *probeLoss) recordProbe(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate -= lossSampleWeight * l.rate
	if !answered {
		l.rate += lossSampleWeight
	}
}

func (l *probeLoss) isHigh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate > highLossRate
}

// send writes a datagram, and a copy of it after duplicateDelay while the loss is high. That second write may come
// up to duplicateDelay after the transport's shutdown, so write must bear a closed socket.
func (l *probeLoss) send(datagram []byte, write func([]byte)) {
	write(datagram)
	if l.isHigh() {
		duplicate := append([]byte(nil), datagram...)
		time.AfterFunc(duplicateDelay, func() { write(duplicate) })
	}
}
