package registry

import (
	"errors"
	"net/http"
)

// handleProgress serves the leader's progress to followers.
func (s *Server) handleProgress(w http.ResponseWriter) {
	progress, err := s.replica.progress()
	if err != nil {
		unavailable(w, err)
		return
	}
	respondJSON(w, progress)
}

// Status returns the state of the replica. On an error of raft, the replicas and the leader are missing.
func (s *Server) Status() (Status, error) {
	replicas, leader, err := s.replica.Configuration()
	status := Status{ID: s.replica.config.ID, Leader: leader, AgeMs: -1, Watches: s.counters.watches.Load(),
		Lists: s.counters.lists.Load(), Writes: s.counters.writes.Load(),
		CallsRejected: s.counters.callsRejected.Load(), CallsRejectedStale: s.counters.callsRejectedStale.Load()}
	if age, known := s.replica.Age(); known {
		status.AgeMs = age.Milliseconds()
	}
	s.replica.store.view(func(store *Store) {
		status.Epoch, status.Revision = store.Epoch(), store.revision
		status.Instances, status.ExpirySuspended = len(store.instances), store.leases.suspended
		for _, r := range replicas {
			status.Replicas = append(status.Replicas, ReplicaStatus{ID: string(r.ID), RaftAddress: string(r.Address),
				APIAddress: store.replicaAddresses[string(r.ID)]})
		}
	})
	return status, err
}

func (s *Server) handleStatus(w http.ResponseWriter) {
	status, err := s.Status()
	if err != nil {
		unavailable(w, err)
		return
	}
	respondJSON(w, status)
}

// handleReplica adds a replica (PUT) or removes one (DELETE).
func (s *Server) handleReplica(w http.ResponseWriter, req *http.Request, id string) {
	var err error
	switch req.Method {
	case http.MethodPut:
		var body replicaBody
		if body, err = readReplica(req, id); err != nil {
			badRequest(w, err)
			return
		}
		err = s.replica.AddReplica(id, body.RaftAddress, body.APIAddress)
	case http.MethodDelete:
		err = s.replica.RemoveReplica(id)
	default:
		http.Error(w, "want PUT or DELETE", http.StatusMethodNotAllowed)
		return
	}
	s.respondWrite(w, req, id, Result{}, err)
}

func readReplica(req *http.Request, id string) (body replicaBody, err error) {
	if err := readJSON(req, &body); err != nil {
		return body, err
	}
	if id == "" || len(id) > maxFieldBytes || body.RaftAddress == "" || body.APIAddress == "" {
		return body, errors.New("want an id, raft and calls")
	}
	return body, nil
}
