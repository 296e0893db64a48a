package registry

import (
	"errors"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"
)

// fsm is the store as raft drives it: raft calls one method at a time, from its own goroutine.
type fsm struct{ store *watchableStore }

// Apply carries out a committed command, and returns its Result.
func (f fsm) Apply(entry *raft.Log) any {
	c, err := decodeCommand(entry.Data)
	if err != nil {
		slog.Error("registry: unreadable command skipped", "index", entry.Index, "error", err)
		return Result{Code: ResultUnknownCommand}
	}
	return f.store.apply(c, entry.Index)
}

// Snapshot returns an image of the store for raft to write.
func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := f.store.snapshot()
	return encodedSnapshot(raw), err
}

// Restore replaces the store by a snapshot.
func (f fsm) Restore(from io.ReadCloser) error {
	store, err := ReadSnapshot(from)
	if err := errors.Join(err, from.Close()); err != nil {
		return err
	}
	f.store.replace(store)
	return nil
}

// encodedSnapshot is a snapshot in memory.
type encodedSnapshot []byte

// Persist writes the snapshot to raft's file.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release has nothing to free.
func (s encodedSnapshot) Release() {}
