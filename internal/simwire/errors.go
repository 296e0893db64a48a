package simwire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Errors that callers can test for.
var (
	// ErrNotJSON means that the input is not JSON.
	ErrNotJSON = errors.New("not JSON")
	// ErrUnknownMessage means that the first value of a line is not the name of a message of the protocol.
	ErrUnknownMessage = errors.New("unknown message")
)

// Maximum lengths of quoted input in errors, in bytes.
const (
	maxQuotedName = 60  // the protocol's own names are shorter
	maxParserText = 200 // the parser may quote a whole line
)

// MessageError is the error for an invalid or unknown message.
type MessageError struct {
	Message string // name on the wire, shortened to one line
	Err     error
}

// Error returns the name of the message and the cause.
func (e *MessageError) Error() string { return e.Message + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// FieldError is the error for an invalid field of a message or key of the settings.
// Errors in other input of a node have the type decode.FieldError.
type FieldError struct {
	Field  string // path, in the names of the protocol
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// notJSON returns ErrNotJSON with the first line of a parser's error, up to maxParserText bytes.
func notJSON(err error) error {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return fmt.Errorf("%w: %s", ErrNotJSON, text[:min(len(text), maxParserText)])
}

// oneLine returns a message's name as one printable line of up to maxQuotedName bytes.
func oneLine(name string) string {
	quoted := strings.Trim(strconv.Quote(name), `"`)
	return quoted[:min(len(quoted), maxQuotedName)]
}
