package registry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// watchScoped holds a call until something in its scope is new, or its time is over.
func (s *Server) watchScoped(w http.ResponseWriter, req *http.Request, c *http.ResponseController, scope *Scope,
	index int64, until <-chan time.Time) {
	news, cancel := s.r.store.watchServices(scope.Services) // before looking, so that no change is missed
	defer cancel()
	over := false
	for {
		now, told := s.tellScoped(w, c, scope, index, over)
		if told {
			return
		}
		index = now
		select {
		case <-news:
		case <-until:
			over = true
		case <-req.Context().Done():
			return
		}
	}
}

// tellScoped writes what is new in a scope since a revision, or, where the call is to be answered in any case, that
// nothing is. While it tells nothing, the caller has all of the scope as of the revision that is returned.
func (s *Server) tellScoped(w http.ResponseWriter, c *http.ResponseController, scope *Scope, since int64, always bool) (now int64, told bool) {
	view, unknown := s.r.store.scopedView(scope, since)
	if unknown != nil {
		if s.fresh(w) {
			s.stats.Bad.Add(1)
			http.Error(w, unknown.Error(), http.StatusNotFound)
		}
		return 0, true
	}
	s.choices <- struct{}{} // many wake at one change, and raft needs processor time too
	list, news := view.list()
	<-s.choices
	if !news && !always {
		return list.Revision, false
	}
	raw, err := json.Marshal(list)
	if err != nil { // plain fields always can be written
		panic(err)
	}
	if !s.fresh(w) {
		return 0, true
	}
	w.Header().Set(scopedHeader, "true")
	if len(view.unknown) > 0 {
		w.Header().Set(unknownServicesHeader, strings.Join(view.unknown, ","))
	}
	s.write(w, c, raw, epochOf(view.revision))
	return 0, true
}
