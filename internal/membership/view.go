package membership

import (
	"cmp"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// State is what is known of a member.
type State string

// The states. Suspect is this node's own finding, that its probes get no answer; what others suspect comes as
// a death, or not at all.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Left    State = "left" // it said so
	Dead    State = "dead" // it fell silent
)

// absent tells whether a member in this state is no longer part of the fleet.
func (s State) absent() bool { return s == Left || s == Dead }

// Member is one node as another sees it.
type Member struct {
	Name        string
	Address     string
	Zone        string
	Version     string
	Incarnation uint64 // of its process: the later one of a name is the member
	State       State
	Since       time.Time

	leaving bool // it said that this process of it goes
}

// View is the fleet as one node sees it at a moment. Its number only grows while the node's process lives.
type View struct {
	Revision   uint64
	Self       string
	Superseded bool // another process bears this node's name, and is the member
	Members    []Member
}

// PresentCount counts the members that are there, this node among them.
func (v View) PresentCount() (n int) {
	for _, m := range v.Members {
		if m.State == Alive || m.State == Suspect {
			n++
		}
	}
	return n
}

// PresentInZone counts those of them that are in this node's zone, itself among them.
func (v View) PresentInZone() (n int) {
	own := slices.IndexFunc(v.Members, func(m Member) bool { return m.Name == v.Self })
	if own < 0 {
		return 0
	}
	for _, m := range v.Members {
		if m.Zone == v.Members[own].Zone && (m.State == Alive || m.State == Suspect) {
			n++
		}
	}
	return n
}

// View is the fleet as this node sees it now.
func (f *Agent) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view()
}

func (f *Agent) view() View {
	v := View{Revision: f.version, Self: f.config.Name, Superseded: f.superseded}
	for _, m := range f.members {
		v.Members = append(v.Members, *m)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Subscribe returns a channel on which the newest view waits after each change. One that nobody reads is
// replaced by a newer; nobody is waited for.
func (f *Agent) Subscribe() <-chan View {
	told := make(chan View, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, told)
	if f.version > 0 {
		told <- f.view()
	}
	return told
}

// publish notes a change of the view. The lock is held.
func (f *Agent) publish() {
	f.version++
	f.removeExpired()
	for _, told := range f.subscribers {
		select {
		case <-told:
		default:
		}
		told <- f.view()
	}
}

// removeExpired drops those who are long gone, and the longest gone where there are too many.
func (f *Agent) removeExpired() {
	now := f.config.now()
	for name, m := range f.members {
		gone := now.Sub(m.Since)
		if m.State == Left && gone > keepLeft || m.State == Dead && gone > keepDead {
			delete(f.members, name)
		}
	}
	if len(f.members) <= maxMembers {
		return
	}
	all := slices.SortedFunc(maps.Values(f.members), func(a, b *Member) int { return a.Since.Compare(b.Since) })
	for _, m := range all {
		if len(f.members) > maxMembers && m.State.absent() {
			delete(f.members, m.Name)
		}
	}
}

// update notes what a member is now, where that is news.
func (f *Agent) update(n *memberlist.Node, s State) {
	meta, err := decodeMetadata(n.Meta)
	if err != nil {
		f.log.logLimited(slog.LevelWarn, "fleet: member metadata unreadable", "node", n.Name, "error", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	was := f.members[n.Name]
	if was == nil && len(f.members) >= maxMembers && s.absent() {
		return
	}
	m := meta.member(n, s, f.config.now())
	if meta.Leaving || was != nil && was.Incarnation == m.Incarnation && was.leaving {
		m.State, m.leaving = Left, true
	}
	same := was != nil && was.State == m.State && was.Incarnation == m.Incarnation
	if same {
		m.Since = was.Since
	}
	if was != nil && m == *was {
		return
	}
	f.members[n.Name] = &m
	if !same {
		f.log.member(was, m)
		f.changedAt, f.exchangesLeft = f.config.now(), exchangesAfterChange
	}
	f.publish()
}

// member is who says this, in a state since a time.
func (a metadata) member(n *memberlist.Node, s State, since time.Time) Member {
	return Member{Name: n.Name, Address: net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port))), Zone: a.Zone,
		Version: a.Version, Incarnation: a.Incarnation, State: s, Since: since}
}

// changeState changes the state of a member that is there.
func (f *Agent) changeState(name string, from, to State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[name]
	if m == nil || m.State != from {
		return
	}
	next := *m
	next.State, next.Since = to, f.config.now()
	f.members[name] = &next
	f.publish()
}
