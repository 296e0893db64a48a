package discovery

import (
	"encoding/json"
	"fmt"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

// wireList is the JSON of a List, as sent by the list service and as stored in the cache file.
type wireList struct {
	Revision      *int64         `json:"revision"`
	Complete      bool           `json:"complete"`
	SavedAtMillis int64          `json:"saved_ms,omitempty"` // in Unix milliseconds; cached lists only
	Endpoints     []wireEndpoint `json:"members"`
}

// wireEndpoint is the JSON of an Endpoint.
type wireEndpoint struct {
	ID              string   `json:"id"`
	Address         string   `json:"host_port"`
	Zone            string   `json:"locality"`
	Kind            string   `json:"flavor"`
	Cell            int64    `json:"cell"`
	State           string   `json:"phase"`
	Weight          *float64 `json:"size"` // 1 if missing
	StartedAtMillis float64  `json:"up_since_ms"`
}

// Values of wireEndpoint.State.
const (
	stateRunning  = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// maxStartMillis bounds the start time of an endpoint: larger JSON numbers are not exact.
const maxStartMillis = 1 << 53

var availabilityByState = map[string]policy.Availability{
	stateRunning: policy.Running, stateDraining: policy.Draining, stateRemoved: policy.Removed,
}

var stateByAvailability = map[policy.Availability]string{
	policy.Running: stateRunning, policy.Draining: stateDraining, policy.Removed: stateRemoved,
}

// ParseList parses a response of the list service. One invalid entry makes the whole list invalid: if only the entry
// were skipped, and it reported a drain, the node would keep sending requests to the server. The error is a
// *decode.FieldError if it concerns a single field.
func ParseList(raw []byte) (List, error) {
	var wire wireList
	if err := decode.JSON(raw, &wire); err != nil {
		return List{}, err
	}
	if wire.Revision == nil {
		return List{}, decode.Errorf("revision", "missing")
	}
	list := List{Revision: *wire.Revision, Complete: wire.Complete}
	for i, w := range wire.Endpoints {
		e, err := w.endpoint(fmt.Sprintf("members[%d]", i))
		if err != nil {
			return List{}, err
		}
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, nil
}

// endpoint validates w and converts it to an Endpoint. path is the path of the entry, for errors.
func (w wireEndpoint) endpoint(path string) (Endpoint, error) {
	if w.ID == "" {
		return Endpoint{}, decode.Errorf(path+".id", "missing")
	}
	availability, ok := availabilityByState[w.State]
	if !ok {
		return Endpoint{}, decode.Errorf(path+".phase", "want up, draining or removed, got %q", w.State)
	}
	if !(w.StartedAtMillis >= 0 && w.StartedAtMillis < maxStartMillis) { // NaN is out of range too
		return Endpoint{}, decode.Errorf(path+".up_since_ms", "want 0 or more and less than %d, got %v",
			int64(maxStartMillis), w.StartedAtMillis)
	}
	if availability != policy.Removed {
		if err := decode.CheckAddress(w.Address); err != nil {
			return Endpoint{}, decode.Errorf(path+".host_port", "%v", err)
		}
	}
	weight := 1.0
	if w.Weight != nil {
		weight = *w.Weight
	}
	return Endpoint{
		Endpoint: policy.Endpoint{ID: w.ID, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, Weight: weight,
			Availability: availability},
		Address:         w.Address,
		StartedAtMillis: int64(w.StartedAtMillis),
	}, nil
}

// wire converts e to the JSON of the list service.
func (e Endpoint) wire() wireEndpoint {
	return wireEndpoint{ID: e.ID, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		State: stateByAvailability[e.Availability], Weight: &e.Weight, StartedAtMillis: float64(e.StartedAtMillis)}
}

// encode returns the JSON of the list for the cache file.
func (l wireList) encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil { // can't happen: all fields are numbers, booleans and strings
		panic(err)
	}
	return raw
}
