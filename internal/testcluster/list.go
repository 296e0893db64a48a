package testcluster

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sloerail/internal/emulator"
)

// SetZoneRemoved removes the servers of a zone from the list without draining them, or puts them back, in one change.
func (e *Environment) SetZoneRemoved(zone string, removed bool) {
	var specs []emulator.ServerSpec
	e.EachServerInZone(zone, func(s *emulator.Server) { specs = append(specs, s.Spec) })
	e.updateList(specs, removedOrUp(removed))
}

// removedOrUp returns the phase Removed if removed is set, else Up.
func removedOrUp(removed bool) string {
	if removed {
		return emulator.Removed
	}
	return emulator.Up
}

// updateList sets the phase of servers in the list in one change and notifies all watches.
func (e *Environment) updateList(servers []emulator.ServerSpec, phase string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, spec := range servers {
		s := e.servers[spec.ID]
		s.Draining = phase == emulator.Draining
		e.list.Set(e.entry(s, phase))
	}
	close(e.listChanged)
	e.listChanged = make(chan struct{})
}

// entry returns the list entry of a server, without its address.
func (e *Environment) entry(s *server, phase string) emulator.Entry {
	entry := emulator.Entry{ID: s.Spec.ID, Locality: s.Spec.Zone, Flavor: s.Spec.Kind, Cell: s.Spec.Cell, Phase: phase, Size: 1}
	if started := s.Started(); started > 0 {
		entry.UpSince = e.start.Add(started).UnixMilli()
	}
	return entry
}

// SetPhase sets the phase of a server in the list and notifies all watches.
func (e *Environment) SetPhase(id, phase string) {
	var spec emulator.ServerSpec
	e.WithLock(func() { spec = e.servers[id].Spec })
	e.updateList([]emulator.ServerSpec{spec}, phase)
}

// ListCalls returns the times at which nodes called the list service since the given time, in order. Only the newest calls
// are retained, half of maxListCalls at least.
func (e *Environment) ListCalls(since time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := slices.BinarySearchFunc(e.listCalls, since, time.Time.Compare)
	return slices.Clone(e.listCalls[i:])
}

// withAddresses fills in the addresses at which one node reaches the servers.
func withAddresses(list emulator.ListResponse, addresses map[string]string) emulator.ListResponse {
	for i := range list.Members {
		list.Members[i].HostPort = addresses[list.Members[i].ID]
	}
	return list
}

// listHandler returns the list service of one node. A request without an index is a poll, which is answered at once.
func (e *Environment) listHandler(node string, addresses map[string]string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.recordListCall()
		index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
		var list emulator.ListResponse
		if isPoll := err != nil; isPoll {
			e.WithLock(func() { list = e.list.Snapshot() })
		} else {
			waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
			timeout := min(maxWatchWait, time.Duration(waitMs)*time.Millisecond)
			if list, err = e.awaitListChange(r.Context(), index, timeout); err != nil {
				return // the node closed the connection
			}
		}
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(withAddresses(list, addresses)) != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, entry := range list.Members {
			e.Checker.ChangeNotified(e.now(), node, entry.ID, entry.Phase)
		}
	})
}

// recordListCall records the time of a call. Beyond maxListCalls it drops the older half.
func (e *Environment) recordListCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listCalls = append(e.listCalls, time.Now()); len(e.listCalls) > maxListCalls {
		e.listCalls = slices.Clone(e.listCalls[maxListCalls/2:])
	}
}

// awaitListChange waits until the list has changed since a revision, and returns the changes, or the whole list if the
// changes since that revision are no longer known. After the timeout it returns an empty change.
func (e *Environment) awaitListChange(ctx context.Context, revision int64, timeout time.Duration) (emulator.ListResponse, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		e.mu.Lock()
		list, changed := e.list.Since(revision)
		nextChange := e.listChanged
		e.mu.Unlock()
		if changed {
			return list, nil
		}
		select {
		case <-nextChange:
		case <-timer.C:
			return list, nil
		case <-ctx.Done():
			return list, ctx.Err()
		}
	}
}
