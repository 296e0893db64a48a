// Package decode parses input from files and services, with errors that name the field.
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

// FieldError is the error of an invalid or missing field. Packages simwire and registry have types of this name for
// their own input.
type FieldError struct {
	Field  string // its path in the file or the message, for example "members[3].host_port"
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Errorf returns a FieldError with a reason formatted as by fmt.Sprintf.
func Errorf(field, format string, args ...any) *FieldError {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// JSON unmarshals raw into dst. The error for a field of the wrong type is a FieldError.
func JSON(raw []byte, dst any) error {
	err := json.Unmarshal(raw, dst)
	if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) && bad.Field != "" {
		return Errorf(bad.Field, "want %s, got %s", bad.Type, bad.Value)
	}
	return err
}

// Section unmarshals a section of the configuration into dst. An unknown key is an error.
func Section(name string, raw []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// CheckAddress returns an error unless addr is a host and a numeric port.
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

// CheckAddresses checks each address of a list separated by commas.
func CheckAddresses(addrs string) error {
	for addr := range strings.SplitSeq(addrs, ",") {
		if err := CheckAddress(addr); err != nil {
			return err
		}
	}
	return nil
}
