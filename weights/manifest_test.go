package weights

import (
	"errors"
	"testing"
	"testing/fstest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipestep/snipestep/core"
)

func testFiles(sizes ...int) fstest.MapFS {
	files := make(fstest.MapFS)
	for i, size := range sizes {
		data := make([]byte, size)
		for j := range data {
			data[j] = byte(j*7 + j>>8 + i)
		}
		files["dir/"+string(rune('a'+i))] = &fstest.MapFile{Data: data}
	}
	return files
}

// TestManifestRoundTrip builds manifests of random files, decodes them and
// reads every chunk back through a set.
func TestManifestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 5000), 1, 6).Draw(t, "sizes")
		sizes = append(sizes, 1)
		files := testFiles(sizes...)
		m, err := Build("m", "1", files, rapid.IntRange(MinChunkSize, 4096).Draw(t, "chunk"))
		assert.NilError(t, err)
		decoded, err := DecodeManifest(m.Encode(), m.Digest())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
		set, reader := NewSet(decoded), NewChunkReader(files, decoded)
		for i := range decoded.Chunks {
			data, err := reader.Chunk(i)
			assert.NilError(t, err)
			assert.NilError(t, set.Put(i, data))
		}
		assert.Check(t, set.Complete())
		contents := make([]byte, m.Size)
		_, err = set.ReadAt(contents, 0)
		assert.NilError(t, err)
		offset := 0
		for _, f := range m.Files {
			assert.DeepEqual(t, contents[offset:offset+int(f.Size)], files[f.Path].Data)
			offset += int(f.Size)
		}
	})
}

func TestDecodeManifestRejectsInvalid(t *testing.T) {
	valid, err := Build("m", "1", testFiles(3000), MinChunkSize)
	assert.NilError(t, err)
	var mismatch *DigestMismatchError
	_, err = DecodeManifest(valid.Encode(), core.Digest{})
	assert.Check(t, errors.As(err, &mismatch))
	changes := map[string]func(m *Manifest){
		"model":      func(m *Manifest) { m.Model = "" },
		"version":    func(m *Manifest) { m.Version = string(make([]byte, MaxNameLength+1)) },
		"chunk size": func(m *Manifest) { m.ChunkSize = MaxChunkSize + 1 },
		"size":       func(m *Manifest) { m.Size++ },
		"negative":   func(m *Manifest) { m.Files = []File{{"a", -1}, {"b", 3001}} },
		"overflow":   func(m *Manifest) { m.Files = []File{{"a", 1 << 62}, {"b", 1 << 62}} },
		"chunks":     func(m *Manifest) { m.Chunks = m.Chunks[1:] },
		"path":       func(m *Manifest) { m.Files = []File{{"../a", 3000}} },
		"order":      func(m *Manifest) { m.Files = []File{{"b", 1500}, {"a", 1500}} },
	}
	for name, change := range changes {
		changed := *valid
		change(&changed)
		var invalid *ManifestError
		_, err := DecodeManifest(changed.Encode(), changed.Digest())
		assert.Check(t, errors.As(err, &invalid), name)
	}
}

func FuzzDecodeManifest(f *testing.F) {
	m, err := Build("m", "1", testFiles(3000), MinChunkSize)
	assert.NilError(f, err)
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeManifest(data, core.SumDigest(data))
		if err == nil {
			assert.NilError(t, m.Validate())
		}
	})
}
