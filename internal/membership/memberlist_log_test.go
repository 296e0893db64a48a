package membership

import (
	"strings"
	"testing"
	"time"
)

func TestOnlyMemberlistProblemsAreLogged(t *testing.T) {
	for _, c := range []struct {
		line, want string
	}{
		{"[DEBUG] memberlist: Initiating push/pull sync", ""},
		{"[INFO] memberlist: Marking n1 as failed", ""},
		{"[WARN] memberlist: Was able to connect", `level=WARN msg="fleet: memberlist reported a problem" line="Was able to connect"`},
		{"[ERR] memberlist: Decrypt failed", `level=WARN msg="fleet: memberlist reported a problem" line="Decrypt failed"`},
		{"no level", `level=WARN msg="fleet: memberlist reported a problem" line="no level"`},
	} {
		var out strings.Builder
		now := time.Unix(0, 0)
		w := &memberlistLog{limited: newTestLog(&out, &now), onEvent: func(logEvent, string) {}}
		w.logger().Print(c.line)
		if got := out.String(); c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("log output for %q: got %q, want it to contain %q, or no output if the wanted text is empty", c.line, got, c.want)
		}
	}
}

func TestParseLogEvent(t *testing.T) {
	for _, c := range []struct {
		line  string
		event logEvent
		node  string
	}{
		{"Suspect n1 has failed, no acks received", memberSuspected, "n1"},
		{"Failed UDP ping: n1 (timeout reached)", probeUnanswered, ""},
		{"Refuting a suspect message (from: n1)", suspicionRefuted, ""},
		{"Refuting a dead message (from: n1)", noLogEvent, ""},
		{"Suspect n1 has", noLogEvent, ""},
		{"", noLogEvent, ""},
	} {
		if event, node := parseLogEvent(c.line); event != c.event || node != c.node {
			t.Errorf("parseLogEvent(%q): got event %d for node %q, want %d for %q", c.line, event, node, c.event, c.node)
		}
	}
}

func (l *probeLoss) lossRate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate
}

// memberlist still logs the lines that parseLogEvent parses.
func TestMemberlistStillLogsEvents(t *testing.T) {
	withFleet(t, 7, func(t *testing.T, v *virtualFleet) {
		const victim = 6
		v.kill(victim)
		v.awaitPresent(t, 15*time.Second, victim, indexes(victim)...)
		var suspected, lossy bool
		for i := range victim {
			suspected = suspected || v.suspected(i, nodeName(victim))
			lossy = lossy || v.agents[i].network.probeLoss.lossRate() > 0
		}
		if !suspected {
			t.Error("no member suspected the killed member before declaring it dead")
		}
		if !lossy {
			t.Error("no member counted a direct probe of the killed member as lost")
		}

		v.network.setLoss(0.5) // members suspect others that are alive
		time.Sleep(30 * time.Second)
		var refuted uint64
		for i := range victim {
			refuted += v.agents[i].Stats().RefutedSuspicions
		}
		if refuted == 0 {
			t.Error("no suspicion was refuted at a loss of 0.5, want at least one")
		}
	})
}
