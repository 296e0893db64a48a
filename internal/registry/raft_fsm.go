package registry

import (
	"errors"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"
)

// fsm implements raft.FSM for the store. Raft calls one method at a time, from its own goroutine.
type fsm struct{ store *watchableStore }

// Apply carries out a committed command and returns its Result.
func (f fsm) Apply(entry *raft.Log) any {
	c, err := decodeCommand(entry.Data)
	if err != nil {
		slog.Error("registry: skipped a command that can't be decoded", "index", entry.Index, "error", err)
		return Result{Code: ResultUnknownCommand}
	}
	return f.store.apply(c, entry.Index)
}

// Snapshot returns a snapshot of the store for raft to write.
func (f fsm) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := f.store.snapshot()
	return encodedSnapshot(raw), err
}

// Restore replaces the store with a snapshot.
func (f fsm) Restore(from io.ReadCloser) error {
	store, err := ReadSnapshot(from)
	if err := errors.Join(err, from.Close()); err != nil {
		return err
	}
	f.store.replace(store)
	return nil
}

// encodedSnapshot is an encoded snapshot in memory.
type encodedSnapshot []byte

// Persist writes the snapshot to raft's file.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: there is nothing to free.
func (s encodedSnapshot) Release() {}
