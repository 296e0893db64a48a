package hotrestart

import (
	"iter"

	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

// protocolVersion is that of the messages. A process of another one starts without the state.
const protocolVersion = 1

// State is what a process hands over to its successor. The clients' listening socket comes with the byte before it. The
// process at the other end may be of another version: the keys are fixed.
type State struct {
	Version   int             `json:"Version"`
	Name      string          `json:"Name"`
	Address   string          `json:"Listen"`
	Endpoints []endpointState `json:"Members"`
	Policy    policy.Snapshot `json:"Knowledge"`
	Sockets   int             `json:"Sockets"` // descriptors that the successor may hold for now
	InFlight  map[string]int  `json:"Out"`     // the predecessor's attempts at each server
}

// endpointState is an endpoint in a State. The keys are fixed.
type endpointState struct {
	ID              string              `json:"Server"`
	Zone            string              `json:"Zone"`
	Kind            string              `json:"Kind"`
	Cell            int64               `json:"Cell"`
	Weight          float64             `json:"Weight"`
	StartedAt       policy.Time         `json:"OnlineSince"`
	Availability    policy.Availability `json:"Availability"`
	Address         string              `json:"Addr"`
	StartedAtMillis int64               `json:"UpSince"`
}

func newEndpointState(e discovery.Endpoint) endpointState {
	return endpointState{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight,
		StartedAt: e.StartedAt, Availability: e.Availability, Address: e.Address, StartedAtMillis: e.StartedAtMillis}
}

func (s endpointState) endpoint() discovery.Endpoint {
	return discovery.Endpoint{Address: s.Address, StartedAtMillis: s.StartedAtMillis, Endpoint: policy.Endpoint{ID: s.ID,
		Zone: s.Zone, Kind: s.Kind, Cell: s.Cell, Weight: s.Weight, StartedAt: s.StartedAt, Availability: s.Availability}}
}

// SetEndpointList puts the endpoint list into the state.
func (s *State) SetEndpointList(endpoints iter.Seq[discovery.Endpoint]) {
	for e := range endpoints {
		s.Endpoints = append(s.Endpoints, newEndpointState(e))
	}
}

// EndpointList is the endpoint list of the state.
func (s *State) EndpointList() (all []discovery.Endpoint) {
	for _, e := range s.Endpoints {
		all = append(all, e.endpoint())
	}
	return all
}

// Progress is what a predecessor still holds while its successor serves.
type Progress struct {
	Sockets  int            // descriptors that the successor may hold now
	InFlight map[string]int // the predecessor's attempts at each server
}
