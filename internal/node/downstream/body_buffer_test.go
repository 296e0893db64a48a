package downstream

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Guards against bytes of a body that are lost or changed because a block is reused while it is filled or written.
func TestBodyBufferKeepsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b bodyBuffer
		var filled, lent, added, taken []byte
		value := byte(0)
		t.Repeat(map[string]func(*rapid.T){
			"space": func(*rapid.T) {
				if filled == nil {
					filled = b.space()
				}
			},
			"add": func(t *rapid.T) {
				if filled == nil {
					t.Skip("nothing to fill")
				}
				n := rapid.IntRange(0, len(filled)).Draw(t, "bytes")
				for i := range n {
					value++
					filled[i] = value
				}
				added = append(added, filled[:n]...)
				b.add(n)
				filled = nil
			},
			"next": func(*rapid.T) {
				taken = append(taken, lent...) // as late as they are valid
				lent = b.next()
			},
		})
		taken = append(taken, lent...)
		if filled != nil {
			b.add(0)
		}
		for p := b.next(); len(p) > 0; p = b.next() {
			taken = append(taken, p...)
		}
		if !bytes.Equal(added, taken) {
			t.Fatalf("bytes through the buffer: got %d of %d, or others", len(taken), len(added))
		}
	})
}
