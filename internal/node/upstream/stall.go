package upstream

import (
	"sync"
	"time"
)

// stallTimeout is how long a server may take to read the next part of a request body, or to send the next part of a
// response body.
const stallTimeout = 5 * time.Second

// stallWatch tells when a server has made no progress for stallTimeout. Its time runs while the node waits for the server to
// read or to send, and starts anew whenever such a wait ends: a server that still reads the request owes nothing more of the
// response. It doesn't run while the node waits for the client's next bytes.
// Its methods may be called from any goroutine and don't block.
type stallWatch struct {
	mu          sync.Mutex
	timer       *time.Timer // nil until the first wait
	serverWaits int         // reads and writes that wait for the server
	clientWait  bool        // the node waits for more of the request
	ended       bool
}

// beginServerWait is called before a read or a write that may wait for the server, and endServerWait after it. A stall cancels
// attempt, whose watch this is.
func (w *stallWatch) beginServerWait(attempt *Lifetime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serverWaits++
	if w.timer == nil && !w.ended {
		w.timer = time.AfterFunc(stallTimeout, func() { attempt.cancelWith(errAttemptTimeout) })
	}
	w.restartLocked()
}

func (w *stallWatch) endServerWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serverWaits--
	w.restartLocked()
}

// setClientWait says whether the node waits for the client's next bytes.
func (w *stallWatch) setClientWait(waits bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clientWait = waits
	w.restartLocked()
}

// end ends the watch for good.
func (w *stallWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.restartLocked()
}

// restartLocked starts the time anew, or stops it if nobody waits for the server. w.mu is held.
func (w *stallWatch) restartLocked() {
	switch {
	case w.timer == nil:
	case w.serverWaits > 0 && !w.clientWait && !w.ended:
		w.timer.Reset(stallTimeout)
	default:
		w.timer.Stop()
	}
}
