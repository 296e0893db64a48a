package registry

import (
	"bytes"
	"log/slog"
	"sync"
	"time"
)

const (
	notifyDelay     = 20 * time.Millisecond // after a change, so that watches wake once for several changes
	maxEncodedLists = 256                   // bounded because callers choose the revisions
)

// watchableStore guards a Store and notifies watches of its changes. Raft's goroutine applies commands, and HTTP
// handlers read. Its methods block only for the lock.
type watchableStore struct {
	mu            sync.Mutex
	store         *Store
	changed       chan struct{}    // closed at the next notification
	scoped        watcherGroup     // watches of scoped lists
	notification  *time.Timer      // timer of the pending notification; nil if there is none
	encoded       map[int64][]byte // encoded lists by the revision since which they hold changes; negative for the full list
	onIndexChange func(appliedIndex uint64)
}

// newWatchableStore returns an empty store. onIndexChange is called with the lock held, after each command and each
// replacement of the store. It must not call the store.
func newWatchableStore(onIndexChange func(appliedIndex uint64)) *watchableStore {
	return &watchableStore{store: NewStore(), changed: make(chan struct{}), encoded: make(map[int64][]byte),
		onIndexChange: onIndexChange}
}

// view calls do with the store. do must not retain the store.
func (w *watchableStore) view(do func(*Store)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do(w.store)
}

// apply carries out the command at an index of the raft log.
func (w *watchableStore) apply(c Command, index uint64) Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision, suspended := w.store.revision, w.store.leases.suspended
	result := w.store.Apply(c)
	w.store.appliedIndex = index
	w.onIndexChange(index)
	if w.store.leases.suspended && !suspended {
		slog.Error("registry: lease expiry suspended, too many leases expire at once", "instances", len(w.store.instances))
	}
	if w.store.revision != revision {
		w.markChangedSince(revision)
		w.scheduleNotification()
	}
	return result
}

// markChangedSince marks the scoped watches that the changes after a revision affect. The caller holds the lock.
func (w *watchableStore) markChangedSince(revision int64) {
	if revision < w.store.history.compactedRevision { // a new epoch, or more changes than the history holds
		w.scoped.markAllChanged()
		return
	}
	w.scoped.markChanged(w.store.history.since(revision))
}

// replace replaces the store.
func (w *watchableStore) replace(store *Store) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store = store
	w.onIndexChange(store.appliedIndex)
	w.scoped.markAllChanged()
	w.scheduleNotification()
}

// scheduleNotification drops the encoded lists, and wakes the watches after notifyDelay. The caller holds the lock.
func (w *watchableStore) scheduleNotification() {
	clear(w.encoded)
	if w.notification == nil {
		w.notification = time.AfterFunc(notifyDelay, w.notify)
	}
}

func (w *watchableStore) notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notification = nil
	close(w.changed)
	w.changed = make(chan struct{})
	w.scoped.notify()
}

// close cancels a pending notification. Raft must be shut down already, so that no further notification
// is scheduled.
func (w *watchableStore) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.notification != nil {
		w.notification.Stop()
	}
}

// nextChange returns a channel that is closed at the next notification.
func (w *watchableStore) nextChange() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// watchServices returns a channel that gets a value after changes of one of the services, until cancel is called. One
// value may stand for several changes.
func (w *watchableStore) watchServices(services []string) (changes <-chan struct{}, cancel func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	added := w.scoped.add(services)
	return added.notify, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.scoped.remove(added)
	}
}

// encodedList returns the encoded list since a revision, and the epoch. The list is encoded once for all callers, unless
// maxEncodedLists others are cached. If nothing changed after that revision, and evenIfUnchanged is not set, raw is nil.
func (w *watchableStore) encodedList(since int64, evenIfUnchanged bool) (raw []byte, epoch int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if since == w.store.revision && !evenIfUnchanged {
		return nil, 0
	}
	raw, ok := w.encoded[since]
	if !ok {
		raw = mustMarshalJSON(w.listSince(since))
		if len(w.encoded) < maxEncodedLists {
			w.encoded[since] = raw
		}
	}
	return raw, w.store.Epoch()
}

func (w *watchableStore) listSince(since int64) EndpointList {
	if since < 0 {
		return w.store.FullList()
	}
	list, _ := w.store.ChangesSince(since)
	return list
}

// scopedView returns the input of a scoped list since a revision. The list is then computed without the lock.
func (w *watchableStore) scopedView(scope *Scope, since int64) (*scopedView, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.store.newScopedView(scope, since)
}

// snapshot returns a snapshot in the format of WriteSnapshot.
func (w *watchableStore) snapshot() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b bytes.Buffer
	err := w.store.WriteSnapshot(&b)
	return b.Bytes(), err
}
