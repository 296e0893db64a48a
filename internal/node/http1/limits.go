package http1

import "sync"

const (
	// MaxHeadBytes bounds the head of a message: its first line and its fields.
	MaxHeadBytes = 16 << 10
	// MaxFields bounds the fields of a head.
	MaxFields = 128
	// MaxBufferedBodyBytes bounds a buffered body. A longer one is streamed.
	MaxBufferedBodyBytes = 64 << 10
	// CopyBufferBytes is the size of a CopyBuffer.
	CopyBufferBytes = 16 << 10
)

// CopyBuffer holds the part of a streamed body that is being copied.
type CopyBuffer = [CopyBufferBytes]byte

var copyBuffers = sync.Pool{New: func() any { return new(CopyBuffer) }}

// GetCopyBuffer takes a buffer from the pool. Its content is undefined.
func GetCopyBuffer() *CopyBuffer { return copyBuffers.Get().(*CopyBuffer) }

// PutCopyBuffer returns a buffer to the pool.
func PutCopyBuffer(b *CopyBuffer) { copyBuffers.Put(b) }
