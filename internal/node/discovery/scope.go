package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

// The section "scope" bounds what a node is told of a large fleet: the servers of the services that its routes need
// and, of each of these, a subset that the list service chooses by the node's position. The node itself filters
// nothing: with a list service that ignores the scope it takes the list as it comes, and says so.

const (
	maxScopeServices    = 256     // that the list service takes in one call
	maxServiceNameBytes = 256     // bytes
	maxScopeQueryBytes  = 8 << 10 // bytes of them all, in a call
	maxSubset           = 150_000
	maxReasonBytes      = 256 // bytes of it in the log

	scopedHeader  = "X-Registry-Scoped"           // in answers that are of the scope that the call named
	unknownHeader = "X-Registry-Unknown-Services" // those of the scope of which the list service knows nothing
)

// scopeSection is the part of the configuration that bounds what the list service tells. Without it there is no
// bound.
type scopeSection struct {
	Services []string `json:"services"`
	Subset   *int     `json:"subset"` // servers of each service; all of them if it is missing
}

// ParseScope reads the section strictly, and returns what it adds to calls for the list. The settings were checked.
func ParseScope(raw json.RawMessage, settings policy.Settings) (query string, err error) {
	var s scopeSection
	if err := decode.Section("scope", raw, &s); err != nil {
		return "", err
	}
	if len(s.Services) == 0 {
		return "", errors.New("scope.services: names no service, and the node would have no server")
	}
	if len(s.Services) > maxScopeServices {
		return "", fmt.Errorf("scope.services: want %d at most, got %d", maxScopeServices, len(s.Services))
	}
	for i, name := range s.Services {
		if err := checkServiceName(name); err != nil {
			return "", fmt.Errorf("scope.services[%d]: %w", i, err)
		}
		if first := slices.Index(s.Services, name); first < i {
			return "", fmt.Errorf("scope.services[%d]: %q is there twice", i, name)
		}
	}
	values := url.Values{"service": slices.Sorted(slices.Values(s.Services))}
	if s.Subset != nil {
		if *s.Subset < 1 || *s.Subset > maxSubset {
			return "", fmt.Errorf("scope.subset: want 1 to %d, got %d", maxSubset, *s.Subset)
		}
		values.Set("subset", strconv.Itoa(*s.Subset))
		values.Set("position", strconv.Itoa(settings.NodeIndex))
		values.Set("nodes", strconv.Itoa(settings.NodeCount))
		values.Set("zone", settings.Zone)
	}
	query = values.Encode()
	if len(query) > maxScopeQueryBytes {
		return "", fmt.Errorf("scope.services: want %d bytes at most in a call, got %d", maxScopeQueryBytes, len(query))
	}
	return query, nil
}

// checkServiceName says why a name can't be that of a service in the list.
func checkServiceName(name string) error {
	if name == "" || len(name) > maxServiceNameBytes {
		return fmt.Errorf("want 1 to %d bytes, got %d", maxServiceNameBytes, len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == ',' {
			return fmt.Errorf("want printable ASCII with no space and no comma, got %q", name)
		}
	}
	return nil
}

// scope is what discovery knows of its scope. The zero value is for none.
type scope struct {
	query           string // added to each call; empty for none
	scoped          bool   // the list held is of the scope, and not the whole
	unsupported     bool   // the last list was not: it is told once
	unknownServices string // services that the list service knew nothing of lately
}

// ErrScopeMismatch is an answer that doesn't follow on the list held: one of the two is scoped, and the other isn't. The
// whole list is called for at once, from the same replica.
var ErrScopeMismatch = fmt.Errorf("%w: the answer is of another scope than the list held", ErrRetargeted)

// appendTo adds the scope to the URL of a call.
func (s *scope) appendTo(url string) string {
	switch {
	case s.query == "":
		return url
	case strings.Contains(url, "?"):
		return url + "&" + s.query
	}
	return url + "?" + s.query
}

// firstRevision is the revision to begin at. Where the list that a node starts with is from, and of which scope, isn't
// known.
func (s *scope) firstRevision(known int64) int64 {
	if s.query == "" {
		return known
	}
	return UnknownRevision
}

// statusError is a call that was not answered with a list. Where a scope was named, the reason is in the answer's line.
func (s *scope) statusError(resp *http.Response) error {
	if s.query == "" {
		return fmt.Errorf("answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	if err != nil {
		return fmt.Errorf("answered %s: %w", resp.Status, err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return fmt.Errorf("answered %s: %s", resp.Status, line)
}

// check takes note of what an answer says of the scope. Changes of a scope, added to a whole list, would leave servers
// outside of the scope there for good, drained or not.
func (s *scope) check(header http.Header, complete bool) error {
	if s.query == "" {
		return nil
	}
	scoped := header.Get(scopedHeader) != ""
	switch {
	case !complete && scoped != s.scoped:
		return ErrScopeMismatch
	case complete && !scoped && !s.unsupported:
		slog.Warn("discovery: the list service ignores the scope: all servers that it lists are taken")
	}
	s.scoped, s.unsupported = scoped, !scoped
	if unknown := header.Get(unknownHeader); unknown != s.unknownServices {
		s.unknownServices = unknown
		if unknown != "" {
			slog.Warn("discovery: the list service knows nothing of some services of the scope", "services", unknown)
		}
	}
	return nil
}
