package node

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

	"sloerail/policy"
)

// The section "scope" bounds what a node is told of a large fleet: the servers of the services that its routes need
// and, of each of these, a subset that the list service chooses by the node's position. The node itself filters
// nothing: with a list service that ignores the scope it takes the list as it comes, and says so.

const (
	mostScopeServices = 256     // that the list service takes in one call
	mostServiceName   = 256     // bytes
	mostScopeQuery    = 8 << 10 // bytes of them all, in a call
	mostSubset        = 150_000
	mostReason        = 256 // bytes of it in the log

	scopedHeader  = "X-Registry-Scoped"           // in answers that are of the scope that the call named
	unknownHeader = "X-Registry-Unknown-Services" // those of the scope of which the list service knows nothing
)

// scopeSection is the part of the configuration that bounds what the list service tells. Without it there is no
// bound.
type scopeSection struct {
	Services []string `json:"services"`
	Subset   *int     `json:"subset"` // servers of each service; all of them if it is missing
}

// parseScope reads the section strictly, and returns what it adds to calls for the list. The settings were checked.
func parseScope(raw json.RawMessage, settings policy.Settings) (query string, err error) {
	var s scopeSection
	if err := strictly("scope", raw, &s); err != nil {
		return "", err
	}
	if len(s.Services) == 0 {
		return "", errors.New("scope.services: names no service, and the node would have no server")
	}
	if len(s.Services) > mostScopeServices {
		return "", fmt.Errorf("scope.services: want %d at most, got %d", mostScopeServices, len(s.Services))
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
		if *s.Subset < 1 || *s.Subset > mostSubset {
			return "", fmt.Errorf("scope.subset: want 1 to %d, got %d", mostSubset, *s.Subset)
		}
		values.Set("subset", strconv.Itoa(*s.Subset))
		values.Set("position", strconv.Itoa(settings.NodeIndex))
		values.Set("nodes", strconv.Itoa(settings.NodeCount))
		values.Set("zone", settings.Zone)
	}
	query = values.Encode()
	if len(query) > mostScopeQuery {
		return "", fmt.Errorf("scope.services: want %d bytes at most in a call, got %d", mostScopeQuery, len(query))
	}
	return query, nil
}

// checkServiceName says why a name can't be that of a service in the list.
func checkServiceName(name string) error {
	if name == "" || len(name) > mostServiceName {
		return fmt.Errorf("want 1 to %d bytes, got %d", mostServiceName, len(name))
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' || c == ',' {
			return fmt.Errorf("want printable ASCII with no space and no comma, got %q", name)
		}
	}
	return nil
}

// scopeState is what discovery knows of its scope. The zero value is for none.
type scopeState struct {
	query   string // added to each call; empty for none
	scoped  bool   // the list held is of the scope, and not the whole
	ignored bool   // the last list was not: it is told once
	unknown string // services that the list service knew nothing of lately
}

// errOtherScope is an answer that doesn't follow on the list held: one of the two is scoped, and the other isn't. The
// whole list is called for at once, from the same replica.
var errOtherScope = fmt.Errorf("%w: the answer is of another scope than the list held", errMoved)

// addTo adds the scope to the URL of a call.
func (s *scopeState) addTo(url string) string {
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
func (s *scopeState) firstRevision(known int64) int64 {
	if s.query == "" {
		return known
	}
	return wholeList
}

// refusal is a call that was not answered with a list. Where a scope was named, the reason is in the answer's line.
func (s *scopeState) refusal(resp *http.Response) error {
	if s.query == "" {
		return fmt.Errorf("answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostReason))
	if err != nil {
		return fmt.Errorf("answered %s: %w", resp.Status, err)
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return fmt.Errorf("answered %s: %s", resp.Status, line)
}

// check takes note of what an answer says of the scope. Changes of a scope, added to a whole list, would leave servers
// outside of the scope there for good, drained or not.
func (s *scopeState) check(header http.Header, complete bool) error {
	if s.query == "" {
		return nil
	}
	scoped := header.Get(scopedHeader) != ""
	switch {
	case !complete && scoped != s.scoped:
		return errOtherScope
	case complete && !scoped && !s.ignored:
		slog.Warn("discovery: the list service ignores the scope: all servers that it lists are taken")
	}
	s.scoped, s.ignored = scoped, !scoped
	if unknown := header.Get(unknownHeader); unknown != s.unknown {
		s.unknown = unknown
		if unknown != "" {
			slog.Warn("discovery: the list service knows nothing of some services of the scope", "services", unknown)
		}
	}
	return nil
}
