package membership

import (
	"slices"
	"time"
)

// State is what this node knows of a member.
type State string

// Suspect is this node's own finding that its probes go unanswered. A suspicion by other members isn't reported:
// it ends in Dead, or is refuted.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Left    State = "left" // announced that it leaves
	Dead    State = "dead" // failed without an announcement
)

// isPresent reports whether a member in this state is part of the fleet.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// Member is one node as another sees it.
type Member struct {
	Name        string
	Address     string // host:port
	Zone        string
	Version     string // of the program
	Incarnation uint64 // of the process; of two processes with one name the higher is the member
	State       State
	Since       time.Time // when State or Incarnation last changed, but for a death corrected to Left

	leaving bool // this incarnation announced that it leaves
}

// View is the fleet as one node sees it at one moment.
type View struct {
	Revision   uint64 // grows with each change while the node's process lives
	Self       string // name of the node that sees it
	Superseded bool   // a later process has this node's name, and this one has left
	Members    []Member
}

// PresentCount counts the members that are alive or suspected, this node included.
func (v View) PresentCount() (count int) {
	for _, m := range v.Members {
		if m.State.isPresent() {
			count++
		}
	}
	return count
}

// PresentInZone counts the present members in this node's own zone, itself included; 0 if it isn't in the view.
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
