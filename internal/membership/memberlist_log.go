package membership

import (
	"log"
	"log/slog"
	"strings"
)

// memberlistLog is the writer of memberlist's logger. It forwards warnings and errors to the program's log and parses
// events from the lines.
type memberlistLog struct {
	limited *limitedLog
	// onEvent is called from the memberlist goroutine that logs, possibly with memberlist's lock held.
	onEvent func(event logEvent, node string)
}

func (l *memberlistLog) logger() *log.Logger { return log.New(l, "", 0) }

// levelPrefixes maps memberlist's level prefixes to levels. An error of memberlist becomes a warning, as requests are
// still served.
var levelPrefixes = []struct {
	prefix string
	level  slog.Level
}{
	{"[DEBUG] ", slog.LevelDebug},
	{"[INFO] ", slog.LevelInfo},
	{"[WARN] ", slog.LevelWarn},
	{"[ERR] ", slog.LevelWarn},
}

// Write handles one log line of memberlist.
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
		l.limited.logKind(kindOfLine(line), level, "fleet: memberlist reported a problem", "line", line)
	}
	return len(p), nil
}

const maxKindFields = 5

// kindOfLine returns the first maxKindFields of those fields of a line that contain no digits and don't look like addresses
// or values.
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

// logEvent is an event that memberlist reports only in its log: v0.7.0 has no callback for any of them.
type logEvent uint8

const (
	noLogEvent       logEvent = iota
	probeUnanswered           // a direct probe of a member timed out
	memberSuspected           // all of this node's probes of a member, direct and indirect, failed
	suspicionRefuted          // this node refuted a suspicion by another member
)

// parseLogEvent returns the event that a line reports and, for memberSuspected, the member's name. Only this function
// matches memberlist's texts. TestMemberlistStillLogsEvents fails if a new version of memberlist changes them.
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
