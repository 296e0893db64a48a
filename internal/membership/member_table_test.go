package membership

import (
	"fmt"
	"testing"
	"time"
)

// newTestTable returns a table with now as its clock, and the transitions that it reports.
func newTestTable(now *time.Time) (*memberTable, *[]string) {
	transitions := new([]string)
	t := newMemberTable("self", func() time.Time { return *now }, func(before, after Member) {
		*transitions = append(*transitions, fmt.Sprintf("%s %s>%s", after.Name, before.State, after.State))
	})
	return t, transitions
}

func TestMemberTableUpdate(t *testing.T) {
	alive := Member{Name: "n1", Address: "10.0.0.1:1", Incarnation: 1, State: Alive}
	with := func(change func(*Member)) Member {
		m := alive
		change(&m)
		return m
	}
	for _, c := range []struct {
		name         string
		update       Member
		wantState    State
		transitioned bool
		published    bool
	}{
		{"no change", alive, Alive, false, false},
		{"another zone", with(func(m *Member) { m.Zone = "b" }), Alive, false, true},
		{"a later incarnation", with(func(m *Member) { m.Incarnation = 2 }), Alive, true, true},
		{"a death", with(func(m *Member) { m.State = Dead }), Dead, true, true},
		{"a leave", with(func(m *Member) { m.leaving = true }), Left, true, true},
		{"a death of a leaving member", with(func(m *Member) { m.State, m.leaving = Dead, true }), Left, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table, transitions := newTestTable(&now)
			table.update(alive)
			before := table.view()
			now = now.Add(time.Second)
			if got := table.update(c.update); got != c.transitioned {
				t.Errorf("update reports a transition: got %v, want %v", got, c.transitioned)
			}
			after := table.view()
			if published := after.Revision > before.Revision; published != c.published {
				t.Errorf("view published: got %v, want %v", published, c.published)
			}
			if m := after.Members[0]; m.State != c.wantState || m.Since.Equal(now) != c.transitioned {
				t.Errorf("member: got %+v, want state %s and Since changed only by a transition", m, c.wantState)
			}
			if reported := len(*transitions) == 2; reported != c.transitioned {
				t.Errorf("transitions reported: got %v, want one for the first update, and another if the second update changes the state or incarnation", *transitions)
			}
		})
	}
}

// A leave announcement counts only for the incarnation it names. A dead member becomes left at once; an alive one becomes
// left when it is declared dead.
func TestMemberTableAnnounceLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := newTestTable(&now)
	dead := Member{Name: "n1", Incarnation: 2, State: Dead}
	table.update(dead)
	table.announceLeave("n1", 1)
	if s := table.view().Members[0].State; s != Dead {
		t.Errorf("state after an announcement of another incarnation: got %s, want dead", s)
	}
	table.announceLeave("n1", 2)
	if s := table.view().Members[0].State; s != Left {
		t.Errorf("state after a late announcement: got %s, want left", s)
	}

	table.update(Member{Name: "n2", Incarnation: 1, State: Alive})
	table.announceLeave("n2", 1)
	if s := table.view().Members[1].State; s != Alive {
		t.Errorf("state after an announcement by an alive member: got %s, want alive", s)
	}
	table.update(Member{Name: "n2", Incarnation: 1, State: Dead})
	if s := table.view().Members[1].State; s != Left {
		t.Errorf("state after an early announcement and a death: got %s, want left", s)
	}
	table.update(Member{Name: "n2", Incarnation: 2, State: Alive})
	if s := table.view().Members[1].State; s != Alive {
		t.Errorf("state of a later incarnation: got %s, want alive", s)
	}
}

func TestMemberTableSuspicionRequiresFromState(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := newTestTable(&now)
	table.update(Member{Name: "n1", State: Dead})
	table.setSuspicion("n1", Alive, Suspect)
	table.setSuspicion("n2", Alive, Suspect)
	if v := table.view(); len(v.Members) != 1 || v.Members[0].State != Dead {
		t.Errorf("view after suspicions of a dead and an unknown member: got %+v, want one dead member", v)
	}
}

func TestMemberTableDropsAbsentMembers(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		state State
		after time.Duration
		want  int
	}{
		{Left, leftRetention, 1},
		{Left, leftRetention + time.Second, 0},
		{Dead, deadRetention, 1},
		{Dead, deadRetention + time.Second, 0},
		{Alive, 2 * deadRetention, 1},
	} {
		now := start
		table, _ := newTestTable(&now)
		table.update(Member{Name: "n1", State: c.state})
		now = now.Add(c.after)
		table.update(Member{Name: "n2", State: Alive}) // members expire only on changes
		if got := len(table.view().Members) - 1; got != c.want {
			t.Errorf("member that was %s for %v: got %d such members in the view, want %d", c.state, c.after, got, c.want)
		}
	}
}

// A full table accepts no new dead member. A new alive member replaces the one that has been dead longest.
func TestMemberTableIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := newTestTable(&now)
	for i := range maxMembers {
		now = now.Add(time.Millisecond)
		state := Alive
		if i == 7 || i == 9 {
			state = Dead
		}
		table.members[nodeName(i)] = Member{Name: nodeName(i), State: state, Since: now}
	}
	if table.update(Member{Name: "dead", State: Dead}) {
		t.Error("a dead member was added to a full table")
	}
	table.update(Member{Name: "alive", State: Alive})
	if len(table.members) != maxMembers {
		t.Errorf("members in a full table: got %d, want %d", len(table.members), maxMembers)
	}
	if _, ok := table.members[nodeName(7)]; ok {
		t.Error("the member dead for longest is still in the table")
	}
	if _, ok := table.members[nodeName(9)]; !ok {
		t.Error("the member that died later was removed")
	}
}

// The early subscriber subscribes before the changes and reads after them; the late one subscribes after them. Both get
// the newest view.
func TestMemberTableSubscribersGetTheNewestView(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := newTestTable(&now)
	early := table.subscribe()
	select {
	case v := <-early:
		t.Errorf("got view %+v before the first change, want none", v)
	default:
	}
	for i := range 5 {
		table.update(Member{Name: nodeName(i), State: Alive})
	}
	for name, views := range map[string]<-chan View{"early": early, "late": table.subscribe()} {
		select {
		case v := <-views:
			if v.Revision != 5 || len(v.Members) != 5 {
				t.Errorf("%s subscriber: got view %+v, want revision 5 with 5 members", name, v)
			}
		default:
			t.Errorf("%s subscriber: got no view", name)
		}
	}
}
