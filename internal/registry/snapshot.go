package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrCorrupt is returned for a snapshot or raft log entry that is missing, truncated, changed, of an unsupported version or
// not written by the registry.
var ErrCorrupt = errors.New("corrupt data")

// A snapshot consists of a magic string, a version, the length and the checksum of the image, and the image in CBOR. It
// is read as a whole or not at all.
const (
	snapshotMagic   = "sloerail list\x00"
	snapshotVersion = 1
	maxImageBytes   = 64 << 20
)

// Offsets in the header of a snapshot.
const (
	versionOffset  = len(snapshotMagic)
	lengthOffset   = versionOffset + 1
	checksumOffset = lengthOffset + 8
	headerBytes    = checksumOffset + 8
)

// snapshotImage is the stored form of a Store.
type snapshotImage struct {
	Revision          int64               `cbor:"1,keyasint"`
	Clock             time.Duration       `cbor:"2,keyasint"` // lease time
	Instances         map[string]Instance `cbor:"3,keyasint"`
	History           []change            `cbor:"4,keyasint"` // oldest first
	CompactedRevision int64               `cbor:"5,keyasint"`
	Responses         []cachedResponse    `cbor:"6,keyasint"` // oldest first
	ReplicaAddresses  map[string]string   `cbor:"7,keyasint"`
	RecentExpirations []time.Duration     `cbor:"8,keyasint"`
	ExpirySuspended   bool                `cbor:"9,keyasint"`
	AppliedIndex      uint64              `cbor:"10,keyasint"`
}

// imageDecoder decodes images. It raises the library's limit on the pairs of a map, because the default is below
// maxInstances.
var imageDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxMapPairs: maxInstances}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// image returns the stored form of the store. It shares the store's maps and slices.
func (s *Store) image() snapshotImage {
	return snapshotImage{
		Revision:          s.revision,
		Clock:             s.leases.now,
		Instances:         s.instances,
		History:           s.history.changes,
		CompactedRevision: s.history.compactedRevision,
		Responses:         s.responses.ordered,
		ReplicaAddresses:  s.replicaAddresses,
		RecentExpirations: s.leases.recentExpirations,
		ExpirySuspended:   s.leases.suspended,
		AppliedIndex:      s.appliedIndex,
	}
}

// storeFromImage returns the store for a stored form.
func storeFromImage(image snapshotImage) (*Store, error) {
	s := &Store{
		revision:         image.Revision,
		instances:        image.Instances,
		leases:           lessor{now: image.Clock, recentExpirations: image.RecentExpirations, suspended: image.ExpirySuspended},
		history:          history{changes: image.History, compactedRevision: image.CompactedRevision},
		responses:        newResponseCache(image.Responses),
		replicaAddresses: image.ReplicaAddresses,
		appliedIndex:     image.AppliedIndex,
	}
	if s.instances == nil {
		s.instances = make(map[string]Instance)
	}
	if s.replicaAddresses == nil {
		s.replicaAddresses = make(map[string]string)
	}
	var err error
	s.services, err = restoreServiceIndexes(s.instances, s.history)
	return s, err
}

// WriteSnapshot writes the store in the format that ReadSnapshot reads.
func (s *Store) WriteSnapshot(w io.Writer) error {
	raw, err := cbor.Marshal(s.image())
	if err != nil {
		return fmt.Errorf("snapshot: encode: %w", err)
	}
	if _, err := w.Write(snapshotHeader(raw)); err != nil {
		return fmt.Errorf("snapshot: write: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return fmt.Errorf("snapshot: write: %w", err)
	}
	return nil
}

// snapshotHeader returns the header for an encoded image.
func snapshotHeader(image []byte) []byte {
	header := append([]byte(snapshotMagic), snapshotVersion)
	header = binary.BigEndian.AppendUint64(header, uint64(len(image)))
	return binary.BigEndian.AppendUint64(header, xxhash.Sum64(image))
}

// ReadSnapshot reads a store that WriteSnapshot wrote. The error is ErrCorrupt for any other data, and if r fails.
func ReadSnapshot(r io.Reader) (*Store, error) {
	raw, err := readImage(r)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrCorrupt, err)
	}
	image := snapshotImage{Revision: 1 << epochShift, CompactedRevision: 1 << epochShift}
	if err := imageDecoder.Unmarshal(raw, &image); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrCorrupt, err)
	}
	s, err := storeFromImage(image)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrCorrupt, err)
	}
	return s, nil
}

// readImage reads an encoded image after checking its header.
func readImage(r io.Reader) ([]byte, error) {
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, fmt.Errorf("truncated in the header: %w", err)
	}
	if !bytes.HasPrefix(header, []byte(snapshotMagic)) {
		return nil, errors.New("byte 0: not a registry snapshot")
	}
	if version := header[versionOffset]; version != snapshotVersion {
		return nil, fmt.Errorf("unsupported version %d, want %d", version, snapshotVersion)
	}
	length := binary.BigEndian.Uint64(header[lengthOffset:])
	if length > maxImageBytes {
		return nil, fmt.Errorf("byte %d: image length is %d, want at most %d", lengthOffset, length, maxImageBytes)
	}
	raw, end := make([]byte, length), headerBytes+int(length)
	if n, err := io.ReadFull(r, raw); err != nil {
		return nil, fmt.Errorf("truncated at byte %d of %d: %w", headerBytes+n, end, err)
	}
	if xxhash.Sum64(raw) != binary.BigEndian.Uint64(header[checksumOffset:]) {
		return nil, fmt.Errorf("bytes %d to %d: checksum mismatch", headerBytes, end)
	}
	return raw, nil
}
