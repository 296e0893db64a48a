package testcluster

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sloerail/internal/emulator"
)

// Unlist takes the servers of a zone out of the list in one change, without a word of draining, or puts them back.
func (w *World) Unlist(zone string, on bool) {
	var all []emulator.ServerSpec
	w.EachInZone(zone, func(b *emulator.Server) { all = append(all, b.Spec) })
	w.updateList(all, map[bool]string{true: emulator.Removed, false: emulator.Up}[on])
}

// updateList changes what the list says of servers, all at once, and tells all watches.
func (w *World) updateList(servers []emulator.ServerSpec, phase string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, spec := range servers {
		b := w.servers[spec.ID]
		b.Draining = phase == emulator.Draining
		w.list.Set(w.entry(b, phase))
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// entry is a server in the form of the list.
func (w *World) entry(b *server, phase string) emulator.Entry {
	e := emulator.Entry{ID: b.Spec.ID, Locality: b.Spec.Zone, Flavor: b.Spec.Kind, Cell: b.Spec.Cell, Phase: phase, Size: 1}
	if started := b.Started(); started > 0 {
		e.UpSince = w.start.Add(started).UnixMilli()
	}
	return e
}

// Phase changes what the list says of a server, and tells all watches.
func (w *World) Phase(id, phase string) {
	var spec emulator.ServerSpec
	w.Look(func() { spec = w.servers[id].Spec })
	w.updateList([]emulator.ServerSpec{spec}, phase)
}

// ListCalls are when nodes called for the list since a time, in order.
func (w *World) ListCalls(since time.Time) []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, _ := slices.BinarySearchFunc(w.listCalls, since, time.Time.Compare)
	return slices.Clone(w.listCalls[i:])
}

func withAddresses(a emulator.Answer, addrs map[string]string) emulator.Answer {
	for i := range a.Members {
		a.Members[i].HostPort = addrs[a.Members[i].ID]
	}
	return a
}

// listHandler is the list service as one node sees it.
func (w *World) listHandler(node string, addrs map[string]string) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
		watch := err == nil
		ms, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
		until := time.After(min(maxWatch, time.Duration(ms)*time.Millisecond))
		w.mu.Lock()
		if w.listCalls = append(w.listCalls, time.Now()); len(w.listCalls) > maxCalls {
			w.listCalls = slices.Clone(w.listCalls[maxCalls/2:])
		}
		w.mu.Unlock()
		var a emulator.Answer
		for told := false; !told; {
			w.mu.Lock()
			if a, told = w.list.Since(index); !watch {
				a, told = w.list.Snapshot(), true
			}
			changed := w.changed
			w.mu.Unlock()
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
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range a.Members {
			w.Checker.ChangeNotified(w.now(), node, e.ID, e.Phase)
		}
	})
}
