package weights

import (
	"io"
	"sync/atomic"

	"github.com/snipestep/snipestep/core"
)

// Set holds the verified chunks of one manifest. It never stores bytes that do
// not match the manifest. It is safe for concurrent use and reads take no lock.
type Set struct {
	manifest *Manifest
	digest   core.Digest
	chunks   []atomic.Pointer[[]byte]
	count    atomic.Int64
}

// NewSet returns an empty set of m, which must not be modified afterwards.
func NewSet(m *Manifest) *Set {
	return &Set{
		manifest: m,
		digest:   m.Digest(),
		chunks:   make([]atomic.Pointer[[]byte], len(m.Chunks)),
	}
}

// Manifest returns the set's manifest.
func (s *Set) Manifest() *Manifest {
	return s.manifest
}

// Digest returns the digest of the set's manifest.
func (s *Set) Digest() core.Digest {
	return s.digest
}

// Put verifies data and stores it as chunk i; the caller must not modify data
// afterwards. Putting a chunk twice has no effect. It returns
// *ChunkIndexError or *CorruptChunkError.
func (s *Set) Put(i int, data []byte) error {
	if i < 0 || i >= len(s.chunks) {
		return &ChunkIndexError{Chunk: i, Chunks: len(s.chunks)}
	}
	if s.Has(i) {
		return nil
	}
	if got := s.manifest.SumChunk(data); got != s.manifest.Chunks[i] {
		return &CorruptChunkError{Chunk: i, Want: s.manifest.Chunks[i], Got: got}
	}
	data = data[:len(data):len(data)]
	if s.chunks[i].CompareAndSwap(nil, &data) {
		s.count.Add(1)
	}
	return nil
}

// Get returns chunk i, which the caller must not modify.
func (s *Set) Get(i int) ([]byte, bool) {
	if !s.Has(i) {
		return nil, false
	}
	return *s.chunks[i].Load(), true
}

// Has reports whether chunk i is stored.
func (s *Set) Has(i int) bool {
	return i >= 0 && i < len(s.chunks) && s.chunks[i].Load() != nil
}

// Bitmap returns a new bitmap of the stored chunks.
func (s *Set) Bitmap() Bitmap {
	b := NewBitmap(len(s.chunks))
	for i := range s.chunks {
		if s.Has(i) {
			b.Add(i)
		}
	}
	return b
}

// Len returns the number of chunks of the manifest.
func (s *Set) Len() int {
	return len(s.chunks)
}

// Count returns the number of stored chunks.
func (s *Set) Count() int {
	return int(s.count.Load())
}

// Complete reports whether every chunk is stored.
func (s *Set) Complete() bool {
	return s.Count() == len(s.chunks)
}

// ReadAt implements io.ReaderAt over the concatenated files. A chunk that is
// not stored ends the read with io.ErrUnexpectedEOF.
func (s *Set) ReadAt(p []byte, offset int64) (int, error) {
	n := 0
	for n < len(p) {
		if offset < 0 || offset >= s.manifest.Size {
			return n, io.EOF
		}
		data, ok := s.Get(int(offset / int64(s.manifest.ChunkSize)))
		if !ok {
			return n, io.ErrUnexpectedEOF
		}
		copied := copy(p[n:], data[offset%int64(s.manifest.ChunkSize):])
		n += copied
		offset += int64(copied)
	}
	return n, nil
}
