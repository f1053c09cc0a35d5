package weights

import (
	"io"
	"io/fs"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/core"
)

// Build creates the manifest of all regular files in fsys. chunkSize is in
// bytes; 0 selects DefaultChunkSize. It blocks while it reads every file once.
func Build(model, version string, fsys fs.FS, chunkSize int) (*Manifest, error) {
	if chunkSize == 0 {
		chunkSize = DefaultChunkSize
	}
	m := &Manifest{Model: model, Version: version, ChunkSize: chunkSize}
	if err := m.listFiles(fsys); err != nil {
		return nil, err
	}
	m.Chunks = make([]core.Digest, chunkCount(m.Size, max(chunkSize, 1)))
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, m.sumChunks(fsys)
}

func (m *Manifest) listFiles(fsys fs.FS) error {
	err := fs.WalkDir(fsys, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		m.Files = append(m.Files, File{Path: path, Size: info.Size()})
		m.Size += info.Size()
		return nil
	})
	if err != nil {
		return eris.Wrap(err, "listing weight files")
	}
	slices.SortFunc(m.Files, func(a, b File) int { return strings.Compare(a.Path, b.Path) })
	return nil
}

func (m *Manifest) sumChunks(fsys fs.FS) error {
	stream := &fileStream{fsys: fsys, files: m.Files}
	defer stream.close()
	buffer := make([]byte, m.ChunkSize)
	for i := range m.Chunks {
		data := buffer[:m.ChunkLength(i)]
		if _, err := io.ReadFull(stream, data); err != nil {
			return eris.Wrapf(err, "reading chunk %d", i)
		}
		m.Chunks[i] = core.SumDigest(data)
	}
	return nil
}
