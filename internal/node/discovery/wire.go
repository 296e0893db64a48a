package discovery

import (
	"encoding/json"
	"fmt"

	"sloerail/internal/node/decode"
	"sloerail/policy"
)

// wireList is a list in the JSON of the list service, and in the file of the cached list.
type wireList struct {
	Revision      *int64         `json:"revision"`
	Complete      bool           `json:"complete"`
	SavedAtMillis int64          `json:"saved_ms,omitempty"` // of a cached list, in Unix milliseconds
	Endpoints     []wireEndpoint `json:"members"`
}

// wireEndpoint is an entry of a wireList.
type wireEndpoint struct {
	ID              string   `json:"id"`
	Address         string   `json:"host_port"`
	Zone            string   `json:"locality"`
	Kind            string   `json:"flavor"`
	Cell            int64    `json:"cell"`
	State           string   `json:"phase"`
	Weight          *float64 `json:"size"` // 1 if it is missing
	StartedAtMillis float64  `json:"up_since_ms"`
}

// The words for the state of an endpoint.
const (
	stateRunning  = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

// maxStartMillis bounds the start time of an endpoint: JSON numbers beyond it are not exact.
const maxStartMillis = 1 << 53

var availabilities = map[string]policy.Availability{
	stateRunning: policy.Running, stateDraining: policy.Draining, stateRemoved: policy.Removed,
}

var states = map[policy.Availability]string{
	policy.Running: stateRunning, policy.Draining: stateDraining, policy.Removed: stateRemoved,
}

// ParseList reads an answer of the list service. A list with one bad entry is rejected as a whole, because that entry
// may be of a server that drains. The error is a *decode.FieldError where a field can't be used.
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

// endpoint checks w and maps it to the standard type; path is where it stands in the list, for errors.
func (w wireEndpoint) endpoint(path string) (Endpoint, error) {
	if w.ID == "" {
		return Endpoint{}, decode.Errorf(path+".id", "missing")
	}
	availability, ok := availabilities[w.State]
	if !ok {
		return Endpoint{}, decode.Errorf(path+".phase", "unknown word %q", w.State)
	}
	if !(w.StartedAtMillis >= 0 && w.StartedAtMillis < maxStartMillis) { // NaN is out of range too
		return Endpoint{}, decode.Errorf(path+".up_since_ms", "out of range")
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

// wire maps e to the JSON of the list service.
func (e Endpoint) wire() wireEndpoint {
	return wireEndpoint{ID: e.ID, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		State: states[e.Availability], Weight: &e.Weight, StartedAtMillis: float64(e.StartedAtMillis)}
}

// encode writes a list as the file of the cached list holds it.
func (l wireList) encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil { // its fields are plain numbers and strings, which always can be written
		panic(err)
	}
	return raw
}
