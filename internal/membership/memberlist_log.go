package membership

import (
	"log"
	"log/slog"
	"strings"
)

// memberlistLog is the writer behind memberlist's logger. It passes lines on to the program's log, and reads events
// off them.
type memberlistLog struct {
	to *limitedLog
	// onEvent is called from the goroutine of memberlist that logs, possibly with memberlist's lock held.
	onEvent func(event logEvent, node string)
}

func (l *memberlistLog) logger() *log.Logger { return log.New(l, "", 0) }

// levelPrefixes are how memberlist marks its levels. Its errors are warnings here: requests are served on.
var levelPrefixes = []struct {
	prefix string
	level  slog.Level
}{
	{"[DEBUG] ", slog.LevelDebug},
	{"[INFO] ", slog.LevelInfo},
	{"[WARN] ", slog.LevelWarn},
	{"[ERR] ", slog.LevelWarn},
}

// Write takes one line from memberlist.
func (l *memberlistLog) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	level := slog.LevelWarn
	for _, known := range levelPrefixes {
		if rest, ok := strings.CutPrefix(line, known.prefix); ok {
			line, level = rest, known.level
			break
		}
	}
	line = strings.TrimPrefix(line, "memberlist: ")
	if event, node := parseLogEvent(line); event != noLogEvent {
		l.onEvent(event, node)
	}
	if level > slog.LevelInfo {
		l.to.logKind(kindOfLine(line), level, "fleet: memberlist reported a problem", "line", line)
	}
	return len(p), nil
}

const maxKindFields = 5

// kindOfLine returns the first fields of a line that are no names, addresses or numbers.
func kindOfLine(line string) string {
	var kind []string
	for field := range strings.FieldsSeq(line) {
		hasDigit := strings.ContainsAny(field, "0123456789")
		isValue := hasDigit || strings.ContainsAny(field, ".:='[]") && !strings.HasSuffix(field, ":")
		if !isValue {
			kind = append(kind, field)
		}
		if len(kind) == maxKindFields {
			break
		}
	}
	return strings.Join(kind, " ")
}

// logEvent is an event that memberlist reports in its log alone: v0.7.0 has no callback for any of them.
type logEvent uint8

const (
	noLogEvent       logEvent = iota
	probeUnanswered           // a direct probe of a member timed out
	memberSuspected           // this node's probes of a member, direct and indirect, all failed
	suspicionRefuted          // another member suspected this node, which answered
)

// parseLogEvent returns the event that a line reports, and the member's name for memberSuspected. This is the one
// place where text is matched. TestMemberlistStillLogsEvents fails if a new version of memberlist words it otherwise.
func parseLogEvent(line string) (event logEvent, node string) {
	if name, ok := textBetween(line, "Suspect ", " has failed, no acks received"); ok {
		return memberSuspected, name
	}
	if _, ok := textBetween(line, "Failed UDP ping: ", " (timeout reached)"); ok {
		return probeUnanswered, ""
	}
	if strings.Contains(line, "Refuting a suspect message") {
		return suspicionRefuted, ""
	}
	return noLogEvent, ""
}

func textBetween(line, before, after string) (string, bool) {
	_, rest, ok := strings.Cut(line, before)
	if !ok {
		return "", false
	}
	inner, _, ok := strings.Cut(rest, after)
	return inner, ok
}
