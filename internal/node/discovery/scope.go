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
	// These bounds and header names are the same in internal/registry, which a node doesn't import because that would
	// link raft.
	maxScopeServices    = 256 // accepted by the list service in one call
	maxServiceNameBytes = 256
	maxScopeQueryBytes  = 8 << 10 // in one call
	maxSubset           = 150_000 // the most servers that the list service holds
	maxReasonBytes      = 256     // of the reason for a rejection, for the log

	scopedHeader          = "X-Registry-Scoped"           // set in responses that are limited to the scope of the call
	unknownServicesHeader = "X-Registry-Unknown-Services" // services of the scope that the list service doesn't know
)

// scopeSection is the section "scope" of the configuration. It keeps the list of a large fleet short: the list service
// returns only servers of the services that the node's routes need. With Subset, it returns only some servers of each
// service, which it chooses by the node's position. The node itself filters nothing.
type scopeSection struct {
	Services []string `json:"services"`
	Subset   *int     `json:"subset"` // number of servers of each service; if missing, all
}

// ParseScope parses the section "scope" and returns the query that the section adds to calls. The settings must be
// valid.
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
		return "", decode.Errorf("scope.services", "want at most %d bytes in a call, got %d", maxScopeQueryBytes, len(query))
	}
	return query, nil
}

func (s scopeSection) checkServices() error {
	if len(s.Services) == 0 {
		return decode.Errorf("scope.services", "want at least one service, got none: the node would have no servers")
	}
	if len(s.Services) > maxScopeServices {
		return decode.Errorf("scope.services", "want at most %d services, got %d", maxScopeServices, len(s.Services))
	}
	for i, name := range s.Services {
		field := fmt.Sprintf("scope.services[%d]", i)
		if err := checkServiceName(name); err != nil {
			return decode.Errorf(field, "%v", err)
		}
		if slices.Index(s.Services, name) < i {
			return decode.Errorf(field, "%q is listed twice", name)
		}
	}
	return nil
}

// checkServiceName returns an error if the list service would reject the name of a service. validateService in
// internal/registry has the same rule.
func checkServiceName(name string) error {
	if name == "" || len(name) > maxServiceNameBytes {
		return fmt.Errorf("want 1 to %d bytes, got %d", maxServiceNameBytes, len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == ',' {
			return fmt.Errorf("want printable ASCII without spaces and commas, got %q", name)
		}
	}
	return nil
}

// scope is the scope of a Client, and what the last responses said about it. The zero value means no scope.
type scope struct {
	query           string // added to each call; empty for no scope
	scoped          bool   // the current list is limited to the scope
	unsupported     bool   // the last full list was not limited to the scope, and this was logged
	unknownServices string // unknownServicesHeader of the last response
}

// appendTo returns the URL of a call with the scope added.
func (s *scope) appendTo(url string) string {
	switch {
	case s.query == "":
		return url
	case strings.Contains(url, "?"):
		return url + "&" + s.query
	}
	return url + "?" + s.query
}

// firstRevision returns the revision to start with. With a scope the full list is fetched, because the known list may be
// of another scope.
func (s *scope) firstRevision(known int64) int64 {
	if s.query == "" {
		return known
	}
	return UnknownRevision
}

// statusError returns the error for a response with a status other than 200. For calls with a scope, the first line of
// the body is the reason.
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

// check records whether a response is limited to the scope. It returns ErrScopeMismatch for changes within the scope
// to an unscoped list, and the other way round; the full list is then fetched. If changes within the scope were
// applied to an unscoped list, servers outside of the scope would stay in the list for good, even once drained.
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
	if unknown := header.Get(unknownServicesHeader); unknown != s.unknownServices {
		s.unknownServices = unknown
		if unknown != "" {
			slog.Warn("discovery: the list service doesn't know some services of the scope", "services", unknown)
		}
	}
	return nil
}
