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

// The paths, headers and bodies of the HTTP protocol, and their one mapping to the package's types. Endpoint and
// EndpointList are sent as they are.

const (
	instancesPath = "/registry/instances"
	statusPath    = "/registry/status"
	progressPath  = "/registry/fresh"
	replicasPath  = "/registry/replicas"

	leaseResource = "lease" // below an instance's path
	phaseResource = "phase"

	requestIDHeader       = "X-Request-Id"
	epochHeader           = "X-Registry-Epoch"
	ageHeader             = "X-Registry-Age-Ms"           // how old the list may be at most
	scopedHeader          = "X-Registry-Scoped"           // the list is of the scope that the call named
	unknownServicesHeader = "X-Registry-Unknown-Services" // those of the scope of which nothing is known

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
	Phase       string   `json:"phase"`       // empty for PhaseUp
	Size        *float64 `json:"size"`        // nil for 1
	StartTimeMs int64    `json:"up_since_ms"` // Unix time
	TTLMs       int64    `json:"lease_ms"`    // 0 for DefaultTTL
	Service     string   `json:"service,omitempty"`
}

// registrationOf returns the body that registers an endpoint.
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

// phaseBody is the body of a PUT of an instance's phase. It is an alias, as a defined type's name would show in the
// responses to bodies with a wrong type.
type phaseBody = struct {
	Phase string `json:"phase"`
}

// replicaBody is the body of a PUT of a replica. It is an alias for the same reason.
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

// progressResponse is what the leader tells a follower: the last command that it has applied, and how old its list may
// be.
type progressResponse struct {
	Index uint64 `json:"index"`
	AgeMs int64  `json:"age_ms"`
}

// Status is the state of a replica for operators.
type Status struct {
	ID                 string          `json:"id"`
	Leader             string          `json:"leader"` // id; empty for none that this replica knows
	Epoch              int64           `json:"epoch"`
	Revision           int64           `json:"revision"`
	Instances          int             `json:"instances"`
	ExpirySuspended    bool            `json:"leases_held"` // too many leases expire at once, and no instance is removed
	AgeMs              int64           `json:"age_ms"`      // -1: unknown, and no list is served
	Watches            int64           `json:"watches"`     // that wait now
	Lists              uint64          `json:"lists"`
	Writes             uint64          `json:"writes"`
	CallsRejected      uint64          `json:"calls_turned_away"`   // for lack of capacity
	CallsRejectedStale uint64          `json:"calls_refused_stale"` // for a list that is too old
	Replicas           []ReplicaStatus `json:"replicas"`
}

// ReplicaStatus is one of the replicas that raft counts.
type ReplicaStatus struct {
	ID          string `json:"id"`
	RaftAddress string `json:"raft"`
	APIAddress  string `json:"calls"`
}

// readJSON reads a call's body, without unknown fields.
func readJSON(req *http.Request, body any) error {
	decoder := json.NewDecoder(io.LimitReader(req.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// mustMarshalJSON encodes a list, whose types have no value that can't be encoded: sizes are validated.
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

// errorText returns the text of a 503 response, which is a part of the protocol.
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
