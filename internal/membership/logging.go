package membership

import (
	"context"
	"log"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// logAdapter writes what memberlist says to the program's log, each kind of line once in a while: a member
// that sends garbage must not fill it. What is not written is counted.
type logAdapter struct {
	logger *slog.Logger
	now    func() time.Time
	onLine func(line string)

	mu         sync.Mutex
	last       map[string]time.Time // by kind
	suppressed uint64
}

const maxLogKinds = 256 // of log lines told apart; more are written as one

func newLogAdapter(to *slog.Logger, now func() time.Time, heard func(string)) *logAdapter {
	return &logAdapter{logger: to, now: now, onLine: heard, last: make(map[string]time.Time)}
}

func (l *logAdapter) stdLogger() *log.Logger { return log.New(l, "", 0) }

// allow tells whether a line of a kind may be written now.
func (l *logAdapter) allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.last[kind]; !known && len(l.last) >= maxLogKinds {
		kind = ""
	}
	now := l.now()
	if at, known := l.last[kind]; known && now.Sub(at) < logInterval {
		l.suppressed++
		return false
	}
	l.last[kind] = now
	return true
}

func (l *logAdapter) suppressedCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}

// logLimited writes a line unless one of its kind was written lately.
func (l *logAdapter) logLimited(level slog.Level, text string, args ...any) {
	if l.allow(text) {
		l.logger.Log(context.Background(), level, text, args...)
	}
}

// member tells that a member has come, changed or gone.
func (l *logAdapter) member(was *Member, is Member) {
	before := State("unknown")
	if was != nil {
		before = was.State
	}
	if l.allow("member/" + is.Name + "/" + string(is.State)) {
		l.logger.Info("fleet: member state changed", "state", is.State, "node", is.Name,
			"address", is.Address, "zone", is.Zone, "previous_state", before, "incarnation", is.Incarnation, "version", is.Version)
	}
}

var levels = []struct {
	mark  string
	level slog.Level
}{{"[DEBUG] ", slog.LevelDebug}, {"[INFO] ", slog.LevelInfo}, {"[WARN] ", slog.LevelWarn}, {"[ERR] ", slog.LevelError}}

// Write takes one line of memberlist's. Its errors are warnings here: service goes on.
func (l *logAdapter) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	level := slog.LevelWarn
	for _, v := range levels {
		if rest, ok := strings.CutPrefix(line, v.mark); ok {
			line, level = rest, min(v.level, slog.LevelWarn)
		}
	}
	line = strings.TrimPrefix(line, "memberlist: ")
	l.onLine(line)
	if level > slog.LevelInfo && l.allow(kindOf(line)) {
		l.logger.Log(context.Background(), level, "fleet: memberlist reported a problem", "line", line)
	}
	return len(p), nil
}

// kindOf is the words of a line without names and numbers.
func kindOf(line string) string {
	words := strings.Fields(line)
	kept := words[:0]
	for _, w := range words {
		if !strings.ContainsAny(w, "0123456789.:='[]") || strings.HasSuffix(w, ":") && !strings.ContainsAny(w, "0123456789") {
			kept = append(kept, w)
		}
		if len(kept) == 5 {
			break
		}
	}
	return strings.Join(kept, " ")
}

func between(line, before, after string) (string, bool) {
	_, rest, ok := strings.Cut(line, before)
	if !ok {
		return "", false
	}
	inner, _, ok := strings.Cut(rest, after)
	return inner, ok
}
