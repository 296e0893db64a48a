package registry

import (
	"fmt"
	"net"
	"strconv"
)

// Phases of an endpoint. The values are the platform's.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed" // in changes only
)

const (
	maxFieldBytes  = 256       // of one text field
	maxSize        = 1e6       // of Endpoint.Size
	maxStartTimeMs = 1<<53 - 1 // the largest integer that every JSON reader represents exactly
)

// Endpoint is one server in the list. The JSON tags are the platform's keys, the CBOR tags the keys of stored data.
type Endpoint struct {
	ID          string  `json:"id" cbor:"1,keyasint"`
	Address     string  `json:"host_port" cbor:"2,keyasint"`
	Zone        string  `json:"locality" cbor:"3,keyasint"`
	Kind        string  `json:"flavor" cbor:"4,keyasint"`
	Cell        int64   `json:"cell" cbor:"5,keyasint"`                        // rack
	Phase       string  `json:"phase" cbor:"6,keyasint"`                       // one of the Phase constants
	Size        float64 `json:"size" cbor:"7,keyasint"`                        // capacity relative to other endpoints
	StartTimeMs int64   `json:"up_since_ms" cbor:"8,keyasint"`                 // Unix time in ms; 0 means long ago
	Service     string  `json:"service,omitempty" cbor:"9,keyasint,omitempty"` // empty for none
}

// EndpointList is the full list or, for a scoped call, the part in the scope. If Complete is false, it holds only the
// changes since the revision that the watch call named.
type EndpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"` // sorted by ID
}

// FieldError reports an invalid value. Field is its key in the JSON or TOML, or its query parameter or header.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns "field: reason".
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func invalidField(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns a *FieldError for the first field that is invalid.
func (e Endpoint) Validate() error {
	for _, field := range []struct{ name, text string }{{"id", e.ID}, {"locality", e.Zone}, {"flavor", e.Kind}} {
		if len(field.text) > maxFieldBytes {
			return invalidField(field.name, "over %d bytes", maxFieldBytes)
		}
	}
	if e.ID == "" {
		return invalidField("id", "missing")
	}
	if !validAddress(e.Address) {
		return invalidField("host_port", "want host:port, got %q", e.Address)
	}
	if err := validatePhase(e.Phase); err != nil {
		return err
	}
	if !(e.Size >= 0 && e.Size <= maxSize) { // NaN is rejected too
		return invalidField("size", "want 0 to a million, got %v", e.Size)
	}
	if e.StartTimeMs < 0 || e.StartTimeMs > maxStartTimeMs {
		return invalidField("up_since_ms", "out of range")
	}
	if e.Service != "" {
		return validateService(e.Service)
	}
	return nil
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(host) > maxFieldBytes {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// validatePhase returns an error for a phase that a caller may not set.
func validatePhase(phase string) error {
	if phase != PhaseUp && phase != PhaseDraining {
		return invalidField("phase", "want %s or %s, got %q", PhaseUp, PhaseDraining, phase)
	}
	return nil
}

// validateService accepts the names that fit into a comma-separated query parameter. checkServiceName in
// internal/node/discovery duplicates the rule, because a node must not link this package's raft.
func validateService(name string) error {
	if name == "" || len(name) > maxFieldBytes {
		return invalidField("service", "want 1 to %d bytes, got %d", maxFieldBytes, len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == ',' {
			return invalidField("service", "want printable ASCII with no space and no comma, got %q", name)
		}
	}
	return nil
}
