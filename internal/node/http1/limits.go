package http1

import "sync"

const (
	// MaxHeadBytes bounds the first line and the fields of a message.
	MaxHeadBytes = 16 << 10
	// MaxBufferedBodyBytes bounds what is held of a body. A longer one is streamed.
	MaxBufferedBodyBytes = 64 << 10
	// CopyBufferBytes is how much of a streamed body is in hand at a time.
	CopyBufferBytes = 16 << 10
)

// CopyBuffer holds a piece of a streamed body.
type CopyBuffer = [CopyBufferBytes]byte

var copyBuffers = sync.Pool{New: func() any { return new(CopyBuffer) }}

// GetCopyBuffer takes a buffer from the pool. Its content is undefined.
func GetCopyBuffer() *CopyBuffer { return copyBuffers.Get().(*CopyBuffer) }

// PutCopyBuffer returns a buffer to the pool.
func PutCopyBuffer(b *CopyBuffer) { copyBuffers.Put(b) }
