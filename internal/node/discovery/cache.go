package discovery

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
	cacheHeader      = "sloerail list 1 "
	maxCacheAge      = 24 * time.Hour // older than that, it tells nothing
	minCacheInterval = time.Second    // between writes
)

// listCache writes the list to its file. Only discovery's goroutine uses it.
type listCache struct {
	path        string
	endpoints   map[string]Endpoint
	revision    int64
	savedAt     time.Time
	dirty       bool
	writeFailed bool
}

// newListCache is for the file at path; nil for none.
func newListCache(path string, known List) *listCache {
	if path == "" {
		return nil
	}
	k := &listCache{path: path, endpoints: make(map[string]Endpoint)}
	k.apply(known)
	k.dirty = false
	return k
}

// apply follows the list.
func (k *listCache) apply(l List) {
	if l.Complete {
		clear(k.endpoints)
	}
	for _, m := range l.Endpoints {
		if k.endpoints[m.ID] = m; m.Availability == policy.Removed {
			delete(k.endpoints, m.ID)
		}
	}
	k.revision, k.dirty = l.Revision, true
}

// save writes the list if it has changed and was not written just now, or at last. A file that can't be written
// is told once.
func (k *listCache) save(last bool) {
	now := time.Now()
	if !k.dirty || !last && now.Sub(k.savedAt) < minCacheInterval {
		return
	}
	k.savedAt = now
	err := renameio.WriteFile(k.path, k.encode(now), 0o600)
	if k.dirty = err != nil; err != nil && !k.writeFailed {
		slog.Warn("discovery: the list can't be kept", "file", k.path, "err", err)
	}
	k.writeFailed = err != nil
}

// encode writes the file.
func (k *listCache) encode(now time.Time) []byte {
	form := listForm{Revision: &k.revision, Complete: true, SavedAtMillis: now.UnixMilli(), Endpoints: []entryForm{}}
	for _, id := range slices.Sorted(maps.Keys(k.endpoints)) {
		form.Endpoints = append(form.Endpoints, k.endpoints[id].wire())
	}
	raw, err := json.Marshal(form)
	if err != nil { // plain fields always can be written
		panic(err)
	}
	return append([]byte(cacheHeader+strconv.FormatUint(xxhash.Sum64(raw), 16)+"\n"), raw...)
}

// readCachedList reads a kept list.
func readCachedList(path string, now time.Time) (List, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return List{}, err
	}
	head, body, ok := bytes.Cut(raw, []byte("\n"))
	sum, marked := bytes.CutPrefix(head, []byte(cacheHeader))
	switch {
	case !ok || !marked:
		return List{}, errors.New("no list of this version")
	case string(sum) != strconv.FormatUint(xxhash.Sum64(body), 16):
		return List{}, errors.New("the hash doesn't fit")
	}
	var saved struct {
		SavedMs int64 `json:"saved_ms"`
	}
	if err := json.Unmarshal(body, &saved); err != nil {
		return List{}, err
	}
	if age := now.Sub(time.UnixMilli(saved.SavedMs)); age < 0 || age > maxCacheAge {
		return List{}, fmt.Errorf("it is %v old", age.Round(time.Second))
	}
	return ParseList(body)
}

// RestoreList is the list to start with: the cached one, where there is one that is as new as the known one or newer.
func RestoreList(path string, known List) List {
	if path == "" {
		return known
	}
	cached, err := readCachedList(path, time.Now())
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("discovery: the kept list is not used", "file", path, "err", err)
	case cached.Revision >= known.Revision:
		slog.Info("discovery: starting with the kept list", "file", path, "revision", cached.Revision, "servers", len(cached.Endpoints))
		return cached
	}
	return known
}
