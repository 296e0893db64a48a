package registry

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"sloerail/internal/subset"
)

// Bounds on the parameters of a scope.
const (
	maxScopeServices = 256     // same as in internal/node/discovery, which checks it before the call
	maxSubsetClients = 100_000 // nodes among which a service is divided
)

// The query parameters of a scope.
const (
	serviceParam  = "service"
	subsetParam   = "subset"
	positionParam = "position"
	nodesParam    = "nodes"
	zoneParam     = "zone"
)

// Scope selects the part of the list that a node needs: some services and, if SubsetSize is above 0, only the subset of
// each service that the node connects to.
type Scope struct {
	Services   []string // sorted, without duplicates
	SubsetSize int      // 0 for all of each service
	Client     subset.Client
}

// parseScope reads the scope of a call. It returns nil, which selects the full list, for a call without scope
// parameters. Errors are *FieldError.
func parseScope(query url.Values) (*Scope, error) {
	if !query.Has(serviceParam) {
		return nil, rejectParams(query, "wants a service beside it", subsetParam, positionParam, nodesParam, zoneParam)
	}
	services, err := parseServices(query[serviceParam])
	if err != nil {
		return nil, err
	}
	scope := &Scope{Services: services}
	return scope, scope.parseSubset(query)
}

// parseServices reads service names from a parameter that may be repeated, hold names separated by commas, or both.
func parseServices(values []string) ([]string, error) {
	var names []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			if err := validateService(name); err != nil {
				return nil, err
			}
			names = append(names, name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) > maxScopeServices {
		return nil, invalidField(serviceParam, "want %d names at most, got %d", maxScopeServices, len(names))
	}
	return names, nil
}

// parseSubset reads the parameters of the subset that the caller connects to.
func (scope *Scope) parseSubset(query url.Values) error {
	if !query.Has(subsetParam) {
		return rejectParams(query, "wants a subset beside it", positionParam, nodesParam, zoneParam)
	}
	var err error
	if scope.SubsetSize, err = parseIntParam(query, subsetParam, 1, maxInstances); err != nil {
		return err
	}
	if scope.Client.Count, err = parseIntParam(query, nodesParam, 1, maxSubsetClients); err != nil {
		return err
	}
	if scope.Client.Position, err = parseIntParam(query, positionParam, 0, scope.Client.Count-1); err != nil {
		return err
	}
	if scope.Client.Zone = query.Get(zoneParam); len(scope.Client.Zone) > maxFieldBytes {
		return invalidField(zoneParam, "over %d bytes", maxFieldBytes)
	}
	return nil
}

// rejectParams returns an error for the first of the named parameters that is in the query.
func rejectParams(query url.Values, reason string, names ...string) error {
	for _, name := range names {
		if query.Has(name) {
			return invalidField(name, "%s", reason)
		}
	}
	return nil
}

// parseIntParam reads a parameter that is a whole number between two bounds, both included.
func parseIntParam(query url.Values, name string, lowest, highest int) (int, error) {
	n, err := strconv.Atoi(query.Get(name))
	if err != nil || n < lowest || n > highest {
		return 0, invalidField(name, "want a whole number from %d to %d, got %.40q", lowest, highest, query.Get(name))
	}
	return n, nil
}
