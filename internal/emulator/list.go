package emulator

import (
	"maps"
	"slices"
)

// Entry is one server of the list, in the form of the platform's list service.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // the zone
	Flavor   string  `json:"flavor"`   // the kind of server
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`        // the weight
	UpSince  int64   `json:"up_since_ms"` // Unix time of its start; 0 for unknown
}

// Phases of an entry.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// ListResponse is the response to a watch or poll, in the form of the platform's list service.
type ListResponse struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"` // else the members are those that have changed
	Members  []Entry `json:"members"`
}

// maxChanges bounds the changes that are retained; a watch from an older revision gets the complete list.
const maxChanges = 1024

// List is a stand-in for the platform's list service.
type List struct {
	entries  map[string]Entry
	changes  []change // oldest first, one a revision
	revision int64
}

type change struct {
	revision int64
	entry    Entry
}

// NewList makes an empty list.
func NewList() *List { return &List{entries: make(map[string]Entry)} }

// Set adds or changes an entry; one whose phase is Removed leaves the list.
func (l *List) Set(e Entry) {
	l.revision++
	if l.entries[e.ID] = e; e.Phase == Removed {
		delete(l.entries, e.ID)
	}
	if l.changes = append(l.changes, change{l.revision, e}); len(l.changes) > maxChanges {
		l.changes = slices.Clone(l.changes[len(l.changes)-maxChanges/2:])
	}
}

// SetPhase changes the phase of a server that is in the list.
func (l *List) SetPhase(id, phase string) {
	if e, ok := l.entries[id]; ok {
		e.Phase = phase
		l.Set(e)
	}
}

// Snapshot returns the complete list.
func (l *List) Snapshot() ListResponse {
	return ListResponse{Revision: l.revision, Complete: true, Members: inOrder(l.entries)}
}

// Since returns the entries that have changed after a revision; ok is false where none has. A revision that the list
// never had, or whose changes are no longer retained, gets the complete list.
func (l *List) Since(revision int64) (response ListResponse, ok bool) {
	if revision == l.revision {
		return ListResponse{Revision: l.revision, Members: []Entry{}}, false
	}
	if revision > l.revision || len(l.changes) == 0 || revision < l.changes[0].revision-1 {
		return l.Snapshot(), true
	}
	newest := make(map[string]Entry)
	for _, c := range l.changes {
		if c.revision > revision {
			newest[c.entry.ID] = c.entry
		}
	}
	return ListResponse{Revision: l.revision, Members: inOrder(newest)}, true
}

// inOrder returns entries in the order of their IDs; never nil, because nil is null in JSON.
func inOrder(entries map[string]Entry) []Entry {
	ordered := make([]Entry, 0, len(entries))
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		ordered = append(ordered, entries[id])
	}
	return ordered
}
