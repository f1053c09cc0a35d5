package weights

import (
	"testing"

	"gotest.tools/v3/assert"
)

const benchChunk = 256 << 10

func benchModel(b *testing.B) (*Manifest, []byte) {
	files := testFiles(benchChunk)
	m, err := Build("m", "1", files, benchChunk)
	assert.NilError(b, err)
	return m, files["dir/a"].Data
}

// BenchmarkCopy copies the bytes of one chunk.
func BenchmarkCopy(b *testing.B) {
	_, data := benchModel(b)
	destination := make([]byte, len(data))
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		copy(destination, data)
	}
}

// BenchmarkPut verifies and stores one chunk.
func BenchmarkPut(b *testing.B) {
	m, data := benchModel(b)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		set := NewSet(m)
		if err := set.Put(0, data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGet reads one stored chunk without a copy.
func BenchmarkGet(b *testing.B) {
	m, data := benchModel(b)
	set := NewSet(m)
	assert.NilError(b, set.Put(0, data))
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, ok := set.Get(0); !ok {
			b.Fatal("chunk is missing")
		}
	}
}
