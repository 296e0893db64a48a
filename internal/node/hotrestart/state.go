package hotrestart

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"maps"
	"slices"

	"sloerail/internal/node/discovery"
	"sloerail/policy"
)

// protocolVersion is the version of the messages. A successor with another version starts without the state.
const protocolVersion = 1

// State is the message with the state that a process hands over to its successor. It follows stateByte, which is sent
// with the clients' listening socket. Later messages are a State with only Sockets and InFlight set, from a Progress.
// The keys are fixed, because the other process may be of another version.
type State struct {
	Version   int             `json:"Version"`
	Name      string          `json:"Name"`
	Address   string          `json:"Listen"`
	Endpoints []endpointState `json:"Members"`
	Policy    policy.Snapshot `json:"Knowledge"`
	Sockets   int             `json:"Sockets"` // descriptors that the successor may hold at first
	InFlight  map[string]int  `json:"Out"`     // the predecessor's attempts in flight, by server
	// Memory is how many bytes of heap the successor may use. It is absent from a predecessor of an older version.
	Memory int64 `json:"Memory,omitempty"`
	// Executed is hashes of the IDs of requests that must not run at the receiver, since they may have run at the sender. A
	// successor sends them too, if AcceptsExecuted is set in its predecessor's state. Older versions have neither.
	Executed        []uint64 `json:"Executed,omitempty"`
	AcceptsExecuted bool     `json:"AcceptsExecuted,omitempty"`
	// FormerPeriods is absent if the configuration hasn't changed lately, and from a predecessor of an older version.
	FormerPeriods []classPeriodState `json:"FormerPeriods,omitempty"`
}

// endpointState is the JSON of an endpoint in a State. The keys are fixed.
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

// SetEndpointList adds the endpoints to the state.
func (s *State) SetEndpointList(endpoints iter.Seq[discovery.Endpoint]) {
	for e := range endpoints {
		s.Endpoints = append(s.Endpoints, newEndpointState(e))
	}
}

// EndpointList returns the endpoint list of the state.
func (s *State) EndpointList() (all []discovery.Endpoint) {
	for _, e := range s.Endpoints {
		all = append(all, e.endpoint())
	}
	return all
}

// write writes the state as one JSON object. The servers, which are most of it, are encoded one by one, so that the text of
// a long list isn't held in memory.
func (s State) write(w io.Writer) error {
	endpoints, servers := s.Endpoints, s.Policy.Servers
	s.Endpoints, s.Policy.Servers = nil, nil
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	// In a JSON string, the quotes would be escaped.
	beforeEndpoints, afterEndpoints, found := bytes.Cut(text, []byte(`"Members":null`))
	beforeServers, afterServers, foundServers := bytes.Cut(afterEndpoints, []byte(`"Servers":null`))
	if !found || !foundServers {
		return errors.New("hot restart: the state has no place for its servers")
	}
	out := &stateWriter{w: bufio.NewWriterSize(w, stateBufferBytes)}
	out.raw(beforeEndpoints, `"Members":`)
	out.list(endpoints)
	out.raw(beforeServers, `"Servers":`)
	out.object(servers)
	out.raw(afterServers, "\n")
	return errors.Join(out.err, out.w.Flush())
}

// stateBufferBytes is the size of the buffer for a state that is written.
const stateBufferBytes = 32 << 10

// stateWriter writes the parts of a state. It keeps the first error of an encoding; w keeps that of a write.
type stateWriter struct {
	w   *bufio.Writer
	err error
}

// raw writes a text and a second one.
func (o *stateWriter) raw(text []byte, more string) {
	_, _ = o.w.Write(text)       // Flush returns the error
	_, _ = o.w.WriteString(more) // as above
}

// value writes the JSON of a value.
func (o *stateWriter) value(v any) {
	text, err := json.Marshal(v)
	o.err = cmp.Or(o.err, err)
	o.raw(text, "")
}

// list writes endpoints as Marshal does.
func (o *stateWriter) list(endpoints []endpointState) {
	if endpoints == nil {
		o.raw(nil, "null")
		return
	}
	for i, e := range endpoints {
		o.raw(nil, separator(i, '['))
		o.value(e)
	}
	o.raw(nil, closing(len(endpoints), "[]"))
}

// object writes the snapshots of servers as Marshal does.
func (o *stateWriter) object(servers map[string]policy.ServerSnapshot) {
	if servers == nil {
		o.raw(nil, "null")
		return
	}
	for i, id := range slices.Sorted(maps.Keys(servers)) {
		o.raw(nil, separator(i, '{'))
		o.value(id)
		o.raw(nil, ":")
		o.value(servers[id])
	}
	o.raw(nil, closing(len(servers), "{}"))
}

// separator returns what stands before entry i of a list or an object.
func separator(i int, open byte) string {
	if i == 0 {
		return string(open)
	}
	return ","
}

// closing returns what stands behind n entries between the brackets.
func closing(n int, brackets string) string {
	if n == 0 {
		return brackets
	}
	return brackets[1:]
}

// Progress is what a predecessor reports every ProgressInterval while its successor serves.
type Progress struct {
	Sockets  int            // descriptors that the successor may hold now
	Memory   int64          // bytes of heap that the successor may use now; 0 from a predecessor of an older version
	InFlight map[string]int // the predecessor's attempts in flight, by server
	Executed []uint64       // hashes of IDs of requests that may have run at the predecessor since the last report
}
