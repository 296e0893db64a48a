package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const logFileName = "commands.db"

// checksummedLog stores a checksum with each entry of the raft log, so that an entry that changed on disk is reported
// and never applied.
type checksummedLog struct {
	*raftboltdb.BoltStore
	path string
}

// openLog opens the log in a data directory and verifies all of its entries.
func openLog(dataDir string) (*checksummedLog, error) {
	path := filepath.Join(dataDir, logFileName)
	store, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	log := &checksummedLog{BoltStore: store, path: path}
	if err := log.verify(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return log, nil
}

// checksum covers the index, term, type and data of an entry. The entry's Extensions hold the checksum.
func checksum(entry *raft.Log) []byte {
	const prefixBytes = 8 + 8 + 1 // index, term, type
	covered := make([]byte, 0, prefixBytes+len(entry.Data))
	covered = binary.BigEndian.AppendUint64(covered, entry.Index)
	covered = binary.BigEndian.AppendUint64(covered, entry.Term)
	covered = append(covered, byte(entry.Type))
	covered = append(covered, entry.Data...)
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(covered))
}

// StoreLog stores one entry.
func (l *checksummedLog) StoreLog(entry *raft.Log) error { return l.StoreLogs([]*raft.Log{entry}) }

// StoreLogs stores entries, each with its checksum.
func (l *checksummedLog) StoreLogs(entries []*raft.Log) error {
	for _, entry := range entries {
		entry.Extensions = checksum(entry)
	}
	return l.BoltStore.StoreLogs(entries)
}

// GetLog reads an entry. The error is ErrCorrupt if the entry changed since it was stored.
func (l *checksummedLog) GetLog(index uint64, entry *raft.Log) error {
	if err := l.BoltStore.GetLog(index, entry); err != nil {
		return err
	}
	if !bytes.Equal(entry.Extensions, checksum(entry)) {
		return fmt.Errorf("%s: command %d: %w: checksum mismatch", l.path, index, ErrCorrupt)
	}
	return nil
}

// verify reads all entries and returns an error if one is missing or corrupt.
func (l *checksummedLog) verify() error {
	first, err := l.FirstIndex()
	if err != nil {
		return fmt.Errorf("%s: %w", l.path, err)
	}
	last, err := l.LastIndex()
	if err != nil {
		return fmt.Errorf("%s: %w", l.path, err)
	}
	for index := first; index <= last && index > 0; index++ {
		var entry raft.Log
		err := l.GetLog(index, &entry)
		if errors.Is(err, raft.ErrLogNotFound) {
			return fmt.Errorf("%s: command %d: %w: missing in the range %d to %d", l.path, index, ErrCorrupt, first, last)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
