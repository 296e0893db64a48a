package membership

import (
	"sync"
	"time"
)

const (
	lossSampleWeight = 1.0 / 16              // weight of one probe; the rate averages about 16 probes
	highLossRate     = 0.05                  // fraction of lost direct probes above which datagrams are duplicated
	duplicateDelay   = 10 * time.Millisecond // between the copies, because losses come in bursts
)

// probeLoss estimates the fraction of this node's direct probes that go unanswered. It also sends the transport's
// datagrams, each of them twice while the estimate is high. More datagrams must then be lost before a probe fails, or before
// a refutation arrives too late, after the suspicion has timed out. The methods may be called from any goroutine.
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

// send writes a datagram and, while the loss is high, a copy of it after duplicateDelay. The second write may happen up
// to duplicateDelay after the transport's shutdown, so write must tolerate a closed socket.
func (l *probeLoss) send(datagram []byte, write func([]byte)) {
	write(datagram)
	if l.isHigh() {
		duplicate := append([]byte(nil), datagram...)
		time.AfterFunc(duplicateDelay, func() { write(duplicate) })
	}
}
