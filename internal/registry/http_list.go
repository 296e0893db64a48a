package registry

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// listCall is a parsed GET of the list.
type listCall struct {
	isWatch bool
	since   int64         // for a watch, the revision that the caller has
	wait    time.Duration // maximum time that a watch waits for a change
	scope   *Scope        // nil for the full list
}

func parseListCall(req *http.Request) (call listCall, err error) {
	query := req.URL.Query()
	revision, wait := query.Get(revisionParam), query.Get(waitParam)
	since, err := parseOptionalInt(revision)
	waitMs, waitErr := parseOptionalInt(wait)
	if err != nil || waitErr != nil {
		return listCall{}, invalidField(revisionParam+", "+waitParam, "want whole numbers")
	}
	scope, err := parseScope(query)
	if err != nil {
		return listCall{}, err
	}
	return listCall{isWatch: revision != "", since: since, scope: scope,
		wait: min(maxWatchWait, max(0, time.Duration(waitMs)*time.Millisecond))}, nil
}

// parseOptionalInt parses a whole number; an empty text is 0.
func parseOptionalInt(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// handleList responds with the full or a scoped list. It responds to a watch once there are changes since the caller's
// revision, or at the watch's timeout.
func (s *Server) handleList(w http.ResponseWriter, req *http.Request) {
	call, err := parseListCall(req)
	if err != nil {
		badRequest(w, err)
		return
	}
	switch {
	case call.isWatch:
		s.handleWatch(w, req, call)
	case call.scope != nil:
		s.respondScoped(w, call.scope, fullListRevision, true)
	default:
		s.respondList(w, fullListRevision, true)
	}
}

func (s *Server) handleWatch(w http.ResponseWriter, req *http.Request, call listCall) {
	if !s.acquire(w, s.watches) {
		return
	}
	s.counters.watches.Add(1)
	defer func() {
		s.watches.release()
		s.counters.watches.Add(-1)
	}()
	timeout := time.NewTimer(call.wait)
	defer timeout.Stop()
	if call.scope != nil {
		s.watchScoped(w, req, call, timeout.C)
		return
	}
	s.watchList(w, req, call, timeout.C)
}

// watchList responds once there is a change since the caller's revision, or at the timeout.
func (s *Server) watchList(w http.ResponseWriter, req *http.Request, call listCall, timeout <-chan time.Time) {
	timedOut := false
	for {
		change := s.replica.store.nextChange() // before the list is read, so that no change is missed
		if responded := s.respondList(w, call.since, timedOut); responded {
			return
		}
		select {
		case <-change:
		case <-timeout:
			timedOut = true
		case <-req.Context().Done():
			return
		}
	}
}

// respondList responds with the list since a revision, or with 503 if the list may be too old or too many lists are being
// sent. If nothing changed after that revision, and evenIfUnchanged is not set, it sends nothing and returns false.
func (s *Server) respondList(w http.ResponseWriter, since int64, evenIfUnchanged bool) (responded bool) {
	raw, epoch := s.replica.store.encodedList(since, evenIfUnchanged)
	if raw == nil {
		return false
	}
	if s.checkAge(w) {
		s.sendList(w, raw, epoch)
	}
	return true
}

// watchScoped responds once there is a change in the scope since the caller's revision, or at the timeout.
func (s *Server) watchScoped(w http.ResponseWriter, req *http.Request, call listCall, timeout <-chan time.Time) {
	changes, cancel := s.replica.store.watchServices(call.scope.Services) // before the list is read, so that no change is missed
	defer cancel()
	timedOut := false
	since := call.since
	for {
		current, responded := s.respondScoped(w, call.scope, since, timedOut)
		if responded {
			return
		}
		since = current // nothing in the scope changed up to this revision
		select {
		case <-changes:
		case <-timeout:
			timedOut = true
		case <-req.Context().Done():
			return
		}
	}
}

// respondScoped responds with the scoped list since a revision, with 404 if all services of the scope are unknown, or with
// 503 like respondList. If nothing in the scope changed, and evenIfUnchanged is not set, it sends nothing and returns
// false with the revision up to which the scope is unchanged.
func (s *Server) respondScoped(w http.ResponseWriter, scope *Scope, since int64, evenIfUnchanged bool) (revision int64, responded bool) {
	view, err := s.replica.store.scopedView(scope, since)
	if err != nil {
		s.respondUnknownServices(w, err)
		return 0, true
	}
	s.scopedLists.acquire() // limited: one change wakes many watches, and raft needs CPU time too
	list, changed := view.list()
	s.scopedLists.release()
	if !changed && !evenIfUnchanged {
		return list.Revision, false
	}
	raw := mustMarshalJSON(list)
	if !s.checkAge(w) {
		return 0, true
	}
	w.Header().Set(scopedHeader, "true")
	if len(view.unknown) > 0 {
		w.Header().Set(unknownServicesHeader, strings.Join(view.unknown, ","))
	}
	s.sendList(w, raw, epochOf(list.Revision))
	return 0, true
}

// respondUnknownServices responds 404, so that a caller doesn't take unknown services for services without servers.
func (s *Server) respondUnknownServices(w http.ResponseWriter, err error) {
	if s.checkAge(w) {
		http.Error(w, err.Error(), http.StatusNotFound)
	}
}

func (s *Server) sendList(w http.ResponseWriter, raw []byte, epoch int64) {
	if !s.acquire(w, s.listResponses) {
		return
	}
	defer s.listResponses.release()
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(epochHeader, formatInt(epoch))
	s.counters.lists.Add(1)
	if _, err := w.Write(raw); err != nil {
		slog.Debug("registry: sending a list failed", "error", err)
	}
}
