package fakes

import "sync"

// smallBufferBytes is the size of the buffer of a quiet connection.
const smallBufferBytes = 4 << 10

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBufferBytes]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([maxStepBytes]byte) }}
)

// takeBuffer returns a buffer of the size.
func takeBuffer(size int) []byte {
	if size <= smallBufferBytes {
		return smallBuffers.Get().(*[smallBufferBytes]byte)[:size]
	}
	return largeBuffers.Get().(*[maxStepBytes]byte)[:size]
}

func returnBuffer(buffer []byte) {
	switch cap(buffer) {
	case smallBufferBytes:
		smallBuffers.Put((*[smallBufferBytes]byte)(buffer[:smallBufferBytes]))
	case maxStepBytes:
		largeBuffers.Put((*[maxStepBytes]byte)(buffer[:maxStepBytes]))
	}
}

// nextBufferSize is large after a full read.
func nextBufferSize(read, size int) int {
	if read == size {
		return maxStepBytes
	}
	return smallBufferBytes
}
