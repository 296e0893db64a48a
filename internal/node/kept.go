package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"

	"sloerail/policy"
)

// The list as a node last had it is kept in a file, where the configuration names one, for a start with no
// list service. The file is one line (a mark, the version, a hash of the rest) and the list in discovery's
// form. It is written aside and renamed; one that doesn't fit its hash, or is too old, is no list. Not taken:
// a log of changes (the list is small, and one write a second is enough).

const (
	keptMark  = "sloerail list 1 "
	keptMost  = 24 * time.Hour // older than that, it tells nothing
	keepEvery = time.Second    // between writes
)

// keeper writes the list to its file. Only discovery's goroutine uses it.
type keeper struct {
	path     string
	members  map[string]member
	revision int64
	saved    time.Time
	dirty    bool
	failing  bool
}

func newKeeper(c Config) *keeper {
	if c.ListFile == "" {
		return nil
	}
	k := &keeper{path: c.ListFile, members: make(map[string]member)}
	k.take(c.Known)
	k.dirty = false
	return k
}

// take follows the list.
func (k *keeper) take(l list) {
	if l.Complete {
		clear(k.members)
	}
	for _, m := range l.Members {
		if k.members[m.ID] = m; m.Availability == policy.Removed {
			delete(k.members, m.ID)
		}
	}
	k.revision, k.dirty = l.Revision, true
}

// save writes the list if it has changed and was not written just now, or at last. A file that can't be written
// is told once.
func (k *keeper) save(last bool) {
	now := time.Now()
	if !k.dirty || !last && now.Sub(k.saved) < keepEvery {
		return
	}
	k.saved = now
	err := renameio.WriteFile(k.path, k.encode(now), 0o600)
	if k.dirty = err != nil; err != nil && !k.failing {
		slog.Warn("discovery: the list can't be kept", "file", k.path, "err", err)
	}
	k.failing = err != nil
}

// encode writes the file.
func (k *keeper) encode(now time.Time) []byte {
	form := listForm{Revision: &k.revision, Complete: true, SavedMs: now.UnixMilli(), Members: []entryForm{}}
	for _, id := range slices.Sorted(maps.Keys(k.members)) {
		form.Members = append(form.Members, k.members[id].form())
	}
	raw, err := json.Marshal(form)
	if err != nil { // plain fields always can be written
		panic(err)
	}
	return append([]byte(keptMark+strconv.FormatUint(xxhash.Sum64(raw), 16)+"\n"), raw...)
}

// readKept reads a kept list.
func readKept(path string, now time.Time) (list, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return list{}, err
	}
	head, body, ok := bytes.Cut(raw, []byte("\n"))
	sum, marked := bytes.CutPrefix(head, []byte(keptMark))
	switch {
	case !ok || !marked:
		return list{}, errors.New("no list of this version")
	case string(sum) != strconv.FormatUint(xxhash.Sum64(body), 16):
		return list{}, errors.New("the hash doesn't fit")
	}
	var saved struct {
		SavedMs int64 `json:"saved_ms"`
	}
	if err := json.Unmarshal(body, &saved); err != nil {
		return list{}, err
	}
	if age := now.Sub(time.UnixMilli(saved.SavedMs)); age < 0 || age > keptMost {
		return list{}, fmt.Errorf("it is %v old", age.Round(time.Second))
	}
	return parseList(body)
}

// knownBest is the list to start with: the kept one, where there is one that is newer than the configuration's.
func knownBest(c Config) list {
	if c.ListFile == "" {
		return c.Known
	}
	kept, err := readKept(c.ListFile, time.Now())
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("discovery: the kept list is not used", "file", c.ListFile, "err", err)
	case kept.Revision >= c.Known.Revision:
		slog.Info("discovery: starting with the kept list", "file", c.ListFile, "revision", kept.Revision, "servers", len(kept.Members))
		return kept
	}
	return c.Known
}
