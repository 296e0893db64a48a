package node

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an ID that is forgotten before newer ones, or memory that grows with the IDs.
func TestExecutedIDsKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e executedIDs
		n := rapid.IntRange(0, 3*maxExecutedIDs).Draw(t, "ids")
		for i := range n {
			e.add(uint64(i), uint64(max(0, i-i%4)))
		}
		all := e.all()
		if want := min(n, maxExecutedIDs); len(all) != want || len(e.known) != want || !slices.IsSorted(all) {
			t.Fatalf("IDs remembered of %d: got %d and %d, want %d, oldest first", n, len(all), len(e.known), want)
		}
		if n > 0 && (!e.contains(uint64(n-1)) || e.contains(uint64(n-maxExecutedIDs-1)) && n > maxExecutedIDs) {
			t.Errorf("of %d IDs the newest is forgotten, or one beyond the last %d is known", n, maxExecutedIDs)
		}
	})
}
