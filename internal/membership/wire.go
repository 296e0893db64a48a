package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// The forms in this file are exchanged between nodes of different versions of this program. Golden files in
// testdata hold them.

const (
	metadataVersion = 1
	messageVersion  = 1
)

// metadata is what a node says of itself besides its name and address: one byte of version, then CBOR. Fields are
// only ever added.
type metadata struct {
	Zone        string `cbor:"1,keyasint,omitempty"`
	Version     string `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
}

func (m metadata) encode() []byte {
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("membership: encode metadata: %v", err)) // strings and numbers always encode
	}
	return append([]byte{metadataVersion}, raw...)
}

// encodeWithin leaves zone and version out if they don't fit into so many bytes.
func (m metadata) encodeWithin(maxBytes int) []byte {
	if raw := m.encode(); len(raw) <= maxBytes {
		return raw
	}
	m.Zone, m.Version = "", ""
	return m.encode()
}

var errNoMetadata = errors.New("member sent no metadata")

// versionError is the error for metadata of a version that this program doesn't know.
type versionError struct{ version byte }

func (e *versionError) Error() string {
	return fmt.Sprintf("metadata has version %d, want %d", e.version, metadataVersion)
}

// decodeMetadata returns errNoMetadata, a *versionError or an error of CBOR.
func decodeMetadata(raw []byte) (m metadata, err error) {
	if len(raw) == 0 {
		return m, errNoMetadata
	}
	if raw[0] != metadataVersion {
		return m, &versionError{raw[0]}
	}
	if err := cbor.Unmarshal(raw[1:], &m); err != nil {
		return m, fmt.Errorf("decode metadata: %w", err)
	}
	return m, nil
}

// memberOf maps memberlist's node and its metadata to a member, without the time since when.
func memberOf(n *memberlist.Node, m metadata, state State) Member {
	return Member{
		Name:        n.Name,
		Address:     net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port))),
		Zone:        m.Zone,
		Version:     m.Version,
		Incarnation: m.Incarnation,
		State:       state,
		leaving:     m.Leaving,
	}
}

// messageKind is the second byte of a user message.
type messageKind byte

const (
	kindSuperseded messageKind = 'S' // a later process has the receiver's name
	kindLeaving    messageKind = 'G' // the sender's process leaves the fleet
)

// userMessage is sent from one member directly to another, outside the gossip: one byte of version, one of kind,
// eight of incarnation (big endian), and the name.
type userMessage struct {
	kind        messageKind
	incarnation uint64 // of the process that supersedes or leaves
	name        string // of the node
}

const messageHeaderBytes = 10

func (m userMessage) encode() []byte {
	header := binary.BigEndian.AppendUint64([]byte{messageVersion, byte(m.kind)}, m.incarnation)
	return append(header, m.name...)
}

// decodeUserMessage returns false for a message that is too short or of another version.
func decodeUserMessage(raw []byte) (userMessage, bool) {
	if len(raw) < messageHeaderBytes || raw[0] != messageVersion {
		return userMessage{}, false
	}
	return userMessage{
		kind:        messageKind(raw[1]),
		incarnation: binary.BigEndian.Uint64(raw[2:messageHeaderBytes]),
		name:        string(raw[messageHeaderBytes:]),
	}, true
}
