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

// Nodes that run different versions of this program exchange the encodings in this file. Golden files in testdata
// pin them.

const (
	metadataVersion = 1
	messageVersion  = 1
)

// metadata describes a node beyond its name and address. It is encoded as one version byte followed by CBOR. Fields may
// be added, but not removed or changed.
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

// encodeWithin encodes m without zone and version if the full encoding exceeds maxBytes.
func (m metadata) encodeWithin(maxBytes int) []byte {
	if raw := m.encode(); len(raw) <= maxBytes {
		return raw
	}
	m.Zone, m.Version = "", ""
	return m.encode()
}

var errNoMetadata = errors.New("member sent no metadata")

// versionError reports metadata of an unsupported version.
type versionError struct{ version byte }

func (e *versionError) Error() string {
	return fmt.Sprintf("unsupported metadata version %d, want %d", e.version, metadataVersion)
}

// decodeMetadata decodes metadata. The error is errNoMetadata, a *versionError or a CBOR decoding error.
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

// newMember converts a memberlist node and its metadata to a Member without Since.
func newMember(n *memberlist.Node, m metadata, state State) Member {
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
	kindSuperseded messageKind = 'S' // a later process uses the receiver's name
	kindLeaving    messageKind = 'G' // the sender leaves the fleet
)

// userMessage is sent directly from one member to another, outside the gossip. It is encoded as a version byte, a kind
// byte, eight bytes of incarnation (big endian), and the name.
type userMessage struct {
	kind        messageKind
	incarnation uint64 // of the superseding or leaving process
	name        string // of the node
}

const messageHeaderBytes = 10

func (m userMessage) encode() []byte {
	header := binary.BigEndian.AppendUint64([]byte{messageVersion, byte(m.kind)}, m.incarnation)
	return append(header, m.name...)
}

// decodeUserMessage decodes a message. It returns false if the message is too short or has another version.
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
