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

// The cache file holds a line with cacheHeader and a checksum of the rest, and then the list in the JSON of the list
// service. Other versions of the program read it. It is written to a temporary file and renamed, so that a crash never
// leaves a partial file.

const (
	cacheHeader      = "sloerail list 1 "
	maxCacheAge      = 24 * time.Hour // the servers of an older list have probably been replaced
	minCacheInterval = time.Second    // minimum time between writes
	checksumBase     = 16
)

// listCache holds the current list and writes it to its file. It is not safe for concurrent use.
type listCache struct {
	path        string
	endpoints   map[string]Endpoint
	revision    int64
	savedAt     time.Time
	dirty       bool // changed since the last write
	writeFailed bool // the last write failed, and this was logged
}

// newListCache returns a cache that holds known and writes to path. It returns nil if path is empty.
func newListCache(path string, known List) *listCache {
	if path == "" {
		return nil
	}
	c := &listCache{path: path, endpoints: make(map[string]Endpoint)}
	c.apply(known)
	c.dirty = false
	return c
}

// apply replaces the list with a full list, or applies changes to it.
func (c *listCache) apply(list List) {
	if list.Complete {
		clear(c.endpoints)
	}
	for _, e := range list.Endpoints {
		if e.Availability == policy.Removed {
			delete(c.endpoints, e.ID)
		} else {
			c.endpoints[e.ID] = e
		}
	}
	c.revision, c.dirty = list.Revision, true
}

// save writes the list if it has changed. Without force, it skips a write within minCacheInterval of the last one.
func (c *listCache) save(force bool) {
	now := time.Now()
	if !c.dirty || !force && now.Sub(c.savedAt) < minCacheInterval {
		return
	}
	c.savedAt = now
	err := renameio.WriteFile(c.path, c.encode(now), 0o600)
	if err != nil && !c.writeFailed {
		slog.Warn("discovery: failed to write the cached list", "file", c.path, "error", err)
	}
	c.dirty, c.writeFailed = err != nil, err != nil
}

// encode returns the content of the cache file.
func (c *listCache) encode(now time.Time) []byte {
	list := wireList{Revision: &c.revision, Complete: true, SavedAtMillis: now.UnixMilli(), Endpoints: []wireEndpoint{}}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		list.Endpoints = append(list.Endpoints, c.endpoints[id].wire())
	}
	raw := list.encode()
	return append([]byte(cacheHeader+checksum(raw)+"\n"), raw...)
}

func checksum(raw []byte) string { return strconv.FormatUint(xxhash.Sum64(raw), checksumBase) }

// readCachedList reads and validates the cache file at path.
func readCachedList(path string, now time.Time) (List, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return List{}, err
	}
	head, body, ok := bytes.Cut(raw, []byte("\n"))
	sum, versioned := bytes.CutPrefix(head, []byte(cacheHeader))
	switch {
	case !ok || !versioned:
		return List{}, ErrCacheVersion
	case string(sum) != checksum(body):
		return List{}, ErrCacheChecksum
	}
	var saved struct {
		AtMillis int64 `json:"saved_ms"`
	}
	if err := json.Unmarshal(body, &saved); err != nil {
		return List{}, err
	}
	if age := now.Sub(time.UnixMilli(saved.AtMillis)); age < 0 || age > maxCacheAge {
		return List{}, fmt.Errorf("%w: want 0s to %v, got %v", ErrCacheAge, maxCacheAge, age.Round(time.Second))
	}
	return ParseList(body)
}

// RestoreList returns the list to start with: the cached list at path if it is valid and not older than known, else
// known.
func RestoreList(path string, known List) List {
	if path == "" {
		return known
	}
	cached, err := readCachedList(path, time.Now())
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		slog.Warn("discovery: cached list rejected", "file", path, "error", err)
	case cached.Revision >= known.Revision:
		slog.Info("discovery: starting with the cached list", "file", path, "revision", cached.Revision,
			"servers", len(cached.Endpoints))
		return cached
	}
	return known
}
