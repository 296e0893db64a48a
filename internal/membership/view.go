package membership

import (
	"slices"
	"time"
)

// State is a member's state as this node sees it.
type State string

// Suspect means that this node's own probes go unanswered. Suspicions by other members aren't reported: they end in
// Dead or are refuted.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Left    State = "left" // announced its leave
	Dead    State = "dead" // failed without an announcement
)

// isPresent reports whether a member in this state is part of the fleet.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// Member describes a node of the fleet as this node sees it.
type Member struct {
	Name        string
	Address     string // host:port
	Zone        string
	Version     string // of the program
	Incarnation uint64 // of the process; of two processes with the same name, the one with the higher value is the member
	State       State
	Since       time.Time // when State or Incarnation last changed; a correction from Dead to Left doesn't count

	leaving bool // this incarnation announced its leave
}

// View is a snapshot of the fleet as one node sees it.
type View struct {
	Revision   uint64 // increases with each change during the life of the process
	Self       string // name of the node that has this view
	Superseded bool   // a later process uses this node's name, and this process has left
	Members    []Member
}

// PresentCount returns the number of alive or suspected members, including this node.
func (v View) PresentCount() (count int) {
	for _, m := range v.Members {
		if m.State.isPresent() {
			count++
		}
	}
	return count
}

// PresentInZone returns the number of present members in this node's zone, including this node, or 0 if this node isn't
// in the view.
func (v View) PresentInZone() (count int) {
	self := slices.IndexFunc(v.Members, func(m Member) bool { return m.Name == v.Self })
	if self < 0 {
		return 0
	}
	for _, m := range v.Members {
		if m.Zone == v.Members[self].Zone && m.State.isPresent() {
			count++
		}
	}
	return count
}
