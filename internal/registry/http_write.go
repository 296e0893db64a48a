package registry

import (
	"errors"
	"net/http"
	"strings"
)

// errMethodNotAllowed is returned for a method and path that don't name a write of an instance.
var errMethodNotAllowed = errors.New("method not allowed")

// handleInstance carries out a write: PUT of an instance, its lease or its phase, or DELETE of an instance.
func (s *Server) handleInstance(w http.ResponseWriter, req *http.Request, path string) {
	id, resource, _ := strings.Cut(path, "/")
	c, err := instanceCommand(req, id, resource)
	if errors.Is(err, errMethodNotAllowed) {
		http.Error(w, "want PUT of an instance, its lease or its phase, or DELETE", http.StatusMethodNotAllowed)
		return
	}
	if err != nil {
		badRequest(w, err)
		return
	}
	if !s.acquire(w, s.writes) {
		return
	}
	defer s.writes.release()
	result, err := s.replica.Propose(c)
	s.respondWrite(w, req, id, result, err)
}

// instanceCommand parses a write. The error is errMethodNotAllowed, or describes what is invalid.
func instanceCommand(req *http.Request, id, resource string) (Command, error) {
	version, err := ifMatch(req)
	if err != nil {
		return Command{}, err
	}
	requestID := req.Header.Get(requestIDHeader)
	if len(requestID) > maxFieldBytes {
		return Command{}, invalidField(requestIDHeader, "over %d bytes", maxFieldBytes)
	}
	var c Command
	switch {
	case req.Method == http.MethodPut && resource == "":
		c, err = registerCommand(req, id)
	case req.Method == http.MethodPut && resource == leaseResource:
		c, requestID = Command{Kind: RenewLease, ID: id}, "" // a repeated renewal is harmless
	case req.Method == http.MethodPut && resource == phaseResource:
		c, err = phaseCommand(req, id)
	case req.Method == http.MethodDelete && resource == "":
		c = Command{Kind: DeregisterInstance, ID: id}
	default:
		return Command{}, errMethodNotAllowed
	}
	c.RequestID, c.IfMatch = requestID, version
	return c, err
}

func registerCommand(req *http.Request, id string) (Command, error) {
	var body registration
	if err := readJSON(req, &body); err != nil {
		return Command{}, err
	}
	return body.command(id)
}

func phaseCommand(req *http.Request, id string) (Command, error) {
	var body phaseBody
	if err := readJSON(req, &body); err != nil {
		return Command{}, err
	}
	return Command{Kind: SetInstancePhase, ID: id, Phase: body.Phase}, validatePhase(body.Phase)
}

// respondWrite responds with the outcome of a write. A replica that isn't the leader redirects to the leader or, if it
// doesn't know the leader's address, responds 503.
func (s *Server) respondWrite(w http.ResponseWriter, req *http.Request, id string, result Result, err error) {
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader) && notLeader.LeaderAddress != "":
		http.Redirect(w, req, "http://"+notLeader.LeaderAddress+req.URL.RequestURI(), http.StatusTemporaryRedirect)
	case errors.Is(err, ErrInstanceNotFound):
		http.Error(w, string(result.Code), http.StatusNotFound)
	case errors.Is(err, ErrVersionMismatch):
		w.Header().Set("ETag", etag(result.Instance.Version))
		http.Error(w, string(result.Code), http.StatusPreconditionFailed)
	case errors.Is(err, ErrTooManyInstances), errors.Is(err, ErrUnknownCommand):
		// Neither succeeds on a retry: the store is full, or this replica's version doesn't know the command. A 503
		// would make clients retry.
		http.Error(w, string(result.Code), http.StatusInsufficientStorage)
	case err != nil:
		unavailable(w, err)
	default:
		s.counters.writes.Add(1)
		w.Header().Set("ETag", etag(result.Instance.Version))
		respondJSON(w, newWriteResponse(id, result))
	}
}
