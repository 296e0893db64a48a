package membership

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	logInterval = 10 * time.Second // between two lines of the same kind
	maxLogKinds = 256              // kinds with a limit of their own; all further kinds share one limit
)

// limitedLog writes at most one line of each kind per logInterval to the program's log, so that a member that sends
// invalid data can't flood it. It counts the suppressed lines. Its methods may be called from any goroutine.
type limitedLog struct {
	logger *slog.Logger
	now    func() time.Time

	mu          sync.Mutex
	lastWritten map[string]time.Time // by kind
	suppressed  uint64
}

func newLimitedLog(logger *slog.Logger, now func() time.Time) *limitedLog {
	return &limitedLog{logger: logger, now: now, lastWritten: make(map[string]time.Time)}
}

// allow reports whether a line of a kind may be written now, and records the time of the line or counts it as suppressed.
func (l *limitedLog) allow(kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.lastWritten[kind]; !known && len(l.lastWritten) >= maxLogKinds {
		kind = ""
	}
	now := l.now()
	if last, known := l.lastWritten[kind]; known && now.Sub(last) < logInterval {
		l.suppressed++
		return false
	}
	l.lastWritten[kind] = now
	return true
}

func (l *limitedLog) suppressedLines() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suppressed
}

// log writes a line, with its message as its kind.
func (l *limitedLog) log(level slog.Level, message string, args ...any) {
	l.logKind(message, level, message, args...)
}

func (l *limitedLog) logKind(kind string, level slog.Level, message string, args ...any) {
	if l.allow(kind) {
		l.logger.Log(context.Background(), level, message, args...)
	}
}

// memberChanged logs a new state or incarnation of a member.
func (l *limitedLog) memberChanged(before, after Member) {
	previous := before.State
	if previous == "" {
		previous = "unknown"
	}
	l.logKind("member/"+after.Name+"/"+string(after.State), slog.LevelInfo, "fleet: member state changed",
		"state", after.State, "node", after.Name, "address", after.Address, "zone", after.Zone,
		"previous_state", previous, "incarnation", after.Incarnation, "version", after.Version)
}
