package simwire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Conditions of a line that callers may test for.
var (
	// ErrNotJSON marks a line that isn't JSON.
	ErrNotJSON = errors.New("not JSON")
	// ErrUnknownMessage marks a line whose first value names no message of the protocol.
	ErrUnknownMessage = errors.New("unknown message")
)

// Bounds of what an error quotes from the input, in bytes.
const (
	maxQuotedName = 60  // the protocol's own names are shorter
	maxParserText = 200 // the parser may quote a whole line
)

// MessageError says which message can't be read.
type MessageError struct {
	Message string // its name on the wire, shortened to one line
	Err     error
}

func (e *MessageError) Error() string { return e.Message + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// FieldError says which field of a message or key of the settings can't be read, and why.
// decode.FieldError is that of the node's input.
type FieldError struct {
	Field  string // as the protocol spells it, with its path
	Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// notJSON wraps a parser's error, cut to one line of bounded length.
func notJSON(err error) error {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return fmt.Errorf("%w: %s", ErrNotJSON, text[:min(len(text), maxParserText)])
}

// oneLine cuts a message's name to one printable line of bounded length, whatever it holds.
func oneLine(name string) string {
	quoted := strings.Trim(strconv.Quote(name), `"`)
	return quoted[:min(len(quoted), maxQuotedName)]
}
