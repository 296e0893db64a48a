package priority

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type number int

func (n number) Before(other number) bool { return n < other }

// Take returns the first item in order, no matter which items were added and taken before.
func TestTakesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[number]
		var want []number
		take := func() {
			slices.Sort(want)
			first := q[0]
			if got := q.Take(); got != want[0] || first != got {
				t.Fatalf("Take: got %d, with %d at index 0; want %d for both", got, first, want[0])
			}
			want = want[1:]
		}
		for _, n := range rapid.SliceOf(rapid.IntRange(-9, 9)).Draw(t, "numbers") {
			if n < 0 && len(want) > 0 {
				take()
				continue
			}
			q.Add(number(n))
			want = append(want, number(n))
		}
		for len(want) > 0 {
			take()
		}
		if len(q) != 0 {
			t.Fatalf("queue after all items are taken: got %v, want none", q)
		}
	})
}
