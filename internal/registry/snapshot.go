package registry

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A snapshot is a mark, a version, the length and hash of what follows, and the image in CBOR. Whatever doesn't
// fit is no snapshot: a list is never made of half a file.
var snapshotMark = []byte("sloerail list\x00")

const (
	snapshotVersion = 1
	snapshotMost    = 64 << 20 // bytes
)

// decoder reads images: the library's own bound on a map's pairs is below that on instances.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxMapPairs: maxInstances}.DecMode()
	if err != nil { // the options are constant
		panic(err)
	}
	return mode
}()

// WriteSnapshot writes the state so that Read reads it.
func (s *Store) WriteSnapshot(w io.Writer) error {
	raw, err := cbor.Marshal(s.snapshotImage)
	if err != nil {
		return err
	}
	if _, err := w.Write(head(raw)); err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}

// head is what stands before an encoded image.
func head(raw []byte) []byte {
	head := bytes.Clone(snapshotMark)
	head = append(head, snapshotVersion)
	head = binary.BigEndian.AppendUint64(head, uint64(len(raw)))
	return binary.BigEndian.AppendUint64(head, xxhash.Sum64(raw))
}

// ReadSnapshot reads a state as Write wrote it.
func ReadSnapshot(r io.Reader) (*Store, error) {
	head := make([]byte, len(snapshotMark)+17)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, fmt.Errorf("snapshot: cut in its head: %w", err)
	}
	rest, ok := bytes.CutPrefix(head, snapshotMark)
	if !ok {
		return nil, errors.New("snapshot: byte 0: this is no list")
	}
	if rest[0] != snapshotVersion {
		return nil, fmt.Errorf("snapshot: version %d, and this program reads %d", rest[0], snapshotVersion)
	}
	size, sum := binary.BigEndian.Uint64(rest[1:]), binary.BigEndian.Uint64(rest[9:])
	if size > snapshotMost {
		return nil, fmt.Errorf("snapshot: byte %d: a length of %d", len(snapshotMark)+1, size)
	}
	raw := make([]byte, size)
	if n, err := io.ReadFull(r, raw); err != nil {
		return nil, fmt.Errorf("snapshot: cut at byte %d of %d", len(head)+n, len(head)+int(size))
	}
	if xxhash.Sum64(raw) != sum {
		return nil, fmt.Errorf("snapshot: bytes %d to %d: the hash doesn't fit", len(head), len(head)+int(size))
	}
	s := NewStore()
	if err := decoder.Unmarshal(raw, &s.snapshotImage); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Instances == nil {
		s.Instances = make(map[string]Instance)
	}
	services, err := newServices(s.snapshotImage)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s.services = services
	if s.ReplicaAddresses == nil {
		s.ReplicaAddresses = make(map[string]string)
	}
	for _, a := range s.Responses {
		s.answers[a.RequestID] = a.Result
	}
	return s, nil
}
