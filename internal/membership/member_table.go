package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// leftRetention and deadRetention are the times for which members that left or died stay in the view. Such members
	// are removed at the first change after that time.
	leftRetention = 5 * time.Minute
	deadRetention = time.Hour
	// maxMembers limits the members of the table. Above it, the members absent for longest are dropped. Present members
	// are never dropped, even if they alone exceed the limit.
	maxMembers = 4096
)

// memberTable holds the members known to this node and publishes each change as a new view. Its methods may be called
// from any goroutine and don't wait for subscribers.
type memberTable struct {
	self string
	now  func() time.Time
	// onTransition is called for each change of a state or an incarnation that gossip reports. This node's own suspicions
	// don't count. It is called with the lock held, so that log lines follow the order of the changes. before is the
	// zero value for a new member.
	onTransition func(before, after Member)

	mu          sync.Mutex
	members     map[string]Member
	revision    uint64
	superseded  bool
	subscribers []chan View // each buffers at most the newest view
}

func newMemberTable(self string, now func() time.Time, onTransition func(before, after Member)) *memberTable {
	return &memberTable{self: self, now: now, onTransition: onTransition, members: make(map[string]Member)}
}

func (t *memberTable) view() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewLocked()
}

func (t *memberTable) viewLocked() View {
	members := slices.SortedFunc(maps.Values(t.members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return View{Revision: t.revision, Self: t.self, Superseded: t.superseded, Members: members}
}

func (t *memberTable) subscribe() <-chan View {
	views := make(chan View, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, views)
	if t.revision > 0 {
		views <- t.viewLocked()
	}
	return views
}

// address returns a member's address, or "" if the member is unknown.
func (t *memberTable) address(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[name].Address
}

// peerAddresses returns the sorted addresses of the present members and of the dead ones, except own, this node's
// address.
func (t *memberTable) peerAddresses(own string) (present, dead []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		switch {
		case m.Address == own:
		case m.State.isPresent():
			present = append(present, m.Address)
		case m.State == Dead:
			dead = append(dead, m.Address)
		}
	}
	slices.Sort(present)
	slices.Sort(dead)
	return present, dead
}

// update stores a member reported by gossip and returns whether its state or incarnation changed. If the table is full,
// update ignores a new member that is absent.
func (t *memberTable) update(m Member) (transitioned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.members[m.Name]
	if !known && len(t.members) >= maxMembers && !m.State.isPresent() {
		return false
	}
	if m.leaving || before.leaving && before.Incarnation == m.Incarnation {
		m.State, m.leaving = Left, true
	}
	transitioned = !known || before.State != m.State || before.Incarnation != m.Incarnation
	m.Since = before.Since
	if transitioned {
		m.Since = t.now()
	}
	if known && m == before {
		return false
	}
	t.members[m.Name] = m
	if transitioned {
		t.onTransition(before, m)
	}
	t.publishLocked()
	return transitioned
}

// setSuspicion starts or ends this node's own suspicion of a member: it moves the member from one state to the other. A
// member in any other state is unchanged.
func (t *memberTable) setSuspicion(name string, from, to State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[name]
	if !known || m.State != from {
		return
	}
	m.State, m.Since = to, t.now()
	t.members[name] = m
	t.publishLocked()
}

// announceLeave records that an incarnation of a member leaves. If the announcement arrives after the member was
// declared dead, the state changes to Left; Since remains the time of death, and onTransition isn't called.
func (t *memberTable) announceLeave(name string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, known := t.members[name]
	if !known || m.Incarnation != incarnation {
		return
	}
	m.leaving = true
	wasDead := m.State == Dead
	if wasDead {
		m.State = Left
	}
	t.members[name] = m
	if wasDead {
		t.publishLocked()
	}
}

// supersede records that a later process uses this node's name. It returns false if that was recorded before.
func (t *memberTable) supersede() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.superseded {
		return false
	}
	t.superseded = true
	t.publishLocked()
	return true
}

func (t *memberTable) revisionNumber() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// publishLocked starts a new revision, drops members by removeExpiredLocked, and sends the view to each subscriber, in
// place of a view not yet read.
func (t *memberTable) publishLocked() {
	t.revision++
	t.removeExpiredLocked()
	for _, views := range t.subscribers {
		select {
		case <-views:
		default:
		}
		views <- t.viewLocked()
	}
}

// removeExpiredLocked drops the absent members whose retention has passed and, while the table has more than maxMembers,
// those absent for longest.
func (t *memberTable) removeExpiredLocked() {
	now := t.now()
	maps.DeleteFunc(t.members, func(_ string, m Member) bool {
		age := now.Sub(m.Since)
		return m.State == Left && age > leftRetention || m.State == Dead && age > deadRetention
	})
	if len(t.members) <= maxMembers {
		return
	}
	oldestFirst := slices.SortedFunc(maps.Values(t.members), func(a, b Member) int { return a.Since.Compare(b.Since) })
	for _, m := range oldestFirst {
		if len(t.members) <= maxMembers {
			return
		}
		if !m.State.isPresent() {
			delete(t.members, m.Name)
		}
	}
}
