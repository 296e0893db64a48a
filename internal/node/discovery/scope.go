package discovery

import (
	"encoding/json"
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

const (
	// The list service has the same bounds and header names in internal/registry, which a node doesn't import: it would
	// link raft.
	maxScopeServices    = 256 // that the list service takes in one call
	maxServiceNameBytes = 256
	maxScopeQueryBytes  = 8 << 10 // in one call
	maxSubset           = 150_000 // servers that the list service holds
	maxReasonBytes      = 256     // of a rejection, in the log

	scopedHeader  = "X-Registry-Scoped"           // in answers that are of the scope that the call named
	unknownHeader = "X-Registry-Unknown-Services" // services of the scope that the list service doesn't know
)

// scopeSection is the section "scope" of the configuration. It bounds which servers of a large fleet the list service
// names: those of the services that the node's routes need and, of each of these, a subset that the list service chooses
// by the node's position. The node filters nothing itself.
type scopeSection struct {
	Services []string `json:"services"`
	Subset   *int     `json:"subset"` // servers of each service; all of them if it is missing
}

// ParseScope reads the section "scope", and returns the query that it adds to calls. The settings have been checked.
func ParseScope(raw json.RawMessage, settings policy.Settings) (query string, err error) {
	var section scopeSection
	if err := decode.Section("scope", raw, &section); err != nil {
		return "", err
	}
	if err := section.checkServices(); err != nil {
		return "", err
	}
	values := url.Values{"service": slices.Sorted(slices.Values(section.Services))}
	if subset := section.Subset; subset != nil {
		if *subset < 1 || *subset > maxSubset {
			return "", decode.Errorf("scope.subset", "want 1 to %d, got %d", maxSubset, *subset)
		}
		values.Set("subset", strconv.Itoa(*subset))
		values.Set("position", strconv.Itoa(settings.NodeIndex))
		values.Set("nodes", strconv.Itoa(settings.NodeCount))
		values.Set("zone", settings.Zone)
	}
	query = values.Encode()
	if len(query) > maxScopeQueryBytes {
		return "", decode.Errorf("scope.services", "want %d bytes at most in a call, got %d", maxScopeQueryBytes, len(query))
	}
	return query, nil
}

func (s scopeSection) checkServices() error {
	if len(s.Services) == 0 {
		return decode.Errorf("scope.services", "names no service, and the node would have no server")
	}
	if len(s.Services) > maxScopeServices {
		return decode.Errorf("scope.services", "want %d at most, got %d", maxScopeServices, len(s.Services))
	}
	for i, name := range s.Services {
		field := fmt.Sprintf("scope.services[%d]", i)
		if err := checkServiceName(name); err != nil {
			return decode.Errorf(field, "%v", err)
		}
		if slices.Index(s.Services, name) < i {
			return decode.Errorf(field, "%q is there twice", name)
		}
	}
	return nil
}

// checkServiceName reports why a name can't be that of a service in the list: validateService in internal/registry has
// the same rule.
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

// scope is a client's scope, and what the last answers said of it. The zero value is for none.
type scope struct {
	query           string // added to each call; empty for none
	scoped          bool   // the list held is of the scope, and not the whole
	unsupported     bool   // the last whole list was not of the scope, which was logged
	unknownServices string // as the last answer named them
}

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

// firstRevision is the revision to start with. A known list need not be of the scope, so a scoped one is fetched whole.
func (s *scope) firstRevision(known int64) int64 {
	if s.query == "" {
		return known
	}
	return UnknownRevision
}

// statusError is for an answer with another status than 200. For calls with a scope the body says why.
func (s *scope) statusError(resp *http.Response) error {
	if s.query == "" {
		return &StatusError{Status: resp.Status}
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", &StatusError{Status: resp.Status}, err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return &StatusError{Status: resp.Status, Reason: line}
}

// check notes what an answer says of the scope. Changes of a scope that are added to a whole list would leave servers
// outside of the scope there for good, drained or not: ErrScopeMismatch has the whole list fetched.
func (s *scope) check(header http.Header, complete bool) error {
	if s.query == "" {
		return nil
	}
	scoped := header.Get(scopedHeader) != ""
	switch {
	case !complete && scoped != s.scoped:
		return ErrScopeMismatch
	case complete && !scoped && !s.unsupported:
		slog.Warn("discovery: the list service doesn't support the scope, using all servers that it lists")
	}
	s.scoped, s.unsupported = scoped, !scoped
	if unknown := header.Get(unknownHeader); unknown != s.unknownServices {
		s.unknownServices = unknown
		if unknown != "" {
			slog.Warn("discovery: the list service doesn't know some services of the scope", "services", unknown)
		}
	}
	return nil
}
