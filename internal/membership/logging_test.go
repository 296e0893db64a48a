package membership

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// newTestLog returns a log that writes to out, with now as its clock.
func newTestLog(out *strings.Builder, now *time.Time) *limitedLog {
	return newLimitedLog(slog.New(slog.NewTextHandler(out, nil)), func() time.Time { return *now })
}

// Lines that differ only in an address are of the same kind. One line of each kind is written per logInterval.
func TestLogLinesOfOneKindAreRateLimited(t *testing.T) {
	var out strings.Builder
	now := time.Unix(0, 0)
	l := newTestLog(&out, &now)
	w := &memberlistLog{limited: l, onEvent: func(logEvent, string) {}}
	write := func(i int) {
		t.Helper()
		_, err := fmt.Fprintf(w,
			"[ERR] memberlist: Decrypt packet failed: No installed keys could decrypt the message from=10.0.0.%d:7946", i)
		if err != nil {
			t.Fatal(err)
		}
	}
	for i := range 1000 {
		write(i)
	}
	if n := strings.Count(out.String(), "\n"); n != 1 || l.suppressedLines() != 999 {
		t.Errorf("1000 lines of one kind: got %d written and %d suppressed, want 1 and 999", n, l.suppressedLines())
	}
	now = now.Add(logInterval)
	write(1)
	if n := strings.Count(out.String(), "\n"); n != 2 {
		t.Errorf("lines written after the interval: got %d, want 2", n)
	}
}

// The number of kinds with a limit of their own is bounded.
func TestLogKindsAreBounded(t *testing.T) {
	var out strings.Builder
	now := time.Unix(0, 0)
	l := newTestLog(&out, &now)
	for i := range 2 * maxLogKinds {
		l.log(slog.LevelWarn, fmt.Sprint("kind ", i))
	}
	if n := strings.Count(out.String(), "\n"); n != maxLogKinds+1 {
		t.Errorf("written lines: got %d for %d kinds, want %d", n, 2*maxLogKinds, maxLogKinds+1)
	}
}

// On-call runbooks and tests with real processes match the beginning of this log line.
func TestMemberStateChangeLogFormat(t *testing.T) {
	var out strings.Builder
	now := time.Unix(0, 0)
	l := newTestLog(&out, &now)
	l.memberChanged(Member{Name: "n1", State: Suspect}, Member{Name: "n1", State: Dead, Zone: "a", Incarnation: 7})
	const want = `level=INFO msg="fleet: member state changed" state=dead node=n1 address="" zone=a previous_state=suspect incarnation=7`
	if !strings.Contains(out.String(), want) {
		t.Errorf("log line: got %q, want it to contain %q", out.String(), want)
	}
}
