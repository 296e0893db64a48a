package node

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sloerail/internal/node/downstream"
	"sloerail/policy"
)

// maxExecutedIDs is how many IDs an executedIDs remembers.
const maxExecutedIDs = 1 << 14

// executedIDs remembers the hashes of the last request IDs that a server may have run, so that the same request isn't run
// again when it comes again: on another connection of its client, or at the other process of a hot restart. The loop's
// goroutine uses it.
type executedIDs struct {
	known  map[uint64]struct{}
	ring   []uint64 // the known hashes
	oldest int      // index in ring, once it has maxExecutedIDs hashes
}

func (e *executedIDs) contains(hash uint64) bool {
	_, found := e.known[hash]
	return found
}

// add remembers hashes, and forgets the oldest ones beyond maxExecutedIDs.
func (e *executedIDs) add(hashes ...uint64) {
	if e.known == nil {
		e.known = make(map[uint64]struct{})
	}
	for _, hash := range hashes {
		if e.contains(hash) {
			continue
		}
		e.known[hash] = struct{}{}
		if len(e.ring) < maxExecutedIDs {
			e.ring = append(e.ring, hash)
			continue
		}
		delete(e.known, e.ring[e.oldest])
		e.ring[e.oldest] = hash
		e.oldest = (e.oldest + 1) % maxExecutedIDs
	}
}

// all returns the hashes, oldest first.
func (e *executedIDs) all() []uint64 { return slices.Concat(e.ring[e.oldest:], e.ring[:e.oldest]) }

// idOutbox holds hashes that are to be sent to the other process of a hot restart. Its methods may be called from any
// goroutine and don't block. A zero idOutbox has no other process.
type idOutbox struct {
	changed chan struct{} // with a buffer; receives a value when there are hashes

	mu     sync.Mutex
	open   bool
	hashes []uint64
}

// setOpen sets whether there is another process.
func (o *idOutbox) setOpen(open bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open = open
	o.hashes = nil
}

// add adds hashes if there is another process.
func (o *idOutbox) add(hashes ...uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open {
		return
	}
	o.hashes = append(o.hashes, hashes...)
	select {
	case o.changed <- struct{}{}:
	default: // one value is enough
	}
}

// take returns the hashes and removes them.
func (o *idOutbox) take() (hashes []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	hashes, o.hashes = o.hashes, nil
	return hashes
}

// idHashOf returns the hash of a request's ID. ok is false if the request may run any number of times.
func idHashOf(x *downstream.Exchange) (hash uint64, ok bool) {
	if class := x.Request.Accepted; class != nil && class.RetrySafety == policy.Idempotent {
		return 0, false
	}
	return xxhash.Sum64String(x.Request.ID), true
}

// ranBefore reports whether a server may have run a request with the same ID before, which must not run again.
func (l *loop) ranBefore(x *downstream.Exchange) bool {
	hash, ok := idHashOf(x)
	return ok && l.executed.contains(hash)
}

// shareOpenID tells the other process of a hot restart the ID of a new request, since it may run from now on.
func (l *loop) shareOpenID(x *downstream.Exchange) {
	if hash, ok := idHashOf(x); ok {
		l.toSuccessor.add(hash)
		l.toPredecessor.add(hash)
	}
}

// rememberExecuted remembers the ID of a request that a server may have run.
func (l *loop) rememberExecuted(r *request) {
	if hash, ok := idHashOf(r.Exchange); ok {
		l.executed.add(hash)
	}
}

// idsToHandOver returns the IDs that must not run at a successor: those that ran, and those of the open requests.
func (l *loop) idsToHandOver() []uint64 {
	all := l.executed.all()
	for _, r := range l.requests {
		if hash, ok := idHashOf(r.Exchange); ok {
			all = append(all, hash)
		}
	}
	return all
}
