// Package simwire translates between the simulator's line protocol and the types of package policy.
// It makes no routing decisions. The names of the protocol are in names.go, and in the code that reads a field or key.
package simwire

import (
	"github.com/valyala/fastjson"

	"sloerail/policy"
)

// LineKind is the kind of a line of the protocol.
type LineKind uint8

// Values of LineKind.
const (
	BatchStart LineKind = iota // start of a batch; Now is set
	BatchEnd                   // end of a batch
	ListStored                 // Decode stored an endpoint list under its number; there is nothing else to do
	Configure                  // Node, Seed and Settings are set
	Shutdown                   // Node is set
	Event                      // Node and Event are set
)

// Line is a decoded line.
type Line struct {
	Kind     LineKind
	Now      policy.Time
	Node     int
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

const (
	maxLists    = 16      // list numbers in the protocol are 0 to maxLists-1
	maxInterned = 1 << 14 // maximum number of interned strings; without it, the names of new servers would take ever more memory
)

// Decoder decodes lines. It stores the endpoint lists, which the simulator sends once for all instances, and interns
// strings that occur repeatedly. The zero value is ready to use. A Decoder is not safe for concurrent use.
type Decoder struct {
	parser   fastjson.Parser
	lists    [maxLists]storedList
	interned map[string]string
}

// storedList is an endpoint list. present is set once the simulator has sent the list.
type storedList struct {
	endpoints []policy.Endpoint
	present   bool
}

// Decode decodes a line. The error text is a single line. The error wraps ErrNotJSON, is a *FieldError if the line is not a
// message, or is a *MessageError that wraps a *FieldError or ErrUnknownMessage.
func (d *Decoder) Decode(line []byte) (Line, error) {
	value, err := d.parser.ParseBytes(line)
	if err != nil {
		return Line{}, notJSON(err)
	}
	if value.Type() != fastjson.TypeArray {
		return Line{}, &FieldError{"message", "want an array, got " + value.Type().String()}
	}
	values := value.GetArray()
	if len(values) == 0 || values[0].Type() != fastjson.TypeString {
		return Line{}, &FieldError{"message", "want a name first"}
	}
	name := string(values[0].GetStringBytes())
	f := fields{values: values[1:], decoder: d}
	decoded, err := d.message(name, &f)
	if err == nil {
		err = f.err
	}
	if err != nil {
		return Line{}, &MessageError{oneLine(name), err}
	}
	return decoded, nil
}

// message decodes the fields of a message. The caller checks f.err.
func (d *Decoder) message(name string, f *fields) (Line, error) {
	switch name {
	case messageBatchStart:
		return Line{Kind: BatchStart, Now: f.duration(0, "clock")}, nil
	case messageBatchEnd:
		return Line{Kind: BatchEnd}, nil
	case messageStoreList:
		return Line{Kind: ListStored}, d.storeList(f)
	}
	line := Line{Kind: Event, Node: f.int(0, "node")}
	var err error
	switch name {
	case messageConfigure:
		line.Kind, line.Seed = Configure, f.uint(1, "randomSeed")
		line.Settings, err = f.settings(2)
	case messageShutdown:
		line.Kind = Shutdown
	default:
		line.Event, err = d.event(name, f)
	}
	return line, err
}

// intern returns the text of a string value, which shares memory with earlier values of the same text. It returns "" for
// nil.
func (d *Decoder) intern(value *fastjson.Value) string {
	if value == nil {
		return ""
	}
	raw := value.GetStringBytes()
	if shared, ok := d.interned[string(raw)]; ok { // the compiler makes no copy for this lookup
		return shared
	}
	if d.interned == nil || len(d.interned) >= maxInterned {
		d.interned = make(map[string]string)
	}
	text := string(raw)
	d.interned[text] = text
	return text
}
