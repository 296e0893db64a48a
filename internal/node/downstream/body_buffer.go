package downstream

import (
	"sync"

	"sloerail/internal/node/memory"
)

const (
	bodyBlockBytes = 8 << 10
	// minReadAheadBytes is how much of a body is read ahead of the attempt that takes it, however little memory is free.
	minReadAheadBytes = 2 * bodyBlockBytes
	// maxReadAheadBytes bounds what is read ahead of the attempt.
	maxReadAheadBytes = 4 << 20
)

type bodyBlock = [bodyBlockBytes]byte

var bodyBlocks = sync.Pool{New: func() any { return new(bodyBlock) }}

// bodyBuffer is a queue of the bytes of a request's body that no attempt has taken yet. Its user locks it.
type bodyBuffer struct {
	held    *memory.Reservation
	blocks  []*bodyBlock
	start   int  // of the unread bytes, in the first block
	end     int  // of the unread bytes, in the last block
	lent    int  // bytes from start on that next returned last; they are dropped by its next call
	filling bool // space has returned a part of the last block, and add hasn't been called since
}

// isEmpty reports whether there are no unread bytes.
func (b *bodyBuffer) isEmpty() bool {
	return len(b.blocks) == 0 || len(b.blocks) == 1 && b.start == b.end
}

// space returns room for the next bytes, or nil if the buffer may not grow. It is valid until the next call.
func (b *bodyBuffer) space() []byte {
	if b.filling = b.grow(); !b.filling {
		return nil
	}
	return b.blocks[len(b.blocks)-1][b.end:]
}

// grow makes room in the last block, and reports whether there is any.
func (b *bodyBuffer) grow() bool {
	if len(b.blocks) > 0 && b.end < bodyBlockBytes {
		return true
	}
	switch size := len(b.blocks) * bodyBlockBytes; {
	case size < minReadAheadBytes:
		b.held.Add(bodyBlockBytes)
	case size >= maxReadAheadBytes || !b.held.Take(bodyBlockBytes, memory.ReadAhead):
		return false
	}
	b.blocks = append(b.blocks, bodyBlocks.Get().(*bodyBlock))
	b.end = 0
	return true
}

// add appends the first n bytes of the room that space returned.
func (b *bodyBuffer) add(n int) {
	b.end += n
	b.filling = false
}

// next drops the bytes that the last call returned, and returns the following ones, which stay valid until the next call.
// It returns none if the buffer is empty.
func (b *bodyBuffer) next() []byte {
	b.start, b.lent = b.start+b.lent, 0
	if len(b.blocks) > 0 && (b.start == bodyBlockBytes || b.isEmpty() && !b.filling) {
		bodyBlocks.Put(b.blocks[0])
		b.dropFirst()
	}
	if b.isEmpty() {
		return nil
	}
	end := bodyBlockBytes
	if len(b.blocks) == 1 {
		end = b.end
	}
	b.lent = end - b.start
	return b.blocks[0][b.start:end]
}

func (b *bodyBuffer) dropFirst() {
	b.held.Return(bodyBlockBytes)
	b.blocks[0] = nil
	b.blocks, b.start = b.blocks[1:], 0
}

// discard drops all bytes. The attempt may still use those that next returned last, so no block is reused.
func (b *bodyBuffer) discard() {
	b.lent = 0
	for len(b.blocks) > 0 {
		b.dropFirst()
	}
}
