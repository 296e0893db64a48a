package emulator

import (
	"maps"
	"slices"
)

// Entry is one server of the list, in discovery's form.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int64   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Phases of an entry.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// Answer is what a call for the list is told.
type Answer struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

const maxChanges = 1024 // older watches get the whole list

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

// Set adds or changes an entry; one that is removed leaves the list.
func (l *List) Set(e Entry) {
	l.revision++
	if l.entries[e.ID] = e; e.Phase == Removed {
		delete(l.entries, e.ID)
	}
	if l.changes = append(l.changes, change{l.revision, e}); len(l.changes) > maxChanges {
		l.changes = slices.Clone(l.changes[len(l.changes)-maxChanges/2:])
	}
}

// Phase changes what the list says of a server that is in it.
func (l *List) Phase(id, phase string) {
	if e, ok := l.entries[id]; ok {
		e.Phase = phase
		l.Set(e)
	}
}

// Snapshot is the list as it is.
func (l *List) Snapshot() Answer {
	a := Answer{Revision: l.revision, Complete: true, Members: []Entry{}}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		a.Members = append(a.Members, l.entries[id])
	}
	return a
}

// Since is what changed after a revision; ok is false where nothing did. A revision that the list never had,
// or whose changes it no longer has, is answered with the whole.
func (l *List) Since(revision int64) (a Answer, ok bool) {
	if revision == l.revision {
		return Answer{Revision: l.revision, Members: []Entry{}}, false
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
	a = Answer{Revision: l.revision, Members: []Entry{}}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		a.Members = append(a.Members, newest[id])
	}
	return a, true
}
