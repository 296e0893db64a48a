package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// Members that left or failed stay in the view at least so long: they are removed at the next change after it.
	leftRetention = 5 * time.Minute
	deadRetention = time.Hour
	// maxMembers bounds the absent members only: beyond it those absent for longest are dropped. Present members are
	// never dropped, however many they are.
	maxMembers = 4096
)

// memberTable owns the members that this node knows and publishes each change as a new view. Its methods may be
// called from any goroutine and don't wait for subscribers.
type memberTable struct {
	self string
	now  func() time.Time
	// onReported is called for each change of a state or an incarnation that gossip reports; a suspicion is this node's
	// own, and isn't reported. It is called with the lock held, so that log lines have the order of the changes. before
	// is the zero value for a new member.
	onReported func(before, after Member)

	mu          sync.Mutex
	members     map[string]Member
	revision    uint64
	superseded  bool
	subscribers []chan View // each holds the newest view at most
}

func newMemberTable(self string, now func() time.Time, onReported func(before, after Member)) *memberTable {
	return &memberTable{self: self, now: now, onReported: onReported, members: make(map[string]Member)}
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

// address returns where a member is reached; empty for an unknown one.
func (t *memberTable) address(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[name].Address
}

// peerAddresses returns, sorted, the addresses of the members that are present and of those that failed, without
// this node's own.
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

// update stores a member as gossip reports it and returns whether its state or incarnation changed.
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
		t.onReported(before, m)
	}
	t.publishLocked()
	return transitioned
}

// setSuspicion begins or ends this node's own suspicion of a member, which goes from one state to another; in any
// other state it stays.
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

// announceLeave records that an incarnation of a member leaves. The announcement may arrive after the member was
// found dead, which it corrects; Since stays that of the death, and onReported isn't called.
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

// supersede records that a later process has this node's name; false if that was known.
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

// publishLocked starts a new revision and replaces the views that no subscriber has read yet.
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

// removeExpiredLocked drops absent members after their retention, and those absent for longest above maxMembers.
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
