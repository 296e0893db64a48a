package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file defines the paths, headers and bodies of the HTTP protocol, and maps them to the package's types. Endpoint
// and EndpointList are sent as they are.

const (
	instancesPath = "/registry/instances"
	statusPath    = "/registry/status"
	progressPath  = "/registry/fresh"
	replicasPath  = "/registry/replicas"

	leaseResource = "lease" // below an instance's path
	phaseResource = "phase"

	requestIDHeader       = "X-Request-Id"
	epochHeader           = "X-Registry-Epoch"
	ageHeader             = "X-Registry-Age-Ms"           // maximum age of the list
	scopedHeader          = "X-Registry-Scoped"           // present if the list is scoped
	unknownServicesHeader = "X-Registry-Unknown-Services" // unknown services of the scope

	revisionParam = "index"
	waitParam     = "wait" // ms

	maxBodyBytes = 16 << 10
)

// registration is the body of a PUT of an instance.
type registration struct {
	Address     string   `json:"host_port"`
	Zone        string   `json:"locality"`
	Kind        string   `json:"flavor"`
	Cell        int64    `json:"cell"`
	Phase       string   `json:"phase"`       // if empty, PhaseUp
	Size        *float64 `json:"size"`        // if nil, 1
	StartTimeMs int64    `json:"up_since_ms"` // Unix time in ms
	TTLMs       int64    `json:"lease_ms"`    // if 0, DefaultTTL
	Service     string   `json:"service,omitempty"`
}

// newRegistration returns the body that registers an endpoint.
func newRegistration(e Endpoint, ttl time.Duration) registration {
	return registration{Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Phase: e.Phase, Size: &e.Size,
		StartTimeMs: e.StartTimeMs, TTLMs: ttl.Milliseconds(), Service: e.Service}
}

// command returns the command that registers the endpoint. The error is a *FieldError.
func (b registration) command(id string) (Command, error) {
	c := Command{Kind: RegisterInstance, ID: id, TTL: DefaultTTL, Endpoint: Endpoint{ID: id, Address: b.Address, Zone: b.Zone,
		Kind: b.Kind, Cell: b.Cell, Phase: b.Phase, Size: 1, StartTimeMs: b.StartTimeMs, Service: b.Service}}
	if b.Phase == "" {
		c.Endpoint.Phase = PhaseUp
	}
	if b.Size != nil {
		c.Endpoint.Size = *b.Size
	}
	if b.TTLMs != 0 {
		c.TTL = time.Duration(b.TTLMs) * time.Millisecond
	}
	if c.TTL < MinTTL || c.TTL > MaxTTL {
		return Command{}, invalidField("lease_ms", "want %d to %d", MinTTL.Milliseconds(), MaxTTL.Milliseconds())
	}
	return c, c.Endpoint.Validate()
}

// phaseBody is the body of a PUT of an instance's phase. It is an alias because the name of a defined type would appear
// in the response to a body with a wrong type.
type phaseBody = struct {
	Phase string `json:"phase"`
}

// replicaBody is the body of a PUT of a replica. It is an alias for the same reason as phaseBody.
type replicaBody = struct {
	RaftAddress string `json:"raft"`
	APIAddress  string `json:"calls"`
}

// WriteResponse is the response to a write.
type WriteResponse struct {
	ID       string `json:"id"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	TTLMs    int64  `json:"lease_ms"`
	Phase    string `json:"phase"`
}

func newWriteResponse(id string, result Result) WriteResponse {
	return WriteResponse{ID: id, Version: result.Instance.Version, Revision: result.Revision,
		TTLMs: result.Instance.TTL.Milliseconds(), Phase: result.Instance.Endpoint.Phase}
}

// progressResponse is the leader's response to a follower: the index of the last command that the leader has applied,
// and the maximum age of its list.
type progressResponse struct {
	Index uint64 `json:"index"`
	AgeMs int64  `json:"age_ms"`
}

// Status describes the state of a replica to operators.
type Status struct {
	ID                 string          `json:"id"`
	Leader             string          `json:"leader"` // ID; empty if this replica knows none
	Epoch              int64           `json:"epoch"`
	Revision           int64           `json:"revision"`
	Instances          int             `json:"instances"`
	ExpirySuspended    bool            `json:"leases_held"` // too many leases are overdue at once, so none expires
	AgeMs              int64           `json:"age_ms"`      // -1 if unknown; no list is then served
	Watches            int64           `json:"watches"`     // waiting now
	Lists              uint64          `json:"lists"`
	Writes             uint64          `json:"writes"`
	CallsRejected      uint64          `json:"calls_turned_away"`   // for lack of capacity
	CallsRejectedStale uint64          `json:"calls_refused_stale"` // because the list was too old or of unknown age
	Replicas           []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus describes a replica of raft's configuration.
type ReplicaStatus struct {
	ID          string `json:"id"`
	RaftAddress string `json:"raft"`
	APIAddress  string `json:"calls"`
}

// readJSON decodes a call's body and rejects unknown fields.
func readJSON(req *http.Request, body any) error {
	decoder := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// mustMarshalJSON encodes a list. Encoding can't fail, because sizes are validated to be finite.
func mustMarshalJSON(list EndpointList) []byte {
	raw, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return raw
}

// ifMatch reads the version that a write requires, 0 for any.
func ifMatch(req *http.Request) (version int64, err error) {
	text := strings.Trim(req.Header.Get("If-Match"), `"`)
	if text == "" {
		return 0, nil
	}
	version, err = strconv.ParseInt(text, 10, 64)
	if err != nil || version <= 0 {
		return 0, invalidField("If-Match", "want a version")
	}
	return version, nil
}

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

// errorText returns the text of a 503 response. The texts are part of the protocol.
func errorText(err error) string {
	const notLeader, notCommitted = "this replica is not the leader", "not kept by most replicas in time"
	var commit *CommitError
	switch {
	case errors.As(err, &commit):
		return notCommitted + ": " + commit.Reason.Error()
	case errors.Is(err, ErrNotCommitted):
		return notCommitted
	case errors.Is(err, ErrNotLeader):
		return notLeader
	case errors.Is(err, ErrStale):
		return "this replica can't tell that its list is fresh"
	case errors.Is(err, ErrTooManyCalls):
		return "too many calls"
	default:
		return err.Error()
	}
}
