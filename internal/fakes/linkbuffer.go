package fakes

import "sync"

// smallBufferBytes is the buffer size of an idle connection.
const smallBufferBytes = 4 << 10

var (
	smallBuffers = sync.Pool{New: func() any { return new([smallBufferBytes]byte) }}
	largeBuffers = sync.Pool{New: func() any { return new([maxSegmentBytes]byte) }}
)

// getBuffer returns a pooled buffer of the given size.
func getBuffer(size int) []byte {
	if size <= smallBufferBytes {
		return smallBuffers.Get().(*[smallBufferBytes]byte)[:size]
	}
	return largeBuffers.Get().(*[maxSegmentBytes]byte)[:size]
}

func putBuffer(buffer []byte) {
	switch cap(buffer) {
	case smallBufferBytes:
		smallBuffers.Put((*[smallBufferBytes]byte)(buffer[:smallBufferBytes]))
	case maxSegmentBytes:
		largeBuffers.Put((*[maxSegmentBytes]byte)(buffer[:maxSegmentBytes]))
	}
}

// nextBufferSize returns the large size after a read that filled the buffer.
func nextBufferSize(readBytes, size int) int {
	if readBytes == size {
		return maxSegmentBytes
	}
	return smallBufferBytes
}
