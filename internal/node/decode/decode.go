// Package decode reads what comes from files and from services, with errors that name the field.
package decode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
)

// FieldError is a field whose value can't be used. Packages simwire and registry have types of this name for their own input.
type FieldError struct {
	Field  string // as the file or the protocol names it, for example "members[3].host_port"
	Reason string
}

// Error names the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Errorf is a FieldError whose reason is formatted as by fmt.Sprintf.
func Errorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// JSON reads raw into to. A value of the wrong type is a FieldError.
func JSON(raw []byte, to any) error {
	err := json.Unmarshal(raw, to)
	if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) && bad.Field != "" {
		return Errorf(bad.Field, "want %s, got %s", bad.Type, bad.Value)
	}
	return err
}

// Section reads a section of the configuration, in which an unknown key is an error.
func Section(name string, raw []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// CheckAddress reports whether addr is a host and a numeric port.
func CheckAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("want host:port, got %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
		return fmt.Errorf("want host:port, got %q", addr)
	}
	return nil
}

// CheckAddresses checks each of a list of addresses that commas separate.
func CheckAddresses(addrs string) error {
	for addr := range strings.SplitSeq(addrs, ",") {
		if err := CheckAddress(addr); err != nil {
			return err
		}
	}
	return nil
}
