// Package simwire translates between the simulator's line protocol and the types of package policy.
// It decides nothing. The protocol's own names stand in names.go, and where a field or key is read.
package simwire

import (
	"github.com/valyala/fastjson"

	"sloerail/policy"
)

// LineKind tells the lines of the protocol apart.
type LineKind uint8

// The kinds of line.
const (
	BatchStart LineKind = iota // opens a batch: Now is set
	BatchEnd                   // closes a batch
	ListStored                 // an endpoint list was stored under its number; nothing to route
	Configure                  // Node, Seed and Settings are set
	Shutdown                   // Node is set
	Event                      // Node and Event are set
)

// Line is one decoded line.
type Line struct {
	Kind     LineKind
	Now      policy.Time
	Node     int
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

const (
	maxLists    = 16      // numbers of lists in the protocol, from 0
	maxInterned = 1 << 14 // strings; bounded because servers come and go without end
)

// Decoder reads lines. It stores the endpoint lists that the simulator sends once for all instances, and shares the
// strings that come again and again. The zero value is ready to use; a Decoder is not safe for concurrent use.
type Decoder struct {
	parser   fastjson.Parser
	lists    [maxLists]storedList
	interned map[string]string
}

type storedList struct {
	endpoints []policy.Endpoint
	present   bool
}

// Decode reads one line. Its errors are of one line of text: ErrNotJSON, a *FieldError for a line that is no message,
// or a *MessageError that wraps a *FieldError or ErrUnknownMessage.
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

// message reads the fields of a message; the caller checks f.err.
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

// intern returns the text of a string value, shared with earlier values of the same text. It is empty for nil.
func (d *Decoder) intern(value *fastjson.Value) string {
	if value == nil {
		return ""
	}
	raw := value.GetStringBytes()
	if shared, ok := d.interned[string(raw)]; ok { // the compiler makes no copy for this look-up
		return shared
	}
	if d.interned == nil || len(d.interned) >= maxInterned {
		d.interned = make(map[string]string)
	}
	text := string(raw)
	d.interned[text] = text
	return text
}
