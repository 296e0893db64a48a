// Package memory counts the bytes that a node holds for its clients against a limit: connections, heads, bodies and
// responses. Whoever needs more asks first, and sheds load if the answer is no.
package memory

import (
	"sync"
	"sync/atomic"
)

// Priority is the importance of bytes. The less important they are, the sooner a Budget denies them.
type Priority int

// Values of Priority.
const (
	// ReadAhead is for bytes that could as well stay with the peer for now.
	ReadAhead Priority = iota
	// Admission is for new requests. A denied one is rejected.
	Admission
	// Ongoing is for requests that were admitted.
	Ongoing
)

// limitPercent is the part of the limit that bytes of each priority may fill, together with all others.
var limitPercent = [...]int64{ReadAhead: 50, Admission: 80, Ongoing: 100}

// Budget is a limit and the bytes that are held under it.
// All methods may be called from any goroutine and don't block.
type Budget struct{ limit, held atomic.Int64 }

// SetLimit sets how many bytes may be held. Bytes already held over the new limit stay.
func (b *Budget) SetLimit(bytes int64) { b.limit.Store(bytes) }

// Limit returns how many bytes may be held.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Held returns how many bytes are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// take holds n more bytes if their priority permits it.
func (b *Budget) take(n int64, p Priority) bool {
	if b.held.Add(n) <= b.limit.Load()*limitPercent[p]/100 {
		return true
	}
	b.held.Add(-n)
	return false
}

// Add holds n more bytes even over the limit; n is negative when bytes are freed.
func (b *Budget) Add(n int64) {
	b.held.Add(n)
}

// Reservation is the bytes that one request holds under a Budget. It has owners, and the last one that releases it frees
// the bytes. The methods of a nil Reservation do nothing. All methods may be called from any goroutine.
type Reservation struct {
	budget *Budget

	mu     sync.Mutex
	bytes  int64
	owners int
}

// NewReservation returns a Reservation with one owner that holds nothing yet. It returns nil for a nil Budget.
func (b *Budget) NewReservation() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, owners: 1}
}

// AddOwner adds an owner, who must call Release.
func (r *Reservation) AddOwner() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners++
}

// Release ends one owner's use. If that was the last owner, it frees the bytes, and no more can be taken.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners--; r.owners == 0 {
		r.budget.Add(-r.bytes)
		r.bytes = 0
	}
}

// Take holds n more bytes if their priority permits it, and reports whether it did.
func (r *Reservation) Take(n int, p Priority) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners <= 0 || !r.budget.take(int64(n), p) {
		return false
	}
	r.bytes += int64(n)
	return true
}

// Add holds n more bytes even over the limit.
func (r *Reservation) Add(n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners > 0 {
		r.bytes += int64(n)
		r.budget.Add(int64(n))
	}
}

// Return frees n of the bytes.
func (r *Reservation) Return(n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.owners > 0 {
		r.bytes -= int64(n)
		r.budget.Add(-int64(n))
	}
}
