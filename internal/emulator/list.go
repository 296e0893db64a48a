package emulator

import (
	"maps"
	"slices"
)

// Entry is a server in the list, in the format of the platform's list service.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // the zone
	Flavor   string  `json:"flavor"`   // the kind of server
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`        // the weight
	UpSince  int64   `json:"up_since_ms"` // Unix time of the server's start in milliseconds; 0 if unknown
}

// Values of Entry.Phase.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// ListResponse is the response to a watch or poll, in the format of the platform's list service.
type ListResponse struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"` // if false, Members holds only the changed entries
	Members  []Entry `json:"members"`
}

// maxChanges is the maximum number of retained changes. A watch from a revision before these changes
// gets the complete list.
const maxChanges = 1024

// List emulates the platform's list service.
type List struct {
	entries  map[string]Entry
	changes  []change // oldest first, one for each revision
	revision int64
}

// change is a revision, and the entry that was set in it.
type change struct {
	revision int64
	entry    Entry
}

// NewList returns an empty list.
func NewList() *List { return &List{entries: make(map[string]Entry)} }

// Set adds or replaces an entry, or removes it if its phase is Removed.
func (l *List) Set(e Entry) {
	l.revision++
	if l.entries[e.ID] = e; e.Phase == Removed {
		delete(l.entries, e.ID)
	}
	if l.changes = append(l.changes, change{l.revision, e}); len(l.changes) > maxChanges {
		l.changes = slices.Clone(l.changes[len(l.changes)-maxChanges/2:])
	}
}

// SetPhase changes the phase of an entry. It has no effect if the list has no entry with this ID.
func (l *List) SetPhase(id, phase string) {
	if e, ok := l.entries[id]; ok {
		e.Phase = phase
		l.Set(e)
	}
}

// Snapshot returns the complete list.
func (l *List) Snapshot() ListResponse {
	return ListResponse{Revision: l.revision, Complete: true, Members: sortedByID(l.entries)}
}

// Since returns the entries that have changed after a revision. ok is false if there are none. Since returns the complete
// list if the revision is newer than the list, or if some of the changes after it are no longer retained.
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
	return ListResponse{Revision: l.revision, Members: sortedByID(newest)}, true
}

// sortedByID returns the entries in order of their IDs. The result is never nil, because nil is null in JSON.
func sortedByID(entries map[string]Entry) []Entry {
	sorted := make([]Entry, 0, len(entries))
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		sorted = append(sorted, entries[id])
	}
	return sorted
}
