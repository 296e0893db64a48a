package testcluster

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sloerail/internal/emulator"
)

// SetZoneRemoved takes the servers of a zone out of the list in one change, without a word of draining, or puts them back.
func (e *Environment) SetZoneRemoved(zone string, on bool) {
	var all []emulator.ServerSpec
	e.EachServerInZone(zone, func(b *emulator.Server) { all = append(all, b.Spec) })
	e.updateList(all, map[bool]string{true: emulator.Removed, false: emulator.Up}[on])
}

// updateList changes what the list says of servers, all at once, and tells all watches.
func (e *Environment) updateList(servers []emulator.ServerSpec, phase string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, spec := range servers {
		b := e.servers[spec.ID]
		b.Draining = phase == emulator.Draining
		e.list.Set(e.entry(b, phase))
	}
	close(e.listChanged)
	e.listChanged = make(chan struct{})
}

// entry is a server in the form of the list.
func (e *Environment) entry(b *server, phase string) emulator.Entry {
	entry := emulator.Entry{ID: b.Spec.ID, Locality: b.Spec.Zone, Flavor: b.Spec.Kind, Cell: b.Spec.Cell, Phase: phase, Size: 1}
	if started := b.Started(); started > 0 {
		entry.UpSince = e.start.Add(started).UnixMilli()
	}
	return entry
}

// SetPhase changes what the list says of a server, and tells all watches.
func (e *Environment) SetPhase(id, phase string) {
	var spec emulator.ServerSpec
	e.WithLock(func() { spec = e.servers[id].Spec })
	e.updateList([]emulator.ServerSpec{spec}, phase)
}

// ListCalls are when nodes called for the list since a time, in order.
func (e *Environment) ListCalls(since time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := slices.BinarySearchFunc(e.listCalls, since, time.Time.Compare)
	return slices.Clone(e.listCalls[i:])
}

func withAddresses(a emulator.ListResponse, addrs map[string]string) emulator.ListResponse {
	for i := range a.Members {
		a.Members[i].HostPort = addrs[a.Members[i].ID]
	}
	return a
}

// listHandler is the list service as one node sees it.
func (e *Environment) listHandler(node string, addrs map[string]string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
		watch := err == nil
		ms, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
		until := time.After(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
		e.mu.Lock()
		if e.listCalls = append(e.listCalls, time.Now()); len(e.listCalls) > maxListCalls {
			e.listCalls = slices.Clone(e.listCalls[maxListCalls/2:])
		}
		e.mu.Unlock()
		var a emulator.ListResponse
		for told := false; !told; {
			e.mu.Lock()
			if a, told = e.list.Since(index); !watch {
				a, told = e.list.Snapshot(), true
			}
			changed := e.listChanged
			e.mu.Unlock()
			if told {
				break
			}
			select {
			case <-changed:
			case <-until:
				told = true
			case <-r.Context().Done():
				return
			}
		}
		rw.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(rw).Encode(withAddresses(a, addrs)) != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, entry := range a.Members {
			e.Checker.ChangeNotified(e.now(), node, entry.ID, entry.Phase)
		}
	})
}
